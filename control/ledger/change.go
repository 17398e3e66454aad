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

// outcome is the reply to the first change with an id, and the digest of that change.
type outcome struct {
	digest digest
	reply  *rpc.ApplyReply
}

type verdictTarget struct{ kind, name string }

// HashCredential returns the SHA-256 of a credential in hex, which is stored instead of the credential.
func HashCredential(credential string) string {
	sum := sha256.Sum256([]byte(credential))
	return hex.EncodeToString(sum[:])
}

// equalHashes compares hashes of credentials in constant time and ignores the case of hex digits.
func equalHashes(a, b string) bool {
	return subtle.ConstantTimeCompare([]byte(strings.ToLower(a)), []byte(strings.ToLower(b))) == 1
}

// Operator returns the named operator if the hash is that of its credential, and otherwise an
// error with the code fault.InvalidCredential.
func (l *Ledger) Operator(name ident.Operator, hash string) (*document.Operator, error) {
	for i := range l.doc.Owners.Operators {
		o := &l.doc.Owners.Operators[i]
		if o.Name == name && equalHashes(o.Hash, hash) {
			return o, nil
		}
	}
	return nil, fault.New(fault.InvalidCredential, "check credential", string(name), "unknown operator or wrong credential")
}

// Monitor returns the monitor whose credential has the hash, and otherwise an error with the code
// fault.InvalidCredential.
func (l *Ledger) Monitor(hash string) (*document.Monitor, error) {
	for i := range l.doc.Owners.Monitors {
		if equalHashes(l.doc.Owners.Monitors[i].Hash, hash) {
			return &l.doc.Owners.Monitors[i], nil
		}
	}
	return nil, fault.New(fault.InvalidCredential, "check credential", "", "no monitor has this credential")
}

func ownsSection(o *document.Operator, section document.Section) bool {
	for _, s := range o.Sections {
		if s == section {
			return true
		}
	}
	return false
}

func (l *Ledger) bootstrap(c Bootstrap) any {
	if l.sections[document.OwnersSection].GetRevision() != 0 {
		return fault.New(fault.Conflict, "found group", "", "the owners section already exists")
	}
	updated, err := l.withSection(document.OwnersSection, c.GetOwners())
	if err != nil {
		return fault.Of(err)
	}
	l.doc = *updated
	l.replaceSection(document.OwnersSection, c.GetOwners())
	return l.index
}

// withSection returns a copy of the document with one section replaced, or an error if the text or
// the resulting document is invalid.
func (l *Ledger) withSection(section document.Section, text string) (*document.Document, error) {
	content, err := document.Parse(section, text)
	if err != nil {
		return nil, err
	}
	doc := l.doc
	doc.Set(content)
	if err := doc.Check(); err != nil {
		return nil, err
	}
	if section == document.OwnersSection && !hasOwnersOperator(&doc) {
		return nil, fault.New(fault.Invalid, "check document", string(section), "no operator would own the owners section")
	}
	return &doc, nil
}

// hasOwnersOperator reports whether at least one operator may change the owners section.
func hasOwnersOperator(doc *document.Document) bool {
	for i := range doc.Owners.Operators {
		if ownsSection(&doc.Owners.Operators[i], document.OwnersSection) {
			return true
		}
	}
	return false
}

func (l *Ledger) replaceSection(section document.Section, text string) *rpc.Section {
	s := &rpc.Section{Name: string(section), Revision: l.sections[section].GetRevision() + 1, Text: text}
	l.sections[section] = s
	l.versions.Config = uint64(l.index)
	return s
}

func (l *Ledger) applyChange(c Change, e replica.Entry) any {
	o, err := l.Operator(ident.Operator(c.GetOperator()), c.GetHash())
	if err != nil {
		return refusedReply(err)
	}
	if c.GetId() == "" {
		return refusedReply(fault.New(fault.Invalid, "apply change", c.GetSection(), "change has no id"))
	}
	id := ident.ChangeID(c.GetId())
	sum := changeDigest(c)
	if earlier := l.outcomes[id]; earlier != nil {
		if earlier.digest == sum {
			return earlier.reply
		}
		return conflictReply(nil, "change id %q was already used for another change", id)
	}
	section := document.Section(c.GetSection())
	current := l.sections[section]
	if current == nil {
		return refusedReply(fault.New(fault.NotFound, "apply change", c.GetSection(), "unknown section %q", section))
	}
	if !ownsSection(o, section) {
		return refusedReply(fault.New(fault.NotOwner, "apply change", c.GetSection(), "operator %q does not own section %q", o.Name, section))
	}
	reply := l.applyAuthorized(c, section, current, e)
	l.recordOutcome(id, sum, reply)
	return reply
}

