package consensus

import (
	"flag"
	"fmt"
	"math"
	"strings"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"

	"cuminfall.example/control/consensus/wire"
	"cuminfall.example/fleet/catalog"
	"cuminfall.example/fleet/fault"
	"cuminfall.example/fleet/ident"
	"cuminfall.example/fleet/registry"
)

var (
	firstHistory = flag.Uint64("history.first", 1, "first `seed` of TestConfigurationIsLinearizable")
	histories    = flag.Uint64("history.seeds", 20, "`number` of seeds of TestConfigurationIsLinearizable")
)

const (
	orderTimeout  = 900 * time.Millisecond // for which a member repeats an order
	orderRetry    = 60 * time.Millisecond
	callerTimeout = time.Second // after which an operator calls another member
)

// configMember is the part of a member that serves operators, on the simulated host: it proposes changes and reads the
// configuration as the leader, or has the leader do so.
type configMember struct {
	host     *host
	registry *registry.Registry
	byToken  map[Token]*configProposal
	byIndex  map[ident.Index]*configProposal
	barriers []configBarrier
}

type configProposal struct {
	term ident.Term
	done func(result registry.Result, err bool)
}

type configBarrier struct {
	index uint64
	done  func(version uint64, digest string, err bool)
}

func newConfigMember(h *host) machine {
	return &configMember{host: h, registry: registry.New(), byToken: map[Token]*configProposal{}, byIndex: map[ident.Index]*configProposal{}}
}

func (m *configMember) apply(e *wire.Entry) {
	var result registry.Result
	if e.Kind == wire.EntryKind_ENTRY_KIND_DATA {
		if command, err := registry.Decode(e.Data); err == nil {
			result = m.registry.Apply(ident.Index(e.Index), command)
		}
	}
	if p := m.byIndex[ident.Index(e.Index)]; p != nil {
		delete(m.byIndex, ident.Index(e.Index))
		p.done(result, p.term != ident.Term(e.Term))
	}
	waiting := m.barriers
	m.barriers = nil
	for _, b := range waiting {
		if b.index > e.Index {
			m.barriers = append(m.barriers, b)
			continue
		}
		m.reply(b.done)
	}
}

func (m *configMember) encode() []byte {
	data, err := m.registry.Encode()
	if err != nil {
		m.host.sim.reportViolation("%v", err)
	}
	return data
}

func (m *configMember) restore(data []byte) {
	if err := m.registry.Restore(data); err != nil {
		m.host.sim.reportViolation("%v", err)
	}
}

func (m *configMember) handle(e Effect) {
	switch f := e.(type) {
	case ProposalAccepted:
		if p := m.byToken[f.Token]; p != nil {
			delete(m.byToken, f.Token)
			p.term = f.Term
			m.byIndex[f.Index] = p
		}
	case RequestRejected:
		if p := m.byToken[f.Token]; p != nil {
			delete(m.byToken, f.Token)
			p.done(registry.Result{}, true)
		}
	case LeadershipLost:
		pending := m.byIndex
		m.byIndex = map[ident.Index]*configProposal{}
		for _, p := range pending {
			p.done(registry.Result{}, true)
		}
	}
}

func (m *configMember) leads() bool {
	h := m.host
	return h.node.HasLease(h.localTime()) && h.appliedIndex >= uint64(h.node.Status(h.localTime()).TermStart)
}

// propose replicates a command as the leader.
func (m *configMember) propose(data []byte, done func(registry.Result, bool)) {
	h := m.host
	if !m.leads() {
		done(registry.Result{}, true)
		return
	}
	h.token++
	m.byToken[h.token] = &configProposal{done: done}
	h.step(Propose{At: h.localTime(), WallTime: time.Unix(1, 0), Items: []Proposal{{h.token, data}}})
}

// read returns the version of the configuration after a barrier, as the leader.
func (m *configMember) read(done func(uint64, string, bool)) {
	h := m.host
	if !m.leads() {
		done(0, "", true)
		return
	}
	s := h.node.Status(h.localTime())
	if index := uint64(max(s.Committed, s.TermStart)); h.appliedIndex < index {
		m.barriers = append(m.barriers, configBarrier{index, done})
		return
	}
	m.reply(done)
}

// reply answers a read, if the member still leads.
func (m *configMember) reply(done func(uint64, string, bool)) {
	if !m.host.node.HasLease(m.host.localTime()) {
		done(0, "", true)
		return
	}
	digest := ""
	if n := len(m.registry.AcceptedDigests); n > 0 {
		digest = m.registry.AcceptedDigests[n-1]
	}
	done(uint64(m.registry.Version()), digest, false)
}

