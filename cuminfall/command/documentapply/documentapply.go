package documentapply

import (
	"context"
	"io"
	"os"

	"cuminfall.example/cuminfall/command"
	"cuminfall.example/cuminfall/section"
	"cuminfall.example/fleet/document"
	"cuminfall.example/fleet/fault"
)

// Options are the settings of one run.
type Options struct {
	section.Editor
	Section string
	Base    int64
}

// New returns the command.
func New(f *command.Factory) *command.Command {
	o := &Options{Editor: section.Editor{Factory: f}}
	fs := o.Flags("document apply")
	fs.StringVar(&o.Section, "section", "", "`section` to replace")
	fs.Int64Var(&o.Base, "base", -1, "`revision` that the change was made on (default the present one)")
	return &command.Command{
		Noun: "document", Verb: "apply", Args: "FILE", Short: "Replace a section by a file, or by the input for '-'", Flags: fs,
		Example: "cuminfall document apply --section workspaces --base 7 workspaces.toml",
		Run:     o.run,
	}
}

func (o *Options) run(ctx context.Context, args []string) error {
	text, err := o.read(args[0])
	if err != nil {
		return err
	}
	name := document.Section(o.Section)
	if _, err := document.Parse(name, text); err != nil {
		return err
	}
	base := uint64(o.Base)
	if o.Base < 0 {
		base, err = o.present(ctx, name)
		if err != nil {
			return err
		}
	}
	outcome, err := o.Apply(ctx, name, base, text)
	if err != nil {
		return err
	}
	return o.Print(outcome)
}

func (o *Options) read(path string) (string, error) {
	if path == "-" {
		text, err := io.ReadAll(o.Factory.In)
		return string(text), fault.Wrap(err, fault.Usage, "read input", "")
	}
	text, err := os.ReadFile(path)
	return string(text), fault.Wrap(err, fault.Usage, "read file", path)
}

func (o *Options) present(ctx context.Context, name document.Section) (uint64, error) {
	fleet, err := o.Fleet(o.Factory)
	if err != nil {
		return 0, err
	}
	_, revision, err := section.Read(ctx, fleet, name)
	return revision, err
}
