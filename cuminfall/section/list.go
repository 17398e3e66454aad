package section

import (
	"context"
	"flag"

	"cuminfall.example/cuminfall/command"
	"cuminfall.example/cuminfall/table"
	"cuminfall.example/fleet/document"
)

// List describes a "list" command, which prints the items of one section.
type List struct {
	command.CommonFlags
	Factory *command.Factory
	Noun    string
	Section document.Section
	Heading []string
	// AddRows adds the items of the section to the table.
	AddRows func(content document.Content, t *table.Table)
}

// Command returns the "list" command of l.Noun.
func (l *List) Command() *command.Command {
	fs := flag.NewFlagSet(l.Noun+" list", flag.ContinueOnError)
	l.CommonFlags.Register(l.Factory, fs)
	return &command.Command{
		Noun: l.Noun, Verb: "list", Short: "List the " + l.Noun + "s", Flags: fs,
		Example: "cuminfall " + l.Noun + " list --json",
		Run:     l.run,
	}
}

func (l *List) run(ctx context.Context, _ []string) error {
	group, err := l.Connect(l.Factory)
	if err != nil {
		return err
	}
	content, _, err := Read(ctx, group, l.Section)
	if err != nil {
		return err
	}
	if l.JSON {
		return table.JSON(l.Factory.Out, content)
	}
	t := table.Table{Heading: l.Heading}
	l.AddRows(content, &t)
	return t.Print(l.Factory.Out)
}
