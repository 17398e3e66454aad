package consensus

import (
	"cuminfall.example/control/consensus/wire"
)

// checkLeader guards against two leaders in one term and a leader that lacks a committed entry.
func (sim *simulation) checkLeader(h *host) {
	n := h.node
	sim.electionCount++
	if other := sim.leaders[n.term]; other != "" && other != n.id {
		sim.reportViolation("%s and %s are both leader in term %d", other, n.id, n.term)
	}
	sim.leaders[n.term] = n.id
	for i := n.log.baseIndex + 1; i <= uint64(len(sim.committed)); i++ {
		if term, ok := n.log.termAt(i); !ok || term != sim.committed[i-1].term {
			sim.reportViolation("%s is leader in term %d without committed entry %d", n.id, n.term, i)
			return
		}
	}
	if n.log.baseIndex > uint64(len(sim.committed)) {
		sim.reportViolation("log of %s starts after entry %d, but only %d entries are committed", n.id, n.log.baseIndex, len(sim.committed))
	}
}

// checkLeases guards against two valid leases at the same time, and against a lease holder that has not
// committed everything that was acknowledged. Frozen hosts count, because they may resume at any time.
func (sim *simulation) checkLeases() {
	var holder *host
	for _, h := range sim.hosts {
		if h.node == nil || !h.node.HasLease(h.localTime()) {
			continue
		}
		if holder != nil {
			sim.reportViolation("%s (term %d) and %s (term %d) both hold a lease", holder.node.id, holder.node.term, h.node.id, h.node.term)
		}
		holder = h
		if h.node.leaderState.termStart <= h.node.commitIndex && h.node.commitIndex < sim.ackedIndex {
			sim.reportViolation("%s holds the lease with commit index %d, but entry %d is acknowledged", h.node.id, h.node.commitIndex, sim.ackedIndex)
		}
	}
}

// checkCommit guards against different committed entries at one index, and against an entry that is
// committed before a majority has synced it.
func (sim *simulation) checkCommit(h *host, e *wire.Entry) {
	if e.Index <= uint64(len(sim.committed)) {
		if sim.committed[e.Index-1].logHash != h.logHash {
			sim.reportViolation("%s applies an entry %d of term %d that differs from the committed one", h.name, e.Index, e.Term)
		}
		return
	}
	if e.Index != uint64(len(sim.committed))+1 || h.node.role != Leader {
		sim.reportViolation("%s commits entry %d out of order or not as leader; its role is %s", h.name, e.Index, h.node.role)
	}
	if e.Term == h.node.term {
		sim.ackedIndex = e.Index
	}
	sim.committed = append(sim.committed, committedEntry{e.Term, h.logHash, e.Members})
	voters, synced := 0, 0
	for _, m := range h.node.members() {
		if !m.Voter {
			continue
		}
		voters++
		if o := sim.host(m.Name); sim.lostIdentities[m.Id] || o.disk.state.Id == m.Id && o.disk.containsEntry(e.Index, e.Term) {
			synced++
		}
	}
	if synced <= voters/2 {
		sim.reportViolation("%s commits entry %d, which is synced on only %d of %d voters", h.node.id, e.Index, synced, voters)
	}
}

// checkLogs guards against logs that agree at an index and differ before it, and against log time that
// goes back.
func (sim *simulation) checkLogs() {
	for i, a := range sim.hosts {
		for _, b := range sim.hosts[i+1:] {
			if a.node == nil || b.node == nil {
				continue
			}
			agreed := false
			for index := min(a.node.log.lastIndex(), b.node.log.lastIndex()); index > max(a.node.log.baseIndex, b.node.log.baseIndex); index-- {
				x, y := a.node.log.entries[index-a.node.log.baseIndex-1], b.node.log.entries[index-b.node.log.baseIndex-1]
				if loaded, stored := a.load(x), b.load(y); loaded != nil && stored != nil {
					x, y = loaded, stored
				}
				if agreed && (x.Term != y.Term || string(x.Data) != string(y.Data) || x.LogMs != y.LogMs) {
					sim.reportViolation("logs of %s and %s agree after entry %d but differ at it", a.name, b.name, index)
				}
				agreed = agreed || x.Term == y.Term
				if index > a.node.log.baseIndex+1 && a.node.log.entries[index-a.node.log.baseIndex-2].LogMs > x.LogMs {
					sim.reportViolation("log time of %s goes back at %d", a.name, index)
				}
			}
		}
	}
}
