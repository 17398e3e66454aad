package catalog

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"cuminfall.example/fleet/fault"
	"cuminfall.example/fleet/ident"
)

func validCatalog() *Catalog {
	return &Catalog{Version: 1, Items: Items{
		Routes: map[string]Route{
			"a": {Name: "a", Host: "h", Prefix: "/x/", Timeout: time.Second, Splits: []Split{{"s", 1}}},
			"b": {Name: "b", Host: "H", Prefix: "/x/y/", Splits: []Split{{"s", 0}, {"t", 3}}},
		},
		Services:   map[ident.Service]Service{"s": {}, "t": {}},
		Workspaces: map[ident.Workspace]Workspace{"w": {Name: "w", Keys: []string{"k"}}},
	}}
}

// Guards against accepting a catalog that VMs cannot use to serve requests, such as a route to an unknown service.
func TestCheck(t *testing.T) {
	cases := map[string]func(*Catalog){
		"":                func(*Catalog) {},
		"unknown service": func(c *Catalog) { delete(c.Services, "t") },
		"same host and prefix": func(c *Catalog) {
			c.Routes["c"] = Route{Host: "h", Prefix: "/x/", Splits: []Split{{"s", 1}}}
		},
		"no weight":       func(c *Catalog) { r := c.Routes["a"]; r.Splits = []Split{{"s", 0}}; c.Routes["a"] = r },
		"negative weight": func(c *Catalog) { r := c.Routes["a"]; r.Splits = []Split{{"s", 2}, {"t", -1}}; c.Routes["a"] = r },
		"long timeout":    func(c *Catalog) { r := c.Routes["a"]; r.Timeout = 11 * time.Minute; c.Routes["a"] = r },
		"no host":         func(c *Catalog) { r := c.Routes["a"]; r.Host = ""; c.Routes["a"] = r },
		"shared key":      func(c *Catalog) { c.Workspaces["v"] = Workspace{Name: "v", Keys: []string{"k"}} },
	}
	for name, modify := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c := validCatalog()
			modify(c)
			err := c.Check()
			if name == "" {
				is.NoErr(err)
				return
			}
			is.Equal(fault.Of(err).Code, fault.Invalid)
		})
	}
}

// Guards against a request being sent to a route with a shorter prefix than another matching route has.
func TestLongestPrefix(t *testing.T) {
	is := is.New(t)
	table := NewTable(validCatalog())
	is.Equal(table.Route("h", "/x/y/z").Name, "b")
	is.Equal(table.Route("h", "/x/z").Name, "a")
	is.Equal(table.Route("h", "/z"), nil)
	is.Equal(table.Route("other", "/x/"), nil)
	is.Equal(table.Workspace("k").Name, ident.Workspace("w"))
	is.Equal(table.Workspace("l"), nil)
}

// Guards against Apply modifying the base catalog, which is still in use while the next version is built.
func TestApplyPatchKeepsBase(t *testing.T) {
	is := is.New(t)
	base := validCatalog()
	ch := &Change{Version: 2, Items: Items{Routes: map[string]Route{"c": {Name: "c", Host: "h", Prefix: "/c/", Splits: []Split{{"s", 1}}}}}}
	ch.Remove.Routes = []string{"a"}
	next := base.Apply(ch)
	is.Equal(len(base.Routes), 2)
	is.True(base.Routes["a"].Name == "a")
	is.Equal(len(next.Routes), 2)
	is.Equal(next.Routes["c"].Name, "c")
	is.Equal(next.Version, Version(2))
	is.NoErr(next.Check())
}

// Guards against a change of one route being sent to all VMs with the full catalog. That traffic saturated the links
// of small VMs, which then served requests by an outdated version.
func TestMinimizeHasSameResult(t *testing.T) {
	is := is.New(t)
	withSources := func(c *Catalog) *Catalog {
		for n, r := range c.Routes {
			r.Source = []byte(fmt.Sprintf("%+v", r.Splits))
			c.Routes[n] = r
		}
		for n, s := range c.Services {
			s.Source = []byte(n)
			c.Services[n] = s
		}
		for n, w := range c.Workspaces {
			w.Source = []byte(n)
			c.Workspaces[n] = w
		}
		c.Limits = &Limits{MaxBodyBytes: 1}
		return c
	}
	base, next := withSources(validCatalog()), withSources(validCatalog())
	r := next.Routes["b"]
	r.Splits, r.Source = []Split{{"s", 5}}, []byte("other")
	next.Routes["b"], next.Routes["c"] = r, Route{Name: "c", Host: "c", Prefix: "/", Splits: []Split{{"s", 1}}, Source: []byte("c")}
	delete(next.Services, "t")
	delete(next.Workspaces, "w")
	full := &Change{Digest: "d", Base: 1, Version: 2, Full: true, Limits: next.Limits, Items: next.Items}
	minimal := base.Minimize(full)
	is.Equal(len(minimal.Routes), 2)
	is.Equal(len(minimal.Services), 0)
	is.Equal(base.Apply(minimal), base.Apply(full))
	is.Equal(base.Minimize(&Change{Full: true, Base: 7}).Full, true) // the base is another version
}
