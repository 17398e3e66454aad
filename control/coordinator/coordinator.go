package coordinator

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/sync/singleflight"

	"cuminfall.example/control/affinity"
	"cuminfall.example/control/ratelimit"
	"cuminfall.example/control/regionbalance"
	"cuminfall.example/control/replica"
	"cuminfall.example/fleet/catalog"
	"cuminfall.example/fleet/clock"
	"cuminfall.example/fleet/fault"
	"cuminfall.example/fleet/ident"
	"cuminfall.example/fleet/limit"
	"cuminfall.example/fleet/observation"
	"cuminfall.example/fleet/process"
	"cuminfall.example/fleet/protocol"
	"cuminfall.example/fleet/registry"
)

const (
	// commandTimeout limits one command, announcement or call to the leader. Operators and upstreams try another
	// member after 1 s.
	commandTimeout = 900 * time.Millisecond
	// commandRetryInterval is the wait before a failed command is retried within commandTimeout.
	commandRetryInterval = 60 * time.Millisecond
	// watchInterval is how often a leader checks for silent VMs and upstreams, and how often another member forwards
	// to the leader when upstreams were last seen.
	watchInterval = 400 * time.Millisecond
	// vmSilenceTimeout is the silence after which a VM is no longer returned to callers: four reports and one
	// exchange.
	vmSilenceTimeout = 2500 * time.Millisecond
	// upstreamSilenceTimeout is the silence after which an upstream is removed. Announcements come every 1.5 s and
	// may be seconds late. An upstream that is removed by mistake is added again by its next announcement.
	upstreamSilenceTimeout = 9 * time.Second
)

// Options configures a Coordinator.
type Options struct {
	Replica       *replica.Replica
	StateMachine  *StateMachine
	Clock         clock.Clock
	Log           *process.EventLog
	LocalAddr     net.Addr // local address of connections to other members
	Address       ident.Address
	Regions       map[ident.Domain]ident.Region
	RateTolerance limit.Tolerance // how far workspaces may exceed their rates
}

// Coordinator is one member of the control group.
type Coordinator struct {
	opts     Options
	client   protocol.Client
	floor    registryFloor
	drains   orderQueue
	keeping  singleflight.Group
	lookups  atomic.Uint64 // that were answered with a part of the VMs
	stopping chan struct{} // closed when followers must use another member

	mu             sync.Mutex
	term           ident.Term // that this member leads; 0 if it is not the leader
	rateAllocator  ratelimit.Allocator
	vmPlans        map[ident.VM]*vmPlan
	regionBalancer regionbalance.Balancer
	objectPlanner  affinity.Planner
	loadTracker    affinity.LoadTracker
	observations   observation.Board
	usable         affinity.UsableUpstreams   // as of usableUpdated
	slotCapacity   regionbalance.SlotCapacity // of the usable upstreams
	usableUpdated  time.Time
	lastReports    map[ident.VM]time.Time            // by VMs to this leader
	reportOrder    map[ident.VM]reportOrder          // of the same reports
	replySerial    uint64                            // of the last reply to a report
	registering    map[ident.VM]orderQueue           // held while a VM is registered
	downSince      map[ident.VM]time.Time            // when this member learned that a VM is down
	lastSeen       map[registry.UpstreamID]time.Time // by this member, or by others while it is the leader
	unforwarded    map[registry.UpstreamID]time.Time // last seen by this member, not yet forwarded to the leader
}

// New returns a Coordinator with the given options. It does nothing until Serve or Run is called.
func New(o Options) *Coordinator {
	return &Coordinator{opts: o, client: protocol.Client{LocalAddr: o.LocalAddr}, drains: newOrderQueue(), registering: map[ident.VM]orderQueue{}, stopping: make(chan struct{}), lastReports: map[ident.VM]time.Time{}, downSince: map[ident.VM]time.Time{},
		lastSeen: map[registry.UpstreamID]time.Time{}, unforwarded: map[registry.UpstreamID]time.Time{}}
}

