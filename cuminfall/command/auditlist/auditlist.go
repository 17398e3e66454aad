package auditlist

import (
	"context"
	"flag"
	"time"

	"cuminfall.example/cuminfall/command"
	"cuminfall.example/cuminfall/table"
	"cuminfall.example/fleet/rpc"
)

// Options are the flags and dependencies of "audit list".
type Options struct {
	command.CommonFlags
	Factory *command.Factory
	After   uint64 // log index; only later changes are listed
	Limit   uint   // maximum number of changes
}

// New returns the "audit list" command.
func New(f *command.Factory) *command.Command {
	o := &Options{Factory: f}
	fs := flag.NewFlagSet("audit list", flag.ContinueOnError)
	o.CommonFlags.Register(f, fs)
	fs.Uint64Var(&o.After, "after", 0, "only changes after this log `index`")
	fs.UintVar(&o.Limit, "limit", 50, "show at most this number of `changes`, the newest ones")
	return &command.Command{
		Noun: "audit", Verb: "list", Short: "List accepted changes with who, when, before and after", Flags: fs,
		Example: "cuminfall audit list --limit 10 --json",
		Run:     o.run,
	}
}

func (o *Options) run(ctx context.Context, _ []string) error {
	group, err := o.Connect(o.Factory)
	if err != nil {
		return err
	}
	reply, err := group.Audit(ctx, &rpc.AuditRequest{After: o.After, Limit: uint32(o.Limit)})
	if err != nil {
		return err
	}
	if o.JSON {
		return table.JSON(o.Factory.Out, reply.Changes)
	}
	t := table.Table{Heading: []string{"index", "time", "kind", "operator", "section", "revision", "id"}}
	for _, c := range reply.Changes {
		t.Add(c.Index, time.UnixMilli(c.TimeMs).UTC().Format(time.RFC3339), c.Kind, c.Operator, c.Section, c.Revision, c.Id)
	}
	return t.Print(o.Factory.Out)
}
