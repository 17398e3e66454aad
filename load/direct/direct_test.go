package direct

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"

	"cuminfall.example/fleet/clock"
	"cuminfall.example/load/caller"
	"cuminfall.example/load/report"
)

// slowPath is a path that answers every request after a fixed time.
type slowPath time.Duration

func (s slowPath) Do(context.Context, *caller.Request) caller.Result {
	time.Sleep(time.Duration(s))
	return caller.Result{Kind: report.Answered}
}

// Guards against a comparison that confuses the two paths, or that measures them one after the other.
func TestPairedComparison(t *testing.T) {
	is := is.New(t)
	s := caller.Defaults()
	s.Warmup, s.Duration = 0, time.Second
	s.Services = []caller.Service{{Name: "forecast", Timeout: time.Second}}
	s.Workspaces = []caller.Workspace{{Name: "acme", Rate: 100, Burst: 1, OfferedFraction: 1, Pattern: "steady"}}
	path := &alternatingPath{entry: slowPath(25 * time.Millisecond), direct: slowPath(5 * time.Millisecond)}
	runner := &caller.Runner{Settings: &s, Path: path, Clock: clock.System{}, IDPrefix: "t"}
	list := Compare(runner.Send(context.Background()), 0)
	is.Equal(len(list), 2) // the service and the total
	total := list[1]
	is.True(total.Entry.Count-total.Direct.Count <= 1 && total.Direct.Count-total.Entry.Count <= 1)
	is.True(total.AddedP50 >= 10*time.Millisecond)
	is.True(total.Direct.P50 >= 5*time.Millisecond && total.Entry.P50 >= 25*time.Millisecond)
}

// Guards against warm-up samples and failures that count as latencies.
func TestComparisonExcludesWarmupAndFailures(t *testing.T) {
	is := is.New(t)
	sample := func(path string, start, latency time.Duration, kind report.Kind) report.Sample {
		return report.Sample{Service: "forecast", Path: path, Intended: start, Sent: start, Done: start + latency, Kind: kind}
	}
	list := Compare([]report.Sample{
		sample(entryPath, 0, time.Second, report.Answered),
		sample(entryPath, time.Minute, 3*time.Millisecond, report.Answered),
		sample(directPath, time.Minute, 2*time.Millisecond, report.Answered),
		sample(directPath, time.Minute, time.Second, report.Refused),
	}, time.Second)
	is.Equal(list[0].AddedP50.Round(100*time.Microsecond), time.Millisecond)
	is.Equal(list[0].Failed, 1)
}

// Guards against a closed loop that counts failed or interrupted operations as done.
func TestClosedLoop(t *testing.T) {
	is := is.New(t)
	entry := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Query().Get("service") == "claims" {
			w.WriteHeader(http.StatusNotFound)
		}
	}))
	defer entry.Close()
	s := caller.Defaults()
	s.EntryAddresses = []string{entry.Listener.Addr().String()}
	s.Services = []caller.Service{{Name: "forecast"}, {Name: "claims"}}
	s.Workspaces = []caller.Workspace{{Name: "acme"}}
	l := closedLoop{clock: clock.System{}, workers: 2, duration: 300 * time.Millisecond, operation: lookupOperation(&s)}
	got := l.run(context.Background())
	is.True(got.Done > 10)
	is.True(got.Failed > 10)
	is.True(float64(got.RequestRate) <= float64(got.Done)/0.3)
}
