package shiftend

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
	fs := o.Flags("shift end")
	return &command.Command{
		Noun: "shift", Verb: "end", Args: "NAME", Short: "End a shift", Flags: fs,
		Example: "cuminfall shift end patching",
		Run:     o.run,
	}
}

func (o *Options) run(ctx context.Context, args []string) error {
	return o.Change(ctx, document.ShiftsSection, func(part document.Part) error {
		if !part.(*document.Shifts).Remove(args[0]) {
			return fault.New(fault.NotFound, "edit section", string(document.ShiftsSection), "no shift %q", args[0])
		}
		return nil
	})
}
