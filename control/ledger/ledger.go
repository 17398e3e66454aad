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

// Limits on how many records are kept, and for how long.
const (
	MaxAuditRecords = 10000          // also the maximum number of change ids whose outcomes are kept
	ClaimLifetime   = 24 * time.Hour // in log time, from the claim on
)

// Ledger is the replicated state; it implements replica.StateMachine.
type Ledger struct {
	index    ident.Index   // index of the last applied entry
	logTime  time.Duration // log time of the last applied entry
	versions *rpc.Versions // of config, registry and members; each holder has its own version of its allotments

	doc      document.Document
	sections map[document.Section]*rpc.Section
	verdicts map[verdictTarget]*rpc.Verdict

	audit           []*rpc.Change // oldest first
	auditBytes      ident.Bytes   // length of their texts
	trimmedAudit    int           // number of records at the start of audit whose texts are dropped or short
	outcomes        map[ident.ChangeID]*outcome
	outcomeOrder    []ident.ChangeID // keys of outcomes, oldest first
	outcomeBytes    ident.Bytes      // length of the texts in outcomes
	trimmedOutcomes int              // number of outcomes at the start of outcomeOrder whose texts are dropped or short

	claims      map[claimKey]*claim
	claimQueue  []claimQueueEntry // all claims by log time, oldest first
	answerBytes ident.Bytes       // size of the answers in claims

	abandonedTokens map[string]bool  // tokens of claims that must not be granted any more
	abandonedQueue  []abandonedToken // the same tokens by log time, oldest first

	upstreams  map[ident.Address]*rpc.Upstream
	departures map[ident.Address]departure

	vms     map[ident.VM]*entryVM
	holders map[Holder]*holderState

	residualUses []residualUse // in the order in which their holders were released
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
		versions:        new(rpc.Versions),
		sections:        make(map[document.Section]*rpc.Section),
		verdicts:        make(map[verdictTarget]*rpc.Verdict),
		outcomes:        make(map[ident.ChangeID]*outcome),
		claims:          make(map[claimKey]*claim),
		abandonedTokens: make(map[string]bool),
		upstreams:       make(map[ident.Address]*rpc.Upstream),
		departures:      make(map[ident.Address]departure),
		vms:             make(map[ident.VM]*entryVM),
		holders:         make(map[Holder]*holderState),
	}
	for _, s := range document.Sections {
		l.sections[s] = &rpc.Section{Name: string(s)}
	}
}

// Apply implements replica.StateMachine. It returns a *fault.Error for a refused command, and
// otherwise the command's reply message, the number of refused allotments for SetShares, or the
// entry's ident.Index for commands without a reply.
func (l *Ledger) Apply(e replica.Entry) any {
	l.index = e.Index
	if e.LogTime > l.logTime {
		l.logTime = e.LogTime
	}
	l.dropExpired()
	c, err := Decode(e.Data)
	if err != nil {
		return fault.Of(err)
	}
	return l.dispatch(c, e)
}

func (l *Ledger) dispatch(c Command, e replica.Entry) any {
	switch c := c.(type) {
	case Bootstrap:
		return l.bootstrap(c)
	case Change:
		return l.applyChange(c, e)
	case Claim:
		return l.applyClaim(c)
	case Complete:
		return l.completeClaim(c)
	case Abandon:
		return l.abandonClaim(c)
	case Announce:
		return l.announceUpstream(c)
	case UpdateUpstreamStates:
		return l.updateUpstreamStates(c)
	case SetVerdict:
		return l.setVerdict(c, e)
	case RegisterEntryVM:
		return l.registerEntryVM(c)
	case SetShares:
		return l.setShares(c)
	case Remove:
		return l.recordRemoval(c, e)
	}
	return fault.New(fault.Internal, "apply entry", "", "unknown command type")
}

// Index returns the index of the last applied entry.
func (l *Ledger) Index() ident.Index { return l.index }

// LogTime returns the log time of the last applied entry, which never goes back.
func (l *Ledger) LogTime() time.Duration { return l.logTime }

// Versions returns the log indexes at which the configuration, the registry, the members and
// the holder's allotments last changed.
func (l *Ledger) Versions(h Holder) *rpc.Versions {
	v := &rpc.Versions{Config: l.versions.GetConfig(), Registry: l.versions.GetRegistry(), Members: l.versions.GetMembers()}
	if state := l.holders[h]; state != nil {
		v.Allotments = uint64(state.changedAt)
	}
	return v
}

// Document returns the current document, which the caller must not change.
func (l *Ledger) Document() *document.Document { return &l.doc }

// Sections returns all sections of the document, in the order of document.Sections.
func (l *Ledger) Sections() []*rpc.Section {
	list := make([]*rpc.Section, 0, len(document.Sections))
	for _, s := range document.Sections {
		list = append(list, l.sections[s])
	}
	return list
}

// Verdict returns the newest verdict on a target, or nil if there is none.
func (l *Ledger) Verdict(kind, target string) *rpc.Verdict {
	return l.verdicts[verdictTarget{kind, target}]
}

// Verdicts returns the verdicts in force, sorted by kind and target.
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

// Upstreams returns the registered upstreams, sorted by address.
func (l *Ledger) Upstreams() []*rpc.Upstream {
	list := make([]*rpc.Upstream, 0, len(l.upstreams))
	for _, u := range l.upstreams {
		list = append(list, u)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].GetAddress() < list[j].GetAddress() })
	return list
}

// Members returns the registered entry VMs with a valid lease, including those that are leaving,
// sorted by name.
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

// Audit returns the newest audit records after the given index, at most limit of them, oldest first.
// A limit of 0 means all.
func (l *Ledger) Audit(after ident.Index, limit int) []*rpc.Change {
	from := sort.Search(len(l.audit), func(i int) bool { return l.audit[i].GetIndex() > uint64(after) })
	list := l.audit[from:]
	if limit > 0 && len(list) > limit {
		list = list[len(list)-limit:]
	}
	return append([]*rpc.Change(nil), list...)
}