// atLeader calls f at the member that this one takes for the leader, and onReply with what f reports.
func (m *configMember) atLeader(f func(leader *configMember, report func(any)), onReply func(any)) {
	h := m.host
	if m.leads() {
		f(m, onReply)
		return
	}
	dest := h.sim.host(string(h.node.leaderAddress()))
	if dest == nil || dest == h {
		onReply(nil)
		return
	}
	h.sim.deliver(h.name, dest.name, func() {
		if dest.node == nil {
			return
		}
		dest.runAfter(0, func() {
			f(dest.machine.(*configMember), func(answer any) {
				h.sim.deliver(dest.name, h.name, func() { h.runAfter(0, func() { onReply(answer) }) })
			})
		})
	})
}

// submit replicates a command through the leader and repeats it until the outcome is known or the order is too old.
func (m *configMember) submit(data []byte, done func(registry.Result)) {
	h, receivedAt, ended := m.host, m.host.localTime(), false
	var attempt func()
	attempt = func() {
		if ended || h.localTime()-receivedAt > orderTimeout {
			return
		}
		m.atLeader(func(leader *configMember, report func(any)) {
			leader.propose(data, func(result registry.Result, err bool) {
				if err {
					report(nil)
				} else {
					report(result)
				}
			})
		}, func(answer any) {
			if result, ok := answer.(registry.Result); ok && !ended {
				ended = true
				done(result)
			}
		})
		h.runAfter(4*orderRetry, attempt)
	}
	attempt()
}

// configRead is the answer to a read.
type configRead struct {
	version uint64
	digest  string
}

// configChange is a change that an operator sent. Its output is a fault.Code, or empty if it was accepted.
type configChange struct {
	base, version uint64
	digest        string
}

// operator changes and reads the configuration at any member, and repeats what gets no answer at another one.
type operator struct {
	sim     *simulation
	id      int
	known   uint64 // version of the last answer
	serial  int
	history *[]porcupine.Operation
	unclear map[string]porcupine.Operation // changes without an answer, by digest
	stopped bool
}

func (o *operator) next() {
	if o.stopped {
		return
	}
	o.sim.runAfter(o.sim.randomDuration(150*time.Millisecond), func() {
		if o.sim.rand.IntN(5) < 3 {
			o.change()
		} else {
			o.read(o.sim.now, 3)
		}
	})
}

// call sends f to a random member and calls onAnswer with what it reports, or with nil after callerTimeout.
func (o *operator) call(f func(m *configMember, report func(any)), onAnswer func(any)) {
	ended := false
	end := func(answer any) {
		if !ended {
			ended = true
			onAnswer(answer)
		}
	}
	h := o.sim.hosts[o.sim.rand.IntN(len(o.sim.hosts))]
	o.sim.deliver("operator", h.name, func() {
		if h.node != nil {
			h.runAfter(0, func() {
				f(h.machine.(*configMember), func(answer any) { o.sim.deliver(h.name, "operator", func() { end(answer) }) })
			})
		}
	})
	o.sim.runAfter(callerTimeout, func() { end(nil) })
}

func (o *operator) change() {
	o.serial++
	c := configChange{base: o.known, digest: fmt.Sprint(o.id, ".", o.serial)}
	c.version = c.base + 1 + o.sim.rand.Uint64N(3)
	command := &catalog.Change{Digest: c.digest, Base: catalog.Version(c.base), Version: catalog.Version(c.version), Full: true}
	command.Routes, command.Services = map[string]catalog.Route{}, map[ident.Service]catalog.Service{}
	operation := porcupine.Operation{ClientId: o.id, Input: c, Call: int64(o.sim.now)}
	data := registry.Command{Change: command}.Encode()
	attempts := 0
	var attempt func()
	attempt = func() {
		attempts++
		o.call(func(m *configMember, report func(any)) {
			m.submit(data, func(result registry.Result) { report(result) })
		}, func(answer any) {
			result, ok := answer.(registry.Result)
			switch {
			case ok:
				operation.Output, operation.Return = result.Code, int64(o.sim.now)
				*o.history = append(*o.history, operation)
				if result.Code == "" {
					o.known = c.version
				}
			case attempts < 4:
				attempt()
				return
			default:
				o.unclear[c.digest] = operation
			}
			o.next()
		})
	}
	attempt()
}

