package document

import (
	"encoding/hex"
	"fmt"
	"math"
	"strings"
	"time"

	"cuminfall.example/fleet/fault"
	"cuminfall.example/fleet/ident"
	"cuminfall.example/fleet/settings"
)

// Limits of a service that does not set its own.
const (
	DefaultMaxBody    ident.Bytes = 1 << 20
	DefaultMaxTimeout             = time.Minute
)

const hashHexDigits = 64 // length of a SHA-256 hash in hex

// checker collects the problems found in a document.
type checker struct {
	problems []string
}

func (c *checker) add(format string, args ...any) {
	c.problems = append(c.problems, fmt.Sprintf(format, args...))
}

// name requires a valid name that is not in seen, and adds it there.
func (c *checker) name(item, value string, seen map[string]bool) {
	if !settings.ValidName(value) {
		c.add("%s %q: name must be 1 to 63 letters, digits, '-' or '_'", item, value)
	}
	if seen[value] {
		c.add("%s %q: listed twice", item, value)
	}
	seen[value] = true
}

func (c *checker) hash(item, name, value string) {
	if _, err := hex.DecodeString(value); err != nil || len(value) != hashHexDigits {
		c.add("%s %q: hash must be the SHA-256 in %d hex digits", item, name, hashHexDigits)
	}
}

// Check returns an error with the code fault.Invalid that lists all problems of the document, or nil.
func (d *Document) Check() error {
	c := &checker{}
	placeKinds := c.topology(&d.Topology)
	services := c.services(&d.Services)
	c.workspaces(&d.Workspaces)
	c.drains(&d.Drains, placeKinds)
	c.shifts(&d.Shifts, placeKinds, services)
	c.owners(&d.Owners)
	if len(c.problems) == 0 {
		return nil
	}
	return fault.New(fault.Invalid, "check document", "", "%s", strings.Join(c.problems, "; "))
}

// topology checks the section and returns the kind of each region and failure domain by its name.
func (c *checker) topology(p *Topology) map[string]TargetKind {
	kinds := make(map[string]TargetKind)
	seen := make(map[string]bool)
	for _, r := range p.Regions {
		c.name("region", string(r.Name), seen)
		kinds[string(r.Name)] = RegionKind
	}
	for _, d := range p.Domains {
		c.name("domain", string(d.Name), seen)
		if kinds[string(d.Region)] != RegionKind {
			c.add("domain %q: unknown region %q", d.Name, d.Region)
		}
		kinds[string(d.Name)] = DomainKind
	}
	pairs := make(map[string]bool)
	for _, l := range p.Links {
		c.link(l, kinds, pairs)
	}
	for _, b := range p.Blocks {
		if !b.Prefix.IsValid() {
			c.add("block: missing or bad prefix")
		}
		if kinds[string(b.Region)] != RegionKind {
			c.add("block %s: unknown region %q", b.Prefix, b.Region)
		}
	}
	return kinds
}

func (c *checker) link(l Link, kinds map[string]TargetKind, pairs map[string]bool) {
	if kinds[string(l.From)] != RegionKind || kinds[string(l.To)] != RegionKind || l.From == l.To {
		c.add("link %q to %q: must join two known regions", l.From, l.To)
	}
	if !isFiniteNonNegative(float64(l.Rate)) {
		c.add("link %q to %q: rate must be 0 or more Mbit/s", l.From, l.To)
	}
	pair := string(l.From) + ">" + string(l.To)
	if pairs[pair] {
		c.add("link %q to %q: listed twice", l.From, l.To)
	}
	pairs[pair] = true
}

