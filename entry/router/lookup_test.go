package router

import (
	"encoding/binary"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"cuminfall.example/fleet/document"
	"cuminfall.example/fleet/ident"
)

// Guards against lookups that return a VM that must not get callers, or one of
// another region first.
func TestLookupNamesUsableVMs(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(fleet *testFleet)
		client string
		first  ident.Region
		count  int
	}{
		{"client in b", func(*testFleet) {}, "10.2.0.1", "b", 12},
		{"unknown client", func(*testFleet) {}, "192.0.2.1", "a", 12},
		{"leaving", func(fleet *testFleet) { fleet.members[0].Leaving = true }, "10.2.0.1", "b", 11},
		{"VM down", func(fleet *testFleet) { withDownVerdict("vm", "v3")(fleet, nil) }, "10.2.0.1", "b", 11},
		{"VM drained", func(fleet *testFleet) { withDrain(document.VMKind, "v3")(fleet, nil) }, "10.2.0.1", "b", 11},
		{"domain drained", func(fleet *testFleet) { withDrain(document.DomainKind, "a1")(fleet, nil) }, "10.2.0.1", "b", 8},
		{"region down", func(fleet *testFleet) { withDownVerdict("region", "b")(fleet, nil) }, "10.2.0.1", "a", 8},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			fleet := newLargeFleet(1)
			fleet.document.Topology.Blocks = []document.Block{{Prefix: netip.MustParsePrefix("10.2.0.0/16"), Region: "b"}}
			c.change(fleet)
			r := fleet.startRouter(t)
			out := r.Lookup("read", "w0", netip.MustParseAddr(c.client), nil)
			is.Equal(len(out), c.count)
			is.Equal(out[0].Region, c.first)
		})
	}
}

// Guards against lookups that fail while control is unreachable, and against
// returning a VM that is stopping.
func TestLookupAnswersFromTheLastView(t *testing.T) {
	is := is.New(t)
	r := newLargeFleet(1).startRouter(t)
	at := epoch.Add(time.Hour)
	r.Step(&Tick{At: at}, nil)
	is.True(!r.Fresh(at))
	is.Equal(len(r.Lookup("read", "w0", netip.Addr{}, nil)), 12)
	is.Equal(len(r.Lookup("none", "w0", netip.Addr{}, nil)), 0)
	r.Step(&StopRequested{At: at}, nil)
	is.Equal(len(r.Lookup("read", "w0", netip.Addr{}, nil)), 11)
}

// Guards against moving the callers of other VMs when one VM is lost.
func TestLookupMovesOnlyCallersOfTheLostVM(t *testing.T) {
	is := is.New(t)
	before := newLargeFleet(1)
	after := newLargeFleet(1)
	after.members = after.members[1:]
	a, b := before.startRouter(t), after.startRouter(t)
	for i := range 50 {
		w := workspaceName(i)
		first := a.Lookup("read", w, netip.Addr{}, nil)[0].Name
		if first != "v0" {
			is.Equal(b.Lookup("read", w, netip.Addr{}, nil)[0].Name, first)
		}
	}
}

// Guards against a block table that gives another result than a search of all prefixes.
func TestBlockTableFindsTheLongestPrefix(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		address := func(four bool) netip.Addr {
			// Few distinct bits make nested and adjacent blocks likely, at both ends of the address space.
			n := rapid.SampledFrom([]uint32{0, 1, 0x0a000000, 0x0affffff, 0xfffffffe, 0xffffffff}).Draw(t, "n") ^ rapid.Uint32Range(0, 7).Draw(t, "low")
			var b [16]byte
			binary.BigEndian.PutUint32(b[:], n)
			binary.BigEndian.PutUint32(b[12:], n)
			if four {
				return netip.AddrFrom4([4]byte(b[:4]))
			}
			return netip.AddrFrom16(b)
		}
		var blocks []document.Block
		seen := make(map[netip.Prefix]bool)
		for i := range rapid.IntRange(0, 12).Draw(t, "blocks") {
			a := address(rapid.Bool().Draw(t, "four"))
			p, err := a.Prefix(rapid.IntRange(0, a.BitLen()).Draw(t, "bits"))
			if err != nil {
				t.Fatal(err)
			}
			if !seen[p] {
				blocks = append(blocks, document.Block{Prefix: p, Region: ident.Region(rune('a' + i))})
			}
			seen[p] = true
		}
		table := newBlockTable(blocks)
		for range 20 {
			a := address(rapid.Bool().Draw(t, "four"))
			want, bits := ident.Region(""), -1
			for _, b := range blocks {
				if b.Prefix.Contains(a) && b.Prefix.Bits() > bits {
					want, bits = b.Region, b.Prefix.Bits()
				}
			}
			if got := table.region(a); got != want {
				t.Fatalf("region of %s: %q, want %q", a, got, want)
			}
		}
	})
}
