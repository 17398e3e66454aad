package keycreate

import (
	"context"
	"crypto/sha256"
	"encoding/hex"

	"cuminfall.example/cuminfall/command"
	"cuminfall.example/cuminfall/section"
	"cuminfall.example/fleet/document"
	"cuminfall.example/fleet/fault"
	"cuminfall.example/fleet/ident"
)

const (
	idBytes     = 6  // random bytes in a key's id
	secretBytes = 24 // random bytes in a key's secret
)

// Options are the flags and dependencies of "key create".
type Options struct {
	section.Editor
	Workspace string
}

// New returns the "key create" command.
func New(f *command.Factory) *command.Command {
	o := &Options{Editor: section.Editor{Factory: f}}
	fs := o.Flags("key create")
	fs.StringVar(&o.Workspace, "workspace", "", "workspace `name`")
	return &command.Command{
		Noun: "key", Verb: "create", Short: "Create a key for a workspace and print it once", Flags: fs,
		Example: "cuminfall key create --workspace harbour-cafe",
		Run:     o.run,
	}
}

func (o *Options) run(ctx context.Context, _ []string) error {
	id, err := command.RandomHex(o.Factory.Random, idBytes)
	if err != nil {
		return err
	}
	secret, err := command.RandomHex(o.Factory.Random, secretBytes)
	if err != nil {
		return err
	}
	sum := sha256.Sum256([]byte(secret))
	key := document.Key{ID: ident.KeyID(id), Hash: hex.EncodeToString(sum[:])}
	outcome, err := o.Edit(ctx, document.WorkspacesSection, func(content document.Content) error {
		w := content.(*document.Workspaces).Find(ident.Workspace(o.Workspace))
		if w == nil {
			return fault.New(fault.NotFound, "edit section", string(document.WorkspacesSection), "no workspace %q", o.Workspace)
		}
		w.Keys = append(w.Keys, key)
		return nil
	})
	if err != nil {
		return err
	}
	outcome.Key = "ck_" + id + "_" + secret
	return o.Print(outcome)
}
