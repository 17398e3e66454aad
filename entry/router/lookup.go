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

// MaxLookupVMs is the maximum number of VMs that a lookup returns.
const MaxLookupVMs = 16

// VM is an entry VM that a lookup returns.
type VM struct {
	Name    ident.VM
	Address ident.Address
	Region  ident.Region
}

// member is an entry VM of the view, which a lookup may return.
type member struct {
	VM
	domain      ident.Domain
	leaving     bool
	unavailable bool   // drained or down
	hash        uint64 // of the name, for rendezvous hashing
}

func (r *Router) applyMembers(list []*rpc.Member) {
	v := &r.view
	v.vmList = make([]member, 0, len(list))
	for _, m := range list {
		v.vmList = append(v.vmList, member{
			VM:      VM{Name: ident.VM(m.Vm), Address: ident.Address(m.Address)},
			domain:  ident.Domain(m.Domain),
			leaving: m.Leaving,
			hash:    xxhash.Sum64String(m.Vm),
		})
	}
}

// locateMembers sets the region of each VM and marks those that are drained or
// down as unavailable.
func (v *view) locateMembers(regions map[ident.Domain]ident.Region, unavailable targetSet) {
	var otherRegions []string
	for i := range v.vmList {
		m := &v.vmList[i]
		m.Region = regions[m.domain]
		m.unavailable = unavailable[target{document.VMKind, string(m.Name)}] ||
			unavailable[target{document.DomainKind, string(m.domain)}] ||
			unavailable[target{document.RegionKind, string(m.Region)}]
		if !m.leaving && !m.unavailable && v.localRegion != nil && m.Region != v.localRegion.name {
			otherRegions = append(otherRegions, string(m.Address))
		}
	}
	v.otherRegionAddresses = strings.Join(otherRegions, ", ")
}

// Lookup appends to out the VMs that a caller of the workspace should use, the best
// first. It appends none for an unknown service. VMs of the client's region come
// first, or of this VM's region if the client's is unknown. Within a region the
// order is that of rendezvous hashing, which keeps a workspace's callers on few
// VMs. Lookup uses the last view even if it is stale.
func (r *Router) Lookup(s ident.Service, w ident.Workspace, client netip.Addr, out []VM) []VM {
	v := &r.view
	if svc := v.services[s]; svc == nil || !svc.configured {
		return out
	}
	clientRegion := v.blocks.region(client)
	if clientRegion == "" && v.localRegion != nil {
		clientRegion = v.localRegion.name
	}
	var best [MaxLookupVMs]lookupCandidate
	count := 0
	var hashInput [16]byte
	binary.LittleEndian.PutUint64(hashInput[:8], xxhash.Sum64String(string(w)))
	for i := range v.vmList {
		m := &v.vmList[i]
		if m.leaving || m.unavailable || r.stopping && m.Name == r.config.VM {
			continue
		}
		binary.LittleEndian.PutUint64(hashInput[8:], m.hash)
		c := lookupCandidate{inClientRegion: m.Region == clientRegion, score: xxhash.Sum64(hashInput[:]), member: m}
		position := count
		for position > 0 && c.before(best[position-1]) {
			if position < MaxLookupVMs {
				best[position] = best[position-1]
			}
			position--
		}
		if position < MaxLookupVMs {
			best[position] = c
			count = min(count+1, MaxLookupVMs)
		}
	}
	for _, c := range best[:count] {
		out = append(out, c.member.VM)
	}
	return out
}

// lookupCandidate is a VM with what determines its position in a lookup.
type lookupCandidate struct {
	inClientRegion bool
	score          uint64 // hash of workspace and VM; highest first
	member         *member
}

func (c lookupCandidate) before(o lookupCandidate) bool {
	if c.inClientRegion != o.inClientRegion {
		return c.inClientRegion
	}
	return c.score > o.score
}
