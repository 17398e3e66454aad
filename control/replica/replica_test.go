package replica

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"cuminfall.example/control/consensus"
	"cuminfall.example/control/consensus/wire"
	"cuminfall.example/control/journal"
	"cuminfall.example/fleet/clock"
	"cuminfall.example/fleet/fault"
	"cuminfall.example/fleet/ident"
)

// recordingMachine is a state machine that records the data of all entries.
type recordingMachine struct{ List []string }

func (m *recordingMachine) Apply(e Entry) any {
	m.List = append(m.List, string(e.Data))
	return len(m.List)
}
func (m *recordingMachine) Snapshot() ([]byte, error)                 { return json.Marshal(m) }
func (m *recordingMachine) MemberJoined(Entry, string, ident.Address) {}
func (m *recordingMachine) Restore(state []byte) error                { m.List = nil; return json.Unmarshal(state, m) }

// testMember is a replica that serves on the loopback address and can be stopped and restarted.
type testMember struct {
	t       *testing.T
	name    string
	folder  string
	address ident.Address
	peers   []ident.Address
	*Replica
	machine *recordingMachine
	log     logrus.FieldLogger
	kept    *lastEntryMachine // replaces machine if it is set
	delay   time.Duration     // of kept, for each entry
	memory  ident.Bytes
	disk    ident.Bytes
	cancel  context.CancelFunc
	server  *http.Server
	running sync.WaitGroup // serves requests and runs the member
}

func (m *testMember) start() {
	m.t.Helper()
	m.machine = &recordingMachine{}
	var machine StateMachine = m.machine
	snapshotEvery := 50
	if m.kept != nil {
		m.kept = &lastEntryMachine{delay: m.delay}
		machine, snapshotEvery = m.kept, 0
	}
	r, err := Open(Options{Name: m.name, Address: m.address, Folder: m.folder, Peers: m.peers,
		StateMachine: machine, Clock: clock.System{}, Log: m.log, SnapshotEvery: snapshotEvery, Memory: m.memory, DiskSize: m.disk})
	if err != nil {
		m.t.Fatal(err)
	}
	l, err := net.Listen("tcp", string(m.address))
	if err != nil {
		m.t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	m.Replica, m.cancel = r, cancel
	m.server = &http.Server{Handler: r.Handler()}
	m.running.Go(func() { _ = m.server.Serve(l) })
	m.running.Go(func() { _ = r.Run(ctx) })
}

// stop stops the member without a handover. It returns once the member's port is free, and at once if it does not run.
func (m *testMember) stop() {
	_ = m.server.Close()
	m.cancel()
	m.running.Wait()
}

func newGroup(t *testing.T, size int) []*testMember {
	var group []*testMember
	var addresses []ident.Address
	log := newTestLog(t)
	pid := os.Getpid()
	for i := range size {
		// A loopback host of this process keeps other tests from taking the port.
		l, err := net.Listen("tcp", fmt.Sprintf("127.%d.%d.%d:0", 1+pid>>16&0x7f, pid>>8&0xff, pid&0xff))
		if err != nil {
			t.Fatal(err)
		}
		addresses = append(addresses, ident.Address(l.Addr().String()))
		_ = l.Close()
		group = append(group, &testMember{t: t, name: fmt.Sprintf("vm%d", i), folder: t.TempDir(), address: addresses[i],
			log: log.WithField("member", fmt.Sprintf("vm%d", i))})
	}
	if err := Init(group[0].folder, group[0].name, group[0].address, [][]byte{[]byte("first")}); err != nil {
		t.Fatal(err)
	}
	for _, m := range group {
		m.peers = addresses
		m.start()
		t.Cleanup(func() { m.stop() })
	}
	return group
}

func waitFor(t *testing.T, condition string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); !ok(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("timed out: %s", condition)
		}
	}
}

func leader(group []*testMember) *testMember {
	for _, m := range group {
		if _, _, ok := m.Leadership(); ok {
			return m
		}
	}
	return nil
}

func countVoters(m *testMember) int {
	n := 0
	for _, o := range m.Status().Members {
		if o.Voter {
			n++
		}
	}
	return n
}

// propose proposes an entry and retries until a leader commits it. It fails on an error after which the
// entry may have been executed.
func propose(t *testing.T, group []*testMember, data string) any {
	t.Helper()
	var result any
	waitFor(t, "proposal "+data, func() bool {
		l := leader(group)
		if l == nil {
			return false
		}
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		defer cancel()
		var err error
		result, err = l.Propose(ctx, []byte(data))
		if err != nil && fault.Of(err).Execution != fault.NotExecuted {
			t.Fatal(err)
		}
		return err == nil
	})
	return result
}

