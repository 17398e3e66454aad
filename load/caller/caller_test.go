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

// entryVM simulates an entry VM: it answers lookups itself and passes other requests to handler.
type entryVM struct {
	*httptest.Server
	lookupAddresses []string // addresses in the responses to lookups
	lookups         atomic.Int32
	requests        atomic.Int32
	handler         http.HandlerFunc
}

func newEntryVM(t *testing.T, handler http.HandlerFunc) *entryVM {
	v := &entryVM{handler: handler}
	v.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/cuminfall/v1/lookup" {
			v.lookups.Add(1)
			l := Lookup{Lifetime: "1h"}
			for _, a := range v.lookupAddresses {
				l.VMs = append(l.VMs, LookupVM{Address: ident.Address(a)})
			}
			json.NewEncoder(w).Encode(l)
			return
		}
		v.requests.Add(1)
		v.handler(w, r)
	}))
	t.Cleanup(v.Close)
	return v
}

func (v *entryVM) address() string { return v.Listener.Addr().String() }

// echo answers like a stand-in behind an entry VM.
func echo(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	w.Write(answer.Format(answer.Head{
		Request: r.Header.Get(answer.RequestHeader), Workspace: "acme", Body: answer.Digest(body), Size: 300,
	}))
}

func refuseWith(code fault.Code, execution fault.Execution) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Cuminfall-Run", string(execution))
		w.WriteHeader(code.HTTPStatus())
		json.NewEncoder(w).Encode(fault.Error{Code: code, Execution: execution})
	}
}

func abortConnection(_ http.ResponseWriter, r *http.Request) {
	io.Copy(io.Discard, r.Body)
	panic(http.ErrAbortHandler)
}

func testSettings(entries ...string) *Settings {
	s := Defaults()
	s.EntryAddresses = entries
	s.Warmup, s.Duration = 0, time.Second
	s.Services = []Service{{Name: "forecast", Prefix: "/forecast/", BodySize: 100}, {Name: "claims", Prefix: "/claims/", NonIdempotent: true, BodySize: 100}}
	s.Workspaces = []Workspace{{Name: "acme", Key: "ck_id_secret", Rate: 100, Burst: 10}}
	s.setDefaults()
	return &s
}

// Guards against a caller that gives up at a VM that cannot serve, or that sends a lookup before each request.
func TestCallerTriesNextVM(t *testing.T) {
	is := is.New(t)
	stale := newEntryVM(t, refuseWith(fault.Stale, fault.NotExecuted))
	good := newEntryVM(t, echo)
	dead := newEntryVM(t, echo)
	dead.Close()
	good.lookupAddresses = []string{dead.address(), stale.address(), good.address()}
	s := testSettings(dead.address(), good.address())
	path := NewEntryPath(s, clock.System{})
	for i := range 3 {
		r := &Request{ID: fmt.Sprint("r", i), Workspace: &s.Workspaces[0], Service: &s.Services[1], BodySize: 100}
		result := path.Do(context.Background(), r)
		is.Equal(result.Kind, report.Answered)
		is.Equal(result.Attempts, min(3, 3-min(i, 1))) // after the first request the dead VM comes last
	}
	is.Equal(good.lookups.Load(), int32(1))
	is.Equal(stale.requests.Load(), int32(3))
}

// Guards against reporting a request as not executed because its last attempt was refused, although an earlier
// attempt may have run.
func TestUnknownExecutionIsKept(t *testing.T) {
	is := is.New(t)
	aborting := newEntryVM(t, abortConnection)
	refuser := newEntryVM(t, refuseWith(fault.Busy, fault.NotExecuted))
	refuser.lookupAddresses = []string{aborting.address(), refuser.address()}
	s := testSettings(refuser.address())
	r := &Request{ID: "r", Workspace: &s.Workspaces[0], Service: &s.Services[1], BodySize: 100}
	result := NewEntryPath(s, clock.System{}).Do(context.Background(), r)
	is.Equal(result.Kind, report.Refused)
	is.Equal(result.Execution, fault.ExecutionUnknown)
	is.Equal(aborting.requests.Load(), int32(1)) // the transport doesn't resend on its own
}

