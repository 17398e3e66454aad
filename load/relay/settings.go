package relay

import (
	"fmt"
	"time"

	"cuminfall.example/fleet/ident"
	"cuminfall.example/fleet/process"
	"cuminfall.example/fleet/settings"
)

// Settings configures a relay process.
type Settings struct {
	Admin    string         `toml:"admin"`
	LogLevel string         `toml:"level"`
	Links    []LinkSettings `toml:"link"`
}

// LinkSettings configures a link, which forwards connections to Listen to Target.
type LinkSettings struct {
	Name   string        `toml:"name"`
	Listen string        `toml:"listen"`
	Target string        `toml:"target"`
	Delay  time.Duration `toml:"delay"` // one-way delay, applied in both directions
	Rate   ident.BitRate `toml:"rate"`  // Mbit/s of each direction, shared by all connections; 0 means no limit
}

// Defaults returns the default settings.
func Defaults() Settings { return Settings{Admin: "127.0.0.1:0", LogLevel: "info"} }

// maxDelay is the maximum one-way delay of a link.
const maxDelay = 10 * time.Second

// Check implements settings.Checkable.
func (s *Settings) Check(c *settings.Checker) {
	c.Address("admin", s.Admin)
	c.OneOf("level", s.LogLevel, process.LogLevels...)
	if len(s.Links) == 0 {
		c.Fail("link", "none", "at least one [[link]]")
	}
	names := make(map[string]bool)
	for i, l := range s.Links {
		key := fmt.Sprintf("link[%d].", i)
		c.Name(key+"name", l.Name)
		if names[l.Name] {
			c.Fail(key+"name", l.Name, "a name that no other link has")
		}
		names[l.Name] = true
		c.Address(key+"listen", l.Listen)
		c.Address(key+"target", l.Target)
		c.Duration(key+"delay", l.Delay, 0, maxDelay)
		if l.Rate < 0 {
			c.Fail(key+"rate", fmt.Sprint(l.Rate), "Mbit/s, 0 or more")
		}
	}
}
