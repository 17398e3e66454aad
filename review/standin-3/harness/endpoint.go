package harness

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// Endpoint is a stand-in endpoint of one service. It serves one request at a time on a connection, announces itself at the
// control machines, and rejects requests for another instance.
type Endpoint struct {
	ID, Service, Zone, Address string
	Born                       int64
	Handle                     Handler

	fleet    *Fleet
	listener net.Listener
	sequence atomic.Uint64
	state    atomic.Value
	stop     chan struct{}
	stopOnce sync.Once
}

// Handler runs a request, whose body may not have arrived yet. It writes the answer to the connection and returns whether
// the connection can be used again.
type Handler func(e *Endpoint, c *Conn, r *http.Request) bool

// Conn is a connection of an endpoint.
type Conn struct {
	net.Conn
	In *bufio.Reader
}

// NewEndpoint starts an endpoint, which announces itself until Close.
func (f *Fleet) NewEndpoint(n int, service string, handle Handler) (*Endpoint, error) {
	e := &Endpoint{ID: fmt.Sprintf("i-%s-%d", service, n), Service: service, Zone: Zones[n%len(Zones)], Address: fmt.Sprintf("%s:%d", f.IP(100+n), endpointPort),
		Born: time.Now().UnixMilli(), Handle: handle, fleet: f, stop: make(chan struct{})}
	e.state.Store("ready")
	l, err := net.Listen("tcp", e.Address)
	if err != nil {
		return nil, err
	}
	e.listener = l
	go e.accept()
	go e.announce()
	return e, nil
}

// Close ends the endpoint without a word.
func (e *Endpoint) Close() {
	e.stopOnce.Do(func() {
		close(e.stop)
		_ = e.listener.Close()
	})
}

func (e *Endpoint) accept() {
	for {
		c, err := e.listener.Accept()
		if err != nil {
			return
		}
		go e.serve(&Conn{c, bufio.NewReader(c)})
	}
}

func (e *Endpoint) serve(c *Conn) {
	defer func() { _ = c.Close() }()
	for {
		r, err := http.ReadRequest(c.In)
		if err != nil {
			return
		}
		if r.Header.Get("Expected-Instance") != e.ID {
			_, _ = io.Copy(io.Discard, r.Body)
			Answer(c, r, http.StatusMisdirectedRequest, http.Header{"Not-Executed": {"1"}}, nil)
			continue
		}
		if !e.Handle(e, c, r) {
			return
		}
	}
}

// Answer writes a whole answer.
func Answer(c io.Writer, r *http.Request, status int, header http.Header, body []byte) {
	var b bytes.Buffer
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\nRequest-Id: %s\r\n", status, http.StatusText(status), r.Header.Get("Request-Id"))
	_ = header.Write(&b)
	fmt.Fprintf(&b, "Content-Length: %d\r\n\r\n", len(body))
	b.Write(body)
	_, _ = c.Write(b.Bytes())
}

// Stamp is the header of an endpoint's own answers.
func Stamp() http.Header {
	return http.Header{"Server-Stamp": {"3e1b.07.5a2.600.0.c9f2a4d1"}, "Server-Load": {"1,0,4"}}
}

// TimeLimit returns the time that the endpoint may work on a request.
func TimeLimit(r *http.Request) time.Duration {
	ms, err := strconv.Atoi(r.Header.Get("Deadline-Milliseconds"))
	if err != nil {
		return 10 * time.Second
	}
	return time.Duration(ms) * time.Millisecond
}

// SetState changes the state that the endpoint announces, and announces it at once. It returns whether that was
// acknowledged.
func (e *Endpoint) SetState(state string) bool {
	e.state.Store(state)
	return e.beat()
}

func (e *Endpoint) announce() {
	for {
		e.beat()
		select {
		case <-e.stop:
			return
		case <-time.After(1500 * time.Millisecond):
		}
	}
}

func (e *Endpoint) beat() bool {
	sequence := e.sequence.Add(1)
	body, _ := json.Marshal(map[string]any{"address": e.Address, "born": e.Born,
		"information": map[string]any{"service": e.Service, "version": "v1", "zone": e.Zone, "capacitySlots": 4},
		"status":      map[string]any{"state": e.state.Load(), "sequence": sequence, "coldRemaining": "0ms"}})
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for i := range e.fleet.Cores {
		core := e.fleet.Cores[(int(sequence)+i)%len(e.fleet.Cores)]
		r, err := client.Post("http://"+core.Control()+"/instances/"+e.ID+"/heartbeat", "application/json", bytes.NewReader(body))
		if err != nil {
			continue
		}
		_ = r.Body.Close()
		if r.StatusCode/100 == 2 {
			return true
		}
	}
	return false
}
