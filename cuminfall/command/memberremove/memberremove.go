package memberremove

import (
	"context"
	"flag"
	"fmt"

	"github.com/pkg/errors"

	"cuminfall.example/cuminfall/command"
	"cuminfall.example/fleet/rpc"
)

// Options are the settings of one run.
type Options struct {
	command.Common
	command.Account
	Factory *command.Factory
}

// New returns the command.
func New(f *command.Factory) *command.Command {
	o := &Options{Factory: f}
	fs := flag.NewFlagSet("member remove", flag.ContinueOnError)
	o.Common.Register(f, fs)
	o.Account.Register(f, fs)
	return &command.Command{
		Noun: "member", Verb: "remove", Args: "NAME", Short: "Remove a member from the control group", Flags: fs,
		Example: "cuminfall member remove control3",
		Run:     o.run,
	}
}

func (o *Options) run(ctx context.Context, args []string) error {
	fleet, err := o.Fleet(o.Factory)
	if err != nil {
		return err
	}
	secret, err := o.Secret()
	if err != nil {
		return err
	}
	id, err := o.ChangeID(o.Factory)
	if err != nil {
		return err
	}
	r := &rpc.RemoveRequest{Name: args[0], Operator: o.Operator, Credential: secret, Id: id}
	if _, err := fleet.Remove(ctx, r); err != nil {
		return err
	}
	_, err = fmt.Fprintf(o.Factory.Out, "member %s is removed\n", args[0])
	return errors.Wrap(err, "print outcome")
}
