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

	"cuminfall.example/entry/forward"
	"cuminfall.example/fleet/fault"
)

// Guards against work that is run again after a lost answer, at the first attempt or at the caller's repeat with the same
// key, and against callers that are told that it had not run.
func TestLostAnswerSchedules(t *testing.T) {
	const answer = "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n0123456789"
	headLength := strings.Index(answer, "\r\n\r\n") + 4
	for _, c := range []struct {
		name string
		// receive reads a part of the request and returns whether that was all of it.
		receive func(*bufio.Reader) bool
		sent    int // bytes of the answer that are sent
	}{
		{"connect", func(*bufio.Reader) bool { return false }, 0},
		{"part of head", func(in *bufio.Reader) bool { _, _ = io.ReadFull(in, make([]byte, 10)); return false }, 0},
		{"head", func(in *bufio.Reader) bool { _, _ = http.ReadRequest(in); return false }, 0},
		{"part of body", func(in *bufio.Reader) bool {
			if r, err := http.ReadRequest(in); err == nil {
				_, _ = io.ReadFull(r.Body, make([]byte, r.ContentLength/2))
			}
			return false
		}, 0},
		{"request", receiveAll, 0},
		{"part of response head", receiveAll, headLength / 2},
		{"response head", receiveAll, headLength},
		{"part of response", receiveAll, len(answer) - 5},
		{"response", receiveAll, len(answer)},
	} {
		for body, size := range map[string]int{"small body": 200, "upload": 150000} {
			for _, path := range []string{"/forecast/a", "/claims/a"} {
				t.Run(fmt.Sprintf("%s %s, reset after %s", body, path, c.name), func(t *testing.T) {
					var received atomic.Int32
					b := newHarness(t, map[string]string{serviceOf(path): rawUpstream(t, func(conn net.Conn, in *bufio.Reader) {
						if c.receive(in) {
							received.Add(1)
						}
						_, _ = io.WriteString(conn, answer[:c.sent])
						_ = conn.(*net.TCPConn).SetLinger(0)
					})}, 0)
					for range 2 {
						before := received.Load()
						r := b.request("POST", path, strings.NewReader(strings.Repeat("x", size)), "Idempotency-Key: k")
						response, text, err := b.do(r)
						if runs := received.Load(); path == "/claims/a" && runs > 1 {
							t.Errorf("the upstream received the request %d times, want at most once", runs)
						}
						switch {
						case err != nil: // the caller knows that it may have run
						case response.StatusCode == http.StatusOK && text != answer[headLength:]:
							t.Errorf("status 200 with the body %q, want %q", text, answer[headLength:])
						case received.Load() > before && response.Header.Get(forward.ExecutionHeader) == string(fault.NotExecuted):
							t.Errorf("status %d, %q says that the request did not run, but the upstream received it", response.StatusCode, text)
						}
					}
				})
			}
		}
	}
}

// receiveAll reads a whole request.
func receiveAll(in *bufio.Reader) bool {
	r, err := http.ReadRequest(in)
	if err == nil {
		_, err = io.Copy(io.Discard, r.Body)
	}
	return err == nil
}
