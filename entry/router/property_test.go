package router

import (
	"flag"
	"fmt"
	"math"
	"os"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"cuminfall.example/fleet/document"
	"cuminfall.example/fleet/fault"
	"cuminfall.example/fleet/ident"
	"cuminfall.example/fleet/limit"
	"cuminfall.example/fleet/rpc"
)

// TestMain fixes the seed of the property tests, so that every run gives the same
// result. Flags on the command line take precedence.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "7", "rapid.steps": "100", "rapid.checks": "250", "rapid.nofailfile": "true", "rapid.shrinktime": "2s"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	flag.Parse()
	os.Exit(m.Run())
}

// requestModel is the model's account of one request.
type requestModel struct {
	service      *document.Service
	key          ident.KeyID
	deadline     time.Time
	claims       int
	claimGranted bool
	send         Send // of the running attempt
	running      bool
	starting     bool // no byte of the running attempt is written yet
	withheld     bool // the router did not let the running attempt be sent
	attempts     uint8
	lapsed       uint8 // attempts of which no byte was sent in time
	mayHaveRun   bool  // an attempt ended after a byte was sent
	ended        bool
}

// rateUsage checks what is used of one rate limit. While the share and the lease
// last, any window of length t may use at most rate x t + burst.
type rateUsage struct {
	rate, burst  float64
	times        []time.Time
	amounts      []float64
	total        float64
	since        time.Time
	startedEmpty bool // the bucket was empty at the start, because the lease had expired
}

func (s *rateUsage) reset(at time.Time, rate, burst float64, empty bool) {
	*s = rateUsage{rate: rate, burst: burst, since: at, startedEmpty: empty}
}

func (s *rateUsage) use(t *rapid.T, at time.Time, n float64) {
	s.times, s.amounts, s.total = append(s.times, at), append(s.amounts, n), s.total+n
	sum := 0.0
	for i := len(s.times) - 1; i >= 0; i-- {
		sum += s.amounts[i]
		if window := at.Sub(s.times[i]); sum > s.burst+s.rate*window.Seconds()+1e-3 {
			t.Fatalf("%g in %s exceed rate %g and burst %g", sum, window, s.rate, s.burst)
		}
	}
	if s.startedEmpty && s.total > s.rate*at.Sub(s.since).Seconds()+1e-3 {
		t.Fatalf("%g in %s exceed the rate after the lease expired", s.total, at.Sub(s.since))
	}
}

type delivery struct {
	sent  time.Time
	reply *rpc.SyncReply
}

// model drives a router with random events. It checks each effect against its own
// account of control's replies and of the requests that run.
type model struct {
	t      *rapid.T
	fleet  *testFleet
	router *Router
	now    time.Time
	nextID RequestID

	requests       map[RequestID]*requestModel
	running        []RequestID
	slowSends      bool // attempts are sent some time after their dispatch
	claiming       []RequestID
	pendingReplies []delivery
	pastReplies    []delivery
	pastEnds       []AttemptEnded
	usedSlots      map[ident.Address]uint32
	heldSlots      []heldSlot
	workspaceUsage map[ident.Workspace]*rateUsage
	topology       *topologyModel

	wantVersions    rpc.Versions // versions that the router must report
	validKeys       map[ident.KeyID]bool
	slotShares      map[ident.Address]uint32
	workspaceShares map[ident.Workspace]*rpc.Allotment
	confirmedAt     time.Time
	leaseExpiry     time.Time
}

func newModel(t *rapid.T) *model {
	fleet := newTestFleet()
	// The longer lease lasts longer than MaxViewAge, which must have its effect also
	// while the lease is valid.
	fleet.lease = rapid.SampledFrom([]time.Duration{3 * time.Second, 6 * time.Second}).Draw(t, "lease")
	for i := range 2 {
		fleet.setShare(limit.OfWorkspace(workspaceName(i)), 20, 5, 0)
	}
	for i, a := range []string{"a1", "a2", "b1"} {
		fleet.addUpstream("read", fmt.Sprint("127.0.0.1:1", i), a, 2)
		fleet.addUpstream("book", fmt.Sprint("127.0.0.1:2", i), a, 1)
	}
	return &model{
		t: t, fleet: fleet, router: New(Config{VM: "v0", Domain: "a1", MaxQueue: 4}), now: epoch,
		requests: make(map[RequestID]*requestModel), usedSlots: make(map[ident.Address]uint32),
		workspaceUsage: map[ident.Workspace]*rateUsage{"w0": {}, "w1": {}},
		validKeys:      make(map[ident.KeyID]bool), slotShares: make(map[ident.Address]uint32),
		workspaceShares: make(map[ident.Workspace]*rpc.Allotment), topology: newTopologyModel(),
	}
}

