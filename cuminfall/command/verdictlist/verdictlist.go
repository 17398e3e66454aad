package verdictlist

import (
	"context"
	"flag"

	"cuminfall.example/cuminfall/command"
	"cuminfall.example/cuminfall/table"
	"cuminfall.example/fleet/rpc"
)

// Options are the flags and dependencies of "verdict list".
type Options struct {
	command.CommonFlags
	Factory *command.Factory
}

// New returns the "verdict list" command.
func New(f *command.Factory) *command.Command {
	o := &Options{Factory: f}
	fs := flag.NewFlagSet("verdict list", flag.ContinueOnError)
	o.CommonFlags.Register(f, fs)
	return &command.Command{
		Noun: "verdict", Verb: "list", Short: "List the monitoring group's verdicts", Flags: fs,
		Example: "cuminfall verdict list",
		Run:     o.run,
	}
}

func (o *Options) run(ctx context.Context, _ []string) error {
	group, err := o.Connect(o.Factory)
	if err != nil {
		return err
	}
	reply, err := group.Show(ctx, &rpc.ShowRequest{})
	if err != nil {
		return err
	}
	if o.JSON {
		return table.JSON(o.Factory.Out, reply.Verdicts)
	}
	t := table.Table{Heading: []string{"kind", "target", "down", "id"}}
	for _, v := range reply.Verdicts {
		t.Add(v.Kind, v.Target, v.Down, v.Id)
	}
	return t.Print(o.Factory.Out)
}
