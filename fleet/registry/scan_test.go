package registry

import (
	"encoding/json"
	"fmt"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"cuminfall.example/fleet/catalog"
	"cuminfall.example/fleet/ident"
)

// largeChange returns a change that replaces the catalog by one with a number of routes.
func largeChange(routes int) *catalog.Change {
	ch := &catalog.Change{Digest: "digest", Version: 1, Full: true, Limits: &catalog.Limits{MaxBodyBytes: 1 << 20, Source: json.RawMessage(`{"maxBodyBytes":1048576}`)},
		Items: catalog.Items{Routes: map[string]catalog.Route{}, Services: map[ident.Service]catalog.Service{"s": {Name: "s", MaxConnections: 300, ColdRate: 50}}}}
	for i := range routes {
		name, prefix := fmt.Sprintf("r-%07d", i), fmt.Sprintf("/lepu%d/ny95/", i)
		ch.Routes[name] = catalog.Route{Name: name, Host: "host", Prefix: prefix, Idempotent: true, Timeout: 2500 * time.Millisecond, LatencyTarget: 600 * time.Millisecond,
			MaxAttempts: 2, Priority: 1, Splits: []catalog.Split{{Service: "s", Weight: 100}}, Sticky: true, AllowedRegions: []ident.Region{},
			Source: json.RawMessage(`{"allowed":[],"attempts":2,"class":"safe","goal":"600ms","host":"host","object":true,"prefix":"` + prefix +
				`","rank":1,"shares":[{"service":"s","weight":100}],"timeout":"2500ms"}`)}
	}
	return ch
}

// texts are texts that JSON writes in different ways.
var texts = rapid.SampledFrom([]string{"", "a", "route-1", "/p/", "ä", `a"b\c`, "<&>", "\x00\u2028", strings.Repeat("x", 100)})

// sources are the operators' texts of an item.
var sources = rapid.SampledFrom([]json.RawMessage{nil, json.RawMessage(`{}`), json.RawMessage(`{"a":[1,-2.5e3,{"b":"}]\\\""}],"c":null}`), json.RawMessage(`"text"`), json.RawMessage(`12`),
	json.RawMessage(strings.Repeat("[", 2000) + strings.Repeat("]", 2000))})

func drawItems(t *rapid.T) catalog.Items {
	var items catalog.Items
	regions := rapid.SampledFrom([][]ident.Region{nil, {}, {"a"}, {"a", "ö"}})
	floats := rapid.SampledFrom([]float64{0, 1, -1.5, 1e300, 1e-7, 0.1})
	if rapid.Bool().Draw(t, "has routes") {
		items.Routes = map[string]catalog.Route{}
		for range rapid.IntRange(0, 3).Draw(t, "routes") {
			r := catalog.Route{Name: texts.Draw(t, "name"), Host: texts.Draw(t, "host"), Prefix: texts.Draw(t, "prefix"), Idempotent: rapid.Bool().Draw(t, "safe"),
				Timeout: time.Duration(rapid.Int64().Draw(t, "timeout")), MaxAttempts: rapid.Int().Draw(t, "attempts"), KeyOptional: rapid.Bool().Draw(t, "open"),
				Sticky: rapid.Bool().Draw(t, "sticky"), AllowedRegions: regions.Draw(t, "homes"), Source: sources.Draw(t, "text")}
			if rapid.Bool().Draw(t, "split") {
				r.Splits = []catalog.Split{{Service: "s", Weight: floats.Draw(t, "weight")}, {}}
			}
			items.Routes[r.Name] = r
		}
	}
	if rapid.Bool().Draw(t, "has services") {
		v := catalog.Service{Name: ident.Service(texts.Draw(t, "service")), HealthPath: texts.Draw(t, "health"), MaxConnections: ident.Connections(rapid.Uint32().Draw(t, "connections")),
			ColdRate: ident.RequestRate(floats.Draw(t, "cold rate")), Source: sources.Draw(t, "text")}
		items.Services = map[ident.Service]catalog.Service{v.Name: v}
	}
	if rapid.Bool().Draw(t, "has workspaces") {
		w := catalog.Workspace{Name: "w", Keys: rapid.SampledFrom([][]string{nil, {}, {"k", "ß"}}).Draw(t, "keys"), Rate: ident.RequestRate(floats.Draw(t, "rate")),
			Burst: floats.Draw(t, "burst"), AllowedRegions: regions.Draw(t, "homes"), Source: sources.Draw(t, "text")}
		if rapid.Bool().Draw(t, "has rank") {
			w.Priority = new(int)
		}
		items.Workspaces = map[ident.Workspace]catalog.Workspace{"w": w}
	}
	return items
}