func (m *model) step(e Event) []Effect {
	m.releaseExpiredSlots()
	out := m.router.Step(e, nil)
	var dispatched []RequestID
	for _, effect := range out {
		switch f := effect.(type) {
		case *Send:
			m.checkDispatch(*f)
			dispatched = append(dispatched, f.ID)
		case *Lapse:
			m.requests[f.ID].withheld = true
		case *Claim:
			m.checkClaim(f.ID)
		case *Done:
			m.endRequest(f.ID)
		case *Refuse:
			c := m.requests[f.ID]
			if (f.Fault.Execution == fault.NotExecuted) == c.mayHaveRun && f.Fault.Code != fault.Pending {
				m.t.Fatalf("request %d refused with execution %q and code %s, may have run: %v", f.ID, f.Fault.Execution, f.Fault.Code, c.mayHaveRun)
			}
			m.endRequest(f.ID)
		}
	}
	m.checkShifts(out)
	if n, ok := m.router.NextTick(); m.router.Waiting() > 0 && (!ok || !n.After(m.router.now)) {
		m.t.Fatalf("requests wait, and the next tick is due at %v (%v), want a later time", n, ok)
	}
	m.checkIdleCapacity()
	for _, id := range dispatched {
		if !m.slowSends {
			m.startSend(id)
		}
	}
	return out
}

// startSend writes the first byte of a running attempt, unless it is written. If the router does not let it, the attempt
// ends, and startSend returns false.
func (m *model) startSend(id RequestID) bool {
	c := m.requests[id]
	if !c.starting {
		return true
	}
	c.starting = false
	m.step(&SendStarting{At: m.now, ID: id, Attempt: c.attempts})
	if !c.withheld {
		m.checkSend(c)
		return true
	}
	m.stopRunning(id)
	m.finishAttempt(id, Lapsed, true)
	return false
}

func (m *model) stopRunning(id RequestID) {
	m.running = slices.DeleteFunc(m.running, func(other RequestID) bool { return other == id })
}

// startRandomSend writes the first byte of an attempt that was dispatched some time ago.
func (m *model) startRandomSend(t *rapid.T) {
	if len(m.running) > 0 {
		m.startSend(rapid.SampledFrom(m.running).Draw(t, "start"))
	}
}

// checkIdleCapacity fails if a request waits although it could start.
func (m *model) checkIdleCapacity() {
	if !m.router.Fresh(m.router.now) {
		return
	}
	for _, s := range m.router.view.serviceList {
		for _, u := range s.activeQueues {
			q := u.head()
			if s.NonIdempotent && u.expedited.count >= maxClaimsAhead {
				continue
			}
			need, reserved := 1.0, float64(u.workspace.claiming+u.workspace.claimedWaiting)
			if s.NonIdempotent && !q.claimed {
				need += reserved
			} else if !q.claimed {
				need = max(1, min(1+reserved, math.Floor(u.workspace.share.GetBurst())))
			}
			if u.workspace.bucket.Tokens(m.router.now) >= need && (s.NonIdempotent && !q.claimed || m.router.pickEndpoint(q, nil) != nil) {
				m.t.Fatalf("request %d waits for %s although it could start", q.id, s.Name)
			}
		}
	}
}

func (m *model) endRequest(id RequestID) {
	c := m.requests[id]
	if c == nil || c.ended || c.running {
		m.t.Fatalf("request %d ended twice, is unknown or still runs", id)
	}
	c.ended = true
}

func (m *model) checkClaim(id RequestID) {
	c := m.requests[id]
	if c.ended || c.claims > 0 || !c.service.NonIdempotent {
		m.t.Fatalf("unexpected claim of request %d: %+v", id, c)
	}
	c.claims++
	m.claiming = append(m.claiming, id)
}

// checkDispatch fails if an attempt must not be dispatched.
func (m *model) checkDispatch(s Send) {
	c := m.requests[s.ID]
	switch {
	case c.ended || c.running || c.attempts-c.lapsed >= 3 || s.Attempt != c.attempts+1:
		m.t.Fatalf("request %d dispatched after its end, while it runs or with a wrong attempt number: %+v", s.ID, c)
	case s.NonIdempotent && (!c.claimGranted || c.mayHaveRun):
		m.t.Fatalf("non-idempotent request %d dispatched without a claim or a second time: %+v", s.ID, c)
	case !m.validKeys[c.key]:
		m.t.Fatalf("request %d dispatched with a withdrawn key", s.ID)
	case m.usedSlots[s.Endpoint] >= m.slotShares[s.Endpoint]:
		m.t.Fatalf("request %d dispatched to %s above its share", s.ID, s.Endpoint)
	}
	m.checkTopology(s)
	m.usedSlots[s.Endpoint]++
	c.running, c.attempts, c.send, c.starting, c.withheld = true, s.Attempt, s, true, false
	m.running = append(m.running, s.ID)
}

