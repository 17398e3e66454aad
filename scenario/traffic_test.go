package scenario

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math"
	"net/http"
	"net/http/httptrace"
	"sort"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"cuminfall.example/fleet/fault"
	"cuminfall.example/fleet/ident"
	load "cuminfall.example/load/answer"
	"cuminfall.example/load/report"
	"cuminfall.example/load/upstream"
)

// response is the result of one request as its caller saw it.
type response struct {
	request   string
	status    int // 0 if no complete response was received
	code      fault.Code
	execution fault.Execution
	peer      string
	body      string
	latency   time.Duration // with the attempts at other VMs before
	// connections counts the connections on which the request was sent; with none, no VM was reached. There can be
	// two, as net/http repeats a request that it takes for idempotent after its connection was lost.
	connections int32
	err         error
}

func (a response) String() string {
	return fmt.Sprintf("request %s: status %d code %q run %q after %s, error %v, body %.200s", a.request, a.status, a.code, a.execution, a.latency.Round(time.Millisecond), a.err, a.body)
}

// mismatch describes how a response differs from the one that p expects. It returns "" if it does not differ.
func (a response) mismatch(p params) string {
	want := p.textOr("want", "200")
	if got := fmt.Sprint(a.status); got != want {
		return "status " + got + ", want " + want
	}
	if code, ok := p["code"]; ok && code != string(a.code) {
		return "code " + string(a.code) + ", want " + code
	}
	if run, ok := p["run"]; ok && run != string(a.execution) {
		return "run " + string(a.execution) + ", want " + run
	}
	if a.status == http.StatusOK && p["once"] == "" && !strings.Contains(a.body, `"request":"`+a.request+`"`) {
		return "the response belongs to another request"
	}
	return ""
}

// requestCount numbers the requests of all scripts, so that each has a distinct id.
var requestCount atomic.Int64

// send sends one request over a new connection.
func (f *fleet) send(p params) response {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	return f.sendWith(client, p)
}

// sendWith sends the request that p describes with the given client.
func (f *fleet) sendWith(client *http.Client, p params) (a response) {
	var connections atomic.Int32
	a = response{request: fmt.Sprintf("s%d", requestCount.Add(1))}
	if id := p["request"]; id != "" {
		a.request = id
	}
	timeout := p.durationOr("timeout", 5*time.Second)
	ctx, cancel := context.WithTimeout(context.Background(), p.durationOr("cancel", timeout+2*time.Second))
	defer cancel()
	method := p.textOr("method", http.MethodGet)
	var body io.Reader
	if size := p.intOr("size", 0); size > 0 {
		method = http.MethodPost
		body = &slowBody{remaining: size, pause: p.durationOr("pause", 0)}
	}
	if p["once"] != "" {
		method = http.MethodPost
		if body == nil {
			// net/http would repeat a request with an idempotency key by itself if it could read the body again.
			body = io.NopCloser(strings.NewReader("seat"))
		}
	}
	url := fmt.Sprintf("http://%s:%d%s", f.processes[p["entry"]].host, proxyPort, p["path"])
	r, err := http.NewRequestWithContext(ctx, method, url, body)
	if err != nil {
		a.err = err
		return a
	}
	r.Header.Set(load.RequestHeader, a.request)
	if timeout > 0 {
		r.Header.Set("Request-Timeout", timeout.String())
	}
	if p["key"] != "" {
		r.Header.Set("Authorization", "Bearer "+p["key"])
	}
	if p["once"] != "" {
		r.Header.Set("Idempotency-Key", p["once"])
	}
	if name, value, ok := strings.Cut(p["header"], ":"); ok {
		r.Header.Add(name, value)
	}
	r = r.WithContext(httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connections.Add(1) }}))
	startedAt := time.Now()
	defer func() { a.latency, a.connections = time.Since(startedAt), connections.Load() }()
	reply, err := client.Do(r)
	if err != nil {
		a.err = err
		return a
	}
	defer reply.Body.Close()
	text, err := io.ReadAll(reply.Body)
	a.err = err
	if err != nil {
		return a
	}
	a.status = reply.StatusCode
	a.body = string(text)
	a.execution = fault.Execution(reply.Header.Get("Cuminfall-Run"))
	if a.execution != "" {
		var refusal fault.Error
		if json.Unmarshal(text, &refusal) == nil {
			a.code = refusal.Code
			a.peer = refusal.Peer
		}
	}
	return a
}

