package catalog

import (
	"bytes"
	"iter"
	"maps"
	"slices"
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

// Check returns the first error found in a catalog, by the names of its items, with the code fault.Invalid, or nil. All members
// and VMs apply it to the changes in the log, so what it accepts must stay the same in all builds; CheckChange is stricter.
func (c *Catalog) Check() error {
	if c.check(maps.Keys(c.Routes), maps.Keys(c.Workspaces)) == nil {
		return nil
	}
	return c.check(slices.Values(slices.Sorted(maps.Keys(c.Routes))), slices.Values(slices.Sorted(maps.Keys(c.Workspaces))))
}

func (c *Catalog) check(routes iter.Seq[string], workspaces iter.Seq[ident.Workspace]) error {
	names := map[place]string{}
	for name := range routes {
		r := c.Routes[name]
		if err := c.checkRoute(name, &r); err != nil {
			return err
		}
		at := place{r.Host, r.Prefix}
		if other, taken := names[at]; taken {
			return sharedPlaceError(other, name, at)
		}
		names[at] = name
	}
	owners := map[string]ident.Workspace{}
	for name := range workspaces {
		for _, k := range c.Workspaces[name].Keys {
			if other, taken := owners[k]; taken && other != name {
				return sharedKeyError(other, name)
			}
			owners[k] = name
		}
	}
	return nil
}

func sharedPlaceError(a, b string, at place) error {
	return fault.New(fault.Invalid, checkStep, "", "routes %q and %q share host %q and prefix %q", a, b, at.host, at.prefix)
}

// sharedKeyError rejects a key that two workspaces share, because it would not identify the workspace of a request.
func sharedKeyError(a, b ident.Workspace) error {
	return fault.New(fault.Invalid, checkStep, "", "workspaces %q and %q share a key", a, b)
}

// CheckChange returns the first error, with the code fault.Invalid, of what a change has brought into the catalog that resulted
// from it, or nil. Besides what Check rejects, these are items that only their spelling tells apart from another. A patch is not
// rejected for items that it leaves as they are, so that a catalog of an earlier build can be corrected one item at a time.
func (c *Catalog) CheckChange(ch *Change) error {
	if err := checkPlaces(c.Routes, ch.Routes); err != nil {
		return err
	}
	return checkKeys(c.Workspaces, ch.Workspaces)
}

// checkPlaces returns an error if the host of a changed route cannot be read, or if the route shares its place with another.
func checkPlaces(all, changed map[string]Route) error {
	if len(changed) == 0 {
		return nil
	}
	names := map[place][]string{}
	for name, r := range all {
		at, _ := placeOf(&r) // an error counts for changed routes only
		names[at] = append(names[at], name)
	}
	for _, name := range slices.Sorted(maps.Keys(changed)) {
		r := changed[name]
		at, err := placeOf(&r)
		switch {
		case err != nil:
			return fault.New(fault.Invalid, checkStep, "", "host %q of route %q cannot be read: %v", r.Host, name, err)
		case at.host == "":
			return fault.New(fault.Invalid, checkStep, "", "route %q has host %q, expected a name", name, r.Host)
		}
		for _, other := range slices.Sorted(slices.Values(names[at])) {
			if other != name {
				return sharedSpellingError(name, &r, other, all[other])
			}
		}
	}
	return nil
}

func sharedSpellingError(name string, r *Route, otherName string, other Route) error {
	return fault.New(fault.Invalid, checkStep, "", "routes %q and %q share host and prefix: %q and %q, %q and %q", name, otherName,
		r.Host, other.Host, r.Prefix, other.Prefix)
}

// checkKeys returns an error if the name of a changed workspace cannot be sent, or if a key of it is empty or belongs to
// another workspace, too.
func checkKeys(all, changed map[ident.Workspace]Workspace) error {
	if len(changed) == 0 {
		return nil
	}
	owners := map[string][]ident.Workspace{}
	for name, w := range all {
		for _, k := range w.Keys {
			owners[CanonicalKey(k)] = append(owners[CanonicalKey(k)], name)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(changed)) {
		if !IsSendable(name) {
			return fault.New(fault.Invalid, checkStep, "", "workspace %q has a name that no header field can carry", name)
		}
		for _, k := range changed[name].Keys {
			canonical := CanonicalKey(k)
			if canonical == "" {
				return fault.New(fault.Invalid, checkStep, "", "workspace %q has an empty key", name)
			}
			for _, other := range slices.Sorted(slices.Values(owners[canonical])) {
				if other != name {
					return sharedKeyError(name, other)
				}
			}
		}
	}
	return nil
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