func drawChange(t *rapid.T) *catalog.Change {
	ch := &catalog.Change{Digest: texts.Draw(t, "digest"), Base: catalog.Version(rapid.Uint64().Draw(t, "base")), Full: rapid.Bool().Draw(t, "full"), Items: drawItems(t)}
	if rapid.Bool().Draw(t, "has limits") {
		ch.Limits = &catalog.Limits{MaxBodyBytes: 5, HeaderTimeout: -time.Second, Source: sources.Draw(t, "text")}
	}
	if rapid.Bool().Draw(t, "removes") {
		ch.Remove.Routes, ch.Remove.Services, ch.Remove.Workspaces = []string{"é"}, []ident.Service{"s", "t"}, []ident.Workspace{"w"}
	}
	return ch
}

// checkScans checks that what the fast decoding accepts is what encoding/json reads.
func checkScans(t interface{ Fatalf(string, ...any) }, data []byte) {
	if change := scanChange(data); change != nil {
		var c Command
		if err := json.Unmarshal(data, &c); err != nil || !reflect.DeepEqual(c, Command{Change: change}) {
			t.Fatalf("%q: decoded as %+v, encoding/json reads %+v, %v", data, change, c.Change, err)
		}
	}
	if r := scanRegistry(data); r != nil {
		var other Registry
		if err := json.Unmarshal(data, &other); err != nil || !reflect.DeepEqual(*r, other) {
			t.Fatalf("%q: decoded as %+v, encoding/json reads %+v, %v", data, r, other, err)
		}
	}
}

// Guards against members that read a change in different ways, since some builds decode it with encoding/json only: also one
// that no build writes.
func TestFastDecodingReadsTheSame(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ch := drawChange(t)
		r := New()
		r.Catalog = &catalog.Catalog{Version: ch.Base, Limits: ch.Limits, Items: ch.Items}
		r.Upstreams["u"] = Upstream{ID: "u", Address: "127.0.0.1:1"}
		r.AcceptedDigests = []string{"a", "b"}
		state, err := r.Encode()
		if err != nil {
			t.Fatalf("%v", err)
		}
		for _, data := range [][]byte{Command{Change: ch}.Encode(), state} {
			checkScans(t, data)
			for range 20 {
				damaged := append([]byte(nil), data...)
				at := rapid.IntRange(0, len(damaged)-1).Draw(t, "at")
				part := rapid.SampledFrom([]string{"", " ", ",", "}", "]", "null", "0", "-0", "1e999", "[]", "{}", `""`, `\`, `"`, `,"base":1`, "\xff"}).Draw(t, "part")
				cut := rapid.IntRange(0, min(3, len(damaged)-at)).Draw(t, "cut")
				damaged = append(append(damaged[:at:at], part...), damaged[at+cut:]...)
				checkScans(t, damaged)
			}
		}
	})
}

// Guards against commands and states that are decoded slowly because of how members write them.
func TestUsualChangesAreDecodedFast(t *testing.T) {
	is := is.New(t)
	ch := largeChange(3)
	ch.Routes["ü<"] = catalog.Route{Name: "ü<", Host: "h", Splits: []catalog.Split{{Service: "s", Weight: 0.5}}}
	rank := -1
	ch.Workspaces = map[ident.Workspace]catalog.Workspace{"w": {Name: "w", Keys: []string{"k"}, Priority: &rank, Rate: 1e21, AllowedRegions: []ident.Region{"a"}}}
	is.True(scanChange(Command{Change: ch}.Encode()) != nil)
	ch.Remove.Services = []ident.Service{"s"}
	is.True(scanChange(Command{Change: ch}.Encode()) != nil)
	r := New()
	is.Equal(r.Apply(1, Command{Change: largeChange(3)}), Result{})
	r.Apply(2, Command{Join: &Upstream{ID: "u", Service: "s", Address: "127.0.0.1:1"}})
	r.Apply(3, Command{Drain: &Drain{Domain: "d", Active: true}})
	state, err := r.Encode()
	is.NoErr(err)
	is.True(scanRegistry(state) != nil)
}

func FuzzDecode(f *testing.F) {
	f.Add(Command{Change: largeChange(2)}.Encode())
	f.Add(Command{Leave: &Departure{ID: "u"}}.Encode())
	r := New()
	r.Apply(1, Command{Change: largeChange(1)})
	if state, err := r.Encode(); err == nil {
		f.Add(state)
	}
	f.Fuzz(func(t *testing.T, data []byte) { checkScans(t, data) })
}

func BenchmarkDecode(b *testing.B) {
	data := Command{Change: largeChange(1600)}.Encode()
	b.SetBytes(int64(len(data)))
	b.ReportAllocs()
	for b.Loop() {
		if _, err := Decode(data); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkDecodeWithoutScan(b *testing.B) {
	data := Command{Change: largeChange(1600)}.Encode()
	b.SetBytes(int64(len(data)))
	b.ReportAllocs()
	for b.Loop() {
		var c Command
		if err := json.Unmarshal(data, &c); err != nil {
			b.Fatal(err)
		}
	}
}