// slowBody is a request body that pauses before each read and, with a pause, returns at most 1 KiB per read.
type slowBody struct {
	remaining int
	pause     time.Duration
}

func (b *slowBody) Read(p []byte) (int, error) {
	if b.remaining == 0 {
		return 0, io.EOF
	}
	time.Sleep(b.pause)
	n := min(len(p), b.remaining)
	if b.pause > 0 {
		n = min(n, 1024)
	}
	copy(p, bytes.Repeat([]byte("x"), n))
	b.remaining -= n
	return n, nil
}

// traffic is background load that sends requests at a fixed rate, however long their responses take.
type traffic struct {
	params       params
	entries      []string
	stop         chan struct{}
	pending      sync.WaitGroup
	mu           sync.Mutex
	responses    []response
	lookupExpiry time.Time // end of the lifetime of the lookup that entries came from
}

// refresh looks the entry VMs up again when the lifetime of the last lookup has ended. Without lookup=yes it does
// nothing.
func (t *traffic) refresh(f *fleet) {
	if t.params["lookup"] == "" || time.Now().Before(t.lookupExpiry) {
		return
	}
	for _, name := range t.entries {
		reply, err := f.client.Get(fmt.Sprintf("http://%s:%d/cuminfall/v1/lookup?service=read&workspace=acme", f.processes[name].host, proxyPort))
		if err != nil {
			continue
		}
		var lookup struct {
			VMs []struct {
				Name string `json:"name"`
			} `json:"vms"`
			Lifetime string `json:"lifetime"`
		}
		err = json.NewDecoder(reply.Body).Decode(&lookup)
		reply.Body.Close()
		lifetime, lifetimeErr := time.ParseDuration(lookup.Lifetime)
		if err != nil || lifetimeErr != nil || len(lookup.VMs) == 0 {
			continue
		}
		t.lookupExpiry = time.Now().Add(lifetime)
		t.entries = nil
		for _, vm := range lookup.VMs {
			t.entries = append(t.entries, vm.Name)
		}
		return
	}
}

// cmdTraffic starts background load: traffic NAME rate=100 entries=entry1,entry2 path=/read/x key=$KEY.
func cmdTraffic(ts *testscript.TestScript, _ bool, args []string) {
	f := fleetOf(ts)
	t := &traffic{params: parseParams(ts, args[1:]), stop: make(chan struct{})}
	t.entries = strings.Split(t.params["entries"], ",")
	f.trafficByName[args[0]] = t
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}}
	rate := t.params.intOr("rate", 50)
	t.pending.Add(1)
	go func() {
		defer t.pending.Done()
		startedAt := time.Now()
		for i := 0; i < t.params.intOr("most", math.MaxInt); i++ {
			select {
			case <-t.stop:
				return
			case <-time.After(time.Until(startedAt.Add(time.Duration(i) * time.Second / time.Duration(rate)))):
			}
			t.refresh(f)
			t.pending.Add(1)
			go t.sendOne(f, client, i, t.entries)
		}
	}()
}

// sendOne sends request number i. If no VM was reached, or if the VM refused it as not run for a reason that does not
// concern other VMs, it tries the next VM, as callers are told to do. With next=no it does not.
func (t *traffic) sendOne(f *fleet, client *http.Client, i int, entries []string) {
	defer t.pending.Done()
	p := params{}
	for k, v := range t.params {
		p[k] = v
	}
	if once := p["once"]; once != "" {
		p["once"] = fmt.Sprintf("%s-%d", once, i)
	}
	var a response
	startedAt := time.Now()
	for n := range len(entries) {
		p["entry"] = entries[(i+n)%len(entries)]
		a = f.sendWith(client, p)
		tryNextVM := a.connections == 0 || a.execution == fault.NotExecuted && (a.code == fault.Stale || a.code == fault.Stopping || a.code == fault.Unreachable)
		if !tryNextVM || t.params["next"] == "no" {
			break
		}
	}
	a.latency = time.Since(startedAt)
	t.mu.Lock()
	t.responses = append(t.responses, a)
	t.mu.Unlock()
}

