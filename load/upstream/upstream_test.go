package upstream

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"cuminfall.example/fleet/clock"
	"cuminfall.example/fleet/settings"
	"cuminfall.example/load/answer"
	"cuminfall.example/load/command"
)

// start returns a process with one endpoint, and the endpoint.
func start(t *testing.T, set EndpointSettings) (*Process, *Endpoint) {
	t.Helper()
	set.Service, set.Address, set.Domain = "forecast", "127.0.0.1:0", "lappi-a"
	if set.Slots == 0 {
		set.Slots = 4
	}
	s := Defaults()
	s.Endpoints = []EndpointSettings{set}
	p := New(s, command.Console{Out: io.Discard, Err: io.Discard, Clock: clock.System{}})
	e := p.endpoints[0]
	if err := e.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(e.Kill)
	return p, e
}

// ask sends one request with the id and returns its answer.
func ask(client *http.Client, e *Endpoint, id string, headers ...string) (*http.Response, []byte, error) {
	request, _ := http.NewRequest(http.MethodPost, "http://"+string(e.Status().Address)+"/forecast/x", strings.NewReader("body of "+id))
	request.GetBody = nil
	request.Header.Set(answer.RequestHeader, id)
	request.Header.Set(workspaceHeader, "acme")
	for i := 0; i+1 < len(headers); i += 2 {
		request.Header.Set(headers[i], headers[i+1])
	}
	response, err := client.Do(request)
	if err != nil {
		return nil, nil, err
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	return response, text, err
}

func newClient(t *testing.T) *http.Client {
	transport := &http.Transport{}
	t.Cleanup(transport.CloseIdleConnections)
	return &http.Client{Transport: transport, Timeout: 5 * time.Second}
}

// Guards against a record that misses a run or a key that reached the upstream.
func TestRecordHoldsEveryRun(t *testing.T) {
	is := is.New(t)
	p, e := start(t, EndpointSettings{})
	_, text, err := ask(newClient(t), e, "r1", "Idempotency-Key", "k1", "X-Note", "Bearer ck_a_b")
	is.NoErr(err)
	head, err := answer.Parse(text)
	is.NoErr(err)
	is.Equal(head.Request, "r1")
	is.Equal(string(head.Workspace), "acme")
	is.Equal(head.Body, answer.Digest([]byte("body of r1")))
	w := httptest.NewRecorder()
	p.Admin().ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/v1/runs?after=0", nil))
	var page Page
	is.NoErr(json.Unmarshal(w.Body.Bytes(), &page))
	is.Equal(len(page.Runs), 1)
	run := page.Runs[0]
	is.Equal(run.Request, "r1")
	is.Equal(run.Idempotency, "k1")
	is.Equal(run.Keys, []string{"X-Note"})
	is.Equal(run.Outcome, Done)
	is.Equal(int(run.Received), len("body of r1"))
	is.Equal(int(run.Sent), len(text))
	is.True(!run.End.Before(run.Start))
}

// Guards against an endpoint that runs more than its slots, or that sheds a request and runs it.
func TestSlotsQueueAndShedding(t *testing.T) {
	is := is.New(t)
	p, e := start(t, EndpointSettings{Slots: 1, Queue: 1, Patience: 5 * time.Second, Median: 150 * time.Millisecond})
	client := newClient(t)
	var asking sync.WaitGroup
	var mu sync.Mutex
	statuses := make(map[int]int)
	for _, id := range []string{"a", "b", "c"} {
		asking.Go(func() {
			response, _, err := ask(client, e, id)
			mu.Lock()
			defer mu.Unlock()
			if err == nil {
				statuses[response.StatusCode]++
				if response.StatusCode == http.StatusServiceUnavailable {
					is.Equal(response.Header.Get(runHeader), "not-run")
				}
			}
		})
	}
	asking.Wait()
	is.Equal(statuses[http.StatusOK], 2)
	is.Equal(statuses[http.StatusServiceUnavailable], 1)
	is.Equal(len(p.record.After(0, 10).Runs), 2)
	is.Equal(e.Status().Counts.Shed, uint64(1))
	is.Equal(e.Status().Counts.Over, uint64(2))
}

// Guards against a fault that hits at another step than set: what ran must match the step.
func TestDeathAtEachStep(t *testing.T) {
	for _, tt := range []struct {
		step Step
		ran  int
	}{{Read, 0}, {Headers, 0}, {Answer, 1}, {Half, 1}} {
		t.Run(string(tt.step), func(t *testing.T) {
			is := is.New(t)
			p, e := start(t, EndpointSettings{})
			e.SetFault(Fault{Step: tt.step, Count: 1})
			client := newClient(t)
			_, _, err := ask(client, e, "dies")
			is.True(err != nil)
			is.Equal(len(p.record.After(0, 10).Runs), tt.ran)
			_, text, err := ask(client, e, "lives")
			is.NoErr(err)
			_, err = answer.Parse(text)
			is.NoErr(err)
		})
	}
}

// Guards against crossed answers that still pass for the request's own.
func TestCrossedAnswers(t *testing.T) {
	is := is.New(t)
	_, e := start(t, EndpointSettings{})
	e.SetFault(Fault{Cross: true})
	client := newClient(t)
	heads := make(chan string, 2)
	for _, id := range []string{"a", "b"} {
		go func() {
			response, text, _ := ask(client, e, id, idHeader, id)
			head, _ := answer.Parse(text)
			heads <- id + " got " + head.Request + response.Header.Get(idHeader)
		}()
	}
	got := []string{<-heads, <-heads}
	is.True(got[0] != got[1])
	for _, g := range got {
		is.True(g == "a got bb" || g == "b got aa")
	}
}

// Guards against a deadline or a cancellation that does not end the run, and a late answer that does.
func TestDeadlineCancellationAndLateness(t *testing.T) {
	is := is.New(t)
	p, e := start(t, EndpointSettings{Median: 3 * time.Second})
	client := newClient(t)
	response, _, err := ask(client, e, "overdue", timeoutHeader, "50ms")
	is.NoErr(err)
	is.Equal(response.StatusCode, http.StatusGatewayTimeout)
	hasty := &http.Client{Timeout: 50 * time.Millisecond}
	_, _, err = ask(hasty, e, "cancelled")
	is.True(err != nil)
	e.SetFault(Fault{Late: command.Span{Duration: 100 * time.Millisecond}, Factor: 0.001})
	began := time.Now()
	_, text, err := ask(client, e, "late", timeoutHeader, "20ms")
	is.NoErr(err)
	is.True(time.Since(began) >= 100*time.Millisecond)
	_, err = answer.Parse(text)
	is.NoErr(err)
	outcomes := make(map[string]Outcome)
	for range 100 { // the server notices a cancellation a moment later
		for _, run := range p.record.After(0, 10).Runs {
			outcomes[run.Request] = run.Outcome
		}
		if outcomes["cancelled"] != Open {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	is.Equal(outcomes, map[string]Outcome{"overdue": Overdue, "cancelled": Cancelled, "late": Done})
}

// Guards against silence that also stops new connections, and silent connections that use up the limit.
func TestSilentConnections(t *testing.T) {
	is := is.New(t)
	_, e := start(t, EndpointSettings{Connections: 1})
	client := newClient(t)
	_, _, err := ask(client, e, "before")
	is.NoErr(err)
	e.SetFault(Fault{Silent: true})
	client.Timeout = 100 * time.Millisecond
	_, _, err = ask(client, e, "unheard")
	is.True(err != nil)
	_, _, err = ask(newClient(t), e, "new connection")
	is.NoErr(err)
}

// Guards against connections beyond the limit.
func TestConnectionLimit(t *testing.T) {
	is := is.New(t)
	_, e := start(t, EndpointSettings{Connections: 1})
	first := newClient(t)
	_, _, err := ask(first, e, "first")
	is.NoErr(err)
	_, _, err = ask(newClient(t), e, "second")
	is.True(err != nil)
	is.Equal(e.Status().Counts.RefusedConnections, uint64(1))
	is.Equal(e.Status().Counts.MostConnections, 1)
}

// Guards against reports that do not lag, stop or lie as told.
func TestReports(t *testing.T) {
	is := is.New(t)
	fake := &clock.Fake{}
	e := NewEndpoint(EndpointSettings{Slots: 4}, nil, fake, NewRecord(1), New(Defaults(), command.Console{Err: io.Discard}).log, 1)
	fake.Advance(time.Minute)
	is.True(e.take(context.Background()))
	fake.Advance(time.Second)
	is.True(e.take(context.Background()))
	load := func(mode Mode, lag time.Duration) int64 {
		e.SetReporting(Reporting{Mode: mode, Lag: command.Span{Duration: lag}, Value: 99})
		n, _ := e.Load()
		return n
	}
	is.Equal(load(Honest, 0), int64(2))
	is.Equal(load(Lagging, time.Second), int64(1))
	is.Equal(load(Lagging, 2*time.Second), int64(0))
	is.Equal(load(Lying, 0), int64(99))
	is.Equal(load(Stopped, 0), int64(2))
	is.Equal(e.Status().Counts.Used, time.Second) // one slot for a second, two for no time yet
	e.release()
	n, ok := e.Load()
	is.Equal(n, int64(2)) // the last load before reports stopped
	is.True(!ok)
}

// Guards against service times that are not longer while an endpoint or its cache is cold.
func TestColdStart(t *testing.T) {
	is := is.New(t)
	fake := &clock.Fake{}
	set := EndpointSettings{Slots: 1, Median: time.Second, Cold: 10 * time.Second, Slow: 5, Cache: 10, Miss: 2}
	e := NewEndpoint(set, nil, fake, NewRecord(1), New(Defaults(), command.Console{Err: io.Discard}).log, 1)
	e.started = fake.Now()
	is.Equal(e.serviceTime(fake.Now(), 0), 10*time.Second) // five times slower, and a miss
	fake.Advance(5 * time.Second)
	is.True(e.serviceTime(fake.Now(), 0) >= 3*time.Second)
	fake.Advance(5 * time.Second)
	for range 8 {
		e.serviceTime(fake.Now(), 0)
	}
	is.Equal(e.serviceTime(fake.Now(), 0), time.Second)
}

// Guards against an endpoint that gives up when the first entry VM is down, or that is announced once only.
func TestAnnouncementGoesToTheNextVM(t *testing.T) {
	is := is.New(t)
	verbs := make(chan string, 100)
	entry := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		var a announcement
		json.NewDecoder(r.Body).Decode(&a)
		verbs <- r.URL.Path + " " + string(a.Service)
	}))
	defer entry.Close()
	dead := httptest.NewServer(nil)
	dead.Close()
	_, e := start(t, EndpointSettings{})
	entries := []string{dead.Listener.Addr().String(), entry.Listener.Addr().String()}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		e.Announce(ctx, entries, 0)
		close(done)
	}()
	is.Equal(<-verbs, "/cuminfall/v1/announce forecast")
	is.Equal(<-verbs, "/cuminfall/v1/renew forecast")
	cancel()
	<-done
	is.NoErr(e.Leave(context.Background(), entries, 0))
	is.Equal(<-verbs, "/cuminfall/v1/leave forecast")
}

// Guards against a stop that interrupts a request.
func TestStopEndsRequestsInFlight(t *testing.T) {
	is := is.New(t)
	_, e := start(t, EndpointSettings{Median: 200 * time.Millisecond})
	got := make(chan error, 1)
	go func() {
		_, text, err := ask(newClient(t), e, "in flight")
		if err == nil {
			_, err = answer.Parse(text)
		}
		got <- err
	}()
	for e.Status().Running == 0 {
		time.Sleep(time.Millisecond)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	is.NoErr(e.Stop(ctx))
	is.NoErr(<-got)
}

// Guards against settings with several faults that report one only.
func TestSettingsReportAllFaults(t *testing.T) {
	is := is.New(t)
	s := Defaults()
	err := settings.Parse("upstream.toml", `
admin = "nowhere"
[[endpoint]]
surplus = 1
service = "forecast"
address = "127.0.0.1:1"
domain = "lappi a"
times = "uniform"
`, &s)
	problems, ok := err.(*settings.Problems)
	is.True(ok)
	is.Equal(len(problems.List), 5) // the missing slots are the fifth
}
