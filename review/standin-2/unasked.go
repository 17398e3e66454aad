package main

import (
	"bytes"
	"fmt"
	"io"
	"math/rand"
	"net"
	"net/http"
	"sync"
	"time"
)

func init() { cases["unasked"] = playUnasked }

// playUnasked lets endpoints answer uploads before they have read all of them. They read on, and compare what they get.
func playUnasked(d *deployment) int {
	const uploads, answerSize = 40, 400000
	photos := map[string][]byte{} // by request id
	for i := range uploads {
		id := fmt.Sprint("photo-", i)
		photos[id] = make([]byte, 120000)
		_, _ = rand.New(rand.NewSource(int64(i))).Read(photos[id])
	}
	preview := bytes.Repeat([]byte("v"), answerSize)
	var mu sync.Mutex
	wholeAnswer, otherBytes := map[string]bool{}, map[string]bool{} // by request id
	serve := func(e *endpoint, c net.Conn, r *http.Request) bool {
		id := r.Header.Get("Request-Id")
		var got []byte
		if photos[id] != nil && d.trouble {
			got = make([]byte, 20000)
			n, err := io.ReadFull(r.Body, got)
			if got = got[:n]; err != nil {
				return false
			}
		} else {
			all, err := io.ReadAll(r.Body)
			if got = all; err != nil {
				return false
			}
		}
		size := 2
		if photos[id] != nil {
			size = answerSize
		}
		answered := make(chan error, 1)
		go func() {
			writeHead(c, r, size)
			_, err := c.Write(preview[:size])
			answered <- err
		}()
		before := len(got)
		rest, err := io.ReadAll(r.Body) // what came is kept also after an error
		got = append(got, rest...)
		answerErr := <-answered
		if want := photos[id]; want != nil {
			mu.Lock()
			wholeAnswer[id] = answerErr == nil
			same := len(got) <= len(want) && bytes.Equal(got, want[:len(got)])
			otherBytes[id] = !same
			mu.Unlock()
			d.rec.log("%s ran %s: it answered after %d bytes of the body (%v), got %d of %d bytes (%v), and they are those that were sent: %v",
				e.id, id, before, answerErr, len(got), len(want), err, same)
		}
		return err == nil && answerErr == nil
	}
	var endpoints []*endpoint
	for i := range 6 {
		endpoints = append(endpoints, &endpoint{service: "snapshots", zone: []string{"bne-a", "bne-b"}[i%2], serve: serve})
	}
	if !d.begin(map[string]route{"/photos/": {"upload", "snapshots", "5000ms"}}, endpoints...) {
		return failed
	}
	var callers sync.WaitGroup
	var whole, cut, refused int
	for i := range uploads {
		callers.Go(func() {
			time.Sleep(time.Duration(i) * 150 * time.Millisecond)
			m := d.edges[i%2]
			c, err := dial(m)
			if err != nil {
				d.rec.log("no connection to %s: %v", m.name, err)
				return
			}
			defer func() { _ = c.Close() }()
			first := c.send(request{id: fmt.Sprint("first-", i), method: http.MethodPost, path: "/photos/x", object: fmt.Sprint(i), limit: 5 * time.Second, body: []byte("x")})
			id := fmt.Sprint("photo-", i)
			d.rec.log("%s is sent to %s, on a connection kept after an answer with status %d", id, m.name, first.status)
			a := c.send(request{id: id, method: http.MethodPost, path: "/photos/x", object: fmt.Sprint(i), limit: 5 * time.Second, body: photos[id], piece: 6000, gap: 10 * time.Millisecond})
			d.rec.log("%s is answered by %s: %s", id, m.name, a)
			mu.Lock()
			defer mu.Unlock()
			switch {
			case a.status == http.StatusOK && a.err == nil && len(a.body) == answerSize:
				whole++
			case a.err != nil:
				cut++
			default:
				refused++
			}
		})
	}
	callers.Wait()
	time.Sleep(time.Second)
	mu.Lock()
	defer mu.Unlock()
	other, lost := 0, 0
	for id := range photos {
		if otherBytes[id] {
			other++
			d.rec.log("UNASKED: the endpoint got other bytes where the rest of the body of %s was due", id)
		}
	}
	if cut > 3 {
		lost = cut
	}
	d.rec.verdict("of %d uploads on kept connections, %d got their endpoint's whole answer, %d connections ended without a complete answer, %d were refused; endpoints got other bytes where the rest of the body was due in %d",
		uploads, whole, cut, refused, other)
	switch {
	case other > 0 || lost > 0:
		return broken
	case whole == 0:
		return failed
	}
	return held
}
