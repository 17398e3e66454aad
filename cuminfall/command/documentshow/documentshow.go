package documentshow

import (
	"context"
	"flag"
	"fmt"

	"cuminfall.example/cuminfall/command"
	"cuminfall.example/cuminfall/table"
	"cuminfall.example/fleet/rpc"
)

// Options are the flags and dependencies of "document show".
type Options struct {
	command.CommonFlags
	Factory *command.Factory
	Section string // empty for all sections
}

// New returns the "document show" command.
func New(f *command.Factory) *command.Command {
	o := &Options{Factory: f}
	fs := flag.NewFlagSet("document show", flag.ContinueOnError)
	o.CommonFlags.Register(f, fs)
	fs.StringVar(&o.Section, "section", "", "only this `section`")
	return &command.Command{
		Noun: "document", Verb: "show", Short: "Print the document", Flags: fs,
		Example: "cuminfall document show --section workspaces",
		Run:     o.run,
	}
}

func (o *Options) run(ctx context.Context, _ []string) error {
	group, err := o.Connect(o.Factory)
	if err != nil {
		return err
	}
	reply, err := group.Show(ctx, &rpc.ShowRequest{Section: o.Section})
	if err != nil {
		return err
	}
	if o.JSON {
		return table.JSON(o.Factory.Out, reply.Sections)
	}
	for _, s := range reply.Sections {
		fmt.Fprintf(o.Factory.Out, "# section %s, revision %d\n%s\n", s.Name, s.Revision, s.Text)
	}
	return nil
}
