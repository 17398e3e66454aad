package report

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sort"
	"strings"
	"time"

	"cuminfall.example/fleet/fault"
	"cuminfall.example/fleet/ident"
	"cuminfall.example/load/answer"
	"cuminfall.example/load/upstream"
)

// Runs compares what callers were told with what the stand-ins ran.
type Runs struct {
	Count       int      `json:"count"`
	Dropped     uint64   `json:"dropped"`     // runs that the stand-ins could not keep; the lists are incomplete then
	Doubles     []string `json:"doubles"`     // non-idempotent requests that ran more than once
	Untrue      []string `json:"untrue"`      // requests refused as not run that ran
	Foreign     []string `json:"foreign"`     // requests that ran for another workspace
	Keys        []string `json:"keys"`        // requests whose runs saw a workspace key
	Over        uint64   `json:"over"`        // arrivals at endpoints whose slots were all taken
	Connections uint64   `json:"connections"` // connections beyond the endpoints' limit
	Excess      []Excess `json:"excess"`      // workspaces over their rate and burst in some window
}

// Excess is a workspace whose runs do not fit its rate and burst.
type Excess struct {
	Workspace ident.Workspace `json:"workspace"`
	Need      float64         `json:"need"` // smallest burst that admits the runs
	Burst     float64         `json:"burst"`
}

// Compare checks the runs against the samples. Runs of requests that no sample names are left out.
// An excess of up to rate x slack is not reported: runs start later than the tokens
// were spent, by times that differ.
func Compare(samples []Sample, runs []upstream.Run, entitlements []Entitlement, slack time.Duration) *Runs {
	r := &Runs{}
	byRequest := make(map[string]*Sample, len(samples))
	for i := range samples {
		if known := byRequest[samples[i].Request]; known == nil || samples[i].Kind == Answered {
			byRequest[samples[i].Request] = &samples[i]
		}
	}
	ran := make(map[string]int)
	ranFor := make(map[string]bool) // by request and whether it was the repetition that ran
	started := make(map[ident.Workspace][]time.Time)
	seen := make(map[string]bool)
	for i := range runs {
		run := &runs[i]
		s := byRequest[run.Request]
		if s == nil {
			continue
		}
		r.Count++
		if run.Outcome != upstream.IncompleteBody {
			ran[run.Request]++
			ranFor[sender(run.Request, answer.IsRepeat(run.Attempt))] = true
		}
		if run.Workspace != s.Workspace {
			r.Foreign = append(r.Foreign, run.Request)
		}
		if len(run.KeyLocations) > 0 {
			r.Keys = append(r.Keys, run.Request)
		}
		// The entry retries an idempotent request under the same token, so each attempt of the caller counts once.
		if id := run.Request + "/" + run.Attempt; !seen[id] {
			seen[id] = true
			started[run.Workspace] = append(started[run.Workspace], run.Start)
		}
	}
	for id, n := range ran {
		s := byRequest[id]
		if s.Once && n > 1 {
			r.Doubles = append(r.Doubles, id)
		}
	}
	for i := range samples {
		s := &samples[i]
		if s.Kind == Refused && s.Run == fault.NotExecuted && ranFor[sender(s.Request, s.Repeat)] {
			r.Untrue = append(r.Untrue, s.Request)
		}
	}
	sort.Strings(r.Doubles)
	sort.Strings(r.Untrue)
	r.excess(started, entitlements, slack)
	return r
}

// sender tells a request from its deliberate repetition, which has the same id: a
// repetition that was not run says nothing about the first.
func sender(request string, repeat bool) string {
	if repeat {
		return request + "/repeat"
	}
	return request
}

func (r *Runs) excess(started map[ident.Workspace][]time.Time, entitlements []Entitlement, slack time.Duration) {
	for _, e := range entitlements {
		times := started[e.Workspace]
		sort.Slice(times, func(i, j int) bool { return times[i].Before(times[j]) })
		need := Need(float64(e.Rate), times)
		if need > e.Burst+1+float64(e.Rate)*slack.Seconds() {
			r.Excess = append(r.Excess, Excess{Workspace: e.Workspace, Need: need, Burst: e.Burst})
		}
	}
}

// Peak returns the most runs at the same time, over all endpoints that chosen admits.
// A run that ends at the moment at which another starts does not overlap with it.
func Peak(runs []upstream.Run, chosen func(ident.Address) bool) int {
	type edge struct {
		at   time.Time
		step int
	}
	var edges []edge
	for i := range runs {
		if !chosen(runs[i].Endpoint) {
			continue
		}
		edges = append(edges, edge{runs[i].Start, 1})
		if !runs[i].End.IsZero() {
			edges = append(edges, edge{runs[i].End, -1})
		}
	}
	sort.Slice(edges, func(i, j int) bool {
		if edges[i].at.Equal(edges[j].at) {
			return edges[i].step < edges[j].step
		}
		return edges[i].at.Before(edges[j].at)
	})
	level, most := 0, 0
	for _, e := range edges {
		level += e.step
		most = max(most, level)
	}
	return most
}

// Stands are the admin addresses of the processes with stand-in endpoints.
type Stands struct {
	Addresses []string
	Client    *http.Client
}

// Runs reads the records of all processes and returns the runs whose request id starts with prefix.
func (s Stands) Runs(ctx context.Context, prefix string) ([]upstream.Run, uint64, error) {
	var all []upstream.Run
	var dropped uint64
	for _, address := range s.Addresses {
		var after uint64
		for {
			var page upstream.RunPage
			if err := s.get(ctx, address, fmt.Sprintf("/v1/runs?after=%d", after), &page); err != nil {
				return nil, 0, err
			}
			if len(page.Runs) == 0 {
				dropped += page.Dropped
				break
			}
			after = page.Runs[len(page.Runs)-1].Number
			for i := range page.Runs {
				if strings.HasPrefix(page.Runs[i].Request, prefix) {
					all = append(all, page.Runs[i])
				}
			}
		}
	}
	return all, dropped, nil
}

// Endpoints returns the state of all endpoints.
func (s Stands) Endpoints(ctx context.Context) ([]upstream.Status, error) {
	var all []upstream.Status
	for _, address := range s.Addresses {
		var list []upstream.Status
		if err := s.get(ctx, address, "/v1/endpoints", &list); err != nil {
			return nil, err
		}
		all = append(all, list...)
	}
	return all, nil
}

func (s Stands) get(ctx context.Context, address, path string, into any) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+path, nil)
	if err != nil {
		return fault.Wrap(err, fault.Internal, "read stand-in", address)
	}
	response, err := s.Client.Do(request)
	if err != nil {
		return fault.Wrap(err, fault.Unreachable, "read stand-in", address)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return fault.New(fault.Upstream, "read stand-in", address, "status %d", response.StatusCode)
	}
	return fault.Wrap(json.NewDecoder(response.Body).Decode(into), fault.Upstream, "read stand-in", address)
}
