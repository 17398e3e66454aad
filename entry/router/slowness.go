package router

import (
	"math"
	"time"
)

// Parameters of the comparison between the response times of an endpoint and of its service.
const (
	endpointMeanWeight = 0.2             // weight of one sample in an endpoint's mean
	serviceMeanWeight  = 0.02            // weight of one sample in a service's mean, which covers many endpoints
	slownessHalfLife   = 5 * time.Second // without samples the slowness halves in this time, so that the endpoint is tried again
	minSlowness        = 1.25            // smaller ratios are noise and do not change the sort key
	maxSlowness        = 8.0             // larger ratios count as this one
)

// logMean is a moving mean of the logarithms of response times. A single long
// upload changes a mean of logarithms little.
type logMean struct {
	value     float64 // natural logarithm of seconds
	hasSample bool
}

func (s *logMean) add(sample, weight float64) {
	if !s.hasSample {
		*s = logMean{value: sample, hasSample: true}
		return
	}
	s.value += weight * (sample - s.value)
}

// slowness says how many times slower than its service an endpoint answered, by
// the requests that this VM sent to it.
type slowness struct {
	ratio float64
	at    time.Time
}

// observeResponseTime adds a sample to the means of the endpoint and its service
// and compares the two.
func (e *endpoint) observeResponseTime(now time.Time, s *service, elapsed time.Duration) {
	sample := math.Log(max(elapsed, time.Millisecond).Seconds())
	if e.responseMean.hasSample && s.responseMean.hasSample { // the older the endpoint's mean, the closer it is moved to the service's
		remaining := math.Exp2(-float64(now.Sub(e.slowness.at)) / float64(slownessHalfLife))
		e.responseMean.value = s.responseMean.value + remaining*(e.responseMean.value-s.responseMean.value)
	}
	s.responseMean.add(sample, serviceMeanWeight)
	e.responseMean.add(sample, endpointMeanWeight)
	e.slowness = slowness{ratio: min(math.Exp(e.responseMean.value-s.responseMean.value), maxSlowness), at: now}
}

// loadFactor returns the factor by which the endpoint's load is multiplied when
// endpoints are compared.
func (w *slowness) loadFactor(now time.Time) float64 {
	if w.ratio <= minSlowness {
		return 1
	}
	return 1 + (w.ratio-1)*math.Exp2(-float64(now.Sub(w.at))/float64(slownessHalfLife))
}
