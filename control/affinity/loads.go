package affinity

import (
	"math"
	"time"

	"cuminfall.example/fleet/ident"
	"cuminfall.example/fleet/protocol"
)

// inFlightTTL is the age from which a VM's report of its requests in flight no longer counts: four reports.
const inFlightTTL = 2 * time.Second

// LoadTracker sums the requests in flight that VMs report by upstream. An upstream's own load report reaches only the
// VM that it answers, so no VM sees the whole load. The zero value is ready for use.
type LoadTracker struct {
	byVM map[ident.VM]vmLoads
}

// vmLoads is what one VM reported last.
type vmLoads struct {
	receivedAt time.Time
	loads      protocol.Loads
}

// Report records one VM's requests in flight, by upstream.
func (l *LoadTracker) Report(now time.Time, vm ident.VM, loads protocol.Loads) {
	if l.byVM == nil {
		l.byVM = map[ident.VM]vmLoads{}
	}
	l.byVM[vm] = vmLoads{now, loads}
}

// Sum returns the loads of saturated upstreams, whose slots are all in use, and the part of all slots in use by
// service and region.
func (l *LoadTracker) Sum(now time.Time, usable UsableUpstreams) (protocol.Loads, protocol.Utilization) {
	total := protocol.Loads{}
	for vm, s := range l.byVM {
		if now.Sub(s.receivedAt) > inFlightTTL {
			delete(l.byVM, vm)
			continue
		}
		for id, n := range s.loads {
			total[id] += n
		}
	}
	saturated, utilization := protocol.Loads{}, protocol.Utilization{}
	for name, byRegion := range usable {
		utilization[name] = make(map[ident.Region]float64, len(byRegion))
		for r, upstreams := range byRegion {
			usedSlots, slots := 0, 0
			for _, u := range upstreams {
				n := total[u.ID]
				if n >= int(u.Slots) {
					saturated[u.ID] = n
				}
				usedSlots, slots = usedSlots+min(n, int(u.Slots)), slots+int(u.Slots)
			}
			const precision = 100 // finer steps would change with each report
			utilization[name][r] = math.Round(precision*float64(usedSlots)/float64(max(slots, 1))) / precision
		}
	}
	return saturated, utilization
}
