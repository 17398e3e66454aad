package replica

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
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

// words is a machine that keeps all data.
type words struct{ List []string }

func (w *words) Apply(e Entry) any {
	w.List = append(w.List, string(e.Data))
	return len(w.List)
}
func (w *words) Snapshot() ([]byte, error)                 { return json.Marshal(w) }
func (w *words) MemberJoined(Entry, string, ident.Address) {}
func (w *words) Restore(state []byte) error                { w.List = nil; return json.Unmarshal(state, w) }

// member is a replica that serves on loopback and can be killed and restarted.
type member struct {
	t       *testing.T
	name    string
	folder  string
	address ident.Address
	peers   []ident.Address
	*Replica
	words  *words
	cancel context.CancelFunc
	server *http.Server
	done   chan error
}

func (m *member) start() {
	m.t.Helper()
	m.words = &words{}
	log := logrus.New()
	log.SetOutput(io.Discard)
	r, err := Open(Options{Name: m.name, Address: m.address, Folder: m.folder, Peers: m.peers,
		StateMachine: m.words, Clock: clock.System{}, Log: log, SnapshotEvery: 50})
	if err != nil {
		m.t.Fatal(err)
	}
	l, err := net.Listen("tcp", string(m.address))
	if err != nil {
		m.t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	m.Replica, m.cancel, m.done = r, cancel, make(chan error, 1)
	m.server = &http.Server{Handler: r.Handler()}
	go func() { _ = m.server.Serve(l) }()
	go func() { m.done <- r.Run(ctx) }()
}

// stop ends the member without a hand-over.
func (m *member) stop() {
	_ = m.server.Close()
	m.cancel()
	<-m.done
}

func newGroup(t *testing.T, size int) []*member {
	var group []*member
	var addresses []ident.Address
	for i := range size {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		addresses = append(addresses, ident.Address(l.Addr().String()))
		_ = l.Close()
		group = append(group, &member{t: t, name: fmt.Sprintf("vm%d", i), folder: t.TempDir(), address: addresses[i]})
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

func wait(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); !ok(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("timed out: %s", what)
		}
	}
}

func leader(group []*member) *member {
	for _, m := range group {
		if _, _, ok := m.Leadership(); ok {
			return m
		}
	}
	return nil
}

func voters(m *member) int {
	n := 0
	for _, o := range m.Status().Members {
		if o.Voter {
			n++
		}
	}
	return n
}

// propose retries certain refusals until a leader takes the entry.
func propose(t *testing.T, group []*member, data string) any {
	t.Helper()
	var result any
	wait(t, "proposal "+data, func() bool {
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

// Guards against a group that loses acknowledged entries over a leader's death, a restart or a lost disk.
func TestGroup(t *testing.T) {
	is := is.New(t)
	group := newGroup(t, 3)
	wait(t, "three voters", func() bool { l := leader(group); return l != nil && voters(l) == 3 })
	is.Equal(propose(t, group, "one"), 2) // after the first entry of Init

	old := leader(group)
	old.stop()
	var rest []*member
	for _, m := range group {
		if m != old {
			rest = append(rest, m)
		}
	}
	is.Equal(propose(t, rest, "two"), 3)
	old.start()
	wait(t, "restarted member catches up", func() bool { return old.Status().Applied == leader(group).Status().Applied })

	lost := leader(group)
	lost.stop()
	lost.folder = t.TempDir()
	lost.start()
	for i := range 120 { // beyond a snapshot
		is.Equal(propose(t, group, fmt.Sprint(i)), 4+i)
	}
	wait(t, "the lost disk's member is a voter again", func() bool {
		l := leader(group)
		return l != nil && voters(l) == 3 && len(l.Status().Members) == 3 && lost.Status().Applied == l.Status().Applied
	})
	lost.View(func() { is.Equal(len(lost.words.List), 123) })

	l := leader(group)
	_, err := l.Barrier(context.Background())
	is.NoErr(err)
	is.NoErr(l.Handover(context.Background()))
	begin := time.Now()
	wait(t, "another leader", func() bool { o := leader(group); return o != nil && o != l })
	t.Log("hand-over took", time.Since(begin))
	is.Equal(l.Status().Role, consensus.Follower)
	_, err = l.Propose(context.Background(), nil)
	is.Equal(fault.Of(err).Code, fault.Leader)
	is.Equal(fault.Of(err).Execution, fault.NotExecuted)
}

// fullDisk fails writes to the log once it is full.
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

// Guards against a member that leads or acknowledges on a full disk.
func TestFullDisk(t *testing.T) {
	is := is.New(t)
	folder := t.TempDir()
	is.NoErr(Init(folder, "vm", "127.0.0.1:1", nil))
	disk, err := journal.OpenFolder(folder)
	is.NoErr(err)
	defer func() { _ = disk.Close() }()
	full := &fullDisk{Disk: disk}
	log := logrus.New()
	log.SetOutput(io.Discard)
	r, err := Open(Options{Name: "vm", Address: "127.0.0.1:1", Disk: full, StateMachine: &words{}, Log: log})
	is.NoErr(err)
	done := make(chan error, 1)
	go func() { done <- r.Run(context.Background()) }()
	wait(t, "a leader", func() bool { _, _, ok := r.Leadership(); return ok })
	_, err = r.Propose(context.Background(), []byte("kept"))
	is.NoErr(err)
	full.full.Store(true)
	_, err = r.Propose(context.Background(), []byte("lost"))
	is.Equal(fault.Of(err).Code, fault.Internal)
	is.Equal(fault.Of(err).Execution, fault.ExecutionUnknown)
	_, err = r.Propose(context.Background(), nil)
	is.Equal(fault.Of(err).Execution, fault.NotExecuted)
	_, _, ok := r.Leadership()
	is.True(!ok)
	is.True(<-done != nil)
}

// Guards against a join that the audit trail misses, and against a promotion that it shows as one.
func TestJoined(t *testing.T) {
	is := is.New(t)
	set := func(members ...*wire.Member) *wire.Membership { return &wire.Membership{Members: members} }
	a := &wire.Member{Id: "1", Name: "a", Address: "h:1", Voter: true}
	b := &wire.Member{Id: "2", Name: "b", Address: "h:2"}
	voter := &wire.Member{Id: "2", Name: "b", Address: "h:2", Voter: true}
	moved := &wire.Member{Id: "2", Name: "b", Address: "h:3", Voter: true}
	again := &wire.Member{Id: "3", Name: "b", Address: "h:2"}
	is.Equal(len(joined(nil, set(a))), 0) // made by init
	is.Equal(joined(set(a), set(a, b)), []*wire.Member{b})
	is.Equal(len(joined(set(a, b), set(a, voter))), 0)
	is.Equal(joined(set(a, voter), set(a, moved)), []*wire.Member{moved})
	is.Equal(joined(set(a, b), set(a, again)), []*wire.Member{again})
	is.Equal(len(joined(set(a, b), set(a))), 0)
}
