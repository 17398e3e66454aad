package main

import (
	"bytes"
	"fmt"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"
)

func init() { cases["silence"] = playSilence }

// playSilence lets endpoints pause within long answers, as while they fetch more, for less than the time that callers and
// the route allow. The edge machines get SIGHUP shortly before the requests.
func playSilence(d *deployment) int {
	const answerSize, firstPart = 400000, 300000
	const limit = 30 * time.Second
	pause := time.Second
	if d.trouble {
		pause = 12 * time.Second
	}
	text := bytes.Repeat([]byte("a"), answerSize)
	var mu sync.Mutex
	written := map[string]bool{} // whole answers, by request id
	serve := func(e *endpoint, c net.Conn, r *http.Request) bool {
		id := r.Header.Get("Request-Id")
		writeHead(c, r, answerSize)
		_, err := c.Write(text[:firstPart])
		d.rec.log("%s runs %s and has written %d bytes of its answer (%v); it goes on after %s", e.id, id, firstPart, err, pause)
		time.Sleep(pause)
		_, err = c.Write(text[firstPart:])
		d.rec.log("%s has written the rest of its answer to %s (%v)", e.id, id, err)
		mu.Lock()
		written[id] = err == nil
		mu.Unlock()
		return err == nil
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
	var whole, cut, others int
	for i := range 12 {
		callers.Go(func() {
			time.Sleep(time.Duration(i) * 100 * time.Millisecond)
			m := d.edges[i%2]
			c, err := dial(m)
			if err != nil {
				d.rec.log("no connection to %s: %v", m.name, err)
				return
			}
			defer func() { _ = c.Close() }()
			id, sentAt := fmt.Sprint("export-", i), time.Now()
			a := c.send(request{id: id, method: http.MethodGet, path: "/archive/" + fmt.Sprint(i), object: fmt.Sprint(i), limit: limit})
			d.rec.log("%s, sent to %s %.3f s after SIGHUP, is answered: %s", id, m.name, sentAt.Sub(hupAt).Seconds(), a)
			mu.Lock()
			defer mu.Unlock()
			switch {
			case a.err == nil && a.status == http.StatusOK && len(a.body) == answerSize:
				whole++
			case a.err != nil && a.took < limit && sentAt.Sub(hupAt) < configApply:
				cut++
				d.rec.log("LOST: %s was passed on, and its connection ended without a complete answer after %.1f of %.0f s", id, a.took.Seconds(), limit.Seconds())
			default:
				others++
			}
		})
	}
	callers.Wait()
	d.rec.verdict("of 12 requests whose endpoints pause for %s within their answers, %d got the whole answer, %d connections ended without a complete one, %d others", pause, whole, cut, others)
	switch {
	case cut > 0:
		return broken
	case whole == 0:
		return failed
	}
	return held
}
