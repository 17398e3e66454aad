package observation

import (
	"bytes"
	"compress/gzip"
	"container/heap"
	"encoding/json"
	"fmt"
	"math/rand"
	"testing"
	"time"

	"github.com/matryer/is"

	"cuminfall.example/fleet/ident"
	"cuminfall.example/fleet/registry"
)

var epoch = time.Unix(0, 0)

// exchange sends a VM's report to a board and applies the reply.
func exchange(now time.Time, s *Set, b *Board, term ident.Term) *Reply {
	report := s.Report(now)
	reply := b.Exchange(now, term, report)
	s.Apply(now, term, report, reply)
	return reply
}

func TestFactReachesOtherVMsOnce(t *testing.T) {
	is := is.New(t)
	var a, b Set
	var board Board
	f := Fact{Kind: "k", Subject: "x"}
	is.True(a.Add(epoch, f, time.Minute))
	is.True(!a.Add(epoch, f, time.Minute))
	exchange(epoch.Add(time.Second), &a, &board, 1)
	report := b.Report(epoch.Add(2 * time.Second))
	reply := board.Exchange(epoch.Add(2*time.Second), 1, report)
	added := b.Apply(epoch.Add(3*time.Second), 1, report, reply)
	is.Equal(added, []Observation{{Fact: f, Age: 2 * time.Second, Left: 58 * time.Second}})
	is.Equal(len(b.Apply(epoch.Add(3*time.Second), 1, report, reply)), 0)
	is.Equal(len(b.Report(epoch.Add(4*time.Second)).Facts), 0)
	is.Equal(len(board.Exchange(epoch.Add(4*time.Second), 1, b.Report(epoch.Add(4*time.Second))).Facts), 0)
}

// Guards against two VMs that each take their own claim for the first one.
func TestVMsAgreeOnTheFirstClaim(t *testing.T) {
	is := is.New(t)
	var a, b Set
	var board Board
	ofA, ofB := Fact{Kind: "claim", VM: "a"}, Fact{Kind: "claim", VM: "b"}
	a.Add(epoch, ofA, time.Minute)
	b.Add(epoch, ofB, time.Minute)
	is.Equal(a.LeaderOrder(ofA), uint64(0))
	exchange(epoch, &b, &board, 1)
	exchange(epoch, &a, &board, 1)
	exchange(epoch, &b, &board, 1)
	for _, s := range []*Set{&a, &b} {
		is.Equal(s.LeaderOrder(ofB), uint64(1))
		is.Equal(s.LeaderOrder(ofA), uint64(2))
	}
}

// Guards against a fact that lives for ever because VMs and leaders exchange it again after it has expired at one of them.
func TestFactExpiresEverywhere(t *testing.T) {
	is := is.New(t)
	var a, b Set
	a.Add(epoch, Fact{Kind: "k"}, time.Minute)
	now := epoch
	for term := ident.Term(1); now.Before(epoch.Add(70 * time.Second)); term++ { // a new leader each second
		var board Board
		for range 2 {
			exchange(now, &a, &board, term)
			exchange(now.Add(100*time.Millisecond), &b, &board, term)
		}
		now = now.Add(time.Second)
	}
	a.Report(now)
	b.Report(now)
	is.Equal(a.Len()+b.Len(), 0)
}

func TestFactsAreBounded(t *testing.T) {
	is := is.New(t)
	var a, late Set
	var board Board
	now := epoch
	for i := range 5 * maxFacts {
		a.Add(now, Fact{Kind: "k", Subject: fmt.Sprint(i)}, time.Minute)
		if i%maxReportFacts == 0 {
			exchange(now, &a, &board, 1)
		}
		now = now.Add(time.Millisecond)
	}
	is.Equal(a.Len(), maxFacts)
	is.Equal(board.Len(), maxFacts)
	replies := 1
	for exchange(now, &late, &board, 1).More {
		replies++
	}
	is.Equal(replies, maxFacts/maxReplyFacts)
	is.Equal(late.Len(), maxFacts)
}

