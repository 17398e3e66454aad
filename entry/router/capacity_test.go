package router

import (
	"fmt"
	"net/netip"
	"testing"

	"google.golang.org/protobuf/proto"

	"cuminfall.example/fleet/document"
	"cuminfall.example/fleet/ident"
	"cuminfall.example/fleet/rpc"
)

// makeBlocks returns n client blocks of the given number of regions, whose names
// begin with prefix.
func makeBlocks(n, regions int, prefix string) []document.Block {
	list := make([]document.Block, n)
	for i := range list {
		a := netip.AddrFrom4([4]byte{byte(10 + i>>16), byte(i >> 8), byte(i), 0})
		list[i] = document.Block{Prefix: netip.PrefixFrom(a, 24), Region: ident.Region(fmt.Sprint(prefix, i*7%regions))}
	}
	return list
}

// BenchmarkBlocks measures building a block table of 1,800 regions and finding addresses in it.
func BenchmarkBlocks(b *testing.B) {
	for _, n := range []int{20_000, 60_000, 200_000} {
		list := makeBlocks(n, 1800, "s")
		b.Run(fmt.Sprint("build/", n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				newBlockTable(list)
			}
		})
		b.Run(fmt.Sprint("find/", n), func(b *testing.B) {
			t := newBlockTable(list)
			for i := 0; b.Loop(); i++ {
				k := uint32(i) * 2654435761 % uint32(n)
				t.region(netip.AddrFrom4([4]byte{10 + byte(k>>16), byte(k >> 8), byte(k), 1}))
			}
			b.ReportMetric(float64(4*cap(t.start4)+2*cap(t.regionIndex4)), "table-bytes")
		})
	}
}

// BenchmarkLookupMembers measures lookups by the number of members.
func BenchmarkLookupMembers(b *testing.B) {
	for _, n := range []int{12, 300, 1200, 9000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			fleet := newTestFleet()
			fleet.addMembers(n)
			r := fleet.startRouter(b)
			out := make([]VM, 0, MaxLookupVMs)
			client := netip.MustParseAddr("11.2.3.4")
			for b.Loop() {
				if out = r.Lookup("read", "w0", client, out[:0]); len(out) == 0 {
					b.Fatal("no VM")
				}
			}
		})
	}
}

func (f *testFleet) addMembers(n int) {
	for i := range n {
		f.members = append(f.members, &rpc.Member{
			Vm: fmt.Sprintf("node%04d", i), Incarnation: 1<<60 + uint64(i), Domain: []string{"a1", "a2", "b1"}[i%3],
			Address: fmt.Sprintf("10.0.%d.%d:7000", i>>8, i&255),
		})
	}
}

// BenchmarkView measures applying a reply with one part of the view, by the size of that part.
func BenchmarkView(b *testing.B) {
	for _, c := range []struct {
		name  string
		sizes []int
		fill  func(fleet *testFleet, n int)
		trim  func(reply *rpc.SyncReply)
	}{
		{"workspaces", []int{8, 100, 1000}, func(fleet *testFleet, n int) {
			for i := range n {
				fleet.addWorkspace(i+2, 100, 100)
			}
		}, func(r *rpc.SyncReply) { r.Registry, r.Members, r.Allotments = nil, nil, nil }},
		{"blocks", []int{2000, 20_000, 60_000, 200_000}, func(fleet *testFleet, n int) { fleet.document.Topology.Blocks = makeBlocks(n, 2, "") },
			func(r *rpc.SyncReply) { r.Registry, r.Members, r.Allotments = nil, nil, nil }},
		{"upstreams", []int{46, 400, 1800}, func(fleet *testFleet, n int) {
			for i := range n {
				fleet.addUpstream("read", fmt.Sprintf("10.1.%d.%d:80", i>>8, i&255), "a1", 1)
			}
		}, func(r *rpc.SyncReply) { r.Config, r.Members, r.Allotments = nil, nil, nil }},
		{"members", []int{12, 300, 1200, 9000}, (*testFleet).addMembers,
			func(r *rpc.SyncReply) { r.Config, r.Registry, r.Allotments = nil, nil, nil }},
		{"allotments", []int{46, 400, 1800}, func(fleet *testFleet, n int) {
			for i := range n {
				fleet.addUpstream("read", fmt.Sprintf("10.1.%d.%d:80", i>>8, i&255), "a1", 1)
			}
		}, func(r *rpc.SyncReply) { r.Config, r.Registry, r.Members = nil, nil, nil }},
	} {
		for _, n := range c.sizes {
			b.Run(fmt.Sprint(c.name, "/", n), func(b *testing.B) {
				fleet := newTestFleet()
				c.fill(fleet, n)
				reply := fleet.fullReply(b)
				r := New(Config{VM: "v0", Domain: "a1", Address: "127.0.0.1:7000"})
				r.Step(&Synced{At: epoch, Sent: epoch, Reply: reply}, nil)
				c.trim(reply)
				size := proto.Size(reply)
				b.ReportAllocs()
				for b.Loop() {
					reply.Versions.Config++
					reply.Versions.Registry++
					reply.Versions.Members++
					reply.Versions.Allotments++
					for _, s := range reply.GetConfig().GetSections() {
						s.Revision++
					}
					r.Step(&Synced{At: epoch, Sent: epoch, Reply: reply}, nil)
				}
				b.ReportMetric(float64(size), "message-bytes")
			})
		}
	}
}
