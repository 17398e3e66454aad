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

// Options are the flags and dependencies of "document apply".
type Options struct {
	section.Editor
	Section string
	Base    int64 // revision that the change was made on; negative stands for the current one
}

// New returns the "document apply" command.
func New(f *command.Factory) *command.Command {
	o := &Options{Editor: section.Editor{Factory: f}}
	fs := o.Flags("document apply")
	fs.StringVar(&o.Section, "section", "", "`section` to replace")
	fs.Int64Var(&o.Base, "base", -1, "`revision` that the change was made on (default the current one)")
	return &command.Command{
		Noun: "document", Verb: "apply", Args: "FILE", Short: "Replace a section with FILE, or with standard input if FILE is '-'", Flags: fs,
		Example: "cuminfall document apply --section workspaces --base 7 workspaces.toml",
		Run:     o.run,
	}
}

func (o *Options) run(ctx context.Context, args []string) error {
	text, err := o.readText(args[0])
	if err != nil {
		return err
	}
	name := document.Section(o.Section)
	if _, err := document.Parse(name, text); err != nil {
		return err
	}
	base := uint64(o.Base)
	if o.Base < 0 {
		base, err = o.currentRevision(ctx, name)
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

// readText returns the content of the file, or of standard input if path is "-".
func (o *Options) readText(path string) (string, error) {
	if path == "-" {
		text, err := io.ReadAll(o.Factory.In)
		return string(text), fault.Wrap(err, fault.Usage, "read input", "")
	}
	text, err := os.ReadFile(path)
	return string(text), fault.Wrap(err, fault.Usage, "read file", path)
}

// currentRevision returns the current revision of the section.
func (o *Options) currentRevision(ctx context.Context, name document.Section) (uint64, error) {
	group, err := o.Connect(o.Factory)
	if err != nil {
		return 0, err
	}
	_, revision, err := section.Read(ctx, group, name)
	return revision, err
}
