package catalog

import (
	"fmt"
	"maps"
	"strings"
	"testing"

	"github.com/matryer/is"

	"cuminfall.example/fleet/fault"
	"cuminfall.example/fleet/ident"
)

// spelledHosts are hosts with spellings that mean the same.
var spelledHosts = map[string][]string{
	"jepu9.example":         {"JEPU9.Example", "jepu9.example.", "jepu9.example:8389", "Jepu9.EXAMPLE.:80", "jepu9.example:", " jepu9.example\t", "jepu9\u3002example"},
	"xn--pfel-koa.example":  {"äpfel.example", "ÄPFEL.example", "a\u0308pfel.example", "XN--PFEL-KOA.example.", "äpfel.example:80"},
	"keli.example":          {"\u212aeli.example", "KELI.example", "\uff4beli.example"},
	"strasse.example":       {"STRASSE.example"},
	"[2001:db8::1]":         {"[2001:DB8:0:0::1]:443", "[2001:db8::1]:"},
	"under_score.example":   {"UNDER_SCORE.example:1"},
	"10.0.0.1":              {"10.0.0.1:80", "10.0.0.1."},
	"xn--strae-oqa.example": {"straße.example"},
}

// spelledPaths are path prefixes with spellings that mean the same.
var spelledPaths = map[string][]string{
	"/a-b/":           {"/%61-b/", "/a%2db/", "/a%2Db/"},
	"/%C3%A4/":        {"/ä/", "/%c3%a4/", "/%C3%a4/"},
	"/x%2Fy/":         {"/x%2fy/"},
	"/%zz/%4/%":       {"/%zz/%4/%"},
	"/a%20b%25/":      {"/a%20b%25/"},
	"/Case/../twice/": {"/Case/../twice/"},
}

func route(name, host, prefix string) Route {
	return Route{Name: name, Host: host, Prefix: prefix, Splits: []Split{{"s", 1}}, Source: []byte(`"` + name + host + prefix + `"`)}
}

func catalogOf(routes ...Route) *Catalog {
	c := &Catalog{Version: 1, Items: Items{Routes: map[string]Route{}, Services: map[ident.Service]Service{"s": {}}, Workspaces: map[ident.Workspace]Workspace{}}}
	for _, r := range routes {
		c.Routes[r.Name] = r
	}
	return c
}

func patchOf(routes ...Route) *Change {
	return &Change{Base: 1, Version: 2, Items: catalogOf(routes...).Items}
}

func refusedNaming(t *testing.T, err error, names ...string) {
	t.Helper()
	if err == nil {
		t.Fatal("the change was accepted")
	}
	if code := fault.Of(err).Code; code != fault.Invalid {
		t.Errorf("the code is %q", code)
	}
	for _, name := range names {
		if !strings.Contains(err.Error(), fmt.Sprintf("%q", name)) {
			t.Errorf("the error is %q, expected %q in it", err, name)
		}
	}
}

// Guards against the check of a catalog and the look-up of requests that disagree about what the same host or path is: a
// catalog was accepted in which chance chose the service of a request (review/13).
func TestSpellingsOfOnePlace(t *testing.T) {
	for host, spellings := range spelledHosts {
		for _, spelling := range append(spellings, host) {
			testSpelling(t, host, "/x/", spelling, "/x/")
		}
	}
	for path, spellings := range spelledPaths {
		for _, spelling := range append(spellings, path) {
			testSpelling(t, "h", path, "h", spelling)
		}
	}
}

// testSpelling tests two routes whose hosts and prefixes mean the same.
func testSpelling(t *testing.T, host, prefix, otherHost, otherPrefix string) {
	t.Helper()
	is := is.New(t)
	first, second := route("a", host, prefix), route("b", otherHost, otherPrefix)
	both := catalogOf(first, second)
	full := &Change{Base: 0, Version: 1, Full: true, Items: both.Items}
	refusedNaming(t, both.CheckChange(full), "a", "b", host, otherHost, prefix, otherPrefix)
	for _, ch := range []*Change{patchOf(second), patchOf(first, second)} {
		refusedNaming(t, catalogOf(first).Apply(ch).CheckChange(ch), "a", "b")
	}
	for _, ch := range []*Change{patchOf(first), patchOf(second)} {
		alone := catalogOf().Apply(ch)
		is.NoErr(alone.CheckChange(ch))
		table := NewTable(alone)
		for _, request := range [][2]string{{host, prefix}, {otherHost, otherPrefix}, {host, otherPrefix + "more"}, {otherHost, prefix + "more"}} {
			if table.Route(request[0], request[1]) == nil {
				t.Errorf("%v is not found by %q", ch.Routes, request)
			}
		}
	}
}

