package workspaceset

import (
	"context"

	"cuminfall.example/cuminfall/command"
	"cuminfall.example/cuminfall/section"
	"cuminfall.example/fleet/document"
	"cuminfall.example/fleet/fault"
	"cuminfall.example/fleet/ident"
)

// Options are the settings of one run.
type Options struct {
	section.Editor
	Rate  float64 // requests per second; 0 keeps the present one
	Burst float64 // requests; 0 keeps the present one
}

// New returns the command.
func New(f *command.Factory) *command.Command {
	o := &Options{Editor: section.Editor{Factory: f}}
	fs := o.Flags("workspace set")
	fs.Float64Var(&o.Rate, "rate", 0, "requests per second over the whole fleet (0 keeps it)")
	fs.Float64Var(&o.Burst, "burst", 0, "requests that may come at once (0 keeps it)")
	return &command.Command{
		Noun: "workspace", Verb: "set", Args: "NAME", Short: "Change a workspace's rate or burst", Flags: fs,
		Example: "cuminfall workspace set harbour-cafe --rate 80",
		Run:     o.run,
	}
}

func (o *Options) run(ctx context.Context, args []string) error {
	return o.Change(ctx, document.WorkspacesSection, func(part document.Content) error {
		w := part.(*document.Workspaces).Find(ident.Workspace(args[0]))
		if w == nil {
			return fault.New(fault.NotFound, "edit section", string(document.WorkspacesSection), "no workspace %q", args[0])
		}
		if o.Rate != 0 {
			w.Rate = ident.RequestRate(o.Rate)
		}
		if o.Burst != 0 {
			w.Burst = o.Burst
		}
		return nil
	})
}
