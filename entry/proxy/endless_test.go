package proxy

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"cuminfall.example/fleet/ident"
	"cuminfall.example/fleet/registry"
)

// endlessFleet is a proxy with many upstreams, of which the first ones send answers without end, and the callers' counts.
type endlessFleet struct {
	*fixture
	sent, served, endless, brokenOff atomic.Int64
	brokenUnframed                   atomic.Int64 // those of brokenOff that got the head of an answer which ends with its connection
	peakMemory                       uint64       // bytes of the heap and the stacks in use, the test's included
}

// playEndlessAnswers lets workers send requests until enough returns true.
func playEndlessAnswers(t *testing.T, upstreams, endless, workers int, enough func(sent int64) bool) *endlessFleet {
	t.Helper()
	fleet := &endlessFleet{fixture: newFixture(t, 0)}
	fill := []byte(strings.Repeat("x", 16<<10))
	server := &httptest.Server{Config: &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("X-Id", r.Header.Get("X-Id"))
		w.Header().Set("X-Stamp", "s")
		var n int
		if _, err := fmt.Sscanf(r.Header.Get("X-Upstream"), "u%d", &n); err != nil {
			t.Error(err)
		}
		if n >= endless {
			time.Sleep(10 * time.Millisecond)
			_, _ = io.WriteString(w, "ok")
			return
		}
		fleet.endless.Add(1)
		if n%2 == 0 {
			w.Header().Set("Transfer-Encoding", "identity") // the body ends with the connection
			w.Header().Set("X-Unframed", "1")
		}
		for {
			if _, err := w.Write(fill); err != nil {
				return
			}
			time.Sleep(2 * time.Millisecond)
		}
	})}}
	listener, err := net.Listen("tcp4", "0.0.0.0:0")
	if err != nil {
		t.Fatal(err)
	}
	server.Listener = listener
	server.Start()
	t.Cleanup(server.Close)
	for i := range upstreams {
		id := registry.UpstreamID(fmt.Sprint("u", i))
		address := ident.Address(fmt.Sprintf("127.0.%d.%d:%d", i/200, 1+i%200, listener.Addr().(*net.TCPAddr).Port))
		fleet.registry.Upstreams[id] = registry.Upstream{ID: id, Service: "s", Address: address, Domain: "d", Slots: 4, State: registry.Ready}
	}
	fleet.Update(fleet.registry)
	var running sync.WaitGroup
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: workers}}
	for worker := range workers {
		running.Go(func() {
			for i := 0; !enough(fleet.sent.Load()); i++ {
				r, _ := http.NewRequest(http.MethodGet, fleet.server.URL+"/safe/", nil)
				r.Host = "h"
				r.Header = http.Header{"X-Id": {fmt.Sprint(worker, "-", i)}, "X-Left": {"1000"}, "Authorization": {"key"}}
				fleet.sent.Add(1)
				response, err := client.Do(r)
				if err != nil {
					fleet.brokenOff.Add(1)
					continue
				}
				start := make([]byte, 3)
				n, _ := io.ReadFull(response.Body, start)
				_, err = io.Copy(io.Discard, response.Body)
				_ = response.Body.Close()
				switch {
				case err != nil:
					fleet.brokenOff.Add(1)
					if response.Header.Get("X-Unframed") != "" {
						fleet.brokenUnframed.Add(1)
					}
				case response.StatusCode == http.StatusOK && string(start[:n]) == "ok":
					fleet.served.Add(1)
				case response.StatusCode == http.StatusOK:
					t.Error("an answer without an end is taken for complete")
				}
			}
		})
	}
	for !enough(fleet.sent.Load()) {
		var stats runtime.MemStats
		runtime.ReadMemStats(&stats)
		fleet.peakMemory = max(fleet.peakMemory, stats.HeapInuse+stats.StackInuse)
		time.Sleep(10 * time.Millisecond)
	}
	running.Wait()
	t.Logf("%d of %d requests served, %d endless answers, %d broken off, at most %d MB in use", fleet.served.Load(), fleet.sent.Load(),
		fleet.endless.Load(), fleet.brokenOff.Load(), fleet.peakMemory>>20)
	return fleet
}

// Guards against requests that are not served because 50 of 700 upstreams send answers without end.
func TestEndlessAnswersOfFewUpstreams(t *testing.T) {
	const requests = 2000 // a time would be too short on a loaded machine: each endless upstream costs the first requests that meet it
	fleet := playEndlessAnswers(t, 700, 50, 20, func(sent int64) bool { return sent >= requests })
	if n := fleet.brokenUnframed.Load(); n > 0 {
		t.Errorf("%d answers that end with their connection were passed on and broken off, expected none", n)
	}
	if share := float64(fleet.served.Load()) / float64(fleet.sent.Load()); share < 0.95 {
		t.Errorf("a share of %.3f of the requests was served, expected at least 0.95", share)
	}
}

// Guards against answers without end that use up the memory of a VM with 184 MB.
func TestEndlessAnswersAreBounded(t *testing.T) {
	const memory = 184 << 20
	end := time.Now().Add(3 * time.Second)
	fleet := playEndlessAnswers(t, 50, 50, 200, func(int64) bool { return !time.Now().Before(end) })
	if fleet.peakMemory > memory/2 {
		t.Errorf("%d MB in use, expected at most %d", fleet.peakMemory>>20, memory/2>>20)
	}
}

// Guards against buffers that grow beyond what all of them may hold, or whose memory is never given back.
func TestResponseMemoryIsSharedAndReturned(t *testing.T) {
	is := is.New(t)
	long := strings.Repeat("x", 200<<10)
	answer := func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("X-Stamp", "s")
		_, _ = io.WriteString(w, long)
	}
	fx := newFixture(t, 0, answer)
	for _, budget := range []int64{defaultResponseMemory, 0, 96 << 10} {
		fx.responseMemory.free.Store(budget)
		for range 3 {
			response, body := fx.post("/safe/", "", "key")
			is.Equal(response.StatusCode, http.StatusOK)
			is.Equal(body, long) // without room it is passed on as it arrives
		}
		// The caller has the response before the handler releases the memory.
		for end := time.Now().Add(5 * time.Second); fx.responseMemory.free.Load() != budget && time.Now().Before(end); {
			time.Sleep(time.Millisecond)
		}
		is.Equal(fx.responseMemory.free.Load(), budget)
	}
}
