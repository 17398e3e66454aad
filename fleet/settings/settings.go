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

// Problem is one error in a settings file.
type Problem struct {
	Key     string // full key, with the names of its tables separated by dots
	Allowed string // description of the values that the key accepts
	Got     string // value found, or an error of the decoder
}

// Problems lists all errors in one settings file; it implements error.
type Problems struct {
	File string
	List []Problem
}

// Error returns a message with one line for each problem.
func (p *Problems) Error() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%d errors in settings", len(p.List))
	for _, f := range p.List {
		fmt.Fprintf(&b, "\n%s: %s: got %s, allowed: %s", p.File, f.Key, f.Got, f.Allowed)
	}
	return b.String()
}

// Checker collects the problems found by the Check method of settings.
type Checker struct {
	problems    []Problem
	undecodable map[string]bool // keys that failed to decode, whose problems are already listed
}

// Fail records that a key has the value got but accepts only allowed. It ignores keys that failed to decode.
func (c *Checker) Fail(key, got, allowed string) {
	if c.undecodable[key] {
		return
	}
	c.problems = append(c.problems, Problem{Key: key, Got: got, Allowed: allowed})
}

// Name requires a valid name, as ValidName defines it.
func (c *Checker) Name(key, value string) {
	if !ValidName(value) {
		c.Fail(key, fmt.Sprintf("%q", value), "1 to 63 letters, digits, '-' or '_'")
	}
}

// Address requires an address of the form IP:port.
func (c *Checker) Address(key, value string) {
	if _, err := netip.ParseAddrPort(value); err != nil {
		c.Fail(key, fmt.Sprintf("%q", value), "IP:port, such as 127.0.0.1:7001")
	}
}

// Addresses requires a list of one or more addresses of the form IP:port.
func (c *Checker) Addresses(key string, values []string) {
	if len(values) == 0 {
		c.Fail(key, "none", "a list of IP:port")
	}
	for i, v := range values {
		c.Address(fmt.Sprintf("%s[%d]", key, i), v)
	}
}

// Duration requires a duration from low to high, inclusive.
func (c *Checker) Duration(key string, value, low, high time.Duration) {
	if value < low || value > high {
		c.Fail(key, value.String(), fmt.Sprintf("%s to %s", low, high))
	}
}

// OneOf requires one of the allowed values.
func (c *Checker) OneOf(key, value string, allowed ...string) {
	for _, w := range allowed {
		if value == w {
			return
		}
	}
	c.Fail(key, fmt.Sprintf("%q", value), strings.Join(allowed, ", "))
}

// ValidName reports whether s consists of 1 to 63 ASCII letters, digits, '-' and '_'.
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

// Checkable is a pointer to a settings struct with a method that checks its values.
type Checkable interface {
	// Check reports all problems to c.
	Check(c *Checker)
}

// Load decodes the TOML file at path into the struct that into points to, and checks it. Keys that the file does not
// set keep their present values. If the content is invalid, the error is a *Problems.
func Load(path string, into Checkable) error {
	text, err := os.ReadFile(path)
	if err != nil {
		return errors.WithStack(fault.New(fault.Usage, "read settings", path, "%v", err))
	}
	return Parse(path, string(text), into)
}

// Parse is like Load, but decodes text instead of a file; file is the name used in error messages.
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
			c.Fail(key, "an unknown key", "a key listed in docs/OPERATIONS.md")
		}
	}
	into.Check(c)
	if len(c.problems) > 0 {
		return &Problems{File: file, List: c.problems}
	}
	return nil
}

// unknownKeys returns the sorted keys of the file that do not belong to any field. The decoder regards all top-level
// keys as decoded because they are in raw. They are therefore compared with the known keys, and only keys below them
// are taken from the decoder's list.
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
