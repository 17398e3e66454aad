package shutdown

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

const ms = time.Millisecond

// Guards against requests that are accepted late in the grace period and cut at its end, and against refusals of requests
// that would have been answered.
func TestDecide(t *testing.T) {
	const grace = 6 * time.Second
	cases := []struct {
		name   string
		r      Request
		accept bool
	}{
		{"an early request", Request{Elapsed: time.Second, ExpectedLatency: 1500 * ms}, true},
		{"an early request that may not be answered", Request{Elapsed: 2500 * ms, ExpectedLatency: 2500 * ms}, false},
		{"an early upload", Request{Elapsed: time.Second, ExpectedLatency: 1500 * ms, Streamed: true}, true},
		{"a late request", Request{Elapsed: 3 * time.Second, ExpectedLatency: time.Second}, false},
		{"a short late request", Request{Elapsed: 3 * time.Second, ExpectedLatency: 900 * ms}, true},
		{"a short request shortly before the end", Request{Elapsed: 5700 * ms, ExpectedLatency: 10 * ms}, true},
		{"a late upload", Request{Elapsed: 3 * time.Second, ExpectedLatency: 10 * ms, Streamed: true}, false},
		{"a request during the final answers", Request{Elapsed: 5800 * ms}, false},
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

// Guards against a late request that is cut at the end of the grace period although it took at most three times as long
// as expected.
func TestAcceptedLateRequestsAreAnswered(t *testing.T) {
	is := is.New(t)
	for _, grace := range []time.Duration{2 * time.Second, 6 * time.Second, 20 * time.Second} {
		for elapsed := min(grace/2, maxLateAfter); elapsed < grace; elapsed += 50 * ms {
			for latency := time.Duration(0); latency < grace; latency += 50 * ms {
				if Decide(grace, Request{Elapsed: elapsed, ExpectedLatency: latency}).Accept {
					is.True(elapsed+3*latency <= FinalAnswers(grace))
				}
			}
		}
	}
}

// Guards against a late request that is accepted like an early one because the VM noticed the signal late.
func TestVMThatNoticesItsStopLate(t *testing.T) {
	is := is.New(t)
	const grace, noticedAfter = 10 * time.Second, 100 * ms
	for sent := maxLateAfter; sent < grace; sent += 10 * ms {
		for latency := time.Duration(0); latency < grace; latency += 50 * ms {
			if Decide(grace, Request{Elapsed: sent - noticedAfter, ExpectedLatency: latency}).Accept {
				is.True(sent-noticedAfter+3*latency <= FinalAnswers(grace))
			}
		}
	}
}
