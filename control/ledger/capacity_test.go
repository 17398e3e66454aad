package ledger

import (
	"fmt"
	"strings"
	"testing"

	"google.golang.org/protobuf/proto"

	"cuminfall.example/control/ledger/wire"
	"cuminfall.example/fleet/ident"
	"cuminfall.example/fleet/rpc"
)

// populate registers holders with a share of each of a number of workspaces.
func (b *bench) populate(holders, workspaces int) {
	b.t.Helper()
	var text strings.Builder
	for w := range workspaces {
		fmt.Fprintf(&text, "[[workspace]]\nname = \"w%d\"\nrate = 1e6\nburst = 1e6\n", w)
	}
	b.change("workspaces", fmt.Sprint("many-", b.index), "ann", "ann", text.String(), 1)
	for i := range holders {
		b.do(RegisterEntryVM{&wire.Enter{Member: entrant(i)}})
	}
	for w := range workspaces {
		var list []*wire.Lend_Allot
		for i := range holders {
			list = append(list, allotOf(i, w, 1))
		}
		// Raises are refused for want of room, never here, and their check is what is slow at this
		// size: the holdings are set directly, as a restored snapshot would set them.
		for _, a := range list {
			amount := Amount{Rate: a.GetShare().GetRate(), Burst: a.GetShare().GetBurst()}
			b.holders[holderOf(a.GetHolder())].allotments[ident.Limit(a.GetLimit())] = &Allotment{Share: amount, Ceiling: amount}
		}
	}
}

func entrant(i int) *rpc.Member {
	return &rpc.Member{Vm: fmt.Sprintf("node%04d", i), Incarnation: 1, Address: fmt.Sprintf("10.0.%d.%d:80", i>>8, i&255), Domain: "d1"}
}

func allotOf(holder, w int, rate float64) *wire.Lend_Allot {
	return &wire.Lend_Allot{
		Holder: &wire.Holder{Vm: entrant(holder).GetVm(), Incarnation: 1}, Limit: fmt.Sprint("workspace/w", w),
		Share: &wire.Amount{Rate: rate, Burst: rate},
	}
}

// BenchmarkAllot applies one raise of a share, by holders.
func BenchmarkAllot(b *testing.B) {
	for _, n := range []int{12, 100, 300, 1000, 9000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			l := newBench(b)
			l.populate(n, 8)
			rate := 1.0
			for b.Loop() {
				rate += 1.0 / 1024
				if refusals := l.do(SetShares{&wire.Lend{Allots: []*wire.Lend_Allot{allotOf(0, 0, rate)}}}); refusals != 0 {
					b.Fatal("refused")
				}
			}
			entry, _ := Encode(SetShares{&wire.Lend{Allots: []*wire.Lend_Allot{allotOf(0, 0, rate)}}})
			b.ReportMetric(float64(len(entry)), "entry-bytes")
		})
	}
}

// BenchmarkSnapshot serializes the state by holders, with 8 shares each.
func BenchmarkSnapshot(b *testing.B) {
	for _, n := range []int{12, 300, 1000, 9000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			l := newBench(b)
			l.populate(n, 8)
			var state []byte
			b.ReportAllocs()
			for b.Loop() {
				state, _ = l.Snapshot()
			}
			b.ReportMetric(float64(len(state)), "snapshot-bytes")
		})
	}
}

// BenchmarkChange applies a change of a section by its size.
func BenchmarkChange(b *testing.B) {
	for _, n := range []int{200, 2000, 20_000, 60_000} {
		b.Run(fmt.Sprint("blocks/", n), func(b *testing.B) {
			l := newBench(b)
			var text strings.Builder
			text.WriteString("[[region]]\nname = \"r\"\n[[domain]]\nname = \"d1\"\nregion = \"r\"\n")
			for i := range n {
				fmt.Fprintf(&text, "[[block]]\nprefix = \"%d.%d.%d.0/24\"\nregion = \"r\"\n", 10+i>>16, i>>8&255, i&255)
			}
			c := &wire.Change{Section: "places", Operator: "ann", Hash: Hash("ann"), Base: 1, Text: text.String()}
			b.ReportAllocs()
			for b.Loop() {
				c.Id = fmt.Sprint("c", c.GetBase())
				if r := l.do(Change{c}).(*rpc.ApplyReply); r.GetState() != rpc.ApplyState_APPLY_STATE_ACCEPTED {
					b.Fatal(r)
				}
				c.Base++
				l.audit = l.audit[:1] // bounds the memory of the run
			}
			entry, _ := Encode(Change{c})
			b.ReportMetric(float64(len(entry)), "entry-bytes")
			b.ReportMetric(float64(proto.Size(&rpc.Change{Before: c.GetText(), After: c.GetText()})), "audit-bytes")
		})
	}
}
