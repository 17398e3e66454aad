package nodes

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"cuminfall.example/fleet/clock"
	"cuminfall.example/fleet/document"
	"cuminfall.example/fleet/fault"
	"cuminfall.example/fleet/ident"
	"cuminfall.example/fleet/rpc"
	"cuminfall.example/load/report"
)

// changeTracker records when the sessions receive each change to the drains section.
type changeTracker struct {
	sessions int

	mu         sync.Mutex
	changes    map[uint64]*change // by revision
	perSession *hdrhistogram.Histogram
}

// change is a change to the drains section and the sessions that received it.
type change struct {
	sent         time.Time
	receivedBy   int
	lastReceived time.Time
}

func newChangeTracker(sessions int) *changeTracker {
	return &changeTracker{sessions: sessions, changes: make(map[uint64]*change), perSession: report.NewHistogram()}
}

// addSent records a change before it is sent, since a session may receive it before the operator gets the reply.
func (t *changeTracker) addSent(revision uint64, at time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.changes[revision] = &change{sent: at}
}

// remove deletes a change that was not accepted.
func (t *changeTracker) remove(revision uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.changes, revision)
}

// addReceipt records that a session went from one revision to a later one.
func (t *changeTracker) addReceipt(from, to uint64, at time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for r := from + 1; r <= to; r++ {
		if c := t.changes[r]; c != nil {
			c.receivedBy++
			c.lastReceived = at
			t.perSession.RecordValue(at.Sub(c.sent).Microseconds())
		}
	}
}

// allReceived reports whether all sessions received all changes.
func (t *changeTracker) allReceived() bool { return t.summarize().Missing == 0 }

// summarize returns how long the changes took from their send until one session and until all sessions received them.
func (t *changeTracker) summarize() Propagation {
	t.mu.Lock()
	defer t.mu.Unlock()
	allSessions := report.NewHistogram()
	s := Propagation{Changes: len(t.changes)}
	for _, c := range t.changes {
		if c.receivedBy < t.sessions {
			s.Missing++
			continue
		}
		allSessions.RecordValue(c.lastReceived.Sub(c.sent).Microseconds())
	}
	s.AllSessions = quantiles(allSessions)
	s.OneSession = quantiles(t.perSession)
	return s
}

// operator changes the document at the leader of the control group.
type operator struct {
	options    *Options
	clock      clock.Clock
	idPrefix   string
	operations []rpc.Operations
	sessions   []rpc.Session
	leader     int
}

func newOperator(o *Options, c clock.Clock, idPrefix string) *operator {
	p := &operator{options: o, clock: c, idPrefix: idPrefix}
	for _, a := range o.ControlAddresses {
		client := &http.Client{Timeout: 10 * time.Second}
		p.operations = append(p.operations, rpc.NewOperationsProtobufClient("http://"+a, client))
		p.sessions = append(p.sessions, rpc.NewSessionProtobufClient("http://"+a, client))
	}
	return p
}

// electionTimeout limits the wait for a leader. A control group that has just started has none.
const electionTimeout = 5 * time.Second

// callLeader calls the members in turn until one leads, for at most electionTimeout.
func (p *operator) callLeader(ctx context.Context, call func(i int) error) error {
	for end := p.clock.Now().Add(electionTimeout); ; {
		err := call(p.leader)
		if err == nil || fault.Of(err).Code != fault.NotLeader && fault.Of(err).Code != fault.Unreachable || !p.clock.Now().Before(end) {
			return err
		}
		p.leader = (p.leader + 1) % len(p.options.ControlAddresses)
		if err := clock.Sleep(ctx, p.clock, 20*time.Millisecond); err != nil {
			return err
		}
	}
}

// revision returns the current revision of a section.
func (p *operator) revision(ctx context.Context, section document.Section) (uint64, error) {
	var revision uint64
	err := p.callLeader(ctx, func(i int) error {
		reply, err := p.operations[i].Show(ctx, &rpc.ShowRequest{Section: string(section)})
		for _, s := range reply.GetSections() {
			revision = s.GetRevision()
		}
		return err
	})
	return revision, err
}