// Guards against replies that take long on a VM's link of 2 Mbit/s, 250 KB a second.
func TestLongestReplyIsShort(t *testing.T) {
	is := is.New(t)
	var board Board
	r := rand.New(rand.NewSource(1))
	for range maxReplyFacts {
		f := Fact{Kind: "answered", Subject: fmt.Sprintf("%016x%016x", r.Uint64(), r.Uint64()), Upstream: registry.UpstreamID(fmt.Sprintf("i-%010x", r.Intn(1<<40))), StartedAt: 1796000000000 + r.Int63n(1e9)}
		board.Exchange(epoch.Add(time.Duration(r.Int63n(1e9))), 1, &Report{Facts: []Observation{{Fact: f, Left: 10 * time.Minute}}})
	}
	data, err := json.Marshal(board.Exchange(epoch.Add(time.Second), 1, &Report{}))
	is.NoErr(err)
	var compressed bytes.Buffer
	w, err := gzip.NewWriterLevel(&compressed, gzip.BestSpeed)
	is.NoErr(err)
	_, err = w.Write(data)
	is.NoErr(err)
	is.NoErr(w.Close())
	t.Logf("%d bytes, %d compressed", len(data), compressed.Len())
	is.True(compressed.Len() < 64<<10)
}

func TestUnusableFactsAreIgnored(t *testing.T) {
	is := is.New(t)
	var board Board
	long := make([]byte, maxSubjectBytes+1)
	for _, o := range []Observation{{Left: time.Second}, {Fact: Fact{Kind: "k"}}, {Fact: Fact{Kind: "k"}, Left: -1}, {Fact: Fact{Kind: "k", Subject: string(long)}, Left: time.Second}} {
		board.Exchange(epoch, 1, &Report{Facts: []Observation{o}})
	}
	is.Equal(board.Len(), 0)
	board.Exchange(epoch, 1, &Report{Facts: []Observation{{Fact: Fact{Kind: "k"}, Age: -time.Hour, Left: 1000 * time.Hour}}})
	reply := board.Exchange(epoch.Add(maxLifetime-time.Millisecond), 1, &Report{})
	is.Equal(reply.Facts, []Observation{{Fact: Fact{Kind: "k"}, Age: maxLifetime - time.Millisecond, Left: time.Millisecond}})
	is.Equal(board.Exchange(epoch, 1, nil), nil)
	var s Set
	is.Equal(len(s.Apply(epoch, 1, &Report{}, nil)), 0)
}

// event is an action at a time of the simulation.
type event struct {
	at  time.Time
	run func()
}

type eventQueue []event

