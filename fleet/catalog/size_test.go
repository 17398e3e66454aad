package catalog

import (
	"encoding/json"
	"fmt"
	"math"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"cuminfall.example/fleet/ident"
)

// Guards against catalogs that are accepted although they are longer than VMs can read, because of their size as a part of
// the registry was taken for that of the operator's request.
func TestEncodedSizeIsNotExceeded(t *testing.T) {
	rank := math.MinInt
	cases := map[string]func(*Catalog){
		"empty":  func(c *Catalog) { *c = Catalog{} },
		"simple": func(*Catalog) {},
		"many": func(c *Catalog) {
			for i := range 1000 {
				name := fmt.Sprint("r", i)
				c.Routes[name] = Route{Name: name, Host: "h", Prefix: "/" + name + "/", Splits: []Split{{"s", 1}}, Source: json.RawMessage(`{"host":"h"}`)}
			}
		},
		"all fields": func(c *Catalog) {
			c.Version = math.MaxUint64
			c.Limits = &Limits{math.MaxInt64, math.MaxInt64, math.MinInt64, math.MinInt64, json.RawMessage(`{"a":"<>&"}`)}
			c.Routes["c"] = Route{Name: "c", Host: "h", Prefix: "p", Idempotent: true, Timeout: math.MinInt64, LatencyTarget: math.MinInt64, MaxAttempts: math.MinInt,
				Priority: math.MinInt, Splits: []Split{{"s", -math.SmallestNonzeroFloat64}, {"t", -math.MaxFloat64}}, KeyOptional: true, Sticky: true,
				AllowedRegions: []ident.Region{"a", "b"}, Source: json.RawMessage(`{}`)}
			c.Services["u"] = Service{"u", "/h", math.MaxInt32, math.MinInt64, -math.MaxFloat64, json.RawMessage(`{}`)}
			c.Workspaces["x"] = Workspace{"x", []string{"a", "b"}, &rank, -math.MaxFloat64, -math.MaxFloat64, []ident.Region{"a"}, json.RawMessage(`{}`)}
		},
		"escaped": func(c *Catalog) {
			text := strings.Repeat("<\"\\\x00\u2028\xffä\n>&", 20)
			c.Routes[text] = Route{Name: text, Host: text, Prefix: text, Splits: []Split{{ident.Service(text), 1}}, AllowedRegions: []ident.Region{ident.Region(text)},
				Source: json.RawMessage(`{"a":"<>&` + "\u2028" + `"}`), Timeout: time.Second}
		},
	}
	for name, modify := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c := validCatalog()
			modify(c)
			data, err := json.Marshal(c)
			is.NoErr(err)
			size := int(c.EncodedSize())
			is.True(len(data) <= size)
			t.Logf("%d bytes, %d as JSON", size, len(data))
			if name == "many" {
				is.True(size-len(data) <= 100*len(c.Routes))
			}
		})
	}
}
