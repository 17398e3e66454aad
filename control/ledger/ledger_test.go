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

func identIndex(n uint64) ident.Index { return ident.Index(n) }

func replaceAll(s, old, now string) string { return strings.ReplaceAll(s, old, now) }

// TestChangeRefusals guards against a bad change that is accepted or changes anything.
func TestChangeRefusals(t *testing.T) {
	const good = "[[workspace]]\nname = \"w\"\nrate = 5.0\nburst = 5.0\n"
	for _, c := range []struct {
		name, section, id, operator, credential, text string
		base                                          uint64
		want                                          fault.Code
	}{
		{"unknown operator", "workspaces", "n", "eve", "eve", good, 1, fault.Credential},
		{"wrong credential", "workspaces", "n", "bob", "ann", good, 1, fault.Credential},
		{"missing id", "workspaces", "", "bob", "bob", good, 1, fault.Invalid},
		{"unknown section", "colours", "n", "bob", "bob", good, 1, fault.NotFound},
		{"not the owner", "places", "n", "bob", "bob", "", 1, fault.Owner},
		{"stale base", "workspaces", "n", "bob", "bob", good, 0, fault.Conflict},
		{"base from the future", "workspaces", "n", "bob", "bob", good, 2, fault.Conflict},
		{"malformed text", "workspaces", "n", "bob", "bob", "[[workspace", 1, fault.Invalid},
		{"unknown key", "workspaces", "n", "bob", "bob", good + "colour = 1\n", 1, fault.Invalid},
		{"failed check", "workspaces", "n", "bob", "bob", replaceAll(good, "rate = 5.0", "rate = -5.0"), 1, fault.Invalid},
		{"id taken by other content", "workspaces", "set-workspaces", "ann", "ann", good, 0, fault.Conflict},
		{"id taken by another operator", "workspaces", "set-workspaces", "bob", "bob", "[[workspace]]\nname = \"w\"\nrate = 100.0\nburst = 50.0\n", 0, fault.Conflict},
		{"nobody left to own owners", "owners", "n", "ann", "ann", "[[operator]]\nname = \"ann\"\nhash = \"" + Hash("ann") + "\"\nsections = [\"places\"]\n", 1, fault.Invalid},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			b := newBench(t)
			config, trail := b.Versions(Holder{}).GetConfig(), len(b.Audit(0, 0))
			r := b.change(c.section, c.id, c.operator, c.credential, c.text, c.base)
			is.Equal(code(r), c.want)
			is.True(r.GetState() != rpc.ApplyState_APPLY_STATE_ACCEPTED)
			is.Equal(b.Versions(Holder{}).GetConfig(), config) // nothing changed
			is.Equal(len(b.Audit(0, 0)), trail)
		})
	}
}

// TestFirstOutcome guards against a resend that is judged anew: it gets its
// first outcome, be that acceptance, a conflict or a refusal of its text.
func TestFirstOutcome(t *testing.T) {
	is := is.New(t)
	b := newBench(t)
	text := "[[workspace]]\nname = \"w\"\nrate = 7.0\nburst = 7.0\n"
	first := b.change("workspaces", "x", "bob", "bob", text, 1)
	is.Equal(first.GetRevision(), uint64(2))
	lost := b.change("workspaces", "y", "ann", "ann", text, 1)
	is.Equal(lost.GetState(), rpc.ApplyState_APPLY_STATE_CONFLICT)
	is.Equal(lost.GetLost().GetId(), "x") // the change that it lost to
	is.Equal(lost.GetLost().GetAfter(), text)
	bad := b.change("workspaces", "z", "bob", "bob", "[", 2)
	b.change("workspaces", "later", "bob", "bob", text+"\n", 2)
	is.Equal(b.change("workspaces", "x", "bob", "bob", text, 1), first)
	is.Equal(b.change("workspaces", "y", "ann", "ann", text, 1), lost)
	is.Equal(b.change("workspaces", "z", "bob", "bob", "[", 2), bad)
	is.Equal(len(b.Audit(0, 0)), 5)
	last := b.Audit(0, 0)[4]
	is.Equal(last.GetBefore(), text)
	is.Equal(last.GetOperator(), "bob")
}

