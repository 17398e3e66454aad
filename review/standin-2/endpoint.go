package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"time"
)

// endpoint is a stand-in endpoint. It serves each connection with serve, one request at a time.
type endpoint struct {
	service, zone string
	// serve answers one request and returns false if its connection ends.
	serve func(e *endpoint, c net.Conn, r *http.Request) bool

	d       *deployment
	id      string
	address string
	born    int64
}

func (e *endpoint) start(d *deployment, n int) error {
	e.d, e.id, e.address = d, fmt.Sprintf("i-%s-%d", e.service, n), fmt.Sprintf("%s:%d", d.ip(60+n), endpointPort)
	e.born = time.Now().UnixMilli()
	l, err := net.Listen("tcp", e.address)
	if err != nil {
		return err
	}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go e.serveConn(c)
		}
	}()
	go func() {
		for sequence := 1; ; sequence++ {
			body, _ := json.Marshal(map[string]any{"address": e.address, "born": e.born,
				"information": map[string]any{"service": e.service, "version": "v1", "zone": e.zone, "capacitySlots": 8},
				"status":      map[string]any{"state": "ready", "sequence": sequence, "coldRemaining": "0ms"}})
			d.order("/instances/"+e.id+"/heartbeat", "", body, 4*time.Second)
			time.Sleep(1500 * time.Millisecond)
		}
	}()
	return nil
}

func (e *endpoint) serveConn(c net.Conn) {
	defer func() { _ = c.Close() }()
	in := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		if r.Header.Get("Expected-Instance") != e.id {
			_, _ = fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\nRequest-Id: %s\r\nConnection: close\r\nContent-Length: 0\r\n\r\n", r.Header.Get("Request-Id"))
			return
		}
		if !e.serve(e, c, r) {
			return
		}
	}
}

// writeHead writes the head of an answer with status 200 to a request.
func writeHead(c net.Conn, r *http.Request, length int) {
	_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nServer-Stamp: stamp.%s\r\nServer-Load: 1,0,8\r\nContent-Length: %d\r\n\r\n",
		r.Header.Get("Request-Id"), r.Header.Get("Request-Id"), length)
}
