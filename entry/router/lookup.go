package router

import (
	"encoding/binary"
	"net/netip"
	"strings"

	"github.com/cespare/xxhash/v2"

	"cuminfall.example/fleet/document"
	"cuminfall.example/fleet/ident"
	"cuminfall.example/fleet/rpc"
)

// MaxLookupVMs is the most VMs that a lookup names.
const MaxLookupVMs = 16

// VM is one answer of a lookup.
type VM struct {
	Name    ident.VM
	Address ident.Address
	Region  ident.Region
}

type member struct {
	VM
	domain  ident.Domain
	leaving bool
	out     bool // drained or down
	hash    uint64
}

func (r *Router) applyMembers(list []*rpc.Member) {
	v := &r.view
	v.vms = make([]member, 0, len(list))
	for _, m := range list {
		v.vms = append(v.vms, member{
			VM:      VM{Name: ident.VM(m.Vm), Address: ident.Address(m.Address)},
			domain:  ident.Domain(m.Domain),
			leaving: m.Leaving,
			hash:    xxhash.Sum64String(m.Vm),
		})
	}
}

// placeMembers gives VMs their regions and takes those out of use that are drained or down.
func (v *view) placeMembers(places map[ident.Domain]ident.Region, out targets) {
	var elsewhere []string
	for i := range v.vms {
		m := &v.vms[i]
		m.Region = places[m.domain]
		m.out = out[target{document.VMKind, string(m.Name)}] ||
			out[target{document.DomainKind, string(m.domain)}] ||
			out[target{document.RegionKind, string(m.Region)}]
		if !m.leaving && !m.out && v.home != nil && m.Region != v.home.name {
			elsewhere = append(elsewhere, string(m.Address))
		}
	}
	v.elsewhere = strings.Join(elsewhere, ", ")
}

// Lookup appends the VMs that a caller of the workspace should use, the best
// first, and returns none for an unknown service. VMs of the client's region
// come first, or of this VM's region where the client's is unknown; among equals
// rendezvous hashing keeps a workspace's callers on few VMs. It answers from the
// last view even when that is stale.
func (r *Router) Lookup(s ident.Service, w ident.Workspace, client netip.Addr, out []VM) []VM {
	v := &r.view
	if known := v.services[s]; known == nil || !known.known {
		return out
	}
	near := v.blocks.region(client)
	if near == "" && v.home != nil {
		near = v.home.name
	}
	var best [MaxLookupVMs]candidate
	found := 0
	var pair [16]byte
	binary.LittleEndian.PutUint64(pair[:8], xxhash.Sum64String(string(w)))
	for i := range v.vms {
		m := &v.vms[i]
		if m.leaving || m.out || r.stopping && m.Name == r.config.VM {
			continue
		}
		binary.LittleEndian.PutUint64(pair[8:], m.hash)
		c := candidate{near: m.Region == near, score: xxhash.Sum64(pair[:]), member: m}
		at := found
		for at > 0 && c.before(best[at-1]) {
			if at < MaxLookupVMs {
				best[at] = best[at-1]
			}
			at--
		}
		if at < MaxLookupVMs {
			best[at] = c
			found = min(found+1, MaxLookupVMs)
		}
	}
	for _, c := range best[:found] {
		out = append(out, c.member.VM)
	}
	return out
}

type candidate struct {
	near   bool
	score  uint64
	member *member
}

func (c candidate) before(o candidate) bool {
	if c.near != o.near {
		return c.near
	}
	return c.score > o.score
}
