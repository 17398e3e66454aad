package listener

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a stop that drops requests of which it has read a part, while clients go on to send on kept and on new
// connections until the server is gone.
func TestServerStopDropsNoRequest(t *testing.T) {
	is := is.New(t)
	for range 5 {
		var handled, answered, crossed atomic.Int32
		s, err := Open(context.Background(), "127.0.0.1:0", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body)
			handled.Add(1)
			time.Sleep(3 * time.Millisecond)
			_, _ = io.WriteString(w, "ok")
		}))
		is.NoErr(err)
		served := make(chan error, 1)
		go func() { served <- s.Serve() }()
		ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
		defer cancel()
		var clients sync.WaitGroup
		for range 16 {
			clients.Go(func() {
				for {
					c, err := (&net.Dialer{Timeout: 5 * time.Second}).DialContext(ctx, "tcp", s.listener.Addr().String())
					if err != nil {
						return // the server is gone
					}
					for in := bufio.NewReader(c); ; {
						_ = c.SetDeadline(time.Now().Add(5 * time.Second))
						_, _ = io.WriteString(c, "POST /order HTTP")
						time.Sleep(time.Millisecond)
						_, _ = io.WriteString(c, "/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nab")
						response, err := http.ReadResponse(in, nil)
						if err == nil {
							_, err = io.Copy(io.Discard, response.Body)
						}
						if err != nil {
							crossed.Add(1)
							break
						}
						answered.Add(1)
						if response.Close {
							break
						}
					}
					_ = c.Close()
				}
			})
		}
		for answered.Load() < 200 {
			time.Sleep(time.Millisecond)
		}
		is.NoErr(s.Stop(ctx))
		is.NoErr(<-served)
		clients.Wait()
		_, unread := s.listener.IdleCloses()
		t.Logf("%d answered, %d crossed the close, %d of these not read", answered.Load(), crossed.Load(), unread)
		is.Equal(answered.Load(), handled.Load())
		is.True(crossed.Load() <= int32(unread))
	}
}
