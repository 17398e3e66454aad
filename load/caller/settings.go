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

// Settings configures callers and the run that they make.
type Settings struct {
	Admin      string        `toml:"admin"`
	Level      string        `toml:"level"`
	Seed       uint64        `toml:"seed"`
	Entries    []string      `toml:"entries"`   // entry VMs to ask for lookups
	Upstreams  []string      `toml:"upstreams"` // admin addresses of stand-ins; none means no comparison with runs
	Warmup     time.Duration `toml:"warmup"`    // left out of the figures
	Duration   time.Duration `toml:"duration"`  // of the measurement, after the warm-up
	Most       int           `toml:"most"`      // requests in flight; further ones wait in the caller
	Slack      time.Duration `toml:"slack"`     // spread between a token's use and the start of its run
	Services   []Service     `toml:"service"`
	Workspaces []Workspace   `toml:"workspace"`
}

// Service is a service as callers use it.
type Service struct {
	Name    ident.Service `toml:"name"`
	Prefix  string        `toml:"prefix"`
	Once    bool          `toml:"once"` // non-idempotent
	Timeout time.Duration `toml:"timeout"`
	Body    ident.Bytes   `toml:"body"`    // size of a request body
	Answer  ident.Bytes   `toml:"answer"`  // size of an answer
	Uploads float64       `toml:"uploads"` // fraction of requests that are uploads
	Upload  ident.Bytes   `toml:"upload"`  // size of an upload
	Pace    ident.BitRate `toml:"pace"`    // of an upload; 0 means as fast as the connection takes it
	Repeat  float64       `toml:"repeat"`  // fraction of non-idempotent requests sent again with the same key
	Direct  []string      `toml:"direct"`  // endpoints, for calls without an entry VM
}

// Workspace is a customer with its entitlement and its traffic.
type Workspace struct {
	Name    ident.Workspace           `toml:"name"`
	Key     string                    `toml:"key"`
	Rate    ident.RequestRate         `toml:"rate"` // entitlement over the whole fleet
	Burst   float64                   `toml:"burst"`
	Offered float64                   `toml:"offered"` // fraction of the rate that is offered; 0 means 0.6
	Pattern string                    `toml:"pattern"` // steady, burst, tenant
	Factor  float64                   `toml:"factor"`  // on the offered rate; 0 means 3 for burst and 10 for tenant
	From    time.Duration             `toml:"from"`    // start of the factor, after the warm-up
	Span    time.Duration             `toml:"span"`    // length of the factor; 0 means 10 s for burst and to the end for tenant
	Mix     map[ident.Service]float64 `toml:"mix"`     // weights of services; none means equal
	Sources []netip.Addr              `toml:"sources"` // local addresses of the callers
}

// Patterns are the accepted shapes of traffic.
var Patterns = []string{"steady", "burst", "tenant"}

// Defaults returns the settings that apply where the file says nothing.
func Defaults() Settings {
	return Settings{
		Admin: "127.0.0.1:0", Level: "warning", Seed: 1, Warmup: 2 * time.Second, Duration: 20 * time.Second,
		Most: 4000, Slack: 50 * time.Millisecond,
	}
}

// Check implements settings.Checkable.
func (s *Settings) Check(c *settings.Checker) { s.CheckAs(c, "") }

// CheckAs reports every fault under keys that start with prefix, for settings within others.
func (s *Settings) CheckAs(c *settings.Checker, prefix string) {
	s.fill()
	c.Address(prefix+"admin", s.Admin)
	c.OneOf(prefix+"level", s.Level, process.LogLevels...)
	for i, a := range s.Entries {
		c.Address(fmt.Sprintf("%sentries[%d]", prefix, i), a)
	}
	for i, a := range s.Upstreams {
		c.Address(fmt.Sprintf("%supstreams[%d]", prefix, i), a)
	}
	c.Duration(prefix+"warmup", s.Warmup, 0, time.Minute)
	c.Duration(prefix+"duration", s.Duration, 100*time.Millisecond, 10*time.Minute)
	c.Duration(prefix+"slack", s.Slack, 0, 10*time.Second)
	if s.Most < 1 || s.Most > 20_000 {
		c.Fail(prefix+"most", fmt.Sprint(s.Most), "1 to 20000")
	}
	if len(s.Services) == 0 {
		c.Fail(prefix+"service", "none", "at least one [[service]]")
	}
	known := make(map[ident.Service]bool)
	for i := range s.Services {
		known[s.Services[i].Name] = true
		s.Services[i].check(c, fmt.Sprintf("%sservice[%d].", prefix, i))
	}
	if len(s.Workspaces) == 0 {
		c.Fail(prefix+"workspace", "none", "at least one [[workspace]]")
	}
	for i := range s.Workspaces {
		s.Workspaces[i].check(c, fmt.Sprintf("%sworkspace[%d].", prefix, i), known)
	}
}

