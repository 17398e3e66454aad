package upstream

import (
	"fmt"
	"net/netip"
	"time"

	"cuminfall.example/fleet/ident"
	"cuminfall.example/fleet/process"
	"cuminfall.example/fleet/settings"
)

// Settings configures one process with stand-in endpoints.
type Settings struct {
	Admin     string             `toml:"admin"`
	Level     string             `toml:"level"`
	Seed      uint64             `toml:"seed"`
	Entries   []string           `toml:"entries"` // entry VMs to announce to; none means no announcement
	Linger    time.Duration      `toml:"linger"`  // service continues this long after leave
	Grace     time.Duration      `toml:"grace"`   // longest wait for requests in flight
	Keep      int                `toml:"keep"`    // runs kept in the record
	Endpoints []EndpointSettings `toml:"endpoint"`
	Links     []LinkSettings     `toml:"link"`
}

// EndpointSettings configures one endpoint.
type EndpointSettings struct {
	Service     ident.Service     `toml:"service"`
	Address     ident.Address     `toml:"address"`
	Domain      ident.Domain      `toml:"domain"`
	Slots       ident.Slots       `toml:"slots"`
	Connections ident.Connections `toml:"connections"`
	Queue       int               `toml:"queue"`    // requests that may wait for a slot
	Patience    time.Duration     `toml:"patience"` // longest wait for a slot
	Times       string            `toml:"times"`    // distribution of service times: fixed, exponential, lognormal
	Median      time.Duration     `toml:"median"`   // of the service time
	Spread      float64           `toml:"spread"`   // sigma of the logarithm, for lognormal
	Latency     time.Duration     `toml:"latency"`  // added one way, unless a link matches the caller
	Cold        time.Duration     `toml:"cold"`     // span of slow service after the start
	Slow        float64           `toml:"slow"`     // factor on service time at the very start
	Cache       int               `toml:"cache"`    // requests until the cache is warm
	Miss        float64           `toml:"miss"`     // factor on service time at a cache miss
	Answer      ident.Bytes       `toml:"answer"`   // size of an answer unless the request asks for another
}

// LinkSettings gives the one-way latency between one failure domain and callers in an address range.
type LinkSettings struct {
	Domain  ident.Domain  `toml:"domain"`
	Prefix  netip.Prefix  `toml:"prefix"`
	Latency time.Duration `toml:"latency"`
}

// Distributions are the accepted shapes of service times.
var Distributions = []string{"fixed", "exponential", "lognormal"}

// Defaults returns the settings that apply where the file says nothing.
func Defaults() Settings {
	return Settings{
		Admin: "127.0.0.1:0", Level: "info", Seed: 1,
		Linger: 3 * time.Second, Grace: 30 * time.Second, Keep: 1_000_000,
	}
}

// Check implements settings.Checkable.
func (s *Settings) Check(c *settings.Checker) {
	c.Address("admin", s.Admin)
	c.OneOf("level", s.Level, process.LogLevels...)
	for i, a := range s.Entries {
		c.Address(fmt.Sprintf("entries[%d]", i), a)
	}
	c.Duration("linger", s.Linger, 0, time.Minute)
	c.Duration("grace", s.Grace, 0, time.Hour)
	if s.Keep < 1 {
		c.Fail("keep", fmt.Sprint(s.Keep), "at least 1")
	}
	if len(s.Endpoints) == 0 {
		c.Fail("endpoint", "none", "at least one [[endpoint]]")
	}
	for i := range s.Endpoints {
		s.Endpoints[i].check(c, fmt.Sprintf("endpoint[%d].", i))
	}
	for i, l := range s.Links {
		key := fmt.Sprintf("link[%d].", i)
		c.Name(key+"domain", string(l.Domain))
		c.Duration(key+"latency", l.Latency, 0, 10*time.Second)
		if !l.Prefix.IsValid() {
			c.Fail(key+"prefix", "none", "an address range, such as 127.0.1.0/24")
		}
	}
}

func (s *EndpointSettings) check(c *settings.Checker, key string) {
	s.fill()
	c.Name(key+"service", string(s.Service))
	c.Address(key+"address", string(s.Address))
	c.Name(key+"domain", string(s.Domain))
	if s.Slots < 1 {
		c.Fail(key+"slots", "0", "at least 1")
	}
	if s.Connections < 1 {
		c.Fail(key+"connections", "0", "at least 1")
	}
	if s.Queue < 0 || s.Cache < 0 {
		c.Fail(key+"queue, cache", fmt.Sprintf("%d, %d", s.Queue, s.Cache), "0 or more")
	}
	c.Duration(key+"patience", s.Patience, 0, time.Minute)
	c.OneOf(key+"times", s.Times, Distributions...)
	c.Duration(key+"median", s.Median, 0, time.Hour)
	c.Duration(key+"latency", s.Latency, 0, 10*time.Second)
	c.Duration(key+"cold", s.Cold, 0, time.Hour)
	if s.Spread < 0 || s.Spread > 3 {
		c.Fail(key+"spread", fmt.Sprint(s.Spread), "0 to 3")
	}
	if s.Slow < 1 || s.Miss < 1 {
		c.Fail(key+"slow, miss", fmt.Sprintf("%g, %g", s.Slow, s.Miss), "factors of at least 1")
	}
	if s.Answer < 0 || s.Answer > 1<<30 {
		c.Fail(key+"answer", fmt.Sprint(s.Answer), "0 to 1 GiB")
	}
}

// fill replaces zero values by the defaults of an endpoint.
func (s *EndpointSettings) fill() {
	if s.Times == "" {
		s.Times = "fixed"
	}
	if s.Slow == 0 {
		s.Slow = 1
	}
	if s.Miss == 0 {
		s.Miss = 1
	}
	if s.Answer == 0 {
		s.Answer = 512
	}
	if s.Connections == 0 {
		s.Connections = 330
	}
}
