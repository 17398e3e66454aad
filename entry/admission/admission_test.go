package admission

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

const ms = time.Millisecond

// Guards against requests that are admitted although they would be answered late, and against refusals of requests that
// could be answered in time.
func TestDecide(t *testing.T) {
	base := Request{LatencyTarget: 600 * ms, Remaining: 2500 * ms, Priority: 2, ExpectedWait: 0, ExpectedLatency: 270 * ms, BestLatency: 270 * ms}
	cases := []struct {
		name  string
		alter func(*Request)
		admit bool
	}{
		{"an idle upstream", func(*Request) {}, true},
		{"a wait within the latency target", func(r *Request) { r.ExpectedWait, r.ExpectedLatency = 300*ms, 570*ms }, true},
		{"a wait beyond the latency target", func(r *Request) { r.ExpectedWait, r.ExpectedLatency = 400*ms, 670*ms }, false},
		{"a wait beyond the latency target at the highest priority", func(r *Request) { r.ExpectedWait, r.ExpectedLatency, r.Priority = 400*ms, 670*ms, 0 }, true},
		{"less time remaining than the best latency", func(r *Request) { r.Remaining = 200 * ms }, false},
		{"an idle cold upstream with a latency beyond the remaining time", func(r *Request) { r.Remaining, r.ExpectedLatency = 500*ms, 900*ms }, true},
		{"a cold upstream with a queue and a latency beyond the remaining time", func(r *Request) { r.Remaining, r.ExpectedWait, r.ExpectedLatency = 500*ms, 50*ms, 900*ms }, false},
		{"an idle cold upstream with a latency beyond the target", func(r *Request) { r.ExpectedLatency = 900 * ms }, true},
		{"a short wait long after arrival", func(r *Request) { r.Elapsed, r.ExpectedWait, r.ExpectedLatency = 900*ms, 90*ms, 360*ms }, true},
		{"no latency target", func(r *Request) { r.LatencyTarget, r.ExpectedWait, r.ExpectedLatency = 0, time.Second, 1270*ms }, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			r := base
			c.alter(&r)
			decision := Decide(r)
			is.Equal(decision.Admit, c.admit)
			if !decision.Admit {
				is.True(decision.RetryAfter >= minRetryAfter && decision.RetryAfter <= maxRetryAfter)
				is.True(decision.Reason != "")
			}
		})
	}
}

// simulateQueue simulates an overloaded upstream whose slots finish a request each after serviceTime, with one arrival in
// each interval. It returns how many requests were answered on time, answered late and refused.
func simulateQueue(arrivals int, interval, serviceTime time.Duration, slots int, admit func(wait time.Duration) bool) (onTime, late, refused int) {
	slotFreeAt := make([]time.Duration, slots)
	const latencyTarget = 600 * ms
	for i := range arrivals {
		now := time.Duration(i) * interval
		earliest := 0
		for j := range slotFreeAt {
			if slotFreeAt[j] < slotFreeAt[earliest] {
				earliest = j
			}
		}
		wait := max(0, slotFreeAt[earliest]-now)
		if !admit(wait) {
			refused++
			continue
		}
		slotFreeAt[earliest] = now + wait + serviceTime
		if wait+serviceTime <= latencyTarget {
			onTime++
		} else {
			late++
		}
	}
	return onTime, late, refused
}

// Guards against late responses while demand is one and a half times the capacity: without a bound on the queue all but
// the first responses are late, and there are no more responses than with one.
func TestOverloadedServiceAnswersInTime(t *testing.T) {
	is := is.New(t)
	const slots, serviceTime = 4, 270 * ms
	interval := serviceTime / slots * 2 / 3
	onTime, late, refused := simulateQueue(3000, interval, serviceTime, slots, func(wait time.Duration) bool {
		return Decide(Request{LatencyTarget: 600 * ms, Remaining: 2500 * ms, Priority: 2, ExpectedWait: wait, ExpectedLatency: wait + serviceTime, BestLatency: serviceTime}).Admit
	})
	unboundedOnTime, unboundedLate, unboundedRefused := simulateQueue(3000, interval, serviceTime, slots, func(wait time.Duration) bool { return wait+serviceTime <= 2500*ms })
	t.Logf("with admission: %d on time, %d late, %d refused; bounded by the deadline only: %d on time, %d late, %d refused", onTime, late, refused, unboundedOnTime, unboundedLate, unboundedRefused)
	is.Equal(late, 0)
	is.True(onTime >= 10*unboundedOnTime)                                        // nearly all responses are on time
	is.True(float64(onTime+late) >= 0.97*float64(unboundedOnTime+unboundedLate)) // nearly as many requests are answered
	is.True(refused > 0 && float64(refused) <= 1.06*float64(3000-onTime)+1)      // no request is refused without need
}
