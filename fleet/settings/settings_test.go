package settings

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"
)

type sample struct {
	Name    string        `toml:"name"`
	Listen  string        `toml:"listen"`
	Control []string      `toml:"control"`
	Timeout time.Duration `toml:"timeout"`
	Level   string        `toml:"level"`
}

func (s *sample) Check(c *Checker) {
	c.Name("name", s.Name)
	c.Address("listen", s.Listen)
	c.Addresses("control", s.Control)
	c.Duration("timeout", s.Timeout, time.Second, time.Minute)
	c.OneOf("level", s.Level, "info", "debug")
}

const validText = "name = 'v0'\nlisten = '127.0.0.1:1'\ncontrol = ['127.0.0.1:2']\ntimeout = '2s'\n"

// Guards against reporting only the first of several problems in a settings file, or none.
func TestParseReportsAllFaults(t *testing.T) {
	for _, c := range []struct {
		name, text string
		keys       []string
	}{
		{"valid", validText, nil},
		{"syntax", "name = ", []string{"(syntax)"}},
		{"unknown key", validText + "colour = 1\n", []string{"colour"}},
		{"wrong type is reported once", validText + "level = 3\n", []string{"level"}},
		{"invalid list item", "name = 'v0'\nlisten = '127.0.0.1:1'\ncontrol = ['127.0.0.1:2', 'x']\ntimeout = '2s'\n", []string{"control[1]"}},
		{"five problems", "name = 'a b'\nlisten = 'localhost:1'\ntimeout = '2h'\nlevel = 'loud'\n",
			[]string{"name", "listen", "control", "timeout", "level"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			s := sample{Level: "info"}
			err := Parse("f.toml", c.text, &s)
			var p *Problems
			if c.keys == nil {
				is.NoErr(err)
				is.Equal(s.Timeout, 2*time.Second)
				return
			}
			is.True(errors.As(err, &p))
			var keys []string
			for _, problem := range p.List {
				keys = append(keys, problem.Key)
				is.True(problem.Got != "" && problem.Allowed != "")
			}
			is.Equal(keys, c.keys)
			is.Equal(p.File, "f.toml")
		})
	}
}
