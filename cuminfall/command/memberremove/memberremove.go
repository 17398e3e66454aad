package memberremove

import (
	"context"
	"flag"
	"fmt"

	"github.com/pkg/errors"

	"cuminfall.example/cuminfall/command"
	"cuminfall.example/fleet/rpc"
)

// Options are the flags and dependencies of "member remove".
type Options struct {
	command.CommonFlags
	command.OperatorFlags
	Factory *command.Factory
}

// New returns the "member remove" command.
func New(f *command.Factory) *command.Command {
	o := &Options{Factory: f}
	fs := flag.NewFlagSet("member remove", flag.ContinueOnError)
	o.CommonFlags.Register(f, fs)
	o.OperatorFlags.Register(f, fs)
	return &command.Command{
		Noun: "member", Verb: "remove", Args: "NAME", Short: "Remove a member from the control group", Flags: fs,
		Example: "cuminfall member remove control3",
		Run:     o.run,
	}
}

func (o *Options) run(ctx context.Context, args []string) error {
	group, err := o.Connect(o.Factory)
	if err != nil {
		return err
	}
	secret, err := o.ReadCredential()
	if err != nil {
		return err
	}
	id, err := o.EnsureChangeID(o.Factory)
	if err != nil {
		return err
	}
	r := &rpc.RemoveRequest{Name: args[0], Operator: o.Operator, Credential: secret, Id: id}
	if _, err := group.Remove(ctx, r); err != nil {
		return err
	}
	_, err = fmt.Fprintf(o.Factory.Out, "member %s is removed\n", args[0])
	return errors.Wrap(err, "print outcome")
}
