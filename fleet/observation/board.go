package observation

import (
	"sort"
	"time"

	"cuminfall.example/fleet/ident"
)

// Board holds the facts of all VMs at the leader of one term. The zero value is empty.
type Board struct {
	records records
}

// Exchange adds the facts of a VM's report and returns those which the VM lacks. It returns nil for a report without
// facts, which is that of an earlier build.
func (b *Board) Exchange(now time.Time, term ident.Term, report *Report) *Reply {
	if report == nil {
		return nil
	}
	// The oldest one first, so that the order of receipt is also that of their ages.
	for i := len(report.Facts) - 1; i >= 0; i-- {
		b.records.add(now, report.Facts[i])
	}
	applied := report.Applied
	if report.Term != term {
		applied = 0
	}
	b.records.expire(now)
	reply := &Reply{Applied: b.records.lastSerial}
	order := b.records.order
	lacking := order[sort.Search(len(order), func(i int) bool { return order[i].serial > applied }):]
	if len(lacking) > maxReplyFacts {
		lacking = lacking[:maxReplyFacts]
		reply.Applied, reply.More = lacking[maxReplyFacts-1].serial, true
	}
	for _, r := range lacking {
		reply.Facts = append(reply.Facts, r.observation(now))
	}
	return reply
}

// Len returns the number of facts.
func (b *Board) Len() int { return len(b.records.order) }
