package ledger

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"cuminfall.example/control/ledger/wire"
	"cuminfall.example/control/replica"
	"cuminfall.example/fleet/fault"
	"cuminfall.example/fleet/ident"
	"cuminfall.example/fleet/rpc"
)

func toIndex(n uint64) ident.Index { return ident.Index(n) }

func replaceAll(s, old, replacement string) string { return strings.ReplaceAll(s, old, replacement) }

// TestChangeRefusals guards against an invalid or unauthorized change that is accepted, or that is
// refused but still modifies the ledger.
func TestChangeRefusals(t *testing.T) {
	const good = "[[workspace]]\nname = \"w\"\nrate = 5.0\nburst = 5.0\n"
	for _, c := range []struct {
		name, section, id, operator, credential, text string
		base                                          uint64
		want                                          fault.Code
	}{
		{"unknown operator", "workspaces", "n", "eve", "eve", good, 1, fault.InvalidCredential},
		{"wrong credential", "workspaces", "n", "bob", "ann", good, 1, fault.InvalidCredential},
		{"missing id", "workspaces", "", "bob", "bob", good, 1, fault.Invalid},
		{"unknown section", "colours", "n", "bob", "bob", good, 1, fault.NotFound},
		{"not the owner", "places", "n", "bob", "bob", "", 1, fault.NotOwner},
		{"stale base", "workspaces", "n", "bob", "bob", good, 0, fault.Conflict},
		{"base above the current revision", "workspaces", "n", "bob", "bob", good, 2, fault.Conflict},
		{"malformed text", "workspaces", "n", "bob", "bob", "[[workspace", 1, fault.Invalid},
		{"unknown key", "workspaces", "n", "bob", "bob", good + "colour = 1\n", 1, fault.Invalid},
		{"failed check", "workspaces", "n", "bob", "bob", replaceAll(good, "rate = 5.0", "rate = -5.0"), 1, fault.Invalid},
		{"id used for other content", "workspaces", "set-workspaces", "ann", "ann", good, 0, fault.Conflict},
		{"id used by another operator", "workspaces", "set-workspaces", "bob", "bob", "[[workspace]]\nname = \"w\"\nrate = 100.0\nburst = 50.0\n", 0, fault.Conflict},
		{"no operator owns the owners section", "owners", "n", "ann", "ann", "[[operator]]\nname = \"ann\"\nhash = \"" + HashCredential("ann") + "\"\nsections = [\"places\"]\n", 1, fault.Invalid},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			b := newTestLedger(t)
			config, auditLength := b.Versions(Holder{}).GetConfig(), len(b.Audit(0, 0))
			r := b.change(c.section, c.id, c.operator, c.credential, c.text, c.base)
			is.Equal(code(r), c.want)
			is.True(r.GetState() != rpc.ApplyState_APPLY_STATE_ACCEPTED)
			is.Equal(b.Versions(Holder{}).GetConfig(), config) // nothing changed
			is.Equal(len(b.Audit(0, 0)), auditLength)
		})
	}
}

// TestResubmissionGetsFirstOutcome guards against a resubmitted change that is evaluated again. It
// gets its first outcome, whether that was acceptance, a conflict or a refusal of its text.
func TestResubmissionGetsFirstOutcome(t *testing.T) {
	is := is.New(t)
	b := newTestLedger(t)
	text := "[[workspace]]\nname = \"w\"\nrate = 7.0\nburst = 7.0\n"
	first := b.change("workspaces", "x", "bob", "bob", text, 1)
	is.Equal(first.GetRevision(), uint64(2))
	conflicting := b.change("workspaces", "y", "ann", "ann", text, 1)
	is.Equal(conflicting.GetState(), rpc.ApplyState_APPLY_STATE_CONFLICT)
	is.Equal(conflicting.GetLost().GetId(), "x") // the change with which it conflicts
	is.Equal(conflicting.GetLost().GetAfter(), text)
	malformed := b.change("workspaces", "z", "bob", "bob", "[", 2)
	b.change("workspaces", "later", "bob", "bob", text+"\n", 2)
	is.Equal(b.change("workspaces", "x", "bob", "bob", text, 1), first)
	is.Equal(b.change("workspaces", "y", "ann", "ann", text, 1), conflicting)
	is.Equal(b.change("workspaces", "z", "bob", "bob", "[", 2), malformed)
	is.Equal(len(b.Audit(0, 0)), 5)
	last := b.Audit(0, 0)[4]
	is.Equal(last.GetBefore(), text)
	is.Equal(last.GetOperator(), "bob")
}

