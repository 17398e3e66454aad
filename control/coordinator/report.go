package coordinator

import (
	"cuminfall.example/fleet/ident"
	"cuminfall.example/fleet/protocol"
)

// reportOrder is the position of the newest report of a VM.
type reportOrder struct {
	incarnation ident.Incarnation
	earlier     ident.Incarnation // of the run before; 0 if none is known
	sequence    uint64
}

// isOvertaken records a report and returns whether a newer one of the VM, or one of a later run, was received before.
func (c *Coordinator) isOvertaken(q *protocol.Report) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	newest, known := c.reportOrder[q.VM.Name]
	switch {
	case known && q.VM.Incarnation == newest.incarnation:
		if q.Sequence < newest.sequence {
			return true
		}
		newest.sequence = q.Sequence
	case known && q.VM.Incarnation == newest.earlier:
		return true
	default:
		newest = reportOrder{incarnation: q.VM.Incarnation, earlier: newest.incarnation, sequence: q.Sequence}
	}
	c.reportOrder[q.VM.Name] = newest
	return false
}
