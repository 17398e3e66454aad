package report

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"cuminfall.example/fleet/fault"
	"cuminfall.example/fleet/ident"
	"cuminfall.example/load/upstream"
)

func evenlySpaced(gap time.Duration, n int) []time.Duration {
	list := make([]time.Duration, n)
	for i := range list {
		list[i] = time.Duration(i) * gap
	}
	return list
}

// Guards against an entitlement that ignores the burst, or that exceeds the rate and burst.
func TestEntitled(t *testing.T) {
	for _, tt := range []struct {
		name    string
		e       Entitlement
		offered []time.Duration
		want    int
	}{
		{"nothing offered", Entitlement{Rate: 10, Burst: 5}, nil, 0},
		{"within the rate", Entitlement{Rate: 10, Burst: 5}, evenlySpaced(100*time.Millisecond, 50), 50},
		{"burst at once", Entitlement{Rate: 10, Burst: 5}, evenlySpaced(0, 20), 5},
		{"twice the rate", Entitlement{Rate: 10, Burst: 5}, evenlySpaced(50*time.Millisecond, 200), 5 + 99},
		{"idle time fills up to the burst only", Entitlement{Rate: 10, Burst: 5},
			append(evenlySpaced(0, 5), append([]time.Duration{time.Hour}, time.Hour, time.Hour, time.Hour, time.Hour, time.Hour)...), 10},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is.New(t).Equal(CountEntitled(tt.e, tt.offered), tt.want)
		})
	}
}

// Guards against checking fixed windows only: a burst across the border of two windows would go unnoticed.
func TestRequiredBurstChecksEveryWindow(t *testing.T) {
	is := is.New(t)
	start := time.Unix(0, 0)
	var steady, twice []time.Time
	for i := range 100 {
		steady = append(steady, start.Add(time.Duration(i)*100*time.Millisecond))
	}
	is.Equal(RequiredBurst(10, steady), 1.0)
	for i := range 10 { // ten runs around the border between two one-second windows
		twice = append(twice, start.Add(950*time.Millisecond+time.Duration(i)*10*time.Millisecond))
	}
	is.True(RequiredBurst(10, twice) > 9)
	is.Equal(RequiredBurst(10, nil), 0.0)
}

func newSample(id string, at time.Duration, kind Kind) Sample {
	return Sample{
		Request: id, Workspace: "acme", Service: "forecast", Intended: at, Sent: at, Done: at + 5*time.Millisecond, Kind: kind, Attempts: 1,
	}
}

// Guards against counting refusals beyond the rate as wrongful, and against not counting those within it.
func TestWrongfulRefusalsAndWorstServed(t *testing.T) {
	is := is.New(t)
	var samples []Sample
	for i, at := range evenlySpaced(10*time.Millisecond, 200) { // 100 requests per second against a rate of 10
		kind := Refused
		if i%10 == 0 {
			kind = Answered
		}
		s := newSample("greedy", at, kind)
		s.Workspace = "greedy"
		samples = append(samples, s)
	}
	for i, at := range evenlySpaced(100*time.Millisecond, 20) {
		kind := Answered
		if i == 7 {
			kind = Refused
		}
		samples = append(samples, newSample("acme", at, kind))
	}
	repeat := newSample("repeat", 2*time.Second, Refused) // refused because the first request still runs
	repeat.IsRepeat, repeat.Code = true, fault.Pending
	samples = append(samples, repeat)
	r := Summarize(samples, []Entitlement{
		{Workspace: "greedy", Rate: 10, Burst: 1}, {Workspace: "acme", Rate: 10, Burst: 1},
	}, 0, 2*time.Second)
	is.Equal(r.Workspaces[0].Entitled, 20)
	is.Equal(r.Workspaces[0].WrongfulRefusals, 0)
	is.Equal(r.Workspaces[1].WrongfulRefusals, 1)
	is.Equal(r.WrongfulRefusals, 1)
	is.Equal(r.WorstServed, WorstServed{Workspace: "acme", ServedFraction: 20.0 / 21})
	is.Equal(r.Total.P50.Round(time.Millisecond), 5*time.Millisecond)
}