// TestCommandRefusals guards against announcements, verdicts, registrations and removals that the
// ledger accepts although they are invalid, unauthorized or outdated.
func TestCommandRefusals(t *testing.T) {
	announce := func(service, domain string, slots uint32, incarnation uint64, leaving bool) Command {
		return Announce{&rpc.Upstream{Service: service, Address: "10.0.0.1:80", Domain: domain, Slots: slots, Connections: 9, Incarnation: incarnation, Leaving: leaving}}
	}
	verdict := func(kind, target, credential string) Command {
		return SetVerdict{&wire.Judge{Verdict: &rpc.Verdict{Kind: kind, Target: target, Down: true, Id: "v"}, Hash: HashCredential(credential)}}
	}
	register := func(incarnation uint64) Command {
		return RegisterEntryVM{&wire.Enter{Member: &rpc.Member{Vm: "e1", Incarnation: incarnation}}}
	}
	for _, c := range []struct {
		name   string
		before []Command
		last   Command
		want   fault.Code
	}{
		{"unknown service", nil, announce("x", "d1", 4, 1, false), fault.NotFound},
		{"unknown domain", nil, announce("s", "x", 4, 1, false), fault.NotFound},
		{"no slots", nil, announce("s", "d1", 0, 1, false), fault.Invalid},
		{"repeated", []Command{announce("s", "d1", 4, 5, false)}, announce("s", "d1", 4, 5, false), ""},
		{"higher incarnation", []Command{announce("s", "d1", 4, 5, false)}, announce("s", "d1", 2, 6, false), ""},
		{"lower incarnation", []Command{announce("s", "d1", 4, 5, false)}, announce("s", "d1", 4, 4, false), fault.Stale},
		{"other content", []Command{announce("s", "d1", 4, 5, false)}, announce("s", "d1", 5, 5, false), fault.Conflict},
		{"delayed announcement after withdrawal", []Command{announce("s", "d1", 4, 5, false), announce("s", "d1", 4, 5, true)}, announce("s", "d1", 4, 5, false), fault.Stale},
		{"delayed withdrawal of an earlier incarnation", []Command{announce("s", "d1", 4, 5, false)}, announce("s", "d1", 4, 4, true), fault.Stale},
		{"verdict without credential", nil, verdict("domain", "d1", "ann"), fault.InvalidCredential},
		{"verdict on an unknown domain", nil, verdict("domain", "x", "mon"), fault.NotFound},
		{"verdict of an unknown kind", nil, verdict("rack", "d1", "mon"), fault.Invalid},
		{"verdict", nil, verdict("domain", "d1", "mon"), ""},
		{"VM without incarnation", nil, register(0), fault.Invalid},
		{"replaced incarnation", []Command{register(9), register(3)}, register(9), fault.Stale},
		{"removal without credential", nil, Remove{&wire.Remove{Name: "c2", Operator: "ann", Hash: HashCredential("bob")}}, fault.InvalidCredential},
		{"removal by another owner", nil, Remove{&wire.Remove{Name: "c2", Operator: "bob", Hash: HashCredential("bob")}}, fault.NotOwner},
		{"second bootstrap", nil, Bootstrap{&wire.Found{Owners: ""}}, fault.Conflict},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			b := newTestLedger(t)
			for _, x := range c.before {
				is.Equal(code(b.applyNext(x)), fault.Code(""))
			}
			is.Equal(code(b.applyNext(c.last)), c.want)
		})
	}
}

