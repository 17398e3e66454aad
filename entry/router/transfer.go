package router

import (
	"math"

	"cuminfall.example/fleet/ident"
)

// transfer lets body bytes move over a link, or says how long to wait.
func (r *Router) transfer(e *TransferRequested, out []Effect) []Effect {
	q := r.requests[e.ID]
	if q == nil || q.state != sent {
		return out
	}
	l := q.region.out
	if e.FromUpstream {
		l = q.region.back
	}
	if l == nil || e.Bytes <= 0 {
		return out
	}
	need := float64(e.Bytes)
	if l.bucket.Take(r.now, need) {
		l.moved.add(r.now, need)
		return out
	}
	r.stats.Throttled++
	l.delayed.add(r.now, need)
	q.wait = PauseTransfer{ID: q.id}
	if burst := l.share.GetBurst(); burst >= 1 && burst < need {
		need = math.Floor(burst)
		q.wait.MaxBytes = ident.Bytes(need)
	}
	delay, ok := l.bucket.WaitTime(r.now, need)
	// Without a live share only the next exchange can help.
	if !ok || !r.now.Before(r.view.until) || delay > r.config.SyncInterval {
		delay = r.config.SyncInterval
	}
	q.wait.Delay = delay
	return append(out, &q.wait)
}
