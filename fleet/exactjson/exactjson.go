package exactjson

import (
	"bytes"
	"cmp"
	"encoding/json"
	"reflect"
	"strconv"
	"strings"
	"unicode/utf8"

	"github.com/pkg/errors"
)

// Unmarshal decodes data into target as json.Unmarshal does, and returns an error if Check does.
func Unmarshal(data []byte, target any) error {
	if err := json.Unmarshal(data, target); err != nil {
		return err
	}
	return Check(data, target)
}

// Check returns an error that names the places, as offsets in bytes, of what is ambiguous in data or cannot be read in full.
// Data must be valid JSON that encoding/json decodes into a value of target's type. Unknown members are allowed.
func Check(data []byte, target any) error {
	if !utf8.Valid(data) {
		return errors.Errorf("the text is not valid UTF-8 at byte %d", invalidOffset(data))
	}
	c := &checker{data: data, fields: map[reflect.Type][]field{}}
	c.value(reflect.TypeOf(target))
	return c.err
}

// invalidOffset returns the offset of the first byte that is not valid UTF-8.
func invalidOffset(data []byte) int {
	offset := 0
	for offset < len(data) {
		r, size := utf8.DecodeRune(data[offset:])
		if r == utf8.RuneError && size == 1 {
			break
		}
		offset += size
	}
	return offset
}

// checker walks through valid JSON.
type checker struct {
	data   []byte
	pos    int
	path   []step // to the value that is being read
	fields map[reflect.Type][]field
	err    error
}

// step leads from an object to a member, or from an array to an element if it has no name.
type step struct {
	name  []byte
	index int
}

// field is a field of a struct by its name in JSON.
type field struct {
	name  string
	value reflect.Type
}

// location returns the names and indexes that lead to the value that is being read.
func (c *checker) location() string {
	if len(c.path) == 0 {
		return "the text"
	}
	parts := make([]string, len(c.path))
	for i, s := range c.path {
		if parts[i] = string(s.name); s.name == nil {
			parts[i] = strconv.Itoa(s.index)
		}
	}
	return strings.Join(parts, ".")
}

// member is a member of an object that was read, with its offset.
type member struct {
	name   []byte
	offset int
}

// seenMembers finds repeated names among the members of one object.
type seenMembers struct {
	list   []member
	byName map[string]int // offsets, once there are many members
}

// manyMembers is the number of members from which on they are looked up in a map.
const manyMembers = 24

// add adds a member, and returns the offset of an earlier one with the same name.
func (s *seenMembers) add(m member) (earlier int, repeated bool) {
	if s.byName != nil {
		earlier, repeated = s.byName[string(m.name)]
		s.byName[string(m.name)] = m.offset
		return earlier, repeated
	}
	for _, other := range s.list {
		if bytes.Equal(other.name, m.name) {
			return other.offset, true
		}
	}
	if s.list = append(s.list, m); len(s.list) == manyMembers {
		s.byName = make(map[string]int, 2*manyMembers)
		for _, other := range s.list {
			s.byName[string(other.name)] = other.offset
		}
	}
	return 0, false
}

func (c *checker) fail(format string, args ...any) {
	if c.err == nil {
		c.err = errors.Errorf(format, args...)
	}
}

// space skips white space and returns the next character, or 0 after an error, which ends the walk.
func (c *checker) space() byte {
	for c.err == nil && c.pos < len(c.data) {
		switch b := c.data[c.pos]; b {
		case ' ', '\t', '\r', '\n':
			c.pos++
		default:
			return b
		}
	}
	return 0
}

// value walks through a value that is decoded into a type, which is nil if it is not decoded.
func (c *checker) value(t reflect.Type) {
	switch c.space() {
	case 0:
	case '{':
		c.object(decodedType(t))
	case '[':
		c.array(decodedType(t))
	case '"':
		c.text()
	default:
		for c.pos < len(c.data) && strings.IndexByte(",]} \t\r\n", c.data[c.pos]) < 0 {
			c.pos++
		}
	}
}

// inner walks through a value within the present one.
func (c *checker) inner(s step, t reflect.Type) {
	c.path = append(c.path, s)
	c.value(t)
	c.path = c.path[:len(c.path)-1]
}

