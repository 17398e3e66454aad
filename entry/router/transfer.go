package router

import (
	"math"

	"cuminfall.example/fleet/ident"
)

// handleTransfer allows body bytes over a link between regions, or returns a
// PauseTransfer that says how long to wait.
func (r *Router) handleTransfer(e *TransferRequested, out []Effect) []Effect {
	q := r.requests[e.ID]
	if q == nil || q.state != sent {
		return out
	}
	limitedLink := q.region.outboundLink
	if e.FromUpstream {
		limitedLink = q.region.inboundLink
	}
	if limitedLink == nil || e.Bytes <= 0 {
		return out
	}
	bytes := float64(e.Bytes)
	if limitedLink.bucket.Take(r.now, bytes) {
		limitedLink.movedBytes.add(r.now, bytes)
		return out
	}
	r.stats.Throttled++
	limitedLink.delayedBytes.add(r.now, bytes)
	q.pause = PauseTransfer{ID: q.id}
	if burst := limitedLink.share.GetBurst(); burst >= 1 && burst < bytes {
		bytes = math.Floor(burst)
		q.pause.MaxBytes = ident.Bytes(bytes)
	}
	delay, ok := limitedLink.bucket.WaitTime(r.now, bytes)
	// Without a valid share only the next exchange can provide tokens.
	if !ok || !r.now.Before(r.view.leaseExpiry) || delay > r.config.SyncInterval {
		delay = r.config.SyncInterval
	}
	q.pause.Delay = delay
	return append(out, &q.pause)
}
