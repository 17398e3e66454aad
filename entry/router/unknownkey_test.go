package router

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"cuminfall.example/fleet/document"
	"cuminfall.example/fleet/fault"
)

// newUnknownKeyRequest returns a request with key k2, which the fleet does not have.
func newUnknownKeyRequest(id RequestID, at time.Time) *RequestArrived {
	e := newRead(id, at)
	e.KeyID = "k2"
	return e
}

// Guards against refusing a key that is not yet known on this VM, and against
// admitting one that control does not have.
func TestUnknownKeyWaitsForTheNextExchange(t *testing.T) {
	for _, c := range []struct {
		name      string
		keyAdded  bool
		hash      KeyHash
		syncDelay time.Duration // from the arrival of the request to the start of the exchange
		want      string
	}{
		{"added", true, secret, 1, "sent"},
		{"added with another secret", true, KeyHash{1}, 1, "refused"},
		{"not added", false, secret, 1, "refused"},
		{"exchange began before the arrival", false, secret, -1, "held"},
		{"exchange began at the arrival", false, secret, 0, "held"},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			fleet := newTestFleet()
			fleet.addUpstream("read", sameDomainAddr, "a1", 1)
			r := fleet.startRouter(t)
			at := epoch.Add(time.Second)
			e := newUnknownKeyRequest(1, at)
			e.KeyHash = c.hash
			out := r.Step(e, nil)
			is.Equal(len(out), 1)
			_, syncRequested := out[0].(*RequestSync)
			is.True(syncRequested)
			if c.keyAdded {
				fleet.document.Workspaces.Workspaces[0].Keys = append(fleet.document.Workspaces.Workspaces[0].Keys,
					document.Key{ID: "k2", Hash: fleet.document.Workspaces.Workspaces[0].Keys[0].Hash})
			}
			out = r.Step(&Synced{At: at.Add(time.Second), Sent: at.Add(c.syncDelay), Reply: fleet.fullReply(t)}, nil)
			is.Equal(findSend(out) != nil, c.want == "sent")
			is.Equal(findRefusal(out) != nil, c.want == "refused")
			if c.want == "refused" {
				f := findRefusal(out).Fault
				is.Equal([]string{string(f.Code), f.Step, f.Peer, string(f.Execution)}, []string{string(fault.InvalidKey), "key", "caller", "not-run"})
			}
		})
	}
}

// Guards against requests with unknown keys that wait forever or in unlimited number,
// and against a flood of exchanges for them.
func TestUnknownKeysAreBounded(t *testing.T) {
	is := is.New(t)
	r := newTestFleet().startRouter(t)
	syncRequests, refused := 0, 0
	for i := range RequestID(1000) {
		for _, effect := range r.Step(newUnknownKeyRequest(i, epoch.Add(time.Duration(i)*time.Millisecond)), nil) {
			switch effect.(type) {
			case *RequestSync:
				syncRequests++
			case *Refuse:
				refused++
			}
		}
	}
	is.Equal(syncRequests, 1)
	is.Equal(refused, 1000-maxUnknownKeyRequests)
	is.Equal(len(r.Step(&RequestCancelled{At: epoch.Add(time.Second), ID: 0}, nil)), 1)
	out := r.Step(&Tick{At: epoch.Add(4*time.Second + 1)}, nil) // the view is stale
	is.Equal(len(out), maxUnknownKeyRequests-1)
	is.Equal(out[0].(*Refuse).Fault.Code, fault.Stale)
	is.Equal(len(r.requests)+len(r.timers.heap)+len(r.unknownKeyRequests), 0)
}

// Guards against a request with an unknown key that waits beyond its deadline.
func TestUnknownKeyIsRefusedAtTheDeadline(t *testing.T) {
	is := is.New(t)
	r := newTestFleet().startRouter(t)
	e := newUnknownKeyRequest(1, epoch)
	e.Deadline = epoch.Add(time.Second)
	r.Step(e, nil)
	due, ok := r.NextTick()
	is.True(ok && due.Equal(e.Deadline))
	is.Equal(findRefusal(r.Step(&Tick{At: due}, nil)).Fault.Code, fault.InvalidKey)
}
