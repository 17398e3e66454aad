package section

import (
	"context"
	"flag"
	"fmt"

	"github.com/pkg/errors"

	"cuminfall.example/cuminfall/client"
	"cuminfall.example/cuminfall/command"
	"cuminfall.example/cuminfall/table"
	"cuminfall.example/fleet/document"
	"cuminfall.example/fleet/fault"
	"cuminfall.example/fleet/rpc"
)

// Editor makes changes for an account.
type Editor struct {
	command.Common
	command.Account
	Factory *command.Factory
}

// Outcome is what a change led to.
type Outcome struct {
	Section  string `json:"section"`
	Revision uint64 `json:"revision"`
	ID       string `json:"id"`
	Key      string `json:"key,omitempty"` // the new key, shown only once
}

// Read returns the content and revision of a section; a section never written is empty at revision 0.
func Read(ctx context.Context, fleet client.Fleet, name document.Section) (document.Content, uint64, error) {
	reply, err := fleet.Show(ctx, &rpc.ShowRequest{Section: string(name)})
	if err != nil {
		return nil, 0, err
	}
	text := ""
	var revision uint64
	for _, s := range reply.Sections {
		if s.Name == string(name) {
			text = s.Text
			revision = s.Revision
		}
	}
	part, err := document.Parse(name, text)
	return part, revision, err
}

// Flags returns the flags of a command that changes the document.
func (e *Editor) Flags(name string) *flag.FlagSet {
	fs := flag.NewFlagSet(name, flag.ContinueOnError)
	e.Common.Register(e.Factory, fs)
	e.Account.Register(e.Factory, fs)
	return fs
}

// Change makes an edit and prints its outcome.
func (e *Editor) Change(ctx context.Context, name document.Section, edit func(document.Content) error) error {
	outcome, err := e.Edit(ctx, name, edit)
	if err != nil {
		return err
	}
	return e.Print(outcome)
}

// Edit reads the section, lets edit change it, and applies the result on the revision that was read.
func (e *Editor) Edit(ctx context.Context, name document.Section, edit func(document.Content) error) (*Outcome, error) {
	fleet, err := e.Fleet(e.Factory)
	if err != nil {
		return nil, err
	}
	if earlier, err := e.earlier(ctx, fleet, name, edit); earlier != nil || err != nil {
		return earlier, err
	}
	part, revision, err := Read(ctx, fleet, name)
	if err != nil {
		return nil, err
	}
	text, err := edited(part, edit)
	if err != nil {
		return nil, err
	}
	return e.Apply(ctx, name, revision, text)
}

// earlier returns the outcome of the same edit under the given change id, if it
// was accepted before. Without it a repeat after a lost answer would edit the
// section a second time.
func (e *Editor) earlier(ctx context.Context, fleet client.Fleet, name document.Section, edit func(document.Content) error) (*Outcome, error) {
	if e.ID == "" {
		return nil, nil
	}
	reply, err := fleet.Audit(ctx, &rpc.AuditRequest{Id: e.ID})
	if err != nil || len(reply.Changes) == 0 {
		return nil, err
	}
	c := reply.Changes[0]
	before, err := document.Parse(name, c.Before)
	if err != nil {
		return nil, err
	}
	text, err := edited(before, edit)
	if err != nil || text != c.After || c.Section != string(name) || c.Operator != e.Operator {
		return nil, fault.New(fault.Conflict, "apply change", string(name), "change id %q was used for another change", e.ID)
	}
	return &Outcome{Section: c.Section, Revision: c.Revision, ID: c.Id}, nil
}

// edited returns the text of a section after an edit.
func edited(part document.Content, edit func(document.Content) error) (string, error) {
	if err := edit(part); err != nil {
		return "", err
	}
	return document.Format(part)
}

// Apply replaces a section by text on the given base revision.
func (e *Editor) Apply(ctx context.Context, name document.Section, base uint64, text string) (*Outcome, error) {
	fleet, err := e.Fleet(e.Factory)
	if err != nil {
		return nil, err
	}
	secret, err := e.Secret()
	if err != nil {
		return nil, err
	}
	id, err := e.ChangeID(e.Factory)
	if err != nil {
		return nil, err
	}
	reply, err := fleet.Apply(ctx, &rpc.ApplyRequest{
		Section: string(name), Base: base, Id: id, Operator: e.Operator, Credential: secret, Text: text,
	})
	if err != nil {
		return nil, errors.WithMessagef(err, "change id %s", id)
	}
	switch reply.State {
	case rpc.ApplyState_APPLY_STATE_ACCEPTED:
		return &Outcome{Section: string(name), Revision: reply.Revision, ID: id}, nil
	case rpc.ApplyState_APPLY_STATE_CONFLICT:
		return nil, conflict(string(name), reply)
	default:
		code := fault.Code(reply.Code)
		if code == "" {
			code = fault.Invalid
		}
		return nil, fault.New(code, "apply change", string(name), "%s", reply.Reason)
	}
}

func conflict(name string, reply *rpc.ApplyReply) error {
	if reply.Lost == nil {
		return fault.New(fault.Conflict, "apply change", name, "%s", reply.Reason)
	}
	return fault.New(fault.Conflict, "apply change", name, "%s; lost to change %s by %s, revision %d:\n%s",
		reply.Reason, reply.Lost.Id, reply.Lost.Operator, reply.Lost.Revision, reply.Lost.After)
}

// Print shows an accepted change.
func (e *Editor) Print(o *Outcome) error {
	if e.JSON {
		return table.JSON(e.Factory.Out, o)
	}
	if o.Key != "" {
		fmt.Fprintln(e.Factory.Out, o.Key)
		return nil
	}
	_, err := fmt.Fprintf(e.Factory.Out, "%s is at revision %d (change %s)\n", o.Section, o.Revision, o.ID)
	return errors.Wrap(err, "print outcome")
}
