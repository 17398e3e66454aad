package harness

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// Client is a client's connection to one entry machine.
type Client struct {
	net.Conn
	In *bufio.Reader
}

// Dial opens a client's connection.
func Dial(m *Machine) (*Client, error) {
	c, err := net.DialTimeout("tcp", m.Front(), time.Second)
	if err != nil {
		return nil, err
	}
	return &Client{c, bufio.NewReader(c)}, nil
}

// Head returns the head of a request with a body of a length; -1 omits it.
func Head(method, path, id string, limit time.Duration, length int) []byte {
	text := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Milliseconds: %d\r\nAuthorization: Token %s\r\n",
		method, path, Host, id, limit.Milliseconds(), Key)
	if length >= 0 {
		text += fmt.Sprintf("Content-Length: %d\r\n", length)
	}
	return []byte(text + "\r\n")
}

// Response reads a response with its body until a time.
func (c *Client) Response(method string, until time.Time) (*http.Response, []byte, error) {
	_ = c.SetReadDeadline(until)
	r, err := http.ReadResponse(c.In, &http.Request{Method: method})
	if err != nil {
		return nil, nil, err
	}
	body, err := io.ReadAll(r.Body)
	return r, body, err
}
