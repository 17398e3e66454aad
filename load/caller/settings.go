package caller

import (
	"fmt"
	"maps"
	"net/netip"
	"slices"
	"time"

	"cuminfall.example/fleet/ident"
	"cuminfall.example/fleet/process"
	"cuminfall.example/fleet/settings"
	"cuminfall.example/load/report"
)

// Settings configures the traffic of a run and the processes that it uses.
type Settings struct {
	Admin          string        `toml:"admin"`
	LogLevel       string        `toml:"level"`
	Seed           uint64        `toml:"seed"`
	EntryAddresses []string      `toml:"entries"`   // entry VMs that answer lookups
	StandInAdmins  []string      `toml:"upstreams"` // admin addresses of stand-ins; empty means that run records are not compared
	Warmup         time.Duration `toml:"warmup"`    // requests in this time are not part of the figures
	Duration       time.Duration `toml:"duration"`  // length of the measurement after the warm-up
	MaxInFlight    int           `toml:"most"`      // further requests wait in the caller
	RateSlack      time.Duration `toml:"slack"`     // tolerance of the rate check, for varying delays between taking a token and the start of the run
	Services       []Service     `toml:"service"`
	Workspaces     []Workspace   `toml:"workspace"`
}

// Service describes the requests to one service.
type Service struct {
	Name            ident.Service `toml:"name"`
	Prefix          string        `toml:"prefix"`
	NonIdempotent   bool          `toml:"once"`
	Timeout         time.Duration `toml:"timeout"`
	BodySize        ident.Bytes   `toml:"body"`    // size of the body of a request that is not an upload
	ResponseSize    ident.Bytes   `toml:"answer"`  // requested size of the response
	UploadFraction  float64       `toml:"uploads"` // fraction of requests that are uploads
	UploadSize      ident.Bytes   `toml:"upload"`  // size of the body of an upload
	UploadRate      ident.BitRate `toml:"pace"`    // in Mbit/s; 0 means unlimited
	RepeatFraction  float64       `toml:"repeat"`  // fraction of non-idempotent requests that are repeated with the same idempotency key
	DirectEndpoints []string      `toml:"direct"`  // endpoints for calls without an entry VM
}

// Workspace describes a customer: the entitlement and the offered traffic.
type Workspace struct {
	Name            ident.Workspace           `toml:"name"`
	Key             string                    `toml:"key"`
	Rate            ident.RequestRate         `toml:"rate"` // entitlement over all entry VMs, in requests per second
	Burst           float64                   `toml:"burst"`
	OfferedFraction float64                   `toml:"offered"` // offered rate divided by Rate; 0 means 0.6
	Pattern         string                    `toml:"pattern"` // steady, burst, tenant
	PeakFactor      float64                   `toml:"factor"`  // multiplies the offered rate during the peak; 0 means 3 for burst and 10 for tenant
	PeakStart       time.Duration             `toml:"from"`    // counted from the end of the warm-up
	PeakDuration    time.Duration             `toml:"span"`    // 0 means 10 s for burst and until the end for tenant
	ServiceWeights  map[ident.Service]float64 `toml:"mix"`     // relative frequency of each service; empty means equal
	LocalAddrs      []netip.Addr              `toml:"sources"` // addresses from which the callers connect
}

// Patterns lists the allowed traffic patterns.
var Patterns = []string{"steady", "burst", "tenant"}

// Defaults returns the settings for keys that are missing in the file.
func Defaults() Settings {
	return Settings{
		Admin: "127.0.0.1:0", LogLevel: "warning", Seed: 1, Warmup: 2 * time.Second, Duration: 20 * time.Second,
		MaxInFlight: 4000, RateSlack: 50 * time.Millisecond,
	}
}

// Check implements settings.Checkable.
func (s *Settings) Check(c *settings.Checker) { s.CheckWithPrefix(c, "") }

// CheckWithPrefix reports every invalid value to c. It puts prefix before the keys, for settings that are nested
// in others.
func (s *Settings) CheckWithPrefix(c *settings.Checker, prefix string) {
	s.setDefaults()
	c.Address(prefix+"admin", s.Admin)
	c.OneOf(prefix+"level", s.LogLevel, process.LogLevels...)
	for i, a := range s.EntryAddresses {
		c.Address(fmt.Sprintf("%sentries[%d]", prefix, i), a)
	}
	for i, a := range s.StandInAdmins {
		c.Address(fmt.Sprintf("%supstreams[%d]", prefix, i), a)
	}
	c.Duration(prefix+"warmup", s.Warmup, 0, time.Minute)
	c.Duration(prefix+"duration", s.Duration, 100*time.Millisecond, 10*time.Minute)
	c.Duration(prefix+"slack", s.RateSlack, 0, 10*time.Second)
	if s.MaxInFlight < 1 || s.MaxInFlight > 20_000 {
		c.Fail(prefix+"most", fmt.Sprint(s.MaxInFlight), "1 to 20000")
	}
	if len(s.Services) == 0 {
		c.Fail(prefix+"service", "none", "at least one [[service]]")
	}
	serviceNames := make(map[ident.Service]bool)
	for i := range s.Services {
		serviceNames[s.Services[i].Name] = true
		s.Services[i].check(c, fmt.Sprintf("%sservice[%d].", prefix, i))
	}
	if len(s.Workspaces) == 0 {
		c.Fail(prefix+"workspace", "none", "at least one [[workspace]]")
	}
	for i := range s.Workspaces {
		s.Workspaces[i].check(c, fmt.Sprintf("%sworkspace[%d].", prefix, i), serviceNames)
	}
}

