package command

import (
	"time"

	"cuminfall.example/fleet/fault"
)

// Span is a duration that is text in JSON, such as "55ms".
type Span struct{ time.Duration }

// MarshalText implements encoding.TextMarshaler.
func (s Span) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (s *Span) UnmarshalText(text []byte) error {
	d, err := time.ParseDuration(string(text))
	s.Duration = d
	return fault.Wrap(err, fault.Invalid, "read duration", "")
}
