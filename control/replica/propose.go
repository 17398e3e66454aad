package replica

import (
	"context"
	"time"

	"cuminfall.example/control/consensus"
	"cuminfall.example/fleet/clock"
	"cuminfall.example/fleet/fault"
	"cuminfall.example/fleet/ident"
)

// waiter is a proposal whose outcome is not known yet.
type waiter struct {
	term ident.Term
	done chan outcome // holds one
}

type outcome struct {
	result any
	err    error
}

// barrier waits until an index is applied.
type barrier struct {
	index ident.Index
	done  chan error // holds one
}

// Propose replicates data and returns the result of StateMachine.Apply. Its errors are of type *fault.Error: Execution is
// fault.NotExecuted if the entry is not and never will be in the log, and fault.ExecutionUnknown if it may be.
func (r *Replica) Propose(ctx context.Context, data []byte) (any, error) {
	begin := r.opts.Clock.Now()
	w := &waiter{done: make(chan outcome, 1)}
	r.mu.Lock()
	if err := r.stopped("propose"); err != nil {
		r.mu.Unlock()
		return nil, err
	}
	r.token++
	token := r.token
	r.decisions[token] = w
	r.proposals = append(r.proposals, consensus.Proposal{Token: token, Data: data})
	r.mu.Unlock()
	wake(r.wakePropose)
	result, err := r.await(ctx, token, w, "propose")
	if err == nil {
		r.meters.commits.UpdateSince(begin)
	}
	return result, err
}

// runProposals gives the node all proposals that queued up while it was busy as one event.
func (r *Replica) runProposals(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.wakePropose:
		}
		r.mu.Lock()
		if len(r.proposals) > 0 {
			items := r.proposals
			r.proposals = nil
			r.step(consensus.Propose{At: r.at(), WallTime: r.opts.Clock.Now(), Items: items})
		}
		r.mu.Unlock()
	}
}

// Remove removes the member of a name from the group and returns once that is committed.
func (r *Replica) Remove(ctx context.Context, name string) error {
	w := &waiter{done: make(chan outcome, 1)}
	r.mu.Lock()
	if err := r.stopped("remove"); err != nil {
		r.mu.Unlock()
		return err
	}
	r.token++
	token := r.token
	r.decisions[token] = w
	r.step(consensus.Remove{At: r.at(), WallTime: r.opts.Clock.Now(), Token: token, Name: name})
	r.mu.Unlock()
	_, err := r.await(ctx, token, w, "remove")
	return err
}

func (r *Replica) await(ctx context.Context, token consensus.Token, w *waiter, step string) (any, error) {
	select {
	case o := <-w.done:
		return o.result, o.err
	case <-ctx.Done():
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.decisions, token)
	for index, other := range r.waiters {
		if other == w {
			delete(r.waiters, index)
		}
	}
	select {
	case o := <-w.done:
		return o.result, o.err
	default:
	}
	err := fault.New(fault.Deadline, step, string(r.opts.Address), "%s", ctx.Err())
	err.Execution = fault.ExecutionUnknown
	return nil, err
}

// accept moves a proposal to the index at which it was appended.
func (r *Replica) accept(a consensus.ProposalAccepted) {
	w := r.decisions[a.Token]
	delete(r.decisions, a.Token)
	if w != nil {
		w.term = a.Term
		r.waiters[a.Index] = w
	}
}

// decide ends a proposal that was not appended.
func (r *Replica) decide(token consensus.Token, result any, err *fault.Error, run fault.Execution) {
	w := r.decisions[token]
	delete(r.decisions, token)
	if w == nil {
		return
	}
	err.Execution = run
	w.done <- outcome{result, err}
}

// failWaiters ends the proposals after an index with an unknown outcome.
func (r *Replica) failWaiters(after ident.Index, code fault.Code, why string) {
	for index, w := range r.waiters {
		if index <= after {
			continue
		}
		delete(r.waiters, index)
		err := fault.New(code, "propose", string(r.node.Status(r.at()).Leader), "%s before the outcome was known", why)
		err.Execution = fault.ExecutionUnknown
		w.done <- outcome{err: err}
	}
}

