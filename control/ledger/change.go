package ledger

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"fmt"
	"strings"

	"cuminfall.example/control/replica"
	"cuminfall.example/fleet/document"
	"cuminfall.example/fleet/fault"
	"cuminfall.example/fleet/ident"
	"cuminfall.example/fleet/rpc"
)

// Kinds of audit records.
const (
	changeKind  = "change"
	verdictKind = "verdict"
	memberKind  = "member"
)

type digest [sha256.Size]byte

// outcome is the first outcome of a change id.
type outcome struct {
	digest digest
	reply  *rpc.ApplyReply
}

type target struct{ kind, name string }

// Hash returns the form of a credential that is stored: its SHA-256 in hex.
func Hash(credential string) string {
	sum := sha256.Sum256([]byte(credential))
	return hex.EncodeToString(sum[:])
}

// sameHash compares hashes of credentials in constant time.
func sameHash(a, b string) bool {
	return subtle.ConstantTimeCompare([]byte(strings.ToLower(a)), []byte(strings.ToLower(b))) == 1
}

// Operator returns the operator that the credential's hash belongs to.
func (l *Ledger) Operator(name ident.Operator, hash string) (*document.Operator, error) {
	for i := range l.doc.Owners.Operators {
		o := &l.doc.Owners.Operators[i]
		if o.Name == name && sameHash(o.Hash, hash) {
			return o, nil
		}
	}
	return nil, fault.New(fault.Credential, "check credential", string(name), "unknown operator or wrong credential")
}

// Monitor returns the monitor that the credential's hash belongs to.
func (l *Ledger) Monitor(hash string) (*document.Monitor, error) {
	for i := range l.doc.Owners.Monitors {
		if sameHash(l.doc.Owners.Monitors[i].Hash, hash) {
			return &l.doc.Owners.Monitors[i], nil
		}
	}
	return nil, fault.New(fault.Credential, "check credential", "", "not the credential of a monitor")
}

func owns(o *document.Operator, section document.Section) bool {
	for _, s := range o.Sections {
		if s == section {
			return true
		}
	}
	return false
}

func (l *Ledger) found(c Bootstrap) any {
	if l.sections[document.OwnersSection].GetRevision() != 0 {
		return fault.New(fault.Conflict, "found group", "", "the owners section exists")
	}
	next, err := l.next(document.OwnersSection, c.GetOwners())
	if err != nil {
		return fault.Of(err)
	}
	l.doc = *next
	l.replace(document.OwnersSection, c.GetOwners())
	return l.index
}

// next returns the document with one section replaced, or why it cannot be.
func (l *Ledger) next(section document.Section, text string) (*document.Document, error) {
	part, err := document.Parse(section, text)
	if err != nil {
		return nil, err
	}
	doc := l.doc
	doc.Set(part)
	if err := doc.Check(); err != nil {
		return nil, err
	}
	if section == document.OwnersSection && !governed(&doc) {
		return nil, fault.New(fault.Invalid, "check document", string(section), "no operator would own the owners section")
	}
	return &doc, nil
}

// governed reports whether some operator can still change the owners section.
func governed(doc *document.Document) bool {
	for i := range doc.Owners.Operators {
		if owns(&doc.Owners.Operators[i], document.OwnersSection) {
			return true
		}
	}
	return false
}

func (l *Ledger) replace(section document.Section, text string) *rpc.Section {
	s := &rpc.Section{Name: string(section), Revision: l.sections[section].GetRevision() + 1, Text: text}
	l.sections[section] = s
	l.versions.Config = uint64(l.index)
	return s
}

func (l *Ledger) change(c Change, e replica.Entry) any {
	o, err := l.Operator(ident.Operator(c.GetOperator()), c.GetHash())
	if err != nil {
		return refused(err)
	}
	if c.GetId() == "" {
		return refused(fault.New(fault.Invalid, "apply change", c.GetSection(), "missing change id"))
	}
	id := ident.ChangeID(c.GetId())
	sum := changeDigest(c)
	if first := l.outcomes[id]; first != nil {
		if first.digest == sum {
			return first.reply
		}
		return conflict(nil, "change id %q was used for another change", id)
	}
	section := document.Section(c.GetSection())
	current := l.sections[section]
	if current == nil {
		return refused(fault.New(fault.NotFound, "apply change", c.GetSection(), "unknown section %q", section))
	}
	if !owns(o, section) {
		return refused(fault.New(fault.Owner, "apply change", c.GetSection(), "operator %q does not own section %q", o.Name, section))
	}
	reply := l.decide(c, section, current, e)
	l.remember(id, sum, reply)
	return reply
}

// decide applies an authorized change with a new id.
func (l *Ledger) decide(c Change, section document.Section, current *rpc.Section, e replica.Entry) *rpc.ApplyReply {
	if c.GetBase() != current.GetRevision() {
		return conflict(l.lostTo(section, c.GetBase()), "section %q is at revision %d, the change was made on %d",
			section, current.GetRevision(), c.GetBase())
	}
	next, err := l.next(section, c.GetText())
	if err != nil {
		return refused(err)
	}
	l.doc = *next
	s := l.replace(section, c.GetText())
	l.record(&rpc.Change{
		Index: uint64(l.index), TimeMs: e.WallTime.UnixMilli(), Operator: c.GetOperator(), Section: string(section),
		Revision: s.GetRevision(), Id: c.GetId(), Before: current.GetText(), After: s.GetText(), Kind: changeKind,
	})
	return &rpc.ApplyReply{State: rpc.ApplyState_APPLY_STATE_ACCEPTED, Revision: s.GetRevision()}
}

