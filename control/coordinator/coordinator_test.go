package coordinator

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"

	"cuminfall.example/control/journal"
	"cuminfall.example/control/replica"
	"cuminfall.example/fleet/catalog"
	"cuminfall.example/fleet/clock"
	"cuminfall.example/fleet/fault"
	"cuminfall.example/fleet/ident"
	"cuminfall.example/fleet/process"
	"cuminfall.example/fleet/protocol"
	"cuminfall.example/fleet/registry"
)

// member is a coordinator that serves on the loopback interface and can be stopped and started.
type member struct {
	*Coordinator
	t       *testing.T
	address ident.Address
	folder  string
	disk    journal.Disk // replaces folder if it is set
	seeds   []ident.Address
	// snapshotEvery is the number of entries between snapshots; 0 means the default.
	snapshotEvery int
	clock         clock.Clock // nil means clock.BootTime
	groupClock    clock.Clock // of elections and leases; nil means clock.BootTime
	services      []HTTPService
	cancel        context.CancelFunc
	done          chan error
}

func (m *member) start() {
	m.t.Helper()
	log := &process.EventLog{FieldLogger: process.NewLogger(io.Discard, "info"), Clock: clock.System{}}
	machine := NewStateMachine(log)
	if m.clock == nil {
		m.clock = clock.BootTime{}
	}
	if m.groupClock == nil {
		m.groupClock = clock.BootTime{}
	}
	r, err := replica.Open(replica.Options{Name: string(m.address), Address: m.address, Folder: m.folder, Disk: m.disk, Peers: m.seeds,
		StateMachine: machine, Clock: m.groupClock, Log: log, ReplaceSilentVoters: true, SnapshotEvery: m.snapshotEvery})
	if err != nil {
		m.t.Fatal(err)
	}
	m.Coordinator = New(Options{Replica: r, StateMachine: machine, Clock: m.clock, Log: log, Address: m.address,
		Regions: map[ident.Domain]ident.Region{"d": "r"}})
	ctx, cancel := context.WithCancel(context.Background())
	m.cancel, m.done = cancel, make(chan error, 1)
	go func() {
		defer close(m.done) // so that a member may be stopped twice
		m.done <- m.Serve(ctx, metrics.NewRegistry(), "", m.services...)
	}()
}

func (m *member) stop() {
	m.cancel()
	<-m.done
}

// freeAddress returns an address whose port was free a moment ago, on a loopback host of this process, so that tests
// which run at the same time do not take it.
func freeAddress(t *testing.T) ident.Address {
	t.Helper()
	pid := os.Getpid()
	l, err := net.Listen("tcp", fmt.Sprintf("127.%d.%d.%d:0", 1+pid>>16&0x7f, pid>>8&0xff, pid&0xff))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	return ident.Address(l.Addr().String())
}

// startGroup starts three members that bootstrap the group and a fourth that joins it. No member is told the size of
// the group.
func startGroup(t *testing.T) []*member {
	t.Helper()
	return startGroupOn(t, clock.BootTime{})
}

// startGroupOn is startGroup with a clock for all members.
func startGroupOn(t *testing.T, c clock.Clock) []*member {
	t.Helper()
	var all []*member
	var seeds []ident.Address
	for range 4 {
		m := &member{t: t, address: freeAddress(t), folder: t.TempDir(), clock: c, groupClock: c}
		all = append(all, m)
		if len(seeds) < 3 {
			seeds = append(seeds, m.address)
		}
	}
	for i, m := range all {
		m.seeds = seeds
		if i < 3 {
			if err := replica.Bootstrap(m.folder, m.address, seeds); err != nil {
				t.Fatal(err)
			}
		}
		m.start()
	}
	t.Cleanup(func() {
		for _, m := range all {
			m.stop()
		}
	})
	return all
}

// eventually calls f until it returns true. The time limit is far longer than an election and a join take.
func eventually(t *testing.T, condition string, f func() bool) {
	t.Helper()
	eventuallyOn(t, clock.System{}, condition, f)
}

// eventuallyOn is eventually with the time limit measured on a clock.
func eventuallyOn(t *testing.T, c clock.Clock, condition string, f func() bool) {
	t.Helper()
	for end := c.Now().Add(15 * time.Second); c.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if f() {
			return
		}
	}
	t.Fatal("timed out waiting until " + condition)
}

