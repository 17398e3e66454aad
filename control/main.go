package main

import (
	"context"
	"fmt"
	"io"
	"os"

	"github.com/pkg/errors"

	"cuminfall.example/control/replica"
	"cuminfall.example/control/server/initcmd"
	"cuminfall.example/control/server/runcmd"
	"cuminfall.example/fleet/clock"
	"cuminfall.example/fleet/fault"
	"cuminfall.example/fleet/process"
	"cuminfall.example/fleet/settings"
)

const usage = `Control stores and replicates the fleet's durable state.

Usage:
  control init --settings FILE --owners FILE   create the first member of a new control group
  control run --settings FILE                  run a member of the control group
`

func main() {
	ctx, stop := process.SignalContext(context.Background())
	defer stop()
	os.Exit(exitCode(run(ctx, os.Args[1:], os.Stdout, os.Stderr), os.Stderr))
}

func run(ctx context.Context, args []string, stdout, stderr io.Writer) error {
	if len(args) == 0 {
		return fault.New(fault.Usage, "control", "", "missing command\n\n%s", usage)
	}
	switch args[0] {
	case "init":
		o, err := initcmd.New(args[1:], stdout, stderr, replica.Init)
		if err != nil {
			return err
		}
		return o.Run()
	case "run":
		o, err := newRunCommand(args[1:], stderr)
		if err != nil {
			return err
		}
		return o.Run(ctx)
	case "help", "--help", "-h":
		_, err := fmt.Fprint(stdout, usage)
		return errors.WithStack(err)
	}
	return fault.New(fault.Usage, "control", "", "unknown command %q\n\n%s", args[0], usage)
}

// newRunCommand returns the command that runs a member. Leases end while the VM is suspended as well.
func newRunCommand(args []string, stderr io.Writer) (*runcmd.Options, error) {
	return runcmd.New(args, stderr, clock.BootTime{}, openMember)
}

// exitCode prints the error, if there is one, and returns the exit code of the process.
func exitCode(err error, stderr io.Writer) int {
	if err == nil {
		return 0
	}
	fmt.Fprintf(stderr, "control: %v\n", err)
	var problems *settings.Problems
	if errors.As(err, &problems) {
		return fault.Usage.ExitCode()
	}
	return fault.Of(err).Code.ExitCode()
}
