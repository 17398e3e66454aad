package object

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"cuminfall.example/fleet/ident"
)

// ID is the hash of an object's name.
type ID uint64

// Seed sets the orders of upstreams apart.
type Seed uint64

// IDOf returns the id of an object by its name.
func IDOf(name string) ID { return ID(xxhash.Sum64String(name)) }

// SeedOf returns the seed of an upstream by its id.
func SeedOf(upstream string) Seed { return Seed(xxhash.Sum64String(upstream)) }

// Score ranks an upstream for an object by rendezvous hashing: the upstream with the highest score serves it first.
func (o ID) Score(s Seed) uint64 { return mix(uint64(o) ^ uint64(s)) }

// Region returns the region that serves an object for the callers of a region, by their flow: a part for each region.
// A small change of the flow moves few objects. Regions that do not serve are left out.
func (o ID) Region(own ident.Region, weights map[ident.Region]float64, serving map[ident.Region]bool) ident.Region {
	var others []ident.Region
	total := 0.0
	for r, serves := range serving {
		if !serves {
			continue
		}
		total += weights[r]
		if r != own {
			others = append(others, r)
		}
	}
	slices.Sort(others)
	if total <= 0 {
		if serving[own] || len(others) == 0 {
			return own
		}
		return others[mix(uint64(o))%uint64(len(others))]
	}
	const hashRange = 1 << 53
	position := float64(mix(uint64(o)+1)>>11) / hashRange * total
	for _, r := range append([]ident.Region{own}, others...) {
		if !serving[r] {
			continue
		}
		if position < weights[r] {
			return r
		}
		position -= weights[r]
	}
	return own
}

// mix is the finalizer of splitmix64.
func mix(z uint64) uint64 {
	z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
	z = (z ^ z>>27) * 0x94d049bb133111eb
	return z ^ z>>31
}