// TestRegistryRefusals guards against announcements, verdicts and VMs that the
// ledger must not take.
func TestRegistryRefusals(t *testing.T) {
	up := func(service, domain string, slots uint32, incarnation uint64, leaving bool) Command {
		return Announce{&rpc.Upstream{Service: service, Address: "10.0.0.1:80", Domain: domain, Slots: slots, Connections: 9, Incarnation: incarnation, Leaving: leaving}}
	}
	verdict := func(kind, target, credential string) Command {
		return SetVerdict{&wire.Judge{Verdict: &rpc.Verdict{Kind: kind, Target: target, Down: true, Id: "v"}, Hash: Hash(credential)}}
	}
	enter := func(incarnation uint64) Command {
		return RegisterEntryVM{&wire.Enter{Member: &rpc.Member{Vm: "e1", Incarnation: incarnation}}}
	}
	for _, c := range []struct {
		name   string
		before []Command
		last   Command
		want   fault.Code
	}{
		{"unknown service", nil, up("x", "d1", 4, 1, false), fault.NotFound},
		{"unknown domain", nil, up("s", "x", 4, 1, false), fault.NotFound},
		{"no slots", nil, up("s", "d1", 0, 1, false), fault.Invalid},
		{"repeated", []Command{up("s", "d1", 4, 5, false)}, up("s", "d1", 4, 5, false), ""},
		{"higher incarnation", []Command{up("s", "d1", 4, 5, false)}, up("s", "d1", 2, 6, false), ""},
		{"lower incarnation", []Command{up("s", "d1", 4, 5, false)}, up("s", "d1", 4, 4, false), fault.Stale},
		{"other content", []Command{up("s", "d1", 4, 5, false)}, up("s", "d1", 5, 5, false), fault.Conflict},
		{"late copy after leaving", []Command{up("s", "d1", 4, 5, false), up("s", "d1", 4, 5, true)}, up("s", "d1", 4, 5, false), fault.Stale},
		{"late leave of an earlier run", []Command{up("s", "d1", 4, 5, false)}, up("s", "d1", 4, 4, true), fault.Stale},
		{"verdict without credential", nil, verdict("domain", "d1", "ann"), fault.Credential},
		{"verdict on an unknown domain", nil, verdict("domain", "x", "mon"), fault.NotFound},
		{"verdict of an unknown kind", nil, verdict("rack", "d1", "mon"), fault.Invalid},
		{"verdict", nil, verdict("domain", "d1", "mon"), ""},
		{"VM without incarnation", nil, enter(0), fault.Invalid},
		{"replaced incarnation", []Command{enter(9), enter(3)}, enter(9), fault.Stale},
		{"removal without credential", nil, Remove{&wire.Remove{Name: "c2", Operator: "ann", Hash: Hash("bob")}}, fault.Credential},
		{"removal by another owner", nil, Remove{&wire.Remove{Name: "c2", Operator: "bob", Hash: Hash("bob")}}, fault.Owner},
		{"second founding", nil, Bootstrap{&wire.Found{Owners: ""}}, fault.Conflict},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			b := newBench(t)
			for _, x := range c.before {
				is.Equal(code(b.do(x)), fault.Code(""))
			}
			is.Equal(code(b.do(c.last)), c.want)
		})
	}
}

// TestClaims guards against a second run of a non-idempotent request.
func TestClaims(t *testing.T) {
	is := is.New(t)
	b := newBench(t)
	ask := func(digest string) *rpc.ClaimReply {
		return b.do(Claim{&rpc.ClaimRequest{Workspace: "w", Service: "s", Key: "k", Digest: []byte(digest)}}).(*rpc.ClaimReply)
	}
	complete := func(n uint64, status uint32) any {
		return b.do(Complete{&rpc.CompleteRequest{Workspace: "w", Service: "s", Key: "k", Claim: n, Outcome: &rpc.Outcome{Status: status}}})
	}
	abandon := func(n uint64) any {
		return b.do(Abandon{&rpc.AbandonRequest{Workspace: "w", Service: "s", Key: "k", Claim: n}})
	}
	first := ask("a")
	is.Equal(first.GetState(), rpc.ClaimState_CLAIM_STATE_GRANTED)
	is.Equal(ask("a").GetState(), rpc.ClaimState_CLAIM_STATE_PENDING)
	is.Equal(ask("b").GetState(), rpc.ClaimState_CLAIM_STATE_MISMATCH)
	is.Equal(code(abandon(first.GetClaim())), fault.Code(""))
	second := ask("a")
	is.Equal(second.GetState(), rpc.ClaimState_CLAIM_STATE_GRANTED)
	is.Equal(code(abandon(first.GetClaim())), fault.NotFound) // a late copy
	is.Equal(code(complete(first.GetClaim(), 500)), fault.NotFound)
	is.Equal(code(complete(second.GetClaim(), 200)), fault.Code(""))
	is.Equal(code(complete(second.GetClaim(), 500)), fault.Code("")) // a late copy changes nothing
	is.Equal(code(abandon(second.GetClaim())), fault.Conflict)
	is.Equal(ask("a").GetOutcome().GetStatus(), uint32(200))
	b.now = ClaimLifetime - time.Nanosecond
	is.Equal(ask("a").GetState(), rpc.ClaimState_CLAIM_STATE_COMPLETED)
	b.now = ClaimLifetime
	is.Equal(ask("a").GetState(), rpc.ClaimState_CLAIM_STATE_GRANTED)
}