// Guards against overlooking a duplicate run, a false refusal, a key at an upstream or a run for another
// workspace, and against false alarms for idempotent requests.
func TestCompareFindsViolations(t *testing.T) {
	is := is.New(t)
	duplicate := newSample("double", 0, Answered)
	duplicate.NonIdempotent = true
	refused := newSample("untrue", 0, Refused)
	refused.Execution = fault.NotExecuted
	partial := newSample("partial", 0, Refused)
	partial.Execution = fault.NotExecuted
	samples := []Sample{duplicate, refused, partial, newSample("retried", 0, Answered), newSample("key", 0, Answered), newSample("foreign", 0, Answered)}
	first := newSample("repeated", 0, Refused) // this request ran, its repeat did not
	first.Execution, first.NonIdempotent = fault.ExecutionUnknown, true
	repeat := first
	repeat.Execution, repeat.IsRepeat = fault.NotExecuted, true
	samples = append(samples, first, repeat)
	start := time.Unix(100, 0)
	run := func(id, attempt string, w ident.Workspace, outcome upstream.Outcome, keys ...string) upstream.Run {
		start = start.Add(time.Second)
		return upstream.Run{Request: id, Attempt: attempt, Workspace: w, Start: start, Outcome: outcome, KeyLocations: keys}
	}
	runs := []upstream.Run{
		run("double", "1", "acme", upstream.Done), run("double", "2", "acme", upstream.Cancelled),
		run("untrue", "1", "acme", upstream.Done), run("partial", "1", "acme", upstream.IncompleteBody),
		run("retried", "1", "acme", upstream.Done), run("retried", "1", "acme", upstream.Done),
		run("key", "1", "acme", upstream.Done, "X-Note"), run("foreign", "1", "birch", upstream.Done),
		run("repeated", "2", "acme", upstream.Done),
		run("of another caller", "1", "acme", upstream.Done),
	}
	r := Compare(samples, runs, []Entitlement{{Workspace: "acme", Rate: 1, Burst: 1}}, 0)
	is.Equal(r.DuplicateRuns, []string{"double"})
	is.Equal(r.FalseRefusals, []string{"untrue"})
	is.Equal(r.KeyLeaks, []string{"key"})
	is.Equal(r.WrongWorkspace, []string{"foreign"})
	is.Equal(r.Count, 9)
	is.Equal(len(r.RateExcesses), 0)
	runs = append(runs, run("repeated", "repeat-1", "acme", upstream.Done))
	is.Equal(Compare(samples, runs, nil, 0).FalseRefusals, []string{"repeated", "untrue"})
	slow := Compare(samples, runs, []Entitlement{{Workspace: "acme", Rate: 0.1, Burst: 1}}, 0)
	is.Equal(len(slow.RateExcesses), 1)
}

// Guards against counting runs of other endpoints or consecutive runs as concurrent, and against ignoring runs
// that never ended.
func TestPeakCountsOverlappingRuns(t *testing.T) {
	is := is.New(t)
	at := func(ms int) time.Time { return time.UnixMilli(int64(1_000_000 + ms)) }
	runs := []upstream.Run{
		{Endpoint: "a", Start: at(0), End: at(10)},
		{Endpoint: "a", Start: at(10), End: at(20)},
		{Endpoint: "b", Start: at(5), End: at(15)},
		{Endpoint: "a", Start: at(12)},
		{Endpoint: "c", Start: at(0), End: at(100)},
		{Endpoint: "b", Start: at(50), End: at(60)},
	}
	ab := func(e ident.Address) bool { return e != "c" }
	is.Equal(PeakConcurrency(runs, ab), 3)
	is.Equal(PeakConcurrency(runs[:2], ab), 1)
	is.Equal(PeakConcurrency(nil, ab), 0)
}

// Guards against counting a wrongful refusal when a repeat overtakes the first request, and against counting
// none when the repeat was refused too.
func TestPendingFirstRequestIsNotWrongfulWhenItsRepeatWasAnswered(t *testing.T) {
	is := is.New(t)
	e := []Entitlement{{Workspace: "w", Rate: 10, Burst: 10}}
	first := Sample{Request: "1", Workspace: "w", Kind: Refused, Code: fault.Pending}
	repeat := Sample{Request: "1", Workspace: "w", Kind: Answered, IsRepeat: true}
	is.Equal(Summarize([]Sample{first, repeat}, e, 0, time.Second).WrongfulRefusals, 0)
	repeat.Kind, repeat.Code = Refused, fault.Busy
	is.Equal(Summarize([]Sample{first, repeat}, e, 0, time.Second).WrongfulRefusals, 2)
}
