package shiftlist

import (
	"cuminfall.example/cuminfall/command"
	"cuminfall.example/cuminfall/section"
	"cuminfall.example/cuminfall/table"
	"cuminfall.example/fleet/document"
)

// New returns the command.
func New(f *command.Factory) *command.Command {
	l := &section.List{
		Factory: f, Noun: "shift", Section: document.ShiftsSection,
		Heading: []string{"name", "service", "from", "to", "share", "cap"},
		Fill:    fill,
	}
	return l.Command()
}

func fill(part document.Content, t *table.Table) {
	for _, v := range part.(*document.Shifts).Shifts {
		t.Add(v.Name, v.Service, v.From, v.To, v.Share, v.Cap)
	}
}
