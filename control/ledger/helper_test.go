package ledger

import (
	"testing"
	"time"

	"cuminfall.example/control/ledger/wire"
	"cuminfall.example/control/replica"
	"cuminfall.example/fleet/fault"
	"cuminfall.example/fleet/rpc"
)

const ownersText = `
[[operator]]
name = "ann"
hash = "HASH-ann"
sections = ["owners", "places", "services", "workspaces", "drains", "shifts"]
[[operator]]
name = "bob"
hash = "HASH-bob"
sections = ["workspaces"]
[[monitor]]
name = "mon"
hash = "HASH-mon"
`

// testLedger is a ledger with test data whose commands are applied at consecutive indexes.
type testLedger struct {
	*Ledger
	t          testing.TB
	lastIndex  uint64
	logTimeNow time.Duration
}

func newTestLedger(t testing.TB) *testLedger {
	b := &testLedger{Ledger: New(), t: t}
	text := ownersText
	for _, name := range []string{"ann", "bob", "mon"} {
		text = replaceAll(text, "HASH-"+name, HashCredential(name))
	}
	b.applyNext(Bootstrap{&wire.Found{Owners: text}})
	b.mustChange("places", "[[region]]\nname = \"r\"\ncapacity = 10\n[[domain]]\nname = \"d1\"\nregion = \"r\"\n")
	b.mustChange("services", "[[service]]\nname = \"s\"\nprefix = \"/s/\"\n")
	b.mustChange("workspaces", "[[workspace]]\nname = \"w\"\nrate = 100.0\nburst = 50.0\n")
	return b
}

// applyNext encodes a command and applies it at the next index.
func (b *testLedger) applyNext(c Command) any {
	b.t.Helper()
	data, err := Encode(c)
	if err != nil {
		b.t.Fatal(err)
	}
	b.lastIndex++
	return b.Apply(replica.Entry{Index: toIndex(b.lastIndex), LogTime: b.logTimeNow, WallTime: time.Unix(1000+int64(b.lastIndex), 0), Data: data})
}

func (b *testLedger) change(section, id, operator, credential, text string, base uint64) *rpc.ApplyReply {
	b.t.Helper()
	return b.applyNext(Change{&wire.Change{Section: section, Base: base, Id: id, Operator: operator, Hash: HashCredential(credential), Text: text}}).(*rpc.ApplyReply)
}

func (b *testLedger) mustChange(section, text string) {
	b.t.Helper()
	if r := b.change(section, "set-"+section, "ann", "ann", text, 0); r.GetState() != rpc.ApplyState_APPLY_STATE_ACCEPTED {
		b.t.Fatal(r)
	}
}

// code returns the fault code of an Apply result, or "" if it is no refusal.
func code(result any) fault.Code {
	switch r := result.(type) {
	case *fault.Error:
		return r.Code
	case *rpc.ApplyReply:
		return fault.Code(r.GetCode())
	}
	return ""
}
