package router

import (
	"flag"
	"fmt"
	"math"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"cuminfall.example/fleet/document"
	"cuminfall.example/fleet/fault"
	"cuminfall.example/fleet/ident"
	"cuminfall.example/fleet/limit"
	"cuminfall.example/fleet/rpc"
)

// TestMain fixes the seed of property tests, so that every run gives the same
// verdict; flags on the command line take precedence.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "7", "rapid.steps": "100", "rapid.checks": "250", "rapid.nofailfile": "true", "rapid.shrinktime": "2s"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	flag.Parse()
	os.Exit(m.Run())
}

// course is what the model knows of one request.
type course struct {
	service  *document.Service
	key      ident.KeyID
	deadline time.Time
	claims   int
	granted  bool
	send     Send // of the running attempt
	running  bool
	attempts uint8
	ran      bool // an attempt ended after a byte was sent
	ended    bool
}

// spending checks one flow against its share: every window within one share
// and one lease has at most rate x t + burst of it.
type spending struct {
	rate, burst float64
	times       []time.Time
	amounts     []float64
	total       float64
	since       time.Time
	empty       bool // began empty, after a lapse
}

func (s *spending) begin(at time.Time, rate, burst float64, empty bool) {
	*s = spending{rate: rate, burst: burst, since: at, empty: empty}
}

func (s *spending) spend(t *rapid.T, at time.Time, n float64) {
	s.times, s.amounts, s.total = append(s.times, at), append(s.amounts, n), s.total+n
	sum := 0.0
	for i := len(s.times) - 1; i >= 0; i-- {
		sum += s.amounts[i]
		if window := at.Sub(s.times[i]); sum > s.burst+s.rate*window.Seconds()+1e-3 {
			t.Fatalf("%g in %s exceed rate %g and burst %g", sum, window, s.rate, s.burst)
		}
	}
	if s.empty && s.total > s.rate*at.Sub(s.since).Seconds()+1e-3 {
		t.Fatalf("%g in %s after a lapse", s.total, at.Sub(s.since))
	}
}

type delivery struct {
	sent  time.Time
	reply *rpc.SyncReply
}

// model drives a router with random events and checks each effect against its
// own account of what control said and what runs where.
type model struct {
	t      *rapid.T
	p      *plant
	r      *Router
	now    time.Time
	nextID RequestID

	courses   map[RequestID]*course
	running   []RequestID
	claiming  []RequestID
	replies   []delivery
	past      []delivery
	old       []AttemptEnded
	used      map[ident.Address]uint32
	lingering []lingerer
	spendings map[ident.Workspace]*spending
	ground    *ground

	held   rpc.Versions // versions that the router must hold
	keys   map[ident.KeyID]bool
	slots  map[ident.Address]uint32
	flows  map[ident.Workspace]*rpc.Allotment
	proven time.Time
	until  time.Time
}

func newModel(t *rapid.T) *model {
	p := newPlant()
	// The longer lease outlives the freshness limit, which must hold without its help.
	p.lease = rapid.SampledFrom([]time.Duration{3 * time.Second, 6 * time.Second}).Draw(t, "lease")
	for i := range 2 {
		p.share(limit.OfWorkspace(workspaceName(i)), 20, 5, 0)
	}
	for i, a := range []string{"a1", "a2", "b1"} {
		p.upstream("read", fmt.Sprint("127.0.0.1:1", i), a, 2)
		p.upstream("book", fmt.Sprint("127.0.0.1:2", i), a, 1)
	}
	return &model{
		t: t, p: p, r: New(Config{VM: "v0", Domain: "a1", MaxQueue: 4}), now: epoch,
		courses: make(map[RequestID]*course), used: make(map[ident.Address]uint32),
		spendings: map[ident.Workspace]*spending{"w0": {}, "w1": {}},
		keys:      make(map[ident.KeyID]bool), slots: make(map[ident.Address]uint32),
		flows: make(map[ident.Workspace]*rpc.Allotment), ground: newGround(),
	}
}

func (m *model) step(e Event) []Effect {
	m.releaseDue()
	out := m.r.Step(e, nil)
	for _, effect := range out {
		switch f := effect.(type) {
		case *Send:
			m.checkSend(*f)
		case *Claim:
			m.checkClaim(f.ID)
		case *Done:
			m.end(f.ID)
		case *Refuse:
			c := m.courses[f.ID]
			if (f.Fault.Execution == fault.NotExecuted) == c.ran && f.Fault.Code != fault.Pending {
				m.t.Fatalf("request %d refused as %q (%s), ran: %v", f.ID, f.Fault.Execution, f.Fault.Code, c.ran)
			}
			m.end(f.ID)
		}
	}
	m.checkShifts()
	if n, ok := m.r.Next(); m.r.Waiting() > 0 && (!ok || !n.After(m.r.now)) {
		m.t.Fatalf("requests wait, and the next tick is due at %v, %v", n, ok)
	}
	m.checkIdleCapacity()
	return out
}

