package coordinator

import (
	"context"

	"cuminfall.example/fleet/fault"
	"cuminfall.example/fleet/ident"
	"cuminfall.example/fleet/protocol"
	"cuminfall.example/fleet/registry"
)

// reportOrder is the position of the newest report of a VM in the leader's term.
type reportOrder struct {
	incarnation ident.Incarnation
	earlier     ident.Incarnation // of the run before; 0 if none is known
	sequence    uint64
	serial      uint64 // of the reply to it
}

// reportClass tells what a report is in comparison with the others of its VM.
type reportClass uint8

const (
	newestReport      reportClass = iota + 1
	overtakenReport               // a newer one of the VM, or one of a later run, was received before
	unconfirmedReport             // it may be that of an earlier run, and have waited anywhere since
)

// orderReport records a report and returns its class and the serial of its reply. Incarnations have no order: a run that the
// leader does not know may be a later or an earlier one. It is the later one if it has had a reply since the last report of
// the run that the leader knows, as only one run of a VM exists at a time.
func (c *Coordinator) orderReport(term ident.Term, q *protocol.Report) (class reportClass, serial uint64) {
	var registered registry.VM
	c.opts.StateMachine.view(func(r *registry.Registry) { registered = r.VMs[q.VM.Name] })
	c.mu.Lock()
	defer c.mu.Unlock()
	c.replySerial++
	newest, known := c.reportOrder[q.VM.Name]
	switch {
	case known && q.VM.Incarnation == newest.incarnation:
		if q.Sequence < newest.sequence {
			return overtakenReport, c.replySerial
		}
		newest.sequence = q.Sequence
	case known && q.VM.Incarnation == newest.earlier:
		return overtakenReport, c.replySerial
	case q.Echo != nil && (known || registered.Name != "" && registered.Incarnation != q.VM.Incarnation) && (q.AppliedTerm != term || *q.Echo <= newest.serial):
		return unconfirmedReport, c.replySerial
	default:
		newest = reportOrder{incarnation: q.VM.Incarnation, earlier: newest.incarnation, sequence: q.Sequence}
	}
	newest.serial = c.replySerial
	c.reportOrder[q.VM.Name] = newest
	return newestReport, c.replySerial
}

// registerReported registers the VM of a report before it is granted any allowance, unless its entry is up to date. Reports
// of one VM are handled one at a time: one that is being registered would hide from a newer one that there is a change.
func (c *Coordinator) registerReported(ctx context.Context, term ident.Term, q *protocol.Report) error {
	c.mu.Lock()
	queue := c.registering[q.VM.Name]
	if queue == nil {
		queue = newOrderQueue()
		c.registering[q.VM.Name] = queue
	}
	c.mu.Unlock()
	select {
	case queue <- struct{}{}:
		defer func() { <-queue }()
	case <-ctx.Done():
		return fault.Wrap(ctx.Err(), fault.Deadline, "report", string(q.VM.Name))
	}
	c.mu.Lock()
	newest := c.reportOrder[q.VM.Name]
	c.mu.Unlock()
	if newest.incarnation != q.VM.Incarnation || newest.sequence > q.Sequence {
		return overtakenError(q)
	}
	return c.registerVM(ctx, term, q.VM)
}

func overtakenError(q *protocol.Report) error {
	return fault.New(fault.Conflict, "report", string(q.VM.Name), "report %d is older than one that was received before", q.Sequence)
}
