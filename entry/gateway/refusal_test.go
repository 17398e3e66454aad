package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"

	"cuminfall.example/entry/forward"
	"cuminfall.example/fleet/fault"
)

// Guards against the late copy of a refusal that is taken for the refusal of a request that ran: its caller was told that
// it had not run, and a repeat ran it again.
func TestLateRefusalIsNotBelieved(t *testing.T) {
	for _, c := range []struct {
		name          string
		refusalHasID  bool
		answersHaveID bool
	}{{"without IDs", false, false}, {"refusals without an ID", false, true}, {"with IDs", true, true}} {
		for framing, rest := range map[string]string{"empty": "Content-Length: 0\r\n\r\n", "length": "Content-Length: 4\r\n\r\nbusy",
			"chunks": "Transfer-Encoding: chunked\r\n\r\n4\r\nbusy\r\n0\r\n\r\n"} {
			t.Run(c.name+", "+framing, func(t *testing.T) {
				is := is.New(t)
				var runs atomic.Int32
				upstream := rawUpstream(t, func(conn net.Conn, in *bufio.Reader) {
					refusal := ""
					for {
						r, err := http.ReadRequest(in)
						if err != nil {
							return
						}
						_, _ = io.Copy(io.Discard, r.Body)
						idField := forward.AttemptIDHeader + ": " + r.Header.Get(forward.AttemptIDHeader) + "\r\n"
						if r.URL.Path == "/claims/a" {
							refusal = "HTTP/1.1 503 Busy\r\nCuminfall-Run: not-run\r\n"
							if c.refusalHasID {
								refusal += idField
							}
							refusal += rest
							_, _ = io.WriteString(conn, refusal)
							continue
						}
						runs.Add(1)
						if !c.answersHaveID {
							idField = ""
						}
						_, _ = fmt.Fprintf(conn, "%sHTTP/1.1 200 OK\r\n%sContent-Length: 3\r\n\r\nown", refusal, idField)
					}
				})
				b := newHarness(t, map[string]string{"claims": upstream}, 0)
				for range 2 {
					response, _, err := b.do(b.request("POST", "/claims/a", strings.NewReader("x"), "Idempotency-Key: a"))
					is.NoErr(err)
					is.Equal(response.Header.Get("Cuminfall-Run"), string(fault.NotExecuted)) // it did not run, and this is known
				}
				for range 3 {
					response, _, err := b.do(b.request("POST", "/claims/b", strings.NewReader("x"), "Idempotency-Key: b"))
					is.NoErr(err)
					is.True(response.Header.Get("Cuminfall-Run") != string(fault.NotExecuted))
				}
				is.Equal(runs.Load(), int32(1))
			})
		}
	}
}
