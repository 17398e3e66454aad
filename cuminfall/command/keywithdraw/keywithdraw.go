package keywithdraw

import (
	"context"

	"cuminfall.example/cuminfall/command"
	"cuminfall.example/cuminfall/section"
)

// New returns the "key withdraw" command.
func New(f *command.Factory) *command.Command {
	o := &section.Editor{Factory: f}
	return &command.Command{
		Noun: "key", Verb: "withdraw", Args: "ID", Short: "Withdraw a key; it stops working within seconds", Flags: o.Flags("key withdraw"),
		Example: "cuminfall key withdraw 5f0c1a2b3c4d",
		Run: func(ctx context.Context, args []string) error {
			return o.SetWithdrawn(ctx, args[0], true)
		},
	}
}
