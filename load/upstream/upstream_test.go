package upstream

import (
	"context"
	"encoding/json"
	"io"
	"net"
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

// startEndpoint returns a process with one running endpoint, and the endpoint.
func startEndpoint(t *testing.T, config EndpointSettings) (*Process, *Endpoint) {
	t.Helper()
	config.Service, config.Address, config.Domain = "forecast", "127.0.0.1:0", "lappi-a"
	if config.Slots == 0 {
		config.Slots = 4
	}
	s := Defaults()
	s.Endpoints = []EndpointSettings{config}
	p := New(s, command.Console{Out: io.Discard, Err: io.Discard, Clock: clock.System{}})
	e := p.endpoints[0]
	if err := e.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(e.Kill)
	return p, e
}

// sendRequest sends a request with the given id and headers and returns the response and its body.
func sendRequest(client *http.Client, e *Endpoint, requestID string, headers ...string) (*http.Response, []byte, error) {
	request, _ := http.NewRequest(http.MethodPost, "http://"+string(e.Status().Address)+"/forecast/x", strings.NewReader("body of "+requestID))
	request.GetBody = nil
	request.Header.Set(answer.RequestHeader, requestID)
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

// Guards against a run log that misses a run, or that doesn't report a workspace key in a request's headers.
func TestRunLogHoldsEveryRun(t *testing.T) {
	is := is.New(t)
	p, e := startEndpoint(t, EndpointSettings{})
	_, text, err := sendRequest(newClient(t), e, "r1", "Idempotency-Key", "k1", "X-Note", "Bearer ck_a_b")
	is.NoErr(err)
	head, err := answer.Parse(text)
	is.NoErr(err)
	is.Equal(head.Request, "r1")
	is.Equal(string(head.Workspace), "acme")
	is.Equal(head.Body, answer.Digest([]byte("body of r1")))
	w := httptest.NewRecorder()
	p.AdminHandler().ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/v1/runs?after=0", nil))
	var page RunPage
	is.NoErr(json.Unmarshal(w.Body.Bytes(), &page))
	is.Equal(len(page.Runs), 1)
	run := page.Runs[0]
	is.Equal(run.Request, "r1")
	is.Equal(run.IdempotencyKey, "k1")
	is.Equal(run.KeyLocations, []string{"X-Note"})
	is.Equal(run.Outcome, Done)
	is.Equal(int(run.Received), len("body of r1"))
	is.Equal(int(run.Sent), len(text))
	is.True(!run.End.Before(run.Start))
}

// Guards against a time of arrival that depends on when the endpoint's process gets to read the request.
func TestArrivalDoesNotDependOnTheReader(t *testing.T) {
	is := is.New(t)
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer inner.Close()
	is.NoErr(enableArrivalTimes(inner.(*net.TCPListener)))
	_, e := startEndpoint(t, EndpointSettings{MaxConnections: 10})
	client, err := net.Dial("tcp", inner.Addr().String())
	is.NoErr(err)
	defer client.Close()
	accepted, err := (&listener{Listener: inner, endpoint: e}).Accept()
	is.NoErr(err)
	defer accepted.Close()
	r := httptest.NewRequest(http.MethodGet, "/forecast/x", nil)
	r = r.WithContext(withConnection(r.Context(), accepted))
	for range 2 { // the kernel may begin to record after the first segment
		sentAfter := time.Now().Round(0)
		_, err = client.Write([]byte("request"))
		is.NoErr(err)
		sentBefore := time.Now().Round(0)
		time.Sleep(300 * time.Millisecond)
		_, err = accepted.Read(make([]byte, 100))
		is.NoErr(err)
		if at := arrival(r, time.Now()); !at.Before(sentAfter) && !at.After(sentBefore) {
			return
		}
	}
	t.Fatal("no request arrived when it was sent")
}

// Guards against a killed endpoint that runs a request which it had received before, also after its next start.
func TestKilledEndpointRunsNothing(t *testing.T) {
	is := is.New(t)
	p, e := startEndpoint(t, EndpointSettings{})
	killed := e.server
	runReceived := func() {
		defer func() { is.Equal(recover(), http.ErrAbortHandler) }() // the connection is reset
		r := httptest.NewRequest(http.MethodGet, "/forecast/x", nil)
		e.ServeHTTP(httptest.NewRecorder(), r.WithContext(context.WithValue(r.Context(), http.ServerContextKey, killed)))
	}
	e.Kill()
	runReceived()
	e.settings.Address = "127.0.0.1:0"
	is.NoErr(e.Start())
	runReceived()
	is.Equal(len(p.runLog.After(0, 10).Runs), 0)
}

// Guards against an endpoint that runs more requests than it has slots, or that executes a request it sheds.
func TestSlotsQueueAndShedding(t *testing.T) {
	is := is.New(t)
	p, e := startEndpoint(t, EndpointSettings{Slots: 1, MaxQueue: 1, QueueTimeout: 5 * time.Second, MedianServiceTime: 150 * time.Millisecond})
	client := newClient(t)
	var requests sync.WaitGroup
	var mu sync.Mutex
	statuses := make(map[int]int)
	for _, id := range []string{"a", "b", "c"} {
		requests.Go(func() {
			response, _, err := sendRequest(client, e, id)
			mu.Lock()
			defer mu.Unlock()
			if err == nil {
				statuses[response.StatusCode]++
				if response.StatusCode == http.StatusServiceUnavailable {
					is.Equal(response.Header.Get(executionHeader), "not-run")
				}
			}
		})
	}
	requests.Wait()
	is.Equal(statuses[http.StatusOK], 2)
	is.Equal(statuses[http.StatusServiceUnavailable], 1)
	is.Equal(len(p.runLog.After(0, 10).Runs), 2)
	is.Equal(e.Status().Counts.Shed, uint64(1))
	is.Equal(e.Status().Counts.SaturatedArrivals, uint64(2))
}

// Guards against a reset at another point than set: the run log must show whether the request was executed.
func TestResetAtEachPoint(t *testing.T) {
	for _, tt := range []struct {
		step     ResetPoint
		wantRuns int
	}{{ResetOnRead, 0}, {ResetAfterHeaders, 0}, {ResetBeforeResponse, 1}, {ResetMidResponse, 1}} {
		t.Run(string(tt.step), func(t *testing.T) {
			is := is.New(t)
			p, e := startEndpoint(t, EndpointSettings{})
			e.SetFault(Fault{ResetAt: tt.step, RemainingHits: 1})
			client := newClient(t)
			_, _, err := sendRequest(client, e, "dies")
			is.True(err != nil)
			is.Equal(len(p.runLog.After(0, 10).Runs), tt.wantRuns)
			_, text, err := sendRequest(client, e, "lives")
			is.NoErr(err)
			_, err = answer.Parse(text)
			is.NoErr(err)
		})
	}
}

// Guards against a swapped response that keeps the id of the request it is sent to, and so passes as the request's own.
func TestSwappedResponses(t *testing.T) {
	is := is.New(t)
	_, e := startEndpoint(t, EndpointSettings{})
	e.SetFault(Fault{SwapResponses: true})
	client := newClient(t)
	heads := make(chan string, 2)
	for _, id := range []string{"a", "b"} {
		go func() {
			response, text, _ := sendRequest(client, e, id, requestIDHeader, id)
			head, _ := answer.Parse(text)
			heads <- id + " got " + head.Request + response.Header.Get(requestIDHeader)
		}()
	}
	got := []string{<-heads, <-heads}
	is.True(got[0] != got[1])
	for _, g := range got {
		is.True(g == "a got bb" || g == "b got aa")
	}
}

// Guards against a run that continues after its deadline or a cancellation, and against a forced delay
// that the deadline interrupts.
func TestDeadlineCancellationAndForcedDelay(t *testing.T) {
	is := is.New(t)
	p, e := startEndpoint(t, EndpointSettings{MedianServiceTime: 3 * time.Second})
	client := newClient(t)
	response, _, err := sendRequest(client, e, "overdue", timeoutHeader, "50ms")
	is.NoErr(err)
	is.Equal(response.StatusCode, http.StatusGatewayTimeout)
	impatient := &http.Client{Timeout: 50 * time.Millisecond}
	_, _, err = sendRequest(impatient, e, "cancelled")
	is.True(err != nil)
	e.SetFault(Fault{ForcedDelay: command.TextDuration{Duration: 100 * time.Millisecond}, ServiceTimeFactor: 0.001})
	began := time.Now()
	_, text, err := sendRequest(client, e, "late", timeoutHeader, "20ms")
	is.NoErr(err)
	is.True(time.Since(began) >= 100*time.Millisecond)
	_, err = answer.Parse(text)
	is.NoErr(err)
	outcomes := make(map[string]Outcome)
	for range 100 { // the server detects a cancellation with a delay
		for _, run := range p.runLog.After(0, 10).Runs {
			outcomes[run.Request] = run.Outcome
		}
		if outcomes["cancelled"] != InProgress {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	is.Equal(outcomes, map[string]Outcome{"overdue": DeadlineExceeded, "cancelled": Cancelled, "late": Done})
}

// Guards against a silence fault that affects new connections, or silent connections that count towards the limit.
func TestSilentConnections(t *testing.T) {
	is := is.New(t)
	_, e := startEndpoint(t, EndpointSettings{MaxConnections: 1})
	client := newClient(t)
	_, _, err := sendRequest(client, e, "before")
	is.NoErr(err)
	e.SetFault(Fault{SilenceConnections: true})
	client.Timeout = 100 * time.Millisecond
	_, _, err = sendRequest(client, e, "unheard")
	is.True(err != nil)
	_, _, err = sendRequest(newClient(t), e, "new connection")
	is.NoErr(err)
}

// Guards against an endpoint that accepts more connections than its limit.
func TestConnectionLimit(t *testing.T) {
	is := is.New(t)
	_, e := startEndpoint(t, EndpointSettings{MaxConnections: 1})
	first := newClient(t)
	_, _, err := sendRequest(first, e, "first")
	is.NoErr(err)
	_, _, err = sendRequest(newClient(t), e, "second")
	is.True(err != nil)
	is.Equal(e.Status().Counts.RefusedConnections, uint64(1))
	is.Equal(e.Status().Counts.MaxConnections, 1)
}

// Guards against load reports that ignore the report mode.
func TestLoadReportModes(t *testing.T) {
	is := is.New(t)
	fake := &clock.Fake{}
	e := NewEndpoint(EndpointSettings{Slots: 4}, nil, fake, NewRunLog(1), New(Defaults(), command.Console{Err: io.Discard}).log, 1)
	fake.Advance(time.Minute)
	is.True(e.acquireSlot(context.Background()))
	fake.Advance(time.Second)
	is.True(e.acquireSlot(context.Background()))
	load := func(mode ReportMode, lag time.Duration) int64 {
		e.SetReporting(LoadReporting{Mode: mode, Delay: command.TextDuration{Duration: lag}, FixedLoad: 99})
		n, _ := e.Load()
		return n
	}
	is.Equal(load(ReportActual, 0), int64(2))
	is.Equal(load(ReportDelayed, time.Second), int64(1))
	is.Equal(load(ReportDelayed, 2*time.Second), int64(0))
	is.Equal(load(ReportFixed, 0), int64(99))
	is.Equal(load(ReportFails, 0), int64(2))
	is.Equal(e.Status().Counts.SlotTime, time.Second) // one slot in use for a second; the second slot was just taken
	e.releaseSlot()
	n, ok := e.Load()
	is.Equal(n, int64(2)) // the load when reports began to fail
	is.True(!ok)
}

// Guards against service times that don't increase while an endpoint or its cache is cold.
func TestColdStart(t *testing.T) {
	is := is.New(t)
	fake := &clock.Fake{}
	config := EndpointSettings{Slots: 1, MedianServiceTime: time.Second, ColdStart: 10 * time.Second, ColdStartFactor: 5, CacheWarmupRuns: 10, CacheMissFactor: 2}
	e := NewEndpoint(config, nil, fake, NewRunLog(1), New(Defaults(), command.Console{Err: io.Discard}).log, 1)
	e.started = fake.Now()
	is.Equal(e.serviceTime(fake.Now(), 0), 10*time.Second) // cold start factor 5, cache miss factor 2
	fake.Advance(5 * time.Second)
	is.True(e.serviceTime(fake.Now(), 0) >= 3*time.Second)
	fake.Advance(5 * time.Second)
	for range 8 {
		e.serviceTime(fake.Now(), 0)
	}
	is.Equal(e.serviceTime(fake.Now(), 0), time.Second)
}

// Guards against an endpoint that gives up when the first entry VM is down, or that doesn't renew its announcement.
func TestAnnouncementTriesNextEntryVM(t *testing.T) {
	is := is.New(t)
	verbs := make(chan string, 100)
	entry := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		var a announcement
		json.NewDecoder(r.Body).Decode(&a)
		verbs <- r.URL.Path + " " + string(a.Service)
	}))
	defer entry.Close()
	stopped := httptest.NewServer(nil)
	stopped.Close()
	_, e := startEndpoint(t, EndpointSettings{})
	entries := []string{stopped.Listener.Addr().String(), entry.Listener.Addr().String()}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		e.KeepAnnounced(ctx, entries, 0)
		close(done)
	}()
	is.Equal(<-verbs, "/cuminfall/v1/announce forecast")
	is.Equal(<-verbs, "/cuminfall/v1/renew forecast")
	cancel()
	<-done
	is.NoErr(e.Leave(context.Background(), entries, 0))
	is.Equal(<-verbs, "/cuminfall/v1/leave forecast")
}

