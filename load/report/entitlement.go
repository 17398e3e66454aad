package report

import (
	"math"
	"time"
)

// rounding allows for the sums of many small additions.
const rounding = 1e-6

// Entitled returns how many of the requests, offered at the given times in order,
// a token bucket of the rate and burst admits; the bucket starts full.
func Entitled(e Entitlement, offered []time.Duration) int {
	tokens := e.Burst
	var last time.Duration
	admitted := 0
	for _, at := range offered {
		tokens = math.Min(e.Burst, tokens+float64(e.Rate)*(at-last).Seconds())
		last = at
		if tokens >= 1-rounding {
			tokens--
			admitted++
		}
	}
	return admitted
}

// Need returns the smallest burst with which the runs, started at the given times in
// order, stay within rate x t + burst over every window of length t.
func Need(rate float64, started []time.Time) float64 {
	level, most := 0.0, 0.0
	for i, at := range started {
		if i > 0 {
			level = math.Max(0, level-rate*at.Sub(started[i-1]).Seconds())
		}
		level++
		most = math.Max(most, level)
	}
	return most
}
