package caller

import (
	"context"
	"net/http"
	"net/netip"

	"cuminfall.example/fleet/clock"
	"cuminfall.example/fleet/fault"
	"cuminfall.example/load/report"
)

// maxAttempts is the maximum number of VMs that a caller tries for one request.
const maxAttempts = 4

// EntryPath sends requests through entry VMs, which it finds by lookups and tries in the order of the response.
type EntryPath struct {
	clock   clock.Clock
	lookups *LookupCache
	clients map[netip.Addr]*http.Client
}

// NewEntryPath returns a path through the entry VMs in the settings.
func NewEntryPath(s *Settings, c clock.Clock) *EntryPath {
	e := &EntryPath{clock: c, lookups: NewLookupCache(s.EntryAddresses, c), clients: make(map[netip.Addr]*http.Client)}
	e.clients[netip.Addr{}] = &http.Client{Transport: NewTransport(netip.Addr{})}
	for i := range s.Workspaces {
		for _, local := range s.Workspaces[i].LocalAddrs {
			if e.clients[local] == nil {
				e.clients[local] = &http.Client{Transport: NewTransport(local)}
			}
		}
	}
	return e
}

func (e *EntryPath) client(r *Request) *http.Client {
	if len(r.Workspace.LocalAddrs) == 0 {
		return e.clients[netip.Addr{}]
	}
	return e.clients[r.Workspace.LocalAddrs[r.LocalAddrIndex]]
}

// Do implements Path.
func (e *EntryPath) Do(ctx context.Context, r *Request) Result {
	client := e.client(r)
	vms, err := e.lookups.VMs(ctx, client, r)
	if err != nil {
		return Result{Kind: report.Refused, Code: fault.Of(err).Code, Execution: fault.NotExecuted, Message: err.Error()}
	}
	if r.IsRepeat && len(vms) > 1 {
		vms = append(vms[1:], vms[0]) // a repeat goes to another VM than the first request
	}
	var result Result
	for i, vm := range vms[:min(len(vms), maxAttempts)] {
		mayHaveRun := i > 0 && result.Execution != fault.NotExecuted
		x := Exchange{Client: client, Clock: e.clock, Peer: vm, Attempt: i + 1,
			Headers: map[string]string{"Authorization": "Bearer " + r.Workspace.Key}}
		result = x.Do(ctx, r)
		result.Attempts = i + 1
		if mayHaveRun && result.Execution == fault.NotExecuted {
			result.Execution = fault.ExecutionUnknown // an earlier attempt may have run
		}
		a := attemptResult{connected: result.connected, status: result.Status, code: result.Code, execution: result.Execution}
		if result.Kind == report.Answered || a.nextAction(r.Service.NonIdempotent, r.Service.NonIdempotent) == returnResult {
			return result
		}
		if result.Code == fault.Unreachable || result.Code == fault.Stopping {
			e.lookups.MarkUnreachable(vm)
		}
		if ctx.Err() != nil {
			return result
		}
	}
	return result
}