// Guards against a stop that aborts a request in flight.
func TestStopEndsRequestsInFlight(t *testing.T) {
	is := is.New(t)
	_, e := startEndpoint(t, EndpointSettings{MedianServiceTime: 200 * time.Millisecond})
	got := make(chan error, 1)
	go func() {
		_, text, err := sendRequest(newClient(t), e, "in flight")
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

// Guards against a settings check that stops at the first problem.
func TestSettingsReportAllProblems(t *testing.T) {
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
	is.Equal(len(problems.List), 5) // admin, surplus, domain, times and the missing slots
}

// Guards against a stand-in that leaves or asks for quiet without saying so in its responses.
func TestWithdrawalIsInResponses(t *testing.T) {
	is := is.New(t)
	_, e := startEndpoint(t, EndpointSettings{Slots: 1, MedianServiceTime: 200 * time.Millisecond, ShedPause: 1500 * time.Millisecond})
	client := newClient(t)
	var first sync.WaitGroup
	first.Go(func() { _, _, _ = sendRequest(client, e, "r1") })
	for e.Status().Running == 0 {
		time.Sleep(time.Millisecond)
	}
	response, _, err := sendRequest(client, e, "r2")
	is.NoErr(err)
	is.Equal(response.StatusCode, http.StatusServiceUnavailable)
	is.Equal(response.Header.Get("Retry-After"), "1.5")
	is.Equal(response.Header.Get("Cuminfall-Leaving"), "")
	first.Wait()
	is.NoErr(e.Leave(context.Background(), nil, 0))
	response, _, err = sendRequest(client, e, "r3")
	is.NoErr(err)
	is.Equal(response.Header.Get("Cuminfall-Leaving"), "1")
}
