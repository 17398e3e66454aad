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

// Editor changes sections of the document in the name of an operator.
type Editor struct {
	command.CommonFlags
	command.OperatorFlags
	Factory *command.Factory
}

// Outcome is the result of an accepted change.
type Outcome struct {
	Section  string `json:"section"`
	Revision uint64 `json:"revision"`
	ID       string `json:"id"`
	Key      string `json:"key,omitempty"` // the new key, shown only once
}

// Read returns the content and the revision of a section. A section that was never written is empty at revision 0.
func Read(ctx context.Context, group client.ControlGroup, name document.Section) (document.Content, uint64, error) {
	reply, err := group.Show(ctx, &rpc.ShowRequest{Section: string(name)})
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
	content, err := document.Parse(name, text)
	return content, revision, err
}

// Flags returns a new flag set with the flags that all commands that change the document share.
func (e *Editor) Flags(name string) *flag.FlagSet {
	fs := flag.NewFlagSet(name, flag.ContinueOnError)
	e.CommonFlags.Register(e.Factory, fs)
	e.OperatorFlags.Register(e.Factory, fs)
	return fs
}

// Change edits a section as Edit does and prints the outcome.
func (e *Editor) Change(ctx context.Context, name document.Section, edit func(document.Content) error) error {
	outcome, err := e.Edit(ctx, name, edit)
	if err != nil {
		return err
	}
	return e.Print(outcome)
}

// Edit reads the section, calls edit to change it, and applies the result with the revision that was read as its base.
// If another change came first, it returns a conflict error.
func (e *Editor) Edit(ctx context.Context, name document.Section, edit func(document.Content) error) (*Outcome, error) {
	group, err := e.Connect(e.Factory)
	if err != nil {
		return nil, err
	}
	if accepted, err := e.acceptedOutcome(ctx, group, name, edit); accepted != nil || err != nil {
		return accepted, err
	}
	content, revision, err := Read(ctx, group, name)
	if err != nil {
		return nil, err
	}
	text, err := formatEdited(content, edit)
	if err != nil {
		return nil, err
	}
	return e.Apply(ctx, name, revision, text)
}

// acceptedOutcome returns the outcome of the same edit with the same change id if it was accepted before, and nil
// otherwise. Without this check an operator's repeat after a lost reply would edit the section a second time.
func (e *Editor) acceptedOutcome(ctx context.Context, group client.ControlGroup, name document.Section, edit func(document.Content) error) (*Outcome, error) {
	if e.ChangeID == "" {
		return nil, nil
	}
	reply, err := group.Audit(ctx, &rpc.AuditRequest{Id: e.ChangeID})
	if err != nil || len(reply.Changes) == 0 {
		return nil, err
	}
	c := reply.Changes[0]
	before, err := document.Parse(name, c.Before)
	if err != nil {
		return nil, err
	}
	text, err := formatEdited(before, edit)
	if err != nil || text != c.After || c.Section != string(name) || c.Operator != e.Operator {
		return nil, fault.New(fault.Conflict, "apply change", string(name), "change id %q was used for another change", e.ChangeID)
	}
	return &Outcome{Section: c.Section, Revision: c.Revision, ID: c.Id}, nil
}

// formatEdited applies an edit to the content of a section and returns its text.
func formatEdited(content document.Content, edit func(document.Content) error) (string, error) {
	if err := edit(content); err != nil {
		return "", err
	}
	return document.Format(content)
}

// Apply replaces the text of a section. It returns a conflict error if base is not its current revision.
func (e *Editor) Apply(ctx context.Context, name document.Section, base uint64, text string) (*Outcome, error) {
	group, err := e.Connect(e.Factory)
	if err != nil {
		return nil, err
	}
	secret, err := e.ReadCredential()
	if err != nil {
		return nil, err
	}
	id, err := e.EnsureChangeID(e.Factory)
	if err != nil {
		return nil, err
	}
	reply, err := group.Apply(ctx, &rpc.ApplyRequest{
		Section: string(name), Base: base, Id: id, Operator: e.Operator, Credential: secret, Text: text,
	})
	if err != nil {
		return nil, errors.WithMessagef(err, "change id %s", id)
	}
	switch reply.State {
	case rpc.ApplyState_APPLY_STATE_ACCEPTED:
		return &Outcome{Section: string(name), Revision: reply.Revision, ID: id}, nil
	case rpc.ApplyState_APPLY_STATE_CONFLICT:
		return nil, conflictError(string(name), reply)
	default:
		code := fault.Code(reply.Code)
		if code == "" {
			code = fault.Invalid
		}
		return nil, fault.New(code, "apply change", string(name), "%s", reply.Reason)
	}
}

// conflictError returns the error for a change that was refused because another change came first.
func conflictError(name string, reply *rpc.ApplyReply) error {
	if reply.Lost == nil {
		return fault.New(fault.Conflict, "apply change", name, "%s", reply.Reason)
	}
	return fault.New(fault.Conflict, "apply change", name, "%s; lost to change %s by %s, revision %d:\n%s",
		reply.Reason, reply.Lost.Id, reply.Lost.Operator, reply.Lost.Revision, reply.Lost.After)
}

// Print writes the outcome of an accepted change, or the new key alone if the change created one.
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
