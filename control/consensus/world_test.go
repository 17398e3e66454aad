package consensus

import (
	"container/heap"
	"encoding/binary"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"time"

	"google.golang.org/protobuf/proto"

	"cuminfall.example/control/consensus/wire"
)

// world runs nodes over a scripted network and scripted disks on virtual time, and checks the
// group's invariants after each event. Everything follows from its random source.
type world struct {
	rand    *rand.Rand
	now     time.Duration
	queue   schedule
	order   int
	hosts   []*host
	lost    map[string]bool // identities whose disk is gone
	loss    float64         // share of messages lost
	late    float64         // share of messages delayed by up to 3 s
	delay   time.Duration   // longest usual delay of a message
	blocked map[[2]string]bool
	checks
	fault string // first broken invariant
}

// checks is what the invariants compare with.
type checks struct {
	leaders   map[uint64]string
	committed []fact // by index - 1
	acked     uint64 // highest index acknowledged to a proposer
	installs  int
	elections int
}

// fact is a committed entry and the hash of the log up to it.
type fact struct {
	term  uint64
	chain uint64
	set   *wire.Membership
}

// host is a VM with one member, its clock and its disk.
type host struct {
	w        *world
	name     string
	rate     float64
	node     *Node
	run      int // changes with each restart, so that events of earlier runs are dropped
	frozen   time.Duration
	syncTime time.Duration
	broken   bool // the disk fails the next sync
	disks    int
	disk     disk
	unsynced []diskWrite
	applied  uint64
	chain    uint64
	token    Token
	replies  map[Token]func(proto.Message)
	stored   uint64 // index of the last snapshot asked for
}

// disk is what survives a crash.
type disk struct {
	state    *wire.HardState
	snapshot *wire.Snapshot
	entries  []*wire.Entry
}

type diskWrite struct {
	save    *Save
	compact *wire.Snapshot
}

type event struct {
	at    time.Duration
	order int
	do    func()
}

type schedule []event

func (s schedule) Len() int { return len(s) }
func (s schedule) Less(i, j int) bool {
	return s[i].at < s[j].at || s[i].at == s[j].at && s[i].order < s[j].order
}
func (s schedule) Swap(i, j int) { s[i], s[j] = s[j], s[i] }
func (s *schedule) Push(x any)   { *s = append(*s, x.(event)) }
func (s *schedule) Pop() any {
	last := len(*s) - 1
	e := (*s)[last]
	*s = (*s)[:last]
	return e
}

func newWorld(seed uint64, rates ...float64) *world {
	w := &world{rand: rand.New(rand.NewPCG(seed, 1)), delay: 20 * time.Millisecond,
		lost: map[string]bool{}, blocked: map[[2]string]bool{}, checks: checks{leaders: map[uint64]string{}}}
	for i, rate := range rates {
		h := &host{w: w, name: fmt.Sprint("vm", i), rate: rate, syncTime: 2 * time.Millisecond}
		w.hosts = append(w.hosts, h)
		h.format()
		if i == 0 {
			h.disk.state.Term, h.disk.state.Vote = 1, h.disk.state.Id
			h.disk.entries = []*wire.Entry{{Index: 1, Term: 1, Kind: wire.EntryKind_ENTRY_KIND_MEMBERS,
				Members: &wire.Membership{Members: []*wire.Member{{Id: h.disk.state.Id, Name: h.name, Address: h.name, Voter: true}}}}}
		}
		h.start()
	}
	return w
}

func (w *world) after(d time.Duration, do func()) {
	w.order++
	heap.Push(&w.queue, event{w.now + d, w.order, do})
}

// advance runs the world for d, or until an invariant breaks.
func (w *world) advance(d time.Duration) {
	end := w.now + d
	for w.fault == "" && len(w.queue) > 0 && w.queue[0].at <= end {
		e := heap.Pop(&w.queue).(event)
		w.now = e.at
		e.do()
	}
	w.now = end
}

func (w *world) fail(format string, args ...any) {
	if w.fault == "" {
		w.fault = fmt.Sprintf("at %s: ", w.now) + fmt.Sprintf(format, args...)
	}
}

func (w *world) pause(limit time.Duration) time.Duration {
	return time.Duration(w.rand.Int64N(int64(limit) + 1))
}

func (w *world) host(name string) *host {
	for _, h := range w.hosts {
		if h.name == name {
			return h
		}
	}
	return nil
}

// format gives the host an empty disk and with it a new identity.
func (h *host) format() {
	h.disks++
	h.disk = disk{state: &wire.HardState{Id: fmt.Sprintf("%s#%d", h.name, h.disks)}}
}

func (h *host) local() time.Duration {
	return time.Duration(float64(h.w.now)*h.rate) + time.Hour
}

