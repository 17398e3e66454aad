package shiftstart

import (
	"context"

	"cuminfall.example/cuminfall/command"
	"cuminfall.example/cuminfall/section"
	"cuminfall.example/fleet/document"
)

// Options are the flags and dependencies of "shift start".
type Options struct {
	section.Editor
	Shift document.Shift
}

// New returns the "shift start" command.
func New(f *command.Factory) *command.Command {
	o := &Options{Editor: section.Editor{Factory: f}}
	fs := o.Flags("shift start")
	fs.StringVar((*string)(&o.Shift.Service), "service", "", "service `name`")
	fs.StringVar(&o.Shift.From, "from", "", "region or failure domain that traffic leaves")
	fs.StringVar(&o.Shift.To, "to", "", "region or failure domain that traffic goes to")
	fs.Float64Var(&o.Shift.Share, "share", 0, "share of the traffic to move, 0 to 1")
	fs.Float64Var((*float64)(&o.Shift.Cap), "cap", 0, "maximum number of moved requests per second over the whole fleet")
	return &command.Command{
		Noun: "shift", Verb: "start", Args: "NAME", Short: "Move traffic between regions or failure domains, up to a maximum rate", Flags: fs,
		Example: "cuminfall shift start winter --service forecast --from uusimaa --to lappi --share 0.5 --cap 40",
		Run:     o.run,
	}
}

func (o *Options) run(ctx context.Context, args []string) error {
	o.Shift.Name = args[0]
	return o.Change(ctx, document.ShiftsSection, func(content document.Content) error {
		shifts := content.(*document.Shifts)
		shifts.Shifts = append(shifts.Shifts, o.Shift)
		return nil
	})
}
