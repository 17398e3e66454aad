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

// answer is what a caller saw of one request.
type answer struct {
	request string
	status  int // 0 when no whole answer came
	code    fault.Code
	run     fault.Execution
	peer    string
	body    string
	span    time.Duration
	// attempts counts the connections that the request got; none means that no VM was reached. After
	// the loss of a connection net/http repeats what it takes for idempotent, so there can be two.
	attempts int32
	err      error
}

func (a answer) String() string {
	return fmt.Sprintf("request %s: status %d code %q run %q after %s, error %v, body %.200s", a.request, a.status, a.code, a.run, a.span.Round(time.Millisecond), a.err, a.body)
}

// differs says how an answer differs from the wanted one, or "".
func (a answer) differs(p params) string {
	want := p.text("want", "200")
	if got := fmt.Sprint(a.status); got != want {
		return "status " + got + ", want " + want
	}
	if code, ok := p["code"]; ok && code != string(a.code) {
		return "code " + string(a.code) + ", want " + code
	}
	if run, ok := p["run"]; ok && run != string(a.run) {
		return "run " + string(a.run) + ", want " + run
	}
	if a.status == http.StatusOK && p["once"] == "" && !strings.Contains(a.body, `"request":"`+a.request+`"`) {
		return "the answer is to another request"
	}
	return ""
}

var requests atomic.Int64

// send makes one request with a connection of its own unless shared=yes.
func (f *fleet) send(p params) answer {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	return f.sendWith(client, p)
}

func (f *fleet) sendWith(client *http.Client, p params) (a answer) {
	var attempts atomic.Int32
	a = answer{request: fmt.Sprintf("s%d", requests.Add(1))}
	if id := p["request"]; id != "" {
		a.request = id
	}
	limit := p.span("timeout", 5*time.Second)
	ctx, cancel := context.WithTimeout(context.Background(), p.span("cancel", limit+2*time.Second))
	defer cancel()
	method := p.text("method", http.MethodGet)
	var body io.Reader
	if size := p.count("size", 0); size > 0 {
		method = http.MethodPost
		body = &paced{left: size, pause: p.span("pause", 0)}
	}
	if p["once"] != "" {
		method = http.MethodPost
		if body == nil {
			// net/http sends a request with an idempotency key again by itself unless its body can be read only once.
			body = io.NopCloser(strings.NewReader("seat"))
		}
	}
	url := fmt.Sprintf("http://%s:%d%s", f.procs[p["entry"]].host, frontPort, p["path"])
	r, err := http.NewRequestWithContext(ctx, method, url, body)
	if err != nil {
		a.err = err
		return a
	}
	r.Header.Set(load.RequestHeader, a.request)
	if limit > 0 {
		r.Header.Set("Request-Timeout", limit.String())
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
	r = r.WithContext(httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { attempts.Add(1) }}))
	began := time.Now()
	defer func() { a.span, a.attempts = time.Since(began), attempts.Load() }()
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
	a.run = fault.Execution(reply.Header.Get("Cuminfall-Run"))
	if a.run != "" {
		var refusal fault.Error
		if json.Unmarshal(text, &refusal) == nil {
			a.code = refusal.Code
			a.peer = refusal.Peer
		}
	}
	return a
}

// paced is a body that comes slowly: a pause before each KiB.
type paced struct {
	left  int
	pause time.Duration
}

func (b *paced) Read(p []byte) (int, error) {
	if b.left == 0 {
		return 0, io.EOF
	}
	time.Sleep(b.pause)
	n := min(len(p), b.left)
	if b.pause > 0 {
		n = min(n, 1024)
	}
	copy(p, bytes.Repeat([]byte("x"), n))
	b.left -= n
	return n, nil
}

// traffic is open-loop load in the background.
type traffic struct {
	params  params
	entries []string
	stop    chan struct{}
	done    sync.WaitGroup
	mu      sync.Mutex
	answers []answer
	expires time.Time // of the lookup in entries
}

