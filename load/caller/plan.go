package caller

import (
	"fmt"
	"math/rand/v2"
	"sort"
	"time"

	"cuminfall.example/fleet/ident"
)

// Request is one planned request.
type Request struct {
	ID        string
	At        time.Duration // intended send time, from the start of the warm-up
	Workspace *Workspace
	Service   *Service
	Source    int         // index into the workspace's sources
	Body      ident.Bytes // size
	Upload    bool
	Repeat    bool // sent again on purpose with the key of an earlier request
}

// repeatAfter is the time between a request and its deliberate repetition; the
// first one is often still running then.
const repeatAfter = 20 * time.Millisecond

// Plan returns all requests of a run in order of their times; the same settings give the same plan.
func Plan(s *Settings, tag string) []Request {
	var all []Request
	for i := range s.Workspaces {
		w := &s.Workspaces[i]
		random := rand.New(rand.NewPCG(s.Seed, uint64(i)))
		total := s.Warmup + s.Duration
		for at := w.next(random, s.Warmup, 0); at < total; at = w.next(random, s.Warmup, at) {
			r := Request{ID: fmt.Sprintf("%s-%d-%d", tag, i, len(all)), At: at, Workspace: w, Service: w.pick(random, s.Services)}
			r.Body = r.Service.Body
			if random.Float64() < r.Service.Uploads {
				r.Upload = true
				r.Body = r.Service.Upload
			}
			if len(w.Sources) > 0 {
				r.Source = random.IntN(len(w.Sources))
			}
			all = append(all, r)
			if r.Service.Once && random.Float64() < r.Service.Repeat {
				r.At += repeatAfter
				r.Repeat = true
				all = append(all, r)
			}
		}
	}
	sort.SliceStable(all, func(i, j int) bool { return all[i].At < all[j].At })
	return all
}

// next returns the time of the arrival after at, of a Poisson process whose rate changes with the pattern.
func (w *Workspace) next(random *rand.Rand, warmup, at time.Duration) time.Duration {
	for {
		rate, until := w.rateAt(warmup, at)
		if rate <= 0 && until == 0 {
			return 1<<63 - 1
		}
		gap := time.Duration(random.ExpFloat64() / rate * float64(time.Second))
		if rate > 0 && (until == 0 || at+gap < until) {
			return at + max(gap, 1)
		}
		at = until // the process has no memory, so it starts anew at the change of rate
	}
}

// rateAt returns the offered rate at a time and when it changes next; 0 means never.
func (w *Workspace) rateAt(warmup, at time.Duration) (float64, time.Duration) {
	rate := float64(w.Rate) * w.Offered
	from := warmup + w.From
	switch {
	case w.Pattern == "steady" || at >= from+w.Span:
		return rate, 0
	case at < from:
		return rate, from
	}
	return rate * w.Factor, from + w.Span
}

func (w *Workspace) pick(random *rand.Rand, services []Service) *Service {
	total := 0.0
	for i := range services {
		total += w.weight(services[i].Name)
	}
	x := random.Float64() * total
	for i := range services {
		x -= w.weight(services[i].Name)
		if x < 0 {
			return &services[i]
		}
	}
	return &services[len(services)-1]
}

func (w *Workspace) weight(name ident.Service) float64 {
	if len(w.Mix) == 0 {
		return 1
	}
	return w.Mix[name]
}