// Guards against accepting an incomplete response or one that belongs to another request.
func TestAnswersAreChecked(t *testing.T) {
	for _, tt := range []struct {
		name  string
		serve http.HandlerFunc
		want  report.Kind
	}{
		{"complete", echo, report.Answered},
		{"answer to another request", func(w http.ResponseWriter, r *http.Request) {
			r.Header.Set(answer.RequestHeader, "other")
			echo(w, r)
		}, report.Mismatched},
		{"truncated answer in a complete HTTP response", func(w http.ResponseWriter, r *http.Request) {
			text := answer.Format(answer.Head{Request: r.Header.Get(answer.RequestHeader), Size: 300})
			w.Write(text[:150])
		}, report.Truncated},
		{"connection lost within the body", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", "300")
			w.Write(make([]byte, 150))
			http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		}, report.Aborted},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			v := newEntryVM(t, tt.serve)
			v.lookupAddresses = []string{v.address()}
			s := testSettings(v.address())
			r := &Request{ID: "mine", Workspace: &s.Workspaces[0], Service: &s.Services[0], BodySize: 100}
			is.Equal(NewEntryPath(s, clock.System{}).Do(context.Background(), r).Kind, tt.want)
		})
	}
}

// slowPath handles one request at a time and answers it after 30 ms.
type slowPath struct{ busy chan bool }

func (p slowPath) Do(context.Context, *Request) Result {
	p.busy <- true
	time.Sleep(30 * time.Millisecond)
	<-p.busy
	return Result{Kind: report.Answered, Attempts: 1}
}

// Guards against coordinated omission: a caller with one request in flight falls behind its plan, and the waiting
// time must be part of the latencies.
func TestLatencyIsMeasuredFromIntendedTime(t *testing.T) {
	is := is.New(t)
	s := testSettings()
	s.MaxInFlight = 1
	s.Duration = 300 * time.Millisecond
	s.Workspaces[0].OfferedFraction = 1 // about 30 requests of 30 ms each in 0.3 s
	runner := &Runner{Settings: s, Path: slowPath{make(chan bool, 1)}, Clock: clock.System{}, IDPrefix: "t"}
	samples := runner.Send(context.Background())
	out := report.Summarize(samples, s.Entitlements(), 0, s.Duration)
	is.True(len(samples) > 15)
	minLatency := time.Duration(len(samples))*30*time.Millisecond - s.Duration
	is.True(out.Total.Max >= minLatency*9/10)
	is.True(out.SentLate > 0)
}

// Guards against plans that differ between runs with the same seed, and against patterns without effect.
func TestPlan(t *testing.T) {
	is := is.New(t)
	s := testSettings()
	s.Duration = 30 * time.Second
	s.Services[1].RepeatFraction = 1
	s.Workspaces = append(s.Workspaces, Workspace{Name: "burst", Rate: 100, Burst: 1, Pattern: "burst", PeakStart: 10 * time.Second})
	s.setDefaults()
	plan := Plan(s, "t")
	is.Equal(plan, Plan(s, "t"))
	counts := make(map[ident.Workspace][3]int)
	repeats := 0
	for _, r := range plan {
		if r.IsRepeat {
			repeats++
			continue
		}
		c := counts[r.Workspace.Name]
		c[min(2, int(r.SendAt/(10*time.Second)))]++
		counts[r.Workspace.Name] = c
	}
	near := func(got, want int) bool { return got > want*8/10 && got < want*12/10 }
	for i, want := range []int{600, 1800, 600} {
		is.True(near(counts["burst"][i], want))
		is.True(near(counts["acme"][i], 600))
	}
	is.True(repeats > 1000) // half of all requests are repeats
}

// Guards against reporting only one of several invalid settings.
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
