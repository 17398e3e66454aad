package status

import (
	"context"
	"flag"
	"fmt"

	"cuminfall.example/cuminfall/client"
	"cuminfall.example/cuminfall/command"
	"cuminfall.example/cuminfall/table"
	"cuminfall.example/fleet/rpc"
)

// Options are the flags and dependencies of "status".
type Options struct {
	command.CommonFlags
	Factory *command.Factory
}

// New returns the "status" command.
func New(f *command.Factory) *command.Command {
	o := &Options{Factory: f}
	fs := flag.NewFlagSet("status", flag.ContinueOnError)
	o.CommonFlags.Register(f, fs)
	return &command.Command{
		Noun: "status", Short: "Show control members, entry VMs and upstreams", Flags: fs,
		Example: "cuminfall status --control 127.0.0.1:7101,127.0.0.1:7102",
		Run:     o.run,
	}
}

func (o *Options) run(ctx context.Context, _ []string) error {
	group, err := o.Connect(o.Factory)
	if err != nil {
		return err
	}
	list, err := group.Status(ctx)
	if o.JSON {
		if jsonErr := table.JSON(o.Factory.Out, list); jsonErr != nil {
			return jsonErr
		}
		return err
	}
	if err != nil {
		return err
	}
	if err := o.printMembers(list); err != nil {
		return err
	}
	if newest := mostUpToDateReply(list); newest != nil {
		return o.printFleet(newest)
	}
	return nil
}

func (o *Options) printMembers(list []client.MemberStatus) error {
	t := table.Table{Heading: []string{"control", "name", "role", "term", "committed", "applied"}}
	for _, s := range list {
		if s.Reply == nil {
			t.Add(s.Address, "-", "unreachable", "-", "-", "-")
			continue
		}
		t.Add(s.Address, s.Reply.Member, s.Reply.Role, s.Reply.Term, s.Reply.Committed, s.Reply.Applied)
	}
	return t.Print(o.Factory.Out)
}

// mostUpToDateReply returns the reply of the member that has applied the most log entries, or nil if no member
// answered.
func mostUpToDateReply(list []client.MemberStatus) *rpc.StatusReply {
	var newest *rpc.StatusReply
	for _, s := range list {
		if s.Reply != nil && (newest == nil || s.Reply.Applied > newest.Applied) {
			newest = s.Reply
		}
	}
	return newest
}

func (o *Options) printFleet(r *rpc.StatusReply) error {
	fmt.Fprintln(o.Factory.Out)
	vms := table.Table{Heading: []string{"vm", "address", "domain", "leaving"}}
	for _, m := range r.Entries {
		vms.Add(m.Vm, m.Address, m.Domain, m.Leaving)
	}
	if err := vms.Print(o.Factory.Out); err != nil {
		return err
	}
	fmt.Fprintln(o.Factory.Out)
	upstreams := table.Table{Heading: []string{"upstream", "service", "domain", "slots", "state"}}
	for _, u := range r.Upstreams {
		upstreams.Add(u.Address, u.Service, u.Domain, u.Slots, upstreamState(u))
	}
	return upstreams.Print(o.Factory.Out)
}

func upstreamState(u *rpc.Upstream) string {
	switch {
	case u.Leaving:
		return "leaving"
	case u.Suspected:
		return "suspected"
	default:
		return "active"
	}
}