// refresh replaces the VMs by a lookup's, as a caller does that keeps one for its whole lifetime.
func (t *traffic) refresh(f *fleet) {
	if t.params["lookup"] == "" || time.Now().Before(t.expires) {
		return
	}
	for _, name := range t.entries {
		reply, err := f.client.Get(fmt.Sprintf("http://%s:%d/cuminfall/v1/lookup?service=read&workspace=acme", f.procs[name].host, frontPort))
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
		lifetime, spanErr := time.ParseDuration(lookup.Lifetime)
		if err != nil || spanErr != nil || len(lookup.VMs) == 0 {
			continue
		}
		t.expires = time.Now().Add(lifetime)
		t.entries = nil
		for _, vm := range lookup.VMs {
			t.entries = append(t.entries, vm.Name)
		}
		return
	}
}

// cmdTraffic starts load: traffic NAME rate=100 entries=entry1,entry2 path=/read/x key=$KEY.
func cmdTraffic(ts *testscript.TestScript, _ bool, args []string) {
	f := fleetOf(ts)
	t := &traffic{params: parse(ts, args[1:]), stop: make(chan struct{})}
	t.entries = strings.Split(t.params["entries"], ",")
	f.traffics[args[0]] = t
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}}
	rate := t.params.count("rate", 50)
	t.done.Add(1)
	go func() {
		defer t.done.Done()
		began := time.Now()
		for i := 0; i < t.params.count("most", math.MaxInt); i++ {
			select {
			case <-t.stop:
				return
			case <-time.After(time.Until(began.Add(time.Duration(i) * time.Second / time.Duration(rate)))):
			}
			t.refresh(f)
			t.done.Add(1)
			go t.one(f, client, i, t.entries)
		}
	}()
}

// one sends a request and, where it was refused as not run or not reached, goes on to the next VM as a caller would.
func (t *traffic) one(f *fleet, client *http.Client, i int, entries []string) {
	defer t.done.Done()
	p := params{}
	for k, v := range t.params {
		p[k] = v
	}
	if once := p["once"]; once != "" {
		p["once"] = fmt.Sprintf("%s-%d", once, i)
	}
	var a answer
	for n := range len(entries) {
		p["entry"] = entries[(i+n)%len(entries)]
		a = f.sendWith(client, p)
		passing := a.attempts == 0 || a.run == fault.NotExecuted && (a.code == fault.Stale || a.code == fault.Stopping || a.code == fault.Unreachable)
		if !passing || t.params["next"] == "no" {
			break
		}
	}
	t.mu.Lock()
	t.answers = append(t.answers, a)
	t.mu.Unlock()
}

// cmdJoin ends load and waits for its answers.
func cmdJoin(ts *testscript.TestScript, _ bool, args []string) {
	for _, name := range args {
		t := fleetOf(ts).traffics[name]
		close(t.stop)
		t.done.Wait()
		tally := t.tally()
		ts.Logf("%s: %v", name, tally)
		for _, a := range t.sample() {
			ts.Logf("  %s", a)
		}
	}
}

// sample returns up to two answers of each kind that is not 200.
func (t *traffic) sample() []answer {
	var list []answer
	seen := map[string]int{}
	for _, a := range t.answers {
		kind := fmt.Sprint(a.status, a.code)
		if a.status != http.StatusOK && seen[kind] < 2 {
			list = append(list, a)
		}
		seen[kind]++
	}
	return list
}

// soFar returns the answers that have come.
func (t *traffic) soFar() []answer {
	t.mu.Lock()
	defer t.mu.Unlock()
	return append([]answer(nil), t.answers...)
}

