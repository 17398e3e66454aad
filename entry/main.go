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
	code := run.Main(ctx, os.Args[1:], run.Options{
		Out: os.Stdout, Err: os.Stderr, Clock: clock.System{}, Random: rand.Reader,
	})
	cancel()
	os.Exit(code)
}
