package caller

import (
	"fmt"
	"math/rand/v2"
	"sort"
	"time"

	"cuminfall.example/fleet/ident"
)

// Request is one planned request of a workspace to a service.
type Request struct {
	ID             string
	SendAt         time.Duration // intended send time, counted from the start of the warm-up
	Workspace      *Workspace
	Service        *Service
	LocalAddrIndex int // index into the workspace's local addresses
	BodySize       ident.Bytes
	IsUpload       bool
	IsRepeat       bool // deliberately repeats an earlier request with its idempotency key
}

// repeatDelay is the time between a request and its deliberate repeat. It is so short that the first request
// often still runs when the repeat arrives.
const repeatDelay = 20 * time.Millisecond

// Plan returns all requests of a run in order of their send times. The same settings, including the seed, give
// the same plan.
func Plan(s *Settings, idPrefix string) []Request {
	var all []Request
	for i := range s.Workspaces {
		w := &s.Workspaces[i]
		random := rand.New(rand.NewPCG(s.Seed, uint64(i)))
		end := s.Warmup + s.Duration
		for at := w.nextArrival(random, s.Warmup, 0); at < end; at = w.nextArrival(random, s.Warmup, at) {
			r := Request{ID: fmt.Sprintf("%s-%d-%d", idPrefix, i, len(all)), SendAt: at, Workspace: w, Service: w.pickService(random, s.Services)}
			r.BodySize = r.Service.BodySize
			if random.Float64() < r.Service.UploadFraction {
				r.IsUpload = true
				r.BodySize = r.Service.UploadSize
			}
			if len(w.LocalAddrs) > 0 {
				r.LocalAddrIndex = random.IntN(len(w.LocalAddrs))
			}
			all = append(all, r)
			if r.Service.NonIdempotent && random.Float64() < r.Service.RepeatFraction {
				r.SendAt += repeatDelay
				r.IsRepeat = true
				all = append(all, r)
			}
		}
	}
	sort.SliceStable(all, func(i, j int) bool { return all[i].SendAt < all[j].SendAt })
	return all
}

// nextArrival returns the first arrival after at in a Poisson process whose rate depends on the pattern. The
// maximum duration means that there is none.
func (w *Workspace) nextArrival(random *rand.Rand, warmup, at time.Duration) time.Duration {
	for {
		rate, rateChange := w.rateAt(warmup, at)
		if rate <= 0 && rateChange == 0 {
			return 1<<63 - 1
		}
		gap := time.Duration(random.ExpFloat64() / rate * float64(time.Second))
		if rate > 0 && (rateChange == 0 || at+gap < rateChange) {
			return at + max(gap, 1)
		}
		at = rateChange // a Poisson process is memoryless, so it restarts where the rate changes
	}
}

// rateAt returns the offered rate at a time, in requests per second, and the time of its next change; 0 means
// that it doesn't change any more.
func (w *Workspace) rateAt(warmup, at time.Duration) (float64, time.Duration) {
	rate := float64(w.Rate) * w.OfferedFraction
	peakStart := warmup + w.PeakStart
	switch {
	case w.Pattern == "steady" || at >= peakStart+w.PeakDuration:
		return rate, 0
	case at < peakStart:
		return rate, peakStart
	}
	return rate * w.PeakFactor, peakStart + w.PeakDuration
}

func (w *Workspace) pickService(random *rand.Rand, services []Service) *Service {
	total := 0.0
	for i := range services {
		total += w.serviceWeight(services[i].Name)
	}
	x := random.Float64() * total
	for i := range services {
		x -= w.serviceWeight(services[i].Name)
		if x < 0 {
			return &services[i]
		}
	}
	return &services[len(services)-1]
}

func (w *Workspace) serviceWeight(name ident.Service) float64 {
	if len(w.ServiceWeights) == 0 {
		return 1
	}
	return w.ServiceWeights[name]
}
