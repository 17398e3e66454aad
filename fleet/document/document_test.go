package document

import (
	"strings"
	"testing"

	"github.com/matryer/is"

	"cuminfall.example/fleet/fault"
)

var validHash = strings.Repeat("0a", 32)

const (
	validTopology = "[[region]]\nname='a'\n[[domain]]\nname='a1'\nregion='a'\n[[domain]]\nname='a2'\nregion='a'\n"
	validServices = "[[service]]\nname='read'\nprefix='/read/'\n"
)

// Guards against sections that are accepted despite invalid content, or that change when they are encoded again.
func TestParse(t *testing.T) {
	for _, c := range []struct {
		name    string
		section Section
		text    string
		code    fault.Code // empty for a valid section
	}{
		{"places", TopologySection, validTopology + "[[block]]\nprefix='10.0.0.0/8'\nregion='a'\n", ""},
		{"empty", DrainsSection, "", ""},
		{"timeout", ServicesSection, validServices + "longest='10h'\n", ""},
		{"unknown section", "colours", "", fault.NotFound},
		{"syntax", TopologySection, "[[region", fault.Invalid},
		{"unknown key", ServicesSection, validServices + "colour=1\n", fault.Invalid},
		{"wrong type", ServicesSection, validServices + "once='yes'\n", fault.Invalid},
		{"bad prefix", TopologySection, "[[block]]\nprefix='10.0.0.0/99'\n", fault.Invalid},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			content, err := Parse(c.section, c.text)
			if c.code != "" {
				is.Equal(fault.Of(err).Code, c.code)
				return
			}
			is.NoErr(err)
			text, err := Format(content)
			is.NoErr(err)
			reparsed, err := Parse(c.section, text)
			is.NoErr(err)
			is.Equal(reparsed, content)
		})
	}
}

// Guards against accepting a document that the fleet cannot use, and against errors that omit some of its problems.
func TestCheck(t *testing.T) {
	for _, c := range []struct {
		name     string
		section  Section
		text     string
		problems []string // substrings of the error message; none for a valid document
	}{
		{"valid", WorkspacesSection, "[[workspace]]\nname='w'\nrate=1\nburst=1\n[[workspace.key]]\nid='k'\nhash='" + validHash + "'\n", nil},
		{"workspace", WorkspacesSection, "[[workspace]]\nname='w'\nrate=0\nburst=0.5\n[[workspace.key]]\nid='a_b'\nhash='0a'\n",
			[]string{"rate must be above 0", "burst must be at least 1", "must not contain '_'", "SHA-256"}},
		{"key of two workspaces", WorkspacesSection, "[[workspace]]\nname='w'\nrate=1\nburst=1\n[[workspace.key]]\nid='k'\nhash='" + validHash +
			"'\n[[workspace]]\nname='v'\nrate=1\nburst=1\n[[workspace.key]]\nid='k'\nhash='" + validHash + "'\n", []string{`key "k": listed twice`}},
		{"service", ServicesSection, "[[service]]\nname='a b'\nprefix='x'\nbody=-1\n[[service]]\nname='s'\nprefix='/cuminfall/x/'\n",
			[]string{"name must be", "must begin and end", "body must be", "is reserved"}},
		{"places", TopologySection, "[[region]]\nname='a'\n[[domain]]\nname='d'\nregion='z'\n[[link]]\nfrom='a'\nto='a'\nrate=-1.0\n",
			[]string{`unknown region "z"`, "must join two", "rate must be 0 or more"}},
		{"drain", DrainsSection, "[[drain]]\nname='d'\nkind='rack'\n[[drain]]\nname='e'\nkind='region'\ntarget='z'\n",
			[]string{`kind "rack"`, `unknown region "z"`}},
		{"shift", ShiftsSection, "[[shift]]\nname='s'\nservice='none'\nfrom='a'\nto='a'\nshare=1.5\ncap=-1.0\n",
			[]string{"unknown service", "two known places", "share must be 0 to 1", "cap must be 0 or more"}},
		{"owners", OwnersSection, "[[operator]]\nname='o'\nhash='x'\nsections=['colours']\n", []string{"SHA-256", `unknown section "colours"`}},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			var d Document
			for _, s := range []struct {
				name Section
				text string
			}{{TopologySection, validTopology}, {ServicesSection, validServices}, {c.section, c.text}} {
				content, err := Parse(s.name, s.text)
				is.NoErr(err)
				d.Set(content)
			}
			err := d.Check()
			if c.problems == nil {
				is.NoErr(err)
				return
			}
			is.Equal(fault.Of(err).Code, fault.Invalid)
			for _, f := range c.problems {
				if !strings.Contains(err.Error(), f) {
					t.Errorf("missing %q in the error %q", f, err)
				}
			}
		})
	}
}

// Guards against input that causes a panic, and against sections that change when they are encoded and decoded again.
func FuzzParse(f *testing.F) {
	f.Add("places", validTopology)
	f.Add("services", validServices)
	f.Add("workspaces", "[[workspace]]\nname='w'\nrate=1\nburst=1\n")
	f.Add("drains", "[[drain]]\nname='d'\nkind='region'\ntarget='a'\n")
	f.Add("shifts", "[[shift]]\nname='s'\nshare=0.5\n")
	f.Add("owners", "[[operator]]\nname='o'\nsections=['places']\n")
	f.Fuzz(func(t *testing.T, name, text string) {
		content, err := Parse(Section(name), text)
		if err != nil {
			return
		}
		var d Document
		d.Set(content)
		if d.Check() != nil {
			return
		}
		first, err := Format(content)
		if err != nil {
			t.Fatal(err)
		}
		reparsed, err := Parse(Section(name), first)
		if err != nil {
			t.Fatalf("%v while parsing the formatted section %q", err, first)
		}
		if second, err := Format(reparsed); err != nil || second != first {
			t.Fatalf("%q was formatted again as %q, error %v", first, second, err)
		}
	})
}
