package ledger

import (
	"cuminfall.example/control/replica"
	"cuminfall.example/fleet/ident"
	"cuminfall.example/fleet/rpc"
)

// Change returns the accepted change of an operator's own id, or nil if it is not in the audit trail.
func (l *Ledger) Change(id ident.ChangeID) *rpc.Change {
	for i := len(l.audit) - 1; i >= 0; i-- {
		if l.audit[i].GetId() == string(id) {
			return l.audit[i]
		}
	}
	return nil
}

// MemberJoined implements replica.StateMachine. A join is by the member's settings and has no operator.
func (l *Ledger) MemberJoined(e replica.Entry, name string, address ident.Address) {
	l.index = e.Index
	l.at = max(l.at, e.LogTime)
	l.record(&rpc.Change{
		Index: uint64(l.index), TimeMs: e.WallTime.UnixMilli(), Section: "member/" + name,
		After: "joined at " + string(address), Kind: memberKind,
	})
}
