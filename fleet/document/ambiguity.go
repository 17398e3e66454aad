package document

import (
	"encoding"
	"fmt"
	"maps"
	"net/netip"
	"reflect"
	"slices"
	"strings"

	"github.com/BurntSushi/toml"

	"cuminfall.example/fleet/fault"
)

// Ambiguities returns what can be read in more than one way in the text of a section, or nil: keys in other letters than they
// are defined, which the TOML library takes for them, and items that are found by something that only its spelling tells
// apart. Members must accept the same texts whatever their build, so Check accepts them; they are refused before they reach the log.
func Ambiguities(name Section, text string) ([]string, error) {
	content, err := Parse(name, text)
	if err != nil {
		return nil, err
	}
	md, err := toml.Decode(text, new(map[string]any))
	if err != nil {
		return nil, fault.New(fault.Invalid, "parse section", string(name), "%v", err)
	}
	problems := misspelledKeys(&md, content)
	switch c := content.(type) {
	case *Topology:
		problems = append(problems, sharedBlocks(c.Blocks)...)
	case *Drains:
		problems = append(problems, oddTargets(c.Drains)...)
	case *Owners:
		problems = append(problems, sharedHashes(c.Monitors)...)
	}
	return problems, nil
}

// misspelledKeys returns a problem for each key that differs from a defined one in the case of letters. Keys that are not defined at
// all are errors of Parse.
func misspelledKeys(md *toml.MetaData, content Content) (problems []string) {
	known := map[string]bool{}
	addKeys(reflect.TypeOf(content).Elem(), known)
	for _, key := range md.Keys() {
		last := key[len(key)-1]
		if known[last] {
			continue
		}
		for _, defined := range slices.Sorted(maps.Keys(known)) {
			if strings.EqualFold(defined, last) {
				problems = append(problems, fmt.Sprintf("key %q differs from %q in the case of letters", key.String(), defined))
			}
		}
	}
	return problems
}

// addKeys adds the keys of a type and of the types in it.
func addKeys(t reflect.Type, known map[string]bool) {
	if t.Kind() == reflect.Slice {
		t = t.Elem()
	}
	if !isTable(t) {
		return
	}
	for i := range t.NumField() {
		known[t.Field(i).Tag.Get("toml")] = true
		addKeys(t.Field(i).Type, known)
	}
}

func sharedBlocks(blocks []Block) (problems []string) {
	first := map[netip.Prefix]Block{}
	for _, b := range blocks {
		other, taken := first[b.Prefix.Masked()]
		if !taken {
			first[b.Prefix.Masked()] = b
			continue
		}
		problems = append(problems, fmt.Sprintf("blocks %s of region %q and %s of region %q are one range", other.Prefix, other.Region, b.Prefix, b.Region))
	}
	return problems
}

func oddTargets(drains []Drain) (problems []string) {
	for _, d := range drains {
		if canonical := CanonicalAddress(d.Target); d.Kind == EndpointKind && canonical != d.Target {
			problems = append(problems, fmt.Sprintf("drain %q: target %q is written %q elsewhere", d.Name, d.Target, canonical))
		}
	}
	return problems
}

func sharedHashes(monitors []Monitor) (problems []string) {
	first := map[string]string{}
	for _, m := range monitors {
		hash := strings.ToLower(m.Hash)
		if other, taken := first[hash]; taken {
			problems = append(problems, fmt.Sprintf("monitors %q and %q have the same credential", other, m.Name))
			continue
		}
		first[hash] = m.Name
	}
	return problems
}

// CanonicalAddress returns the form that all spellings of an address with a port have in common, and any other text as it is.
func CanonicalAddress(address string) string {
	parsed, err := netip.ParseAddrPort(address)
	if err != nil {
		return address
	}
	return netip.AddrPortFrom(parsed.Addr().Unmap(), parsed.Port()).String()
}

// decodeInOrder decodes a text as toml.Decode does, but in the order of its keys: toml.Decode takes them in the order of a map, so
// that chance chooses between two keys in different letters, and between two errors. A key as it is defined counts last.
func decodeInOrder(text string, content Content) error {
	var top map[string]toml.Primitive
	md, err := toml.Decode(text, &top)
	if err != nil {
		return err
	}
	return decodeTable(&md, top, reflect.ValueOf(content).Elem())
}

func decodeTable(md *toml.MetaData, table map[string]toml.Primitive, target reflect.Value) error {
	type entry struct {
		key   string
		field int
	}
	var misspelled, exact []entry
	for _, key := range slices.Sorted(maps.Keys(table)) {
		for i := range target.NumField() {
			switch name := target.Type().Field(i).Tag.Get("toml"); {
			case name == key:
				exact = append(exact, entry{key, i})
			case strings.EqualFold(name, key):
				misspelled = append(misspelled, entry{key, i})
			}
		}
	}
	for _, e := range append(misspelled, exact...) {
		if err := decodeValue(md, table[e.key], target.Field(e.field)); err != nil {
			return err
		}
	}
	return nil
}

func decodeValue(md *toml.MetaData, value toml.Primitive, target reflect.Value) error {
	var table map[string]toml.Primitive // stays nil, without an error, if the value is no table
	var list []toml.Primitive
	switch t := target.Type(); {
	case isTable(t) && md.PrimitiveDecode(value, &table) == nil && table != nil:
		return decodeTable(md, table, target)
	case t.Kind() == reflect.Slice && isTable(t.Elem()) && md.PrimitiveDecode(value, &list) == nil:
		target.Set(reflect.MakeSlice(t, len(list), len(list)))
		for i, element := range list {
			if err := decodeValue(md, element, target.Index(i)); err != nil {
				return err
			}
		}
		return nil
	}
	return md.PrimitiveDecode(value, target.Addr().Interface())
}

// isTable reports whether a type is encoded as a table.
func isTable(t reflect.Type) bool {
	return t.Kind() == reflect.Struct && !reflect.PointerTo(t).Implements(reflect.TypeFor[encoding.TextUnmarshaler]())
}