// checkSend fails if the first byte of an attempt must not be written now.
func (m *model) checkSend(c *requestModel) {
	id := c.send.ID
	switch {
	case !m.now.Before(m.leaseExpiry):
		m.t.Fatalf("request %d sent without a lease", id)
	case m.now.Sub(m.confirmedAt) > DefaultMaxViewAge:
		m.t.Fatalf("request %d sent with a stale view", id)
	case !m.now.Before(c.deadline):
		m.t.Fatalf("request %d sent after its deadline", id)
	}
	m.workspaceUsage[c.send.Workspace].use(m.t, m.now, 1)
}

func (m *model) advanceTime(t *rapid.T) {
	m.now = m.now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond)
	if rapid.IntRange(0, 7).Draw(t, "pause") == 0 {
		m.now = m.now.Add(3 * time.Second)
	}
	if due, ok := m.router.NextTick(); ok && rapid.Bool().Draw(t, "due") && due.After(m.now) && due.Sub(m.now) < time.Second {
		m.now = due
	}
	if rapid.Bool().Draw(t, "tick") {
		m.step(&Tick{At: m.now})
	}
}

func (m *model) arriveRequests(t *rapid.T) {
	for range rapid.IntRange(1, 6).Draw(t, "n") {
		m.nextID++
		w := rapid.IntRange(0, 2).Draw(t, "workspace") // key k2 does not exist
		e := newRead(m.nextID, m.now)
		if rapid.Bool().Draw(t, "once") {
			e = newBook(m.nextID, m.now)
		}
		e.KeyID = ident.KeyID(fmt.Sprint("k", w))
		e.Deadline = m.now.Add(time.Duration(rapid.IntRange(1, 9000).Draw(t, "timeout")) * time.Millisecond)
		c := &requestModel{key: e.KeyID, deadline: e.Deadline, service: &m.fleet.document.Services.Services[0]}
		if e.IdempotencyKey != "" {
			c.service = &m.fleet.document.Services.Services[1]
		}
		m.requests[e.ID] = c
		m.step(e)
		if rapid.IntRange(0, 9).Draw(t, "again") == 0 && !c.ended {
			m.step(e)
		}
	}
}

// drawRequest returns a random element. It usually removes it, and otherwise leaves
// it in the list to be drawn again.
func drawRequest(t *rapid.T, list *[]RequestID) (RequestID, bool) {
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
	id, ok := drawRequest(t, &m.claiming)
	if !ok || rapid.IntRange(0, 5).Draw(t, "lost") == 0 {
		return
	}
	e := &ClaimResult{At: m.now, ID: id, State: rpc.ClaimState(rapid.SampledFrom([]int{1, 1, 1, 1, 2, 3, 4}).Draw(t, "state"))}
	if rapid.IntRange(0, 9).Draw(t, "failure") == 0 {
		e.Failure = fault.New(fault.NotLeader, "claim", "c0", "not the leader")
	} else if e.State == rpc.ClaimState_CLAIM_STATE_GRANTED {
		m.requests[id].claimGranted = true
	}
	m.step(e)
}

func (m *model) endAttempt(t *rapid.T) {
	if len(m.running) == 0 {
		return
	}
	i := rapid.IntRange(0, len(m.running)-1).Draw(t, "which")
	id := m.running[i]
	if !m.startSend(id) {
		return
	}
	m.stopRunning(id)
	outcome := rapid.SampledFrom([]Outcome{Answered, Answered, NotSent, Lapsed, Shed, Broken, Truncated, Abandoned}).Draw(t, "outcome")
	m.finishAttempt(id, outcome, rapid.IntRange(0, 4).Draw(t, "fresh") > 0)
}

