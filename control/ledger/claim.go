package ledger

import (
	"bytes"
	"time"

	"cuminfall.example/fleet/fault"
	"cuminfall.example/fleet/ident"
	"cuminfall.example/fleet/rpc"
)

// claimKey identifies a non-idempotent request across resends.
type claimKey struct {
	workspace ident.Workspace
	service   ident.Service
	key       string
}

// claim is the record of a non-idempotent request; without an outcome it is pending.
type claim struct {
	request *rpc.ClaimRequest
	index   ident.Index
	at      time.Duration
	outcome *rpc.Outcome
}

type claimMark struct {
	key   claimKey
	index ident.Index
	at    time.Duration
}

// expire drops claims older than ClaimLife and departures older than departureLife.
func (l *Ledger) expire() {
	for len(l.claimed) > 0 && l.claimed[0].at+ClaimLife <= l.at {
		mark := l.claimed[0]
		l.claimed = l.claimed[1:]
		if c := l.claims[mark.key]; c != nil && c.index == mark.index {
			delete(l.claims, mark.key)
		}
	}
	for a, d := range l.departures {
		if d.at+departureLife <= l.at {
			delete(l.departures, a)
		}
	}
}

func (l *Ledger) claim(c Claim) any {
	key := claimKey{ident.Workspace(c.GetWorkspace()), ident.Service(c.GetService()), c.GetKey()}
	if key.workspace == "" || key.service == "" || key.key == "" {
		return fault.New(fault.Invalid, "claim", c.GetVm(), "workspace, service and key must be set")
	}
	if old := l.claims[key]; old != nil {
		switch {
		case !bytes.Equal(old.request.GetDigest(), c.GetDigest()):
			return &rpc.ClaimReply{State: rpc.ClaimState_CLAIM_STATE_MISMATCH, Claim: uint64(old.index)}
		case old.outcome != nil:
			return &rpc.ClaimReply{State: rpc.ClaimState_CLAIM_STATE_COMPLETED, Claim: uint64(old.index), Outcome: old.outcome}
		}
		return &rpc.ClaimReply{State: rpc.ClaimState_CLAIM_STATE_PENDING, Claim: uint64(old.index)}
	}
	l.claims[key] = &claim{request: c.ClaimRequest, index: l.index, at: l.at}
	l.claimed = append(l.claimed, claimMark{key, l.index, l.at})
	return &rpc.ClaimReply{State: rpc.ClaimState_CLAIM_STATE_GRANTED, Claim: uint64(l.index)}
}

func (l *Ledger) complete(c Complete) any {
	old, err := l.held("complete", c.GetWorkspace(), c.GetService(), c.GetKey(), c.GetClaim())
	if err != nil {
		return err
	}
	if c.GetOutcome() == nil {
		return fault.New(fault.Invalid, "complete", "", "missing outcome")
	}
	if old.outcome == nil {
		old.outcome = c.GetOutcome()
	}
	return &rpc.CompleteReply{}
}

func (l *Ledger) abandon(c Abandon) any {
	old, err := l.held("abandon", c.GetWorkspace(), c.GetService(), c.GetKey(), c.GetClaim())
	if err != nil {
		return err
	}
	if old.outcome != nil {
		return fault.New(fault.Conflict, "abandon", "", "claim %d has an outcome", c.GetClaim())
	}
	delete(l.claims, claimKey{ident.Workspace(c.GetWorkspace()), ident.Service(c.GetService()), c.GetKey()})
	return &rpc.AbandonReply{}
}

// held returns the record of a claim that was granted at the given index.
func (l *Ledger) held(step, workspace, service, key string, index uint64) (*claim, *fault.Error) {
	old := l.claims[claimKey{ident.Workspace(workspace), ident.Service(service), key}]
	if old == nil || uint64(old.index) != index {
		return nil, fault.New(fault.NotFound, step, "", "no claim %d of this request", index)
	}
	return old, nil
}