func (c *checker) services(s *Services) map[string]bool {
	seen := make(map[string]bool)
	prefixes := make(map[string]bool)
	for _, v := range s.Services {
		c.name("service", string(v.Name), seen)
		if !strings.HasPrefix(v.Prefix, "/") || !strings.HasSuffix(v.Prefix, "/") || v.Prefix == "/" {
			c.add("service %q: prefix %q must begin and end with '/' and name a path", v.Name, v.Prefix)
		}
		if strings.HasPrefix(v.Prefix, ReservedPrefix) {
			c.add("service %q: prefix %q is reserved", v.Name, v.Prefix)
		}
		if prefixes[v.Prefix] {
			c.add("service %q: prefix %q is taken", v.Name, v.Prefix)
		}
		prefixes[v.Prefix] = true
		if v.MaxBody < 0 {
			c.add("service %q: body must be 0 or more bytes", v.Name)
		}
		if v.MaxTimeout < 0 {
			c.add("service %q: longest must not be negative", v.Name)
		}
	}
	return seen
}

// ReservedPrefix is the path prefix of cuminfall's own HTTP interface. Services cannot use it.
const ReservedPrefix = "/cuminfall/"

func (c *checker) workspaces(w *Workspaces) {
	seen := make(map[string]bool)
	keys := make(map[string]bool)
	for _, v := range w.Workspaces {
		c.name("workspace", string(v.Name), seen)
		if !isFiniteNonNegative(float64(v.Rate)) || v.Rate == 0 {
			c.add("workspace %q: rate must be above 0 requests per second", v.Name)
		}
		if !isFiniteNonNegative(v.Burst) || v.Burst < 1 {
			c.add("workspace %q: burst must be at least 1 request", v.Name)
		}
		for _, k := range v.Keys {
			c.name("key", string(k.ID), keys)
			if strings.Contains(string(k.ID), "_") {
				c.add("key %q: id must not contain '_'", k.ID)
			}
			c.hash("key", string(k.ID), k.Hash)
		}
	}
}

func (c *checker) drains(d *Drains, placeKinds map[string]TargetKind) {
	seen := make(map[string]bool)
	for _, v := range d.Drains {
		c.name("drain", v.Name, seen)
		switch v.Kind {
		case DomainKind, RegionKind:
			if placeKinds[v.Target] != v.Kind {
				c.add("drain %q: unknown %s %q", v.Name, v.Kind, v.Target)
			}
		case EndpointKind, VMKind:
			if v.Target == "" {
				c.add("drain %q: missing target", v.Name)
			}
		default:
			c.add("drain %q: kind %q must be endpoint, domain, region or vm", v.Name, v.Kind)
		}
	}
}

func (c *checker) shifts(s *Shifts, placeKinds map[string]TargetKind, services map[string]bool) {
	seen := make(map[string]bool)
	for _, v := range s.Shifts {
		c.name("shift", v.Name, seen)
		if !services[string(v.Service)] {
			c.add("shift %q: unknown service %q", v.Name, v.Service)
		}
		if placeKinds[v.From] == "" || placeKinds[v.To] == "" || v.From == v.To {
			c.add("shift %q: from %q and to %q must be two known places", v.Name, v.From, v.To)
		}
		if !isFiniteNonNegative(v.Share) || v.Share > 1 {
			c.add("shift %q: share must be 0 to 1", v.Name)
		}
		if !isFiniteNonNegative(float64(v.Cap)) {
			c.add("shift %q: cap must be 0 or more requests per second", v.Name)
		}
	}
}

func (c *checker) owners(o *Owners) {
	seen := make(map[string]bool)
	known := make(map[Section]bool)
	for _, s := range Sections {
		known[s] = true
	}
	for _, v := range o.Operators {
		c.name("operator", string(v.Name), seen)
		c.hash("operator", string(v.Name), v.Hash)
		for _, s := range v.Sections {
			if !known[s] {
				c.add("operator %q: unknown section %q", v.Name, s)
			}
		}
	}
	for _, v := range o.Monitors {
		c.name("monitor", v.Name, seen)
		c.hash("monitor", v.Name, v.Hash)
	}
}

func isFiniteNonNegative(v float64) bool {
	return v >= 0 && !math.IsInf(v, 0) && !math.IsNaN(v)
}