func (m *model) finishAttempt(id RequestID, outcome Outcome, resendable bool) {
	c := m.requests[id]
	c.running, c.starting = false, false
	aborted := (outcome == Broken || outcome == Truncated || outcome == Abandoned) && id%3 == 0
	if aborted {
		m.heldSlots = append(m.heldSlots, heldSlot{c.send.Endpoint, m.now.Add(slotHoldTime)})
	} else {
		m.releaseSlot(c.send.Endpoint)
	}
	c.mayHaveRun = c.mayHaveRun || outcome == Broken
	if outcome == Lapsed {
		c.lapsed++
	}
	e := AttemptEnded{At: m.now, ID: id, Attempt: c.attempts, Outcome: outcome, Resendable: resendable, Reused: id%2 == 0, Aborted: aborted}
	m.pastEnds = append(m.pastEnds, e)
	m.step(&e)
	if !c.ended && (outcome == Answered || outcome == Abandoned || outcome == Truncated || c.service.NonIdempotent && outcome == Broken) {
		m.t.Fatalf("request %d has not ended after outcome %d", id, outcome)
	}
}

// heldSlot is the slot of an aborted attempt that its upstream may still run.
type heldSlot struct {
	endpoint ident.Address
	expiry   time.Time
}

func (m *model) releaseSlot(a ident.Address) {
	m.usedSlots[a]--
	m.topology.regionUse[regionOf(m.upstreamAt(a).Domain)]--
}

// releaseExpiredSlots releases the slots of aborted attempts after the hold time.
func (m *model) releaseExpiredSlots() {
	for len(m.heldSlots) > 0 && !m.now.Before(m.heldSlots[0].expiry) {
		m.releaseSlot(m.heldSlots[0].endpoint)
		m.heldSlots = m.heldSlots[1:]
	}
}

func (m *model) repeatAttemptEnd(t *rapid.T) {
	if len(m.pastEnds) > 0 {
		e := rapid.SampledFrom(m.pastEnds).Draw(t, "old")
		e.At = m.now.Add(-time.Second)
		m.step(&e)
	}
}

func (m *model) cancel(t *rapid.T) {
	if m.nextID > 0 {
		m.step(&RequestCancelled{At: m.now, ID: RequestID(rapid.Uint64Range(1, uint64(m.nextID)).Draw(t, "id"))})
	}
}

// changeKeysOrShares changes a key or a share in the fleet.
func (m *model) changeKeysOrShares(t *rapid.T) {
	w := rapid.IntRange(0, 1).Draw(t, "workspace")
	switch rapid.IntRange(0, 2).Draw(t, "what") {
	case 0:
		k := &m.fleet.document.Workspaces.Workspaces[w].Keys[0]
		k.Withdrawn = !k.Withdrawn
	case 1:
		m.fleet.setShare(limit.OfWorkspace(workspaceName(w)), float64(rapid.IntRange(0, 20).Draw(t, "rate")), float64(rapid.IntRange(0, 5).Draw(t, "burst")), 0)
	case 2:
		u := rapid.SampledFrom(m.fleet.upstreams).Draw(t, "upstream")
		m.fleet.setShare(limit.OfSlots(ident.Address(u.Address)), 0, 0, uint32(rapid.IntRange(0, 3).Draw(t, "slots")))
	}
	m.beginExchange(t)
}

// beginExchange begins a session exchange. Its reply may be delivered late, twice or never.
func (m *model) beginExchange(t *rapid.T) {
	m.releaseExpiredSlots()
	m.router.advance(m.now)
	reported := reportedUsage(m.router)
	for a, n := range m.usedSlots {
		if got := reported[string(limit.OfSlots(a))]; got != n {
			t.Fatalf("%d slots of %s reported in use, want %d", got, a, n)
		}
	}
	d := delivery{sent: m.now, reply: m.fleet.fullReply(t)}
	if rapid.Bool().Draw(t, "same") {
		d.reply = m.fleet.unchangedReply()
	}
	m.pendingReplies = append(m.pendingReplies, d)
	m.pastReplies = append(m.pastReplies, d)
}

func (m *model) deliverReply(t *rapid.T) {
	if len(m.pendingReplies) == 0 {
		m.beginExchange(t)
	}
	i := rapid.IntRange(0, len(m.pendingReplies)-1).Draw(t, "which")
	d := m.pendingReplies[i]
	m.pendingReplies = append(m.pendingReplies[:i], m.pendingReplies[i+1:]...)
	if rapid.IntRange(0, 5).Draw(t, "lost") > 0 {
		m.applyReply(d)
	}
}

// deliverOldReply delivers an earlier reply as that of a new exchange.
func (m *model) deliverOldReply(t *rapid.T) {
	if len(m.pastReplies) > 0 {
		m.applyReply(delivery{sent: m.now, reply: rapid.SampledFrom(m.pastReplies).Draw(t, "old").reply})
	}
}