func (h *host) start() {
	h.run++
	h.frozen, h.broken, h.stored = 0, false, 0
	h.replies = map[Token]func(proto.Message){}
	h.applied, h.chain = 0, 0
	if s := h.disk.snapshot; s != nil {
		h.restore(s)
	}
	h.node = New(Config{State: h.disk.state, Snapshot: h.disk.snapshot, Entries: append([]*wire.Entry(nil), h.disk.entries...),
		At: h.local(), Seed: h.w.rand.Uint64(), Trail: 5, Chunk: 16})
	h.after(h.w.pause(20*time.Millisecond), h.tick)
	h.after(h.w.pause(500*time.Millisecond), h.join)
}

// crash ends the run; some first part of the unsynced writes may have reached the disk.
func (h *host) crash() {
	for range h.w.rand.IntN(len(h.unsynced) + 1) {
		h.disk.write(h.unsynced[0])
		h.unsynced = h.unsynced[1:]
	}
	h.unsynced = nil
	h.node = nil
	h.run++
}

// loseDisk ends the run and the identity.
func (h *host) loseDisk() {
	h.crash()
	h.w.lost[h.disk.state.Id] = true
	h.format()
}

// after runs do on the host unless it crashes before; a frozen host does it when it thaws.
func (h *host) after(d time.Duration, do func()) {
	run := h.run
	var try func()
	try = func() {
		switch {
		case h.run != run || h.node == nil:
		case h.frozen > h.w.now:
			h.w.after(h.frozen-h.w.now, try)
		default:
			do()
		}
	}
	h.w.after(d, try)
}

func (h *host) tick() {
	h.step(Tick{h.local()})
	h.after(20*time.Millisecond, h.tick)
}

func (h *host) join() {
	h.after(500*time.Millisecond, h.join)
	if findID(h.node.members(), h.node.id) != nil {
		return
	}
	request := &wire.JoinRequest{Member: &wire.Member{Id: h.node.id, Name: h.name, Address: h.name}}
	h.w.send(h, h.w.hosts[h.w.rand.IntN(len(h.w.hosts))].name, request, func(proto.Message) {})
}

func (h *host) propose(data string) {
	h.token++
	h.step(Propose{At: h.local(), WallTime: time.Unix(1, 0), Items: []Proposal{{h.token, []byte(data)}}})
}

// step gives the node an event and performs the effects.
func (h *host) step(e Event) {
	wasLeader := h.node.role == Leader
	effects := h.node.Step(e, nil)
	if h.node.role == Leader && !wasLeader {
		h.w.checkLeader(h)
	}
	for _, effect := range effects {
		switch f := effect.(type) {
		case Save:
			h.write(diskWrite{save: &f})
		case SendRequest:
			h.ask(f)
		case SendReply:
			if reply := h.replies[f.Token]; reply != nil {
				delete(h.replies, f.Token)
				reply(f.Message)
			}
		case Apply:
			h.apply(f.Entries)
		case Restore:
			h.w.installs++
			h.restore(f.Snapshot)
		}
	}
	h.w.checkLeases()
}

func (h *host) write(d diskWrite) {
	h.unsynced = append(h.unsynced, d)
	h.after(h.w.pause(h.syncTime), func() { h.sync(len(h.unsynced)) })
}

// sync makes the writes that are queued durable, or fails.
func (h *host) sync(count int) {
	if h.broken {
		h.step(DiskFailed{h.local()})
		h.unsynced = nil
		return
	}
	for range min(count, len(h.unsynced)) {
		d := h.unsynced[0]
		h.unsynced = h.unsynced[1:]
		h.disk.write(d)
		if d.save != nil {
			h.step(Saved{h.local(), d.save.Seq})
		} else {
			h.step(Compacted{h.local(), d.compact})
		}
	}
}

func (d *disk) write(w diskWrite) {
	if w.compact != nil {
		d.snapshot = w.compact
		for len(d.entries) > 0 && d.entries[0].Index <= w.compact.Index {
			d.entries = d.entries[1:]
		}
		return
	}
	if w.save.State != nil {
		d.state = w.save.State
	}
	if w.save.Snapshot != nil {
		d.snapshot, d.entries = w.save.Snapshot, nil
	}
	for _, e := range w.save.Entries {
		for len(d.entries) > 0 && d.entries[len(d.entries)-1].Index >= e.Index {
			d.entries = d.entries[:len(d.entries)-1]
		}
		d.entries = append(d.entries[:len(d.entries):len(d.entries)], e)
	}
}

// holds returns whether the disk has the entry of an index and term.
func (d *disk) holds(index, term uint64) bool {
	if d.snapshot != nil && d.snapshot.Index >= index {
		return true
	}
	for _, e := range d.entries {
		if e.Index == index {
			return e.Term == term
		}
	}
	return false
}