func (q eventQueue) Len() int           { return len(q) }
func (q eventQueue) Less(i, j int) bool { return q[i].at.Before(q[j].at) }
func (q eventQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)        { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

const (
	simulatedVMs  = 30
	reportPeriod  = 500 * time.Millisecond
	reportTimeout = 900 * time.Millisecond
	contactTime   = 4 * time.Second
	checkInterval = 500 * time.Millisecond
)

// simulation is a fleet of VMs that learn facts and report to one leader, with faults.
type simulation struct {
	t           *testing.T
	rand        *rand.Rand
	now         time.Time
	events      eventQueue
	term        ident.Term
	board       Board
	leaderSince time.Time
	vms         [simulatedVMs]*simulatedVM
	learned     []learning
	checked     int // facts that the VMs in contact were found to know
}

// simulatedVM is a VM, which can be cut off or restarted.
type simulatedVM struct {
	set          Set
	run          int       // number of restarts
	cut          bool      // has no contact with the leader
	inTouchSince time.Time // end of its last fault
}

// learning is a fact that a VM learned.
type learning struct {
	fact Fact
	at   time.Time
	vm   int
}

func (s *simulation) after(d time.Duration, run func()) {
	heap.Push(&s.events, event{s.now.Add(d), run})
}

func (s *simulation) delay() time.Duration {
	return time.Duration(1+s.rand.Intn(250)) * time.Millisecond
}

// lossRate is the fraction of messages that are lost. A loss is a fault of the VM that sent or expected the message.
const lossRate = 0.02

// send reports to the leader until the VM restarts.
func (s *simulation) send(i, run int) {
	vm := s.vms[i]
	if vm.run != run {
		return
	}
	report := vm.set.Report(s.now)
	wire, err := json.Marshal(report)
	if err != nil {
		s.t.Fatal(err)
	}
	resend := func() {
		vm.inTouchSince = s.now
		s.send(i, run)
	}
	if vm.cut || s.rand.Float64() < lossRate {
		s.after(reportTimeout, resend)
		return
	}
	lostReply := s.rand.Float64() < lossRate
	s.after(s.delay(), func() {
		var received Report
		if err := json.Unmarshal(wire, &received); err != nil {
			s.t.Fatal(err)
		}
		term := s.term
		reply := s.board.Exchange(s.now, term, &received)
		if vm.cut || lostReply {
			s.after(reportTimeout, resend)
			return
		}
		s.after(s.delay(), func() {
			if vm.run != run {
				return
			}
			vm.set.Apply(s.now, term, report, reply)
			pause := reportPeriod
			if reply.More {
				pause = 0
			}
			s.after(pause, func() { s.send(i, run) })
		})
	})
}

// fault changes the leader, restarts a VM, or cuts off half of the VMs for some seconds.
func (s *simulation) fault() {
	switch s.rand.Intn(3) {
	case 0:
		s.term++
		s.board, s.leaderSince = Board{}, s.now
	case 1:
		i := s.rand.Intn(simulatedVMs)
		vm := s.vms[i]
		vm.set, vm.run, vm.inTouchSince = Set{}, vm.run+1, s.now
		run := vm.run
		s.after(0, func() { s.send(i, run) })
	case 2:
		half := s.rand.Intn(2)
		for i, vm := range s.vms {
			if i%2 == half {
				vm.cut, vm.inTouchSince = true, s.now
			}
		}
		s.after(time.Duration(s.rand.Intn(9000))*time.Millisecond, func() {
			for i, vm := range s.vms {
				if i%2 == half {
					vm.cut, vm.inTouchSince = false, s.now
				}
			}
		})
	}
}

// inTouch reports whether the VM and the leader had no fault for contactTime before t.
func (s *simulation) inTouch(vm *simulatedVM) bool {
	return !vm.cut && s.now.Sub(vm.inTouchSince) >= contactTime && s.now.Sub(s.leaderSince) >= contactTime
}

// check compares what VMs know with what they and others learned. A fact may be unknown if the VM that learned it has
// had a fault since then, as it may have taken it along.
func (s *simulation) check() {
	for _, l := range s.learned {
		source := s.vms[l.vm]
		if s.now.Sub(l.at) < contactTime || !s.inTouch(source) || source.set.records.byFact[l.fact] == nil {
			continue
		}
		for i, vm := range s.vms {
			if s.inTouch(vm) {
				s.checked++
			}
			if s.inTouch(vm) && vm.set.records.byFact[l.fact] == nil {
				s.t.Fatalf("at %s VM %d lacks %v, which VM %d learned at %s", s.now.Sub(epoch), i, l.fact, l.vm, l.at.Sub(epoch))
			}
		}
	}
}

// Guards against a VM in contact that acts for longer than the contact window without what another VM in contact knows.
func TestVMsInContactShareFactsWithinContactWindow(t *testing.T) {
	for seed := range int64(8) {
		s := &simulation{t: t, rand: rand.New(rand.NewSource(seed)), now: epoch, term: 1}
		for i := range s.vms {
			s.vms[i] = &simulatedVM{}
			s.after(time.Duration(s.rand.Int63n(int64(reportPeriod))), func() { s.send(i, 0) })
		}
		const length = 90 * time.Second
		for at := time.Duration(0); at < length; at += time.Duration(s.rand.Intn(200)) * time.Millisecond {
			heap.Push(&s.events, event{epoch.Add(at), func() {
				i := s.rand.Intn(simulatedVMs)
				f := Fact{Kind: "k", Subject: fmt.Sprint(s.rand.Intn(300))}
				if s.vms[i].set.Add(s.now, f, 5*time.Minute) {
					s.learned = append(s.learned, learning{f, s.now, i})
				}
			}})
		}
		for at := 10 * time.Second; at < length-20*time.Second; at += time.Duration(2000+s.rand.Intn(10000)) * time.Millisecond {
			heap.Push(&s.events, event{epoch.Add(at), s.fault})
		}
		for at := time.Duration(0); at < length; at += checkInterval {
			heap.Push(&s.events, event{epoch.Add(at), s.check})
		}
		for len(s.events) > 0 && s.now.Before(epoch.Add(length)) {
			e := heap.Pop(&s.events).(event)
			s.now = e.at
			e.run()
		}
		s.check()
		t.Logf("seed %d: %d facts learned, %d checks", seed, len(s.learned), s.checked)
		if len(s.learned) < 100 || s.checked < 100*len(s.learned) {
			t.Errorf("seed %d: %d facts learned and %d checks are too few", seed, len(s.learned), s.checked)
		}
	}
}
