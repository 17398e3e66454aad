package router

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// drive sends requests one after the other, keeps ten in flight and returns
// how many each endpoint got; times says how long an endpoint takes.
func drive(r *Router, from time.Time, n int, times map[string]time.Duration) map[string]int {
	got := make(map[string]int)
	type flight struct {
		id    RequestID
		sent  time.Time
		until time.Time
	}
	var flights []flight
	now := from
	for i := range n {
		now = now.Add(5 * time.Millisecond)
		for k := 0; k < len(flights); k++ {
			if f := flights[k]; !now.Before(f.until) {
				r.Step(&AttemptEnded{At: now, ID: f.id, Outcome: Answered, Elapsed: f.until.Sub(f.sent)}, nil)
				flights = append(flights[:k], flights[k+1:]...)
				k--
			}
		}
		id := RequestID(from.UnixMilli()) + RequestID(i)
		if s := sendOf(r.Step(read(id, now), nil)); s != nil {
			got[string(s.Endpoint)]++
			flights = append(flights, flight{id, now, now.Add(times[string(s.Endpoint)])})
		}
	}
	for _, f := range flights {
		r.Step(&AttemptEnded{At: f.until, ID: f.id, Outcome: Answered, Elapsed: f.until.Sub(f.sent)}, nil)
	}
	return got
}

// Guards against a slow but answering endpoint that keeps getting its part, and
// against one that gets no work again after it has recovered.
func TestSlowEndpointRanksBehindItsPeers(t *testing.T) {
	is := is.New(t)
	p := newPlant()
	p.lease = time.Hour
	addresses := []string{"127.0.0.1:11", "127.0.0.1:12", "127.0.0.1:13", "127.0.0.1:14"}
	times := make(map[string]time.Duration)
	for _, a := range addresses {
		p.upstream("read", a, "a1", 8)
		times[a] = 40 * time.Millisecond
	}
	r := p.start(t)
	r.config.MaxViewAge = time.Hour
	even := drive(r, epoch, 2000, times)
	for _, a := range addresses {
		is.True(even[a] > 400) // of 500
	}
	times[addresses[0]] = 400 * time.Millisecond
	drive(r, epoch.Add(20*time.Second), 400, times)
	slow := drive(r, epoch.Add(30*time.Second), 2000, times)
	is.True(slow[addresses[0]] < 50)
	times[addresses[0]] = 40 * time.Millisecond
	drive(r, epoch.Add(60*time.Second), 2000, times)
	again := drive(r, epoch.Add(90*time.Second), 2000, times)
	is.True(again[addresses[0]] > 400)
}

// Guards against a rank that follows what upstreams report of themselves.
func TestReportedLoadDoesNotMatter(t *testing.T) {
	is := is.New(t)
	p := newPlant()
	times := map[string]time.Duration{near: 10 * time.Millisecond, beside: 10 * time.Millisecond}
	for range 2 {
		r := New(Config{VM: "v0", Domain: "a1", MaxViewAge: time.Hour})
		p.lease = time.Hour
		if len(p.upstreams) == 0 {
			p.upstream("read", near, "a1", 8)
			p.upstream("read", beside, "a1", 8)
		} else {
			p.upstreams[0].Load = 0
			p.upstreams[1].Load = 1000
		}
		r.Step(&Synced{At: epoch.Add(-time.Second), Sent: epoch.Add(-time.Second), Reply: p.reply(t)}, nil)
		got := drive(r, epoch, 1000, times)
		is.True(got[near] > 450 && got[beside] > 450)
	}
}
