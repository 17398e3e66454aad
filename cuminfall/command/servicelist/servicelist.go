package servicelist

import (
	"cuminfall.example/cuminfall/command"
	"cuminfall.example/cuminfall/section"
	"cuminfall.example/cuminfall/table"
	"cuminfall.example/fleet/document"
)

// New returns the "service list" command.
func New(f *command.Factory) *command.Command {
	l := &section.List{
		Factory: f, Noun: "service", Section: document.ServicesSection,
		Heading: []string{"name", "prefix", "once", "body", "longest"},
		AddRows: addRows,
	}
	return l.Command()
}

func addRows(content document.Content, t *table.Table) {
	for _, v := range content.(*document.Services).Services {
		t.Add(v.Name, v.Prefix, v.NonIdempotent, v.MaxBody, v.MaxTimeout)
	}
}