func (o *operator) read(calledAt time.Duration, attempts int) {
	o.call(func(m *configMember, report func(any)) {
		m.atLeader(func(leader *configMember, reportBack func(any)) {
			leader.read(func(version uint64, digest string, err bool) {
				if err {
					reportBack(nil)
				} else {
					reportBack(configRead{version, digest})
				}
			})
		}, func(answer any) {
			if answer != nil {
				report(answer)
			}
		})
	}, func(answer any) {
		read, ok := answer.(configRead)
		switch {
		case ok:
			*o.history = append(*o.history, porcupine.Operation{ClientId: o.id, Output: read, Call: int64(calledAt), Return: int64(o.sim.now)})
			o.known = read.version
		case attempts > 1:
			o.read(calledAt, attempts-1)
			return
		}
		o.next()
	})
}

// configState is the state of the model.
type configState struct {
	configRead
	accepted string // digests, each between commas
}

var configModel = porcupine.Model{
	Init: func() any { return configState{accepted: ","} },
	Step: func(state, input, output any) (bool, any) {
		s := state.(configState)
		c, isChange := input.(configChange)
		switch {
		case !isChange:
			return s.configRead == output.(configRead), s
		case strings.Contains(s.accepted, ","+c.digest+","):
			return output == fault.Code(""), s
		case c.base != s.version:
			return output == fault.Conflict, s
		}
		return output == fault.Code(""), configState{configRead{c.version, c.digest}, s.accepted + c.digest + ","}
	},
	DescribeOperation: func(input, output any) string { return fmt.Sprintf("%+v -> %+v", input, output) },
}

// playHistory records what operators see while leaders are cut off, paused, crashed and handed over.
func playHistory(t *testing.T, seed uint64) []porcupine.Operation {
	t.Helper()
	sim := newSimulation(seed, 1, 0.96, 1.04, 1, 1.02)
	sim.newMachine = newConfigMember
	for _, h := range sim.hosts {
		h.machine = newConfigMember(h)
	}
	formGroup(t, sim)
	var history []porcupine.Operation
	operators := make([]*operator, 4)
	for i := range operators {
		operators[i] = &operator{sim: sim, id: i, history: &history, unclear: map[string]porcupine.Operation{}}
		operators[i].next()
	}
	for end := sim.now + 20*time.Second; sim.now < end; {
		span := sim.randomDuration(2 * time.Second)
		if l := sim.leaseHolder(); l != nil {
			switch sim.rand.IntN(6) {
			case 0:
				sim.setIsolated(l.name, true)
			case 1:
				l.frozenUntil = sim.now + span
			case 2:
				l.step(StartHandover{l.localTime()})
			case 3:
				l.crash()
				l.start()
			case 4:
				sim.blockedLinks[[2]string{l.name, sim.hosts[sim.rand.IntN(len(sim.hosts))].name}] = true
			case 5:
				sim.lossRate, sim.delayRate = 0.1, 0.1
			}
		}
		sim.advance(span)
		if sim.rand.IntN(2) == 0 {
			clear(sim.blockedLinks)
			sim.lossRate, sim.delayRate = 0, 0
		}
	}
	for _, o := range operators {
		o.stopped = true
	}
	clear(sim.blockedLinks)
	sim.lossRate, sim.delayRate = 0, 0
	sim.advance(15 * time.Second)
	if sim.violation != "" || sim.leaseHolder() == nil {
		t.Fatalf("seed %d: no leader at the end, or an invariant is violated: %s", seed, sim.violation)
	}
	accepted := map[string]bool{}
	for _, digest := range sim.leaseHolder().machine.(*configMember).registry.AcceptedDigests {
		accepted[digest] = true
	}
	for _, o := range operators {
		for digest, operation := range o.unclear { // what was not accepted by the end had no effect
			if accepted[digest] {
				operation.Output, operation.Return = fault.Code(""), math.MaxInt64
				history = append(history, operation)
			}
		}
	}
	return history
}

// Guards against acknowledged changes that are lost, two accepted changes of one version, and reads of an older version
// than one that was acknowledged before, around hand-overs and while former leaders are cut off or paused.
func TestConfigurationIsLinearizable(t *testing.T) {
	reads, changes, unclear := 0, 0, 0
	for seed := *firstHistory; seed < *firstHistory+*histories; seed++ {
		history := playHistory(t, seed)
		for _, operation := range history {
			switch {
			case operation.Input == nil:
				reads++
			case operation.Return == math.MaxInt64:
				unclear++
			case operation.Output == fault.Code(""):
				changes++
			}
		}
		if result := porcupine.CheckOperationsTimeout(configModel, history, 30*time.Second); result != porcupine.Ok {
			t.Errorf("seed %d: the history of %d operations is %s, expected a linearizable one", seed, len(history), result)
		}
	}
	t.Logf("%d reads, %d accepted changes, %d accepted without an answer", reads, changes, unclear)
	if reads == 0 || changes == 0 {
		t.Error("the operators must read and change the configuration")
	}
}
