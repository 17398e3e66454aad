package catalog

import (
	"bytes"
	"maps"
	"time"

	"cuminfall.example/fleet/fault"
	"cuminfall.example/fleet/ident"
)

// maxTimeout is the maximum timeout of a route.
const maxTimeout = 10 * time.Minute

const checkStep = "check catalog"

// Change replaces or patches the catalog whose version is Base.
type Change struct {
	Digest  string  `json:"digest"` // hash of the operator's request; a retry has the same digest
	Base    Version `json:"base"`
	Version Version `json:"version"`
	Full    bool    `json:"whole,omitempty"` // Items and Limits replace the complete catalog
	Limits  *Limits `json:"limits,omitempty"`
	Items
	Remove struct {
		Routes     []string          `json:"routes,omitempty"`
		Services   []ident.Service   `json:"services,omitempty"`
		Workspaces []ident.Workspace `json:"workspaces,omitempty"`
	} `json:"remove,omitzero"`
}

// Apply returns the catalog that results from a change, without checking it. It does not modify c.
func (c *Catalog) Apply(ch *Change) *Catalog {
	if ch.Full {
		return &Catalog{Version: ch.Version, Limits: ch.Limits, Items: ch.Items}
	}
	next := &Catalog{Version: ch.Version, Limits: c.Limits, Items: Items{
		Routes: maps.Clone(c.Routes), Services: maps.Clone(c.Services), Workspaces: maps.Clone(c.Workspaces)}}
	if ch.Limits != nil {
		next.Limits = ch.Limits
	}
	for _, n := range ch.Remove.Routes {
		delete(next.Routes, n)
	}
	for _, n := range ch.Remove.Services {
		delete(next.Services, n)
	}
	for _, n := range ch.Remove.Workspaces {
		delete(next.Workspaces, n)
	}
	if next.Routes == nil {
		next.Routes = map[string]Route{}
	}
	if next.Services == nil {
		next.Services = map[ident.Service]Service{}
	}
	if next.Workspaces == nil {
		next.Workspaces = map[ident.Workspace]Workspace{}
	}
	maps.Copy(next.Routes, ch.Routes)
	maps.Copy(next.Services, ch.Services)
	maps.Copy(next.Workspaces, ch.Workspaces)
	return next
}

// Minimize converts a full replacement of c into a patch that has the same result and holds only the differences.
// Any other change is returned as it is. Operators often send a catalog of many routes to change one of them.
func (c *Catalog) Minimize(ch *Change) *Change {
	if !ch.Full || c == nil || c.Version != ch.Base || ch.Limits == nil {
		return ch
	}
	minimal := &Change{Digest: ch.Digest, Base: ch.Base, Version: ch.Version, Limits: ch.Limits, Items: Items{
		Routes: map[string]Route{}, Services: map[ident.Service]Service{}, Workspaces: map[ident.Workspace]Workspace{}}}
	for name, r := range ch.Routes {
		if old, known := c.Routes[name]; !known || !bytes.Equal(old.Source, r.Source) || len(r.Source) == 0 {
			minimal.Routes[name] = r
		}
	}
	for name, s := range ch.Services {
		if old, known := c.Services[name]; !known || !bytes.Equal(old.Source, s.Source) || len(s.Source) == 0 {
			minimal.Services[name] = s
		}
	}
	for name, w := range ch.Workspaces {
		if old, known := c.Workspaces[name]; !known || !bytes.Equal(old.Source, w.Source) || len(w.Source) == 0 {
			minimal.Workspaces[name] = w
		}
	}
	for name := range c.Routes {
		if _, kept := ch.Routes[name]; !kept {
			minimal.Remove.Routes = append(minimal.Remove.Routes, name)
		}
	}
	for name := range c.Services {
		if _, kept := ch.Services[name]; !kept {
			minimal.Remove.Services = append(minimal.Remove.Services, name)
		}
	}
	for name := range c.Workspaces {
		if _, kept := ch.Workspaces[name]; !kept {
			minimal.Remove.Workspaces = append(minimal.Remove.Workspaces, name)
		}
	}
	return minimal
}

// hostPrefix is a combination of host and path prefix, which must be unique among routes.
type hostPrefix struct{ host, prefix string }

// Check returns the first error found in a catalog, with the code fault.Invalid, or nil.
func (c *Catalog) Check() error {
	routeNames := map[hostPrefix]string{}
	for name, r := range c.Routes {
		if err := c.checkRoute(name, &r); err != nil {
			return err
		}
		key := hostPrefix{r.Host, r.Prefix}
		if other, taken := routeNames[key]; taken {
			return fault.New(fault.Invalid, checkStep, "", "routes %q and %q share host %q and prefix %q", other, name, r.Host, r.Prefix)
		}
		routeNames[key] = name
	}
	return c.checkKeys()
}

func (c *Catalog) checkRoute(name string, r *Route) error {
	switch {
	case r.Host == "":
		return fault.New(fault.Invalid, checkStep, "", "route %q has no host", name)
	case r.Timeout > maxTimeout:
		return fault.New(fault.Invalid, checkStep, "", "route %q has a timeout over %s", name, maxTimeout)
	case r.Timeout < 0 || r.LatencyTarget < 0:
		return fault.New(fault.Invalid, checkStep, "", "route %q has a negative time", name)
	}
	total := 0.0
	for _, s := range r.Splits {
		if s.Weight < 0 {
			return fault.New(fault.Invalid, checkStep, "", "route %q has a weight below 0", name)
		}
		if _, known := c.Services[s.Service]; !known {
			return fault.New(fault.Invalid, checkStep, "", "route %q names unknown service %q", name, s.Service)
		}
		total += s.Weight
	}
	if total <= 0 {
		return fault.New(fault.Invalid, checkStep, "", "the weights of route %q add up to 0", name)
	}
	return nil
}

// checkKeys rejects a key that two workspaces share, because it would not identify the workspace of a request.
func (c *Catalog) checkKeys() error {
	owners := map[string]ident.Workspace{}
	for name, w := range c.Workspaces {
		for _, k := range w.Keys {
			if other, taken := owners[k]; taken && other != name {
				return fault.New(fault.Invalid, checkStep, "", "workspaces %q and %q share a key", other, name)
			}
			owners[k] = name
		}
	}
	return nil
}
