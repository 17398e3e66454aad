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

// populate creates workspaces, registers holders and gives each holder a share of each workspace.
func (b *testLedger) populate(holders, workspaces int) {
	b.t.Helper()
	var text strings.Builder
	for w := range workspaces {
		fmt.Fprintf(&text, "[[workspace]]\nname = \"w%d\"\nrate = 1e6\nburst = 1e6\n", w)
	}
	b.change("workspaces", fmt.Sprint("many-", b.lastIndex), "ann", "ann", text.String(), 1)
	for i := range holders {
		b.applyNext(RegisterEntryVM{&wire.Enter{Member: testMember(i)}})
	}
	for w := range workspaces {
		var list []*wire.Lend_Allot
		for i := range holders {
			list = append(list, newAllot(i, w, 1))
		}
		// The shares are set directly, as a restored snapshot sets them: the check of a raised share
		// adds up all ceilings, which is slow for many holders, and would refuse none of these.
		for _, a := range list {
			amount := Amount{Rate: a.GetShare().GetRate(), Burst: a.GetShare().GetBurst()}
			b.holders[holderFromWire(a.GetHolder())].allotments[ident.Limit(a.GetLimit())] = &Allotment{Share: amount, Ceiling: amount}
		}
	}
}

func testMember(i int) *rpc.Member {
	return &rpc.Member{Vm: fmt.Sprintf("node%04d", i), Incarnation: 1, Address: fmt.Sprintf("10.0.%d.%d:80", i>>8, i&255), Domain: "d1"}
}

func newAllot(holder, w int, rate float64) *wire.Lend_Allot {
	return &wire.Lend_Allot{
		Holder: &wire.Holder{Vm: testMember(holder).GetVm(), Incarnation: 1}, Limit: fmt.Sprint("workspace/w", w),
		Share: &wire.Amount{Rate: rate, Burst: rate},
	}
}

// BenchmarkAllot measures one raise of a share by the number of holders.
func BenchmarkAllot(b *testing.B) {
	for _, n := range []int{12, 100, 300, 1000, 9000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			l := newTestLedger(b)
			l.populate(n, 8)
			rate := 1.0
			for b.Loop() {
				rate += 1.0 / 1024
				if refusals := l.applyNext(SetShares{&wire.Lend{Allots: []*wire.Lend_Allot{newAllot(0, 0, rate)}}}); refusals != 0 {
					b.Fatal("the raised share was refused")
				}
			}
			entry, _ := Encode(SetShares{&wire.Lend{Allots: []*wire.Lend_Allot{newAllot(0, 0, rate)}}})
			b.ReportMetric(float64(len(entry)), "entry-bytes")
		})
	}
}

// BenchmarkSnapshot measures a snapshot by the number of holders, with 8 shares each.
func BenchmarkSnapshot(b *testing.B) {
	for _, n := range []int{12, 300, 1000, 9000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			l := newTestLedger(b)
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

// BenchmarkChange measures a change of a section by its number of blocks.
func BenchmarkChange(b *testing.B) {
	for _, n := range []int{200, 2000, 20_000, 60_000} {
		b.Run(fmt.Sprint("blocks/", n), func(b *testing.B) {
			l := newTestLedger(b)
			var text strings.Builder
			text.WriteString("[[region]]\nname = \"r\"\n[[domain]]\nname = \"d1\"\nregion = \"r\"\n")
			for i := range n {
				fmt.Fprintf(&text, "[[block]]\nprefix = \"%d.%d.%d.0/24\"\nregion = \"r\"\n", 10+i>>16, i>>8&255, i&255)
			}
			c := &wire.Change{Section: "places", Operator: "ann", Hash: HashCredential("ann"), Base: 1, Text: text.String()}
			b.ReportAllocs()
			for b.Loop() {
				c.Id = fmt.Sprint("c", c.GetBase())
				if r := l.applyNext(Change{c}).(*rpc.ApplyReply); r.GetState() != rpc.ApplyState_APPLY_STATE_ACCEPTED {
					b.Fatal(r)
				}
				c.Base++
				l.audit = l.audit[:1] // limits the memory that the benchmark uses
			}
			entry, _ := Encode(Change{c})
			b.ReportMetric(float64(len(entry)), "entry-bytes")
			b.ReportMetric(float64(proto.Size(&rpc.Change{Before: c.GetText(), After: c.GetText()})), "audit-bytes")
		})
	}
}
