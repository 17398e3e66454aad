package drainend

import (
	"context"

	"cuminfall.example/cuminfall/command"
	"cuminfall.example/cuminfall/section"
	"cuminfall.example/fleet/document"
	"cuminfall.example/fleet/fault"
)

// Options are the settings of one run.
type Options struct {
	section.Editor
}

// New returns the command.
func New(f *command.Factory) *command.Command {
	o := &Options{Editor: section.Editor{Factory: f}}
	fs := o.Flags("drain end")
	return &command.Command{
		Noun: "drain", Verb: "end", Args: "NAME", Short: "End a drain", Flags: fs,
		Example: "cuminfall drain end patching",
		Run:     o.run,
	}
}

func (o *Options) run(ctx context.Context, args []string) error {
	return o.Change(ctx, document.DrainsSection, func(part document.Part) error {
		if !part.(*document.Drains).Remove(args[0]) {
			return fault.New(fault.NotFound, "edit section", string(document.DrainsSection), "no drain %q", args[0])
		}
		return nil
	})
}
