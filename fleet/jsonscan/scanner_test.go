package jsonscan

import (
	"encoding/json"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// Guards against a scanner that takes what encoding/json refuses or writes in another way.
func TestRawIsWhatEncodingJSONWrites(t *testing.T) {
	is := is.New(t)
	for _, text := range []string{`{}`, `[]`, `""`, `0`, `-1.5e+7`, `true`, `null`, `{"a":[1,{"b":"\u003c\\\""},null],"ä":false}`, strings.Repeat("[", maxDepth) + strings.Repeat("]", maxDepth)} {
		s := New([]byte(text))
		is.Equal(string(s.Raw()), text)
		is.True(s.End())
	}
	for _, text := range []string{``, ` `, `{`, `{"a"}`, `{"a":1,}`, `{,}`, `[1 ]`, `[,1]`, `"a`, `"\x"`, `"\`, "\"\x01\"", `01`, `1.`, `+1`, `truth`, `nul`, `}`,
		strings.Repeat("[", maxDepth+2) + strings.Repeat("]", maxDepth+2), `{}{}`} {
		s := New([]byte(text))
		s.Raw()
		if s.End() {
			t.Errorf("%q was read, valid: %v", text, json.Valid([]byte(text)))
		}
	}
}

// Guards against numbers that are read although they are out of range or written unusually.
func TestNumbers(t *testing.T) {
	is := is.New(t)
	is.Equal(New([]byte("-128")).Int(8), int64(-128))
	is.Equal(New([]byte("255")).Uint(8), uint64(255))
	is.Equal(New([]byte("1e-7")).Float(), 1e-7)
	for _, text := range []string{"128", "-0", "01", "1.0", "", "x"} {
		s := New([]byte(text))
		is.Equal(s.Int(8), int64(0))
		is.True(!s.End())
	}
	for _, text := range []string{"1e999", ".5", "0x1", "Inf", "-"} {
		s := New([]byte(text))
		is.Equal(s.Float(), 0.0)
		is.True(!s.End())
	}
}