// ask sends a request; exactly one outcome goes back to the node, but for duplicates.
func (h *host) ask(a SendRequest) {
	done := false
	h.w.send(h, string(a.Address), a.Message, func(m proto.Message) {
		if !done || h.w.rand.Float64() < 0.1 {
			done = true
			h.answered(a, m)
		}
	})
	h.after(time.Second, func() {
		if !done {
			done = true
			h.answered(a, nil)
		}
	})
}

func (h *host) answered(a SendRequest, m proto.Message) {
	switch q := a.Message.(type) {
	case *wire.VoteRequest:
		reply, _ := m.(*wire.VoteReply)
		h.step(VoteReplied{h.local(), a.To, q, reply})
	case *wire.AppendRequest:
		reply, _ := m.(*wire.AppendReply)
		h.step(AppendReplied{h.local(), a.To, q, reply})
	case *wire.InstallRequest:
		reply, _ := m.(*wire.InstallReply)
		h.step(InstallReplied{h.local(), a.To, q, reply})
	}
}

// send carries a message, and later its reply, with the network's faults.
func (w *world) send(from *host, to string, m proto.Message, reply func(proto.Message)) {
	dest := w.host(to)
	w.carry(from.name, to, func() {
		if dest.node == nil {
			return
		}
		dest.after(0, func() {
			dest.serve(m, func(answer proto.Message) {
				w.carry(to, from.name, func() { from.after(0, func() { reply(answer) }) })
			})
		})
	})
}

func (w *world) carry(from, to string, do func()) {
	copies := 1
	if w.rand.Float64() < w.late {
		copies = 2
	}
	for range copies {
		d := w.pause(w.delay)
		if w.rand.Float64() < w.late {
			d += w.pause(3 * time.Second)
		}
		if w.rand.Float64() < w.loss || w.blocked[[2]string{from, to}] {
			continue
		}
		w.after(d, do)
	}
}

func (h *host) serve(m proto.Message, reply func(proto.Message)) {
	h.token++
	h.replies[h.token] = reply
	switch q := m.(type) {
	case *wire.VoteRequest:
		h.step(VoteRequested{h.local(), h.token, q})
	case *wire.AppendRequest:
		h.step(AppendRequested{h.local(), h.token, q})
	case *wire.InstallRequest:
		h.step(InstallRequested{h.local(), h.token, q})
	case *wire.HandoverRequest:
		h.step(HandoverRequested{h.local(), h.token, q})
	case *wire.JoinRequest:
		h.step(JoinRequested{h.local(), time.Unix(1, 0), h.token, q})
	}
}

// apply checks that entries come in order and are the same on every host.
func (h *host) apply(entries []*wire.Entry) {
	for _, e := range entries {
		if e.Index != h.applied+1 {
			h.w.fail("%s applies %d after %d", h.name, e.Index, h.applied)
			return
		}
		h.applied, h.chain = e.Index, link(h.chain, e)
		h.w.checkCommit(h, e)
	}
	if h.applied >= h.stored+20 {
		h.stored = h.applied
		last := entries[len(entries)-1]
		h.write(diskWrite{compact: &wire.Snapshot{Index: last.Index, Term: last.Term, LogMs: last.LogMs,
			Members: h.w.membersAt(last.Index), State: binary.BigEndian.AppendUint64(make([]byte, 40), h.chain)}})
	}
}

func (h *host) restore(s *wire.Snapshot) {
	h.applied, h.stored = s.Index, s.Index
	h.chain = binary.BigEndian.Uint64(s.State[len(s.State)-8:])
	if h.chain != h.w.committed[s.Index-1].chain {
		h.w.fail("%s restores another state at %d", h.name, s.Index)
	}
}

func link(chain uint64, e *wire.Entry) uint64 {
	sum := fnv.New64a()
	text, _ := proto.MarshalOptions{Deterministic: true}.Marshal(e)
	_, _ = sum.Write(binary.BigEndian.AppendUint64(text, chain))
	return sum.Sum64()
}

func (w *world) membersAt(index uint64) *wire.Membership {
	for ; index > 0; index-- {
		if set := w.committed[index-1].set; set != nil {
			return set
		}
	}
	return nil
}

// leader returns the host that holds the leader lease, or nil.
func (w *world) leader() *host {
	for _, h := range w.hosts {
		if h.node != nil && h.frozen <= w.now && h.node.HasLease(h.local()) && h.node.lead.first <= h.node.commit {
			return h
		}
	}
	return nil
}

func (w *world) isolate(name string, cut bool) {
	for _, h := range w.hosts {
		if h.name != name {
			w.blocked[[2]string{h.name, name}], w.blocked[[2]string{name, h.name}] = cut, cut
		}
	}
}

// whole returns whether a leader has a committed membership of all hosts with their present disks.
func (w *world) whole() bool {
	l := w.leader()
	if l == nil || l.node.log.setIndex > l.node.commit || len(l.node.members()) != len(w.hosts) {
		return false
	}
	for _, m := range l.node.members() {
		if !m.Voter || w.lost[m.Id] {
			return false
		}
	}
	return true
}