// lostTo returns the earliest recorded change of the section after the base revision.
func (l *Ledger) lostTo(section document.Section, base uint64) *rpc.Change {
	for _, c := range l.audit {
		if c.GetKind() == changeKind && c.GetSection() == string(section) && c.GetRevision() > base {
			return c
		}
	}
	return nil
}

func (l *Ledger) remember(id ident.ChangeID, sum digest, reply *rpc.ApplyReply) {
	l.outcomes[id] = &outcome{digest: sum, reply: reply}
	l.order = append(l.order, id)
	if len(l.order) > Trail {
		delete(l.outcomes, l.order[0])
		l.order = l.order[1:]
	}
}

func (l *Ledger) record(c *rpc.Change) {
	l.audit = append(l.audit, c)
	if len(l.audit) > Trail {
		l.audit = l.audit[1:]
	}
}

// changeDigest covers everything that makes a change the same on resubmission.
func changeDigest(c Change) digest {
	h := sha256.New()
	for _, part := range []string{c.GetSection(), c.GetOperator(), c.GetText()} {
		fmt.Fprintf(h, "%d:%s", len(part), part)
	}
	fmt.Fprintf(h, "%d", c.GetBase())
	return digest(h.Sum(nil))
}

func refused(err error) *rpc.ApplyReply {
	f := fault.Of(err)
	return &rpc.ApplyReply{State: rpc.ApplyState_APPLY_STATE_REFUSED, Reason: f.Message, Code: string(f.Code)}
}

func conflict(lost *rpc.Change, format string, args ...any) *rpc.ApplyReply {
	return &rpc.ApplyReply{
		State: rpc.ApplyState_APPLY_STATE_CONFLICT, Reason: fmt.Sprintf(format, args...),
		Lost: lost, Code: string(fault.Conflict),
	}
}

func (l *Ledger) judge(c SetVerdict, e replica.Entry) any {
	m, err := l.Monitor(c.GetHash())
	if err != nil {
		return fault.Of(err)
	}
	v := c.GetVerdict()
	if err := l.checkVerdict(v); err != nil {
		return fault.Of(err)
	}
	key := target{v.GetKind(), v.GetTarget()}
	old := l.verdicts[key]
	if old.GetId() == v.GetId() && old.GetDown() == v.GetDown() {
		return ident.Index(old.GetIndex())
	}
	now := &rpc.Verdict{Kind: v.GetKind(), Target: v.GetTarget(), Down: v.GetDown(), Index: uint64(l.index), Id: v.GetId()}
	l.verdicts[key] = now
	if now.GetDown() && key.kind == string(document.VMKind) {
		l.settle(ident.VM(key.name))
	}
	l.versions.Config = uint64(l.index)
	l.record(&rpc.Change{
		Index: uint64(l.index), TimeMs: e.WallTime.UnixMilli(), Operator: m.Name, Section: v.GetKind() + "/" + v.GetTarget(),
		Id: v.GetId(), Before: verdictWord(old), After: verdictWord(now), Kind: verdictKind,
	})
	return l.index
}

func verdictWord(v *rpc.Verdict) string {
	if v.GetDown() {
		return "down"
	}
	return "up"
}

func (l *Ledger) checkVerdict(v *rpc.Verdict) error {
	known := false
	switch document.TargetKind(v.GetKind()) {
	case document.RegionKind:
		for _, r := range l.doc.Topology.Regions {
			known = known || string(r.Name) == v.GetTarget()
		}
	case document.DomainKind:
		known = l.doc.Topology.RegionOf(ident.Domain(v.GetTarget())) != ""
	case document.EndpointKind, document.VMKind:
		known = v.GetTarget() != ""
	default:
		return fault.New(fault.Invalid, "judge", v.GetTarget(), "kind %q must be endpoint, domain, region or vm", v.GetKind())
	}
	if !known {
		return fault.New(fault.NotFound, "judge", v.GetTarget(), "unknown %s %q", v.GetKind(), v.GetTarget())
	}
	if v.GetId() == "" {
		return fault.New(fault.Invalid, "judge", v.GetTarget(), "missing id")
	}
	return nil
}

func (l *Ledger) remove(c Remove, e replica.Entry) any {
	o, err := l.Operator(ident.Operator(c.GetOperator()), c.GetHash())
	if err != nil {
		return fault.Of(err)
	}
	if !owns(o, document.OwnersSection) {
		return fault.New(fault.Owner, "remove member", c.GetName(), "operator %q does not own section %q", o.Name, document.OwnersSection)
	}
	l.record(&rpc.Change{
		Index: uint64(l.index), TimeMs: e.WallTime.UnixMilli(), Operator: c.GetOperator(), Section: "member/" + c.GetName(),
		Id: c.GetId(), Before: "member", After: "removed", Kind: memberKind,
	})
	return l.index
}
