package caller

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"cuminfall.example/fleet/clock"
	"cuminfall.example/fleet/fault"
	"cuminfall.example/fleet/ident"
	"cuminfall.example/fleet/settings"
	"cuminfall.example/load/answer"
	"cuminfall.example/load/report"
)

// vm is an entry VM of a test: it serves lookups and leaves requests to serve.
type vm struct {
	*httptest.Server
	named   []string // addresses that its lookups name
	lookups atomic.Int32
	hits    atomic.Int32
	serve   http.HandlerFunc
}

func newVM(t *testing.T, serve http.HandlerFunc) *vm {
	v := &vm{serve: serve}
	v.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/cuminfall/v1/lookup" {
			v.lookups.Add(1)
			l := Lookup{Lifetime: "1h"}
			for _, a := range v.named {
				l.VMs = append(l.VMs, Named{Address: ident.Address(a)})
			}
			json.NewEncoder(w).Encode(l)
			return
		}
		v.hits.Add(1)
		v.serve(w, r)
	}))
	t.Cleanup(v.Close)
	return v
}

func (v *vm) address() string { return v.Listener.Addr().String() }

// echo answers as a stand-in behind an entry VM would.
func echo(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	w.Write(answer.Format(answer.Head{
		Request: r.Header.Get(answer.RequestHeader), Workspace: "acme", Body: answer.Digest(body), Size: 300,
	}))
}

func refusing(code fault.Code, run fault.Execution) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Cuminfall-Run", string(run))
		w.WriteHeader(code.HTTPStatus())
		json.NewEncoder(w).Encode(fault.Error{Code: code, Execution: run})
	}
}

func hangingUp(_ http.ResponseWriter, r *http.Request) {
	io.Copy(io.Discard, r.Body)
	panic(http.ErrAbortHandler)
}

func testSettings(entries ...string) *Settings {
	s := Defaults()
	s.Entries = entries
	s.Warmup, s.Duration = 0, time.Second
	s.Services = []Service{{Name: "forecast", Prefix: "/forecast/", Body: 100}, {Name: "claims", Prefix: "/claims/", Once: true, Body: 100}}
	s.Workspaces = []Workspace{{Name: "acme", Key: "ck_id_secret", Rate: 100, Burst: 10}}
	s.fill()
	return &s
}

// Guards against a caller that gives up at a VM that cannot serve, or that asks for a lookup each time.
func TestCallerGoesToTheNextVM(t *testing.T) {
	is := is.New(t)
	stale := newVM(t, refusing(fault.Stale, fault.NotExecuted))
	good := newVM(t, echo)
	dead := newVM(t, echo)
	dead.Close()
	good.named = []string{dead.address(), stale.address(), good.address()}
	s := testSettings(dead.address(), good.address())
	path := NewEntry(s, clock.System{})
	for i := range 3 {
		r := &Request{ID: fmt.Sprint("r", i), Workspace: &s.Workspaces[0], Service: &s.Services[1], Body: 100}
		result := path.Do(context.Background(), r)
		is.Equal(result.Kind, report.Answered)
		is.Equal(result.Attempts, min(3, 3-min(i, 1))) // the dead VM comes last after the first request
	}
	is.Equal(good.lookups.Load(), int32(1))
	is.Equal(stale.hits.Load(), int32(3))
}

// Guards against a refusal that is passed on as not run although an earlier attempt may have run.
func TestUnknownOutcomeStaysUnknown(t *testing.T) {
	is := is.New(t)
	breaking := newVM(t, hangingUp)
	refuser := newVM(t, refusing(fault.Busy, fault.NotExecuted))
	refuser.named = []string{breaking.address(), refuser.address()}
	s := testSettings(refuser.address())
	r := &Request{ID: "r", Workspace: &s.Workspaces[0], Service: &s.Services[1], Body: 100}
	result := NewEntry(s, clock.System{}).Do(context.Background(), r)
	is.Equal(result.Kind, report.Refused)
	is.Equal(result.Run, fault.ExecutionUnknown)
	is.Equal(breaking.hits.Load(), int32(1)) // the transport itself sends no second time
}

