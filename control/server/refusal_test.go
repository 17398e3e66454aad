package server

import (
	"context"
	"fmt"
	"testing"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"cuminfall.example/control/ledger"
	"cuminfall.example/fleet/fault"
	"cuminfall.example/fleet/rpc"
	"cuminfall.example/fleet/settings"
)

// TestSettingsReportAllProblems guards against a check of the settings that stops at the first problem.
func TestSettingsReportAllProblems(t *testing.T) {
	is := is.New(t)
	err := settings.Parse("f", "name = \"a b\"\naddress = \"here\"\nadmin = \"127.0.0.1:1\"\nlevel = \"loud\"\nlease = \"1ms\"\n", DefaultSettings())
	var problems *settings.Problems
	is.True(errors.As(err, &problems))
	is.Equal(len(problems.List), 5) // keys name, address, data, level and lease
}

// TestNotLeader guards against a member that answers without the leader lease, or that refuses without
// the address of the leader.
func TestNotLeader(t *testing.T) {
	is := is.New(t)
	s := newSim(1, 0, 0, 0)
	s.setUp(1)
	is.Equal(s.failure, "")
	request := &rpc.SyncRequest{Vm: "e0", Incarnation: 1, Address: "10.0.0.9:80", Domain: "d1"}
	reply, err := s.leader.server.Sync(context.Background(), request)
	is.NoErr(err)
	is.Equal(len(reply.GetConfig().GetSections()), 6)
	s.leader.leading = false
	_, err = s.leader.server.Sync(context.Background(), request)
	is.Equal(fault.Of(err).Code, fault.NotLeader)
	is.Equal(fault.Of(err).Peer, "10.0.0.1:1")
	_, err = s.leader.server.Show(context.Background(), &rpc.ShowRequest{})
	is.Equal(fault.Of(err).Code, fault.NotLeader)
}

// Guards against a verdict that waits anywhere on its way, and takes a place out of use or back into use after a newer one, in
// either direction.
func TestLateVerdictDoesNotUndoNewerOne(t *testing.T) {
	is := is.New(t)
	s := newSim(1, 0, 0, 0)
	s.setUp(0)
	s.setSection("owners", fmt.Sprintf("[[operator]]\nname = \"op\"\nhash = %q\nsections = [\"owners\"]\n[[monitor]]\nname = \"m\"\nhash = %q\n", ledger.HashCredential("c"), ledger.HashCredential("m")))
	is.Equal(s.failure, "")
	n := 0
	judge := func(down bool, after uint64) (uint64, error) {
		n++
		reply, err := s.leader.server.Judge(context.Background(), &rpc.JudgeRequest{Credential: "m",
			Verdict: &rpc.Verdict{Kind: "domain", Target: "d1", Down: down, Id: fmt.Sprint(n), Index: after}})
		return reply.GetIndex(), err
	}
	for _, down := range []bool{true, false} {
		known, err := judge(!down, 0)
		is.NoErr(err)
		newer, err := judge(down, known)
		is.NoErr(err)
		newer, err = judge(!down, newer)
		is.NoErr(err)
		_, err = judge(down, known) // sent before the newer ones
		is.True(err != nil)
		is.Equal(fault.Of(err).Code, fault.Conflict)
		is.Equal(s.leader.ledger.Verdict("domain", "d1").GetDown(), !down)
		_, err = judge(down, newer)
		is.NoErr(err)
	}
}

// Guards against a section of the document that is read in one of several ways as chance has it, and against one that an earlier
// build accepted and that can no longer be corrected item by item.
func TestAmbiguousSectionIsRefused(t *testing.T) {
	is := is.New(t)
	s := newSim(1, 0, 0, 0)
	s.setUp(0)
	n := 0
	apply := func(base uint64, id, text string) *rpc.ApplyReply {
		t.Helper()
		reply, err := s.leader.server.Apply(context.Background(), &rpc.ApplyRequest{Section: "places", Base: base, Id: id, Operator: "op", Credential: "c", Text: text})
		is.NoErr(err)
		n++
		return reply
	}
	revision := func() (r uint64) {
		for _, x := range s.leader.ledger.Sections() {
			if x.GetName() == "places" {
				r = x.GetRevision()
			}
		}
		return r
	}
	text := ""
	for _, x := range s.leader.ledger.Sections() {
		if x.GetName() == "places" {
			text = x.GetText()
		}
	}
	region := string(s.leader.ledger.Document().Topology.Regions[0].Name)
	block := func(prefix string) string {
		return fmt.Sprintf("[[block]]\nprefix = %q\nregion = %q\n", prefix, region)
	}
	misspelled := text + fmt.Sprintf("[[block]]\nPrefix = \"10.9.0.0/16\"\nprefix = \"10.8.0.0/16\"\nregion = %q\n", region)
	for _, ambiguous := range []string{misspelled, text + block("10.0.0.0/8") + block("10.1.0.0/8")} {
		for _, base := range []uint64{revision(), revision() + 1} {
			reply := apply(base, fmt.Sprint("new", n), ambiguous)
			is.Equal(reply.GetState(), rpc.ApplyState_APPLY_STATE_REFUSED)
			is.Equal(reply.GetCode(), string(fault.Invalid))
		}
	}
	held := text + block("10.0.0.0/8") + block("10.1.0.0/8") + block("11.0.0.0/8") + block("11.1.0.0/8")
	s.setSection("places", held) // as an earlier build accepts it
	is.Equal(s.failure, "")
	base := revision() - 1
	reply := apply(base, fmt.Sprint("places", base), held) // a repeat
	is.Equal(reply.GetState(), rpc.ApplyState_APPLY_STATE_ACCEPTED)
	reply = apply(revision(), "more", held+block("12.0.0.0/8")+block("12.1.0.0/8"))
	is.Equal(reply.GetState(), rpc.ApplyState_APPLY_STATE_REFUSED)
	reply = apply(revision(), "one", text+block("10.0.0.0/8")+block("11.0.0.0/8")+block("11.1.0.0/8")) // one of two is corrected
	is.Equal(reply.GetState(), rpc.ApplyState_APPLY_STATE_ACCEPTED)
	reply = apply(revision(), "two", text+block("10.0.0.0/8")+block("11.0.0.0/8"))
	is.Equal(reply.GetState(), rpc.ApplyState_APPLY_STATE_ACCEPTED)
}
