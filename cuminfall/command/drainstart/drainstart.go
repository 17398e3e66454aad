package drainstart

import (
	"context"

	"cuminfall.example/cuminfall/command"
	"cuminfall.example/cuminfall/section"
	"cuminfall.example/fleet/document"
)

// Options are the flags and dependencies of "drain start".
type Options struct {
	section.Editor
	Drain document.Drain
}

// New returns the "drain start" command.
func New(f *command.Factory) *command.Command {
	o := &Options{Editor: section.Editor{Factory: f}}
	fs := o.Flags("drain start")
	fs.StringVar((*string)(&o.Drain.Kind), "kind", "", "`kind` of target: endpoint, domain, region or vm")
	fs.StringVar(&o.Drain.Target, "target", "", "`name` of the target, or the address of an endpoint")
	return &command.Command{
		Noun: "drain", Verb: "start", Args: "NAME", Short: "Send no new requests to an endpoint, failure domain, region or VM", Flags: fs,
		Example: "cuminfall drain start patching --kind domain --target bne-a",
		Run:     o.run,
	}
}

func (o *Options) run(ctx context.Context, args []string) error {
	o.Drain.Name = args[0]
	return o.Change(ctx, document.DrainsSection, func(content document.Content) error {
		drains := content.(*document.Drains)
		drains.Drains = append(drains.Drains, o.Drain)
		return nil
	})
}
