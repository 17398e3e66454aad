package section

import (
	"context"
	"flag"

	"cuminfall.example/cuminfall/command"
	"cuminfall.example/cuminfall/table"
	"cuminfall.example/fleet/document"
)

// List prints the content of one section.
type List struct {
	command.Common
	Factory *command.Factory
	Noun    string
	Section document.Section
	Heading []string
	// Fill adds the rows of the section.
	Fill func(part document.Content, t *table.Table)
}

// Command returns the "list" command of the noun.
func (l *List) Command() *command.Command {
	fs := flag.NewFlagSet(l.Noun+" list", flag.ContinueOnError)
	l.Common.Register(l.Factory, fs)
	return &command.Command{
		Noun: l.Noun, Verb: "list", Short: "List the " + l.Noun + "s", Flags: fs,
		Example: "cuminfall " + l.Noun + " list --json",
		Run:     l.run,
	}
}

func (l *List) run(ctx context.Context, _ []string) error {
	fleet, err := l.Fleet(l.Factory)
	if err != nil {
		return err
	}
	part, _, err := Read(ctx, fleet, l.Section)
	if err != nil {
		return err
	}
	if l.JSON {
		return table.JSON(l.Factory.Out, part)
	}
	t := table.Table{Heading: l.Heading}
	l.Fill(part, &t)
	return t.Print(l.Factory.Out)
}
