package server

import (
	"context"
	"testing"

	"github.com/matryer/is"
	"github.com/pkg/errors"

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
