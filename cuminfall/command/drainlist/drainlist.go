package drainlist

import (
	"cuminfall.example/cuminfall/command"
	"cuminfall.example/cuminfall/section"
	"cuminfall.example/cuminfall/table"
	"cuminfall.example/fleet/document"
)

// New returns the command.
func New(f *command.Factory) *command.Command {
	l := &section.List{
		Factory: f, Noun: "drain", Section: document.DrainsSection,
		Heading: []string{"name", "kind", "target"},
		Fill:    fill,
	}
	return l.Command()
}

func fill(part document.Content, t *table.Table) {
	for _, v := range part.(*document.Drains).Drains {
		t.Add(v.Name, v.Kind, v.Target)
	}
}
