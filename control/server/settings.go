package server

import (
	"time"

	"cuminfall.example/fleet/ident"
	"cuminfall.example/fleet/process"
	"cuminfall.example/fleet/settings"
)

// Settings are the contents of a control member's settings file.
type Settings struct {
	Name    string          `toml:"name"`
	Address ident.Address   `toml:"address"` // address by which other members, entry VMs and operators reach this member
	Listen  ident.Address   `toml:"listen"`  // address to listen on, if it differs from key address
	Admin   ident.Address   `toml:"admin"`   // address that serves metrics and health
	Data    string          `toml:"data"`    // path of the data folder
	Peers   []ident.Address `toml:"peers"`   // addresses of other members
	Level   string          `toml:"level"`
	Lease   time.Duration   `toml:"lease"`
	Plan    time.Duration   `toml:"plan"`
	Suspect time.Duration   `toml:"suspect"`
	Offline time.Duration   `toml:"offline"`
}

// DefaultSettings returns the settings that apply to keys that the file does not contain.
func DefaultSettings() *Settings {
	t := DefaultTimings
	return &Settings{Level: "info", Lease: t.LeaseDuration, Plan: t.PlanInterval, Suspect: t.SuspectTimeout, Offline: t.RemovalTimeout}
}

// ListenAddress returns the address that the member listens on.
func (s *Settings) ListenAddress() string {
	if s.Listen != "" {
		return string(s.Listen)
	}
	return string(s.Address)
}

// Timings returns the timings that the settings give.
func (s *Settings) Timings() Timings {
	return Timings{LeaseDuration: s.Lease, PlanInterval: s.Plan, SuspectTimeout: s.Suspect, RemovalTimeout: s.Offline}
}

// Check implements settings.Checkable.
func (s *Settings) Check(c *settings.Checker) {
	c.Name("name", s.Name)
	c.Address("address", string(s.Address))
	if s.Listen != "" {
		c.Address("listen", string(s.Listen))
	}
	c.Address("admin", string(s.Admin))
	if s.Admin == s.Address && s.Admin != "" {
		c.Fail("admin", string(s.Admin), "an address other than that of key address")
	}
	if s.Data == "" {
		c.Fail("data", "none", "a folder")
	}
	for _, p := range s.Peers {
		c.Address("peers", string(p))
	}
	c.OneOf("level", s.Level, process.LogLevels...)
	c.Duration("lease", s.Lease, 500*time.Millisecond, time.Minute)
	c.Duration("plan", s.Plan, 10*time.Millisecond, 10*time.Second)
	c.Duration("suspect", s.Suspect, 500*time.Millisecond, 10*time.Minute)
	c.Duration("offline", s.Offline, s.Suspect, time.Hour)
}
