package drainstart

import (
	"context"

	"cuminfall.example/cuminfall/command"
	"cuminfall.example/cuminfall/section"
	"cuminfall.example/fleet/document"
)

// Options are the settings of one run.
type Options struct {
	section.Editor
	Drain document.Drain
}

// New returns the command.
func New(f *command.Factory) *command.Command {
	o := &Options{Editor: section.Editor{Factory: f}}
	fs := o.Flags("drain start")
	fs.StringVar((*string)(&o.Drain.Kind), "kind", "", "`kind` of target: endpoint, domain, region or vm")
	fs.StringVar(&o.Drain.Target, "target", "", "`name` of the target, or the address of an endpoint")
	return &command.Command{
		Noun: "drain", Verb: "start", Args: "NAME", Short: "Give a place no new work", Flags: fs,
		Example: "cuminfall drain start patching --kind domain --target bne-a",
		Run:     o.run,
	}
}

func (o *Options) run(ctx context.Context, args []string) error {
	o.Drain.Name = args[0]
	return o.Change(ctx, document.DrainsSection, func(part document.Content) error {
		drains := part.(*document.Drains)
		drains.Drains = append(drains.Drains, o.Drain)
		return nil
	})
}
