package shiftlist

import (
	"cuminfall.example/cuminfall/command"
	"cuminfall.example/cuminfall/section"
	"cuminfall.example/cuminfall/table"
	"cuminfall.example/fleet/document"
)

// New returns the "shift list" command.
func New(f *command.Factory) *command.Command {
	l := &section.List{
		Factory: f, Noun: "shift", Section: document.ShiftsSection,
		Heading: []string{"name", "service", "from", "to", "share", "cap"},
		AddRows: addRows,
	}
	return l.Command()
}

func addRows(content document.Content, t *table.Table) {
	for _, v := range content.(*document.Shifts).Shifts {
		t.Add(v.Name, v.Service, v.From, v.To, v.Share, v.Cap)
	}
}