// tally counts answers: all, ok, notrun, unknown, failed, broken, each refusal code, crossed (a whole
// answer that is not to its request), and the slowest in milliseconds.
func (t *traffic) tally() map[string]int {
	c := map[string]int{"all": len(t.answers)}
	for _, a := range t.answers {
		if a.code != "" {
			c[string(a.code)]++
		}
		switch {
		case a.status == http.StatusOK:
			c["ok"]++
			if !strings.Contains(a.body, `"request":"`+a.request+`"`) {
				c["crossed"]++
			}
		case a.run == fault.NotExecuted:
			c["notrun"]++
		case a.run == fault.ExecutionUnknown:
			c["unknown"]++
		case a.status != 0:
			c["failed"]++ // an answer of the upstream itself
		default:
			c["broken"]++
		}
		c["slowest"] = max(c["slowest"], int(a.span.Milliseconds()))
	}
	return c
}

// cmdExpect checks a tally: expect NAME ok>=100 broken==0.
func cmdExpect(ts *testscript.TestScript, _ bool, args []string) {
	c := fleetOf(ts).traffics[args[0]].tally()
	for _, rule := range args[1:] {
		op := "=="
		for _, candidate := range []string{"==", ">=", "<="} {
			if strings.Contains(rule, candidate) {
				op = candidate
			}
		}
		name, text, _ := strings.Cut(rule, op)
		limit := params{"n": text}.count("n", 0)
		if percent, ok := strings.CutSuffix(name, "%"); ok {
			name = percent
			limit = (c["all"]*limit + 99) / 100
		}
		got := c[name]
		if op == "==" && got != limit || op == ">=" && got < limit || op == "<=" && got > limit {
			ts.Fatalf("%s: %s is %d, rule %s (%v)", args[0], name, got, rule, c)
		}
	}
}

// pageSize is the number of runs that are read at one moment; later pages
// would show later runs beside the earlier ones' former state.
const pageSize = 100_000

