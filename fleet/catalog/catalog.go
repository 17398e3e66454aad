package catalog

import (
	"encoding/json"
	"sort"
	"strings"
	"time"

	"cuminfall.example/fleet/ident"
)

// Version numbers accepted catalogs; it grows in uneven steps.
type Version uint64

// Split is one part of a route's traffic.
type Split struct {
	Service ident.Service `json:"service"`
	Weight  float64       `json:"weight"`
}

// Route says where the requests of one host and path prefix go.
type Route struct {
	Name           string          `json:"name"`
	Host           string          `json:"host"`
	Prefix         string          `json:"prefix"`
	Idempotent     bool            `json:"idempotent,omitempty"` // may run more than once
	Timeout        time.Duration   `json:"timeout"`              // longest time that a caller is kept waiting; 0 means no bound
	TargetLatency  time.Duration   `json:"goal"`                 // response time that callers expect
	MaxAttempts    int             `json:"attempts"`             // most upstreams that one request may be sent to
	Priority       int             `json:"rank"`                 // 0 is the most important
	Splits         []Split         `json:"splits"`
	AllowAnonymous bool            `json:"open,omitempty"`   // needs no key
	Sticky         bool            `json:"sticky,omitempty"` // upstreams serve an object faster that they handled before
	AllowedRegions []ident.Region  `json:"homes,omitempty"`  // regions that may serve it; none means all
	Source         json.RawMessage `json:"text,omitempty"`   // as the operator wrote it
}

// Service is a group of upstreams that serve the same requests.
type Service struct {
	Name           ident.Service     `json:"name"`
	HealthPath     string            `json:"health"`
	MaxConnections ident.Connections `json:"connections"` // that one upstream accepts from all callers together
	ColdStart      time.Duration     `json:"cold"`        // how long an upstream is cold after its start
	ColdRate       ident.RequestRate `json:"coldrate"`    // that a cold upstream bears
	Source         json.RawMessage   `json:"text,omitempty"`
}

// Workspace is a customer with its keys and rate.
type Workspace struct {
	Name           ident.Workspace   `json:"name"`
	Keys           []string          `json:"keys"`
	Priority       *int              `json:"rank,omitempty"`  // in place of the route's; nil leaves the route's
	Rate           ident.RequestRate `json:"rate,omitempty"`  // 0 means no limit
	Burst          float64           `json:"burst,omitempty"` // requests
	AllowedRegions []ident.Region    `json:"homes,omitempty"`
	Source         json.RawMessage   `json:"text,omitempty"`
}

// Limits bound what callers may send.
type Limits struct {
	MaxHeaderBytes ident.Bytes     `json:"head"`
	MaxBodyBytes   ident.Bytes     `json:"body"`
	HeaderTimeout  time.Duration   `json:"headwait"`
	IdleTimeout    time.Duration   `json:"idle"`
	Source         json.RawMessage `json:"text,omitempty"`
}

// Items are routes, services and workspaces by name.
type Items struct {
	Routes     map[string]Route              `json:"routes,omitempty"`
	Services   map[ident.Service]Service     `json:"services,omitempty"`
	Workspaces map[ident.Workspace]Workspace `json:"workspaces,omitempty"`
}

// Catalog is one version of the whole.
type Catalog struct {
	Version Version `json:"version"`
	Limits  *Limits `json:"limits,omitempty"`
	Items
}

// Table finds routes and keys of a catalog; it is built once for each version.
type Table struct {
	Catalog        *Catalog
	routesByHost   map[string][]*Route // longest prefix first
	workspaceByKey map[string]*Workspace
}

// NewTable indexes a catalog, which must not change afterwards.
func NewTable(c *Catalog) *Table {
	t := &Table{Catalog: c, routesByHost: map[string][]*Route{}, workspaceByKey: map[string]*Workspace{}}
	for _, r := range c.Routes {
		host := strings.ToLower(r.Host)
		t.routesByHost[host] = append(t.routesByHost[host], &r)
	}
	for _, routes := range t.routesByHost {
		sort.Slice(routes, func(i, j int) bool { return len(routes[i].Prefix) > len(routes[j].Prefix) })
	}
	for _, w := range c.Workspaces {
		for _, k := range w.Keys {
			t.workspaceByKey[k] = &w
		}
	}
	return t
}

// Route returns the route with the longest prefix of path, or nil.
func (t *Table) Route(host, path string) *Route {
	for _, r := range t.routesByHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Workspace returns the holder of a key, or nil.
func (t *Table) Workspace(key string) *Workspace { return t.workspaceByKey[key] }

// HasWorkspaces reports whether requests need a key.
func (t *Table) HasWorkspaces() bool { return len(t.Catalog.Workspaces) > 0 }

// Service returns a service's settings; an unknown one has zero values.
func (t *Table) Service(name ident.Service) Service { return t.Catalog.Services[name] }
