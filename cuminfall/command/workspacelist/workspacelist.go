package workspacelist

import (
	"cuminfall.example/cuminfall/command"
	"cuminfall.example/cuminfall/section"
	"cuminfall.example/cuminfall/table"
	"cuminfall.example/fleet/document"
)

// New returns the "workspace list" command.
func New(f *command.Factory) *command.Command {
	l := &section.List{
		Factory: f, Noun: "workspace", Section: document.WorkspacesSection,
		Heading: []string{"name", "rate", "burst", "key", "withdrawn"},
		AddRows: addRows,
	}
	return l.Command()
}

func addRows(content document.Content, t *table.Table) {
	for _, v := range content.(*document.Workspaces).Workspaces {
		t.Add(v.Name, v.Rate, v.Burst, "", "")
		for _, k := range v.Keys {
			t.Add("", "", "", k.ID, k.Withdrawn)
		}
	}
}
