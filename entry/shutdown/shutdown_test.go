package shutdown

import (
	"math/rand"
	"testing"
	"time"

	"github.com/matryer/is"
)

const ms = time.Millisecond

// Guards against requests that are accepted in the grace period and cut at its end, and against refusals of requests that
// will be answered.
func TestDecide(t *testing.T) {
	const grace = 6 * time.Second
	cases := []struct {
		name   string
		r      Request
		accept bool
	}{
		{"an early request", Request{Elapsed: time.Second, Remaining: 3 * time.Second}, true},
		{"an early request that may not be answered", Request{Elapsed: time.Second, Remaining: 5 * time.Second}, false},
		{"a request that may take longer than the whole stop", Request{Remaining: 10 * time.Second}, false},
		{"a late request", Request{Elapsed: 3 * time.Second, Remaining: 3 * time.Second}, false},
		{"a late request with a short deadline", Request{Elapsed: 3 * time.Second, Remaining: 2500 * ms}, true},
		{"a request that may take until the final answers", Request{Elapsed: 5700 * ms, Remaining: 100 * ms}, true},
		{"a request during the final answers", Request{Elapsed: 5801 * ms}, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			d := Decide(grace, c.r)
			is.Equal(d.Accept, c.accept)
			is.Equal(d.Reason == "", c.accept)
		})
	}
}

// Guards against requests that a stopping VM accepts, at any time of the stop, and breaks off because their upstream takes
// longer than most do, however rarely.
func TestAcceptedRequestsEndBeforeTheFinalAnswers(t *testing.T) {
	r := rand.New(rand.NewSource(1))
	for _, grace := range []time.Duration{2 * time.Second, 6 * time.Second, 20 * time.Second} {
		accepted := 0
		for range 100_000 {
			sentAt := time.Duration(r.Int63n(int64(grace)))
			timeout := time.Duration(r.Int63n(int64(grace)))
			latency := time.Duration(r.Int63n(int64(timeout) + 1))
			if r.Intn(1000) > 0 {
				latency = min(latency, 300*ms) // nearly all upstreams are fast
			}
			if !Decide(grace, Request{Elapsed: sentAt, Remaining: timeout}).Accept {
				continue
			}
			accepted++
			if sentAt+latency > FinalAnswers(grace) {
				t.Fatalf("grace %s: accepted at %s with a timeout of %s, and still at work at the final answers", grace, sentAt, timeout)
			}
		}
		is.New(t).True(accepted > 0)
	}
}

// Guards against a VM that refuses requests although their deadline leaves it time to answer them.
func TestRequestsThatEndInTimeAreAccepted(t *testing.T) {
	is := is.New(t)
	for _, grace := range []time.Duration{2 * time.Second, 6 * time.Second, 20 * time.Second} {
		for elapsed := time.Duration(0); elapsed < FinalAnswers(grace); elapsed += 50 * ms {
			is.True(Decide(grace, Request{Elapsed: elapsed, Remaining: FinalAnswers(grace) - elapsed}).Accept)
		}
	}
}

// Guards against a stopping VM that keeps connections open only to refuse the next request on them.
func TestKeepsIdle(t *testing.T) {
	is := is.New(t)
	const grace = 6 * time.Second
	is.True(KeepsIdle(grace, 0, 3*time.Second))
	is.True(KeepsIdle(grace, 2800*ms, 3*time.Second))
	is.True(!KeepsIdle(grace, 2801*ms, 3*time.Second))
	is.True(!KeepsIdle(grace, 0, 6*time.Second))
}

// Guards against a request that is accepted because the VM noticed the signal late, and is still running when the grace period
// ends, which counts from the signal.
func TestVMThatNoticesItsStopLate(t *testing.T) {
	is := is.New(t)
	const grace, noticedAfter = 10 * time.Second, 100 * ms
	for sent := noticedAfter; sent < grace; sent += 10 * ms {
		for remaining := time.Duration(0); remaining < grace; remaining += 50 * ms {
			if Decide(grace, Request{Elapsed: sent - noticedAfter, Remaining: remaining}).Accept {
				is.True(sent+remaining <= grace)
			}
		}
	}
}
