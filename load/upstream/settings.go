package upstream

import (
	"fmt"
	"net/netip"
	"time"

	"cuminfall.example/fleet/ident"
	"cuminfall.example/fleet/process"
	"cuminfall.example/fleet/settings"
)

// Settings configures a process with stand-in endpoints.
type Settings struct {
	Admin        string             `toml:"admin"`
	LogLevel     string             `toml:"level"`
	Seed         uint64             `toml:"seed"`
	EntryVMs     []string           `toml:"entries"` // addresses of the entry VMs to announce to; empty disables announcements
	LingerPeriod time.Duration      `toml:"linger"`  // time to keep serving after leaving
	GracePeriod  time.Duration      `toml:"grace"`   // maximum wait for requests in flight
	MaxRuns      int                `toml:"keep"`    // capacity of the run log
	Endpoints    []EndpointSettings `toml:"endpoint"`
	Links        []LinkSettings     `toml:"link"`
}

// EndpointSettings configures an endpoint.
type EndpointSettings struct {
	Service           ident.Service     `toml:"service"`
	Address           ident.Address     `toml:"address"`
	Domain            ident.Domain      `toml:"domain"`
	Slots             ident.Slots       `toml:"slots"`
	MaxConnections    ident.Connections `toml:"connections"`
	MaxQueue          int               `toml:"queue"`    // maximum number of requests that wait for a slot
	QueueTimeout      time.Duration     `toml:"patience"` // maximum wait for a slot
	ShedPause         time.Duration     `toml:"pause"`    // Retry-After of refused requests; 0 omits it
	Distribution      string            `toml:"times"`    // of service times: fixed, exponential or lognormal
	MedianServiceTime time.Duration     `toml:"median"`
	Sigma             float64           `toml:"spread"`  // standard deviation of the logarithm, for lognormal
	Latency           time.Duration     `toml:"latency"` // one-way latency, unless a link matches the caller
	ColdStart         time.Duration     `toml:"cold"`    // duration of slower service after the start
	ColdStartFactor   float64           `toml:"slow"`    // factor on service times at the start, decreasing to 1
	CacheWarmupRuns   int               `toml:"cache"`   // runs until the cache is warm
	CacheMissFactor   float64           `toml:"miss"`    // factor on service times at a cache miss
	ResponseSize      ident.Bytes       `toml:"answer"`  // response body size if the request doesn't set one
}

// LinkSettings sets the one-way latency between a failure domain and the callers in an address range.
type LinkSettings struct {
	Domain       ident.Domain  `toml:"domain"`
	CallerPrefix netip.Prefix  `toml:"prefix"`
	Latency      time.Duration `toml:"latency"`
}

// ServiceTimeDistributions lists the valid distributions of service times.
var ServiceTimeDistributions = []string{"fixed", "exponential", "lognormal"}

// Defaults returns the default settings.
func Defaults() Settings {
	return Settings{
		Admin: "127.0.0.1:0", LogLevel: "info", Seed: 1,
		LingerPeriod: 3 * time.Second, GracePeriod: 30 * time.Second, MaxRuns: 1_000_000,
	}
}

// Check implements settings.Checkable.
func (s *Settings) Check(c *settings.Checker) {
	c.Address("admin", s.Admin)
	c.OneOf("level", s.LogLevel, process.LogLevels...)
	for i, a := range s.EntryVMs {
		c.Address(fmt.Sprintf("entries[%d]", i), a)
	}
	c.Duration("linger", s.LingerPeriod, 0, time.Minute)
	c.Duration("grace", s.GracePeriod, 0, time.Hour)
	if s.MaxRuns < 1 {
		c.Fail("keep", fmt.Sprint(s.MaxRuns), "at least 1")
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
		if !l.CallerPrefix.IsValid() {
			c.Fail(key+"prefix", "none", "an address range, such as 127.0.1.0/24")
		}
	}
}

func (s *EndpointSettings) check(c *settings.Checker, key string) {
	s.setDefaults()
	c.Name(key+"service", string(s.Service))
	c.Address(key+"address", string(s.Address))
	c.Name(key+"domain", string(s.Domain))
	if s.Slots < 1 {
		c.Fail(key+"slots", "0", "at least 1")
	}
	if s.MaxConnections < 1 {
		c.Fail(key+"connections", "0", "at least 1")
	}
	if s.MaxQueue < 0 || s.CacheWarmupRuns < 0 {
		c.Fail(key+"queue, cache", fmt.Sprintf("%d, %d", s.MaxQueue, s.CacheWarmupRuns), "0 or more")
	}
	c.Duration(key+"patience", s.QueueTimeout, 0, time.Minute)
	c.Duration(key+"pause", s.ShedPause, 0, time.Hour)
	c.OneOf(key+"times", s.Distribution, ServiceTimeDistributions...)
	c.Duration(key+"median", s.MedianServiceTime, 0, time.Hour)
	c.Duration(key+"latency", s.Latency, 0, 10*time.Second)
	c.Duration(key+"cold", s.ColdStart, 0, time.Hour)
	if s.Sigma < 0 || s.Sigma > 3 {
		c.Fail(key+"spread", fmt.Sprint(s.Sigma), "0 to 3")
	}
	if s.ColdStartFactor < 1 || s.CacheMissFactor < 1 {
		c.Fail(key+"slow, miss", fmt.Sprintf("%g, %g", s.ColdStartFactor, s.CacheMissFactor), "factors of at least 1")
	}
	if s.ResponseSize < 0 || s.ResponseSize > 1<<30 {
		c.Fail(key+"answer", fmt.Sprint(s.ResponseSize), "0 to 1 GiB")
	}
}

// setDefaults replaces zero values with the defaults of an endpoint.
func (s *EndpointSettings) setDefaults() {
	if s.Distribution == "" {
		s.Distribution = "fixed"
	}
	if s.ColdStartFactor == 0 {
		s.ColdStartFactor = 1
	}
	if s.CacheMissFactor == 0 {
		s.CacheMissFactor = 1
	}
	if s.ResponseSize == 0 {
		s.ResponseSize = 512
	}
	if s.MaxConnections == 0 {
		s.MaxConnections = 330
	}
}