// applyAuthorized applies a change whose operator owns the section and whose id is new.
func (l *Ledger) applyAuthorized(c Change, section document.Section, current *rpc.Section, e replica.Entry) *rpc.ApplyReply {
	if c.GetBase() != current.GetRevision() {
		return conflictReply(l.conflictingChange(section, c.GetBase()), "section %q is at revision %d, the change was made on %d",
			section, current.GetRevision(), c.GetBase())
	}
	updated, err := l.withSection(section, c.GetText())
	if err != nil {
		return refusedReply(err)
	}
	l.doc = *updated
	s := l.replaceSection(section, c.GetText())
	l.appendAudit(&rpc.Change{
		Index: uint64(l.index), TimeMs: e.WallTime.UnixMilli(), Operator: c.GetOperator(), Section: string(section),
		Revision: s.GetRevision(), Id: c.GetId(), Before: current.GetText(), After: s.GetText(), Kind: changeKind,
	})
	return &rpc.ApplyReply{State: rpc.ApplyState_APPLY_STATE_ACCEPTED, Revision: s.GetRevision()}
}

// HasOutcome reports whether the ledger has the reply to a change with an id.
func (l *Ledger) HasOutcome(id ident.ChangeID) bool { return l.outcomes[id] != nil }

// conflictingChange returns the earliest change of the section after the base revision, or nil if
// the audit trail no longer has it.
func (l *Ledger) conflictingChange(section document.Section, base uint64) *rpc.Change {
	for _, c := range l.audit {
		if c.GetKind() == changeKind && c.GetSection() == string(section) && c.GetRevision() > base {
			return c
		}
	}
	return nil
}

// recordOutcome stores the reply to a change. The reply's texts are part of the replicated state:
// members of different builds must produce the same.
func (l *Ledger) recordOutcome(id ident.ChangeID, sum digest, reply *rpc.ApplyReply) {
	l.outcomes[id] = &outcome{digest: sum, reply: reply}
	l.outcomeOrder = append(l.outcomeOrder, id)
	l.outcomeBytes += textBytes(reply.GetLost())
	l.trimOutcomes()
}

func (l *Ledger) appendAudit(c *rpc.Change) {
	l.audit = append(l.audit, c)
	l.auditBytes += textBytes(c)
	l.trimAudit()
}

// changeDigest returns a digest by which a resubmitted change is recognized as the same: it covers
// the section, the operator, the text and the base revision.
func changeDigest(c Change) digest {
	hash := sha256.New()
	for _, part := range []string{c.GetSection(), c.GetOperator(), c.GetText()} {
		fmt.Fprintf(hash, "%d:%s", len(part), part)
	}
	fmt.Fprintf(hash, "%d", c.GetBase())
	return digest(hash.Sum(nil))
}

func refusedReply(err error) *rpc.ApplyReply {
	f := fault.Of(err)
	return &rpc.ApplyReply{State: rpc.ApplyState_APPLY_STATE_REFUSED, Reason: f.Message, Code: string(f.Code)}
}

func conflictReply(lost *rpc.Change, format string, args ...any) *rpc.ApplyReply {
	return &rpc.ApplyReply{
		State: rpc.ApplyState_APPLY_STATE_CONFLICT, Reason: fmt.Sprintf(format, args...),
		Lost: lost, Code: string(fault.Conflict),
	}
}

func (l *Ledger) setVerdict(c SetVerdict, e replica.Entry) any {
	m, err := l.Monitor(c.GetHash())
	if err != nil {
		return fault.Of(err)
	}
	v := c.GetVerdict()
	if err := l.checkVerdict(v); err != nil {
		return fault.Of(err)
	}
	key := verdictTarget{v.GetKind(), v.GetTarget()}
	old := l.verdicts[key]
	if old.GetId() == v.GetId() && old.GetDown() == v.GetDown() {
		return ident.Index(old.GetIndex())
	}
	updated := &rpc.Verdict{Kind: v.GetKind(), Target: v.GetTarget(), Down: v.GetDown(), Index: uint64(l.index), Id: v.GetId()}
	l.verdicts[key] = updated
	if updated.GetDown() && key.kind == string(document.VMKind) {
		l.dropResidualUses(ident.VM(key.name))
	}
	l.versions.Config = uint64(l.index)
	l.appendAudit(&rpc.Change{
		Index: uint64(l.index), TimeMs: e.WallTime.UnixMilli(), Operator: m.Name, Section: v.GetKind() + "/" + v.GetTarget(),
		Id: v.GetId(), Before: verdictState(old), After: verdictState(updated), Kind: verdictKind,
	})
	return l.index
}

func verdictState(v *rpc.Verdict) string {
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
		return fault.New(fault.Invalid, "judge", v.GetTarget(), "verdict has no id")
	}
	return nil
}

func (l *Ledger) recordRemoval(c Remove, e replica.Entry) any {
	o, err := l.Operator(ident.Operator(c.GetOperator()), c.GetHash())
	if err != nil {
		return fault.Of(err)
	}
	if !ownsSection(o, document.OwnersSection) {
		return fault.New(fault.NotOwner, "remove member", c.GetName(), "operator %q does not own section %q", o.Name, document.OwnersSection)
	}
	l.appendAudit(&rpc.Change{
		Index: uint64(l.index), TimeMs: e.WallTime.UnixMilli(), Operator: c.GetOperator(), Section: "member/" + c.GetName(),
		Id: c.GetId(), Before: "member", After: "removed", Kind: memberKind,
	})
	return l.index
}
