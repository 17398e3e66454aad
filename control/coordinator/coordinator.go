package coordinator

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"cuminfall.example/control/affinity"
	"cuminfall.example/control/ratelimit"
	"cuminfall.example/control/regionbalance"
	"cuminfall.example/control/replica"
	"cuminfall.example/fleet/catalog"
	"cuminfall.example/fleet/clock"
	"cuminfall.example/fleet/fault"
	"cuminfall.example/fleet/ident"
	"cuminfall.example/fleet/limit"
	"cuminfall.example/fleet/process"
	"cuminfall.example/fleet/protocol"
	"cuminfall.example/fleet/registry"
)

const (
	// orderTime bounds one order or announcement; operators and upstreams turn to another member after 1 s.
	orderTime = 900 * time.Millisecond
	// orderPause is the wait before an order that no leader took is tried again within orderTime.
	orderPause = 60 * time.Millisecond
	// watchPeriod is how often a leader looks for silent VMs and upstreams, and a follower passes on whom it heard.
	watchPeriod = 400 * time.Millisecond
	// vmSilence is the silence after which a VM is no longer named to callers: four reports and one exchange.
	vmSilence = 2500 * time.Millisecond
	// upstreamSilence is the silence after which an upstream is forgotten. Announcements come each 1.5 s and
	// may be seconds late; one that is forgotten in error is back with its next announcement.
	upstreamSilence = 9 * time.Second
)

// Options configures a Coordinator.
type Options struct {
	Replica       *replica.Replica
	StateMachine  *StateMachine
	Clock         clock.Clock
	Log           *process.EventLog
	LocalAddr     net.Addr // of connections to other members
	Address       ident.Address
	Regions       map[ident.Domain]ident.Region
	RateTolerance limit.Tolerance // what workspaces may have beyond their rates
}

// Coordinator is the service of one member of the control group.
type Coordinator struct {
	opts   Options
	client protocol.Client

	mu      sync.Mutex
	term    ident.Term // that this member leads; 0 where it does not
	lender  ratelimit.Allocator
	told    map[ident.VM]*told
	spread  regionbalance.Balancer
	plans   affinity.Planner
	loads   affinity.LoadTracker
	pool    affinity.UsableUpstreams   // of upstreams that may be used, as of pooled
	room    regionbalance.SlotCapacity // their slots
	pooled  time.Time
	vms     map[ident.VM]time.Time            // last report to this leader
	down    map[ident.VM]time.Time            // since when this member knows VMs to be down
	heard   map[registry.UpstreamID]time.Time // by this member, or told by others while it leads
	passing map[registry.UpstreamID]time.Time // heard since the leader was told last
}

// New returns a coordinator.
func New(o Options) *Coordinator {
	return &Coordinator{opts: o, client: protocol.Client{LocalAddr: o.LocalAddr}, vms: map[ident.VM]time.Time{}, down: map[ident.VM]time.Time{},
		heard: map[registry.UpstreamID]time.Time{}, passing: map[registry.UpstreamID]time.Time{}}
}

// Register adds the exchanges with entry VMs and other members to a mux.
func (h *Coordinator) Register(mux *http.ServeMux) {
	mux.Handle(protocol.FollowPath, protocol.Handle(h.follow))
	mux.Handle(protocol.ReportPath, protocol.Handle(h.report))
	mux.Handle(protocol.ProposePath, protocol.Handle(h.proposed))
	mux.Handle(protocol.ReadPath, protocol.Handle(h.read))
	mux.Handle(protocol.LastSeenPath, protocol.Handle(h.seen))
}

// Do replicates a command and returns its outcome. An error means that the outcome is not known, or, with
// fault.NotExecuted, that the command was not taken.
func (h *Coordinator) Do(ctx context.Context, c registry.Command) (registry.Result, error) {
	ctx, cancel := context.WithTimeout(ctx, orderTime)
	defer cancel()
	data := c.Encode()
	for {
		reply, err := h.propose(ctx, data)
		if err == nil {
			return reply.Result, nil
		}
		// A command may be in the log twice without harm, so one with an unknown outcome is simply sent again.
		if clock.Sleep(ctx, h.opts.Clock, orderPause) != nil {
			return registry.Result{}, err
		}
	}
}

