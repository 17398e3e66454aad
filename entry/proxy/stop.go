package proxy

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"cuminfall.example/entry/shutdown"
	"cuminfall.example/fleet/listener"
)

// stop is the state of a Proxy's graceful shutdown.
type stop struct {
	beganAt    atomic.Pointer[time.Time] // nil before the shutdown
	ended      context.Context           // done when running requests get their final answer
	endRunning context.CancelFunc
}

func (s *stop) begin(now time.Time) { s.beganAt.CompareAndSwap(nil, &now) }

func (s *stop) begun() bool { return s.beganAt.Load() != nil }

// refuseUnpromised refuses a request that a graceful shutdown may have to break off at its upstream, before the request is
// sent.
func (c *call) refuseUnpromised(now time.Time) *refusal {
	p := c.proxy
	beganAt := p.stop.beganAt.Load()
	if beganAt == nil {
		return nil
	}
	request := shutdown.Request{Elapsed: now.Sub(*beganAt), Remaining: c.deadline.Sub(now)}
	decision := shutdown.Decide(p.opts.GracePeriod, request)
	if decision.Accept {
		return nil
	}
	return &refusal{status: http.StatusServiceUnavailable, reason: decision.Reason, retryAfter: minRetryAfter,
		details: logrus.Fields{"stopping": request.Elapsed.String()}}
}

// refuseAtEnd returns the final answer to a request that no upstream can have run.
func (c *call) refuseAtEnd() *refusal {
	return &refusal{status: http.StatusServiceUnavailable, reason: "this VM is shutting down", retryAfter: minRetryAfter}
}

// endWithStop returns a context for the request's attempts that is done at the final answers too. Release must be called.
func (c *call) endWithStop() (ctx context.Context, release func()) {
	ctx, cancel := context.WithCancel(c.callerContext())
	c.outliveStop = context.AfterFunc(c.proxy.stop.ended, cancel)
	return ctx, func() {
		c.outliveStop()
		cancel()
	}
}

// endedByStop reports whether an attempt was ended for the final answer, and not because its caller disconnected. The
// server ends the request's context in both cases if it was reading a body.
func (c *call) endedByStop() bool {
	return c.proxy.stop.ended.Err() != nil && !listener.ClientDisconnected(c.r.Context())
}
