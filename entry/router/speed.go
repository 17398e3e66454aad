package router

import (
	"math"
	"time"
)

// Parameters of the comparison of an endpoint's response time with its service's.
const (
	speedPart   = 0.2             // weight of one sample in the endpoint's mean
	serviceWide = 0.02            // weight of one sample in the service's mean, which spans many endpoints
	speedHalf   = 5 * time.Second // an observed slowness halves in this time without samples, so that the endpoint is tried again
	leastSlow   = 1.25            // smaller ratios are noise and do not change the rank
	mostSlow    = 8.0             // a slower endpoint ranks like this one
)

// speed is the mean of logarithmic response times; one long upload moves a
// mean of logarithms little.
type speed struct {
	log   float64 // of seconds
	known bool
}

func (s *speed) add(x, part float64) {
	if !s.known {
		*s = speed{log: x, known: true}
		return
	}
	s.log += part * (x - s.log)
}

// slowness is how many times slower than its service an endpoint answered, from its own requests.
type slowness struct {
	ratio float64
	at    time.Time
}

// observe compares an endpoint's response time with that of its service.
func (e *endpoint) observe(now time.Time, s *service, elapsed time.Duration) {
	x := math.Log(max(elapsed, time.Millisecond).Seconds())
	if e.speed.known && s.speed.known { // what is old says little
		keep := math.Exp2(-float64(now.Sub(e.slow.at)) / float64(speedHalf))
		e.speed.log = s.speed.log + keep*(e.speed.log-s.speed.log)
	}
	s.speed.add(x, serviceWide)
	e.speed.add(x, speedPart)
	e.slow = slowness{ratio: min(math.Exp(e.speed.log-s.speed.log), mostSlow), at: now}
}

// factor returns by what the load of the endpoint counts more than that of a peer.
func (w *slowness) factor(now time.Time) float64 {
	if w.ratio <= leastSlow {
		return 1
	}
	return 1 + (w.ratio-1)*math.Exp2(-float64(now.Sub(w.at))/float64(speedHalf))
}