// checkIdleCapacity fails when a request waits although it could start.
func (m *model) checkIdleCapacity() {
	if !m.r.Fresh(m.r.now) {
		return
	}
	for _, s := range m.r.view.serviceList {
		for _, u := range s.active {
			q := u.head()
			if s.NonIdempotent && u.ahead.count >= mostAhead {
				continue
			}
			need, kept := 1.0, float64(u.workspace.claiming+u.workspace.promised)
			if s.NonIdempotent && !q.claimed {
				need += kept
			} else if !q.claimed {
				need = max(1, min(1+kept, math.Floor(u.workspace.share.GetBurst())))
			}
			if u.workspace.bucket.Tokens(m.r.now) >= need && (s.NonIdempotent && !q.claimed || m.r.pick(q, nil) != nil) {
				m.t.Fatalf("request %d waits for %s although it could start", q.id, s.Name)
			}
		}
	}
}

func (m *model) end(id RequestID) {
	c := m.courses[id]
	if c == nil || c.ended || c.running {
		m.t.Fatalf("request %d ended twice, unknown or while it runs", id)
	}
	c.ended = true
}

func (m *model) checkClaim(id RequestID) {
	c := m.courses[id]
	if c.ended || c.claims > 0 || !c.service.NonIdempotent {
		m.t.Fatalf("claim of request %d: %+v", id, c)
	}
	c.claims++
	m.claiming = append(m.claiming, id)
}

func (m *model) checkSend(s Send) {
	c := m.courses[s.ID]
	switch {
	case c.ended || c.running || c.attempts >= 3 || s.Attempt != c.attempts+1:
		m.t.Fatalf("request %d sent out of turn: %+v", s.ID, c)
	case s.NonIdempotent && (!c.granted || c.ran):
		m.t.Fatalf("non-idempotent request %d sent: %+v", s.ID, c)
	case !m.now.Before(m.until):
		m.t.Fatalf("request %d sent without a lease", s.ID)
	case m.now.Sub(m.proven) > DefaultMaxViewAge:
		m.t.Fatalf("request %d sent with a stale view", s.ID)
	case !m.keys[c.key]:
		m.t.Fatalf("request %d sent with a withdrawn key", s.ID)
	case m.used[s.Endpoint] >= m.slots[s.Endpoint]:
		m.t.Fatalf("request %d sent to %s above its share", s.ID, s.Endpoint)
	case !m.now.Before(c.deadline):
		m.t.Fatalf("request %d sent after its deadline", s.ID)
	}
	m.spendings[s.Workspace].spend(m.t, m.now, 1)
	m.checkPlace(s)
	m.used[s.Endpoint]++
	c.running, c.attempts, c.send = true, s.Attempt, s
	m.running = append(m.running, s.ID)
}

func (m *model) pass(t *rapid.T) {
	m.now = m.now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond)
	if rapid.IntRange(0, 7).Draw(t, "pause") == 0 {
		m.now = m.now.Add(3 * time.Second)
	}
	if due, ok := m.r.Next(); ok && rapid.Bool().Draw(t, "due") && due.After(m.now) && due.Sub(m.now) < time.Second {
		m.now = due
	}
	if rapid.Bool().Draw(t, "tick") {
		m.step(&Tick{At: m.now})
	}
}

func (m *model) arrive(t *rapid.T) {
	for range rapid.IntRange(1, 6).Draw(t, "n") {
		m.nextID++
		w := rapid.IntRange(0, 2).Draw(t, "workspace") // key k2 is never granted
		e := read(m.nextID, m.now)
		if rapid.Bool().Draw(t, "once") {
			e = book(m.nextID, m.now)
		}
		e.KeyID = ident.KeyID(fmt.Sprint("k", w))
		e.Deadline = m.now.Add(time.Duration(rapid.IntRange(1, 9000).Draw(t, "timeout")) * time.Millisecond)
		c := &course{key: e.KeyID, deadline: e.Deadline, service: &m.p.doc.Services.Services[0]}
		if e.IdempotencyKey != "" {
			c.service = &m.p.doc.Services.Services[1]
		}
		m.courses[e.ID] = c
		m.step(e)
		if rapid.IntRange(0, 9).Draw(t, "again") == 0 && !c.ended {
			m.step(e)
		}
	}
}

// take removes a random element, or leaves it there to be delivered again.
func take(t *rapid.T, list *[]RequestID) (RequestID, bool) {
	if len(*list) == 0 {
		return 0, false
	}
	i := rapid.IntRange(0, len(*list)-1).Draw(t, "which")
	id := (*list)[i]
	if rapid.IntRange(0, 5).Draw(t, "repeat") > 0 {
		*list = append((*list)[:i], (*list)[i+1:]...)
	}
	return id, true
}

