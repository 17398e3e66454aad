package protocol

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"math/rand"
	"net/http"
	"net/http/httptest"
	"runtime"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a member that runs out of memory because many followers ask for a large registry at once and read it
// slowly.
func TestLongRepliesShareALimit(t *testing.T) {
	is := is.New(t)
	const followers, stateSize, limit = 64, 4 << 20, 128 << 20
	random := rand.New(rand.NewSource(1))
	state := []byte(`"`)
	for len(state) < stateSize {
		state = append(state, byte('a'+random.Intn(26)))
	}
	state = append(state, '"')
	server := httptest.NewServer(NewHandler(func(context.Context, []byte) (any, error) {
		return FollowReply{Index: 1, State: json.RawMessage(state)}, nil
	}))
	defer server.Close()
	done := make(chan struct{})
	largest := uint64(0)
	var watch sync.WaitGroup
	watch.Go(func() {
		for {
			select {
			case <-done:
				return
			case <-time.After(20 * time.Millisecond):
				var m runtime.MemStats
				runtime.GC()
				runtime.ReadMemStats(&m)
				largest = max(largest, m.HeapAlloc)
			}
		}
	})
	var all sync.WaitGroup
	for range followers {
		all.Go(func() {
			r, err := http.NewRequest(http.MethodPost, server.URL, bytes.NewReader([]byte("{}")))
			is.NoErr(err)
			r.Header.Set("Accept-Encoding", "gzip") // the compressed reply is counted below
			response, err := http.DefaultTransport.RoundTrip(r)
			is.NoErr(err)
			time.Sleep(200 * time.Millisecond)
			n, err := io.Copy(io.Discard, response.Body)
			is.NoErr(err)
			is.True(n > stateSize/4) // letters compress to about 60%
			is.NoErr(response.Body.Close())
		})
	}
	all.Wait()
	close(done)
	watch.Wait()
	is.True(largest <= limit)
	t.Logf("at most %d MB", largest>>20)
}
