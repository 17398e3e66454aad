package keyrestore

import (
	"context"

	"cuminfall.example/cuminfall/command"
	"cuminfall.example/cuminfall/section"
)

// New returns the "key restore" command.
func New(f *command.Factory) *command.Command {
	o := &section.Editor{Factory: f}
	return &command.Command{
		Noun: "key", Verb: "restore", Args: "ID", Short: "Restore a withdrawn key", Flags: o.Flags("key restore"),
		Example: "cuminfall key restore 5f0c1a2b3c4d",
		Run: func(ctx context.Context, args []string) error {
			return o.SetWithdrawn(ctx, args[0], false)
		},
	}
}
