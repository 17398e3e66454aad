package jsonscan

import (
	"bytes"
	"encoding/json"
	"strconv"
	"strings"
)

// Scanner reads JSON without white space from its start to its end. After the first text that it cannot read, it returns zero
// values only, and End returns false.
type Scanner struct {
	data   []byte
	pos    int
	failed bool
}

// New returns a scanner of data, which must not change meanwhile. What the scanner returns does not refer to data.
func New(data []byte) *Scanner { return &Scanner{data: data} }

// End reports whether everything was read.
func (s *Scanner) End() bool { return !s.failed && s.pos == len(s.data) }

// Fail makes the scanner refuse the JSON.
func (s *Scanner) Fail() { s.failed = true }

// accept reads a character if it comes next.
func (s *Scanner) accept(c byte) bool {
	if s.failed || s.pos >= len(s.data) || s.data[s.pos] != c {
		return false
	}
	s.pos++
	return true
}

// expect reads a character that must come next.
func (s *Scanner) expect(c byte) {
	if !s.accept(c) {
		s.failed = true
	}
}

// acceptWord reads a word, such as null, if it comes next.
func (s *Scanner) acceptWord(word string) bool {
	if s.failed || len(s.data)-s.pos < len(word) || string(s.data[s.pos:s.pos+len(word)]) != word {
		return false
	}
	s.pos += len(word)
	return true
}

// members reads the members of an object or the elements of an array.
func (s *Scanner) members(first, last byte, read func()) {
	s.expect(first)
	for count := 0; !s.failed && !s.accept(last); count++ {
		if count > 0 {
			s.expect(',')
		}
		read()
	}
}

// Struct reads an object. Its keys must be among names and in their order. It calls read with the position in names of each
// key; read must read the value.
func (s *Scanner) Struct(names []string, read func(field int)) {
	next := 0
	s.members('{', '}', func() {
		start := s.pos
		if plain := s.skipText(); !plain || s.failed {
			s.failed = true
			return
		}
		key := s.data[start+1 : s.pos-1]
		for next < len(names) && names[next] != string(key) {
			next++
		}
		if s.expect(':'); next == len(names) {
			s.failed = true
			return
		}
		read(next)
		next++
	})
}

// Map reads an object whose keys are sorted. It calls read with each key; read must read the value.
func (s *Scanner) Map(read func(key string)) {
	previous, count := "", 0
	s.members('{', '}', func() {
		key := s.Text()
		if s.expect(':'); count > 0 && key <= previous {
			s.failed = true
			return
		}
		previous = key
		count++
		read(key)
	})
}

// Array reads an array, or null. It calls read for each element, and returns whether there was an array.
func (s *Scanner) Array(read func()) bool {
	if s.acceptWord("null") {
		return false
	}
	s.members('[', ']', read)
	return !s.failed
}

// isPlain reports whether a character of a text stands for itself alone.
func isPlain(c byte) bool { return c >= ' ' && c < 0x80 && c != '"' && c != '\\' }

// Text reads a text.
func (s *Scanner) Text() string {
	start := s.pos
	plain := s.skipText()
	switch {
	case s.failed:
		return ""
	case plain:
		return string(s.data[start+1 : s.pos-1])
	}
	var text string
	if json.Unmarshal(s.data[start:s.pos], &text) != nil {
		s.failed = true
	}
	return text
}

// skipText reads a text and returns whether its characters all stand for themselves.
func (s *Scanner) skipText() (plain bool) {
	start := s.pos
	if s.expect('"'); s.failed {
		return false
	}
	for s.pos < len(s.data) && isPlain(s.data[s.pos]) {
		s.pos++
	}
	if s.accept('"') {
		return true
	}
	for ; s.pos < len(s.data) && s.data[s.pos] != '"'; s.pos++ {
		if s.data[s.pos] == '\\' {
			s.pos++
		}
	}
	s.pos = min(s.pos, len(s.data))
	if s.expect('"'); !s.failed && !json.Valid(s.data[start:s.pos]) {
		s.failed = true
	}
	return false
}

// Bool reads true or false.
func (s *Scanner) Bool() bool {
	if s.acceptWord("true") {
		return true
	}
	if !s.acceptWord("false") {
		s.failed = true
	}
	return false
}

// number reads the characters of a number.
func (s *Scanner) number() []byte {
	start := s.pos
	for s.pos < len(s.data) && strings.IndexByte("0123456789+-.eE", s.data[s.pos]) >= 0 {
		s.pos++
	}
	return s.data[start:s.pos]
}

// Int reads a whole number within the range of a type with a number of bits, and returns 0 if there is none.
func (s *Scanner) Int(bits int) int64 {
	digits := s.number()
	n, err := strconv.ParseInt(string(digits), 10, bits)
	if err != nil || strconv.FormatInt(n, 10) != string(digits) {
		s.failed = true
		return 0
	}
	return n
}

// Uint reads a whole number from 0 on within the range of a type with a number of bits, and returns 0 if there is none.
func (s *Scanner) Uint(bits int) uint64 {
	digits := s.number()
	n, err := strconv.ParseUint(string(digits), 10, bits)
	if err != nil || strconv.FormatUint(n, 10) != string(digits) {
		s.failed = true
		return 0
	}
	return n
}

// Float reads a number, and returns 0 if there is none.
func (s *Scanner) Float() float64 {
	digits := s.number()
	n, err := strconv.ParseFloat(string(digits), 64)
	if err != nil || !json.Valid(digits) {
		s.failed = true
		return 0
	}
	return n
}

// maxDepth limits the nesting of what Raw reads. encoding/json has a limit for a whole document.
const maxDepth = 1000

// Raw reads any value and returns its JSON.
func (s *Scanner) Raw() json.RawMessage {
	start := s.pos
	if s.skipValue(maxDepth); s.failed {
		return nil
	}
	return bytes.Clone(s.data[start:s.pos])
}

// skipValue reads a value that is nested at most to a depth.
func (s *Scanner) skipValue(depth int) {
	if s.failed || depth < 0 || s.pos == len(s.data) {
		s.failed = true
		return
	}
	switch s.data[s.pos] {
	case '{':
		s.members('{', '}', func() {
			s.skipText()
			s.expect(':')
			s.skipValue(depth - 1)
		})
	case '[':
		s.members('[', ']', func() { s.skipValue(depth - 1) })
	case '"':
		s.skipText()
	case 't', 'f':
		s.Bool()
	case 'n':
		if !s.acceptWord("null") {
			s.failed = true
		}
	default:
		if !json.Valid(s.number()) {
			s.failed = true
		}
	}
}
