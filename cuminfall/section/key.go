package section

import (
	"context"

	"cuminfall.example/fleet/document"
	"cuminfall.example/fleet/fault"
	"cuminfall.example/fleet/ident"
)

// SetWithdrawn withdraws or restores the key with the given id. It returns a not-found error if there is none.
func (e *Editor) SetWithdrawn(ctx context.Context, id string, withdrawn bool) error {
	return e.Change(ctx, document.WorkspacesSection, func(content document.Content) error {
		key := content.(*document.Workspaces).FindKey(ident.KeyID(id))
		if key == nil {
			return fault.New(fault.NotFound, "edit section", string(document.WorkspacesSection), "no key %q", id)
		}
		key.Withdrawn = withdrawn
		return nil
	})
}