// cmdJoin ends background loads, waits for their responses and logs counts and examples of failures: join NAME...
func cmdJoin(ts *testscript.TestScript, _ bool, args []string) {
	for _, name := range args {
		t := fleetOf(ts).trafficByName[name]
		close(t.stop)
		t.pending.Wait()
		counts := t.countResponses()
		ts.Logf("%s: %v", name, counts)
		for _, a := range t.sampleFailures() {
			ts.Logf("  %s", a)
		}
	}
}

// sampleFailures returns up to two responses for each combination of code and status other than 200.
func (t *traffic) sampleFailures() []response {
	var list []response
	seen := map[string]int{}
	for _, a := range t.responses {
		kind := fmt.Sprint(a.status, a.code)
		if a.status != http.StatusOK && seen[kind] < 2 {
			list = append(list, a)
		}
		seen[kind]++
	}
	return list
}

// responsesSoFar returns the responses received until now.
func (t *traffic) responsesSoFar() []response {
	t.mu.Lock()
	defer t.mu.Unlock()
	return append([]response(nil), t.responses...)
}

// countResponses counts the responses by result: all, ok, notrun, unknown, failed (the upstream answered with an
// error), broken (no complete response), each refusal code, and crossed (a response to another request). slowest is the
// longest latency in milliseconds.
func (t *traffic) countResponses() map[string]int {
	c := map[string]int{"all": len(t.responses)}
	for _, a := range t.responses {
		if a.code != "" {
			c[string(a.code)]++
		}
		switch {
		case a.status == http.StatusOK:
			c["ok"]++
			if !strings.Contains(a.body, `"request":"`+a.request+`"`) {
				c["crossed"]++
			}
		case a.execution == fault.NotExecuted:
			c["notrun"]++
		case a.execution == fault.ExecutionUnknown:
			c["unknown"]++
		case a.status != 0:
			c["failed"]++
		default:
			c["broken"]++
		}
		c["slowest"] = max(c["slowest"], int(a.latency.Milliseconds()))
	}
	return c
}

// cmdExpect checks the counts of countResponses: expect NAME ok>=100 broken==0. A name with a % sign is compared as a
// percentage of all responses: ok%>=95. Counts of several loads are added up: expect NAME+NAME ok>=100.
func cmdExpect(ts *testscript.TestScript, _ bool, args []string) {
	c := map[string]int{}
	for _, name := range strings.Split(args[0], "+") {
		for what, count := range fleetOf(ts).trafficByName[name].countResponses() {
			c[what] += count
		}
	}
	for _, rule := range args[1:] {
		op := "=="
		for _, candidate := range []string{"==", ">=", "<="} {
			if strings.Contains(rule, candidate) {
				op = candidate
			}
		}
		name, text, _ := strings.Cut(rule, op)
		bound := params{"n": text}.intOr("n", 0)
		if percent, ok := strings.CutSuffix(name, "%"); ok {
			name = percent
			bound = (c["all"]*bound + 99) / 100
		}
		got := c[name]
		if op == "==" && got != bound || op == ">=" && got < bound || op == "<=" && got > bound {
			ts.Fatalf("%s: %s is %d, rule %s (%v)", args[0], name, got, rule, c)
		}
	}
}

// pageSize is the maximum number of runs per page of the stand-ins' record. It is large because pages are read one
// after the other: runs on later pages would be seen in a later state than those on earlier pages.
const pageSize = 100_000

