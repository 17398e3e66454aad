package ledger

import (
	"bytes"
	"time"

	"google.golang.org/protobuf/proto"

	"cuminfall.example/fleet/fault"
	"cuminfall.example/fleet/ident"
	"cuminfall.example/fleet/rpc"
)

// claimKey identifies a non-idempotent request; all resends of the request have the same key.
type claimKey struct {
	workspace ident.Workspace
	service   ident.Service
	key       string
}

// claim is the right to execute a non-idempotent request; it is pending until it has an outcome.
type claim struct {
	request *rpc.ClaimRequest
	index   ident.Index
	logTime time.Duration
	outcome *rpc.Outcome
}

// claimQueueEntry identifies a granted claim in the queue by which claims expire. If the claim was
// abandoned and its key was claimed again, the index differs from that of the present claim.
type claimQueueEntry struct {
	key     claimKey
	index   ident.Index
	logTime time.Duration
}

// abandonedTokenLifetime is how long, in log time, the token of an abandoned claim is kept. A copy
// of the claim that is committed even later leaves a pending claim: a resend then has to wait, but
// the request is never executed twice.
const abandonedTokenLifetime = time.Hour

// maxTokenBytes limits the length of a token, because the ledger keeps tokens in memory.
const maxTokenBytes = 256

// MaxAnswerBytes limits the stored answers to claimed requests. Beyond it, the oldest are kept without headers and body.
const MaxAnswerBytes = ident.Bytes(32 << 20)

// answerBytes returns the size of the answer in an outcome, or 0 if the outcome has none.
func answerBytes(o *rpc.Outcome) ident.Bytes {
	if o == nil || o.GetTruncated() && len(o.GetHeaders()) == 0 && len(o.GetBody()) == 0 {
		return 0
	}
	return ident.Bytes(proto.Size(o))
}

// trimAnswers drops the oldest answers beyond MaxAnswerBytes. It then makes room for further ones, so that the claims are
// searched for the oldest answers once for many of them.
func (l *Ledger) trimAnswers() {
	if l.answerBytes <= MaxAnswerBytes {
		return
	}
	for _, entry := range l.claimQueue {
		c := l.claims[entry.key]
		if c == nil || c.index != entry.index {
			continue
		}
		if size := answerBytes(c.outcome); size > 0 {
			// Replies may still refer to the outcome.
			c.outcome = &rpc.Outcome{Status: c.outcome.GetStatus(), Truncated: true}
			if l.answerBytes -= size; l.answerBytes <= MaxAnswerBytes*7/8 {
				return
			}
		}
	}
}

// abandonedToken is the token of an abandoned claim and the log time at which it was abandoned.
type abandonedToken struct {
	token   string
	logTime time.Duration
}

// dropExpired deletes expired residual uses, claims older than ClaimLifetime, tokens older than
// abandonedTokenLifetime and departures older than departureLifetime.
func (l *Ledger) dropExpired() {
	l.expireResidualUses()
	for len(l.claimQueue) > 0 && l.claimQueue[0].logTime+ClaimLifetime <= l.logTime {
		oldest := l.claimQueue[0]
		l.claimQueue = l.claimQueue[1:]
		if c := l.claims[oldest.key]; c != nil && c.index == oldest.index {
			l.answerBytes -= answerBytes(c.outcome)
			delete(l.claims, oldest.key)
		}
	}
	for len(l.abandonedQueue) > 0 && l.abandonedQueue[0].logTime+abandonedTokenLifetime <= l.logTime {
		delete(l.abandonedTokens, l.abandonedQueue[0].token)
		l.abandonedQueue = l.abandonedQueue[1:]
	}
	for a, d := range l.departures {
		if d.logTime+departureLifetime <= l.logTime {
			delete(l.departures, a)
		}
	}
}

func (l *Ledger) applyClaim(c Claim) any {
	key := claimKey{ident.Workspace(c.GetWorkspace()), ident.Service(c.GetService()), c.GetKey()}
	if key.workspace == "" || key.service == "" || key.key == "" {
		return fault.New(fault.Invalid, "claim", c.GetVm(), "workspace, service and key must be set")
	}
	if len(c.GetToken()) > maxTokenBytes {
		return fault.New(fault.Invalid, "claim", c.GetVm(), "token is longer than %d bytes", maxTokenBytes)
	}
	if l.abandonedTokens[c.GetToken()] {
		return fault.New(fault.Conflict, "claim", c.GetVm(), "the claim was already abandoned")
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
	l.claims[key] = &claim{request: c.ClaimRequest, index: l.index, logTime: l.logTime}
	l.claimQueue = append(l.claimQueue, claimQueueEntry{key, l.index, l.logTime})
	return &rpc.ClaimReply{State: rpc.ClaimState_CLAIM_STATE_GRANTED, Claim: uint64(l.index)}
}

func (l *Ledger) completeClaim(c Complete) any {
	old, err := l.findClaim("complete", c.GetWorkspace(), c.GetService(), c.GetKey(), c.GetClaim())
	if err != nil {
		return err
	}
	if c.GetOutcome() == nil {
		return fault.New(fault.Invalid, "complete", "", "outcome must be set")
	}
	if old.outcome == nil {
		old.outcome = c.GetOutcome()
		l.answerBytes += answerBytes(old.outcome)
		l.trimAnswers()
	}
	return &rpc.CompleteReply{}
}

// abandonClaim deletes a pending claim and stores its token, so that a copy of the claim that is
// applied later is not granted.
func (l *Ledger) abandonClaim(c Abandon) any {
	key := claimKey{ident.Workspace(c.GetWorkspace()), ident.Service(c.GetService()), c.GetKey()}
	token, old := c.GetToken(), l.claims[key]
	if c.GetClaim() == 0 && token == "" || len(token) > maxTokenBytes {
		return fault.New(fault.Invalid, "abandon", "", "a claim, or a token of at most %d bytes, must be set", maxTokenBytes)
	}
	matches := old != nil && uint64(old.index) == c.GetClaim()
	if c.GetClaim() == 0 {
		matches = old != nil && old.request.GetToken() == token
	}
	if matches && old.outcome != nil {
		return fault.New(fault.Conflict, "abandon", "", "claim %d already has an outcome", old.index)
	}
	alreadyAbandoned := l.abandonedTokens[token]
	if token != "" && !alreadyAbandoned {
		l.abandonedTokens[token] = true
		l.abandonedQueue = append(l.abandonedQueue, abandonedToken{token, l.logTime})
	}
	if matches {
		delete(l.claims, key)
	} else if c.GetClaim() != 0 && !alreadyAbandoned {
		return fault.New(fault.NotFound, "abandon", "", "claim %d does not exist for this request", c.GetClaim())
	}
	return &rpc.AbandonReply{}
}

// findClaim returns the claim that was granted at the given index, or an error if it does not exist.
func (l *Ledger) findClaim(step, workspace, service, key string, index uint64) (*claim, *fault.Error) {
	old := l.claims[claimKey{ident.Workspace(workspace), ident.Service(service), key}]
	if old == nil || uint64(old.index) != index {
		return nil, fault.New(fault.NotFound, step, "", "claim %d does not exist for this request", index)
	}
	return old, nil
}