// apply replaces a section and returns an error if the change is not accepted.
func (p *operator) apply(ctx context.Context, content document.Content, section document.Section, base uint64) error {
	text, err := document.Format(content)
	if err != nil {
		return err
	}
	return p.callLeader(ctx, func(i int) error {
		reply, err := p.operations[i].Apply(ctx, &rpc.ApplyRequest{
			Section: string(section), Base: base, Id: fmt.Sprintf("%s-%s-%d", p.idPrefix, section, base),
			Operator: p.options.Operator, Credential: p.options.Credential, Text: text,
		})
		if err == nil && reply.GetState() != rpc.ApplyState_APPLY_STATE_ACCEPTED {
			return fault.New(fault.Code(reply.GetCode()), "apply change", string(section), "%s", reply.GetReason())
		}
		return err
	})
}

// prepare writes the sections and announces the upstreams that the options require.
func (p *operator) prepare(ctx context.Context, incarnation uint64) error {
	o := p.options
	for _, item := range []struct {
		section document.Section
		content document.Content
		wanted  bool
	}{
		{document.TopologySection, o.topology(), o.changesDocument()},
		{document.ServicesSection, &document.Services{Services: []document.Service{{Name: "read", Prefix: "/read/"}}}, o.changesDocument()},
		{document.WorkspacesSection, o.workspaces(), o.Workspaces > 0},
	} {
		if !item.wanted {
			continue
		}
		base, err := p.revision(ctx, item.section)
		if err != nil {
			return err
		}
		if err := p.apply(ctx, item.content, item.section, base); err != nil {
			return err
		}
	}
	for i := range o.Upstreams {
		u := &rpc.Upstream{
			Service: "read", Address: upstreamAddress(i), Domain: string(o.domainName(i)), Slots: 8, Connections: 300, Incarnation: incarnation,
		}
		if err := p.callLeader(ctx, func(i int) error {
			_, err := p.sessions[i].Announce(ctx, &rpc.AnnounceRequest{Upstream: u})
			return err
		}); err != nil {
			return err
		}
	}
	return nil
}

func (o *Options) topology() *document.Topology {
	p := new(document.Topology)
	for i := range o.Regions {
		region := ident.Region(fmt.Sprint("r", i))
		p.Regions = append(p.Regions, document.Region{Name: region})
		p.Domains = append(p.Domains, document.Domain{Name: o.domainName(2 * i), Region: region}, document.Domain{Name: o.domainName(2*i + 1), Region: region})
	}
	for i := range o.Blocks {
		a := netip.AddrFrom4([4]byte{byte(10 + i>>16), byte(i >> 8), byte(i), 0})
		p.Blocks = append(p.Blocks, document.Block{Prefix: netip.PrefixFrom(a, 24), Region: p.Regions[i%o.Regions].Name})
	}
	return p
}

func (o *Options) workspaces() *document.Workspaces {
	w := new(document.Workspaces)
	for i := range o.Workspaces {
		w.Workspaces = append(w.Workspaces, document.Workspace{
			Name: workspace(i), Rate: 1000, Burst: 1000, Keys: []document.Key{{ID: ident.KeyID(fmt.Sprint("k", i)), Hash: fmt.Sprintf("%064x", i)}},
		})
	}
	return w
}

// uniqueDrain returns a drains section that differs for each revision and whose target doesn't exist.
func uniqueDrain(revision uint64) *document.Drains {
	return &document.Drains{Drains: []document.Drain{{
		Name: fmt.Sprint("probe-", revision), Kind: document.EndpointKind, Target: "127.0.0.1:1",
	}}}
}

func upstreamAddress(i int) string { return fmt.Sprintf("10.%d.%d.%d:80", i>>16, i>>8&255, i&255) }
