package object

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"cuminfall.example/fleet/ident"
)

// ID is the hash of an object's name.
type ID uint64

// Seed is the hash of an upstream's id, which gives each upstream different scores.
type Seed uint64

// IDOf returns the id of an object by its name.
func IDOf(name string) ID { return ID(xxhash.Sum64String(name)) }

// SeedOf returns the seed of an upstream by its id.
func SeedOf(upstream string) Seed { return Seed(xxhash.Sum64String(upstream)) }

// Score returns the rendezvous hash of an object and an upstream. The upstream with the highest score is preferred.
func (o ID) Score(s Seed) uint64 { return mix(uint64(o) ^ uint64(s)) }

// Region returns the region that serves an object for callers in region own. The weights are the fraction of requests
// that each region serves, and a small change of them moves few objects. Regions that are not serving are ignored. If
// all weights are 0, own is preferred.
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
