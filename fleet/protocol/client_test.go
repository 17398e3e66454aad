package protocol

import (
	"context"
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

	"cuminfall.example/fleet/fault"
	"cuminfall.example/fleet/ident"
	"cuminfall.example/fleet/registry"
)

// Guards against uncompressed registries, which saturate the links of small VMs: 700 upstreams take 180 KB.
func TestLongRepliesAreCompressed(t *testing.T) {
	is := is.New(t)
	r := registry.New()
	for i := range 700 {
		id := registry.UpstreamID("i-" + strings.Repeat("0", i%7) + string(rune('a'+i%26)) + string(rune('a'+i/26)))
		r.Upstreams[id] = registry.Upstream{ID: id, Service: "catalogue", Domain: "bne-a", Slots: 3, State: registry.Ready}
	}
	state, err := r.Encode()
	is.NoErr(err)
	var sentBytes int64
	mux := http.NewServeMux()
	mux.Handle(FollowPath, NewHandler(func(context.Context, []byte) (any, error) { return FollowReply{Index: 7, State: state}, nil }))
	mux.Handle(ReadPath, NewHandler(func(context.Context, []byte) (any, error) {
		return nil, fault.New(fault.NotLeader, "read", "", "this member does not lead")
	}))
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		mux.ServeHTTP(&byteCounter{w, &sentBytes}, r)
	}))
	defer server.Close()
	address := ident.Address(server.Listener.Addr().String())
	var c Client
	var reply FollowReply
	is.NoErr(c.Call(context.Background(), address, FollowPath, FollowRequest{}, &reply))
	is.Equal(string(reply.State), string(state))
	is.True(sentBytes*5 < int64(len(state)))
	err = c.Call(context.Background(), address, ReadPath, struct{}{}, &reply)
	is.True(err != nil)
	is.True(strings.Contains(err.Error(), "does not lead"))
}

// byteCounter counts the bytes of response bodies.
type byteCounter struct {
	http.ResponseWriter
	n *int64
}

func (c *byteCounter) Write(b []byte) (int, error) {
	*c.n += int64(len(b))
	return c.ResponseWriter.Write(b)
}

// Guards against replies without an end, from whatever answers at a former member's address, that use up the memory of a VM
// with 184 MB.
func TestEndlessRepliesAreBounded(t *testing.T) {
	const memory, peers = 184 << 20, 6
	for name, parts := range map[string][2]string{ // sent once, and then without end
		"header": {"HTTP/1.1 200 OK\r\n", "A: b\r\n"},
		"body":   {"HTTP/1.1 200 OK\r\n\r\n", "x"},
		"chunks": {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			runtime.GC() // the garbage of other cases
			var client Client
			var calls sync.WaitGroup
			var peak atomic.Uint64
			for range peers {
				l, err := net.Listen("tcp", "127.0.0.1:0")
				if err != nil {
					t.Fatal(err)
				}
				defer func() { _ = l.Close() }()
				go func() {
					for {
						c, err := l.Accept()
						if err != nil {
							return
						}
						_, _ = io.WriteString(c, parts[0])
						for piece := strings.Repeat(parts[1], 64<<10/len(parts[1])); err == nil; {
							_, err = io.WriteString(c, piece)
						}
						_ = c.Close()
					}
				}()
				calls.Go(func() {
					ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
					defer cancel()
					if err := client.Call(ctx, ident.Address(l.Addr().String()), FollowPath, FollowRequest{}, nil); err == nil {
						t.Error("a reply without an end is taken for one")
					}
				})
			}
			ended := make(chan struct{})
			go func() { defer close(ended); calls.Wait() }()
			for running := true; running; {
				select {
				case <-ended:
					running = false
				case <-time.After(5 * time.Millisecond):
				}
				var stats runtime.MemStats
				runtime.ReadMemStats(&stats)
				peak.Store(max(peak.Load(), stats.HeapInuse+stats.StackInuse))
			}
			if peak.Load() > memory/2 {
				t.Errorf("%d MB in use, expected at most %d", peak.Load()>>20, memory/2>>20)
			}
			if held := client.replies.Held(); held != 0 {
				t.Errorf("%d bytes are held after all calls, expected none", held)
			}
		})
	}
}
