package run

import (
	"time"

	"cuminfall.example/entry/router"
	"cuminfall.example/fleet/process"
	"cuminfall.example/fleet/settings"
)

// Settings holds the contents of the settings file of an entry VM.
type Settings struct {
	Name      string        `toml:"name"`      // name of the VM, unique in the fleet
	Address   string        `toml:"address"`   // address that callers use
	Listen    string        `toml:"listen"`    // address that the VM listens on, if not Address
	Admin     string        `toml:"admin"`     // address that serves /metrics and /health
	Domain    string        `toml:"domain"`    // failure domain of the VM
	Control   []string      `toml:"control"`   // addresses of control VMs
	Level     string        `toml:"level"`     // log level
	Sync      time.Duration `toml:"sync"`      // time between syncs with control
	Timeout   time.Duration `toml:"timeout"`   // timeout of one exchange with control
	Freshness time.Duration `toml:"freshness"` // maximum age of the configuration for requests with a key
	Lifetime  time.Duration `toml:"lifetime"`  // how long callers may use the result of a lookup
	Silence   time.Duration `toml:"silence"`   // time without progress after which a connection is checked
	Dial      time.Duration `toml:"dial"`      // timeout for opening a connection to an upstream
}

// Defaults returns the settings that apply if the file does not give them.
func Defaults() Settings {
	return Settings{
		Level: "info", Sync: router.DefaultSyncInterval, Timeout: 800 * time.Millisecond, Freshness: router.DefaultMaxViewAge,
		Lifetime: router.DefaultLookupLifetime, Silence: 10 * time.Second, Dial: time.Second,
	}
}

// listenAddress returns the address that the VM listens on.
func (s *Settings) listenAddress() string {
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
	// With more than 4 s a withdrawn key could work for longer than the promised few seconds.
	c.Duration("freshness", s.Freshness, 500*time.Millisecond, router.DefaultMaxViewAge)
	// 0 is not allowed, because the router would use its default instead.
	c.Duration("lifetime", s.Lifetime, time.Millisecond, time.Minute)
	c.Duration("silence", s.Silence, 100*time.Millisecond, time.Minute)
	c.Duration("dial", s.Dial, 10*time.Millisecond, 10*time.Second)
}