// Register adds the handlers for entry VMs and other members to a mux.
func (c *Coordinator) Register(mux *http.ServeMux) {
	mux.Handle(protocol.FollowPath, protocol.NewHandler(c.handleFollow))
	mux.Handle(protocol.ReportPath, protocol.NewHandler(c.handleReport))
	mux.Handle(protocol.ProposePath, protocol.NewHandler(c.handlePropose))
	mux.Handle(protocol.ReadPath, protocol.NewHandler(c.handleRead))
	mux.Handle(protocol.LastSeenPath, protocol.NewHandler(c.handleLastSeen))
}

// Submit replicates a command and returns its result. After an error the result is unknown, unless the error has
// fault.NotExecuted, which means that the command was not accepted.
func (c *Coordinator) Submit(ctx context.Context, cmd registry.Command) (registry.Result, error) {
	ctx, cancel := context.WithTimeout(ctx, commandTimeout)
	defer cancel()
	data := cmd.Encode()
	for {
		reply, err := c.propose(ctx, data)
		if err == nil {
			return reply.Result, nil
		}
		if fault.Of(err).Code == fault.Stale {
			return registry.Result{}, err
		}
		// Applying a command twice does no harm, so it is retried even if the result of an attempt is unknown.
		if clock.Sleep(ctx, c.opts.Clock, commandRetryInterval) != nil {
			return registry.Result{}, err
		}
	}
}

// propose submits a command to the leader, which may be this member.
func (c *Coordinator) propose(ctx context.Context, data []byte) (protocol.ProposeReply, error) {
	if _, _, leads := c.opts.Replica.Leadership(); leads {
		return c.proposeLocally(ctx, data)
	}
	var reply protocol.ProposeReply
	err := c.callLeader(ctx, protocol.ProposePath, data, &reply)
	return reply, err
}

// proposeLocally replicates a command as the leader, unless it is an announcement that would change nothing.
func (c *Coordinator) proposeLocally(ctx context.Context, data []byte) (protocol.ProposeReply, error) {
	cmd, err := registry.Decode(data)
	if err == nil && cmd.Join != nil && !c.wouldChange(*cmd.Join) {
		return protocol.ProposeReply{}, nil
	}
	if err == nil && cmd.Change != nil {
		// The member that got the change may be of an earlier build, which does not review it.
		result, final, err := c.reviewChange(ctx, cmd.Change, nil)
		if final || err != nil {
			return protocol.ProposeReply{Result: result}, err
		}
		data = c.minimize(cmd, data)
	}
	if err == nil && cmd.Drain != nil {
		done, err := c.beginDrain(ctx, *cmd.Drain)
		if done == nil {
			return protocol.ProposeReply{}, err
		}
		defer done()
	}
	result, err := c.opts.Replica.Propose(ctx, data)
	if err != nil {
		return protocol.ProposeReply{}, err
	}
	r, _ := result.(registry.Result)
	return protocol.ProposeReply{Result: r}, nil
}

// minimize returns a command with a change of the catalog without what the leader's catalog has already. The member that
// got the change could not leave it out if it had not applied the change's base yet.
func (c *Coordinator) minimize(cmd registry.Command, data []byte) []byte {
	minimal := cmd.Change
	c.opts.StateMachine.view(func(r *registry.Registry) { minimal = r.Catalog.Minimize(cmd.Change) })
	if minimal == cmd.Change {
		return data
	}
	return registry.Command{Change: minimal}.Encode()
}

// submitAsLeader replicates a command that follows from what this member knows as the leader of a term. If it has lost
// the leadership, the command is not passed on: what it knows may be outdated, and the new leader decides by itself.
func (c *Coordinator) submitAsLeader(ctx context.Context, term ident.Term, cmd registry.Command) error {
	ctx, cancel := context.WithTimeout(ctx, commandTimeout)
	defer cancel()
	if current, _, leads := c.opts.Replica.Leadership(); !leads || current != term {
		err := fault.New(fault.NotLeader, "submit", string(c.opts.Address), "this member no longer leads term %d", term)
		err.Execution = fault.NotExecuted
		return err
	}
	_, err := c.proposeLocally(ctx, cmd.Encode())
	return err
}

// wouldChange reports whether an announcement would change the registry. A member that has just started has an incomplete
// registry and forwards the announcements of all upstreams. Without this check, entry VMs on slow links would have to
// follow each of them.
func (c *Coordinator) wouldChange(u registry.Upstream) (changes bool) {
	c.opts.StateMachine.view(func(r *registry.Registry) { changes = r.WouldChange(u) })
	return changes
}

