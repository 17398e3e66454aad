package ledger

import (
	"fmt"
	"strings"
	"testing"

	"github.com/matryer/is"

	"cuminfall.example/fleet/ident"
	"cuminfall.example/fleet/rpc"
)

// Guards against a member whose memory and snapshots grow by the text of a long section with each change of it: the audit
// trail was bounded by its number of records.
func TestAuditTrailIsBoundedInBytes(t *testing.T) {
	is := is.New(t)
	b := newTestLedger(t)
	const sectionSize, changes = 400 << 10, 60
	text := func(i int) string {
		return fmt.Sprintf("[[workspace]]\nname = \"w\"\nrate = %d.0\nburst = 50.0\n%s", i+1, strings.Repeat("# comment\n", sectionSize/10))
	}
	for i := range changes {
		r := b.change("workspaces", fmt.Sprint("change-", i), "bob", "bob", text(i), uint64(i+1))
		is.Equal(r.GetState(), rpc.ApplyState_APPLY_STATE_ACCEPTED)
		// A change on an earlier revision names the change that came before it.
		late := b.change("workspaces", fmt.Sprint("late-", i), "bob", "bob", text(0), uint64(i+1))
		is.Equal(late.GetState(), rpc.ApplyState_APPLY_STATE_CONFLICT)
		is.Equal(late.GetLost().GetAfter(), text(i))
	}
	state, err := b.Snapshot()
	is.NoErr(err)
	is.True(ident.Bytes(len(state)) <= MaxAuditBytes+MaxOutcomeBytes+4*sectionSize)

	audit := b.Audit(0, 0)
	newest := audit[len(audit)-1]
	is.Equal(newest.GetAfter(), text(changes-1))
	is.Equal(newest.GetBefore(), text(changes-2))
	oldest := b.ChangeByID("change-1") // who changed what is still known
	is.Equal(oldest.GetOperator(), "bob")
	is.Equal(oldest.GetSection(), "workspaces")
	is.Equal(oldest.GetAfter(), fmt.Sprintf("(%d bytes, no longer kept)", len(text(1))))

	// A repeat of an old change still has its outcome.
	repeat := b.change("workspaces", "late-1", "bob", "bob", text(0), 2)
	is.Equal(repeat.GetState(), rpc.ApplyState_APPLY_STATE_CONFLICT)
	is.Equal(repeat.GetLost().GetId(), "change-1")

	restored := New()
	is.NoErr(restored.Restore(state))
	again, err := restored.Snapshot()
	is.NoErr(err)
	is.True(string(again) == string(state))
	is.Equal(restored.auditBytes, b.auditBytes)
	is.Equal(restored.outcomeBytes, b.outcomeBytes)
}

// Guards against a member that takes over the whole audit trail of an earlier build's snapshot.
func TestLongAuditTrailOfEarlierBuildIsShortened(t *testing.T) {
	is := is.New(t)
	b := newTestLedger(t)
	for i := range 64 {
		b.audit = append(b.audit, &rpc.Change{Index: uint64(100 + i), Operator: "bob", Section: "workspaces", After: strings.Repeat("x", 1<<20)})
	}
	state, err := b.Snapshot()
	is.NoErr(err)
	restored := New()
	is.NoErr(restored.Restore(state))
	is.True(restored.auditBytes <= MaxAuditBytes)
	is.Equal(len(restored.audit), len(b.audit))
	short, err := restored.Snapshot()
	is.NoErr(err)
	is.True(ident.Bytes(len(short)) <= MaxAuditBytes+(1<<20))
}
