package root

import (
	"context"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"cuminfall.example/cuminfall/command"
	"cuminfall.example/cuminfall/command/auditlist"
	"cuminfall.example/cuminfall/command/documentapply"
	"cuminfall.example/cuminfall/command/documentshow"
	"cuminfall.example/cuminfall/command/drainend"
	"cuminfall.example/cuminfall/command/drainlist"
	"cuminfall.example/cuminfall/command/drainstart"
	"cuminfall.example/cuminfall/command/keycreate"
	"cuminfall.example/cuminfall/command/keyrestore"
	"cuminfall.example/cuminfall/command/keywithdraw"
	"cuminfall.example/cuminfall/command/memberremove"
	"cuminfall.example/cuminfall/command/requestshow"
	"cuminfall.example/cuminfall/command/servicecreate"
	"cuminfall.example/cuminfall/command/servicelist"
	"cuminfall.example/cuminfall/command/shiftend"
	"cuminfall.example/cuminfall/command/shiftlist"
	"cuminfall.example/cuminfall/command/shiftstart"
	"cuminfall.example/cuminfall/command/status"
	"cuminfall.example/cuminfall/command/verdictlist"
	"cuminfall.example/cuminfall/command/workspacecreate"
	"cuminfall.example/cuminfall/command/workspacelist"
	"cuminfall.example/cuminfall/command/workspaceset"
	"cuminfall.example/fleet/fault"
	"cuminfall.example/fleet/process"
)

// Commands returns all commands in the order in which the help lists them.
func Commands(f *command.Factory) []*command.Command {
	return []*command.Command{
		status.New(f),
		documentshow.New(f), documentapply.New(f),
		servicecreate.New(f), servicelist.New(f),
		workspacecreate.New(f), workspaceset.New(f), workspacelist.New(f),
		keycreate.New(f), keywithdraw.New(f), keyrestore.New(f),
		drainstart.New(f), drainend.New(f), drainlist.New(f),
		shiftstart.New(f), shiftend.New(f), shiftlist.New(f),
		verdictlist.New(f), auditlist.New(f), memberremove.New(f),
		requestshow.New(f),
	}
}

// Run executes the command that args name, prints its error, if any, and returns the exit code of the process.
func Run(f *command.Factory, args []string) int {
	ctx, cancel := process.SignalContext(context.Background())
	defer cancel()
	err := dispatch(ctx, f, args)
	if err == nil {
		return 0
	}
	fmt.Fprintf(f.Err, "cuminfall: %v\n", err)
	return fault.Of(err).Code.ExitCode()
}

func dispatch(ctx context.Context, f *command.Factory, args []string) error {
	commands := Commands(f)
	if len(args) == 0 || args[0] == "help" || args[0] == "--help" || args[0] == "-h" {
		printHelp(f.Out, commands)
		return nil
	}
	for _, c := range commands {
		if rest, ok := matchArgs(c, args); ok {
			return c.Execute(ctx, f.Out, rest)
		}
	}
	return fault.New(fault.Usage, "read command", "", "unknown command %q; see 'cuminfall help'", strings.Join(args[:min(2, len(args))], " "))
}

// matchArgs returns the arguments that follow the command's noun and verb, and whether args begin with these.
func matchArgs(c *command.Command, args []string) ([]string, bool) {
	words := strings.Fields(c.Name())
	if len(args) < len(words) {
		return nil, false
	}
	for i, w := range words {
		if args[i] != w {
			return nil, false
		}
	}
	return args[len(words):], true
}

func printHelp(out io.Writer, commands []*command.Command) {
	fmt.Fprint(out, "Operate a cuminfall fleet.\n\nUsage:\n  cuminfall NOUN VERB [arguments] [flags]\n\nCommands:\n")
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	for _, c := range commands {
		fmt.Fprintf(w, "  %s\t%s\n", c.Name(), c.Short)
	}
	w.Flush()
	fmt.Fprint(out, "\nExit codes: 0 ok, 1 failure, 2 usage, 3 refused, 4 conflict, 5 unreachable.\n"+
		"'cuminfall NOUN VERB --help' shows flags and an example.\n")
}
