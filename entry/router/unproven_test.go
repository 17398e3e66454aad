package router

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"cuminfall.example/fleet/document"
	"cuminfall.example/fleet/fault"
)

func unknown(id RequestID, at time.Time) *RequestArrived {
	e := read(id, at)
	e.KeyID = "k2"
	return e
}

// Guards against refusing a key that another VM knows already, and against
// admitting one that control does not have.
func TestUnknownKeyWaitsForTheNextExchange(t *testing.T) {
	for _, c := range []struct {
		name    string
		granted bool
		hash    KeyHash
		sent    time.Duration // when the exchange begins, from the arrival
		want    string
	}{
		{"granted", true, secret, 1, "sent"},
		{"granted with another secret", true, KeyHash{1}, 1, "refused"},
		{"not granted", false, secret, 1, "refused"},
		{"exchange from before", false, secret, -1, "held"},
		{"exchange of the same moment", false, secret, 0, "held"},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			p := newPlant()
			p.upstream("read", near, "a1", 1)
			r := p.start(t)
			at := epoch.Add(time.Second)
			e := unknown(1, at)
			e.KeyHash = c.hash
			out := r.Step(e, nil)
			is.Equal(len(out), 1)
			_, asked := out[0].(*RequestSync)
			is.True(asked)
			if c.granted {
				p.doc.Workspaces.Workspaces[0].Keys = append(p.doc.Workspaces.Workspaces[0].Keys,
					document.Key{ID: "k2", Hash: p.doc.Workspaces.Workspaces[0].Keys[0].Hash})
			}
			out = r.Step(&Synced{At: at.Add(time.Second), Sent: at.Add(c.sent), Reply: p.reply(t)}, nil)
			is.Equal(sendOf(out) != nil, c.want == "sent")
			is.Equal(refusal(out) != nil, c.want == "refused")
			if c.want == "refused" {
				f := refusal(out).Fault
				is.Equal([]string{string(f.Code), f.Step, f.Peer, string(f.Execution)}, []string{string(fault.Key), "key", "caller", "not-run"})
			}
		})
	}
}

// Guards against requests with unknown keys that are held without end or
// number, and against a flood of exchanges for them.
func TestUnknownKeysAreBounded(t *testing.T) {
	is := is.New(t)
	r := newPlant().start(t)
	asked, refused := 0, 0
	for i := range RequestID(1000) {
		for _, effect := range r.Step(unknown(i, epoch.Add(time.Duration(i)*time.Millisecond)), nil) {
			switch effect.(type) {
			case *RequestSync:
				asked++
			case *Refuse:
				refused++
			}
		}
	}
	is.Equal(asked, 1)
	is.Equal(refused, 1000-mostUnproven)
	is.Equal(len(r.Step(&RequestCancelled{At: epoch.Add(time.Second), ID: 0}, nil)), 1)
	out := r.Step(&Tick{At: epoch.Add(4*time.Second + 1)}, nil) // the view is stale
	is.Equal(len(out), mostUnproven-1)
	is.Equal(out[0].(*Refuse).Fault.Code, fault.Stale)
	is.Equal(len(r.requests)+len(r.timers.heap)+len(r.unproven), 0)
}

// Guards against a held request that outlives its deadline.
func TestUnknownKeyIsRefusedAtTheDeadline(t *testing.T) {
	is := is.New(t)
	r := newPlant().start(t)
	e := unknown(1, epoch)
	e.Deadline = epoch.Add(time.Second)
	r.Step(e, nil)
	due, ok := r.Next()
	is.True(ok && due.Equal(e.Deadline))
	is.Equal(refusal(r.Step(&Tick{At: due}, nil)).Fault.Code, fault.Key)
}