func (m *model) answerClaim(t *rapid.T) {
	id, ok := take(t, &m.claiming)
	if !ok || rapid.IntRange(0, 5).Draw(t, "lost") == 0 {
		return
	}
	e := &ClaimResult{At: m.now, ID: id, State: rpc.ClaimState(rapid.SampledFrom([]int{1, 1, 1, 1, 2, 3, 4}).Draw(t, "state"))}
	if rapid.IntRange(0, 9).Draw(t, "failure") == 0 {
		e.Failure = fault.New(fault.Leader, "claim", "c0", "not the leader")
	} else if e.State == rpc.ClaimState_CLAIM_STATE_GRANTED {
		m.courses[id].granted = true
	}
	m.step(e)
}

func (m *model) endAttempt(t *rapid.T) {
	if len(m.running) == 0 {
		return
	}
	i := rapid.IntRange(0, len(m.running)-1).Draw(t, "which")
	id := m.running[i]
	m.running = append(m.running[:i], m.running[i+1:]...)
	outcome := rapid.SampledFrom([]Outcome{Answered, Answered, NotSent, Shed, Broken, Truncated, Abandoned}).Draw(t, "outcome")
	m.finishAttempt(id, outcome, rapid.IntRange(0, 4).Draw(t, "fresh") > 0)
}

func (m *model) finishAttempt(id RequestID, outcome Outcome, fresh bool) {
	c := m.courses[id]
	c.running = false
	givenUp := (outcome == Broken || outcome == Truncated || outcome == Abandoned) && id%3 == 0
	if givenUp {
		m.lingering = append(m.lingering, lingerer{c.send.Endpoint, m.now.Add(linger)})
	} else {
		m.release(c.send.Endpoint)
	}
	c.ran = c.ran || outcome == Broken
	e := AttemptEnded{At: m.now, ID: id, Attempt: c.attempts, Outcome: outcome, Resendable: fresh, Reused: id%2 == 0, Aborted: givenUp}
	m.old = append(m.old, e)
	m.step(&e)
	if !c.ended && (outcome == Answered || outcome == Abandoned || outcome == Truncated || c.service.NonIdempotent && outcome == Broken) {
		m.t.Fatalf("request %d goes on after outcome %d", id, outcome)
	}
}

// lingerer is the slot of an attempt that its upstream may still run.
type lingerer struct {
	endpoint ident.Address
	until    time.Time
}

func (m *model) release(a ident.Address) {
	m.used[a]--
	m.ground.used[regionOf(m.upstreamAt(a).Domain)]--
}

// releaseDue releases the slots of attempts that were given up long enough ago.
func (m *model) releaseDue() {
	for len(m.lingering) > 0 && !m.now.Before(m.lingering[0].until) {
		m.release(m.lingering[0].endpoint)
		m.lingering = m.lingering[1:]
	}
}

func (m *model) repeatEnded(t *rapid.T) {
	if len(m.old) > 0 {
		e := rapid.SampledFrom(m.old).Draw(t, "old")
		e.At = m.now.Add(-time.Second)
		m.step(&e)
	}
}

func (m *model) cancel(t *rapid.T) {
	if m.nextID > 0 {
		m.step(&RequestCancelled{At: m.now, ID: RequestID(rapid.Uint64Range(1, uint64(m.nextID)).Draw(t, "id"))})
	}
}

// change makes control accept a change of keys or shares.
func (m *model) change(t *rapid.T) {
	w := rapid.IntRange(0, 1).Draw(t, "workspace")
	switch rapid.IntRange(0, 2).Draw(t, "what") {
	case 0:
		k := &m.p.doc.Workspaces.Workspaces[w].Keys[0]
		k.Withdrawn = !k.Withdrawn
	case 1:
		m.p.share(limit.OfWorkspace(workspaceName(w)), float64(rapid.IntRange(0, 20).Draw(t, "rate")), float64(rapid.IntRange(0, 5).Draw(t, "burst")), 0)
	case 2:
		u := rapid.SampledFrom(m.p.upstreams).Draw(t, "upstream")
		m.p.share(limit.OfSlots(ident.Address(u.Address)), 0, 0, uint32(rapid.IntRange(0, 3).Draw(t, "slots")))
	}
	m.exchange(t)
}

// exchange begins a session exchange; its reply may be delivered late, twice or never.
func (m *model) exchange(t *rapid.T) {
	m.releaseDue()
	m.r.advance(m.now)
	reported := usedOf(m.r)
	for a, n := range m.used {
		if got := reported[string(limit.OfSlots(a))]; got != n {
			t.Fatalf("%d slots of %s reported in use, want %d", got, a, n)
		}
	}
	d := delivery{sent: m.now, reply: m.p.reply(t)}
	if rapid.Bool().Draw(t, "same") {
		d.reply = m.p.same()
	}
	m.replies = append(m.replies, d)
	m.past = append(m.past, d)
}

