package nodes

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"cuminfall.example/fleet/clock"
	"cuminfall.example/fleet/fault"
	"cuminfall.example/fleet/rpc"
	"cuminfall.example/load/command"
)

// controlMember simulates the leader or a follower of a control group.
type controlMember struct {
	rpc.Session
	rpc.Operations
	leader string // address of the leader; empty at the leader itself

	mu        sync.Mutex
	revision  uint64
	syncedVMs map[string]bool
}

func (g *controlMember) Sync(_ context.Context, r *rpc.SyncRequest) (*rpc.SyncReply, error) {
	if g.leader != "" {
		return nil, fault.Twirp(fault.New(fault.NotLeader, "sync", g.leader, "this member does not lead"))
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.syncedVMs[r.GetVm()] = true
	reply := &rpc.SyncReply{Versions: &rpc.Versions{Config: g.revision + 1}}
	if r.GetHeld().GetConfig() != g.revision+1 {
		reply.Config = &rpc.Config{Sections: []*rpc.Section{{Name: "drains", Revision: g.revision}}}
	}
	return reply, nil
}

func (g *controlMember) Show(context.Context, *rpc.ShowRequest) (*rpc.ShowReply, error) {
	if g.leader != "" {
		return nil, fault.Twirp(fault.New(fault.NotLeader, "show", g.leader, "this member does not lead"))
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return &rpc.ShowReply{Sections: []*rpc.Section{{Name: "drains", Revision: g.revision}}}, nil
}

func (g *controlMember) Apply(_ context.Context, r *rpc.ApplyRequest) (*rpc.ApplyReply, error) {
	if g.leader != "" {
		return nil, fault.Twirp(fault.New(fault.NotLeader, "apply change", g.leader, "this member does not lead"))
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if r.GetSection() != "drains" {
		return &rpc.ApplyReply{State: rpc.ApplyState_APPLY_STATE_ACCEPTED}, nil
	}
	if r.GetBase() != g.revision {
		return &rpc.ApplyReply{State: rpc.ApplyState_APPLY_STATE_CONFLICT, Code: string(fault.Conflict)}, nil
	}
	g.revision++
	return &rpc.ApplyReply{State: rpc.ApplyState_APPLY_STATE_ACCEPTED, Revision: g.revision}, nil
}

func (g *controlMember) serve(t *testing.T) string {
	mux := http.NewServeMux()
	for _, h := range []rpc.TwirpServer{rpc.NewSessionServer(g), rpc.NewOperationsServer(g)} {
		mux.Handle(h.PathPrefix(), h)
	}
	s := httptest.NewServer(mux)
	t.Cleanup(s.Close)
	return strings.TrimPrefix(s.URL, "http://")
}

// Guards against sessions that do not follow the leader, against changes that do not reach all sessions, and against
// bytes or exchanges that are not counted.
func TestRun(t *testing.T) {
	is := is.New(t)
	leader := &controlMember{syncedVMs: make(map[string]bool), revision: 3}
	address := leader.serve(t)
	follower := &controlMember{leader: address}
	o := &Options{
		ControlAddresses: []string{follower.serve(t), address}, ProcessIDs: []string{"self"}, Sessions: 20, Seconds: 0.4,
		SyncInterval: 20 * time.Millisecond, ChangeRate: 10, Operator: "a", Credential: "b", Regions: 1,
	}
	r, err := newRunner(o, clock.System{}).run(context.Background())
	is.NoErr(err)
	leader.mu.Lock() // the leader may still handle a sync that a stopped session canceled
	defer leader.mu.Unlock()
	is.Equal(len(leader.syncedVMs), 20)
	is.Equal(r.Propagation.Changes, 4)
	is.Equal(r.Propagation.Missing, 0)
	is.Equal(leader.revision, uint64(7))
	is.True(r.Exchanges > 0)
	is.True(r.Sent > 0 && r.Received > 0)
	is.True(r.Parts.Config >= 20) // a delayed session may receive several changes in one reply
	is.True(r.Processes[0].Resident > 0)
	var out bytes.Buffer
	is.NoErr(r.print(&out))
	is.True(strings.Contains(out.String(), "0 not everywhere"))
}

// Guards against counting a change as received by all sessions while one of them lacks it.
func TestMissingChanges(t *testing.T) {
	is := is.New(t)
	at := time.Unix(1000, 0)
	tracker := newChangeTracker(2)
	tracker.addSent(1, at)
	tracker.addSent(2, at)
	tracker.addSent(3, at)
	tracker.remove(3)
	tracker.addReceipt(0, 2, at.Add(time.Second))
	tracker.addReceipt(0, 1, at.Add(3*time.Second))
	s := tracker.summarize()
	is.Equal(s.Changes, 2)
	is.Equal(s.Missing, 1)
	is.Equal(s.AllSessions.Max.Round(10*time.Millisecond), 3*time.Second)
}

// Guards against accepting flags that exceed the limits of a run or name addresses other than loopback.
func TestFlags(t *testing.T) {
	for _, c := range []struct{ args, want string }{
		{"", "--control is required"},
		{"--control 10.0.0.1:80", "--control: got"},
		{"--control 127.0.0.1:80 --count 601 --seconds 56", "--seconds: got \"56\""},
		{"--control 127.0.0.1:80 --changes 1", "--operator"},
		{"--control 127.0.0.1:80 --processes ../1", "--processes"},
		{"--control 127.0.0.1:80 --demands 1", "--demands"},
		{"--control 127.0.0.1:80 --count 100 --blocks 200000 --operator a", "--blocks times count"},
	} {
		t.Run(c.args, func(t *testing.T) {
			is := is.New(t)
			err := run(command.Console{Out: &bytes.Buffer{}, Err: &bytes.Buffer{}, Clock: clock.System{}}, strings.Fields(c.args))
			is.Equal(fault.Of(err).Code, fault.Usage)
			is.True(strings.Contains(err.Error(), c.want))
		})
	}
}

// Guards against reading CPU time and memory from the wrong fields.
func TestUsage(t *testing.T) {
	is := is.New(t)
	folder := t.TempDir()
	is.NoErr(os.Mkdir(filepath.Join(folder, "7"), 0o755))
	for name, text := range map[string]string{
		"stat":   "7 (a b) c) S 1 7 7 0 -1 4194560 1 2 3 4 150 50 9 9 20 0 8 0 100 1 2 3",
		"status": "Name:\ta\nVmHWM:\t   20 kB\nVmRSS:\t   10 kB\n",
		"io":     "wchar: 5\nwrite_bytes: 4096\n",
	} {
		is.NoErr(os.WriteFile(filepath.Join(folder, "7", name), []byte(text), 0o600))
	}
	u, err := readUsage(folder, "7")
	is.NoErr(err)
	is.Equal(u, usage{cpu: 2 * time.Second, resident: 10 << 10, peak: 20 << 10, written: 4096})
	_, err = readUsage(folder, "8")
	is.Equal(fault.Of(err).Code, fault.NotFound)
}