// Guards against refusing routes that requests can tell apart.
func TestPlacesThatDiffer(t *testing.T) {
	is := is.New(t)
	c := catalogOf(route("a", "h", "/x/"), route("b", "H.", "/X/"), route("c", "h:80", "/x/y/"), route("d", "h.x", "/x/"), route("e", "h", "/x%2Fy/"), route("f", "::1", "/x/"),
		route("g", "::2", "/x/"), route("i", "h..", "/x/"))
	ch := &Change{Full: true, Items: c.Items}
	is.NoErr(c.CheckChange(ch))
	table := NewTable(c)
	for path, want := range map[string]string{"/x/1": "a", "/X/1": "b", "/x/y/z": "c", "/x%2fy/1": "e", "/%78/y/z": "c"} {
		for _, host := range []string{"h", "H", "h.", "h:99"} {
			is.Equal(table.Route(host, path).Name, want)
		}
	}
	is.Equal(table.Route("h.x:1", "/x/").Name, "d")
	is.Equal(table.Route("::1", "/x/").Name, "f")
	is.Equal(table.Route("::2", "/x/").Name, "g")
}

// Guards against hosts that no request can have.
func TestHostsThatCannotBeRead(t *testing.T) {
	for _, host := range []string{".", ":80", ".:80", " ", "\u200d\u0300.example", "a\u2260b\ufffd.example"} {
		ch := patchOf(route("a", host, "/"))
		refusedNaming(t, catalogOf().Apply(ch).CheckChange(ch), "a", host)
	}
}

// Guards against workspaces that upstreams cannot tell apart, and against a name that adds header fields to requests.
func TestNamesThatCannotBeSent(t *testing.T) {
	for _, name := range []ident.Workspace{"", " t", "t\u00a0", "t\r\nTenant: u", "t\x00"} {
		ch := patchOf()
		ch.Workspaces = map[ident.Workspace]Workspace{name: {Name: name, Keys: []string{"k"}}}
		refusedNaming(t, catalogOf().Apply(ch).CheckChange(ch), string(name))
	}
	ch := patchOf()
	ch.Workspaces = map[ident.Workspace]Workspace{"t u": {Keys: []string{"k"}}, "ä": {Keys: []string{"l"}}, "T u": {Keys: []string{"m"}}}
	is.New(t).NoErr(catalogOf().Apply(ch).CheckChange(ch))
}

// Guards against a catalog of an earlier build that two VMs index differently, as chance decided between routes that differ only in
// spelling, and against routes that were kept apart by it and no longer are.
func TestAcceptedCatalogIsIndexedAlike(t *testing.T) {
	is := is.New(t)
	c := catalogOf(route("z", "Jepu9.example", "/x/"), route("m", "jepu9.example", "/x/"), route("p", "jepu9.example:81", "/x/"), route("q", "jepu9.example.", "/x/"),
		route("long", "JEPU9.example:81", "/x/y/"))
	c.Workspaces = map[ident.Workspace]Workspace{"v": {Name: "v", Keys: []string{" k", ""}}, "w": {Name: "w", Keys: []string{"k", "l "}}, "x": {Name: "x", Keys: []string{" l"}}}
	is.NoErr(c.Check()) // as an earlier build accepted it
	for range 50 {
		copied := *c
		copied.Routes, copied.Workspaces = maps.Clone(c.Routes), maps.Clone(c.Workspaces)
		table := NewTable(&copied)
		for host, want := range map[string]string{"jepu9.example": "m", "JEPU9.example": "m", "jepu9.example:81": "p", "jepu9.example.": "q", "jepu9.example:99": "m"} {
			is.Equal(table.Route(host, "/x/1").Name, want)
			is.Equal(table.Route(host, "/x/y/1").Name, "long")
		}
		is.Equal(table.Workspace("k").Name, ident.Workspace("w"))
		is.Equal(table.Workspace("l").Name, ident.Workspace("w"))
		is.Equal(table.Workspace(""), nil) // a request without a key
	}
}

