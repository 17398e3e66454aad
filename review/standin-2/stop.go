package main

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

func init() { cases["stop"] = playStop }

// playStop stops an edge machine under load. Callers with an earlier answer of the directory go on to connect to it. An
// endpoint takes longer for one request in eight, but less than the route's timeout and the longest work of the site.
func playStop(d *deployment) int {
	const usualWork, longWork = 300 * time.Millisecond, 2700 * time.Millisecond
	in := &intake{rec: d.rec, runs: map[string]int{}}
	var endpoints []*endpoint
	for i := range 8 {
		endpoints = append(endpoints, &endpoint{service: "ledger", zone: []string{"bne-a", "bne-b"}[i%2], serve: in.serve})
	}
	if !d.begin(map[string]route{"/bookings/": {"unsafe", "ledger", "3000ms"}}, endpoints...) {
		return failed
	}
	var callers sync.WaitGroup
	var mu sync.Mutex
	var stopAt time.Time
	var served, refused, lost, excused, others int
	send := func(m *machine, n int) {
		c, err := dial(m)
		if err != nil {
			return // it accepts no callers any more
		}
		defer func() { _ = c.Close() }()
		id, work := fmt.Sprint("booking-", n), usualWork
		if n%8 == 7 {
			work = longWork
		}
		sentAt := time.Now()
		mu.Lock()
		afterStop := time.Duration(0)
		if !stopAt.IsZero() {
			afterStop = sentAt.Sub(stopAt)
		}
		mu.Unlock()
		a := c.send(request{id: id, method: http.MethodPost, path: "/bookings/" + fmt.Sprint(n%24), object: fmt.Sprint(n % 24), limit: 6 * time.Second, work: work, body: []byte("booking")})
		d.rec.log("%s, sent to %s %.3f s after the signal, is answered: %s", id, m.name, afterStop.Seconds(), a)
		in.mu.Lock()
		ran := in.runs[id] > 0
		in.mu.Unlock()
		mu.Lock()
		defer mu.Unlock()
		switch {
		case a.err == nil && a.stamp != "":
			served++
		case !ran:
			refused++
		case !stopAt.IsZero() && afterStop > 3*time.Second && m == d.edges[0]:
			lost++
			d.rec.log("LOST: %s was sent %.3f s after the signal and passed on; its endpoint was at work, and it got %s", id, afterStop.Seconds(), a)
		case afterStop > 0 && m == d.edges[0]:
			excused++ // sent no later than 3 s after the signal, and at work in the last sixth of the grace period
		default:
			others++
		}
	}
	n := 0
	load := func(m *machine, for_ time.Duration) {
		for end := time.Now().Add(for_); time.Now().Before(end); time.Sleep(30 * time.Millisecond) {
			i := n
			n++
			callers.Go(func() { send(m, i) })
		}
	}
	load(d.edges[1], 2*time.Second)
	load(d.edges[0], 4*time.Second)
	stopping := d.edges[0]
	mu.Lock()
	stopAt = time.Now()
	mu.Unlock()
	if d.trouble {
		d.rec.log("SIGTERM to %s", stopping.name)
		stopping.signal(syscall.SIGTERM)
	}
	load(stopping, 4500*time.Millisecond)
	if d.trouble {
		select {
		case <-stopping.done:
			d.rec.log("%s has ended, %.2f s after the signal", stopping.name, time.Since(stopAt).Seconds())
		case <-time.After(time.Until(stopAt.Add(gracePeriod))):
			d.rec.log("SIGKILL to %s", stopping.name)
			stopping.signal(syscall.SIGKILL)
		}
	}
	callers.Wait()
	d.rec.verdict("%d requests were answered by their endpoints, %d were refused or failed without a run; %d that were sent later than 3 s after the signal were broken off at work, %d earlier ones too (excused), %d others",
		served, refused, lost, excused, others)
	switch {
	case lost > 0:
		return broken
	case served == 0:
		return failed
	}
	return held
}
