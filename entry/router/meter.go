package router

import (
	"math"
	"time"
)

// meterSpan is the time constant of decaying averages; five exchanges smooth
// single requests and still follow a burst within a second.
const meterSpan = time.Second

// meter is a decaying average of a rate per second.
type meter struct {
	value float64
	at    time.Time
}

func (m *meter) add(now time.Time, n float64) {
	m.value = m.rate(now) + n/meterSpan.Seconds()
	m.at = now
}

func (m *meter) rate(now time.Time) float64 {
	if m.value == 0 {
		return 0
	}
	return m.value * math.Exp(-float64(now.Sub(m.at))/float64(meterSpan))
}
