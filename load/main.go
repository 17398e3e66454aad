package main

import (
	"os"

	"cuminfall.example/fleet/clock"
	"cuminfall.example/load/caller"
	"cuminfall.example/load/command"
	"cuminfall.example/load/deployment"
	"cuminfall.example/load/direct"
	"cuminfall.example/load/experiment"
	"cuminfall.example/load/nodes"
	"cuminfall.example/load/propagation"
	"cuminfall.example/load/relay"
	"cuminfall.example/load/upstream"
)

func main() {
	console := command.Console{Out: os.Stdout, Err: os.Stderr, Clock: clock.System{}}
	os.Exit(command.Dispatch(console, os.Args[1:], []command.Command{
		upstream.Command(),
		caller.Command(),
		direct.Command(),
		experiment.Command(),
		deployment.Command(),
		relay.Command(),
		propagation.Command(),
		nodes.Command(),
	}))
}
