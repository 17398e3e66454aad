package ledger

import (
	"cuminfall.example/control/replica"
	"cuminfall.example/fleet/ident"
	"cuminfall.example/fleet/rpc"
)

// ChangeByID returns the newest audit record with the given id, or nil if the audit trail has none.
func (l *Ledger) ChangeByID(id ident.ChangeID) *rpc.Change {
	for i := len(l.audit) - 1; i >= 0; i-- {
		if l.audit[i].GetId() == string(id) {
			return l.audit[i]
		}
	}
	return nil
}

// MemberJoined implements replica.StateMachine. The audit record has no operator, because a member
// joins by its own settings.
func (l *Ledger) MemberJoined(e replica.Entry, name string, address ident.Address) {
	l.index = e.Index
	l.logTime = max(l.logTime, e.LogTime)
	l.appendAudit(&rpc.Change{
		Index: uint64(l.index), TimeMs: e.WallTime.UnixMilli(), Section: "member/" + name,
		After: "joined at " + string(address), Kind: memberKind,
	})
}
