package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

const (
	host = "photos.example"
	key  = "key-of-venues"
)

// connection is a caller's connection to an edge machine.
type connection struct {
	net.Conn
	in *bufio.Reader
}

func dial(m *machine) (*connection, error) {
	c, err := net.DialTimeout("tcp", fmt.Sprintf("%s:%d", m.ip, frontPort), time.Second)
	if err != nil {
		return nil, err
	}
	return &connection{c, bufio.NewReader(c)}, nil
}

// request is one request of a caller.
type request struct {
	id, method, path, object string
	limit                    time.Duration // of the caller's patience
	work                     time.Duration // that the endpoint takes
	body                     []byte
	piece                    int           // bytes of the body that are written at a time
	gap                      time.Duration // between two pieces
}

// answer is what a caller got.
type answer struct {
	status int
	stamp  string
	body   []byte
	err    error // the connection ended without a complete answer
	took   time.Duration
}

func (a answer) String() string {
	if a.err != nil {
		return fmt.Sprintf("no complete answer (status %d, %d bytes): %v, after %.3f s", a.status, len(a.body), a.err, a.took.Seconds())
	}
	return fmt.Sprintf("%d, stamp %q, %d bytes, after %.3f s", a.status, a.stamp, len(a.body), a.took.Seconds())
}

// send sends a request and returns the answer. The body is sent while the answer is awaited.
func (c *connection) send(r request) (a answer) {
	start := time.Now()
	defer func() { a.took = time.Since(start) }()
	_ = c.SetDeadline(start.Add(r.limit))
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nAffinity-Key: %s\r\nDeadline-Milliseconds: %d\r\nAuthorization: Token %s\r\n",
		r.method, r.path, host, r.id, r.object, r.limit.Milliseconds(), key)
	if r.work > 0 {
		head += fmt.Sprintf("Work: %s\r\n", r.work)
	}
	if r.method != http.MethodGet {
		head += fmt.Sprintf("Content-Length: %d\r\n", len(r.body))
	}
	if _, err := io.WriteString(c, head+"\r\n"); err != nil {
		return answer{err: err}
	}
	go func() {
		for rest := r.body; len(rest) > 0; {
			n := min(max(r.piece, 1), len(rest))
			if _, err := c.Write(rest[:n]); err != nil {
				return
			}
			if rest = rest[n:]; len(rest) > 0 {
				time.Sleep(r.gap)
			}
		}
	}()
	response, err := http.ReadResponse(c.in, &http.Request{Method: r.method})
	if err != nil {
		return answer{err: err}
	}
	body, err := io.ReadAll(response.Body)
	return answer{status: response.StatusCode, stamp: response.Header.Get("Server-Stamp"), body: body, err: err}
}

// promisesNotRun reports whether a status tells a caller that its request has not run and never will.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}