func (s *Service) check(c *settings.Checker, key string) {
	c.Name(key+"name", string(s.Name))
	if len(s.Prefix) < 3 || s.Prefix[0] != '/' || s.Prefix[len(s.Prefix)-1] != '/' {
		c.Fail(key+"prefix", fmt.Sprintf("%q", s.Prefix), "a path such as /forecast/")
	}
	c.Duration(key+"timeout", s.Timeout, time.Millisecond, 24*time.Hour)
	checkSize(c, key+"body", s.BodySize)
	checkSize(c, key+"answer", s.ResponseSize)
	checkSize(c, key+"upload", s.UploadSize)
	checkFraction(c, key+"uploads", s.UploadFraction)
	checkFraction(c, key+"repeat", s.RepeatFraction)
	if s.UploadRate < 0 {
		c.Fail(key+"pace", fmt.Sprint(s.UploadRate), "Mbit/s, 0 or more")
	}
	for i, a := range s.DirectEndpoints {
		c.Address(fmt.Sprintf("%sdirect[%d]", key, i), a)
	}
}

func checkSize(c *settings.Checker, key string, size ident.Bytes) {
	if size < 0 || size > 1<<30 {
		c.Fail(key, fmt.Sprint(size), "0 to 1 GiB")
	}
}

func checkFraction(c *settings.Checker, key string, fraction float64) {
	if fraction < 0 || fraction > 1 {
		c.Fail(key, fmt.Sprint(fraction), "0 to 1")
	}
}

func (w *Workspace) check(c *settings.Checker, key string, serviceNames map[ident.Service]bool) {
	c.Name(key+"name", string(w.Name))
	if w.Rate <= 0 {
		c.Fail(key+"rate", fmt.Sprint(w.Rate), "requests per second above 0")
	}
	if w.Burst < 1 {
		c.Fail(key+"burst", fmt.Sprint(w.Burst), "at least 1")
	}
	c.OneOf(key+"pattern", w.Pattern, Patterns...)
	if w.OfferedFraction < 0 || w.PeakFactor < 0 {
		c.Fail(key+"offered, factor", fmt.Sprintf("%g, %g", w.OfferedFraction, w.PeakFactor), "0 or more")
	}
	c.Duration(key+"from", w.PeakStart, 0, 10*time.Minute)
	c.Duration(key+"span", w.PeakDuration, 0, 10*time.Minute)
	for _, name := range slices.Sorted(maps.Keys(w.ServiceWeights)) {
		weight := w.ServiceWeights[name]
		if !serviceNames[name] {
			c.Fail(key+"mix."+string(name), "an unknown service", "the name of a [[service]]")
		}
		if weight < 0 {
			c.Fail(key+"mix."+string(name), fmt.Sprint(weight), "0 or more")
		}
	}
}

// setDefaults replaces zero values of services and workspaces by their defaults.
func (s *Settings) setDefaults() {
	for i := range s.Services {
		if s.Services[i].Timeout == 0 {
			s.Services[i].Timeout = 2 * time.Second
		}
		if s.Services[i].ResponseSize == 0 {
			s.Services[i].ResponseSize = 512
		}
	}
	for i := range s.Workspaces {
		s.Workspaces[i].setDefaults(s.Duration)
	}
}

func (w *Workspace) setDefaults(duration time.Duration) {
	if w.OfferedFraction == 0 {
		w.OfferedFraction = 0.6
	}
	switch w.Pattern {
	case "":
		w.Pattern = "steady"
	case "burst":
		if w.PeakFactor == 0 {
			w.PeakFactor = 3
		}
		if w.PeakDuration == 0 {
			w.PeakDuration = 10 * time.Second
		}
	case "tenant":
		if w.PeakFactor == 0 {
			w.PeakFactor = 10
		}
		if w.PeakDuration == 0 {
			w.PeakDuration = duration
		}
	}
}

// Entitlements returns the rate and burst of each workspace.
func (s *Settings) Entitlements() []report.Entitlement {
	list := make([]report.Entitlement, len(s.Workspaces))
	for i, w := range s.Workspaces {
		list[i] = report.Entitlement{Workspace: w.Name, Rate: w.Rate, Burst: w.Burst}
	}
	return list
}
