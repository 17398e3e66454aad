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

// slow is a path that takes a fixed time.
type slow time.Duration

func (s slow) Do(context.Context, *caller.Request) caller.Result {
	time.Sleep(time.Duration(s))
	return caller.Result{Kind: report.Answered}
}

// Guards against a comparison that mixes the paths up, or that compares runs of different times.
func TestPairedComparison(t *testing.T) {
	is := is.New(t)
	s := caller.Defaults()
	s.Warmup, s.Duration = 0, time.Second
	s.Services = []caller.Service{{Name: "forecast", Timeout: time.Second}}
	s.Workspaces = []caller.Workspace{{Name: "acme", Rate: 100, Burst: 1, OfferedFraction: 1, Pattern: "steady"}}
	path := &alternating{entry: slow(25 * time.Millisecond), direct: slow(5 * time.Millisecond)}
	runner := &caller.Runner{Settings: &s, Path: path, Clock: clock.System{}, IDPrefix: "t"}
	list := Compare(runner.Send(context.Background()), 0)
	is.Equal(len(list), 2) // the service and the total
	all := list[1]
	is.True(all.Entry.Count-all.Direct.Count <= 1 && all.Direct.Count-all.Entry.Count <= 1)
	is.True(all.Added50 >= 10*time.Millisecond)
	is.True(all.Direct.P50 >= 5*time.Millisecond && all.Entry.P50 >= 25*time.Millisecond)
}

// Guards against samples of the warm-up and failures counting as latencies.
func TestComparisonLeavesOutWarmupAndFailures(t *testing.T) {
	is := is.New(t)
	sample := func(path string, at, took time.Duration, kind report.Kind) report.Sample {
		return report.Sample{Service: "forecast", Path: path, Intended: at, Sent: at, Done: at + took, Kind: kind}
	}
	list := Compare([]report.Sample{
		sample(throughEntry, 0, time.Second, report.Answered),
		sample(throughEntry, time.Minute, 3*time.Millisecond, report.Answered),
		sample(straight, time.Minute, 2*time.Millisecond, report.Answered),
		sample(straight, time.Minute, time.Second, report.Refused),
	}, time.Second)
	is.Equal(list[0].Added50.Round(100*time.Microsecond), time.Millisecond)
	is.Equal(list[0].Failed, 1)
}

// Guards against a closed loop that counts failures or requests cut off by its end as done.
func TestClosedLoop(t *testing.T) {
	is := is.New(t)
	vm := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Query().Get("service") == "claims" {
			w.WriteHeader(http.StatusNotFound)
		}
	}))
	defer vm.Close()
	s := caller.Defaults()
	s.EntryAddresses = []string{vm.Listener.Addr().String()}
	s.Services = []caller.Service{{Name: "forecast"}, {Name: "claims"}}
	s.Workspaces = []caller.Workspace{{Name: "acme"}}
	l := loop{clock: clock.System{}, workers: 2, span: 300 * time.Millisecond, do: lookups(&s)}
	got := l.run(context.Background())
	is.True(got.Done > 10)
	is.True(got.Failed > 10)
	is.True(float64(got.Rate) <= float64(got.Done)/0.3)
}
