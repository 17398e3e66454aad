package affinity

import (
	"math"
	"time"

	"cuminfall.example/fleet/ident"
	"cuminfall.example/fleet/protocol"
)

// silent is the age from which a VM's word on what it sent counts no longer: four reports.
const silent = 2 * time.Second

// LoadTracker sums what VMs sent to upstreams, since an upstream's own word reaches only the VM that it answers; its zero
// value is ready for use.
type LoadTracker struct {
	vms map[ident.VM]sent
}

// sent is what one VM reported last.
type sent struct {
	at    time.Time
	loads protocol.Loads
}

// Report takes over the requests of one VM that are not answered yet.
func (l *LoadTracker) Report(now time.Time, vm ident.VM, loads protocol.Loads) {
	if l.vms == nil {
		l.vms = map[ident.VM]sent{}
	}
	l.vms[vm] = sent{now, loads}
}

// Sum returns the loads of upstreams whose slots are all in use, and the parts of all slots that are.
func (l *LoadTracker) Sum(now time.Time, pool UsableUpstreams) (protocol.Loads, protocol.Utilization) {
	total := protocol.Loads{}
	for vm, s := range l.vms {
		if now.Sub(s.at) > silent {
			delete(l.vms, vm)
			continue
		}
		for id, n := range s.loads {
			total[id] += n
		}
	}
	full, uses := protocol.Loads{}, protocol.Utilization{}
	for name, by := range pool {
		uses[name] = make(map[ident.Region]float64, len(by))
		for r, list := range by {
			used, slots := 0, 0
			for _, u := range list {
				n := total[u.ID]
				if n >= int(u.Slots) {
					full[u.ID] = n
				}
				used, slots = used+min(n, int(u.Slots)), slots+int(u.Slots)
			}
			const digits = 100 // more would change with each report
			uses[name][r] = math.Round(digits*float64(used)/float64(max(slots, 1))) / digits
		}
	}
	return full, uses
}