// recordedRuns returns the runs that the stand-in upstreams recorded.
func (f *fleet) recordedRuns() ([]upstream.Run, error) {
	var all []upstream.Run
	for {
		var last uint64
		if len(all) > 0 {
			last = all[len(all)-1].Number
		}
		reply, err := f.client.Get(fmt.Sprintf("http://%s:%d/v1/runs?most=%d&after=%d", f.host(upstreamOctet), adminPort, pageSize, last))
		if err != nil {
			return nil, err
		}
		var page upstream.RunPage
		err = json.NewDecoder(reply.Body).Decode(&page)
		reply.Body.Close()
		if err != nil {
			return nil, err
		}
		all = append(all, page.Runs...)
		if len(page.Runs) < pageSize {
			return all, nil
		}
	}
}

// endpoints returns the status of the stand-in endpoints by address.
func (f *fleet) endpoints() (map[ident.Address]upstream.Status, error) {
	reply, err := f.client.Get(fmt.Sprintf("http://%s:%d/v1/endpoints", f.host(upstreamOctet), adminPort))
	if err != nil {
		return nil, err
	}
	defer reply.Body.Close()
	var list []upstream.Status
	err = json.NewDecoder(reply.Body).Decode(&list)
	endpoints := map[ident.Address]upstream.Status{}
	for _, e := range list {
		endpoints[e.Address] = e
	}
	return endpoints, err
}

// maxConcurrentRuns returns the largest number of runs that were in progress at the same time.
func maxConcurrentRuns(runs []upstream.Run) int {
	var starts, ends []time.Time
	for _, r := range runs {
		starts = append(starts, r.Start)
		if !r.End.IsZero() {
			ends = append(ends, r.End)
		}
	}
	sort.Slice(starts, func(i, j int) bool { return starts[i].Before(starts[j]) })
	sort.Slice(ends, func(i, j int) bool { return ends[i].Before(ends[j]) })
	highest, ended := 0, 0
	for i, at := range starts {
		for ended < len(ends) && !ends[ended].After(at) {
			ended++
		}
		highest = max(highest, i+1-ended)
	}
	return highest
}

