package consensus

import (
	"cuminfall.example/control/consensus/wire"
)

// checkLeader guards against two leaders in one term and a leader that lacks a committed entry.
func (w *world) checkLeader(h *host) {
	n := h.node
	w.elections++
	if other := w.leaders[n.term]; other != "" && other != n.id {
		w.fail("%s and %s both lead term %d", other, n.id, n.term)
	}
	w.leaders[n.term] = n.id
	for i := n.log.base + 1; i <= uint64(len(w.committed)); i++ {
		if term, ok := n.log.term(i); !ok || term != w.committed[i-1].term {
			w.fail("%s leads term %d without committed entry %d", n.id, n.term, i)
			return
		}
	}
	if n.log.base > uint64(len(w.committed)) {
		w.fail("%s has a log from %d, but %d are committed", n.id, n.log.base, len(w.committed))
	}
}

// checkLeases guards against two valid leases at one moment, and against a lease holder that does not
// have everything that was acknowledged. A frozen host counts: it may thaw at any moment.
func (w *world) checkLeases() {
	var holder *host
	for _, h := range w.hosts {
		if h.node == nil || !h.node.HasLease(h.local()) {
			continue
		}
		if holder != nil {
			w.fail("%s (term %d) and %s (term %d) both hold a lease", holder.node.id, holder.node.term, h.node.id, h.node.term)
		}
		holder = h
		if h.node.lead.first <= h.node.commit && h.node.commit < w.acked {
			w.fail("%s reads at %d under its lease, but %d is acknowledged", h.node.id, h.node.commit, w.acked)
		}
	}
}

// checkCommit guards against different entries at one index, log time that goes back, and an entry
// that counts as committed before a majority has synced it.
func (w *world) checkCommit(h *host, e *wire.Entry) {
	if e.Index <= uint64(len(w.committed)) {
		if w.committed[e.Index-1].chain != h.chain {
			w.fail("%s applies another entry %d of term %d", h.name, e.Index, e.Term)
		}
		return
	}
	if e.Index != uint64(len(w.committed))+1 || h.node.role != Leader {
		w.fail("%s commits entry %d first, as a %s", h.name, e.Index, h.node.role)
	}
	if e.Term == h.node.term {
		w.acked = e.Index
	}
	w.committed = append(w.committed, fact{e.Term, h.chain, e.Members})
	voters, synced := 0, 0
	for _, m := range h.node.members() {
		if !m.Voter {
			continue
		}
		voters++
		if o := w.host(m.Name); w.lost[m.Id] || o.disk.state.Id == m.Id && o.disk.holds(e.Index, e.Term) {
			synced++
		}
	}
	if synced <= voters/2 {
		w.fail("%s commits entry %d, synced on %d of %d voters", h.node.id, e.Index, synced, voters)
	}
}

// checkLogs guards against logs that agree at an index and differ before it.
func (w *world) checkLogs() {
	for i, a := range w.hosts {
		for _, b := range w.hosts[i+1:] {
			if a.node == nil || b.node == nil {
				continue
			}
			agreed := false
			for index := min(a.node.log.last(), b.node.log.last()); index > max(a.node.log.base, b.node.log.base); index-- {
				x, y := a.node.log.list[index-a.node.log.base-1], b.node.log.list[index-b.node.log.base-1]
				if agreed && (x.Term != y.Term || string(x.Data) != string(y.Data) || x.LogMs != y.LogMs) {
					w.fail("logs of %s and %s agree after %d but not there", a.name, b.name, index)
				}
				agreed = agreed || x.Term == y.Term
				if index > a.node.log.base+1 && a.node.log.list[index-a.node.log.base-2].LogMs > x.LogMs {
					w.fail("log time of %s goes back at %d", a.name, index)
				}
			}
		}
	}
}
