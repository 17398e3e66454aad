package main

import (
	"bytes"
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

func init() { cases["refused"] = playRefused }

// playRefused stops an edge machine while slow uploads arrive at it. Callers repeat what was refused, as the pages say.
func playRefused(d *deployment) int {
	in := &intake{rec: d.rec, runs: map[string]int{}}
	var endpoints []*endpoint
	for i := range 6 {
		endpoints = append(endpoints, &endpoint{service: "snapshots", zone: []string{"bne-a", "bne-b"}[i%2], serve: in.serve})
	}
	if !d.begin(map[string]route{"/photos/": {"upload", "snapshots", "5000ms"}}, endpoints...) {
		return failed
	}
	photo := bytes.Repeat([]byte("p"), 60000)
	send := func(m *machine, id, object string, work time.Duration, piece int, gap time.Duration) answer {
		c, err := dial(m)
		if err != nil {
			return answer{err: err}
		}
		defer func() { _ = c.Close() }()
		d.rec.log("%s is sent to %s: an upload of %d bytes, %d bytes each %s", id, m.name, len(photo), piece, gap)
		a := c.send(request{id: id, method: http.MethodPost, path: "/photos/" + object, object: object, limit: 5 * time.Second, work: work, body: photo, piece: piece, gap: gap})
		d.rec.log("%s is answered by %s: %s %q", id, m.name, a, a.body)
		return a
	}
	for i := range 12 { // uploads as usual
		if a := send(d.edges[i%2], fmt.Sprint("usual-", i), fmt.Sprint(i), 400*time.Millisecond, 16000, 5*time.Millisecond); a.status != http.StatusOK {
			d.rec.log("could not run: an upload failed before the disruption")
			return failed
		}
	}
	stopping := d.edges[0]
	if d.trouble {
		d.rec.log("SIGTERM to %s", stopping.name)
		stopping.signal(syscall.SIGTERM)
	}
	stopAt := time.Now()
	var callers sync.WaitGroup
	for i := range 90 { // callers use an answer of the directory for some seconds
		callers.Go(func() {
			time.Sleep(time.Duration(i) * 40 * time.Millisecond)
			send(stopping, fmt.Sprint("stale-", i), fmt.Sprint(i), 300*time.Millisecond, 16000, 5*time.Millisecond)
		})
	}
	time.Sleep(time.Until(stopAt.Add(2700 * time.Millisecond)))
	var mu sync.Mutex
	var refusedAndRan, ranTwice, served int
	for i := range 6 { // of callers that still use an earlier answer of the directory
		callers.Go(func() {
			id := fmt.Sprint("photo-", i)
			a := send(stopping, id, fmt.Sprint(i), 3100*time.Millisecond, 2000, 125*time.Millisecond)
			if promisesNotRun(a.status) { // the caller repeats it at another machine, as a new attempt
				b := send(d.edges[1], id+"-again", fmt.Sprint(i), 400*time.Millisecond, 16000, 5*time.Millisecond)
				mu.Lock()
				defer mu.Unlock()
				in.mu.Lock()
				defer in.mu.Unlock()
				if in.runs[id] > 0 {
					refusedAndRan++
					d.rec.log("REFUSED: %s was answered %d, and an endpoint has run it", id, a.status)
					if b.status == http.StatusOK && in.runs[id+"-again"] > 0 {
						ranTwice++
					}
				}
				return
			}
			mu.Lock()
			defer mu.Unlock()
			if a.status == http.StatusOK && a.err == nil {
				served++
			}
		})
	}
	callers.Wait()
	if d.trouble {
		select {
		case <-stopping.done:
			d.rec.log("%s has ended by now, %.1f s after the signal", stopping.name, time.Since(stopAt).Seconds())
		case <-time.After(time.Until(stopAt.Add(gracePeriod))):
			d.rec.log("SIGKILL to %s", stopping.name)
			stopping.signal(syscall.SIGKILL)
		}
	}
	d.rec.verdict("of 6 uploads, %d were answered as not run though an endpoint had begun to work on them, %d of these were then run once more for their callers, and %d were served at once", refusedAndRan, ranTwice, served)
	switch {
	case refusedAndRan > 0:
		return broken
	case served == 0 && !d.trouble:
		return failed
	}
	return held
}