// propose gives a command to the leader, here or at another member.
func (h *Coordinator) propose(ctx context.Context, data []byte) (protocol.ProposeReply, error) {
	if _, _, leads := h.opts.Replica.Leadership(); leads {
		return h.local(ctx, data)
	}
	var reply protocol.ProposeReply
	err := h.passOn(ctx, protocol.ProposePath, data, &reply)
	return reply, err
}

func (h *Coordinator) local(ctx context.Context, data []byte) (protocol.ProposeReply, error) {
	if h.idle(data) {
		return protocol.ProposeReply{}, nil
	}
	result, err := h.opts.Replica.Propose(ctx, data)
	if err != nil {
		return protocol.ProposeReply{}, err
	}
	r, _ := result.(registry.Result)
	return protocol.ProposeReply{Result: r}, nil
}

// idle reports whether a command is an announcement that the register holds already. A member that has just started
// cannot tell by its own register, and passes on those of all upstreams; entry VMs on slow links would have to
// follow each.
func (h *Coordinator) idle(data []byte) bool {
	c, err := registry.Decode(data)
	if err != nil || c.Join == nil {
		return false // the replicas refuse what cannot be decoded
	}
	changes := true
	h.opts.StateMachine.view(func(r *registry.Registry) { changes = r.WouldChange(*c.Join) })
	return !changes
}

// leader returns the other member that leads, or nothing.
func (h *Coordinator) leader() ident.Address {
	if leader := h.opts.Replica.Status().Leader; leader != h.opts.Address {
		return leader
	}
	return ""
}

func (h *Coordinator) proposed(ctx context.Context, body []byte) (any, error) {
	if _, _, leads := h.opts.Replica.Leadership(); !leads {
		return nil, fault.New(fault.Leader, "propose", string(h.opts.Address), "this member does not lead")
	}
	ctx, cancel := context.WithTimeout(ctx, orderTime)
	defer cancel()
	return h.local(ctx, body)
}

// Change makes a change of the catalog.
func (h *Coordinator) Change(ctx context.Context, ch *catalog.Change) (registry.Result, error) {
	h.opts.StateMachine.view(func(r *registry.Registry) { ch = r.Catalog.Minimize(ch) })
	return h.Do(ctx, registry.Command{Change: ch})
}

// Drain takes a failure domain out of use, or back.
func (h *Coordinator) Drain(ctx context.Context, d registry.Drain) (registry.Result, error) {
	return h.Do(ctx, registry.Command{Drain: &d})
}

