package report

import (
	"math"
	"time"
)

// tokenTolerance compensates for floating-point errors that accumulate over many small additions.
const tokenTolerance = 1e-6

// CountEntitled returns the number of requests, offered at the given times in ascending order, that a token
// bucket with the workspace's rate and burst admits. The bucket starts full.
func CountEntitled(e Entitlement, offered []time.Duration) int {
	tokens := e.Burst
	var last time.Duration
	admitted := 0
	for _, at := range offered {
		tokens = math.Min(e.Burst, tokens+float64(e.Rate)*(at-last).Seconds())
		last = at
		if tokens >= 1-tokenTolerance {
			tokens--
			admitted++
		}
	}
	return admitted
}

// RequiredBurst returns the smallest burst, in requests, for which the runs started at the given times, in
// ascending order, stay within rate x t + burst in every window of t seconds; rate is in requests per second.
func RequiredBurst(rate float64, started []time.Time) float64 {
	bucketLevel, maxLevel := 0.0, 0.0
	for i, at := range started {
		if i > 0 {
			bucketLevel = math.Max(0, bucketLevel-rate*at.Sub(started[i-1]).Seconds())
		}
		bucketLevel++
		maxLevel = math.Max(maxLevel, bucketLevel)
	}
	return maxLevel
}
