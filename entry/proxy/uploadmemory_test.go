package proxy

import (
	"io"
	"net/http"
	"runtime"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"cuminfall.example/fleet/catalog"
)

// Guards against few uploads within the catalog's limits that use up the memory of a VM with 184 MB; their callers would
// repeat them at the next VM.
func TestLongestUploadsFitTheSmallestVM(t *testing.T) {
	const vmMemory, uploads = 184 << 20, 2
	for name, length := range map[string]int64{"length": defaultMaxBody, "chunks": -1} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			fx := newFixture(t, 0, func(w http.ResponseWriter, r *http.Request) {
				_, _ = io.Copy(io.Discard, r.Body)
				w.Header().Set("X-Stamp", "s")
			})
			fx.changeRoute("once", func(r *catalog.Route) { r.Timeout = 30 * time.Second })
			runtime.GC()
			var running sync.WaitGroup
			for range uploads {
				running.Go(func() {
					response, _, err := fx.postBody("/once/", io.LimitReader(zeros{}, defaultMaxBody), length)
					if err != nil {
						t.Error(err)
						return
					}
					t.Logf("status %d", response.StatusCode) // a refusal is in order
				})
			}
			done := make(chan struct{})
			go func() { defer close(done); running.Wait() }()
			var peak uint64
			for ended := false; !ended; {
				select {
				case <-done:
					ended = true
				case <-time.After(time.Millisecond):
				}
				var stats runtime.MemStats
				runtime.ReadMemStats(&stats)
				peak = max(peak, stats.HeapInuse+stats.StackInuse)
			}
			t.Logf("at most %d MB in use", peak>>20)
			is.True(peak <= vmMemory)
		})
	}
}
