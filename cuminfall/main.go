package main

import (
	"crypto/rand"
	"os"

	"cuminfall.example/cuminfall/client"
	"cuminfall.example/cuminfall/command"
	"cuminfall.example/cuminfall/root"
	"cuminfall.example/fleet/clock"
)

func main() {
	os.Exit(run())
}

func run() int {
	f := &command.Factory{
		Streams: command.Streams{In: os.Stdin, Out: os.Stdout, Err: os.Stderr},
		Clock:   clock.System{},
		Connect: client.Connect,
		Getenv:  os.Getenv,
		Random:  rand.Reader,
	}
	return root.Run(f, os.Args[1:])
}
