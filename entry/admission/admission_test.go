package admission

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

const ms = time.Millisecond

func TestDecide(t *testing.T) {
	base := Request{TargetLatency: 600 * ms, Remaining: 2500 * ms, Priority: 2, ExpectedWait: 0, ExpectedLatency: 270 * ms, BestLatency: 270 * ms}
	cases := []struct {
		name  string
		alter func(*Request)
		admit bool
	}{
		{"a free upstream", func(*Request) {}, true},
		{"a wait that meets the goal", func(r *Request) { r.ExpectedWait, r.ExpectedLatency = 300*ms, 570*ms }, true},
		{"a wait past the goal", func(r *Request) { r.ExpectedWait, r.ExpectedLatency = 400*ms, 670*ms }, false},
		{"the same for an important one", func(r *Request) { r.ExpectedWait, r.ExpectedLatency, r.Priority = 400*ms, 670*ms, 0 }, true},
		{"no time left", func(r *Request) { r.Remaining = 200 * ms }, false},
		{"a cold but free upstream that is late on average", func(r *Request) { r.Remaining, r.ExpectedLatency = 500*ms, 900*ms }, true},
		{"a cold one with a queue", func(r *Request) { r.Remaining, r.ExpectedWait, r.ExpectedLatency = 500*ms, 50*ms, 900*ms }, false},
		{"a cold but free upstream", func(r *Request) { r.ExpectedLatency = 900 * ms }, true},
		{"a short wait long after arrival", func(r *Request) { r.Elapsed, r.ExpectedWait, r.ExpectedLatency = 900*ms, 90*ms, 360*ms }, true},
		{"no goal", func(r *Request) { r.TargetLatency, r.ExpectedWait, r.ExpectedLatency = 0, time.Second, 1270*ms }, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			r := base
			c.alter(&r)
			v := Decide(r)
			is.Equal(v.Admit, c.admit)
			if !v.Admit {
				is.True(v.RetryAfter >= leastAfter && v.RetryAfter <= mostAfter)
				is.True(v.Reason != "")
			}
		})
	}
}

// queue plays an overloaded upstream: slots that each finish a request after work, and arrivals in even steps.
func queue(arrivals int, every, work time.Duration, slots int, admit func(wait time.Duration) bool) (onTime, late, refused int) {
	free := make([]time.Duration, slots)
	const goal = 600 * ms
	for i := range arrivals {
		now := time.Duration(i) * every
		best := 0
		for j := range free {
			if free[j] < free[best] {
				best = j
			}
		}
		wait := max(0, free[best]-now)
		if !admit(wait) {
			refused++
			continue
		}
		free[best] = now + wait + work
		if wait+work <= goal {
			onTime++
		} else {
			late++
		}
	}
	return onTime, late, refused
}

// Guards against the day on which demand is one and a half times what a service can do: without a bound on
// the queue all but the first answers come late, and no more of them.
func TestOverloadServesOnTime(t *testing.T) {
	is := is.New(t)
	const slots, work = 4, 270 * ms
	every := work / slots * 2 / 3
	on, late, refused := queue(3000, every, work, slots, func(wait time.Duration) bool {
		return Decide(Request{TargetLatency: 600 * ms, Remaining: 2500 * ms, Priority: 2, ExpectedWait: wait, ExpectedLatency: wait + work, BestLatency: work}).Admit
	})
	plain, plainLate, plainRefused := queue(3000, every, work, slots, func(wait time.Duration) bool { return wait+work <= 2500*ms })
	t.Logf("bounded: %d on time, %d late, %d refused; to the deadline: %d, %d, %d", on, late, refused, plain, plainLate, plainRefused)
	is.Equal(late, 0)
	is.True(on >= 10*plain)                                             // nearly all of what is served is on time
	is.True(float64(on+late) >= 0.97*float64(plain+plainLate))          // and as much is served
	is.True(refused > 0 && float64(refused) <= 1.06*float64(3000-on)+1) // nobody is refused while there is room
}