func (m *model) deliver(t *rapid.T) {
	if len(m.replies) == 0 {
		m.exchange(t)
	}
	i := rapid.IntRange(0, len(m.replies)-1).Draw(t, "which")
	d := m.replies[i]
	m.replies = append(m.replies[:i], m.replies[i+1:]...)
	if rapid.IntRange(0, 5).Draw(t, "lost") > 0 {
		m.apply(d)
	}
}

// deliverOld presents an earlier state as the answer to a new exchange.
func (m *model) deliverOld(t *rapid.T) {
	if len(m.past) > 0 {
		m.apply(delivery{sent: m.now, reply: rapid.SampledFrom(m.past).Draw(t, "old").reply})
	}
}

func (m *model) apply(d delivery) {
	got := d.reply.Versions
	if d.reply.Config != nil && got.Config > m.held.Config {
		m.held.Config = got.Config
		m.readPlaces(d.reply.Config)
		for _, s := range d.reply.Config.Sections {
			if s.Name == string(document.WorkspacesSection) {
				m.readKeys(s.Text)
			}
		}
	}
	if d.reply.Allotments != nil && got.Allotments > m.held.Allotments {
		m.held.Allotments = got.Allotments
		m.readShares(d.reply.Allotments.Allotments)
		m.readPlaceShares(d.reply.Allotments.Allotments)
	}
	if got.Config == m.held.Config && m.held.Config > 0 && d.sent.After(m.proven) {
		m.proven = d.sent
	}
	until := d.sent.Add(time.Duration(d.reply.LeaseMs) * time.Millisecond)
	if got.Allotments == m.held.Allotments && m.held.Allotments > 0 && until.After(m.until) {
		if !m.now.Before(m.until) {
			for w, s := range m.spendings {
				s.begin(m.now, m.flows[w].GetRate(), m.flows[w].GetBurst(), true)
			}
			m.ground.lapse(m.now)
		}
		m.until = until
	}
	m.step(&Synced{At: m.now, Sent: d.sent, Reply: d.reply})
	if h := m.r.Versions(); h.Config != m.held.Config || m.r.view.allotments != m.held.Allotments {
		m.t.Fatalf("router holds %v, want %v", h, &m.held)
	}
}

func (m *model) readKeys(text string) {
	part, err := document.Parse(document.WorkspacesSection, text)
	if err != nil {
		m.t.Fatal(err)
	}
	for _, w := range part.(*document.Workspaces).Workspaces {
		m.keys[w.Keys[0].ID] = !w.Keys[0].Withdrawn
	}
}

func (m *model) readShares(list []*rpc.Allotment) {
	for _, a := range list {
		switch kind, name := limit.Split(ident.Limit(a.Limit)); kind {
		case limit.Slots:
			m.slots[ident.Address(name)] = a.Count
		case limit.Workspace:
			w := ident.Workspace(name)
			if old := m.flows[w]; old.GetRate() != a.Rate || old.GetBurst() != a.Burst {
				m.spendings[w].begin(m.now, a.Rate, a.Burst, false)
			}
			m.flows[w] = a
		}
	}
}

// settle ends everything that is still open and checks that every request has ended.
func (m *model) settle() {
	for len(m.running) > 0 {
		id := m.running[0]
		m.running = m.running[1:]
		m.finishAttempt(id, Answered, true)
	}
	for range 4 {
		m.now = m.now.Add(10 * time.Second)
		m.step(&Tick{At: m.now})
	}
	for id, c := range m.courses {
		if !c.ended {
			m.t.Fatalf("request %d has no end: %+v", id, c)
		}
	}
	if len(m.r.requests) > 0 || m.r.Waiting() > 0 || len(m.r.timers.heap) > 0 {
		m.t.Fatalf("router keeps %d requests", len(m.r.requests))
	}
}

// Guards against lost, doubled or unauthorized requests when events come late, twice, crossed or never.
func TestEveryRequestEndsOnceWithinItsShares(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t)
		m.apply(delivery{sent: m.now, reply: m.p.reply(t)})
		t.Repeat(map[string]func(*rapid.T){
			"pass": m.pass, "arrive": m.arrive, "arrive more": m.arrive, "claim": m.answerClaim,
			"claim more": m.answerClaim, "ended": m.endAttempt, "ended more": m.endAttempt,
			"ended again": m.repeatEnded, "cancel": m.cancel, "change": m.change,
			"exchange": m.exchange, "deliver": m.deliver, "deliver more": m.deliver, "deliver old": m.deliverOld,
			"change places": m.changePlaces, "transfer": m.transfer, "transfer more": m.transfer,
		})
		m.settle()
	})
}
