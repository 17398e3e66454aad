package replica

import (
	"context"
	"time"

	"cuminfall.example/control/consensus"
	"cuminfall.example/fleet/clock"
	"cuminfall.example/fleet/fault"
	"cuminfall.example/fleet/ident"
)

// pendingProposal is a proposal or removal whose outcome is not known yet.
type pendingProposal struct {
	term ident.Term
	done chan outcome // buffered for one outcome
}

// outcome is the result of a proposal, or the error with which it ended.
type outcome struct {
	result any
	err    error
}

// barrier is a call of Replica.Barrier that waits until an index is applied.
type barrier struct {
	index ident.Index
	done  chan error // buffered for one error
}

// Propose replicates data and returns the result of StateMachine.Apply. Its errors are of type *fault.Error.
// Their Execution is fault.NotExecuted if the data will never be applied, and fault.ExecutionUnknown if it
// may still be applied.
func (r *Replica) Propose(ctx context.Context, data []byte) (any, error) {
	startTime := r.opts.Clock.Now()
	proposal := &pendingProposal{done: make(chan outcome, 1)}
	r.mu.Lock()
	if err := r.checkRunning("propose"); err != nil {
		r.mu.Unlock()
		return nil, err
	}
	r.lastToken++
	token := r.lastToken
	r.pendingByToken[token] = proposal
	r.queuedProposals = append(r.queuedProposals, consensus.Proposal{Token: token, Data: data})
	r.mu.Unlock()
	notify(r.proposalSignal)
	result, err := r.awaitOutcome(ctx, token, proposal, "propose")
	if err == nil {
		r.metrics.commitTime.Update(r.opts.Clock.Now().Sub(startTime))
	}
	return result, err
}

// runProposals passes queued proposals to the node. All proposals that queued up while the node was busy
// become one event.
func (r *Replica) runProposals(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.proposalSignal:
		}
		r.mu.Lock()
		if len(r.queuedProposals) > 0 {
			items := r.queuedProposals
			r.queuedProposals = nil
			r.stepLocked(consensus.Propose{At: r.nodeTime(), WallTime: r.opts.WallClock.Now(), Items: items})
		}
		r.mu.Unlock()
	}
}

// Remove removes the members with a name from the group and returns once the removal is committed and
// applied here.
func (r *Replica) Remove(ctx context.Context, name string) error {
	removal := &pendingProposal{done: make(chan outcome, 1)}
	r.mu.Lock()
	if err := r.checkRunning("remove"); err != nil {
		r.mu.Unlock()
		return err
	}
	r.lastToken++
	token := r.lastToken
	r.pendingByToken[token] = removal
	r.stepLocked(consensus.Remove{At: r.nodeTime(), WallTime: r.opts.WallClock.Now(), Token: token, Name: name})
	r.mu.Unlock()
	_, err := r.awaitOutcome(ctx, token, removal, "remove")
	return err
}

// awaitOutcome waits for the outcome of a proposal. If ctx ends first, it forgets the proposal and returns
// an error with an unknown execution.
func (r *Replica) awaitOutcome(ctx context.Context, token consensus.Token, proposal *pendingProposal, step string) (any, error) {
	select {
	case o := <-proposal.done:
		return o.result, o.err
	case <-ctx.Done():
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.pendingByToken, token)
	for index, other := range r.pendingByIndex {
		if other == proposal {
			delete(r.pendingByIndex, index)
		}
	}
	select {
	case o := <-proposal.done:
		return o.result, o.err
	default:
	}
	err := fault.New(fault.Deadline, step, string(r.opts.Address), "%s", ctx.Err())
	err.Execution = fault.ExecutionUnknown
	return nil, err
}

// recordAppended files a proposal under the index at which it was appended.
func (r *Replica) recordAppended(accepted consensus.ProposalAccepted) {
	proposal := r.pendingByToken[accepted.Token]
	delete(r.pendingByToken, accepted.Token)
	if proposal != nil {
		proposal.term = accepted.Term
		r.pendingByIndex[accepted.Index] = proposal
	}
}

// rejectProposal ends a proposal that was not appended to the log.
func (r *Replica) rejectProposal(token consensus.Token, result any, err *fault.Error, execution fault.Execution) {
	proposal := r.pendingByToken[token]
	delete(r.pendingByToken, token)
	if proposal == nil {
		return
	}
	err.Execution = execution
	proposal.done <- outcome{result, err}
}

// failPendingAfter ends the proposals that were appended after the committed index; whether they will be
// executed is unknown.
func (r *Replica) failPendingAfter(committed ident.Index, code fault.Code, reason string) {
	for index, proposal := range r.pendingByIndex {
		if index <= committed {
			continue
		}
		delete(r.pendingByIndex, index)
		err := fault.New(code, "propose", string(r.node.Status(r.nodeTime()).Leader), "%s before the outcome was known", reason)
		err.Execution = fault.ExecutionUnknown
		proposal.done <- outcome{err: err}
	}
}

