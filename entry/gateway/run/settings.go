package run

import (
	"time"

	"cuminfall.example/entry/router"
	"cuminfall.example/fleet/process"
	"cuminfall.example/fleet/settings"
)

// Settings is the settings file of an entry VM.
type Settings struct {
	Name      string        `toml:"name"`      // of the VM, unique in the fleet
	Address   string        `toml:"address"`   // towards callers
	Listen    string        `toml:"listen"`    // where the VM listens, if not on address
	Admin     string        `toml:"admin"`     // /metrics and /health
	Domain    string        `toml:"domain"`    // failure domain of the VM
	Control   []string      `toml:"control"`   // addresses of control VMs
	Level     string        `toml:"level"`     // of the log
	Sync      time.Duration `toml:"sync"`      // between exchanges with control
	Timeout   time.Duration `toml:"timeout"`   // of one exchange with control
	Freshness time.Duration `toml:"freshness"` // oldest configuration that keyed requests are served with
	Lifetime  time.Duration `toml:"lifetime"`  // of lookups
	Silence   time.Duration `toml:"silence"`   // without progress, after which a connection is checked
	Dial      time.Duration `toml:"dial"`      // time-out of a new connection to an upstream
}

// Defaults returns the settings that a file need not give.
func Defaults() Settings {
	return Settings{
		Level: "info", Sync: router.DefaultSyncInterval, Timeout: 800 * time.Millisecond, Freshness: router.DefaultMaxViewAge,
		Lifetime: router.DefaultLookupLifetime, Silence: 10 * time.Second, Dial: time.Second,
	}
}

// bind returns the address that the VM listens on.
func (s *Settings) bind() string {
	if s.Listen != "" {
		return s.Listen
	}
	return s.Address
}

// Check implements settings.Checkable.
func (s *Settings) Check(c *settings.Checker) {
	c.Name("name", s.Name)
	c.Address("address", s.Address)
	if s.Listen != "" {
		c.Address("listen", s.Listen)
	}
	c.Address("admin", s.Admin)
	c.Name("domain", s.Domain)
	c.Addresses("control", s.Control)
	c.OneOf("level", s.Level, process.LogLevels...)
	c.Duration("sync", s.Sync, 10*time.Millisecond, time.Second)
	c.Duration("timeout", s.Timeout, 100*time.Millisecond, 10*time.Second)
	// Over 4 s a withdrawn key could work longer than the promised few seconds.
	c.Duration("freshness", s.Freshness, 500*time.Millisecond, router.DefaultMaxViewAge)
	// The router takes 0 for its default.
	c.Duration("lifetime", s.Lifetime, time.Millisecond, time.Minute)
	c.Duration("silence", s.Silence, 100*time.Millisecond, time.Minute)
	c.Duration("dial", s.Dial, 10*time.Millisecond, 10*time.Second)
}