// Announce takes an upstream's word on itself. It returns once what changes is durable.
func (h *Coordinator) Announce(ctx context.Context, u registry.Upstream) error {
	now := h.opts.Clock.Now()
	changes := false
	h.opts.StateMachine.view(func(r *registry.Registry) { changes = r.WouldChange(u) })
	if changes {
		if _, err := h.Do(ctx, registry.Command{Join: &u}); err != nil {
			return err
		}
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.heard[u.ID], h.passing[u.ID] = now, now
	return nil
}

// Leave takes an upstream out for good.
func (h *Coordinator) Leave(ctx context.Context, d registry.Departure) error {
	_, err := h.Do(ctx, registry.Command{Leave: &d})
	return err
}

// Catalog returns the newest catalog, or an error where this group cannot be sure of it.
func (h *Coordinator) Catalog(ctx context.Context) (*catalog.Catalog, error) {
	ctx, cancel := context.WithTimeout(ctx, orderTime)
	defer cancel()
	if _, _, leads := h.opts.Replica.Leadership(); leads {
		return h.newest(ctx)
	}
	var c *catalog.Catalog
	err := h.passOn(ctx, protocol.ReadPath, []byte("{}"), &c)
	return c, err
}

func (h *Coordinator) newest(ctx context.Context) (*catalog.Catalog, error) {
	if _, err := h.opts.Replica.Barrier(ctx); err != nil {
		return nil, err
	}
	var c *catalog.Catalog
	h.opts.StateMachine.view(func(r *registry.Registry) { c = r.Catalog })
	if c == nil {
		return nil, fault.New(fault.NotFound, "read", "", "no catalog yet")
	}
	return c, nil
}

func (h *Coordinator) read(ctx context.Context, _ []byte) (any, error) {
	if _, _, leads := h.opts.Replica.Leadership(); !leads {
		return nil, fault.New(fault.Leader, "read", string(h.opts.Address), "this member does not lead")
	}
	return h.newest(ctx)
}

// EntryAddresses returns where callers of a region should connect: the VMs of all its failure domains, so that those of
// one domain whose callers come in numbers do not queue while the others are free, or any where it has none.
func (h *Coordinator) EntryAddresses(region ident.Region, regions map[ident.Domain]ident.Region) []ident.Address {
	var same, all []ident.Address
	h.opts.StateMachine.view(func(r *registry.Registry) {
		for _, v := range r.VMs {
			if !v.Up {
				continue
			}
			all = append(all, v.Address)
			if regions[v.Domain] == region {
				same = append(same, v.Address)
			}
		}
	})
	if len(same) > 0 {
		return same
	}
	return all
}

// follow answers an entry VM, or another observer of the register.
func (h *Coordinator) follow(ctx context.Context, body []byte) (any, error) {
	var q protocol.FollowRequest
	if err := json.Unmarshal(body, &q); err != nil {
		return nil, fault.Wrap(err, fault.Invalid, "follow", "")
	}
	if q.StatusOnly {
		reply := protocol.FollowReply{Index: h.opts.StateMachine.index()}
		h.describe(&reply)
		return reply, nil
	}
	reply, changed, err := h.opts.StateMachine.after(q.Index)
	if err != nil {
		return nil, err
	}
	if q.Wait > 0 && reply.Index <= q.Index {
		select {
		case <-ctx.Done():
			return nil, fault.Wrap(ctx.Err(), fault.Deadline, "follow", "")
		case <-changed:
		case <-h.opts.Clock.After(q.Wait):
		}
		if reply, _, err = h.opts.StateMachine.after(q.Index); err != nil {
			return nil, err
		}
	}
	h.describe(&reply)
	return reply, nil
}

// describe adds what this member knows of its group.
func (h *Coordinator) describe(reply *protocol.FollowReply) {
	s := h.opts.Replica.Status()
	reply.Isolated, reply.Leader = s.Isolated, s.Leader
	for _, m := range s.Members {
		reply.Members = append(reply.Members, m.Address)
	}
}

// passOn gives an exchange that the leader alone answers to it.
func (h *Coordinator) passOn(ctx context.Context, path string, body []byte, reply any) error {
	leader := h.leader()
	if leader == "" {
		return fault.New(fault.Leader, path, "", "no leader known")
	}
	ctx, cancel := context.WithTimeout(ctx, orderTime)
	defer cancel()
	return h.client.Call(ctx, leader, path, json.RawMessage(body), reply)
}

// report takes an entry VM's report.
func (h *Coordinator) report(ctx context.Context, body []byte) (any, error) {
	term, _, leads := h.opts.Replica.Leadership()
	if !leads {
		var reply protocol.ReportReply
		err := h.passOn(ctx, protocol.ReportPath, body, &reply)
		return reply, err
	}
	var q protocol.Report
	if err := json.Unmarshal(body, &q); err != nil {
		return nil, fault.Wrap(err, fault.Invalid, "report", "")
	}
	h.begin(term)
	if err := h.admitVM(ctx, q.VM); err != nil {
		return nil, err
	}
	now := h.opts.Clock.Now()
	region := h.opts.Regions[q.VM.Domain]
	var c *catalog.Catalog
	h.opts.StateMachine.view(func(r *registry.Registry) { c = r.Catalog })
	h.mu.Lock()
	defer h.mu.Unlock()
	h.vms[q.VM.Name] = now
	reply := protocol.ReportReply{Term: term, Lease: ratelimit.LeaseDuration}
	if q.AppliedTerm != term && !q.Full {
		reply.FullReportRequired = true
		return reply, nil
	}
	h.lender.SetCatalog(c)
	var known bool
	if reply.Allowances, known = h.lender.Report(now, &q); !known {
		reply.FullReportRequired = true
		return reply, nil
	}
	reply.VMCount = h.lender.HolderCount()
	h.answerDemand(now, region, &q, &reply)
	return reply, nil
}

// admitVM makes a VM known before it is lent anything.
func (h *Coordinator) admitVM(ctx context.Context, vm registry.VM) error {
	var known registry.VM
	h.opts.StateMachine.view(func(r *registry.Registry) { known = r.VMs[vm.Name] })
	if known == vm {
		return nil
	}
	_, err := h.Do(ctx, registry.Command{VM: &vm})
	return err
}

// begin starts the leader's tables when this member has come to lead a new term.
func (h *Coordinator) begin(term ident.Term) {
	now := h.opts.Clock.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.term == term {
		return
	}
	h.term = term
	h.told, h.spread, h.plans, h.loads = map[ident.VM]*told{}, regionbalance.Balancer{}, affinity.Planner{}, affinity.LoadTracker{}
	h.lender.Tolerance = h.opts.RateTolerance
	h.vms, h.heard = map[ident.VM]time.Time{}, map[registry.UpstreamID]time.Time{}
	var known []ident.VM
	h.opts.StateMachine.view(func(r *registry.Registry) {
		for name, v := range r.VMs {
			h.vms[name] = now
			if since, noted := h.down[name]; v.Up || !noted || now.Sub(since) < h.lender.HolderTimeout() {
				known = append(known, name)
			}
		}
		for id := range r.Upstreams {
			h.heard[id] = now
		}
	})
	h.lender.BeginTerm(now, known)
	h.opts.Log.WithFields(logrus.Fields{"event": "lead", "term": term, "vms": len(known)}).Info("leading the control group")
}

// seen takes over whom another member heard.
func (h *Coordinator) seen(_ context.Context, body []byte) (any, error) {
	var q protocol.LastSeen
	if err := json.Unmarshal(body, &q); err != nil {
		return nil, fault.Wrap(err, fault.Invalid, "seen", "")
	}
	now := h.opts.Clock.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	for id, ago := range q {
		if at := now.Add(-ago); at.After(h.heard[id]) {
			h.heard[id] = at
		}
	}
	return struct{}{}, nil
}

// Run watches VMs and upstreams until ctx ends.
func (h *Coordinator) Run(ctx context.Context) error {
	ticks, stop := h.opts.Clock.Every(watchPeriod)
	defer stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticks:
		}
		h.noteDown()
		if term, _, leads := h.opts.Replica.Leadership(); leads {
			h.begin(term)
			h.expire(ctx)
		} else {
			h.pass(ctx)
		}
		h.opts.Log.LogDropped()
	}
}

