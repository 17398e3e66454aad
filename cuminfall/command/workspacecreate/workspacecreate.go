package workspacecreate

import (
	"context"

	"cuminfall.example/cuminfall/command"
	"cuminfall.example/cuminfall/section"
	"cuminfall.example/fleet/document"
	"cuminfall.example/fleet/ident"
)

// Options are the flags and dependencies of "workspace create".
type Options struct {
	section.Editor
	Workspace document.Workspace
}

// New returns the "workspace create" command.
func New(f *command.Factory) *command.Command {
	o := &Options{Editor: section.Editor{Factory: f}}
	fs := o.Flags("workspace create")
	fs.Float64Var((*float64)(&o.Workspace.Rate), "rate", 0, "requests per second over the whole fleet")
	fs.Float64Var(&o.Workspace.Burst, "burst", 0, "requests that may come at once over the whole fleet")
	return &command.Command{
		Noun: "workspace", Verb: "create", Args: "NAME", Short: "Create a workspace", Flags: fs,
		Example: "cuminfall workspace create harbour-cafe --rate 50 --burst 100",
		Run:     o.run,
	}
}

func (o *Options) run(ctx context.Context, args []string) error {
	o.Workspace.Name = ident.Workspace(args[0])
	return o.Change(ctx, document.WorkspacesSection, func(content document.Content) error {
		workspaces := content.(*document.Workspaces)
		workspaces.Workspaces = append(workspaces.Workspaces, o.Workspace)
		return nil
	})
}
