package main

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
	"time"
)

// endpoint is a server of one service.
type endpoint struct {
	f             *fleet
	id, service   string
	zone, address string
	slots         int
	born          int64
	runs          *runs
	listener      net.Listener
	// serve handles one request whose head was read, and reports whether the connection goes on.
	serve func(e *endpoint, c net.Conn, in *bufio.Reader, r *http.Request) bool
	stop  chan struct{}
}

// runs records which requests endpoints began to work on.
type runs struct {
	mu    sync.Mutex
	began map[string][]time.Time
}

func (r *runs) begin(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.began == nil {
		r.began = map[string][]time.Time{}
	}
	r.began[id] = append(r.began[id], time.Now())
}

func (r *runs) count(id string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.began[id])
}

// listen starts an endpoint at the machine address with the last octet.
func (e *endpoint) listen(last int) {
	e.address = fmt.Sprintf("%s:%d", e.f.ip(last), endpointPort)
	e.born, e.stop = time.Now().UnixMilli(), make(chan struct{})
	l, err := net.Listen("tcp", e.address)
	if err != nil {
		e.f.rec.cannotRun("endpoint: %v", err)
	}
	e.listener = l
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go e.connection(c)
		}
	}()
	go e.heartbeats()
}

func (e *endpoint) connection(c net.Conn) {
	defer func() { _ = c.Close() }()
	in := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		id := r.Header.Get("Request-Id")
		if r.URL.Path == "/health" {
			_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nInstance-Id: %s\r\nContent-Length: 0\r\n\r\n", e.id)
			continue
		}
		if got := r.Header.Get("Expected-Instance"); got != "" && got != e.id {
			_, _ = fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\nRequest-Id: %s\r\nNot-Executed: 1\r\nContent-Length: 0\r\nConnection: close\r\n\r\n", id)
			return
		}
		if !e.serve(e, c, in, r) {
			return
		}
	}
}

// answer writes a complete answer.
func answer(c net.Conn, id string, body []byte) error {
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nServer-Stamp: 3e1b.07.%s\r\nServer-Load: 1,0,4\r\nContent-Type: text/plain\r\nContent-Length: %s\r\n\r\n",
		id, id, strconv.Itoa(len(body)))
	_, err := c.Write(append([]byte(head), body...))
	return err
}

// heartbeats announces the endpoint every 1.5 s.
func (e *endpoint) heartbeats() {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for sequence := 1; ; sequence++ {
		body, _ := json.Marshal(map[string]any{"address": e.address, "born": e.born,
			"information": map[string]any{"service": e.service, "version": "v1", "zone": e.zone, "capacitySlots": e.slots},
			"status":      map[string]any{"state": "ready", "sequence": sequence, "coldRemaining": "0ms"}})
		for i := range e.f.cores {
			core := e.f.cores[(sequence+i)%len(e.f.cores)]
			response, err := client.Post(fmt.Sprintf("http://%s:%d/instances/%s/heartbeat", core.ip, controlPort, e.id), "application/json", bytes.NewReader(body))
			if err != nil {
				continue
			}
			_, _ = io.Copy(io.Discard, response.Body)
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				break
			}
		}
		select {
		case <-e.stop:
			return
		case <-time.After(1500 * time.Millisecond):
		}
	}
}