// remoteLeader returns the address of the leader, or nothing if there is none or this member is the leader.
func (c *Coordinator) remoteLeader() ident.Address {
	if leader := c.opts.Replica.Status().Leader; leader != c.opts.Address {
		return leader
	}
	return ""
}

// handlePropose replicates a command that another member forwarded.
func (c *Coordinator) handlePropose(ctx context.Context, body []byte) (any, error) {
	if _, _, leads := c.opts.Replica.Leadership(); !leads {
		return nil, fault.New(fault.NotLeader, "propose", string(c.opts.Address), "this member does not lead")
	}
	ctx, cancel := context.WithTimeout(ctx, commandTimeout)
	defer cancel()
	return c.proposeLocally(ctx, body)
}

// Announce records the state that an upstream announces about itself. It returns once any change is durable. It returns an
// error if this member knows no leader, to which it could report that the upstream is alive; the upstream then
// announces itself to another member.
func (c *Coordinator) Announce(ctx context.Context, u registry.Upstream) error {
	if c.opts.Replica.Status().Leader == "" {
		return fault.New(fault.NotLeader, "announce", string(c.opts.Address), "no leader is known")
	}
	now := c.opts.Clock.Now()
	if c.wouldChange(u) {
		if _, err := c.Submit(ctx, registry.Command{Join: &u}); err != nil {
			return err
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastSeen[u.ID], c.unforwarded[u.ID] = now, now
	return nil
}

// Leave removes an upstream from the registry.
func (c *Coordinator) Leave(ctx context.Context, d registry.Departure) error {
	_, err := c.Submit(ctx, registry.Command{Leave: &d})
	return err
}

// Catalog returns the newest catalog, or an error if the group cannot confirm that it is the newest.
func (c *Coordinator) Catalog(ctx context.Context) (*catalog.Catalog, error) {
	ctx, cancel := context.WithTimeout(ctx, commandTimeout)
	defer cancel()
	if _, _, leads := c.opts.Replica.Leadership(); leads {
		return c.latestCatalog(ctx)
	}
	var cat *catalog.Catalog
	err := c.callLeader(ctx, protocol.ReadPath, []byte("{}"), &cat)
	return cat, err
}

// latestCatalog returns the catalog after a barrier, which confirms that this member still leads.
func (c *Coordinator) latestCatalog(ctx context.Context) (*catalog.Catalog, error) {
	if _, err := c.opts.Replica.Barrier(ctx); err != nil {
		return nil, err
	}
	var cat *catalog.Catalog
	c.opts.StateMachine.view(func(r *registry.Registry) { cat = r.Catalog })
	if cat == nil {
		return nil, fault.New(fault.NotFound, "read", "", "no catalog has been stored yet")
	}
	return cat, nil
}

// handleRead returns the newest catalog to another member.
func (c *Coordinator) handleRead(ctx context.Context, _ []byte) (any, error) {
	if _, _, leads := c.opts.Replica.Leadership(); !leads {
		return nil, fault.New(fault.NotLeader, "read", string(c.opts.Address), "this member does not lead")
	}
	return c.latestCatalog(ctx)
}

// EntryAddresses returns at most limit entry VMs that callers of a region should connect to, in order. These are the VMs of all
// failure domains of the region, so that a domain with many callers does not overload its own VMs while the others are idle.
// If the region has no VM, all VMs are returned. Where there are more than limit, each look-up gets those that follow the ones of
// the look-up before, so that all VMs get callers.
func (c *Coordinator) EntryAddresses(region ident.Region, regions map[ident.Domain]ident.Region, limit int) []ident.Address {
	var same, all []ident.Address
	c.opts.StateMachine.view(func(r *registry.Registry) {
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
	if len(same) == 0 {
		same = all
	}
	slices.Sort(same)
	if len(same) <= limit {
		return same
	}
	first := int((c.lookups.Add(1) - 1) * uint64(limit) % uint64(len(same)))
	window := append(same[first:], same[:first]...)[:limit]
	slices.Sort(window)
	return window
}

// callLeader forwards a request that only the leader can answer.
func (c *Coordinator) callLeader(ctx context.Context, path string, body []byte, reply any) error {
	leader := c.remoteLeader()
	if leader == "" {
		return fault.New(fault.NotLeader, path, "", "no leader is known")
	}
	ctx, cancel := context.WithTimeout(ctx, commandTimeout)
	defer cancel()
	return c.client.Call(ctx, leader, path, json.RawMessage(body), reply)
}

// handleReport processes an entry VM's report, or forwards it to the leader.
func (c *Coordinator) handleReport(ctx context.Context, body []byte) (any, error) {
	term, _, leads := c.opts.Replica.Leadership()
	if !leads {
		var reply protocol.ReportReply
		err := c.callLeader(ctx, protocol.ReportPath, body, &reply)
		return reply, err
	}
	var q protocol.Report
	if err := json.Unmarshal(body, &q); err != nil {
		return nil, fault.Wrap(err, fault.Invalid, "report", "")
	}
	c.beginTerm(term)
	class, serial := c.orderReport(term, &q)
	switch class {
	case overtakenReport:
		return nil, overtakenError(&q)
	case unconfirmedReport:
		c.opts.Log.Event(logrus.InfoLevel, "unconfirmed", logrus.Fields{"event": "unconfirmed", "vm": q.VM.Name, "incarnation": q.VM.Incarnation, "sequence": q.Sequence, "term": term},
			"report of another run of a VM: it counts once the run has confirmed that it is the later one")
		return protocol.ReportReply{Term: term, Serial: serial, FullReportRequired: true}, nil
	}
	if err := c.registerReported(ctx, term, &q); err != nil {
		return nil, err
	}
	observed, err := c.exchangeFacts(ctx, term, q.Observed)
	if err != nil {
		return nil, err
	}
	now := c.opts.Clock.Now()
	region := c.opts.Regions[q.VM.Domain]
	var cat *catalog.Catalog
	c.opts.StateMachine.view(func(r *registry.Registry) { cat = r.Catalog })
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastReports[q.VM.Name] = now
	reply := protocol.ReportReply{Term: term, Serial: serial, Lease: ratelimit.LeaseDuration, Observed: observed}
	if q.AppliedTerm != term && !q.Full {
		reply.FullReportRequired = true
		return reply, nil
	}
	c.rateAllocator.SetCatalog(cat)
	var ok bool
	if reply.Allowances, ok = c.rateAllocator.Report(now, &q); !ok {
		reply.FullReportRequired = true
		return reply, nil
	}
	reply.VMCount = c.rateAllocator.HolderCount()
	c.handleDemand(now, region, &q, &reply)
	return reply, nil
}

// registerVM adds a VM to the registry before it is granted any allowance, unless its entry is up to date.
func (c *Coordinator) registerVM(ctx context.Context, term ident.Term, vm registry.VM) error {
	var known registry.VM
	c.opts.StateMachine.view(func(r *registry.Registry) { known = r.VMs[vm.Name] })
	if known == vm {
		return nil
	}
	return c.submitAsLeader(ctx, term, registry.Command{VM: &vm})
}

// beginTerm resets the leader's tables when this member has become the leader of a new term.
func (c *Coordinator) beginTerm(term ident.Term) {
	now := c.opts.Clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.term == term {
		return
	}
	c.term = term
	c.vmPlans, c.regionBalancer, c.objectPlanner, c.loadTracker = map[ident.VM]*vmPlan{}, regionbalance.Balancer{}, affinity.Planner{}, affinity.LoadTracker{}
	c.observations = observation.Board{}
	c.rateAllocator.Tolerance = c.opts.RateTolerance
	c.lastReports, c.lastSeen = map[ident.VM]time.Time{}, map[registry.UpstreamID]time.Time{}
	c.reportOrder, c.replySerial = map[ident.VM]reportOrder{}, 0
	var mayHoldAllowances []ident.VM
	c.opts.StateMachine.view(func(r *registry.Registry) {
		c.observations.Restore(now, r.Kept)
		for name, v := range r.VMs {
			c.lastReports[name] = now
			if since, recorded := c.downSince[name]; v.Up || !recorded || now.Sub(since) < c.rateAllocator.HolderTimeout() {
				mayHoldAllowances = append(mayHoldAllowances, name)
			}
		}
		for id := range r.Upstreams {
			c.lastSeen[id] = now
		}
	})
	c.rateAllocator.BeginTerm(now, mayHoldAllowances)
	c.opts.Log.WithFields(logrus.Fields{"event": "lead", "term": term, "vms": len(mayHoldAllowances)}).Info("leading the control group")
}

// handleLastSeen records when another member last saw upstreams.
func (c *Coordinator) handleLastSeen(_ context.Context, body []byte) (any, error) {
	var q protocol.LastSeen
	if err := json.Unmarshal(body, &q); err != nil {
		return nil, fault.Wrap(err, fault.Invalid, "seen", "")
	}
	now := c.opts.Clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	for id, age := range q {
		if at := now.Add(-age); at.After(c.lastSeen[id]) {
			c.lastSeen[id] = at
		}
	}
	return struct{}{}, nil
}

// Run checks VMs and upstreams for silence until ctx ends.
func (c *Coordinator) Run(ctx context.Context) error {
	ticks, stop := c.opts.Clock.Every(watchInterval)
	defer stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticks:
		}
		c.recordDownVMs()
		if term, _, leads := c.opts.Replica.Leadership(); leads {
			c.beginTerm(term)
			c.expireSilent(ctx, term)
			_ = c.keepFacts(ctx, term) // it is logged, and tried again with the next tick
		} else {
			c.forwardLastSeen(ctx)
		}
		c.opts.Log.LogDropped()
	}
}

// recordDownVMs records since when VMs are down. A new leader need not wait for a report of a VM whose allowances
// have expired.
func (c *Coordinator) recordDownVMs() {
	now := c.opts.Clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.opts.StateMachine.view(func(r *registry.Registry) {
		for name, v := range r.VMs {
			if _, recorded := c.downSince[name]; v.Up {
				delete(c.downSince, name)
			} else if !recorded {
				c.downSince[name] = now
			}
		}
	})
}

// expireSilent marks silent VMs as down and removes silent upstreams, as the leader of a term.
func (c *Coordinator) expireSilent(ctx context.Context, term ident.Term) {
	now := c.opts.Clock.Now()
	var commands []registry.Command
	c.mu.Lock()
	clear(c.unforwarded)
	c.opts.StateMachine.view(func(r *registry.Registry) {
		for name, v := range r.VMs {
			if v.Up && now.Sub(c.lastReports[name]) > vmSilenceTimeout {
				v.Up = false
				commands = append(commands, registry.Command{VM: &v})
			}
		}
		for id, u := range r.Upstreams {
			if _, known := c.lastSeen[id]; !known {
				c.lastSeen[id] = now // it joined through another member, which has not forwarded that yet
			}
			if now.Sub(c.lastSeen[id]) > upstreamSilenceTimeout {
				commands = append(commands, registry.Command{Leave: &registry.Departure{ID: id, StartedAt: u.StartedAt, TimedOut: true}})
			}
		}
	})
	c.mu.Unlock()
	for _, cmd := range commands {
		if err := c.submitAsLeader(ctx, term, cmd); err != nil {
			c.opts.Log.WithField("event", "expire").WithError(err).Warn("could not record that a VM or upstream timed out")
			return
		}
	}
}

// forwardLastSeen reports to the leader when this member last saw upstreams.
func (c *Coordinator) forwardLastSeen(ctx context.Context) {
	leader := c.remoteLeader()
	now := c.opts.Clock.Now()
	c.mu.Lock()
	ages := make(protocol.LastSeen, len(c.unforwarded))
	for id, at := range c.unforwarded {
		ages[id] = now.Sub(at)
	}
	c.mu.Unlock()
	if len(ages) == 0 || leader == "" {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, commandTimeout)
	defer cancel()
	if err := c.client.Call(ctx, leader, protocol.LastSeenPath, ages, nil); err != nil {
		c.opts.Log.Event(logrus.WarnLevel, "pass", logrus.Fields{"event": "pass", "leader": leader, "why": err.Error()},
			"could not report to the leader when upstreams were last seen")
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for id := range ages {
		if now.Sub(c.unforwarded[id]) >= 0 {
			delete(c.unforwarded, id)
		}
	}
}
