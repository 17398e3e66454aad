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

// bench applies commands with rising indexes.
type bench struct {
	*Ledger
	t     testing.TB
	index uint64
	now   time.Duration
}

func newBench(t testing.TB) *bench {
	b := &bench{Ledger: New(), t: t}
	text := ownersText
	for _, name := range []string{"ann", "bob", "mon"} {
		text = replaceAll(text, "HASH-"+name, Hash(name))
	}
	b.do(Bootstrap{&wire.Found{Owners: text}})
	b.set("places", "[[region]]\nname = \"r\"\ncapacity = 10\n[[domain]]\nname = \"d1\"\nregion = \"r\"\n")
	b.set("services", "[[service]]\nname = \"s\"\nprefix = \"/s/\"\n")
	b.set("workspaces", "[[workspace]]\nname = \"w\"\nrate = 100.0\nburst = 50.0\n")
	return b
}

func (b *bench) do(c Command) any {
	b.t.Helper()
	data, err := Encode(c)
	if err != nil {
		b.t.Fatal(err)
	}
	b.index++
	return b.Apply(replica.Entry{Index: identIndex(b.index), LogTime: b.now, WallTime: time.Unix(1000+int64(b.index), 0), Data: data})
}

func (b *bench) change(section, id, operator, credential, text string, base uint64) *rpc.ApplyReply {
	b.t.Helper()
	return b.do(Change{&wire.Change{Section: section, Base: base, Id: id, Operator: operator, Hash: Hash(credential), Text: text}}).(*rpc.ApplyReply)
}

func (b *bench) set(section, text string) {
	b.t.Helper()
	if r := b.change(section, "set-"+section, "ann", "ann", text, 0); r.GetState() != rpc.ApplyState_APPLY_STATE_ACCEPTED {
		b.t.Fatal(r)
	}
}

// code returns the fault code of a result, or "".
func code(result any) fault.Code {
	switch r := result.(type) {
	case *fault.Error:
		return r.Code
	case *rpc.ApplyReply:
		return fault.Code(r.GetCode())
	}
	return ""
}
