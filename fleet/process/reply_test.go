package process

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// Guards against a part of a reply, or a reply in trouble, that a process of the fleet takes for a whole reply: a message with
// fewer fields, or with other bytes, may still be a valid one.
func TestOddReplyIsNoReply(t *testing.T) {
	for name, c := range map[string]struct {
		reply string
		reset bool
	}{
		"reset while the message is sent": {"HTTP/1.1 200 OK\r\n\r\npart of a reply", true},
		"without a length":                {"HTTP/1.1 200 OK\r\n\r\npart of a reply", false},
		"status 000":                      {"HTTP/1.1 000 OK\r\nContent-Length: 2\r\n\r\n{}", false},
		"status 999":                      {"HTTP/1.1 999 OK\r\nContent-Length: 2\r\n\r\n{}", false},
		"a blank after a name":            {"HTTP/1.1 200 OK\r\nContent-Length : 2\r\n\r\n{} and more", false},
		"a blank in a name":               {"HTTP/1.1 200 OK\r\nX Odd: 1\r\nContent-Length: 2\r\n\r\n{}", false},
		"chunks in HTTP/1.0":              {"HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n\r\n", false},
		"fewer bytes than its length":     {"HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\npart of a reply", false},
		"fewer bytes than its chunk":      {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n20\r\npart of a reply", false},
	} {
		t.Run(name, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = l.Close() }()
			go func() {
				conn, err := l.Accept()
				if err != nil {
					return
				}
				in := bufio.NewReader(conn)
				if _, err := http.ReadRequest(in); err != nil {
					t.Error(err)
				}
				if c.reset {
					_, _ = io.CopyN(io.Discard, in, 1<<20)
				}
				_, _ = io.WriteString(conn, c.reply)
				if c.reset {
					time.Sleep(50 * time.Millisecond) // the rest of the message fills the buffers
					_ = conn.(*net.TCPConn).SetLinger(0)
				}
				_ = conn.Close()
			}()
			budget := ReadBudget{Max: 1 << 20}
			client := &http.Client{Transport: budget.Transport(&http.Transport{}), Timeout: 5 * time.Second}
			message := 2
			if c.reset {
				message = 32 << 20
			}
			response, err := client.Post("http://"+l.Addr().String(), "application/protobuf", bytes.NewReader(make([]byte, message)))
			if err != nil {
				return
			}
			defer func() { _ = response.Body.Close() }()
			if body, err := io.ReadAll(response.Body); err == nil {
				t.Errorf("status %d, %q was taken for a whole reply", response.StatusCode, body)
			}
		})
	}
}
