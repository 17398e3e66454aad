package gateway

import (
	"bufio"
	"io"
	"net"
	"testing"
	"time"
)

// Guards against a cut answer without a length that looks whole to a caller with HTTP/1.0.
func TestCutAnswerToOldCallerIsReset(t *testing.T) {
	address := rawUpstream(t, func(c net.Conn, in *bufio.Reader) {
		readRequest(in)
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n")
		time.Sleep(50 * time.Millisecond)
	})
	b := newHarness(t, map[string]string{"forecast": address}, 0)
	c := b.dial()
	_, err := io.WriteString(c, "GET /forecast/a HTTP/1.0\r\nHost: x\r\nRequest-Timeout: 4s\r\nAuthorization: "+bearer+"\r\n\r\n")
	b.NoErr(err)
	received, err := io.ReadAll(c.in)
	t.Logf("%q, %v", received, err)
	b.True(err != nil) // only a reset tells this caller that the answer is incomplete
}
