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

// abandonedLife is how long the token of an abandoned claim is kept. A proposal
// that arrives later still leaves a pending claim, which delays a resend but never runs twice.
const abandonedLife = time.Hour

// longestToken bounds the tokens that the ledger keeps.
const longestToken = 256

// abandonedMark is the token of an abandoned claim.
type abandonedMark struct {
	token string
	at    time.Duration
}

// expire drops claims older than ClaimLifetime, tokens older than abandonedLife and
// departures older than departureLife.
func (l *Ledger) expire() {
	l.expireResidues()
	for len(l.claimed) > 0 && l.claimed[0].at+ClaimLifetime <= l.at {
		mark := l.claimed[0]
		l.claimed = l.claimed[1:]
		if c := l.claims[mark.key]; c != nil && c.index == mark.index {
			delete(l.claims, mark.key)
		}
	}
	for len(l.marks) > 0 && l.marks[0].at+abandonedLife <= l.at {
		delete(l.abandoned, l.marks[0].token)
		l.marks = l.marks[1:]
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
	if len(c.GetToken()) > longestToken {
		return fault.New(fault.Invalid, "claim", c.GetVm(), "token is over %d bytes", longestToken)
	}
	if l.abandoned[c.GetToken()] {
		return fault.New(fault.Conflict, "claim", c.GetVm(), "the claim was abandoned before it arrived")
	}
	if old := l.claims[key]; old != nil {
		switch {
		case !bytes.Equal(old.request.GetDigest(), c.GetDigest()):
			return &rpc.ClaimReply{State: rpc.ClaimState_CLAIM_STATE_MISMATCH, Claim: uint64(old.index)}
		case old.outcome != nil:
			return &rpc.ClaimReply{State: rpc.ClaimState_CLAIM_STATE_COMPLETED, Claim: uint64(old.index), Outcome: old.outcome}
		case c.GetToken() != "" && old.request.GetToken() == c.GetToken():
			return &rpc.ClaimReply{State: rpc.ClaimState_CLAIM_STATE_GRANTED, Claim: uint64(old.index)}
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

// abandon deletes a pending claim and remembers its token, so that a copy of
// the claim that is applied later is not granted.
func (l *Ledger) abandon(c Abandon) any {
	key := claimKey{ident.Workspace(c.GetWorkspace()), ident.Service(c.GetService()), c.GetKey()}
	token, old := c.GetToken(), l.claims[key]
	if c.GetClaim() == 0 && token == "" || len(token) > longestToken {
		return fault.New(fault.Invalid, "abandon", "", "a claim or a token of at most %d bytes must be set", longestToken)
	}
	found := old != nil && uint64(old.index) == c.GetClaim()
	if c.GetClaim() == 0 {
		found = old != nil && old.request.GetToken() == token
	}
	if found && old.outcome != nil {
		return fault.New(fault.Conflict, "abandon", "", "claim %d has an outcome", old.index)
	}
	repeated := l.abandoned[token]
	if token != "" && !repeated {
		l.abandoned[token] = true
		l.marks = append(l.marks, abandonedMark{token, l.at})
	}
	if found {
		delete(l.claims, key)
	} else if c.GetClaim() != 0 && !repeated {
		return fault.New(fault.NotFound, "abandon", "", "no claim %d of this request", c.GetClaim())
	}
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