func (s *Service) check(c *settings.Checker, key string) {
	c.Name(key+"name", string(s.Name))
	if len(s.Prefix) < 3 || s.Prefix[0] != '/' || s.Prefix[len(s.Prefix)-1] != '/' {
		c.Fail(key+"prefix", fmt.Sprintf("%q", s.Prefix), "a path such as /forecast/")
	}
	c.Duration(key+"timeout", s.Timeout, time.Millisecond, 24*time.Hour)
	checkSize(c, key+"body", s.Body)
	checkSize(c, key+"answer", s.Answer)
	checkSize(c, key+"upload", s.Upload)
	checkPart(c, key+"uploads", s.Uploads)
	checkPart(c, key+"repeat", s.Repeat)
	if s.Pace < 0 {
		c.Fail(key+"pace", fmt.Sprint(s.Pace), "Mbit/s, 0 or more")
	}
	for i, a := range s.Direct {
		c.Address(fmt.Sprintf("%sdirect[%d]", key, i), a)
	}
}

func checkSize(c *settings.Checker, key string, size ident.Bytes) {
	if size < 0 || size > 1<<30 {
		c.Fail(key, fmt.Sprint(size), "0 to 1 GiB")
	}
}

func checkPart(c *settings.Checker, key string, part float64) {
	if part < 0 || part > 1 {
		c.Fail(key, fmt.Sprint(part), "0 to 1")
	}
}

func (w *Workspace) check(c *settings.Checker, key string, known map[ident.Service]bool) {
	c.Name(key+"name", string(w.Name))
	if w.Rate <= 0 {
		c.Fail(key+"rate", fmt.Sprint(w.Rate), "requests per second above 0")
	}
	if w.Burst < 1 {
		c.Fail(key+"burst", fmt.Sprint(w.Burst), "at least 1")
	}
	c.OneOf(key+"pattern", w.Pattern, Patterns...)
	if w.Offered < 0 || w.Factor < 0 {
		c.Fail(key+"offered, factor", fmt.Sprintf("%g, %g", w.Offered, w.Factor), "0 or more")
	}
	c.Duration(key+"from", w.From, 0, 10*time.Minute)
	c.Duration(key+"span", w.Span, 0, 10*time.Minute)
	for _, name := range slices.Sorted(maps.Keys(w.Mix)) {
		weight := w.Mix[name]
		if !known[name] {
			c.Fail(key+"mix."+string(name), "an unknown service", "the name of a [[service]]")
		}
		if weight < 0 {
			c.Fail(key+"mix."+string(name), fmt.Sprint(weight), "0 or more")
		}
	}
}

// fill replaces zero values by defaults.
func (s *Settings) fill() {
	for i := range s.Services {
		if s.Services[i].Timeout == 0 {
			s.Services[i].Timeout = 2 * time.Second
		}
		if s.Services[i].Answer == 0 {
			s.Services[i].Answer = 512
		}
	}
	for i := range s.Workspaces {
		s.Workspaces[i].fill(s.Duration)
	}
}

func (w *Workspace) fill(duration time.Duration) {
	if w.Offered == 0 {
		w.Offered = 0.6
	}
	switch w.Pattern {
	case "":
		w.Pattern = "steady"
	case "burst":
		if w.Factor == 0 {
			w.Factor = 3
		}
		if w.Span == 0 {
			w.Span = 10 * time.Second
		}
	case "tenant":
		if w.Factor == 0 {
			w.Factor = 10
		}
		if w.Span == 0 {
			w.Span = duration
		}
	}
}

// Entitlements returns the rate and burst of every workspace.
func (s *Settings) Entitlements() []report.Entitlement {
	list := make([]report.Entitlement, len(s.Workspaces))
	for i, w := range s.Workspaces {
		list[i] = report.Entitlement{Workspace: w.Name, Rate: w.Rate, Burst: w.Burst}
	}
	return list
}