// Guards against a catalog of an earlier build that can be corrected in one step only, or not at all.
func TestAcceptedCatalogIsCorrectedItemByItem(t *testing.T) {
	is := is.New(t)
	base := catalogOf(route("a", "h", "/x/"), route("b", "H", "/x/"), route("c", "h.", "/x/"), route("d", "i", "/"), route("e", "I", "/"))
	base.Workspaces = map[ident.Workspace]Workspace{"v": {Name: "v", Keys: []string{" k"}}, "w": {Name: "w", Keys: []string{"k"}}}
	step := func(ch *Change, names ...string) {
		t.Helper()
		next := base.Apply(ch)
		is.NoErr(next.Check())
		if len(names) > 0 {
			refusedNaming(t, next.CheckChange(ch), names...)
			return
		}
		is.NoErr(next.CheckChange(ch))
		base = next
	}
	step(patchOf(route("new", "j", "/"))) // what it does not touch may stay
	step(&Change{Full: true, Items: base.Items}, "a", "b")
	step(patchOf(route("c", "H.", "/x/")), "a", "c")
	step(patchOf(route("c", "k", "/x/")))
	removal := patchOf()
	removal.Remove.Routes = []string{"b"}
	step(removal)
	step(patchOf(route("e", "I", "/e/")))
	key := patchOf()
	key.Workspaces = map[ident.Workspace]Workspace{"w": {Name: "w", Keys: []string{"k "}}}
	step(key, "v", "w")
	key.Workspaces = map[ident.Workspace]Workspace{"w": {Name: "w", Keys: []string{""}}}
	step(key, "w")
	key.Workspaces = map[ident.Workspace]Workspace{"w": {Name: "w", Keys: []string{"l", "l", "l "}}}
	step(key)
	step(&Change{Full: true, Items: base.Items})
}

// Guards against errors that name other items at each attempt.
func TestErrorsAreTheSameEachTime(t *testing.T) {
	is := is.New(t)
	build := func() *Catalog {
		c := catalogOf()
		for i := range 40 {
			r := route(fmt.Sprintf("r%02d", i), fmt.Sprintf("H%d", i%7), "/x/")
			c.Routes[r.Name] = r
			c.Workspaces[ident.Workspace(r.Name)] = Workspace{Name: ident.Workspace(r.Name), Keys: []string{"k", fmt.Sprint(i % 3)}}
		}
		return c
	}
	for range 20 {
		c := build()
		is.Equal(fault.Of(c.Check()).Message, `routes "r00" and "r07" share host "H0" and prefix "/x/"`)
		is.Equal(fault.Of(c.CheckChange(&Change{Full: true, Items: c.Items})).Message, `routes "r00" and "r07" share host and prefix: "H0" and "H0", "/x/" and "/x/"`)
		c.Routes = nil
		is.Equal(fault.Of(c.Check()).Message, `workspaces "r00" and "r01" share a key`)
	}
}

func FuzzSpelling(f *testing.F) {
	f.Add("JEPU9.example.:80", "/%61/ä%2f")
	f.Add("[::1]:80", "%")
	f.Fuzz(func(t *testing.T, host, path string) {
		canonical := canonicalPath(path)
		if again := canonicalPath(canonical); again != canonical {
			t.Errorf("path %q becomes %q and then %q", path, canonical, again)
		}
		if i := strings.LastIndexByte(path, '/'); i >= 0 && !strings.HasPrefix(canonical, canonicalPath(path[:i+1])) {
			t.Errorf("%q is not a prefix of %q", path[:i+1], path)
		}
		if lower := CanonicalHost(strings.ToUpper(host)); isASCII(host) && lower != CanonicalHost(host) {
			t.Errorf("host %q becomes %q, and %q in upper case", host, CanonicalHost(host), lower)
		}
	})
}
