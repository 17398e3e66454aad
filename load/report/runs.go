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

// Runs is the comparison of the outcomes that callers saw with the run records of the stand-ins.
type Runs struct {
	Count           int          `json:"count"`
	Dropped         uint64       `json:"dropped"`     // records that the stand-ins had no room for; above 0 the lists are incomplete
	DuplicateRuns   []string     `json:"doubles"`     // non-idempotent requests that ran more than once
	FalseRefusals   []string     `json:"untrue"`      // requests refused as not executed that ran
	WrongWorkspace  []string     `json:"foreign"`     // requests that ran for another workspace
	KeyLeaks        []string     `json:"keys"`        // requests whose workspace key reached a stand-in
	OverSlots       uint64       `json:"over"`        // requests that arrived at an endpoint with no free slot
	OverConnections uint64       `json:"connections"` // connections refused because an endpoint was at its connection limit
	RateExcesses    []RateExcess `json:"excess"`      // workspaces that exceeded their rate and burst in some window
}

// RateExcess is a workspace whose runs exceed its rate and burst.
type RateExcess struct {
	Workspace     ident.Workspace `json:"workspace"`
	RequiredBurst float64         `json:"need"` // smallest burst that would admit the runs
	Burst         float64         `json:"burst"`
}

// Compare checks the runs against the samples and ignores runs of requests without a sample. It doesn't report
// an excess of up to rate x slack, since a run starts later than its token was spent, by a varying delay.
func Compare(samples []Sample, runs []upstream.Run, entitlements []Entitlement, slack time.Duration) *Runs {
	r := &Runs{}
	byRequest := make(map[string]*Sample, len(samples))
	for i := range samples {
		if known := byRequest[samples[i].Request]; known == nil || samples[i].Kind == Answered {
			byRequest[samples[i].Request] = &samples[i]
		}
	}
	runCounts := make(map[string]int)
	executed := make(map[string]bool) // by runKey
	startTimes := make(map[ident.Workspace][]time.Time)
	seenAttempts := make(map[string]bool)
	for i := range runs {
		run := &runs[i]
		s := byRequest[run.Request]
		if s == nil {
			continue
		}
		r.Count++
		if run.Outcome != upstream.IncompleteBody {
			runCounts[run.Request]++
			executed[runKey(run.Request, answer.IsRepeat(run.Attempt))] = true
		}
		if run.Workspace != s.Workspace {
			r.WrongWorkspace = append(r.WrongWorkspace, run.Request)
		}
		if len(run.KeyLocations) > 0 {
			r.KeyLeaks = append(r.KeyLeaks, run.Request)
		}
		// An entry VM retries an idempotent request under the same token, so each attempt of the caller counts once.
		if id := run.Request + "/" + run.Attempt; !seenAttempts[id] {
			seenAttempts[id] = true
			startTimes[run.Workspace] = append(startTimes[run.Workspace], run.Start)
		}
	}
	for id, n := range runCounts {
		s := byRequest[id]
		if s.NonIdempotent && n > 1 {
			r.DuplicateRuns = append(r.DuplicateRuns, id)
		}
	}
	for i := range samples {
		s := &samples[i]
		if s.Kind == Refused && s.Execution == fault.NotExecuted && executed[runKey(s.Request, s.IsRepeat)] {
			r.FalseRefusals = append(r.FalseRefusals, s.Request)
		}
	}
	sort.Strings(r.DuplicateRuns)
	sort.Strings(r.FalseRefusals)
	r.checkRates(startTimes, entitlements, slack)
	return r
}

// runKey distinguishes a request from its deliberate repeat, which has the same ID: that the repeat did not run
// says nothing about the first request.
func runKey(request string, repeat bool) string {
	if repeat {
		return request + "/repeat"
	}
	return request
}

func (r *Runs) checkRates(startTimes map[ident.Workspace][]time.Time, entitlements []Entitlement, slack time.Duration) {
	for _, e := range entitlements {
		times := startTimes[e.Workspace]
		sort.Slice(times, func(i, j int) bool { return times[i].Before(times[j]) })
		required := RequiredBurst(float64(e.Rate), times)
		if required > e.Burst+1+float64(e.Rate)*slack.Seconds() {
			r.RateExcesses = append(r.RateExcesses, RateExcess{Workspace: e.Workspace, RequiredBurst: required, Burst: e.Burst})
		}
	}
}

// PeakConcurrency returns the maximum number of concurrent runs at the endpoints that include selects. A run
// that ends at the moment at which another starts does not overlap with it.
func PeakConcurrency(runs []upstream.Run, include func(ident.Address) bool) int {
	type boundary struct {
		at    time.Time
		delta int
	}
	var boundaries []boundary
	for i := range runs {
		if !include(runs[i].Endpoint) {
			continue
		}
		boundaries = append(boundaries, boundary{runs[i].Start, 1})
		if !runs[i].End.IsZero() {
			boundaries = append(boundaries, boundary{runs[i].End, -1})
		}
	}
	sort.Slice(boundaries, func(i, j int) bool {
		if boundaries[i].at.Equal(boundaries[j].at) {
			return boundaries[i].delta < boundaries[j].delta
		}
		return boundaries[i].at.Before(boundaries[j].at)
	})
	running, peak := 0, 0
	for _, e := range boundaries {
		running += e.delta
		peak = max(peak, running)
	}
	return peak
}

// StandIns reads the state of the processes with stand-in endpoints at their admin addresses.
type StandIns struct {
	Addresses []string
	Client    *http.Client
}

// Runs returns the runs whose request ID starts with prefix, and the number of records that the processes
// dropped.
func (s StandIns) Runs(ctx context.Context, prefix string) ([]upstream.Run, uint64, error) {
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

// Endpoints returns the state of all endpoints of all processes.
func (s StandIns) Endpoints(ctx context.Context) ([]upstream.Status, error) {
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

func (s StandIns) get(ctx context.Context, address, path string, target any) error {
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
		return fault.New(fault.Upstream, "read stand-in", address, "unexpected HTTP status %d", response.StatusCode)
	}
	return fault.Wrap(json.NewDecoder(response.Body).Decode(target), fault.Upstream, "read stand-in", address)
}
