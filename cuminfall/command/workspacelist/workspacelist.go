package workspacelist

import (
	"cuminfall.example/cuminfall/command"
	"cuminfall.example/cuminfall/section"
	"cuminfall.example/cuminfall/table"
	"cuminfall.example/fleet/document"
)

// New returns the command.
func New(f *command.Factory) *command.Command {
	l := &section.List{
		Factory: f, Noun: "workspace", Section: document.WorkspacesSection,
		Heading: []string{"name", "rate", "burst", "key", "withdrawn"},
		Fill:    fill,
	}
	return l.Command()
}

func fill(part document.Content, t *table.Table) {
	for _, v := range part.(*document.Workspaces).Workspaces {
		t.Add(v.Name, v.Rate, v.Burst, "", "")
		for _, k := range v.Keys {
			t.Add("", "", "", k.ID, k.Withdrawn)
		}
	}
}