// startPacedClock returns a clock that advances by a step each time that this process has slept for one. It slows down
// where the process gets no processor time, so that timeouts do not end before what they wait for could run.
func startPacedClock(t *testing.T) clock.Clock {
	t.Helper()
	const step = 20 * time.Millisecond
	c := &clock.Fake{}
	done := make(chan struct{})
	go func() {
		for {
			select {
			case <-done:
				return
			case <-time.After(step):
				c.Advance(step)
			}
		}
	}()
	t.Cleanup(func() { close(done) })
	return c
}

// countVoters returns the number of voters that a member knows.
func countVoters(m *member) int {
	n := 0
	for _, o := range m.opts.Replica.Status().Members {
		if o.Voter {
			n++
		}
	}
	return n
}

// catalogChange returns a change to a catalog without routes and services.
func catalogChange(base, version catalog.Version, digest string) *catalog.Change {
	ch := &catalog.Change{Digest: digest, Base: base, Version: version, Full: true}
	ch.Routes, ch.Services = map[string]catalog.Route{}, map[ident.Service]catalog.Service{}
	return ch
}

// Guards against members forming two groups or failing to join, against changes that only the leader accepts, and
// against reads that are older than an acknowledged change.
func TestGroupFormsAndAcceptsChangesAtAnyMember(t *testing.T) {
	is := is.New(t)
	all := startGroup(t)
	eventually(t, "each member knows four voters", func() bool {
		for _, m := range all {
			if countVoters(m) != 4 {
				return false
			}
		}
		return true
	})
	ctx := context.Background()
	for i, m := range all {
		var result registry.Result
		eventually(t, "a catalog change is accepted", func() bool {
			var err error
			result, err = m.Change(ctx, catalogChange(catalog.Version(i), catalog.Version(i+1), string(rune('a'+i))), nil)
			return err == nil
		})
		is.Equal(result.Code, fault.Code(""))
		for _, reader := range all {
			c, err := reader.Catalog(ctx)
			is.NoErr(err)
			is.Equal(c.Version, catalog.Version(i+1))
		}
	}
	result, err := all[0].Change(ctx, catalogChange(1, 9, "late"), nil)
	is.NoErr(err)
	is.Equal(result.Code, fault.Conflict)
}

// Guards against a group that keeps counting a lost member as a voter, so that losing two more stops it, and against
// a removed member that cannot rejoin.
func TestSilentVoterIsRemovedAndReturns(t *testing.T) {
	c := startPacedClock(t)
	all := startGroupOn(t, c)
	eventuallyOn(t, c, "the group has four voters", func() bool { return countVoters(all[0]) == 4 })
	all[3].stop()
	eventuallyOn(t, c, "the silent voter is removed", func() bool { return countVoters(all[0]) == 3 })
	all[3].start()
	eventuallyOn(t, c, "the member votes again", func() bool { return countVoters(all[0]) == 4 && countVoters(all[3]) == 4 })
}

// Guards against acknowledged announcements that other members do not know.
func TestAnnouncementsReachFollowers(t *testing.T) {
	is := is.New(t)
	all := startGroup(t)
	ctx := context.Background()
	u := registry.Upstream{ID: "u", Service: "s", Address: "127.0.0.1:1", Domain: "d", Slots: 1, Sequence: 1, State: registry.Ready}
	eventually(t, "an announcement is accepted", func() bool { return all[2].Announce(ctx, u) == nil })
	var client protocol.Client
	var reply protocol.FollowReply
	eventually(t, "a follower of another member receives the announcement", func() bool {
		reply = protocol.FollowReply{}
		err := client.Call(ctx, all[0].address, protocol.FollowPath, protocol.FollowRequest{}, &reply)
		return err == nil && len(reply.Entries) > 0
	})
	r := registry.New()
	for _, e := range reply.Entries {
		c, err := registry.Decode(e.Command)
		is.NoErr(err)
		r.Apply(e.Index, c)
	}
	is.Equal(r.Upstreams["u"], u)
	u.Sequence, u.State = 2, registry.Leaving
	is.NoErr(all[1].Announce(ctx, u))
	eventually(t, "all members know that the upstream is leaving", func() bool {
		for _, m := range all {
			leaving := false
			m.opts.StateMachine.view(func(r *registry.Registry) { leaving = r.Upstreams["u"].State == registry.Leaving })
			if !leaving {
				return false
			}
		}
		return true
	})
}