// TestClaims guards against a non-idempotent request that is executed twice, because a second claim
// is granted or because a delayed message changes a newer claim.
func TestClaims(t *testing.T) {
	is := is.New(t)
	b := newTestLedger(t)
	claim := func(digest string) *rpc.ClaimReply {
		return b.applyNext(Claim{&rpc.ClaimRequest{Workspace: "w", Service: "s", Key: "k", Digest: []byte(digest)}}).(*rpc.ClaimReply)
	}
	complete := func(n uint64, status uint32) any {
		return b.applyNext(Complete{&rpc.CompleteRequest{Workspace: "w", Service: "s", Key: "k", Claim: n, Outcome: &rpc.Outcome{Status: status}}})
	}
	abandon := func(n uint64) any {
		return b.applyNext(Abandon{&rpc.AbandonRequest{Workspace: "w", Service: "s", Key: "k", Claim: n}})
	}
	first := claim("a")
	is.Equal(first.GetState(), rpc.ClaimState_CLAIM_STATE_GRANTED)
	is.Equal(claim("a").GetState(), rpc.ClaimState_CLAIM_STATE_PENDING)
	is.Equal(claim("b").GetState(), rpc.ClaimState_CLAIM_STATE_MISMATCH)
	is.Equal(code(abandon(first.GetClaim())), fault.Code(""))
	second := claim("a")
	is.Equal(second.GetState(), rpc.ClaimState_CLAIM_STATE_GRANTED)
	is.Equal(code(abandon(first.GetClaim())), fault.NotFound) // a delayed copy
	is.Equal(code(complete(first.GetClaim(), 500)), fault.NotFound)
	is.Equal(code(complete(second.GetClaim(), 200)), fault.Code(""))
	is.Equal(code(complete(second.GetClaim(), 500)), fault.Code("")) // a delayed copy has no effect
	is.Equal(code(abandon(second.GetClaim())), fault.Conflict)
	is.Equal(claim("a").GetOutcome().GetStatus(), uint32(200))
	b.logTimeNow = ClaimLifetime - time.Nanosecond
	is.Equal(claim("a").GetState(), rpc.ClaimState_CLAIM_STATE_COMPLETED)
	b.logTimeNow = ClaimLifetime
	is.Equal(claim("a").GetState(), rpc.ClaimState_CLAIM_STATE_GRANTED)
}

// TestClaimTokens guards against a claim that stays pending because the reply to it was lost, and
// against a claim that is granted after it was abandoned.
func TestClaimTokens(t *testing.T) {
	is := is.New(t)
	b := newTestLedger(t)
	claim := func(token, digest string) any {
		return b.applyNext(Claim{&rpc.ClaimRequest{Workspace: "w", Service: "s", Key: "k", Digest: []byte(digest), Token: token}})
	}
	state := func(result any) rpc.ClaimState { return result.(*rpc.ClaimReply).GetState() }
	abandon := func(n uint64, token string) fault.Code {
		return code(b.applyNext(Abandon{&rpc.AbandonRequest{Workspace: "w", Service: "s", Key: "k", Claim: n, Token: token}}))
	}
	restart := func() {
		data, err := b.Snapshot()
		is.NoErr(err)
		b.Ledger = New()
		is.NoErr(b.Restore(data))
	}
	const none = fault.Code("")
	first := claim("t1", "a").(*rpc.ClaimReply)
	restart()
	is.Equal(claim("t1", "a"), first)                                         // a resend, because the first reply may be lost
	is.Equal(state(claim("t1", "b")), rpc.ClaimState_CLAIM_STATE_MISMATCH)    // different digest
	is.Equal(state(claim("t2", "a")), rpc.ClaimState_CLAIM_STATE_PENDING)     // different token
	is.Equal(state(claim("", "a")), rpc.ClaimState_CLAIM_STATE_PENDING)       // an empty token matches no claim
	is.Equal(abandon(0, ""), fault.Invalid)                                   // neither claim nor token
	is.Equal(abandon(0, strings.Repeat("t", maxTokenBytes+1)), fault.Invalid) // tokens are kept in memory
	is.Equal(code(claim(strings.Repeat("t", maxTokenBytes+1), "a")), fault.Invalid)
	is.Equal(abandon(0, "t3"), none)                                      // arrives before its claim
	is.Equal(state(claim("t1", "a")), rpc.ClaimState_CLAIM_STATE_GRANTED) // not affected by the abandoned t3
	is.Equal(abandon(0, "t1"), none)
	restart()
	is.Equal(code(claim("t1", "a")), fault.Conflict) // a delayed copy
	is.Equal(code(claim("t3", "a")), fault.Conflict)
	fourth := claim("t4", "a").(*rpc.ClaimReply)
	is.Equal(fourth.GetState(), rpc.ClaimState_CLAIM_STATE_GRANTED)
	is.Equal(abandon(fourth.GetClaim(), "t4"), none)
	is.Equal(abandon(fourth.GetClaim(), "t4"), none) // a resend, because the first reply may be lost
	is.Equal(code(claim("t4", "a")), fault.Conflict) // a delayed copy
	b.logTimeNow = abandonedTokenLifetime
	is.Equal(state(claim("t4", "a")), rpc.ClaimState_CLAIM_STATE_GRANTED) // the abandoned token has expired
	is.Equal(len(b.abandonedTokens), 0)
	fifth := claim("t4", "a").(*rpc.ClaimReply)
	b.applyNext(Complete{&rpc.CompleteRequest{Workspace: "w", Service: "s", Key: "k", Claim: fifth.GetClaim(), Outcome: &rpc.Outcome{Status: 200}}})
	is.Equal(abandon(0, "t4"), fault.Conflict) // the request was executed
	is.Equal(state(claim("t4", "a")), rpc.ClaimState_CLAIM_STATE_COMPLETED)
}

