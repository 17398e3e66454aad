package exactjson

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"unicode/utf8"

	"github.com/matryer/is"
)

type inner struct {
	Host  string `json:"host"`
	Parts []struct {
		Weight float64 `json:"weight"`
	} `json:"parts"`
}

type document struct {
	Version *string          `json:"version"`
	Items   map[string]inner `json:"items,omitempty"`
	Raw     json.RawMessage  `json:"raw"`
}

// Guards against JSON that encoding/json reads in one of several possible ways without an error.
func TestAmbiguousJSONIsRefused(t *testing.T) {
	for text, places := range map[string][]string{
		`{"version":"1","version":"2"}`:                                           {"byte 1", "byte 15", `"version"`},
		`{"version":"1","\u0076ersion":"2"}`:                                      {"byte 1", "byte 15"},
		`{"items":{"a":{"host":"x"},"a":{"host":"y"}}}`:                           {"byte 10", "byte 27", "items"},
		`{"items":{"a":{"host":"x" , "host" : "y"}}}`:                             {"items.a", "byte 15", "byte 28"},
		`{"items":{"a":{"Host":"x"}}}`:                                            {`"Host"`, `"host"`, "byte 15"},
		`{"items":{"a":{"ho\u017ft":"x"}}}`:                                       {`"host"`},
		`{"items":{"a":{"parts":[{"weight":1},{"WEIGHT":2}]}}}`:                   {"items.a.parts.1", `"WEIGHT"`},
		`{"items":{"a":{"parts":[{"weight":1,"weight":1}]}}}`:                     {"items.a.parts.0"},
		`{"raw":{"x":{"y":1,"y":1}}}`:                                             {"raw.x", "byte 13", "byte 19"},
		`{"unknown":[{"y":1,"y":1}]}`:                                             {"unknown.0"},
		"{\"items\":{\"\xff\":{}}}":                                               {"byte 11", "UTF-8"},
		`{"items":{"\ud800":{}}}`:                                                 {"byte 10", "surrogate"},
		`{"items":{"a":{"host":"\udc00\ufffd"}}}`:                                 {"surrogate", "items.a"},
		`{"unknown":{` + members(100) + `,"m7":1}}`:                               {`"m7"`, "unknown"},
		strings.Repeat(`{"x":`, 900) + `{"y":1,"y":2}` + strings.Repeat(`}`, 900): {`"y"`},
	} {
		var d document
		if err := json.Unmarshal([]byte(text), &d); err != nil {
			t.Errorf("%q: %v", text, err)
		}
		err := Unmarshal([]byte(text), &d)
		if err == nil {
			t.Errorf("%q was accepted", text)
			continue
		}
		for _, place := range places {
			if !strings.Contains(err.Error(), place) {
				t.Errorf("%q: the error is %q, expected %q in it", text, err, place)
			}
		}
	}
}

func members(count int) string {
	list := make([]string, count)
	for i := range list {
		list[i] = fmt.Sprintf(`"m%d":%d`, i, i)
	}
	return strings.Join(list, ",")
}

// Guards against refusing JSON that can be read in one way only.
func TestUnambiguousJSONIsAccepted(t *testing.T) {
	is := is.New(t)
	for _, text := range []string{
		`{}`, ` { } `, `null`, `{"version":null,"items":null}`,
		`{"items":{"a":{"host":"x"},"A":{"host":"x"}},"raw":[{"y":1},{"y":1}],"other":{"Version":1,"version":2}}`,
		"{\n\t\"items\" : { \"ä\" : { \"parts\" : [ { \"weight\" : 1e-7 } , { \"weight\":-2 } ] } } ,\r\n \"raw\":\"\\\\ud800 \\\" \\ud83d\\ude00\" }",
		`{"raw":"\ufffd\\ufffd \uFFFD` + "\uFFFD" + `"}`, `{"raw":{"host":1,"Host":2}}`, `{"unknown":{` + members(100) + `}}`,
	} {
		var d document
		is.NoErr(Unmarshal([]byte(text), &d))
	}
	is.True(Unmarshal([]byte(`{} {}`), &document{}) != nil)
}

// FuzzCheck compares the members that Check finds repeated with those that encoding/json's tokens show.
func FuzzCheck(f *testing.F) {
	f.Add(`{"a":{"b":[1,{"c":"\u0064"}]},"a":2}`)
	f.Add(`[{"x":1},{"x":1,"\u0078":null}," \ud800"]`)
	f.Fuzz(func(t *testing.T, text string) {
		var value any
		if json.Unmarshal([]byte(text), &value) != nil || strings.Contains(text, `\u`) || !utf8.ValidString(text) {
			return
		}
		if err := Check([]byte(text), value); (err != nil) != hasRepeatedMember(json.NewDecoder(strings.NewReader(text))) {
			t.Errorf("%q: %v", text, err)
		}
	})
}

// hasRepeatedMember reports whether an object in JSON has two members of one name.
func hasRepeatedMember(d *json.Decoder) bool {
	type container struct {
		names map[string]bool // nil for an array
		key   bool            // a name comes next
	}
	var open []*container
	for {
		token, err := d.Token()
		if err != nil {
			return false
		}
		var current *container
		if len(open) > 0 {
			current = open[len(open)-1]
		}
		if name, isText := token.(string); isText && current != nil && current.key {
			if current.names[name] {
				return true
			}
			current.names[name], current.key = true, false
			continue
		}
		switch token {
		case json.Delim('{'):
			open = append(open, &container{map[string]bool{}, true})
			continue
		case json.Delim('['):
			open = append(open, &container{})
			continue
		case json.Delim('}'), json.Delim(']'):
			open = open[:len(open)-1]
		}
		if len(open) > 0 && open[len(open)-1].names != nil {
			open[len(open)-1].key = true
		}
	}
}