// Guards against a group that loses acknowledged entries when a leader crashes, a member restarts or a disk
// is lost.
func TestGroup(t *testing.T) {
	is := is.New(t)
	group := newGroup(t, 3)
	waitFor(t, "three voters", func() bool { l := leader(group); return l != nil && countVoters(l) == 3 })
	is.Equal(propose(t, group, "one"), 2) // Init wrote the first entry

	old := leader(group)
	old.stop()
	var remaining []*testMember
	for _, m := range group {
		if m != old {
			remaining = append(remaining, m)
		}
	}
	is.Equal(propose(t, remaining, "two"), 3)
	old.start()
	waitFor(t, "restarted member catches up", func() bool { return old.Status().Applied == leader(group).Status().Applied })

	replaced := leader(group)
	replaced.stop()
	replaced.folder = t.TempDir()
	replaced.start()
	for i := range 120 { // enough entries for a snapshot
		is.Equal(propose(t, group, fmt.Sprint(i)), 4+i)
	}
	waitFor(t, "member with a replaced disk is a voter again", func() bool {
		l := leader(group)
		return l != nil && countVoters(l) == 3 && len(l.Status().Members) == 3 && replaced.Status().Applied == l.Status().Applied
	})
	replaced.View(func() { is.Equal(len(replaced.machine.List), 123) })

	l := leader(group)
	_, err := l.Barrier(context.Background())
	is.NoErr(err)
	is.NoErr(l.Handover(context.Background()))
	startTime := time.Now()
	waitFor(t, "another leader", func() bool { o := leader(group); return o != nil && o != l })
	t.Log("handover took", time.Since(startTime))
	is.Equal(l.Status().Role, consensus.Follower)
	_, err = l.Propose(context.Background(), nil)
	is.Equal(fault.Of(err).Code, fault.NotLeader)
	is.Equal(fault.Of(err).Execution, fault.NotExecuted)
}

// fullDisk is a Disk whose writes fail once full is set.
type fullDisk struct {
	journal.Disk
	full atomic.Bool
}

type fullFile struct {
	journal.File
	disk *fullDisk
}

func (d *fullDisk) Create(name string) (journal.File, error) {
	f, err := d.Disk.Create(name)
	return fullFile{f, d}, err
}

func (f fullFile) Write(p []byte) (int, error) {
	if f.disk.full.Load() {
		return 0, syscall.ENOSPC
	}
	return f.File.Write(p)
}

// Guards against a member that acknowledges proposals while its disk is full, ends because of it, or does not come back
// by itself once the disk has room.
func TestFullDisk(t *testing.T) {
	is := is.New(t)
	folder := t.TempDir()
	is.NoErr(Init(folder, "vm", "127.0.0.1:1", nil))
	disk, err := journal.OpenFolder(folder)
	is.NoErr(err)
	full := &fullDisk{Disk: disk}
	log := logrus.New()
	var lines lockedBuffer
	log.SetOutput(&lines)
	machine := &recordingMachine{}
	r, err := Open(Options{Name: "vm", Address: "127.0.0.1:1", Disk: full, StateMachine: machine, Log: log})
	is.NoErr(err)
	done := make(chan error, 1)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() { done <- r.Run(ctx) }()
	waitFor(t, "a leader", func() bool { _, _, ok := r.Leadership(); return ok })
	_, err = r.Propose(ctx, []byte("kept"))
	is.NoErr(err)
	full.full.Store(true)
	for range 5 {
		proposeCtx, end := context.WithTimeout(ctx, 300*time.Millisecond)
		_, err = r.Propose(proposeCtx, []byte("late"))
		end()
		is.Equal(fault.Of(err).Execution, fault.ExecutionUnknown)
	}
	r.View(func() { is.Equal(machine.List, []string{"kept"}) })
	is.Equal(strings.Count(lines.String(), "the disk refuses writes"), 1)
	full.full.Store(false)
	waitFor(t, "the proposals are applied", func() bool { return r.Status().Applied >= 8 })
	_, err = r.Propose(ctx, []byte("after"))
	is.NoErr(err)
	r.View(func() { is.Equal(machine.List, []string{"kept", "late", "late", "late", "late", "late", "after"}) })
	is.Equal(strings.Count(lines.String(), "the disk takes writes again"), 1)
	cancel()
	is.NoErr(<-done)
	is.NoErr(disk.Close())
	reopened := &recordingMachine{}
	restarted, err := Open(Options{Name: "vm", Address: "127.0.0.1:1", Folder: folder, StateMachine: reopened, Log: log})
	is.NoErr(err)
	ctx, cancel = context.WithCancel(context.Background())
	go func() { done <- restarted.Run(ctx) }()
	waitFor(t, "all entries are read back", func() bool {
		same := false
		restarted.View(func() { same = len(reopened.List) == 7 })
		return same
	})
	cancel()
	is.NoErr(<-done)
}

// Guards against an audit trail that misses a join, or that shows the promotion of a learner as a join.
func TestJoined(t *testing.T) {
	is := is.New(t)
	set := func(members ...*wire.Member) *wire.Membership { return &wire.Membership{Members: members} }
	a := &wire.Member{Id: "1", Name: "a", Address: "h:1", Voter: true}
	b := &wire.Member{Id: "2", Name: "b", Address: "h:2"}
	promoted := &wire.Member{Id: "2", Name: "b", Address: "h:2", Voter: true}
	newAddress := &wire.Member{Id: "2", Name: "b", Address: "h:3", Voter: true}
	rejoined := &wire.Member{Id: "3", Name: "b", Address: "h:2"}
	is.Equal(len(joinedMembers(nil, set(a))), 0) // the first membership
	is.Equal(joinedMembers(set(a), set(a, b)), []*wire.Member{b})
	is.Equal(len(joinedMembers(set(a, b), set(a, promoted))), 0)
	is.Equal(joinedMembers(set(a, promoted), set(a, newAddress)), []*wire.Member{newAddress})
	is.Equal(joinedMembers(set(a, b), set(a, rejoined)), []*wire.Member{rejoined})
	is.Equal(len(joinedMembers(set(a, b), set(a))), 0)
}
