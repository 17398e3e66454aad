package router

import (
	"fmt"
	"net/netip"
	"testing"

	"cuminfall.example/fleet/document"
	"cuminfall.example/fleet/ident"
	"cuminfall.example/fleet/rpc"
)

// newLargeFleet returns a fleet with the given number of endpoints of one service,
// 12 VMs and 8 workspaces.
func newLargeFleet(endpoints int) *testFleet {
	fleet := newTestFleet()
	for i := 2; i < 8; i++ {
		fleet.addWorkspace(i, 1e6, 1e6)
	}
	for _, a := range fleet.shares {
		a.Rate, a.Burst = 1e9, 1e9
	}
	domains := []string{"a1", "a2", "b1"}
	for i := range endpoints {
		fleet.addUpstream("read", fmt.Sprintf("127.0.1.%d:1", i), domains[i%3], 4)
	}
	for i := range 12 {
		fleet.members = append(fleet.members, &rpc.Member{Vm: fmt.Sprint("v", i), Address: fmt.Sprintf("127.0.2.%d:1", i), Domain: domains[i%3]})
	}
	return fleet
}

func BenchmarkArrivedToSend(b *testing.B) {
	for _, n := range []int{14, 46} {
		b.Run(fmt.Sprint(n, " endpoints"), func(b *testing.B) {
			r := newLargeFleet(n).startRouter(b)
			arrival, end := newRead(0, epoch), &AttemptEnded{At: epoch, Outcome: Answered}
			out := make([]Effect, 0, 8)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				arrival.ID, end.ID = RequestID(i), RequestID(i)
				if out = r.Step(arrival, out[:0]); len(out) != 1 {
					b.Fatal(out)
				}
				out = r.Step(end, out[:0]) // included in the measured time
			}
		})
	}
}

func BenchmarkLookup(b *testing.B) {
	fleet := newLargeFleet(14)
	for i := range 200_000 {
		a := netip.AddrFrom4([4]byte{byte(10 + i>>16), byte(i >> 8), byte(i), 0})
		fleet.document.Topology.Blocks = append(fleet.document.Topology.Blocks, document.Block{Prefix: netip.PrefixFrom(a, 24), Region: []ident.Region{"a", "b"}[i%2]})
	}
	r := fleet.startRouter(b)
	out := make([]VM, 0, MaxLookupVMs)
	client := netip.MustParseAddr("11.2.3.4")
	b.ReportAllocs()
	for b.Loop() {
		if out = r.Lookup("read", "w3", client, out[:0]); len(out) != 12 {
			b.Fatal(out)
		}
	}
}

func BenchmarkBlockTable(b *testing.B) {
	var blocks []document.Block
	for i := range 200_000 {
		a := netip.AddrFrom4([4]byte{byte(10 + i>>16), byte(i >> 8), byte(i), 0})
		blocks = append(blocks, document.Block{Prefix: netip.PrefixFrom(a, 24), Region: ident.Region(fmt.Sprint("s", i*7%1800))})
	}
	t := newBlockTable(blocks)
	for i := 0; b.Loop(); i++ {
		n := uint32(i) * 2654435761
		t.region(netip.AddrFrom4([4]byte{10 + byte(n>>24)%3, byte(n >> 16), byte(n >> 8), byte(n)}))
	}
	b.ReportMetric(float64(4*cap(t.start4)+2*cap(t.regionIndex4)), "table-bytes")
}
