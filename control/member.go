package main

import (
	"cuminfall.example/control/replica"
	"cuminfall.example/control/server/runcmd"
	"cuminfall.example/fleet/ident"
	"cuminfall.example/fleet/process"
	"cuminfall.example/fleet/rpc"
)

// member adds what the server needs to a replica.
type member struct {
	*replica.Replica
	name string
}

func initFolder(folder, name string, address ident.Address, first [][]byte) error {
	return replica.Init(folder, name, address, first)
}

func openMember(env runcmd.Environment) (runcmd.Member, error) {
	r, err := replica.Open(replica.Options{
		Name: env.Settings.Name, Address: env.Settings.Address, Folder: env.Settings.Data, Peers: env.Settings.Peers,
		Machine: env.Ledger, Clock: env.Clock, Log: env.Log, Metrics: env.Metrics,
		Source: process.Source(env.Settings.Bind()),
	})
	if err != nil {
		return nil, err
	}
	return &member{Replica: r, name: env.Settings.Name}, nil
}

// Group describes the group as this member sees it.
func (m *member) Group() *rpc.StatusReply {
	s := m.Status()
	reply := &rpc.StatusReply{
		Member: m.name, Role: s.Role.String(), Term: uint64(s.Term), Leader: string(s.Leader),
		Committed: uint64(s.Committed), Applied: uint64(s.Applied), Cut: s.Cut,
	}
	if s.Cut {
		reply.Role = "cut_off"
	}
	for _, p := range s.Members {
		reply.Members = append(reply.Members, &rpc.ControlMember{
			Id: string(p.ID), Name: p.Name, Address: string(p.Address), Voter: p.Voter,
		})
	}
	return reply
}
