package router

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// runRequests sends n requests, one every 5 ms, and returns how many each endpoint
// got. Each request is answered after the response time of its endpoint.
func runRequests(r *Router, begin time.Time, n int, responseTimes map[string]time.Duration) map[string]int {
	sentTo := make(map[string]int)
	type inFlight struct {
		id   RequestID
		sent time.Time
		end  time.Time
	}
	var running []inFlight
	now := begin
	for i := range n {
		now = now.Add(5 * time.Millisecond)
		for k := 0; k < len(running); k++ {
			if f := running[k]; !now.Before(f.end) {
				r.Step(&AttemptEnded{At: now, ID: f.id, Outcome: Answered, Elapsed: f.end.Sub(f.sent)}, nil)
				running = append(running[:k], running[k+1:]...)
				k--
			}
		}
		id := RequestID(begin.UnixMilli()) + RequestID(i)
		if s := findSend(r.Step(newRead(id, now), nil)); s != nil {
			sentTo[string(s.Endpoint)]++
			running = append(running, inFlight{id, now, now.Add(responseTimes[string(s.Endpoint)])})
		}
	}
	for _, f := range running {
		r.Step(&AttemptEnded{At: f.end, ID: f.id, Outcome: Answered, Elapsed: f.end.Sub(f.sent)}, nil)
	}
	return sentTo
}

// Guards against a slow endpoint that gets as many requests as the others, and
// against one that gets too few after it has recovered.
func TestSlowEndpointGetsFewerRequests(t *testing.T) {
	is := is.New(t)
	fleet := newTestFleet()
	fleet.lease = time.Hour
	addresses := []string{"127.0.0.1:11", "127.0.0.1:12", "127.0.0.1:13", "127.0.0.1:14"}
	responseTimes := make(map[string]time.Duration)
	for _, a := range addresses {
		fleet.addUpstream("read", a, "a1", 8)
		responseTimes[a] = 40 * time.Millisecond
	}
	r := fleet.startRouter(t)
	r.config.MaxViewAge = time.Hour
	beforeSlowdown := runRequests(r, epoch, 2000, responseTimes)
	for _, a := range addresses {
		is.True(beforeSlowdown[a] > 400) // of 500
	}
	responseTimes[addresses[0]] = 400 * time.Millisecond
	runRequests(r, epoch.Add(20*time.Second), 400, responseTimes)
	whileSlow := runRequests(r, epoch.Add(30*time.Second), 2000, responseTimes)
	is.True(whileSlow[addresses[0]] < 50)
	responseTimes[addresses[0]] = 40 * time.Millisecond
	runRequests(r, epoch.Add(60*time.Second), 2000, responseTimes)
	afterRecovery := runRequests(r, epoch.Add(90*time.Second), 2000, responseTimes)
	is.True(afterRecovery[addresses[0]] > 400)
}

// Guards against choosing endpoints by the load that they report.
func TestReportedLoadDoesNotMatter(t *testing.T) {
	is := is.New(t)
	fleet := newTestFleet()
	responseTimes := map[string]time.Duration{sameDomainAddr: 10 * time.Millisecond, sameRegionAddr: 10 * time.Millisecond}
	for range 2 {
		r := New(Config{VM: "v0", Domain: "a1", MaxViewAge: time.Hour})
		fleet.lease = time.Hour
		if len(fleet.upstreams) == 0 {
			fleet.addUpstream("read", sameDomainAddr, "a1", 8)
			fleet.addUpstream("read", sameRegionAddr, "a1", 8)
		} else {
			fleet.upstreams[0].Load = 0
			fleet.upstreams[1].Load = 1000
		}
		r.Step(&Synced{At: epoch.Add(-time.Second), Sent: epoch.Add(-time.Second), Reply: fleet.fullReply(t)}, nil)
		sentTo := runRequests(r, epoch, 1000, responseTimes)
		is.True(sentTo[sameDomainAddr] > 450 && sentTo[sameRegionAddr] > 450)
	}
}
