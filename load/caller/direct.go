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

// DirectPath sends requests to the endpoints of a service in round-robin order, without an entry VM.
type DirectPath struct {
	clock  clock.Clock
	client *http.Client
	turn   atomic.Uint64
}

// NewDirectPath returns a path to the endpoints that the services list as direct.
func NewDirectPath(c clock.Clock) *DirectPath {
	return &DirectPath{clock: c, client: &http.Client{Transport: NewTransport(netip.Addr{})}}
}

// Do implements Path.
func (d *DirectPath) Do(ctx context.Context, r *Request) Result {
	if len(r.Service.DirectEndpoints) == 0 {
		return Result{Kind: report.Refused, Code: fault.NotFound, Execution: fault.NotExecuted, Message: "the settings list no direct endpoints of the service"}
	}
	n := d.turn.Add(1) % uint64(len(r.Service.DirectEndpoints))
	return SendDirect(ctx, d.client, d.clock, ident.Address(r.Service.DirectEndpoints[n]), r, 1)
}

// SendDirect sends a request to an endpoint with the headers that an entry VM would set; attempt counts from 1.
func SendDirect(ctx context.Context, client *http.Client, c clock.Clock, to ident.Address, r *Request, attempt int) Result {
	x := Exchange{Client: client, Clock: c, Peer: to, Attempt: attempt,
		Headers: map[string]string{"Cuminfall-Workspace": string(r.Workspace.Name)}}
	result := x.Do(ctx, r)
	result.Attempts = attempt
	if result.Kind == report.Refused && result.Execution == fault.NotExecuted {
		result.Code = fault.Busy // stand-ins refuse excess requests without an error code
	}
	return result
}
