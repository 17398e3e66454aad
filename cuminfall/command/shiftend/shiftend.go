package shiftend

import (
	"cuminfall.example/cuminfall/command"
	"cuminfall.example/cuminfall/section"
	"cuminfall.example/fleet/document"
)

// New returns the "shift end" command.
func New(f *command.Factory) *command.Command {
	return section.End(f, "shift", document.ShiftsSection)
}
