package workspaceset

import (
	"context"

	"cuminfall.example/cuminfall/command"
	"cuminfall.example/cuminfall/section"
	"cuminfall.example/fleet/document"
	"cuminfall.example/fleet/fault"
	"cuminfall.example/fleet/ident"
)

// Options are the flags and dependencies of "workspace set".
type Options struct {
	section.Editor
	Rate  float64 // requests per second; 0 keeps the current rate
	Burst float64 // requests; 0 keeps the current burst
}

// New returns the "workspace set" command.
func New(f *command.Factory) *command.Command {
	o := &Options{Editor: section.Editor{Factory: f}}
	fs := o.Flags("workspace set")
	fs.Float64Var(&o.Rate, "rate", 0, "requests per second over the whole fleet (0 keeps the current rate)")
	fs.Float64Var(&o.Burst, "burst", 0, "requests that may come at once over the whole fleet (0 keeps the current burst)")
	return &command.Command{
		Noun: "workspace", Verb: "set", Args: "NAME", Short: "Change a workspace's rate or burst", Flags: fs,
		Example: "cuminfall workspace set harbour-cafe --rate 80",
		Run:     o.run,
	}
}

func (o *Options) run(ctx context.Context, args []string) error {
	return o.Change(ctx, document.WorkspacesSection, func(content document.Content) error {
		w := content.(*document.Workspaces).Find(ident.Workspace(args[0]))
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