// TestDelayedReleaseIsIgnored guards against a release that takes effect after the holder registered
// again, and against shares for an incarnation that was replaced.
func TestDelayedReleaseIsIgnored(t *testing.T) {
	is := is.New(t)
	b := newTestLedger(t)
	h := Holder{"e1", 4}
	enter := RegisterEntryVM{&wire.Enter{Member: &rpc.Member{Vm: "e1", Incarnation: 4}, Uses: []*wire.Use{{Limit: "region/r", Used: 7}}}}
	b.applyNext(enter)
	is.Equal(b.CeilingSum("region/r").Count, uint32(7)) // still in use from an earlier lease
	release := SetShares{&wire.Lend{Releases: []*wire.Lend_Release{{Holder: &wire.Holder{Vm: "e1", Incarnation: 4}, Entered: uint64(b.RegisteredIndex(h))}}}}
	b.applyNext(release)
	is.Equal(len(b.Members()), 0)
	b.applyNext(enter)
	b.applyNext(release)
	is.Equal(len(b.Members()), 1)
	b.applyNext(RegisterEntryVM{&wire.Enter{Member: &rpc.Member{Vm: "e1", Incarnation: 5}}})
	is.Equal(b.applyNext(newSetShares(h, "workspace/w", Amount{Rate: 1, Burst: 1})), 1) // refused, because incarnation 5 replaced 4
}

func newSetShares(h Holder, id string, share Amount) Command {
	return SetShares{&wire.Lend{Allots: []*wire.Lend_Allot{{Holder: &wire.Holder{Vm: string(h.VM), Incarnation: uint64(h.Incarnation)}, Limit: id, Share: share.toWire()}}}}
}

// TestLedgerProperties applies random commands and guards against three faults: a raised share with
// which the sum of ceilings exceeds the total, replicas that differ, and a snapshot that omits state
// on which later commands depend.
func TestLedgerProperties(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		b := newTestLedger(t)
		restored := New()
		for i := range rapid.IntRange(1, 60).Draw(rt, "entries") {
			b.logTimeNow += time.Duration(rapid.IntRange(0, 7200).Draw(rt, "seconds")) * time.Second
			h := Holder{ident.VM(fmt.Sprint("e", rapid.IntRange(1, 3).Draw(rt, "vm"))), ident.Incarnation(rapid.IntRange(1, 2).Draw(rt, "run"))}
			n := rapid.IntRange(0, 12).Draw(rt, "n")
			id := ident.Limit(rapid.SampledFrom([]string{"workspace/w", "region/r", "slots/10.0.0.1:80"}).Draw(rt, "limit"))
			before := make(map[Holder]Allotment)
			for _, x := range b.Holders() {
				b.EachAllotment(x, func(l ident.Limit, a Allotment) {
					if l == id {
						before[x] = a
					}
				})
			}
			data, err := b.Snapshot()
			if err != nil || restored.Restore(data) != nil {
				rt.Fatal("snapshot cannot be written or restored")
			}
			cmd := randomCommand(rt, b, i, h, id, n)
			result := b.applyNext(cmd)
			encoded, _ := Encode(cmd)
			restoredResult := restored.Apply(replica.Entry{Index: toIndex(b.lastIndex), LogTime: b.logTimeNow, WallTime: time.Unix(1000+int64(b.lastIndex), 0), Data: encoded})
			if fmt.Sprint(result) != fmt.Sprint(restoredResult) {
				rt.Fatalf("restored replica returned %v, the original %v", restoredResult, result)
			}
			state, _ := b.Snapshot()
			restoredState, _ := restored.Snapshot()
			if !bytes.Equal(state, restoredState) {
				rt.Fatal("state of the restored replica differs")
			}
			b.EachAllotment(h, func(l ident.Limit, a Allotment) {
				total, _ := b.Total(id)
				if l == id && !a.Share.Within(before[h].Share) && !b.CeilingSum(id).Within(total) {
					rt.Fatalf("%s was raised for %v: sum of ceilings %v exceeds total %v", id, h, b.CeilingSum(id), total)
				}
			})
		}
	})
}

