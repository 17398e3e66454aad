package ledger

import (
	"sort"
	"time"

	"cuminfall.example/control/replica"
	"cuminfall.example/fleet/document"
	"cuminfall.example/fleet/fault"
	"cuminfall.example/fleet/ident"
	"cuminfall.example/fleet/rpc"
)

// Retention of records.
const (
	Trail         = 10000          // changes in the audit trail, and change ids with outcomes
	ClaimLifetime = 24 * time.Hour // of log time, from the claim
)

// Ledger is the replicated state; it implements replica.StateMachine.
type Ledger struct {
	index    ident.Index   // of the last applied entry
	at       time.Duration // log time of the last applied entry
	versions *rpc.Versions // of config, registry and members; allotments have versions by holder

	doc      document.Document
	sections map[document.Section]*rpc.Section
	verdicts map[target]*rpc.Verdict

	audit    []*rpc.Change // oldest first
	outcomes map[ident.ChangeID]*outcome
	order    []ident.ChangeID // of outcomes, oldest first

	claims  map[claimKey]*claim
	claimed []claimMark // by log time

	abandoned map[string]bool // tokens of abandoned claims
	marks     []abandonedMark // by log time

	upstreams  map[ident.Address]*rpc.Upstream
	departures map[ident.Address]departure

	vms     map[ident.VM]*vm
	holders map[Holder]*holding

	residues []residue // in the order of the releases
}

var _ replica.StateMachine = (*Ledger)(nil)

// New returns an empty ledger.
func New() *Ledger {
	l := new(Ledger)
	l.reset()
	return l
}

func (l *Ledger) reset() {
	*l = Ledger{
		versions:   new(rpc.Versions),
		sections:   make(map[document.Section]*rpc.Section),
		verdicts:   make(map[target]*rpc.Verdict),
		outcomes:   make(map[ident.ChangeID]*outcome),
		claims:     make(map[claimKey]*claim),
		abandoned:  make(map[string]bool),
		upstreams:  make(map[ident.Address]*rpc.Upstream),
		departures: make(map[ident.Address]departure),
		vms:        make(map[ident.VM]*vm),
		holders:    make(map[Holder]*holding),
	}
	for _, s := range document.Sections {
		l.sections[s] = &rpc.Section{Name: string(s)}
	}
}

// Apply implements replica.StateMachine. The result is the command's reply message,
// the entry's ident.Index where there is none, or a *fault.Error for a refusal.
func (l *Ledger) Apply(e replica.Entry) any {
	l.index = e.Index
	if e.LogTime > l.at {
		l.at = e.LogTime
	}
	l.expire()
	c, err := Decode(e.Data)
	if err != nil {
		return fault.Of(err)
	}
	return l.perform(c, e)
}

func (l *Ledger) perform(c Command, e replica.Entry) any {
	switch c := c.(type) {
	case Bootstrap:
		return l.found(c)
	case Change:
		return l.change(c, e)
	case Claim:
		return l.claim(c)
	case Complete:
		return l.complete(c)
	case Abandon:
		return l.abandon(c)
	case Announce:
		return l.announce(c)
	case UpdateUpstreamStates:
		return l.suspect(c)
	case SetVerdict:
		return l.judge(c, e)
	case RegisterEntryVM:
		return l.enter(c)
	case SetShares:
		return l.lend(c)
	case Remove:
		return l.remove(c, e)
	}
	return fault.New(fault.Internal, "apply entry", "", "unknown command")
}

// Index returns the index of the last applied entry.
func (l *Ledger) Index() ident.Index { return l.index }

// LogTime returns the log time of the last applied entry.
func (l *Ledger) LogTime() time.Duration { return l.at }

// Versions returns the log indexes at which the parts last changed; holder's allotments included.
func (l *Ledger) Versions(h Holder) *rpc.Versions {
	v := &rpc.Versions{Config: l.versions.GetConfig(), Registry: l.versions.GetRegistry(), Members: l.versions.GetMembers()}
	if hold := l.holders[h]; hold != nil {
		v.Allotments = uint64(hold.version)
	}
	return v
}

// Document returns the current document, which the caller must not change.
func (l *Ledger) Document() *document.Document { return &l.doc }

// Sections returns the sections in the document's order.
func (l *Ledger) Sections() []*rpc.Section {
	list := make([]*rpc.Section, 0, len(document.Sections))
	for _, s := range document.Sections {
		list = append(list, l.sections[s])
	}
	return list
}

// Verdicts returns the verdicts in force, by kind and target.
func (l *Ledger) Verdicts() []*rpc.Verdict {
	list := make([]*rpc.Verdict, 0, len(l.verdicts))
	for _, v := range l.verdicts {
		list = append(list, v)
	}
	sort.Slice(list, func(i, j int) bool {
		if list[i].GetKind() != list[j].GetKind() {
			return list[i].GetKind() < list[j].GetKind()
		}
		return list[i].GetTarget() < list[j].GetTarget()
	})
	return list
}

// Upstreams returns the registered upstreams by address.
func (l *Ledger) Upstreams() []*rpc.Upstream {
	list := make([]*rpc.Upstream, 0, len(l.upstreams))
	for _, u := range l.upstreams {
		list = append(list, u)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].GetAddress() < list[j].GetAddress() })
	return list
}

// Members returns the entry VMs that lookups may name, and those that leave.
func (l *Ledger) Members() []*rpc.Member {
	list := make([]*rpc.Member, 0, len(l.vms))
	for _, v := range l.vms {
		if !v.absent {
			list = append(list, v.member)
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].GetVm() < list[j].GetVm() })
	return list
}

// Audit returns the newest changes after the given index, up to limit of them, oldest first; a limit of 0 means all.
func (l *Ledger) Audit(after ident.Index, limit int) []*rpc.Change {
	from := sort.Search(len(l.audit), func(i int) bool { return l.audit[i].GetIndex() > uint64(after) })
	list := l.audit[from:]
	if limit > 0 && len(list) > limit {
		list = list[len(list)-limit:]
	}
	return append([]*rpc.Change(nil), list...)
}
