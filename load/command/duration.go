package command

import (
	"time"

	"cuminfall.example/fleet/fault"
)

// TextDuration is a duration that is encoded in JSON as text, such as "55ms".
type TextDuration struct{ time.Duration }

// MarshalText implements encoding.TextMarshaler.
func (s TextDuration) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (s *TextDuration) UnmarshalText(text []byte) error {
	d, err := time.ParseDuration(string(text))
	s.Duration = d
	return fault.Wrap(err, fault.Invalid, "read duration", "")
}
