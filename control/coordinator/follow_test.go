package coordinator

import (
	"context"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/matryer/is"

	"cuminfall.example/fleet/ident"
	"cuminfall.example/fleet/protocol"
	"cuminfall.example/fleet/registry"
)

// tearJournal cuts the last bytes off the file of a member's journal that was written last.
func tearJournal(t *testing.T, folder string) {
	t.Helper()
	files, err := filepath.Glob(filepath.Join(folder, "log-*"))
	if err != nil || len(files) == 0 {
		t.Fatalf("no journal files in %s: %v", folder, err)
	}
	last, size := "", int64(0)
	for _, f := range files { // their names are in the order of their indexes
		if info, err := os.Stat(f); err == nil && info.Size() > 0 {
			last, size = f, info.Size()
		}
	}
	if err := os.Truncate(last, size-3); err != nil {
		t.Fatal(err)
	}
}

// Guards against entry VMs that use an upstream again which has left, because they follow a restarted member that has not
// heard of it yet.
func TestRestartedMemberIsNotFollowedBeforeItHasCaughtUp(t *testing.T) {
	for name, damage := range map[string]func(*testing.T, *member){
		"older snapshot":   func(*testing.T, *member) {},
		"torn last record": func(t *testing.T, m *member) { tearJournal(t, m.folder) },
		"empty disk":       func(t *testing.T, m *member) { m.folder = t.TempDir() },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			ctx := context.Background()
			all := startGroup(t)
			m, others := all[2], []*member{all[0], all[1], all[3]}
			eventually(t, "the group has four voters", func() bool { return countVoters(all[0]) == 4 && countVoters(m) == 4 })
			m.stop()
			if name == "older snapshot" {
				m.snapshotEvery = 1
			}
			m.start()
			u := registry.Upstream{ID: "u", Service: "s", Address: "127.0.0.1:1", Domain: "d", Slots: 1, Sequence: 1, State: registry.Ready}
			eventually(t, "an announcement is accepted", func() bool { return all[0].Announce(ctx, u) == nil })
			knowsUpstream := func(m *member) (known bool) {
				m.opts.StateMachine.view(func(r *registry.Registry) { known = len(r.Upstreams) == 1 })
				return known
			}
			eventually(t, "the member knows the upstream", func() bool { return knowsUpstream(m) })
			m.stop()
			eventually(t, "the upstream leaves", func() bool { return all[0].Leave(ctx, registry.Departure{ID: "u"}) == nil })
			var leftAt ident.Index
			eventually(t, "the others know that it has left", func() bool {
				leftAt = all[0].opts.StateMachine.index()
				return !knowsUpstream(all[0]) && !knowsUpstream(all[1])
			})
			for _, o := range others {
				o.stop()
			}
			damage(t, m)
			m.start()
			var client protocol.Client
			follow := func(request protocol.FollowRequest) bool { // whether an entry VM would use the reply
				var reply protocol.FollowReply
				if client.Call(ctx, m.address, protocol.FollowPath, request, &reply) != nil {
					return false
				}
				if reply.CatchingUp {
					is.Equal(len(reply.State)+len(reply.Entries), 0) // nobody uses them, and encoding them delays the member
				}
				if reply.Isolated || reply.CatchingUp {
					return false
				}
				if reply.Index < leftAt {
					t.Fatalf("the member offers its registry at index %d, the upstream left at %d", reply.Index, leftAt)
				}
				return true
			}
			for end := time.Now().Add(time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
				is.True(!follow(protocol.FollowRequest{StatusOnly: true}))
				is.True(!follow(protocol.FollowRequest{}))
			}
			for _, o := range others {
				o.start()
			}
			eventually(t, "the member has caught up", func() bool {
				return follow(protocol.FollowRequest{StatusOnly: true}) && follow(protocol.FollowRequest{})
			})
			is.True(!knowsUpstream(m))
		})
	}
}
