package replica

import (
	"github.com/rcrowley/go-metrics"

	"cuminfall.example/control/consensus"
	"cuminfall.example/fleet/ident"
)

// Status is a member's view of the group.
type Status struct {
	ID        ident.Member
	Role      consensus.Role
	Term      ident.Term
	Leader    ident.Address // empty if unknown
	Committed ident.Index
	Applied   ident.Index
	Members   []Member
	Isolated  bool   // a leader has no contact with a majority, or another member has none with a leader
	Contact   uint64 // how often this member regained contact with a leader since its start
	Failure   string // why the member stopped, or empty
}

// Member is one member of the group.
type Member struct {
	ID      ident.Member
	Name    string
	Address ident.Address
	Voter   bool // false for a learner, which is still catching up
}

// Status returns this member's current view of the group.
func (r *Replica) Status() Status {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := r.node.Status(r.nodeTime())
	s := Status{ID: r.id, Role: n.Role, Term: n.Term, Leader: n.Leader, Committed: n.Committed,
		Applied: r.appliedIndex, Isolated: n.Isolated, Contact: n.Contact}
	for _, m := range n.Members {
		s.Members = append(s.Members, Member{ident.Member(m.Id), m.Name, ident.Address(m.Address), m.Voter})
	}
	if r.failure != nil {
		s.Failure = r.failure.Error()
	}
	return s
}

// replicaMetrics are the metrics of a member.
type replicaMetrics struct {
	commitTime, syncTime               metrics.Timer
	syncedEntries, snapshots, requests metrics.Counter
	failedRequests, failedWrites       metrics.Counter
}

func newReplicaMetrics(registry metrics.Registry) replicaMetrics {
	return replicaMetrics{
		commitTime:     metrics.GetOrRegisterTimer("replica.commit", registry),
		syncTime:       metrics.GetOrRegisterTimer("replica.sync", registry),
		syncedEntries:  metrics.GetOrRegisterCounter("replica.synced", registry),
		snapshots:      metrics.GetOrRegisterCounter("replica.snapshots", registry),
		requests:       metrics.GetOrRegisterCounter("replica.exchanges", registry),
		failedWrites:   metrics.GetOrRegisterCounter("replica.failedwrites", registry),
		failedRequests: metrics.GetOrRegisterCounter("replica.failures", registry),
	}
}