// Guards against lookups returning entry VMs that have stopped or no longer report.
func TestLookupsReturnLiveVMs(t *testing.T) {
	is := is.New(t)
	all := startGroup(t)
	ctx := context.Background()
	var client protocol.Client
	report := func(name ident.VM, up bool) bool {
		q := protocol.Report{VM: registry.VM{Name: name, Address: ident.Address(name), Domain: ident.Domain("of-" + name), Up: up}, Full: true}
		var reply protocol.ReportReply
		return client.Call(ctx, all[1].address, protocol.ReportPath, q, &reply) == nil
	}
	regions := map[ident.Domain]ident.Region{"of-a": "r", "of-b": "r", "of-c": "far"}
	returned := func() int { return len(all[0].EntryAddresses("r", regions, 64)) }
	// The VMs of one domain alone would be overloaded by many callers.
	eventually(t, "two VMs are returned", func() bool { return report("a", true) && report("b", true) && report("c", true) && returned() == 2 })
	is.True(report("a", false))
	eventually(t, "the stopping VM is no longer returned", func() bool { return report("b", true) && report("c", true) && returned() == 1 })
	eventually(t, "the VM of another region is returned to a region without VMs", func() bool {
		list := all[0].EntryAddresses("r", regions, 64)
		return report("c", true) && len(list) == 1 && list[0] == "c"
	})
	eventually(t, "the silent VMs are no longer returned", func() bool { return returned() == 0 })
}

// Guards against members other than the leader answering requests that are meant for the leader.
func TestProposalsNeedTheLeader(t *testing.T) {
	is := is.New(t)
	all := startGroup(t)
	eventually(t, "a leader is elected", func() bool { return all[0].opts.Replica.Status().Leader != "" })
	refused := 0
	for _, m := range all {
		r, err := http.Post("http://"+string(m.address)+protocol.ReadPath, "application/json", nil)
		is.NoErr(err)
		_ = r.Body.Close()
		if r.StatusCode == http.StatusServiceUnavailable {
			refused++
		}
	}
	is.True(refused >= 3)
}

// Guards against an upstream being removed right after it joined, because it announced itself to another member,
// which has not told the leader yet.
func TestNewUpstreamIsNotExpired(t *testing.T) {
	is := is.New(t)
	all := startGroup(t)
	ctx := context.Background()
	eventually(t, "the group has four voters", func() bool { return countVoters(all[0]) == 4 })
	leader, term := currentLeader(t, all)
	u := registry.Upstream{ID: "u", Service: "s", Address: "127.0.0.1:1", Domain: "d", Slots: 1, Sequence: 1, State: registry.Ready}
	join := registry.Command{Join: &u}
	_, err := leader.Submit(ctx, join) // as another member does, before it records when it saw the upstream
	is.NoErr(err)
	leader.expireSilent(ctx, term)
	known := false
	leader.opts.StateMachine.view(func(r *registry.Registry) { _, known = r.Upstreams["u"] })
	is.True(known)
}

// Guards against log entries for announcements that change nothing. After the loss of all VMs, members with
// incomplete registries forwarded the announcements of all 699 upstreams, and each of 89 entry VMs had to follow 640
// entries.
func TestRepeatedAnnouncementsAreNotLogged(t *testing.T) {
	is := is.New(t)
	all := startGroup(t)
	ctx := context.Background()
	u := registry.Upstream{ID: "u", Service: "s", Address: "127.0.0.1:1", Domain: "d", Slots: 1, Sequence: 1, State: registry.Ready}
	eventually(t, "an announcement is accepted", func() bool { return all[0].Announce(ctx, u) == nil })
	index := func() ident.Index {
		var last ident.Index
		for _, m := range all {
			last = max(last, m.opts.StateMachine.index())
		}
		return last
	}
	eventually(t, "all four members vote", func() bool { return countVoters(all[0]) == 4 })
	before := index()
	for range 5 {
		u.Sequence++
		_, err := all[1].Submit(ctx, registry.Command{Join: &u}) // as from a member whose registry is empty
		is.NoErr(err)
	}
	is.Equal(index(), before)
	u.Sequence, u.State = u.Sequence+1, registry.Leaving
	_, err := all[1].Submit(ctx, registry.Command{Join: &u})
	is.NoErr(err)
	is.True(index() > before)
}