func (m *model) applyReply(d delivery) {
	versions := d.reply.Versions
	if d.reply.Config != nil && versions.Config > m.wantVersions.Config {
		m.wantVersions.Config = versions.Config
		m.readTopology(d.reply.Config)
		for _, s := range d.reply.Config.Sections {
			if s.Name == string(document.WorkspacesSection) {
				m.readKeys(s.Text)
			}
		}
	}
	if d.reply.Allotments != nil && versions.Allotments > m.wantVersions.Allotments {
		m.wantVersions.Allotments = versions.Allotments
		m.readShares(d.reply.Allotments.Allotments)
		m.readTopologyShares(d.reply.Allotments.Allotments)
	}
	if versions.Config == m.wantVersions.Config && m.wantVersions.Config > 0 && d.sent.After(m.confirmedAt) {
		m.confirmedAt = d.sent
	}
	expiry := d.sent.Add(time.Duration(d.reply.LeaseMs) * time.Millisecond)
	if versions.Allotments == m.wantVersions.Allotments && m.wantVersions.Allotments > 0 && expiry.After(m.leaseExpiry) {
		if !m.now.Before(m.leaseExpiry) {
			for w, s := range m.workspaceUsage {
				s.reset(m.now, m.workspaceShares[w].GetRate(), m.workspaceShares[w].GetBurst(), true)
			}
			m.topology.resetToEmpty(m.now)
		}
		m.leaseExpiry = expiry
	}
	m.step(&Synced{At: m.now, Sent: d.sent, Reply: d.reply})
	if h := m.router.Versions(); h.Config != m.wantVersions.Config || m.router.view.allotmentsVersion != m.wantVersions.Allotments {
		m.t.Fatalf("router holds %v, want %v", h, &m.wantVersions)
	}
}

func (m *model) readKeys(text string) {
	content, err := document.Parse(document.WorkspacesSection, text)
	if err != nil {
		m.t.Fatal(err)
	}
	for _, w := range content.(*document.Workspaces).Workspaces {
		m.validKeys[w.Keys[0].ID] = !w.Keys[0].Withdrawn
	}
}

func (m *model) readShares(list []*rpc.Allotment) {
	for _, a := range list {
		switch kind, name := limit.Split(ident.Limit(a.Limit)); kind {
		case limit.Slots:
			m.slotShares[ident.Address(name)] = a.Count
		case limit.Workspace:
			w := ident.Workspace(name)
			if previous := m.workspaceShares[w]; previous.GetRate() != a.Rate || previous.GetBurst() != a.Burst {
				m.workspaceUsage[w].reset(m.now, a.Rate, a.Burst, false)
			}
			m.workspaceShares[w] = a
		}
	}
}

// endAllRequests ends all running attempts, lets time pass and checks that every request has ended.
func (m *model) endAllRequests() {
	for len(m.running) > 0 {
		if id := m.running[0]; m.startSend(id) {
			m.stopRunning(id)
			m.finishAttempt(id, Answered, true)
		}
	}
	for range 4 {
		m.now = m.now.Add(10 * time.Second)
		m.step(&Tick{At: m.now})
	}
	for id, c := range m.requests {
		if !c.ended {
			m.t.Fatalf("request %d never ended: %+v", id, c)
		}
	}
	if len(m.router.requests) > 0 || m.router.Waiting() > 0 || len(m.router.timers.heap) > 0 {
		m.t.Fatalf("router keeps %d requests", len(m.router.requests))
	}
}

// Guards against requests that are lost, sent twice or sent without authorization
// when events arrive late, twice, out of order or never.
func TestEveryRequestEndsOnceWithinItsShares(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t)
		m.slowSends = rapid.Bool().Draw(t, "slow sends")
		m.applyReply(delivery{sent: m.now, reply: m.fleet.fullReply(t)})
		t.Repeat(map[string]func(*rapid.T){
			"pass": m.advanceTime, "arrive": m.arriveRequests, "arrive more": m.arriveRequests, "claim": m.answerClaim,
			"claim more": m.answerClaim, "ended": m.endAttempt, "ended more": m.endAttempt,
			"ended again": m.repeatAttemptEnd, "cancel": m.cancel, "change": m.changeKeysOrShares, "start": m.startRandomSend,
			"start more": m.startRandomSend,
			"exchange":   m.beginExchange, "deliver": m.deliverReply, "deliver more": m.deliverReply, "deliver old": m.deliverOldReply,
			"change places": m.changeTopology, "transfer": m.transferBytes, "transfer more": m.transferBytes,
		})
		m.endAllRequests()
	})
}
