package servicelist

import (
	"cuminfall.example/cuminfall/command"
	"cuminfall.example/cuminfall/section"
	"cuminfall.example/cuminfall/table"
	"cuminfall.example/fleet/document"
)

// New returns the command.
func New(f *command.Factory) *command.Command {
	l := &section.List{
		Factory: f, Noun: "service", Section: document.ServicesSection,
		Heading: []string{"name", "prefix", "once", "body", "longest"},
		Fill:    fill,
	}
	return l.Command()
}

func fill(part document.Content, t *table.Table) {
	for _, v := range part.(*document.Services).Services {
		t.Add(v.Name, v.Prefix, v.NonIdempotent, v.MaxBody, v.MaxTimeout)
	}
}