// noteDown keeps since when VMs are down: a leader need not wait for word of one that ended long ago.
func (h *Coordinator) noteDown() {
	now := h.opts.Clock.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	h.opts.StateMachine.view(func(r *registry.Registry) {
		for name, v := range r.VMs {
			if _, noted := h.down[name]; v.Up {
				delete(h.down, name)
			} else if !noted {
				h.down[name] = now
			}
		}
	})
}

// expire marks silent VMs and removes silent upstreams.
func (h *Coordinator) expire(ctx context.Context) {
	now := h.opts.Clock.Now()
	var silent []registry.Command
	h.mu.Lock()
	clear(h.passing)
	h.opts.StateMachine.view(func(r *registry.Registry) {
		for name, v := range r.VMs {
			if v.Up && now.Sub(h.vms[name]) > vmSilence {
				v.Up = false
				silent = append(silent, registry.Command{VM: &v})
			}
		}
		for id, u := range r.Upstreams {
			if _, known := h.heard[id]; !known {
				h.heard[id] = now // it joined through another member, which has not told yet
			}
			if now.Sub(h.heard[id]) > upstreamSilence {
				silent = append(silent, registry.Command{Leave: &registry.Departure{ID: id, StartedAt: u.StartedAt, TimedOut: true}})
			}
		}
	})
	h.mu.Unlock()
	for _, c := range silent {
		if _, err := h.Do(ctx, c); err != nil {
			h.opts.Log.WithField("event", "expire").WithError(err).Warn("a silent VM or upstream is not recorded yet")
			return
		}
	}
}

// pass tells the leader whom this member heard.
func (h *Coordinator) pass(ctx context.Context) {
	leader := h.leader()
	now := h.opts.Clock.Now()
	h.mu.Lock()
	news := make(protocol.LastSeen, len(h.passing))
	for id, at := range h.passing {
		news[id] = now.Sub(at)
	}
	h.mu.Unlock()
	if len(news) == 0 || leader == "" {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, orderTime)
	defer cancel()
	if err := h.client.Call(ctx, leader, protocol.LastSeenPath, news, nil); err != nil {
		h.opts.Log.Event(logrus.WarnLevel, "pass", logrus.Fields{"event": "pass", "leader": leader, "why": err.Error()},
			"the leader did not hear of upstreams")
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	for id := range news {
		if now.Sub(h.passing[id]) >= 0 {
			delete(h.passing, id)
		}
	}
}
