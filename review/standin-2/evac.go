package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"
)

func init() { cases["evac"] = playEvac }

// playEvac freezes a core machine while the operator takes an evacuation back. The operator moves on to another machine
// after a second, as the pages say, and later evacuates the zone again. Then the machine wakes.
func playEvac(d *deployment) int {
	const zone = "bne-b"
	var mu sync.Mutex
	arrivals := map[string][]time.Time{} // of requests at endpoints, by zone
	serve := func(e *endpoint, c net.Conn, r *http.Request) bool {
		mu.Lock()
		arrivals[e.zone] = append(arrivals[e.zone], time.Now())
		mu.Unlock()
		d.rec.log("%s in %s runs %s", e.id, e.zone, r.Header.Get("Request-Id"))
		time.Sleep(20 * time.Millisecond)
		writeHead(c, r, 2)
		_, err := io.WriteString(c, "ok")
		return err == nil
	}
	var endpoints []*endpoint
	for i := range 6 {
		endpoints = append(endpoints, &endpoint{service: "catalogue", zone: []string{"bne-a", zone}[i%2], serve: serve})
	}
	if !d.begin(map[string]route{"/stock/": {"safe", "catalogue", "2500ms"}}, endpoints...) {
		return failed
	}
	end := make(chan struct{})
	var callers sync.WaitGroup
	var served int
	for i := range 6 {
		callers.Go(func() {
			var c *connection
			for n := 0; ; n++ {
				select {
				case <-end:
					return
				case <-time.After(150 * time.Millisecond):
				}
				m := d.edges[i%2]
				if c == nil {
					var err error
					if c, err = dial(m); err != nil {
						c = nil
						continue
					}
				}
				id := fmt.Sprintf("stock-%d-%d", i, n)
				a := c.send(request{id: id, method: http.MethodGet, path: fmt.Sprintf("/stock/%d", n%40), object: fmt.Sprint(n % 40), limit: 4 * time.Second})
				d.rec.log("%s, sent to %s, is answered: %s", id, m.name, a)
				if a.err != nil {
					_ = c.Close()
					c = nil
				}
				mu.Lock()
				if a.status == http.StatusOK {
					served++
				}
				mu.Unlock()
			}
		})
	}
	// The operator keeps a connection to each machine that it has called. It ends a call that has no answer after a second.
	var links []*link
	for i, m := range d.cores {
		k, err := d.newLink(i, m)
		if err != nil {
			d.rec.log("could not run: %v", err)
			return failed
		}
		links = append(links, k)
	}
	operator := &http.Client{Timeout: time.Second}
	order := func(path string, first int) (ok bool) {
		for i, start := first, time.Now(); time.Since(start) < 4*time.Second; i++ {
			m := d.cores[i%len(d.cores)]
			d.rec.log("the operator sends %s to %s", path, m.name)
			status, text := d.callAt(operator, links[i%len(links)].address, path, "", nil)
			d.rec.log("the operator has %d %s", status, text)
			if status == http.StatusOK {
				return true
			}
			time.Sleep(100 * time.Millisecond)
		}
		return false
	}
	time.Sleep(3 * time.Second)
	begin, finish := "/evacuations/"+zone+"/begin", "/evacuations/"+zone+"/finish"
	ok := order(begin, 4)
	time.Sleep(3 * time.Second)
	frozen, release := d.cores[4], func() {}
	if d.trouble {
		d.rec.log("%s freezes", frozen.name)
		frozen.signal(syscall.SIGSTOP)
		release = links[4].hold()
	}
	frozenAt := time.Now()
	time.Sleep(300 * time.Millisecond)
	ok = order(finish, 4) && ok
	time.Sleep(700 * time.Millisecond)
	ok = order(begin, 1) && ok
	evacuatedAt := time.Now()
	time.Sleep(time.Until(frozenAt.Add(4 * time.Second)))
	if d.trouble {
		d.rec.log("%s wakes, %.1f s later", frozen.name, time.Since(frozenAt).Seconds())
		frozen.signal(syscall.SIGCONT)
		release()
	}
	if !ok {
		d.rec.log("could not run: an order was not acknowledged")
		return failed
	}
	// From then on the edge machines are in touch, and the evacuation binds.
	from := frozenAt.Add(4 * time.Second).Add(2 * contactWindow)
	if bound := evacuatedAt.Add(evacuationDeadline); bound.After(from) {
		from = bound
	}
	time.Sleep(time.Until(from.Add(8 * time.Second)))
	close(end)
	callers.Wait()
	mu.Lock()
	defer mu.Unlock()
	late, elsewhere := 0, 0
	for z, times := range arrivals {
		for _, at := range times {
			switch {
			case !at.After(from):
			case z == zone:
				late++
			default:
				elsewhere++
			}
		}
	}
	d.rec.verdict("later than %.1f s after %s was acknowledged and not taken back, %d requests reached endpoints in %s, and %d others elsewhere; %d requests were served in all",
		from.Sub(evacuatedAt).Seconds(), begin, late, zone, elsewhere, served)
	switch {
	case late > 0:
		return broken
	case elsewhere == 0:
		return failed
	}
	return held
}