// cmdRuns compares the runs that the stand-ins recorded with the responses. It always checks that no run saw a key,
// that no idempotency key ran twice and that no request answered as "not run" ran. Its arguments add checks:
//
//	workspace=W, region=G  select the runs that rate, burst and least are about
//	rate=R burst=B         the runs stay within rate and burst in every time window
//	least=N                there are at least N runs
//	capacity=N             no region has more than N runs at the same time
//	over=N                 at most N requests arrived at an endpoint without a free slot since the last check
//	none=ID, one=ID        the idempotency key never ran, or ran once
func cmdRuns(ts *testscript.TestScript, _ bool, args []string) {
	f := fleetOf(ts)
	p := parseParams(ts, args)
	runs, err := f.recordedRuns()
	ts.Check(err)
	endpoints, err := f.endpoints()
	ts.Check(err)
	byRegion := map[string][]upstream.Run{}
	byRequest := map[string]int{}
	runsByKey := map[string]int{}
	var arrivals []time.Time
	for _, r := range runs {
		if len(r.KeyLocations) > 0 {
			ts.Fatalf("run %d received a key in %v", r.Number, r.KeyLocations)
		}
		byRequest[r.Request]++
		if r.IdempotencyKey != "" {
			runsByKey[r.IdempotencyKey]++
		}
		e := endpoints[r.Endpoint]
		region := string(e.Domain[:len(e.Domain)-2])
		// The stand-in records the end of runs that a kill cancelled later than they ended. Such runs are skipped,
		// as they would seem to overlap with later ones.
		if r.Outcome != upstream.Cancelled || e.Up && r.Incarnation == e.Incarnation {
			byRegion[region] = append(byRegion[region], r)
		}
		if string(r.Workspace) == p["workspace"] || region == p["region"] {
			arrivals = append(arrivals, r.Arrived)
		}
	}
	for key, n := range runsByKey {
		if n > 1 {
			ts.Fatalf("idempotency key %s ran %d times", key, n)
		}
	}
	for name, t := range f.trafficByName {
		for _, a := range t.responsesSoFar() {
			// A "not run" refusal is about one attempt only, so it says nothing about a request that was sent twice.
			if (a.connections == 0 || a.connections == 1 && a.execution == fault.NotExecuted) && byRequest[a.request] > 0 {
				ts.Fatalf("%s: %s, but the request ran", name, a)
			}
		}
	}
	if id := p["none"]; id != "" && runsByKey[id] != 0 {
		ts.Fatalf("%s ran %d times, want none", id, runsByKey[id])
	}
	if id := p["one"]; id != "" && runsByKey[id] != 1 {
		ts.Fatalf("%s ran %d times, want one", id, runsByKey[id])
	}
	for region, list := range byRegion {
		highest := maxConcurrentRuns(list)
		ts.Logf("%s: %d runs, most at the same time %d", region, len(list), highest)
		if p["capacity"] != "" && highest > p.intOr("capacity", 0) {
			ts.Fatalf("%s: %d runs at the same time, capacity %s", region, highest, p["capacity"])
		}
	}
	for address, e := range endpoints {
		n := int(e.Counts.SaturatedArrivals - f.previousEndpoints[address].Counts.SaturatedArrivals)
		if p["over"] != "" && n > p.intOr("over", 0) {
			ts.Fatalf("%s: %d arrivals without a free slot, allowed %s", address, n, p["over"])
		}
	}
	f.previousEndpoints = endpoints
	if len(arrivals) < p.intOr("least", 0) {
		ts.Fatalf("%s%s: %d runs, want at least %s", p["workspace"], p["region"], len(arrivals), p["least"])
	}
	if p["rate"] != "" {
		sort.Slice(arrivals, func(i, j int) bool { return arrivals[i].Before(arrivals[j]) })
		neededBurst := report.RequiredBurst(float64(p.intOr("rate", 0)), arrivals)
		ts.Logf("%d runs of %s%s; the windows need a burst of %.1f", len(arrivals), p["workspace"], p["region"], neededBurst)
		if neededBurst > float64(p.intOr("burst", 0)) {
			ts.Fatalf("%s%s: some window needs a burst of %.1f over %s/s, allowed %s", p["workspace"], p["region"], neededBurst, p["rate"], p["burst"])
		}
	}
	ts.Logf("%d runs", len(runs))
}

// cmdFault sends a request to the stand-ins' admin address, which sets faults: fault METHOD PATH JSON.
func cmdFault(ts *testscript.TestScript, _ bool, args []string) {
	f := fleetOf(ts)
	r, err := http.NewRequest(args[0], fmt.Sprintf("http://%s:%d%s", f.host(upstreamOctet), adminPort, args[1]), strings.NewReader(strings.Join(args[2:], " ")))
	ts.Check(err)
	reply, err := f.client.Do(r)
	ts.Check(err)
	defer reply.Body.Close()
	text, err := io.ReadAll(reply.Body)
	ts.Check(err)
	if reply.StatusCode >= http.StatusBadRequest {
		ts.Fatalf("%s %s: %d %s", args[0], args[1], reply.StatusCode, text)
	}
}

// cmdIdle checks that no run is recorded at the endpoints of a service in a failure domain: idle DOMAIN SERVICE.
func cmdIdle(ts *testscript.TestScript, _ bool, args []string) {
	f := fleetOf(ts)
	reply, err := f.client.Get(fmt.Sprintf("http://%s:%d/v1/endpoints?domain=%s&service=%s", f.host(upstreamOctet), adminPort, args[0], args[1]))
	ts.Check(err)
	defer reply.Body.Close()
	var list []upstream.Status
	ts.Check(json.NewDecoder(reply.Body).Decode(&list))
	runs, err := f.recordedRuns()
	ts.Check(err)
	for _, r := range runs {
		for _, e := range list {
			if r.Endpoint == e.Address {
				ts.Fatalf("run %d at endpoint %s in %s, want none", r.Number, r.Endpoint, args[0])
			}
		}
	}
	if len(list) == 0 {
		ts.Fatalf("no endpoint of the service in %s", args[0])
	}
}
