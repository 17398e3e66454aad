package servicecreate

import (
	"context"

	"cuminfall.example/cuminfall/command"
	"cuminfall.example/cuminfall/section"
	"cuminfall.example/fleet/document"
	"cuminfall.example/fleet/ident"
)

// Options are the flags and dependencies of "service create".
type Options struct {
	section.Editor
	Service document.Service
}

// New returns the "service create" command.
func New(f *command.Factory) *command.Command {
	o := &Options{Editor: section.Editor{Factory: f}}
	fs := o.Flags("service create")
	fs.StringVar(&o.Service.Prefix, "prefix", "", "path `prefix` of the service's requests, such as /forecast/")
	fs.BoolVar(&o.Service.NonIdempotent, "once", false, "requests are non-idempotent and run at most once")
	fs.Int64Var((*int64)(&o.Service.MaxBody), "body", int64(document.DefaultMaxBody), "largest request body in `bytes`")
	fs.DurationVar(&o.Service.MaxTimeout, "longest", document.DefaultMaxTimeout, "largest timeout of a request")
	return &command.Command{
		Noun: "service", Verb: "create", Args: "NAME", Short: "Create a service", Flags: fs,
		Example: "cuminfall service create claims --prefix /claims/ --once",
		Run:     o.run,
	}
}

func (o *Options) run(ctx context.Context, args []string) error {
	o.Service.Name = ident.Service(args[0])
	return o.Change(ctx, document.ServicesSection, func(content document.Content) error {
		services := content.(*document.Services)
		services.Services = append(services.Services, o.Service)
		return nil
	})
}
