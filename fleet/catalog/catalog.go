package catalog

import (
	"cmp"
	"encoding/json"
	"maps"
	"slices"
	"strings"
	"time"

	"cuminfall.example/fleet/ident"
)

// Version identifies an accepted catalog. Each accepted change increases it by 1 or more.
type Version uint64

// Split sends a part of a route's requests to one service. Weight is relative to the route's other splits.
type Split struct {
	Service ident.Service `json:"service"`
	Weight  float64       `json:"weight"`
}

// Route defines how requests for one host and path prefix are served, and by which services.
type Route struct {
	Name           string          `json:"name"`
	Host           string          `json:"host"`
	Prefix         string          `json:"prefix"`
	Idempotent     bool            `json:"idempotent,omitempty"` // may run more than once
	Timeout        time.Duration   `json:"timeout"`              // maximum time to answer a request; 0 means no limit
	LatencyTarget  time.Duration   `json:"goal"`                 // response time that callers expect
	MaxAttempts    int             `json:"attempts"`             // maximum number of upstreams that one request may be sent to
	Priority       int             `json:"rank"`                 // 0 is the highest
	Splits         []Split         `json:"splits"`
	KeyOptional    bool            `json:"open,omitempty"`   // requests need no workspace key
	Sticky         bool            `json:"sticky,omitempty"` // upstreams serve an object faster if they have served it before
	AllowedRegions []ident.Region  `json:"homes,omitempty"`  // regions that may serve the route; an empty list means all
	Source         json.RawMessage `json:"text,omitempty"`   // the operator's JSON of this route, without white space
}

// SendsTo reports whether a part of the route's requests goes to a service.
func (r *Route) SendsTo(s ident.Service) bool {
	return slices.ContainsFunc(r.Splits, func(split Split) bool { return split.Service == s && split.Weight > 0 })
}

// Service is a group of upstreams that serve the same requests, with the limits of each upstream.
type Service struct {
	Name           ident.Service     `json:"name"`
	HealthPath     string            `json:"health"`
	MaxConnections ident.Connections `json:"connections"` // maximum per upstream, from all VMs together
	ColdStart      time.Duration     `json:"cold"`        // how long an upstream is cold after its start
	ColdRate       ident.RequestRate `json:"coldrate"`    // maximum rate that a cold upstream can serve
	Source         json.RawMessage   `json:"text,omitempty"`
}

// Workspace is a customer with its keys, rate limit and allowed regions.
type Workspace struct {
	Name           ident.Workspace   `json:"name"`
	Keys           []string          `json:"keys"`
	Priority       *int              `json:"rank,omitempty"`  // replaces the route's priority unless nil
	Rate           ident.RequestRate `json:"rate,omitempty"`  // 0 means no limit
	Burst          float64           `json:"burst,omitempty"` // requests
	AllowedRegions []ident.Region    `json:"homes,omitempty"`
	Source         json.RawMessage   `json:"text,omitempty"`
}

// Limits bound the size of callers' requests and the time for which a connection may wait.
type Limits struct {
	MaxHeaderBytes ident.Bytes     `json:"head"`
	MaxBodyBytes   ident.Bytes     `json:"body"`
	HeaderTimeout  time.Duration   `json:"headwait"`
	IdleTimeout    time.Duration   `json:"idle"`
	Source         json.RawMessage `json:"text,omitempty"`
}

// Items holds routes, services and workspaces by name.
type Items struct {
	Routes     map[string]Route              `json:"routes,omitempty"`
	Services   map[ident.Service]Service     `json:"services,omitempty"`
	Workspaces map[ident.Workspace]Workspace `json:"workspaces,omitempty"`
}

// Catalog is one version of the complete configuration.
type Catalog struct {
	Version Version `json:"version"`
	Limits  *Limits `json:"limits,omitempty"`
	Items
}

// Table is an index of one catalog version, by host, path prefix and workspace key.
type Table struct {
	Catalog        *Catalog
	routesByHost   map[string][]placedRoute // longest prefix first
	workspaceByKey map[string]*Workspace
}

// placedRoute is a route with its canonical prefix.
type placedRoute struct {
	route  *Route
	prefix string
}

// NewTable returns an index of a catalog, which must not be modified afterwards. All VMs get the same index of the same
// catalog, also of one that an earlier build accepted and in which routes or workspaces cannot be told apart.
func NewTable(c *Catalog) *Table {
	t := &Table{Catalog: c, routesByHost: map[string][]placedRoute{}, workspaceByKey: map[string]*Workspace{}}
	for _, r := range c.Routes {
		at, _ := placeOf(&r) // a host that cannot be read is looked up in lower case
		t.routesByHost[at.host] = append(t.routesByHost[at.host], placedRoute{&r, at.prefix})
	}
	for _, routes := range t.routesByHost {
		slices.SortFunc(routes, func(a, b placedRoute) int {
			return cmp.Or(cmp.Compare(len(b.prefix), len(a.prefix)), strings.Compare(a.prefix, b.prefix), strings.Compare(a.route.Name, b.route.Name))
		})
	}
	t.indexKeys(func(key string) bool { return key == CanonicalKey(key) })
	t.indexKeys(func(string) bool { return true })
	return t
}

// indexKeys adds the workspaces' keys that a condition holds for, unless a workspace with a key of the same form is there
// already. A workspace without a key is not found by an empty one.
func (t *Table) indexKeys(includes func(key string) bool) {
	for _, name := range slices.Sorted(maps.Keys(t.Catalog.Workspaces)) {
		w := t.Catalog.Workspaces[name]
		for _, k := range w.Keys {
			canonical := CanonicalKey(k)
			if _, taken := t.workspaceByKey[canonical]; !taken && canonical != "" && includes(k) {
				t.workspaceByKey[canonical] = &w
			}
		}
	}
}

// Route returns the route of a host with the longest prefix that matches path, or nil. Of routes that share both, it returns
// the one that is spelled as the request, or else the first by name.
func (t *Table) Route(host, path string) *Route {
	var found *placedRoute
	routes, canonical := t.routesByHost[CanonicalHost(host)], canonicalPath(path)
	for i := range routes {
		r := &routes[i]
		switch {
		case found != nil && r.prefix != found.prefix:
			return found.route
		case !strings.HasPrefix(canonical, r.prefix):
		case strings.EqualFold(r.route.Host, host) && strings.HasPrefix(path, r.route.Prefix):
			return r.route
		case found == nil:
			found = r
		}
	}
	if found == nil {
		return nil
	}
	return found.route
}

// Workspace returns the workspace that a key belongs to, or nil.
func (t *Table) Workspace(key string) *Workspace { return t.workspaceByKey[CanonicalKey(key)] }

// HasWorkspaces reports whether the catalog defines workspaces, in which case requests need a key.
func (t *Table) HasWorkspaces() bool { return len(t.Catalog.Workspaces) > 0 }

// Service returns the service of a name, or the zero value if the catalog does not have it.
func (t *Table) Service(name ident.Service) Service { return t.Catalog.Services[name] }