// replacedError returns the error for a proposal whose index holds a committed entry of another leader.
func (r *Replica) replacedError() error {
	err := fault.New(fault.NotLeader, "propose", string(r.node.Status(r.nodeTime()).Leader), "a later leader replaced the entry before it was committed")
	err.Execution = fault.NotExecuted
	return err
}

// rejectionError returns the error for a proposal that the node rejected.
func (r *Replica) rejectionError(rejected consensus.RequestRejected) *fault.Error {
	return fault.New(rejected.Code, "propose", string(r.node.Status(r.nodeTime()).Leader), "%s", rejected.Reason)
}

// checkRunning returns an error if this member has stopped or failed.
func (r *Replica) checkRunning(step string) error {
	code, reason := fault.Stopping, "this member has stopped"
	if r.failure != nil {
		code, reason = fault.Internal, r.failure.Error()
	} else if !r.closed {
		return nil
	}
	err := fault.New(code, step, string(r.opts.Address), "%s", reason)
	err.Execution = fault.NotExecuted
	return err
}

// Barrier waits until everything that was committed before the call is applied here, and returns the last
// applied index. It returns an error if this member does not hold the leader lease at the start and at the
// end of the call.
func (r *Replica) Barrier(ctx context.Context) (ident.Index, error) {
	r.mu.Lock()
	if err := r.checkLease("barrier"); err != nil {
		r.mu.Unlock()
		return 0, err
	}
	s := r.node.Status(r.nodeTime())
	// The commit index of a new leader may be out of date until the first entry of its term is committed.
	b := barrier{index: max(s.Committed, s.TermStart), done: make(chan error, 1)}
	if r.appliedIndex >= b.index {
		defer r.mu.Unlock()
		return r.appliedIndex, nil
	}
	r.barriers = append(r.barriers, b)
	r.mu.Unlock()
	select {
	case <-ctx.Done():
		return 0, fault.New(fault.Deadline, "barrier", string(r.opts.Address), "%s", ctx.Err())
	case err := <-b.done:
		if err != nil {
			return 0, err
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.appliedIndex, r.checkLease("barrier")
}

// releaseBarriers ends the barriers whose index is applied.
func (r *Replica) releaseBarriers() {
	remaining := r.barriers[:0]
	for _, b := range r.barriers {
		if b.index <= r.appliedIndex {
			b.done <- nil
		} else {
			remaining = append(remaining, b)
		}
	}
	r.barriers = remaining
}

// checkLease returns an error unless this member holds the leader lease at the moment.
func (r *Replica) checkLease(step string) error {
	if err := r.checkRunning(step); err != nil {
		return err
	}
	at := r.nodeTime()
	if r.node.HasLease(at) {
		return nil
	}
	s := r.node.Status(at)
	code, reason := fault.NotLeader, "this member does not lead"
	if s.Isolated {
		code, reason = fault.Isolated, "no contact with a majority"
	}
	err := fault.New(code, step, string(s.Leader), "%s", reason)
	err.Execution = fault.NotExecuted
	return err
}

// Leadership returns the term in which this member is leader and the time of its election. ok is true only
// if the member holds the leader lease at the moment and has applied the first entry of the term.
func (r *Replica) Leadership() (term ident.Term, since time.Time, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	at := r.nodeTime()
	if r.closed || !r.node.HasLease(at) {
		return 0, time.Time{}, false
	}
	s := r.node.Status(at)
	return s.Term, r.startTime.Add(s.LeaderSince), r.appliedIndex >= s.TermStart
}

// View calls f while no method of the state machine runs, so that f can read the state.
func (r *Replica) View(f func()) {
	r.applyMu.Lock()
	defer r.applyMu.Unlock()
	f()
}

// Handover transfers leadership to another voter and returns once that one leads. Until then this member must go on to run:
// it sends the request to take over, and its vote may be needed. It returns an error if no other voter is reachable.
func (r *Replica) Handover(ctx context.Context) error {
	for led := false; ; {
		r.mu.Lock()
		led = led || r.node.Status(r.nodeTime()).Role == consensus.Leader
		r.stepLocked(consensus.StartHandover{At: r.nodeTime()})
		s := r.node.Status(r.nodeTime())
		leading, inProgress, closed := s.Role == consensus.Leader, r.node.HandingOver(), r.closed
		r.mu.Unlock()
		switch {
		case closed || !led || !leading && s.LeaderID != "":
			return nil
		case leading && !inProgress:
			return fault.New(fault.Unreachable, "handover", string(r.opts.Address), "no other voter is reachable")
		}
		if err := clock.Sleep(ctx, r.opts.Clock, tickInterval); err != nil {
			return fault.New(fault.Deadline, "handover", string(r.opts.Address), "%s", err)
		}
	}
}
