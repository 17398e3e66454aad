package router

import (
	"cmp"
	"encoding/binary"
	"math"
	"net/netip"
	"slices"
	"sort"

	"cuminfall.example/fleet/document"
	"cuminfall.example/fleet/ident"
)

// blockTable finds the region of a client address by its longest prefix. The
// prefixes are flattened to disjoint, sorted ranges: 200,000 IPv4 blocks take at
// most 2.4 MB and a search of 19 steps, while a trie would need a node per bit.
type blockTable struct {
	regions      []ident.Region
	start4       []uint32 // first address of each range, ascending
	regionIndex4 []uint16 // for each range, the position in regions plus 1, or 0 for none
	start6       []address6
	regionIndex6 []uint16
}

// address6 is an address of 128 bits.
type address6 struct{ high, low uint64 }

func (a address6) compare(b address6) int {
	if c := cmp.Compare(a.high, b.high); c != 0 {
		return c
	}
	return cmp.Compare(a.low, b.low)
}

// next returns the address after a, and false after the last one.
func (a address6) next() (address6, bool) {
	a.low++
	if a.low == 0 {
		a.high++
		return a, a.high != 0
	}
	return a, true
}

// addressRange is a block as a range of 128-bit addresses. IPv4 addresses are the lowest 32 bits.
type addressRange struct {
	first, last address6
	bits        int    // length of the prefix
	regionIndex uint16 // position in the table's regions plus 1
}

func newBlockTable(blocks []document.Block) blockTable {
	var t blockTable
	regionIndexes := make(map[ident.Region]uint16)
	var ranges4, ranges6 []addressRange
	for _, b := range blocks {
		if !b.Prefix.IsValid() {
			continue
		}
		regionIndex := regionIndexes[b.Region]
		if regionIndex == 0 {
			t.regions = append(t.regions, b.Region)
			regionIndex = uint16(len(t.regions))
			regionIndexes[b.Region] = regionIndex
		}
		s := newAddressRange(b.Prefix, regionIndex)
		if b.Prefix.Addr().Is4() {
			ranges4 = append(ranges4, s)
		} else {
			ranges6 = append(ranges6, s)
		}
	}
	t.start6, t.regionIndex6 = flatten(ranges6)
	starts, regionIndexes4 := flatten(ranges4)
	if n := len(starts); n > 0 && starts[n-1].low > math.MaxUint32 {
		starts, regionIndexes4 = starts[:n-1], regionIndexes4[:n-1] // the range after the last IPv4 address
	}
	t.regionIndex4 = regionIndexes4
	t.start4 = make([]uint32, len(starts))
	for i, a := range starts {
		t.start4[i] = uint32(a.low)
	}
	return t
}

func newAddressRange(p netip.Prefix, regionIndex uint16) addressRange {
	p = p.Masked()
	bytes := p.Addr().As16()
	first := address6{binary.BigEndian.Uint64(bytes[:8]), binary.BigEndian.Uint64(bytes[8:])}
	bits := p.Bits()
	if p.Addr().Is4() {
		first = address6{0, first.low & 0xffffffff}
		bits += 96
	}
	last := first
	if bits < 64 {
		last.high |= ^uint64(0) >> bits
		last.low = ^uint64(0)
	} else if bits < 128 {
		last.low |= ^uint64(0) >> (bits - 64)
	}
	return addressRange{first, last, bits, regionIndex}
}

// flatten turns nested ranges into disjoint ones. Each begins at an element of
// starts and ends before the next element.
func flatten(ranges []addressRange) (starts []address6, regionIndexes []uint16) {
	slices.SortStableFunc(ranges, func(a, b addressRange) int {
		if c := a.first.compare(b.first); c != 0 {
			return c
		}
		return cmp.Compare(a.bits, b.bits)
	})
	startRange := func(first address6, regionIndex uint16) {
		if n := len(starts); n > 0 && starts[n-1] == first {
			regionIndexes[n-1] = regionIndex
			return
		}
		starts, regionIndexes = append(starts, first), append(regionIndexes, regionIndex)
	}
	var enclosing []addressRange // the ranges that contain the current address, the innermost last
	endRangesBefore := func(next address6, all bool) {
		for len(enclosing) > 0 && (all || enclosing[len(enclosing)-1].last.compare(next) < 0) {
			following, ok := enclosing[len(enclosing)-1].last.next()
			enclosing = enclosing[:len(enclosing)-1]
			if !ok {
				continue
			}
			outerIndex := uint16(0)
			if len(enclosing) > 0 {
				outerIndex = enclosing[len(enclosing)-1].regionIndex
			}
			startRange(following, outerIndex)
		}
	}
	for _, s := range ranges {
		endRangesBefore(s.first, false)
		startRange(s.first, s.regionIndex)
		enclosing = append(enclosing, s)
	}
	endRangesBefore(address6{}, true)
	return slices.Clip(starts), slices.Clip(regionIndexes)
}

// region returns the region of an address, or "" if no block contains it.
func (t *blockTable) region(client netip.Addr) ident.Region {
	client = client.Unmap()
	var regionIndex uint16
	switch {
	case client.Is4():
		b := client.As4()
		address := binary.BigEndian.Uint32(b[:])
		i := sort.Search(len(t.start4), func(i int) bool { return t.start4[i] > address })
		if i > 0 {
			regionIndex = t.regionIndex4[i-1]
		}
	case client.Is6():
		b := client.As16()
		address := address6{binary.BigEndian.Uint64(b[:8]), binary.BigEndian.Uint64(b[8:])}
		i := sort.Search(len(t.start6), func(i int) bool { return t.start6[i].compare(address) > 0 })
		if i > 0 {
			regionIndex = t.regionIndex6[i-1]
		}
	}
	if regionIndex == 0 {
		return ""
	}
	return t.regions[regionIndex-1]
}