// record returns all runs of the stand-in upstreams.
func (f *fleet) record() ([]upstream.Run, error) {
	var all []upstream.Run
	for {
		var last uint64
		if len(all) > 0 {
			last = all[len(all)-1].Number
		}
		reply, err := f.client.Get(fmt.Sprintf("http://%s:%d/v1/runs?most=%d&after=%d", f.host(upstreamHost), adminPort, pageSize, last))
		if err != nil {
			return nil, err
		}
		var page upstream.Page
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

// endpoints returns the stand-in endpoints.
func (f *fleet) endpoints() (map[ident.Address]upstream.Status, error) {
	reply, err := f.client.Get(fmt.Sprintf("http://%s:%d/v1/endpoints", f.host(upstreamHost), adminPort))
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

// together returns the most runs at the same time.
func together(runs []upstream.Run) int {
	var starts, ends []time.Time
	for _, r := range runs {
		starts = append(starts, r.Start)
		if !r.End.IsZero() {
			ends = append(ends, r.End)
		}
	}
	sort.Slice(starts, func(i, j int) bool { return starts[i].Before(starts[j]) })
	sort.Slice(ends, func(i, j int) bool { return ends[i].Before(ends[j]) })
	most, ended := 0, 0
	for i, at := range starts {
		for ended < len(ends) && !ends[ended].After(at) {
			ended++
		}
		most = max(most, i+1-ended)
	}
	return most
}

// cmdRuns compares the stand-ins' record with the answers. It always checks
// that no run saw a key, that each idempotency key ran once and that no request
// answered "not run" ran. Further rules: rate=R burst=B for every window, over
// the runs with workspace=W or in region=R; capacity=N for the runs of each
// region at the same time; over=N for the arrivals at an endpoint without a free
// slot since the last check; least=N for the runs of W or R; none=ID and one=ID for the runs of an idempotency key.
func cmdRuns(ts *testscript.TestScript, _ bool, args []string) {
	f := fleetOf(ts)
	p := parse(ts, args)
	runs, err := f.record()
	ts.Check(err)
	endpoints, err := f.endpoints()
	ts.Check(err)
	byRegion := map[string][]upstream.Run{}
	byRequest := map[string]int{}
	once := map[string]int{}
	var starts []time.Time
	for _, r := range runs {
		if len(r.Keys) > 0 {
			ts.Fatalf("run %d saw a key in %v", r.Number, r.Keys)
		}
		byRequest[r.Request]++
		if r.Idempotency != "" {
			once[r.Idempotency]++
		}
		e := endpoints[r.Endpoint]
		region := string(e.Domain[:len(e.Domain)-2])
		// A kill ends its runs at once; the stand-in notes their ends later.
		if r.Outcome != upstream.Cancelled || e.Up && r.Incarnation == e.Incarnation {
			byRegion[region] = append(byRegion[region], r)
		}
		if string(r.Workspace) == p["workspace"] || region == p["region"] {
			starts = append(starts, r.Start)
		}
	}
	for key, n := range once {
		if n > 1 {
			ts.Fatalf("idempotency key %s ran %d times", key, n)
		}
	}
	for name, t := range f.traffics {
		for _, a := range t.soFar() {
			// A refusal speaks of its own attempt only.
			if (a.attempts == 0 || a.attempts == 1 && a.run == fault.NotExecuted) && byRequest[a.request] > 0 {
				ts.Fatalf("%s: %s, but it ran", name, a)
			}
		}
	}
	if id := p["none"]; id != "" && once[id] != 0 {
		ts.Fatalf("%s ran %d times, want none", id, once[id])
	}
	if id := p["one"]; id != "" && once[id] != 1 {
		ts.Fatalf("%s ran %d times, want one", id, once[id])
	}
	for region, list := range byRegion {
		most := together(list)
		ts.Logf("%s: %d runs, most at the same time %d", region, len(list), most)
		if p["capacity"] != "" && most > p.count("capacity", 0) {
			ts.Fatalf("%s: %d runs at the same time, capacity %s", region, most, p["capacity"])
		}
	}
	for address, e := range endpoints {
		n := int(e.Counts.Over - f.before[address].Counts.Over)
		if p["over"] != "" && n > p.count("over", 0) {
			ts.Fatalf("%s: %d arrivals without a free slot, allowed %s", address, n, p["over"])
		}
	}
	f.before = endpoints
	if len(starts) < p.count("least", 0) {
		ts.Fatalf("%s%s: %d runs, want at least %s", p["workspace"], p["region"], len(starts), p["least"])
	}
	if p["rate"] != "" {
		sort.Slice(starts, func(i, j int) bool { return starts[i].Before(starts[j]) })
		need := report.RequiredBurst(float64(p.count("rate", 0)), starts)
		ts.Logf("%d runs of %s%s; the windows need a burst of %.1f", len(starts), p["workspace"], p["region"], need)
		if need > float64(p.count("burst", 0)) {
			ts.Fatalf("%s%s: some window needs a burst of %.1f over %s/s, allowed %s", p["workspace"], p["region"], need, p["rate"], p["burst"])
		}
	}
	ts.Logf("%d runs", len(runs))
}

// cmdFault sets a fault on the stand-ins: fault endpoint-query JSON.
func cmdFault(ts *testscript.TestScript, _ bool, args []string) {
	f := fleetOf(ts)
	r, err := http.NewRequest(args[0], fmt.Sprintf("http://%s:%d%s", f.host(upstreamHost), adminPort, args[1]), strings.NewReader(strings.Join(args[2:], " ")))
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

// cmdIdle requires that no run is recorded at the endpoints of a failure domain: idle DOMAIN SERVICE.
func cmdIdle(ts *testscript.TestScript, _ bool, args []string) {
	f := fleetOf(ts)
	reply, err := f.client.Get(fmt.Sprintf("http://%s:%d/v1/endpoints?domain=%s&service=%s", f.host(upstreamHost), adminPort, args[0], args[1]))
	ts.Check(err)
	defer reply.Body.Close()
	var list []upstream.Status
	ts.Check(json.NewDecoder(reply.Body).Decode(&list))
	runs, err := f.record()
	ts.Check(err)
	for _, r := range runs {
		for _, e := range list {
			if r.Endpoint == e.Address {
				ts.Fatalf("run %d at %s in %s", r.Number, r.Endpoint, args[0])
			}
		}
	}
	if len(list) == 0 {
		ts.Fatalf("no endpoint in %s", args[0])
	}
}
