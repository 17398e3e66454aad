package section

import (
	"context"

	"cuminfall.example/cuminfall/command"
	"cuminfall.example/fleet/document"
	"cuminfall.example/fleet/fault"
)

// Remover is the content of a section whose items can be removed by name.
type Remover interface {
	// Remove deletes the item and reports whether it existed.
	Remove(name string) bool
}

// End returns the "end" command of a noun. The content of the section must implement Remover.
func End(f *command.Factory, noun string, name document.Section) *command.Command {
	e := &Editor{Factory: f}
	return &command.Command{
		Noun: noun, Verb: "end", Args: "NAME", Short: "End a " + noun, Flags: e.Flags(noun + " end"),
		Example: "cuminfall " + noun + " end patching",
		Run: func(ctx context.Context, args []string) error {
			return e.Change(ctx, name, func(content document.Content) error {
				if !content.(Remover).Remove(args[0]) {
					return fault.New(fault.NotFound, "edit section", string(name), "no %s %q", noun, args[0])
				}
				return nil
			})
		},
	}
}
