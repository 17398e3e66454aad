package report

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"cuminfall.example/fleet/fault"
	"cuminfall.example/fleet/ident"
	"cuminfall.example/load/upstream"
)

func every(gap time.Duration, n int) []time.Duration {
	list := make([]time.Duration, n)
	for i := range list {
		list[i] = time.Duration(i) * gap
	}
	return list
}

// Guards against an entitlement that ignores the burst, or that grants more than rate and burst.
func TestEntitled(t *testing.T) {
	for _, tt := range []struct {
		name    string
		e       Entitlement
		offered []time.Duration
		want    int
	}{
		{"nothing offered", Entitlement{Rate: 10, Burst: 5}, nil, 0},
		{"within the rate", Entitlement{Rate: 10, Burst: 5}, every(100*time.Millisecond, 50), 50},
		{"burst at once", Entitlement{Rate: 10, Burst: 5}, every(0, 20), 5},
		{"twice the rate", Entitlement{Rate: 10, Burst: 5}, every(50*time.Millisecond, 200), 5 + 99},
		{"idle time fills up to the burst only", Entitlement{Rate: 10, Burst: 5},
			append(every(0, 5), append([]time.Duration{time.Hour}, time.Hour, time.Hour, time.Hour, time.Hour, time.Hour)...), 10},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is.New(t).Equal(Entitled(tt.e, tt.offered), tt.want)
		})
	}
}

// Guards against a window over the rate that a check of fixed windows would miss.
func TestNeedLooksAtEveryWindow(t *testing.T) {
	is := is.New(t)
	start := time.Unix(0, 0)
	var steady, twice []time.Time
	for i := range 100 {
		steady = append(steady, start.Add(time.Duration(i)*100*time.Millisecond))
	}
	is.Equal(Need(10, steady), 1.0)
	for i := range 10 { // around the border of two seconds
		twice = append(twice, start.Add(950*time.Millisecond+time.Duration(i)*10*time.Millisecond))
	}
	is.True(Need(10, twice) > 9)
	is.Equal(Need(10, nil), 0.0)
}

func sampleOf(id string, at time.Duration, kind Kind) Sample {
	return Sample{
		Request: id, Workspace: "acme", Service: "forecast", Intended: at, Sent: at, Done: at + 5*time.Millisecond, Kind: kind, Attempts: 1,
	}
}

// Guards against refusals beyond the rate that count as wrongful, and against those within it that do not.
func TestWrongfulRefusalsAndWorstServed(t *testing.T) {
	is := is.New(t)
	var samples []Sample
	for i, at := range every(10*time.Millisecond, 200) { // 100 per second against 10
		kind := Refused
		if i%10 == 0 {
			kind = Answered
		}
		s := sampleOf("greedy", at, kind)
		s.Workspace = "greedy"
		samples = append(samples, s)
	}
	for i, at := range every(100*time.Millisecond, 20) {
		kind := Answered
		if i == 7 {
			kind = Refused
		}
		samples = append(samples, sampleOf("acme", at, kind))
	}
	repeat := sampleOf("repeat", 2*time.Second, Refused) // hears that the first request still runs
	repeat.Repeat, repeat.Code = true, fault.Pending
	samples = append(samples, repeat)
	r := Summarize(samples, []Entitlement{
		{Workspace: "greedy", Rate: 10, Burst: 1}, {Workspace: "acme", Rate: 10, Burst: 1},
	}, 0, 2*time.Second)
	is.Equal(r.Workspaces[0].Entitled, 20)
	is.Equal(r.Workspaces[0].Wrongful, 0)
	is.Equal(r.Workspaces[1].Wrongful, 1)
	is.Equal(r.Wrongful, 1)
	is.Equal(r.Worst, Worst{Workspace: "acme", Served: 20.0 / 21})
	is.Equal(r.Total.P50.Round(time.Millisecond), 5*time.Millisecond)
}

// Guards against a double run, an untrue refusal, a key at an upstream or a run for
// another workspace that goes unnoticed, and against false alarms for idempotent requests.
func TestCompareFindsViolations(t *testing.T) {
	is := is.New(t)
	once := sampleOf("double", 0, Answered)
	once.Once = true
	refused := sampleOf("untrue", 0, Refused)
	refused.Run = fault.NotExecuted
	partial := sampleOf("partial", 0, Refused)
	partial.Run = fault.NotExecuted
	samples := []Sample{once, refused, partial, sampleOf("retried", 0, Answered), sampleOf("key", 0, Answered), sampleOf("foreign", 0, Answered)}
	first := sampleOf("repeated", 0, Refused) // ran, and its repetition truly did not
	first.Run, first.Once = fault.ExecutionUnknown, true
	again := first
	again.Run, again.Repeat = fault.NotExecuted, true
	samples = append(samples, first, again)
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
	is.Equal(r.Doubles, []string{"double"})
	is.Equal(r.Untrue, []string{"untrue"})
	is.Equal(r.Keys, []string{"key"})
	is.Equal(r.Foreign, []string{"foreign"})
	is.Equal(r.Count, 9)
	is.Equal(len(r.Excess), 0)
	runs = append(runs, run("repeated", "repeat-1", "acme", upstream.Done))
	is.Equal(Compare(samples, runs, nil, 0).Untrue, []string{"repeated", "untrue"})
	slow := Compare(samples, runs, []Entitlement{{Workspace: "acme", Rate: 0.1, Burst: 1}}, 0)
	is.Equal(len(slow.Excess), 1)
}

// Guards against counting runs of other endpoints, runs that follow each other, or forgetting runs that never ended.
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
	is.Equal(Peak(runs, ab), 3)
	is.Equal(Peak(runs[:2], ab), 1)
	is.Equal(Peak(nil, ab), 0)
}

// Guards against blaming the fleet when a repetition overtakes the first request, and against
// excusing a first request whose repetition was not answered either.
func TestPendingFirstIsDueWhenItsRepetitionWasAnswered(t *testing.T) {
	is := is.New(t)
	e := []Entitlement{{Workspace: "w", Rate: 10, Burst: 10}}
	first := Sample{Request: "1", Workspace: "w", Kind: Refused, Code: fault.Pending}
	repeat := Sample{Request: "1", Workspace: "w", Kind: Answered, Repeat: true}
	is.Equal(Summarize([]Sample{first, repeat}, e, 0, time.Second).Wrongful, 0)
	repeat.Kind, repeat.Code = Refused, fault.Busy
	is.Equal(Summarize([]Sample{first, repeat}, e, 0, time.Second).Wrongful, 2)
}
