package main

import (
	"context"
	"crypto/rand"
	"os"

	"cuminfall.example/entry/gateway/run"
	"cuminfall.example/fleet/clock"
	"cuminfall.example/fleet/process"
)

func main() {
	ctx, cancel := process.SignalContext(context.Background())
	code := run.Main(ctx, os.Args[1:], options())
	cancel()
	os.Exit(code)
}

// options returns the options of a process. Its leases go on while the VM is suspended.
func options() run.Options {
	return run.Options{Out: os.Stdout, Err: os.Stderr, Clock: clock.BootTime{}, Random: rand.Reader}
}
