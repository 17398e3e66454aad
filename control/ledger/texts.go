package ledger

import (
	"fmt"

	"cuminfall.example/fleet/ident"
	"cuminfall.example/fleet/rpc"
)

// Limits of the texts that the ledger keeps besides the document. A section of the document may have many megabytes, and
// each change of it has its text before and after. They are the same on all members, whose states must be equal.
const (
	// MaxAuditBytes limits the texts of audit records. Beyond it, the oldest records are kept without theirs.
	MaxAuditBytes = ident.Bytes(8 << 20)
	// MaxOutcomeBytes limits the texts of the changes that the outcomes of refused changes name.
	MaxOutcomeBytes = ident.Bytes(4 << 20)
	// shortTextBytes is the length of a record's texts up to which they are always kept.
	shortTextBytes = ident.Bytes(256)
)

// textBytes returns the length of a record's texts.
func textBytes(c *rpc.Change) ident.Bytes {
	return ident.Bytes(len(c.GetBefore()) + len(c.GetAfter()))
}

// withoutTexts returns a copy of a record whose texts are replaced by their lengths, or the record itself if they are
// short. Replies may still refer to the record.
func withoutTexts(c *rpc.Change) *rpc.Change {
	if textBytes(c) <= shortTextBytes {
		return c
	}
	note := func(text string) string { return fmt.Sprintf("(%d bytes, no longer kept)", len(text)) }
	return &rpc.Change{Index: c.GetIndex(), TimeMs: c.GetTimeMs(), Operator: c.GetOperator(), Section: c.GetSection(),
		Revision: c.GetRevision(), Id: c.GetId(), Before: note(c.GetBefore()), After: note(c.GetAfter()), Kind: c.GetKind()}
}

// trimAudit drops the oldest records beyond MaxAuditRecords and the oldest texts beyond MaxAuditBytes. The newest record is
// kept whole.
func (l *Ledger) trimAudit() {
	for len(l.audit) > MaxAuditRecords {
		l.auditBytes -= textBytes(l.audit[0])
		l.audit[0] = nil // the array behind the slice is kept for long
		l.audit = l.audit[1:]
		l.trimmedAudit = max(0, l.trimmedAudit-1)
	}
	for ; l.auditBytes > MaxAuditBytes && l.trimmedAudit < len(l.audit)-1; l.trimmedAudit++ {
		record := &l.audit[l.trimmedAudit]
		l.auditBytes -= textBytes(*record)
		*record = withoutTexts(*record)
		l.auditBytes += textBytes(*record)
	}
}

// trimOutcomes drops the oldest outcomes beyond MaxAuditRecords and the oldest texts in them beyond MaxOutcomeBytes. The
// newest outcome is kept whole.
func (l *Ledger) trimOutcomes() {
	for len(l.outcomeOrder) > MaxAuditRecords {
		l.outcomeBytes -= textBytes(l.outcomes[l.outcomeOrder[0]].reply.GetLost())
		delete(l.outcomes, l.outcomeOrder[0])
		l.outcomeOrder = l.outcomeOrder[1:]
		l.trimmedOutcomes = max(0, l.trimmedOutcomes-1)
	}
	for ; l.outcomeBytes > MaxOutcomeBytes && l.trimmedOutcomes < len(l.outcomeOrder)-1; l.trimmedOutcomes++ {
		o := l.outcomes[l.outcomeOrder[l.trimmedOutcomes]]
		lost := o.reply.GetLost()
		if textBytes(lost) <= shortTextBytes {
			continue
		}
		short := withoutTexts(lost)
		l.outcomeBytes += textBytes(short) - textBytes(lost)
		o.reply = &rpc.ApplyReply{State: o.reply.GetState(), Revision: o.reply.GetRevision(), Reason: o.reply.GetReason(), Lost: short, Code: o.reply.GetCode()}
	}
}