// TestClaimTokens guards against a claim that stays pending because its answer
// was lost, and against one that is granted after it was abandoned.
func TestClaimTokens(t *testing.T) {
	is := is.New(t)
	b := newBench(t)
	claim := func(token, digest string) any {
		return b.do(Claim{&rpc.ClaimRequest{Workspace: "w", Service: "s", Key: "k", Digest: []byte(digest), Token: token}})
	}
	state := func(result any) rpc.ClaimState { return result.(*rpc.ClaimReply).GetState() }
	abandon := func(n uint64, token string) fault.Code {
		return code(b.do(Abandon{&rpc.AbandonRequest{Workspace: "w", Service: "s", Key: "k", Claim: n, Token: token}}))
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
	is.Equal(claim("t1", "a"), first)                                        // its first answer may be lost
	is.Equal(state(claim("t1", "b")), rpc.ClaimState_CLAIM_STATE_MISMATCH)   // other content
	is.Equal(state(claim("t2", "a")), rpc.ClaimState_CLAIM_STATE_PENDING)    // another claim
	is.Equal(state(claim("", "a")), rpc.ClaimState_CLAIM_STATE_PENDING)      // no token is no claim's token
	is.Equal(abandon(0, ""), fault.Invalid)                                  // names no claim
	is.Equal(abandon(0, strings.Repeat("t", longestToken+1)), fault.Invalid) // kept in memory
	is.Equal(code(claim(strings.Repeat("t", longestToken+1), "a")), fault.Invalid)
	is.Equal(abandon(0, "t3"), none)                                      // overtakes its claim
	is.Equal(state(claim("t1", "a")), rpc.ClaimState_CLAIM_STATE_GRANTED) // not touched by t3
	is.Equal(abandon(0, "t1"), none)
	restart()
	is.Equal(code(claim("t1", "a")), fault.Conflict) // a late copy
	is.Equal(code(claim("t3", "a")), fault.Conflict)
	fourth := claim("t4", "a").(*rpc.ClaimReply)
	is.Equal(fourth.GetState(), rpc.ClaimState_CLAIM_STATE_GRANTED)
	is.Equal(abandon(fourth.GetClaim(), "t4"), none)
	is.Equal(abandon(fourth.GetClaim(), "t4"), none) // its first answer may be lost
	is.Equal(code(claim("t4", "a")), fault.Conflict) // a late copy
	b.now = abandonedLife
	is.Equal(state(claim("t4", "a")), rpc.ClaimState_CLAIM_STATE_GRANTED) // tokens are not kept for ever
	is.Equal(len(b.abandoned), 0)
	fifth := claim("t4", "a").(*rpc.ClaimReply)
	b.do(Complete{&rpc.CompleteRequest{Workspace: "w", Service: "s", Key: "k", Claim: fifth.GetClaim(), Outcome: &rpc.Outcome{Status: 200}}})
	is.Equal(abandon(0, "t4"), fault.Conflict) // it ran
	is.Equal(state(claim("t4", "a")), rpc.ClaimState_CLAIM_STATE_COMPLETED)
}

// TestLateRelease guards against a release that arrives after the holder
// registered again, and against shares for runs that are over.
func TestLateRelease(t *testing.T) {
	is := is.New(t)
	b := newBench(t)
	h := Holder{"e1", 4}
	enter := RegisterEntryVM{&wire.Enter{Member: &rpc.Member{Vm: "e1", Incarnation: 4}, Uses: []*wire.Use{{Limit: "region/r", Used: 7}}}}
	b.do(enter)
	is.Equal(b.Ceilings("region/r").Count, uint32(7)) // what an earlier lease left in use
	release := SetShares{&wire.Lend{Releases: []*wire.Lend_Release{{Holder: &wire.Holder{Vm: "e1", Incarnation: 4}, Entered: uint64(b.RegisteredIndex(h))}}}}
	b.do(release)
	is.Equal(len(b.Members()), 0)
	b.do(enter)
	b.do(release)
	is.Equal(len(b.Members()), 1)
	b.do(RegisterEntryVM{&wire.Enter{Member: &rpc.Member{Vm: "e1", Incarnation: 5}}})
	is.Equal(b.do(lendOf(h, "workspace/w", Amount{Rate: 1, Burst: 1})), 1) // refused: e1 runs as 5 now
}

func lendOf(h Holder, id string, share Amount) Command {
	return SetShares{&wire.Lend{Allots: []*wire.Lend_Allot{{Holder: &wire.Holder{Vm: string(h.VM), Incarnation: uint64(h.Incarnation)}, Limit: id, Share: share.wire()}}}}
}

// TestLedgerProperties guards against three faults over random commands: a
// raise that takes the sum of ceilings over the total, replicas that differ, and
// a snapshot that loses something that later entries depend on.
func TestLedgerProperties(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		b := newBench(t)
		twin := New()
		for i := range rapid.IntRange(1, 60).Draw(rt, "entries") {
			b.now += time.Duration(rapid.IntRange(0, 7200).Draw(rt, "seconds")) * time.Second
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
			if err != nil || twin.Restore(data) != nil {
				rt.Fatal("snapshot cannot be read back")
			}
			cmd := randomCommand(rt, b, i, h, id, n)
			result := b.do(cmd)
			raw, _ := Encode(cmd)
			same := twin.Apply(replica.Entry{Index: identIndex(b.index), LogTime: b.now, WallTime: time.Unix(1000+int64(b.index), 0), Data: raw})
			if fmt.Sprint(result) != fmt.Sprint(same) {
				rt.Fatalf("a restored replica answers %v, the original %v", same, result)
			}
			one, _ := b.Snapshot()
			two, _ := twin.Snapshot()
			if !bytes.Equal(one, two) {
				rt.Fatal("a restored replica has another state")
			}
			b.EachAllotment(h, func(l ident.Limit, a Allotment) {
				total, _ := b.Total(id)
				if l == id && !a.Share.Within(before[h].Share) && !b.Ceilings(id).Within(total) {
					rt.Fatalf("%s raised for %v with ceilings %v over %v", id, h, b.Ceilings(id), total)
				}
			})
		}
	})
}