// replaced is the error of a proposal in whose place another leader's entry was committed.
func (r *Replica) replaced() error {
	err := fault.New(fault.Leader, "propose", string(r.node.Status(r.at()).Leader), "a later leader did not have the entry")
	err.Execution = fault.NotExecuted
	return err
}

func (r *Replica) refusal(f consensus.RequestRejected) *fault.Error {
	return fault.New(f.Code, "propose", string(r.node.Status(r.at()).Leader), "%s", f.Reason)
}

// stopped returns the refusal of a member that has stopped or failed.
func (r *Replica) stopped(step string) error {
	code, why := fault.Stopping, "this member has stopped"
	if r.failure != nil {
		code, why = fault.Internal, r.failure.Error()
	} else if !r.closed {
		return nil
	}
	err := fault.New(code, step, string(r.opts.Address), "%s", why)
	err.Execution = fault.NotExecuted
	return err
}

// Barrier returns once everything committed before the call is applied here, provided that this member holds the
// leader lease throughout. It returns the index that is applied.
func (r *Replica) Barrier(ctx context.Context) (ident.Index, error) {
	r.mu.Lock()
	if err := r.leads("barrier"); err != nil {
		r.mu.Unlock()
		return 0, err
	}
	s := r.node.Status(r.at())
	// The commit index of a new leader may lag until the first entry of its term is committed.
	b := barrier{index: max(s.Committed, s.TermStart), done: make(chan error, 1)}
	if r.applied >= b.index {
		defer r.mu.Unlock()
		return r.applied, nil
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
	return r.applied, r.leads("barrier")
}

func (r *Replica) releaseBarriers() {
	held := r.barriers[:0]
	for _, b := range r.barriers {
		if b.index <= r.applied {
			b.done <- nil
		} else {
			held = append(held, b)
		}
	}
	r.barriers = held
}

// leads returns an error unless this member holds the leader lease at this moment.
func (r *Replica) leads(step string) error {
	if err := r.stopped(step); err != nil {
		return err
	}
	at := r.at()
	if r.node.HasLease(at) {
		return nil
	}
	s := r.node.Status(at)
	code, why := fault.Leader, "this member does not lead"
	if s.Isolated {
		code, why = fault.Isolated, "no contact with a majority"
	}
	err := fault.New(code, step, string(s.Leader), "%s", why)
	err.Execution = fault.NotExecuted
	return err
}

// Leadership returns the term that this member leads and since when. It returns ok only while the leader lease holds
// at this moment and the first entry of the term is applied.
func (r *Replica) Leadership() (term ident.Term, since time.Time, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	at := r.at()
	if r.closed || !r.node.HasLease(at) {
		return 0, time.Time{}, false
	}
	s := r.node.Status(at)
	return s.Term, r.start.Add(s.LeaderSince), r.applied >= s.TermStart
}

// View runs f while no Apply runs.
func (r *Replica) View(f func()) {
	r.applyMu.Lock()
	defer r.applyMu.Unlock()
	f()
}

// Handover lets another member lead and returns once this one does not. It is an error if no other
// voter is in reach.
func (r *Replica) Handover(ctx context.Context) error {
	for {
		r.mu.Lock()
		r.step(consensus.StartHandover{At: r.at()})
		s := r.node.Status(r.at())
		gone := r.closed || s.Role != consensus.Leader
		handing := r.node.HandingOver()
		r.mu.Unlock()
		if gone {
			return nil
		}
		if !handing {
			return fault.New(fault.Unreachable, "handover", string(r.opts.Address), "no other voter is in reach")
		}
		if err := clock.Sleep(ctx, r.opts.Clock, tickInterval); err != nil {
			return fault.New(fault.Deadline, "handover", string(r.opts.Address), "%s", err)
		}
	}
}
