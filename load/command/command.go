package command

import (
	"flag"
	"fmt"
	"io"
	"strings"

	"github.com/pkg/errors"

	"cuminfall.example/fleet/clock"
	"cuminfall.example/fleet/fault"
	"cuminfall.example/fleet/settings"
)

// Console holds the output streams and the clock of a command.
type Console struct {
	Out   io.Writer
	Err   io.Writer
	Clock clock.Clock
}

// Command is a subcommand of load.
type Command struct {
	Name    string
	Summary string
	Run     func(c Console, args []string) error
}

// Dispatch runs the command named by the first argument and returns the process exit code.
func Dispatch(c Console, args []string, commands []Command) int {
	if len(args) == 0 || args[0] == "help" || args[0] == "-h" || args[0] == "--help" {
		usage(c.Out, commands)
		if len(args) == 0 {
			return fault.Usage.ExitCode()
		}
		return 0
	}
	for i := range commands {
		if commands[i].Name == args[0] {
			return PrintError(c, commands[i].Run(c, args[1:]))
		}
	}
	usage(c.Err, commands)
	return PrintError(c, fault.New(fault.Usage, "read command line", "", "unknown command %q", args[0]))
}

func usage(w io.Writer, commands []Command) {
	fmt.Fprintln(w, "usage: load COMMAND [flags]\n\ncommands:")
	for i := range commands {
		fmt.Fprintf(w, "  %-11s %s\n", commands[i].Name, commands[i].Summary)
	}
	fmt.Fprintln(w, "\nload COMMAND --help shows the flags and examples of a command.")
}

// PrintError writes a non-nil err to the error stream and returns the process exit code for it.
func PrintError(c Console, err error) int {
	if err == nil || errors.Is(err, flag.ErrHelp) {
		return 0
	}
	fmt.Fprintln(c.Err, "load:", err)
	var problems *settings.Problems
	if errors.As(err, &problems) {
		return fault.Invalid.ExitCode()
	}
	return fault.Of(err).Code.ExitCode()
}

// Flags returns a flag set whose help text lists the arguments, the flags and the examples.
func Flags(c Console, name, arguments string, examples ...string) *flag.FlagSet {
	flags := flag.NewFlagSet(name, flag.ContinueOnError)
	flags.SetOutput(c.Err)
	flags.Usage = func() {
		fmt.Fprintf(c.Out, "usage: load %s %s\n\nflags:\n", name, arguments)
		flags.SetOutput(c.Out)
		flags.PrintDefaults()
		fmt.Fprintf(c.Out, "\nexamples:\n  %s\n", strings.Join(examples, "\n  "))
	}
	return flags
}

// Parse parses the arguments and fails with code usage if a flag is invalid or a required one is missing.
func Parse(flags *flag.FlagSet, args []string, required ...string) error {
	if err := flags.Parse(args); err != nil {
		if errors.Is(err, flag.ErrHelp) {
			return err
		}
		return fault.New(fault.Usage, "read flags", "", "%v", err)
	}
	for _, name := range required {
		if f := flags.Lookup(name); f.Value.String() == "" {
			return fault.New(fault.Usage, "read flags", "", "--%s is required", name)
		}
	}
	return nil
}
