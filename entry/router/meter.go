package router

import (
	"math"
	"time"
)

// meterTimeConstant is the time constant of decaying averages. It covers five
// exchanges at the default interval, which smooths single requests and still
// follows a burst within a second.
const meterTimeConstant = time.Second

// meter measures a rate per second as a decaying average.
type meter struct {
	value float64
	at    time.Time
}

func (m *meter) add(now time.Time, n float64) {
	m.value = m.rate(now) + n/meterTimeConstant.Seconds()
	m.at = now
}

func (m *meter) rate(now time.Time) float64 {
	if m.value == 0 {
		return 0
	}
	return m.value * math.Exp(-float64(now.Sub(m.at))/float64(meterTimeConstant))
}