func randomCommand(rt *rapid.T, b *bench, i int, h Holder, id ident.Limit, n int) Command {
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
		return SetShares{&wire.Lend{Confirms: []*wire.Lend_Confirm{{Holder: w, Version: b.index - uint64(n), Uses: []*wire.Use{{Limit: string(id), Used: uint32(n)}}}}}}
	case 4:
		return Claim{&rpc.ClaimRequest{Workspace: "w", Service: "s", Key: fmt.Sprint(n), Digest: []byte{byte(i % 2)}, Token: fmt.Sprint("t", n)}}
	case 5:
		return UpdateUpstreamStates{&wire.Suspect{Items: []*wire.Suspect_Item{{Address: "10.0.0.1:80", Incarnation: uint64(i - n), Suspected: n > 3, Remove: n > 9}}}}
	case 6:
		text := fmt.Sprintf("[[workspace]]\nname = \"w\"\nrate = %d\nburst = 5.0\n", n)
		return Change{&wire.Change{Section: "workspaces", Base: uint64(n % 4), Id: fmt.Sprint(n), Operator: "bob", Hash: Hash("bob"), Text: text}}
	case 7:
		return SetVerdict{&wire.Judge{Verdict: &rpc.Verdict{Kind: "domain", Target: "d1", Down: n%2 == 0, Id: fmt.Sprint(i)}, Hash: Hash("mon")}}
	}
	return lendOf(h, string(id), Amount{Rate: float64(n * 10), Burst: float64(n * 5), Count: uint32(n)})
}

// TestJoined guards against a join that the audit trail loses, also over a snapshot.
func TestJoined(t *testing.T) {
	is := is.New(t)
	b := newBench(t)
	b.index++
	b.MemberJoined(replica.Entry{Index: identIndex(b.index), LogTime: time.Second, WallTime: time.Unix(7, 0)}, "c2", "10.0.0.2:1")
	data, err := b.Snapshot()
	is.NoErr(err)
	is.NoErr(b.Restore(data))
	is.Equal(b.LogTime(), time.Second)
	last := b.Audit(identIndex(b.index-1), 0)
	is.Equal(len(last), 1)
	is.Equal(last[0].GetSection()+" "+last[0].GetAfter()+" "+last[0].GetKind(), "member/c2 joined at 10.0.0.2:1 member")
	is.Equal(last[0].GetTimeMs(), int64(7000))
}
