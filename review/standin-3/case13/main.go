// Command case13 plays an invalid config, in which two routes share host and prefix and the host is spelled in two ways.
package main

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"cuminfall.example/review/standin3/harness"
)

const (
	changes     = 8  // valid changes after the invalid one
	bookings    = 24 // after each change
	clientLimit = 3 * time.Second
	configApply = 2500 * time.Millisecond
)

// The services of bookings and of lookups, of which the first endpoint has a number.
const (
	bookingService, lookupService = "retkivaraus", "kp-index"
	firstBooking, firstLookup     = 0, 10
)

func main() { harness.Main(play) }

func play(f *harness.Fleet) (bool, error) {
	var mu sync.Mutex
	ranAt := map[string][]string{} // services by booking
	handle := func(e *harness.Endpoint, c *harness.Conn, r *http.Request) bool {
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return false
		}
		id := r.Header.Get("Request-Id")
		mu.Lock()
		ranAt[id] = append(ranAt[id], e.Service)
		mu.Unlock()
		f.Record.Line("endpoint %s runs %s", e.ID, id)
		harness.Answer(c, r, http.StatusOK, harness.Stamp(), []byte(id))
		return true
	}
	routes := map[string]harness.Route{
		"r-claims":  {Prefix: "/claims/", Kind: "unsafe", Timeout: "2500ms", Service: bookingService, Attempts: 2},
		"r-lookups": {Prefix: "/lookups/", Kind: "safe", Timeout: "2500ms", Service: lookupService, Attempts: 2},
		"r-photos":  {Prefix: "/photos/", Kind: "upload", Timeout: "3000ms", Service: bookingService, Attempts: 2},
		"r-status":  {Prefix: "/status/", Kind: "safe", Timeout: "2500ms", Service: lookupService, Attempts: 2},
	}
	services := []string{bookingService, lookupService}
	if err := f.Replace(1, routes, services); err != nil {
		return false, err
	}
	for n := range 5 {
		if _, err := f.NewEndpoint(firstBooking+n, bookingService, handle); err != nil {
			return false, err
		}
		if _, err := f.NewEndpoint(firstLookup+n, lookupService, handle); err != nil {
			return false, err
		}
	}
	if err := f.AwaitReady(20 * time.Second); err != nil {
		return false, err
	}
	time.Sleep(5 * time.Second)
	acknowledged, version := false, uint64(2)
	if harness.Trouble() {
		// The same host and prefix as r-claims, with the host in other letters.
		routes["r-twice"] = harness.Route{Host: strings.ToUpper(harness.Host[:1]) + harness.Host[1:], Prefix: "/claims/", Kind: "safe", Timeout: "2500ms",
			Service: lookupService, Attempts: 2}
		status, answer, err := f.SendConfig(version, routes, services)
		if err != nil {
			return false, err
		}
		f.Record.Line("operator: the invalid config %08x got %d %s", version, status, answer)
		if acknowledged = status == http.StatusOK; acknowledged {
			version++
		} else {
			delete(routes, "r-twice")
		}
	}
	foreign, sent := 0, 0
	for range changes {
		time.Sleep(configApply)
		for i := range bookings {
			id := fmt.Sprintf("claim-%d-%02d", version, i)
			status := book(f.Edges[i%len(f.Edges)], id)
			sent++
			mu.Lock()
			for _, service := range ranAt[id] {
				if service != bookingService {
					foreign++
					f.Record.Line("%s, an unsafe request to %s of host %s, was run by %s", id, bookingService, harness.Host, service)
				}
			}
			mu.Unlock()
			f.Record.Line("client: %s got %d", id, status)
		}
		if err := f.Replace(version, routes, services); err != nil {
			return false, err
		}
		version++
	}
	f.Record.Line("invalid config acknowledged: %v; %d of %d claims were run by the other service", acknowledged, foreign, sent)
	fmt.Printf("invalid config acknowledged: %v; %d of %d claims run by the other service\n", acknowledged, foreign, sent)
	return acknowledged && foreign > 0, nil
}

// book sends one unsafe request and returns the status of its answer, or 0 without one.
func book(m *harness.Machine, id string) int {
	c, err := harness.Dial(m)
	if err != nil {
		return 0
	}
	defer func() { _ = c.Close() }()
	body := []byte("one seat")
	_, _ = c.Write(append(harness.Head(http.MethodPost, "/claims/1", id, clientLimit, len(body)), body...))
	r, _, err := c.Response(http.MethodPost, time.Now().Add(clientLimit))
	if err != nil {
		return 0
	}
	return r.StatusCode
}
