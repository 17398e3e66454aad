package drainlist

import (
	"cuminfall.example/cuminfall/command"
	"cuminfall.example/cuminfall/section"
	"cuminfall.example/cuminfall/table"
	"cuminfall.example/fleet/document"
)

// New returns the "drain list" command.
func New(f *command.Factory) *command.Command {
	l := &section.List{
		Factory: f, Noun: "drain", Section: document.DrainsSection,
		Heading: []string{"name", "kind", "target"},
		AddRows: addRows,
	}
	return l.Command()
}

func addRows(content document.Content, t *table.Table) {
	for _, v := range content.(*document.Drains).Drains {
		t.Add(v.Name, v.Kind, v.Target)
	}
}