// array walks through an array.
func (c *checker) array(t reflect.Type) {
	var element reflect.Type
	if t != nil && (t.Kind() == reflect.Slice || t.Kind() == reflect.Array) {
		element = t.Elem()
	}
	c.pos++ // the opening bracket
	for i := 0; ; i++ {
		switch c.space() {
		case 0:
			return
		case ']':
			c.pos++
			return
		case ',':
			c.pos++
		}
		c.inner(step{index: i}, element)
	}
}

// object walks through an object and compares its members with each other and with the fields of a struct.
func (c *checker) object(t reflect.Type) {
	var seen seenMembers
	c.pos++ // the opening brace
	for {
		switch c.space() {
		case 0:
			return
		case '}':
			c.pos++
			return
		case ',':
			c.pos++
			c.space()
		}
		m := member{offset: c.pos}
		if m.name = c.text(); c.err != nil {
			return
		}
		if earlier, repeated := seen.add(m); repeated {
			c.fail("member %q of %s at byte %d is there already at byte %d", m.name, c.location(), m.offset, earlier)
			return
		}
		c.space()
		c.pos++ // the colon
		c.inner(step{name: m.name}, c.memberType(t, m))
	}
}

// memberType returns the type that a member is decoded into, or nil if it is unknown. A member that only differs from a
// field in the case of letters is an error, as encoding/json takes it for the field.
func (c *checker) memberType(t reflect.Type, m member) reflect.Type {
	switch {
	case t == nil:
		return nil
	case t.Kind() == reflect.Map:
		return t.Elem()
	case t.Kind() != reflect.Struct:
		return nil
	}
	fields := c.fieldsOf(t)
	for _, f := range fields {
		if f.name == string(m.name) {
			return f.value
		}
	}
	for _, f := range fields {
		if strings.EqualFold(f.name, string(m.name)) {
			c.fail("member %q of %s at byte %d differs from %q in the case of letters", m.name, c.location(), m.offset, f.name)
		}
	}
	return nil
}

// fieldsOf returns the fields of a struct.
func (c *checker) fieldsOf(t reflect.Type) []field {
	if list, known := c.fields[t]; known {
		return list
	}
	var list []field
	for i := range t.NumField() {
		f := t.Field(i)
		name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
		list = append(list, field{cmp.Or(name, f.Name), f.Type})
	}
	c.fields[t] = list
	return list
}

// text walks through a string and returns it.
func (c *checker) text() []byte {
	start, escaped := c.pos, false
	for c.pos++; c.pos < len(c.data) && c.data[c.pos] != '"'; c.pos++ {
		if c.data[c.pos] == '\\' {
			escaped = true
			c.pos++
		}
	}
	c.pos++ // the closing quote
	quoted := c.data[start:min(c.pos, len(c.data))]
	if !escaped {
		return quoted[1 : len(quoted)-1]
	}
	var text string
	if err := json.Unmarshal(quoted, &text); err != nil {
		c.fail("the string at byte %d: %v", start, err)
	}
	// encoding/json replaces half of a surrogate pair, as it does with bytes that are not UTF-8.
	if replaced := strings.Count(text, "\uFFFD"); replaced > 0 && replaced != replacementCharacters(quoted) {
		c.fail("the string at byte %d in %s has half of a surrogate pair", start, c.location())
	}
	return []byte(text)
}

// replacementCharacters returns how often U+FFFD is written in a string in JSON, with or without an escape.
func replacementCharacters(quoted []byte) int {
	count := strings.Count(string(quoted), "\uFFFD")
	for i := 0; i+5 < len(quoted); i++ {
		if quoted[i] != '\\' {
			continue
		}
		if quoted[i+1] == 'u' && strings.EqualFold(string(quoted[i+2:i+6]), "fffd") {
			count++
		}
		i++ // the escaped character may be a backslash
	}
	return count
}

var unmarshaler = reflect.TypeFor[json.Unmarshaler]()

// decodedType returns the type behind pointers, or nil if values of the type decode themselves.
func decodedType(t reflect.Type) reflect.Type {
	for t != nil && t.Kind() == reflect.Pointer {
		t = t.Elem()
	}
	if t == nil || reflect.PointerTo(t).Implements(unmarshaler) {
		return nil
	}
	return t
}
