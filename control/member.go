package main

import (
	"cuminfall.example/control/consensus"
	"cuminfall.example/control/replica"
	"cuminfall.example/control/server/runcmd"
	"cuminfall.example/fleet/process"
	"cuminfall.example/fleet/rpc"
)

// member adapts a replica to the interface runcmd.Member.
type member struct {
	*replica.Replica
	name string
}

func openMember(env runcmd.Environment) (runcmd.Member, error) {
	r, err := replica.Open(replica.Options{
		Name: env.Settings.Name, Address: env.Settings.Address, Folder: env.Settings.Data, Peers: env.Settings.Peers,
		StateMachine: env.Ledger, Clock: env.Clock, Log: env.Log, Metrics: env.Metrics,
		LocalAddr: process.LocalAddr(env.Settings.ListenAddress()),
	})
	if err != nil {
		return nil, err
	}
	return &member{Replica: r, name: env.Settings.Name}, nil
}

// role returns the name of a member's role that status replies contain.
func role(s replica.Status) string {
	if s.Isolated {
		return "cut_off"
	}
	found := false
	for _, m := range s.Members {
		if m.ID == s.ID && !m.Voter {
			return "learner"
		}
		found = found || m.ID == s.ID
	}
	if !found {
		return "joining"
	}
	if s.Role == consensus.PreCandidate {
		return consensus.Candidate.String()
	}
	return s.Role.String()
}

// GroupStatus implements server.Replica.
func (m *member) GroupStatus() *rpc.StatusReply {
	s := m.Status()
	g := &rpc.StatusReply{
		Member: m.name, Role: role(s), Term: uint64(s.Term), Leader: string(s.Leader),
		Committed: uint64(s.Committed), Applied: uint64(s.Applied), Cut: s.Isolated,
	}
	for _, c := range s.Members {
		g.Members = append(g.Members, &rpc.ControlMember{Id: string(c.ID), Name: c.Name, Address: string(c.Address), Voter: c.Voter})
	}
	return g
}
