package ledger

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"cuminfall.example/control/ledger/wire"
	"cuminfall.example/fleet/ident"
	"cuminfall.example/fleet/rpc"
)

// TestResidues guards against lending the slots and the region's places of a
// cut-off or frozen VM again while the requests that it started still run.
func TestResidues(t *testing.T) {
	h := Holder{"e1", 4}
	cases := []struct {
		name  string
		after func(b *bench)
		left  uint32
	}{
		{"still running", func(b *bench) { b.now += 50 * time.Second }, 3},
		{"deadlines over", func(b *bench) { b.now += 61 * time.Second }, 0},
		{"VM restarted", func(b *bench) {
			b.do(RegisterEntryVM{&wire.Enter{Member: &rpc.Member{Vm: "e1", Incarnation: 5}}})
		}, 0},
		{"holder returned with less", func(b *bench) {
			b.do(RegisterEntryVM{&wire.Enter{Member: &rpc.Member{Vm: "e1", Incarnation: 4},
				Uses: []*wire.Use{{Limit: "region/r", Used: 1}, {Limit: "slots/127.0.0.1:1", Used: 1}}}})
		}, 1},
		{"verdict on the VM", func(b *bench) {
			b.do(SetVerdict{&wire.Judge{Hash: Hash("mon"), Verdict: &rpc.Verdict{Kind: "vm", Target: "e1", Down: true, Id: "v1"}}})
		}, 0},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			b := newBench(t)
			b.do(Announce{&rpc.Upstream{Service: "s", Address: "127.0.0.1:1", Domain: "d1", Slots: 5, Connections: 9, Incarnation: 1}})
			b.do(RegisterEntryVM{&wire.Enter{Member: &rpc.Member{Vm: "e1", Incarnation: 4}}})
			b.do(lendOf(h, "slots/127.0.0.1:1", Amount{Count: 3}))
			b.do(lendOf(h, "region/r", Amount{Count: 4}))
			b.do(SetShares{&wire.Lend{Releases: []*wire.Lend_Release{{Holder: &wire.Holder{Vm: "e1", Incarnation: 4}, Entered: uint64(b.RegisteredIndex(h))}}}})
			is.Equal(b.Ceilings("slots/127.0.0.1:1").Count, uint32(3))
			is.Equal(b.Ceilings("region/r").Count, uint32(3)) // no more requests than slots
			state, err := b.Snapshot()
			is.NoErr(err)
			is.NoErr(b.Restore(state))
			tc.after(b)
			b.do(SetShares{&wire.Lend{}})
			is.Equal(b.Ceilings("slots/127.0.0.1:1").Count, tc.left)
			is.Equal(b.Ceilings("region/r").Count, tc.left)
			is.Equal(b.ResidualUsage(b.now)["region/r"].Count, b.Ceilings("region/r").Count-held(b, h))
		})
	}
}

// held returns the region's places in the holder's own name.
func held(b *bench, h Holder) uint32 {
	var n uint32
	b.EachAllotment(h, func(id ident.Limit, a Allotment) {
		if id == "region/r" {
			n = a.Ceiling.Count
		}
	})
	return n
}

// TestReportedResidues guards against keeping more of a lost VM's slots, or for longer, than it last reported to
// be in use; keeping all of them refused 29% of the requests after the loss of a VM.
func TestReportedResidues(t *testing.T) {
	is := is.New(t)
	b := newBench(t)
	h := Holder{"e1", 4}
	b.do(Announce{&rpc.Upstream{Service: "s", Address: "127.0.0.1:1", Domain: "d1", Slots: 5, Connections: 9, Incarnation: 1}})
	b.do(RegisterEntryVM{&wire.Enter{Member: &rpc.Member{Vm: "e1", Incarnation: 4}}})
	b.do(lendOf(h, "slots/127.0.0.1:1", Amount{Count: 4}))
	b.do(SetShares{&wire.Lend{Releases: []*wire.Lend_Release{{
		Holder: &wire.Holder{Vm: "e1", Incarnation: 4}, Entered: uint64(b.RegisteredIndex(h)), Reported: true,
		Uses: []*wire.Use{{Limit: "slots/127.0.0.1:1", Used: 2, UntilMs: 5000}},
	}}}})
	is.Equal(b.Ceilings("slots/127.0.0.1:1").Count, uint32(2))
	b.now += 4 * time.Second
	b.do(SetShares{&wire.Lend{}})
	is.Equal(b.Ceilings("slots/127.0.0.1:1").Count, uint32(2))
	b.now += time.Second
	b.do(SetShares{&wire.Lend{}})
	is.Equal(b.Ceilings("slots/127.0.0.1:1").Count, uint32(0))
}
