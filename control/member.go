package main

import (
	"cuminfall.example/control/server/runcmd"
	"cuminfall.example/fleet/fault"
	"cuminfall.example/fleet/ident"
)

func initFolder(folder, _ string, _ ident.Address, _ [][]byte) error {
	return fault.New(fault.Internal, "init", folder, "this build has no replica")
}

func openMember(env runcmd.Environment) (runcmd.Member, error) {
	return nil, fault.New(fault.Internal, "open member", env.Settings.Data, "this build has no replica")
}
