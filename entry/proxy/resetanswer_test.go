package proxy

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

const resetUploadSize = 32 << 20 // of an upload whose answer is reset

// resetAnswer answers with the start of a body without a length, and resets the connection.
func resetAnswer(w http.ResponseWriter, id string, beforeReset func(net.Conn, io.Reader)) error {
	c, in, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return err
	}
	if _, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Id: %s\r\nX-Stamp: s\r\n\r\npart of the body", id); err != nil {
		return err
	}
	beforeReset(c, in)
	_ = c.(*net.TCPConn).SetLinger(0)
	return c.Close()
}

// Guards against an answer that its upstream resets while it gets the upload, and that looks complete to the caller: the write
// that fails takes the error of the connection, and the next read sees its end.
func TestAnswerThatIsResetDuringItsUploadIsIncomplete(t *testing.T) {
	const rounds = 5
	for name, beforeReset := range map[string]func(net.Conn, io.Reader){
		"bytes move": func(_ net.Conn, in io.Reader) {
			_, _ = io.CopyN(io.Discard, in, resetUploadSize/4)
		},
		"bytes are stuck":       func(net.Conn, io.Reader) { time.Sleep(150 * time.Millisecond) },
		"at once":               func(net.Conn, io.Reader) {},
		"body not yet received": func(net.Conn, io.Reader) { time.Sleep(60 * time.Millisecond) },
	} {
		t.Run(name, func(t *testing.T) {
			reset := func(w http.ResponseWriter, r *http.Request) {
				if err := resetAnswer(w, r.Header.Get("X-Id"), beforeReset); err != nil {
					t.Error(err)
				}
			}
			complete := 0
			for i := range rounds { // an upstream that broke off gets no further request for a while
				c, err := net.Dial("tcp", startListener(t, newFixture(t, 0, reset)))
				if err != nil {
					t.Fatal(err)
				}
				sent := make(chan struct{})
				go func() {
					defer close(sent)
					if _, err := fmt.Fprintf(c, "POST /once/x HTTP/1.1\r\nHost: h\r\nX-Id: id-%d\r\nX-Left: 5000\r\nAuthorization: key\r\nContent-Length: %d\r\n\r\n", i, resetUploadSize); err != nil {
						return
					}
					piece := make([]byte, 32<<10)
					for n := 0; n < resetUploadSize; n += len(piece) {
						if name == "body not yet received" && n == 16*len(piece) {
							time.Sleep(200 * time.Millisecond)
						}
						if _, err := c.Write(piece); err != nil {
							return
						}
					}
				}()
				_ = c.SetReadDeadline(time.Now().Add(10 * time.Second))
				response, err := http.ReadResponse(bufio.NewReader(c), nil)
				if err == nil && response.StatusCode == http.StatusOK {
					body, err := io.ReadAll(response.Body)
					if err == nil {
						complete++
						t.Logf("%q was delivered as a whole answer", body)
					}
				}
				_ = c.Close()
				<-sent
			}
			if complete > 0 {
				t.Errorf("%d of %d answers that were reset look complete", complete, rounds)
			}
		})
	}
}
