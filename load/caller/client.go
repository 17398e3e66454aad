package caller

import (
	"context"
	"net/http"
	"net/netip"

	"cuminfall.example/fleet/clock"
	"cuminfall.example/fleet/fault"
	"cuminfall.example/load/report"
)

// maxAttempts bounds the VMs that a caller tries for one request.
const maxAttempts = 4

// Entry is the path through entry VMs: lookups, their order of VMs, and the rules for further attempts.
type Entry struct {
	clock     clock.Clock
	directory *Directory
	clients   map[netip.Addr]*http.Client
}

// NewEntry returns the path through the entry VMs in the settings.
func NewEntry(s *Settings, c clock.Clock) *Entry {
	e := &Entry{clock: c, directory: NewDirectory(s.Entries, c), clients: make(map[netip.Addr]*http.Client)}
	e.clients[netip.Addr{}] = &http.Client{Transport: NewTransport(netip.Addr{})}
	for i := range s.Workspaces {
		for _, local := range s.Workspaces[i].Sources {
			if e.clients[local] == nil {
				e.clients[local] = &http.Client{Transport: NewTransport(local)}
			}
		}
	}
	return e
}

func (e *Entry) client(r *Request) *http.Client {
	if len(r.Workspace.Sources) == 0 {
		return e.clients[netip.Addr{}]
	}
	return e.clients[r.Workspace.Sources[r.Source]]
}

// Do implements Path.
func (e *Entry) Do(ctx context.Context, r *Request) Result {
	client := e.client(r)
	vms, err := e.directory.VMs(ctx, client, r)
	if err != nil {
		return Result{Kind: report.Refused, Code: fault.Of(err).Code, Run: fault.NotExecuted, Message: err.Error()}
	}
	if r.Repeat && len(vms) > 1 {
		vms = append(vms[1:], vms[0]) // a repetition goes to another VM than the first request
	}
	var result Result
	for i, vm := range vms[:min(len(vms), maxAttempts)] {
		unknown := i > 0 && result.Run != fault.NotExecuted
		x := Exchange{Client: client, Clock: e.clock, Peer: vm, Attempt: i + 1,
			Headers: map[string]string{"Authorization": "Bearer " + r.Workspace.Key}}
		result = x.Do(ctx, r)
		result.Attempts = i + 1
		if unknown && result.Run == fault.NotExecuted {
			result.Run = fault.ExecutionUnknown // an earlier attempt may have run
		}
		a := attempt{reached: result.reached, status: result.Status, code: result.Code, run: result.Run}
		if result.Kind == report.Answered || a.next(r.Service.Once, r.Service.Once) == deliver {
			return result
		}
		if result.Code == fault.Unreachable || result.Code == fault.Stopping {
			e.directory.Shun(vm)
		}
		if ctx.Err() != nil {
			return result
		}
	}
	return result
}