// Guards against answers that are not whole or not the request's own passing for good ones.
func TestAnswersAreChecked(t *testing.T) {
	for _, tt := range []struct {
		name  string
		serve http.HandlerFunc
		want  report.Kind
	}{
		{"whole", echo, report.Answered},
		{"another request's", func(w http.ResponseWriter, r *http.Request) {
			r.Header.Set(answer.RequestHeader, "other")
			echo(w, r)
		}, report.Foreign},
		{"half, but complete for HTTP", func(w http.ResponseWriter, r *http.Request) {
			text := answer.Format(answer.Head{Request: r.Header.Get(answer.RequestHeader), Size: 300})
			w.Write(text[:150])
		}, report.Cut},
		{"broken within the body", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", "300")
			w.Write(make([]byte, 150))
			http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		}, report.Aborted},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			v := newVM(t, tt.serve)
			v.named = []string{v.address()}
			s := testSettings(v.address())
			r := &Request{ID: "mine", Workspace: &s.Workspaces[0], Service: &s.Services[0], Body: 100}
			is.Equal(NewEntry(s, clock.System{}).Do(context.Background(), r).Kind, tt.want)
		})
	}
}

// slowPath answers after a pause and takes one request at a time.
type slowPath struct{ turn chan bool }

func (p slowPath) Do(context.Context, *Request) Result {
	p.turn <- true
	time.Sleep(30 * time.Millisecond)
	<-p.turn
	return Result{Kind: report.Answered, Attempts: 1}
}

// Guards against coordinated omission: a caller with one request in flight falls
// behind, and the waiting must show in the latencies.
func TestLatencyCountsFromTheIntendedTime(t *testing.T) {
	is := is.New(t)
	s := testSettings()
	s.Most = 1
	s.Duration = 300 * time.Millisecond
	s.Workspaces[0].Offered = 1 // about 30 requests of 30 ms each in 0.3 s
	runner := &Runner{Settings: s, Path: slowPath{make(chan bool, 1)}, Clock: clock.System{}, Tag: "t"}
	samples := runner.Send(context.Background())
	out := report.Summarize(samples, s.Entitlements(), 0, s.Duration)
	is.True(len(samples) > 15)
	least := time.Duration(len(samples))*30*time.Millisecond - s.Duration
	is.True(out.Total.Most >= least*9/10)
	is.True(out.Held > 0)
}

// Guards against plans that differ between runs with one seed, and against patterns without effect.
func TestPlan(t *testing.T) {
	is := is.New(t)
	s := testSettings()
	s.Duration = 30 * time.Second
	s.Services[1].Repeat = 1
	s.Workspaces = append(s.Workspaces, Workspace{Name: "burst", Rate: 100, Burst: 1, Pattern: "burst", From: 10 * time.Second})
	s.fill()
	plan := Plan(s, "t")
	is.Equal(plan, Plan(s, "t"))
	counts := make(map[ident.Workspace][3]int)
	repeats := 0
	for _, r := range plan {
		if r.Repeat {
			repeats++
			continue
		}
		c := counts[r.Workspace.Name]
		c[min(2, int(r.At/(10*time.Second)))]++
		counts[r.Workspace.Name] = c
	}
	near := func(got, want int) bool { return got > want*8/10 && got < want*12/10 }
	for i, want := range []int{600, 1800, 600} {
		is.True(near(counts["burst"][i], want))
		is.True(near(counts["acme"][i], 600))
	}
	is.True(repeats > 1000) // half of all requests
}

// Guards against settings with several faults that report one only.
func TestSettingsReportAllFaults(t *testing.T) {
	is := is.New(t)
	s := Defaults()
	err := settings.Parse("call.toml", `
entries = ["here"]
most = 0
[[service]]
name = "forecast"
prefix = "forecast"
[[workspace]]
name = "acme"
rate = -1.0
burst = 5.0
mix = { claims = 1.0 }
`, &s)
	problems, ok := err.(*settings.Problems)
	is.True(ok)
	is.Equal(len(problems.List), 5)
}
