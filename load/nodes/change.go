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

// tracker notes when each session has each change to section drains.
type tracker struct {
	sessions int

	mu      sync.Mutex
	changes map[uint64]*change // by revision
	each    *hdrhistogram.Histogram
}

type change struct {
	sent time.Time
	seen int
	last time.Time
}

func newTracker(sessions int) *tracker {
	return &tracker{sessions: sessions, changes: make(map[uint64]*change), each: report.NewHistogram()}
}

// send notes a change before it is sent, since a session may have it before the operator gets the answer.
func (t *tracker) send(revision uint64, at time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.changes[revision] = &change{sent: at}
}

// drop forgets a change that was not accepted.
func (t *tracker) drop(revision uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.changes, revision)
}

// seen notes that one session went from one revision to another.
func (t *tracker) seen(from, to uint64, at time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for r := from + 1; r <= to; r++ {
		if c := t.changes[r]; c != nil {
			c.seen++
			c.last = at
			t.each.RecordValue(at.Sub(c.sent).Microseconds())
		}
	}
}

// complete reports whether all sessions have all changes.
func (t *tracker) complete() bool { return t.spread().Missing == 0 }

// spread summarizes; the time of a change counts from its send until the last session has it.
func (t *tracker) spread() Spread {
	t.mu.Lock()
	defer t.mu.Unlock()
	whole := report.NewHistogram()
	s := Spread{Changes: len(t.changes)}
	for _, c := range t.changes {
		if c.seen < t.sessions {
			s.Missing++
			continue
		}
		whole.RecordValue(c.last.Sub(c.sent).Microseconds())
	}
	s.All = quantiles(whole)
	s.Each = quantiles(t.each)
	return s
}

// operator makes changes at the leader.
type operator struct {
	options *Options
	clock   clock.Clock
	tag     string
	clients []rpc.Operations
	session []rpc.Session
	leader  int
}

func newOperator(o *Options, c clock.Clock, tag string) *operator {
	p := &operator{options: o, clock: c, tag: tag}
	for _, a := range o.Control {
		client := &http.Client{Timeout: 10 * time.Second}
		p.clients = append(p.clients, rpc.NewOperationsProtobufClient("http://"+a, client))
		p.session = append(p.session, rpc.NewSessionProtobufClient("http://"+a, client))
	}
	return p
}

// electTime bounds the wait for a leader, since a group that just started has none.
const electTime = 5 * time.Second

// follow calls at one member after the other until one leads.
func (p *operator) follow(ctx context.Context, call func(i int) error) error {
	for end := p.clock.Now().Add(electTime); ; {
		err := call(p.leader)
		if err == nil || fault.Of(err).Code != fault.Leader && fault.Of(err).Code != fault.Unreachable || !p.clock.Now().Before(end) {
			return err
		}
		p.leader = (p.leader + 1) % len(p.options.Control)
		if err := clock.Sleep(ctx, p.clock, 20*time.Millisecond); err != nil {
			return err
		}
	}
}

// revision returns the revision of a section.
func (p *operator) revision(ctx context.Context, section document.Section) (uint64, error) {
	var revision uint64
	err := p.follow(ctx, func(i int) error {
		reply, err := p.clients[i].Show(ctx, &rpc.ShowRequest{Section: string(section)})
		for _, s := range reply.GetSections() {
			revision = s.GetRevision()
		}
		return err
	})
	return revision, err
}

// apply changes one section and requires that the change is accepted.
func (p *operator) apply(ctx context.Context, part document.Content, section document.Section, base uint64) error {
	text, err := document.Format(part)
	if err != nil {
		return err
	}
	return p.follow(ctx, func(i int) error {
		reply, err := p.clients[i].Apply(ctx, &rpc.ApplyRequest{
			Section: string(section), Base: base, Id: fmt.Sprintf("%s-%s-%d", p.tag, section, base),
			Operator: p.options.Operator, Credential: p.options.Credential, Text: text,
		})
		if err == nil && reply.GetState() != rpc.ApplyState_APPLY_STATE_ACCEPTED {
			return fault.New(fault.Code(reply.GetCode()), "apply change", string(section), "%s", reply.GetReason())
		}
		return err
	})
}

// prepare writes the sections and announces the upstreams that the flags ask for.
func (p *operator) prepare(ctx context.Context, incarnation uint64) error {
	o := p.options
	for _, part := range []struct {
		section document.Section
		part    document.Content
		wanted  bool
	}{
		{document.TopologySection, o.places(), o.writes()},
		{document.ServicesSection, &document.Services{Services: []document.Service{{Name: "read", Prefix: "/read/"}}}, o.writes()},
		{document.WorkspacesSection, o.workspaces(), o.Workspaces > 0},
	} {
		if !part.wanted {
			continue
		}
		base, err := p.revision(ctx, part.section)
		if err != nil {
			return err
		}
		if err := p.apply(ctx, part.part, part.section, base); err != nil {
			return err
		}
	}
	for i := range o.Upstreams {
		u := &rpc.Upstream{
			Service: "read", Address: upstreamAddress(i), Domain: string(o.domain(i)), Slots: 8, Connections: 300, Incarnation: incarnation,
		}
		if err := p.follow(ctx, func(i int) error {
			_, err := p.session[i].Announce(ctx, &rpc.AnnounceRequest{Upstream: u})
			return err
		}); err != nil {
			return err
		}
	}
	return nil
}

func (o *Options) places() *document.Topology {
	p := new(document.Topology)
	for i := range o.Regions {
		region := ident.Region(fmt.Sprint("r", i))
		p.Regions = append(p.Regions, document.Region{Name: region})
		p.Domains = append(p.Domains, document.Domain{Name: o.domain(2 * i), Region: region}, document.Domain{Name: o.domain(2*i + 1), Region: region})
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

// drains returns a section that differs with each revision and names no real place.
func drains(revision uint64) *document.Drains {
	return &document.Drains{Drains: []document.Drain{{
		Name: fmt.Sprint("probe-", revision), Kind: document.EndpointKind, Target: "127.0.0.1:1",
	}}}
}

func upstreamAddress(i int) string { return fmt.Sprintf("10.%d.%d.%d:80", i>>16, i>>8&255, i&255) }
