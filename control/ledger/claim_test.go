package ledger

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"cuminfall.example/fleet/ident"
	"cuminfall.example/fleet/rpc"
)

// claimRequest returns the claim of a request that is resent under the same key.
func claimRequest(i int) Claim {
	return Claim{ClaimRequest: &rpc.ClaimRequest{Workspace: "w", Service: "s", Key: fmt.Sprint("key-", i), Digest: []byte("digest"), Token: fmt.Sprint("token-", i)}}
}

// answer claims a request and stores its answer.
func (b *testLedger) answer(i int, body []byte) {
	b.t.Helper()
	granted := b.applyNext(claimRequest(i)).(*rpc.ClaimReply)
	if granted.GetState() != rpc.ClaimState_CLAIM_STATE_GRANTED {
		b.t.Fatal(granted)
	}
	b.applyNext(Complete{CompleteRequest: &rpc.CompleteRequest{Workspace: "w", Service: "s", Key: fmt.Sprint("key-", i), Claim: granted.GetClaim(),
		Outcome: &rpc.Outcome{Status: 201, Body: body}}})
}

// Guards against a member that holds a day's answers of up to 64 KiB each, however many there are. A resend of a request
// whose answer is gone still learns that the request ran.
func TestAnswersAreBoundedInBytes(t *testing.T) {
	is := is.New(t)
	b := newTestLedger(t)
	body := bytes.Repeat([]byte("x"), 64<<10)
	const requests = 1500
	for i := range requests {
		b.answer(i, body)
		is.True(b.answerBytes <= MaxAnswerBytes)
	}
	state, err := b.Snapshot()
	is.NoErr(err)
	is.True(ident.Bytes(len(state)) <= MaxAnswerBytes+(1<<20))

	oldest := b.applyNext(claimRequest(0)).(*rpc.ClaimReply)
	is.Equal(oldest.GetState(), rpc.ClaimState_CLAIM_STATE_COMPLETED)
	is.Equal(oldest.GetOutcome().GetStatus(), uint32(201))
	is.True(oldest.GetOutcome().GetTruncated())
	newest := b.applyNext(claimRequest(requests - 1)).(*rpc.ClaimReply)
	is.Equal(newest.GetOutcome().GetBody(), body)

	state, err = b.Snapshot()
	is.NoErr(err)
	restored := New()
	is.NoErr(restored.Restore(state))
	is.Equal(restored.answerBytes, b.answerBytes)

	b.logTimeNow += ClaimLifetime + time.Hour
	b.answer(requests, body)
	is.Equal(b.answerBytes, answerBytes(b.claims[claimKey{"w", "s", fmt.Sprint("key-", requests)}].outcome))
}

// Guards against a member that takes over all answers of an earlier build's snapshot.
func TestAnswersOfEarlierBuildAreShortened(t *testing.T) {
	is := is.New(t)
	b := newTestLedger(t)
	const requests = 1000
	for i := range requests {
		b.applyNext(claimRequest(i))
		b.claims[claimKey{"w", "s", fmt.Sprint("key-", i)}].outcome = &rpc.Outcome{Status: 200, Body: make([]byte, 64<<10)}
	}
	state, err := b.Snapshot()
	is.NoErr(err)
	is.True(ident.Bytes(len(state)) > MaxAnswerBytes)
	restored := New()
	is.NoErr(restored.Restore(state))
	is.True(restored.answerBytes <= MaxAnswerBytes)
	is.Equal(len(restored.claims), requests)
}