func randomCommand(rt *rapid.T, b *testLedger, i int, h Holder, id ident.Limit, n int) Command {
	w := &wire.Holder{Vm: string(h.VM), Incarnation: uint64(h.Incarnation)}
	switch rapid.IntRange(0, 10).Draw(rt, "command") {
	case 10:
		return Abandon{&rpc.AbandonRequest{Workspace: "w", Service: "s", Key: fmt.Sprint(n), Token: fmt.Sprint("t", n)}}
	case 0:
		return RegisterEntryVM{&wire.Enter{Member: &rpc.Member{Vm: w.GetVm(), Incarnation: w.GetIncarnation()}, Uses: []*wire.Use{{Limit: "region/r", Used: uint32(n)}}}}
	case 1:
		return Announce{&rpc.Upstream{Service: "s", Address: "10.0.0.1:80", Domain: "d1", Slots: uint32(n), Connections: 1, Incarnation: uint64(i), Leaving: n == 0}}
	case 2:
		return SetShares{&wire.Lend{Releases: []*wire.Lend_Release{{Holder: w, Entered: uint64(b.RegisteredIndex(h))}}}}
	case 3:
		return SetShares{&wire.Lend{Confirms: []*wire.Lend_Confirm{{Holder: w, Version: b.lastIndex - uint64(n), Uses: []*wire.Use{{Limit: string(id), Used: uint32(n)}}}}}}
	case 4:
		return Claim{&rpc.ClaimRequest{Workspace: "w", Service: "s", Key: fmt.Sprint(n), Digest: []byte{byte(i % 2)}, Token: fmt.Sprint("t", n)}}
	case 5:
		return UpdateUpstreamStates{&wire.Suspect{Items: []*wire.Suspect_Item{{Address: "10.0.0.1:80", Incarnation: uint64(i - n), Suspected: n > 3, Remove: n > 9}}}}
	case 6:
		text := fmt.Sprintf("[[workspace]]\nname = \"w\"\nrate = %d\nburst = 5.0\n", n)
		return Change{&wire.Change{Section: "workspaces", Base: uint64(n % 4), Id: fmt.Sprint(n), Operator: "bob", Hash: HashCredential("bob"), Text: text}}
	case 7:
		return SetVerdict{&wire.Judge{Verdict: &rpc.Verdict{Kind: "domain", Target: "d1", Down: n%2 == 0, Id: fmt.Sprint(i)}, Hash: HashCredential("mon")}}
	}
	return newSetShares(h, string(id), Amount{Rate: float64(n * 10), Burst: float64(n * 5), Count: uint32(n)})
}

// TestJoinIsAudited guards against a member's join that is missing from the audit trail, also after
// a snapshot is restored.
func TestJoinIsAudited(t *testing.T) {
	is := is.New(t)
	b := newTestLedger(t)
	b.lastIndex++
	b.MemberJoined(replica.Entry{Index: toIndex(b.lastIndex), LogTime: time.Second, WallTime: time.Unix(7, 0)}, "c2", "10.0.0.2:1")
	data, err := b.Snapshot()
	is.NoErr(err)
	is.NoErr(b.Restore(data))
	is.Equal(b.LogTime(), time.Second)
	last := b.Audit(toIndex(b.lastIndex-1), 0)
	is.Equal(len(last), 1)
	is.Equal(last[0].GetSection()+" "+last[0].GetAfter()+" "+last[0].GetKind(), "member/c2 joined at 10.0.0.2:1 member")
	is.Equal(last[0].GetTimeMs(), int64(7000))
}
