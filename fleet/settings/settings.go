package settings

import (
	"fmt"
	"net/netip"
	"os"
	"reflect"
	"sort"
	"strings"
	"time"

	"github.com/BurntSushi/toml"
	"github.com/pkg/errors"

	"cuminfall.example/fleet/fault"
)

// Problem is one fault in a settings file.
type Problem struct {
	Key     string // dotted key
	Allowed string // what the key accepts
	Got     string // what was found
}

// Problems is all faults of one file; it implements error.
type Problems struct {
	File string
	List []Problem
}

// Error lists every fault on a line of its own.
func (p *Problems) Error() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%d faults in settings", len(p.List))
	for _, f := range p.List {
		fmt.Fprintf(&b, "\n%s: %s: got %s, allowed: %s", p.File, f.Key, f.Got, f.Allowed)
	}
	return b.String()
}

// Checker collects faults while settings check themselves.
type Checker struct {
	problems    []Problem
	undecodable map[string]bool // keys that could not be decoded and so were reported already
}

// Fail records that key holds got where only allowed is accepted.
func (c *Checker) Fail(key, got, allowed string) {
	if c.undecodable[key] {
		return
	}
	c.problems = append(c.problems, Problem{Key: key, Got: got, Allowed: allowed})
}

// Name requires a word of letters, digits, '-' and '_'.
func (c *Checker) Name(key, value string) {
	if !ValidName(value) {
		c.Fail(key, fmt.Sprintf("%q", value), "1 to 63 letters, digits, '-' or '_'")
	}
}

// Address requires IP:port.
func (c *Checker) Address(key, value string) {
	if _, err := netip.ParseAddrPort(value); err != nil {
		c.Fail(key, fmt.Sprintf("%q", value), "IP:port, such as 127.0.0.1:7001")
	}
}

// Addresses requires at least one IP:port.
func (c *Checker) Addresses(key string, values []string) {
	if len(values) == 0 {
		c.Fail(key, "none", "a list of IP:port")
	}
	for i, v := range values {
		c.Address(fmt.Sprintf("%s[%d]", key, i), v)
	}
}

// Duration requires a duration within [low, high].
func (c *Checker) Duration(key string, value, low, high time.Duration) {
	if value < low || value > high {
		c.Fail(key, value.String(), fmt.Sprintf("%s to %s", low, high))
	}
}

// OneOf requires one of the words.
func (c *Checker) OneOf(key, value string, allowed ...string) {
	for _, w := range allowed {
		if value == w {
			return
		}
	}
	c.Fail(key, fmt.Sprintf("%q", value), strings.Join(allowed, ", "))
}

// ValidName reports whether s is a word of 1 to 63 letters, digits, '-' and '_'.
func ValidName(s string) bool {
	if s == "" || len(s) > 63 {
		return false
	}
	for _, r := range s {
		ok := r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9' || r == '-' || r == '_'
		if !ok {
			return false
		}
	}
	return true
}

// Checkable is a settings struct that can check itself.
type Checkable interface {
	// Check reports every fault to c.
	Check(c *Checker)
}

// Load reads the TOML file into the struct that into points to, whose present
// values are the defaults, and checks it; the error is *Problems for bad content.
func Load(path string, into Checkable) error {
	text, err := os.ReadFile(path)
	if err != nil {
		return errors.WithStack(fault.New(fault.Usage, "read settings", path, "%v", err))
	}
	return Parse(path, string(text), into)
}

// Parse does what Load does on text; file is used in messages only.
func Parse(file, text string, into Checkable) error {
	raw := make(map[string]toml.Primitive)
	md, err := toml.Decode(text, &raw)
	if err != nil {
		return &Problems{File: file, List: []Problem{{Key: "(syntax)", Got: err.Error(), Allowed: "TOML"}}}
	}
	c := &Checker{undecodable: make(map[string]bool)}
	fields := reflect.ValueOf(into).Elem()
	known := make(map[string]bool)
	for i := range fields.NumField() {
		key := fields.Type().Field(i).Tag.Get("toml")
		known[key] = true
		value, present := raw[key]
		if !present {
			continue
		}
		if err := md.PrimitiveDecode(value, fields.Field(i).Addr().Interface()); err != nil {
			c.Fail(key, err.Error(), "a "+fields.Field(i).Type().String())
			c.undecodable[key] = true
		}
	}
	for _, key := range unknownKeys(&md, raw, known) {
		if top, _, _ := strings.Cut(key, "."); !c.undecodable[top] {
			c.Fail(key, "an unknown key", "the keys in the operators' page")
		}
	}
	into.Check(c)
	if len(c.problems) > 0 {
		return &Problems{File: file, List: c.problems}
	}
	return nil
}

// unknownKeys returns the keys of the file that no field takes, sorted. The
// decoder counts a top-level key as decoded once it is in raw, so these are
// compared with the fields, and only keys below them are asked of the decoder.
func unknownKeys(md *toml.MetaData, raw map[string]toml.Primitive, known map[string]bool) []string {
	var keys []string
	for key := range raw {
		if !known[key] {
			keys = append(keys, key)
		}
	}
	for _, key := range md.Undecoded() {
		if len(key) > 1 && known[key[0]] {
			keys = append(keys, key.String())
		}
	}
	sort.Strings(keys)
	return keys
}
