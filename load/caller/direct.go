package caller

import (
	"context"
	"net/http"
	"net/netip"
	"sync/atomic"

	"cuminfall.example/fleet/clock"
	"cuminfall.example/fleet/fault"
	"cuminfall.example/fleet/ident"
	"cuminfall.example/load/report"
)

// Direct is the path that calls stand-ins in turn, without an entry VM.
type Direct struct {
	clock  clock.Clock
	client *http.Client
	turn   atomic.Uint64
}

// NewDirect returns the direct path to the endpoints that the services name.
func NewDirect(c clock.Clock) *Direct {
	return &Direct{clock: c, client: &http.Client{Transport: NewTransport(netip.Addr{})}}
}

// Do implements Path.
func (d *Direct) Do(ctx context.Context, r *Request) Result {
	if len(r.Service.Direct) == 0 {
		return Result{Kind: report.Refused, Code: fault.NotFound, Run: fault.NotExecuted, Message: "service names no direct endpoints"}
	}
	n := d.turn.Add(1) % uint64(len(r.Service.Direct))
	return SendDirect(ctx, d.client, d.clock, ident.Address(r.Service.Direct[n]), r, 1)
}

// SendDirect sends a request to an endpoint with the headers that an entry VM would set.
func SendDirect(ctx context.Context, client *http.Client, c clock.Clock, to ident.Address, r *Request, attempt int) Result {
	x := Exchange{Client: client, Clock: c, Peer: to, Attempt: attempt,
		Headers: map[string]string{"Cuminfall-Workspace": string(r.Workspace.Name)}}
	result := x.Do(ctx, r)
	result.Attempts = attempt
	if result.Kind == report.Refused && result.Run == fault.NotExecuted {
		result.Code = fault.Busy // stand-ins shed load without a code
	}
	return result
}
