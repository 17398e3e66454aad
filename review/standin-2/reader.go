package main

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"
)

func init() { cases["reader"] = playReader }

// playReader lets callers pause while they read long answers, for less than the time that they and the route allow. The edge
// machines get SIGHUP shortly before the requests.
func playReader(d *deployment) int {
	const answerSize, firstPart = 24 << 20, 100000
	const limit = 40 * time.Second
	pause := time.Second
	if d.trouble {
		pause = 13 * time.Second
	}
	text := bytes.Repeat([]byte("a"), 1<<20)
	serve := func(e *endpoint, c net.Conn, r *http.Request) bool {
		id := r.Header.Get("Request-Id")
		d.rec.log("%s runs %s and writes its answer", e.id, id)
		writeHead(c, r, answerSize)
		written := 0
		for written < answerSize {
			n, err := c.Write(text)
			if written += n; err != nil {
				d.rec.log("%s could write %d bytes of its answer to %s: %v", e.id, written, id, err)
				return false
			}
		}
		d.rec.log("%s has written its whole answer to %s", e.id, id)
		return true
	}
	var endpoints []*endpoint
	for i := range 4 {
		endpoints = append(endpoints, &endpoint{service: "archive", zone: []string{"bne-a", "bne-b"}[i%2], serve: serve})
	}
	if !d.begin(map[string]route{"/archive/": {"safe", "archive", "60s"}}, endpoints...) {
		return failed
	}
	for _, m := range d.edges {
		d.rec.log("SIGHUP to %s", m.name)
		m.signal(syscall.SIGHUP)
	}
	hupAt := time.Now()
	var callers sync.WaitGroup
	var mu sync.Mutex
	var whole, cut, others int
	for i := range 8 {
		callers.Go(func() {
			time.Sleep(time.Duration(i) * 150 * time.Millisecond)
			m := d.edges[i%2]
			c, err := dial(m)
			if err != nil {
				d.rec.log("no connection to %s: %v", m.name, err)
				return
			}
			defer func() { _ = c.Close() }()
			_ = c.Conn.(*net.TCPConn).SetReadBuffer(64 << 10)
			id, sentAt := fmt.Sprint("export-", i), time.Now()
			_ = c.SetDeadline(sentAt.Add(limit))
			_, _ = fmt.Fprintf(c, "GET /archive/%d HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nAffinity-Key: %d\r\nDeadline-Milliseconds: %d\r\nAuthorization: Token %s\r\n\r\n",
				i, host, id, i, limit.Milliseconds(), key)
			n, status := int64(0), 0
			answer, err := http.ReadResponse(c.in, nil)
			if err == nil {
				status = answer.StatusCode
				if n, err = io.CopyN(io.Discard, answer.Body, firstPart); err == nil {
					time.Sleep(pause)
					var more int64
					more, err = io.Copy(io.Discard, answer.Body)
					n += more
				}
			}
			took := time.Since(sentAt)
			d.rec.log("%s, sent to %s %.3f s after SIGHUP, is answered: %d, %d bytes, %v, after %.1f s", id, m.name, sentAt.Sub(hupAt).Seconds(), status, n, err, took.Seconds())
			mu.Lock()
			defer mu.Unlock()
			switch {
			case err == nil && status == http.StatusOK && n == answerSize:
				whole++
			case err != nil && took < limit && sentAt.Sub(hupAt) < configApply:
				cut++
				d.rec.log("LOST: %s was passed on, and its connection ended without a complete answer", id)
			default:
				others++
			}
		})
	}
	callers.Wait()
	d.rec.verdict("of 8 callers that pause for %s within their answers, %d got the whole answer, %d connections ended without a complete one, %d others", pause, whole, cut, others)
	switch {
	case cut > 0:
		return broken
	case whole == 0:
		return failed
	}
	return held
}
