package document

import (
	"strings"
	"testing"

	"github.com/BurntSushi/toml"
	"github.com/matryer/is"

	"cuminfall.example/fleet/fault"
)

// Guards against a section whose text is read in one of several ways, as chance has it.
func TestParseIsTheSameEachTime(t *testing.T) {
	is := is.New(t)
	const twoPrefixes = "[[service]]\nname='read'\nPrefix='/a/'\nprefix='/b/'\nPREFIX='/c/'\nONCE=true\n"
	const twoErrors = "[[service]]\nname='read'\nprefix=1\nlongest='x'\nbody='y'\n[[service]]\nname=7\n"
	const twoTables = "[[domain]]\nname='d'\nregion='r'\n[[Domain]]\nname='e'\nregion='r'\n[[REGION]]\nname='r'\n"
	for range 50 {
		content, err := Parse(ServicesSection, twoPrefixes)
		is.NoErr(err)
		is.Equal(content, &Services{[]Service{{Name: "read", Prefix: "/b/", NonIdempotent: true}}})
		_, err = Parse(ServicesSection, twoErrors)
		is.Equal(fault.Of(err).Message, `toml: line 5 (last key "service.body"): incompatible types: TOML value has type string; destination has type integer`)
		content, err = Parse(TopologySection, twoTables)
		is.NoErr(err)
		is.Equal(content, &Topology{Regions: []Region{{Name: "r"}}, Domains: []Domain{{"d", "r"}}})
	}
}

// Guards against items that only their spelling tells apart, and against refusing others.
func TestAmbiguities(t *testing.T) {
	for _, c := range []struct {
		section  Section
		text     string
		problems []string // substrings
	}{
		{TopologySection, validTopology + "[[block]]\nprefix='10.0.0.0/8'\nregion='a'\n[[block]]\nprefix='10.0.0.0/9'\nregion='a'\n", nil},
		{TopologySection, validTopology + "[[block]]\nprefix='10.0.0.0/8'\nregion='a'\n[[block]]\nprefix='10.1.0.0/8'\nregion='a'\n", []string{"10.0.0.0/8"}},
		{ServicesSection, validServices, nil},
		{ServicesSection, strings.Replace(validServices, "prefix", "Prefix", 1), []string{`"service.Prefix" differs from "prefix"`}},
		{ServicesSection, strings.Replace(validServices, "prefix", "\"prefi\u017f\"", 1) + "\"on\u017fe\"=1", nil}, // an unknown key is an error of Parse
		{DrainsSection, "[[drain]]\nname='d'\nkind='endpoint'\ntarget='10.0.0.1:080'\n[[drain]]\nname='e'\nkind='endpoint'\ntarget='10.0.0.1:80'\n", []string{`"10.0.0.1:80"`}},
		{DrainsSection, "[[drain]]\nname='d'\nkind='vm'\ntarget='10.0.0.1:080'\n", nil},
		{OwnersSection, "[[monitor]]\nname='m'\nhash='0A'\n[[monitor]]\nname='n'\nhash='0a'\n[[Monitor]]\nname='o'\nhash='0b'\n", []string{`"Monitor"`, `"m" and "n"`}},
	} {
		problems, _ := Ambiguities(c.section, c.text)
		for _, want := range c.problems {
			if !strings.Contains(strings.Join(problems, "; "), want) {
				t.Errorf("%s: the problems are %q, expected %q in them", c.text, problems, want)
			}
		}
		if len(c.problems) == 0 && len(problems) > 0 {
			t.Errorf("%s: the problems are %q, expected none", c.text, problems)
		}
	}
}

// Guards against texts of errors that differ from those of earlier builds: members store them as outcomes of changes, and must come
// to one state.
func TestErrorsOfEarlierBuildsStay(t *testing.T) {
	for _, c := range []struct {
		section Section
		text    string
	}{
		{ServicesSection, "service=1"}, {ServicesSection, "[service]\nname='x'"}, {ServicesSection, "service=[1,2]"}, {ServicesSection, "[[service]]\nname='x'\n[[service]]\nprefix=['x']"},
		{ServicesSection, "[[service]]\nname='x'\nlongest='x'"}, {ServicesSection, "[[service]]\nbody=99999999999999999999"}, {ServicesSection, "[[service]]\nBODY='x'"},
		{ServicesSection, "[[service]]\nname='x'\nname='y'"}, {ServicesSection, "[[service"}, {ServicesSection, "[[service]]\nname='\xff'"},
		{TopologySection, "[[block]]\nprefix='10.0.0.0/99'"}, {TopologySection, "[[block]]\nprefix=7"}, {TopologySection, "block=[{prefix='x'}]"}, {TopologySection, "[[region]]\ncapacity=-1"},
		{TopologySection, "region=[{name='a'},{name=1}]"}, {TopologySection, "[[region]]\ncapacity=1.5\n"}, {WorkspacesSection, "[[workspace]]\nname='w'\n[[workspace.key]]\nwithdrawn='x'"},
		{WorkspacesSection, "[[workspace]]\nname='w'\nkey=3"}, {WorkspacesSection, "[[workspace]]\nrate='x'"}, {OwnersSection, "[[operator]]\nsections='owners'"}, {OwnersSection, "[[operator]]\nsections=[1]"},
		{ShiftsSection, "[[shift]]\nshare='x'"}, {DrainsSection, "drain='x'"}, {DrainsSection, "[[drain]]\nkind=2"},
	} {
		content, err := newContent(c.section)
		if err != nil {
			t.Fatal(err)
		}
		_, earlier := toml.Decode(c.text, content)
		if _, err = Parse(c.section, c.text); earlier == nil || err == nil || fault.Of(err).Message != earlier.Error() {
			t.Errorf("%s: the error is %v, and was %v", c.text, err, earlier)
		}
	}
}

// FuzzParseAcceptsTheSame guards against a text that earlier builds accept and this one does not, or the other way round.
func FuzzParseAcceptsTheSame(f *testing.F) {
	f.Add("[[service]]\nname='x'\nNAME='y'\nprefix=1\n[[Service]]\nlongest='1s'\n")
	f.Add("[[region]]\nname='a'\n[[domain]]\nregion='a'\nRegion=2\n[[block]]\nprefix='10.0.0.0/8'\n[[link]]\nrate=1.5\n")
	f.Add("[[workspace]]\nname='w'\n[[workspace.key]]\nid='k'\nWithdrawn=true\nkey=3\n")
	f.Add("service=[1,{name='x'}]\nDRAIN=[[{kind='vm'}]]\n")
	f.Fuzz(func(t *testing.T, text string) {
		for _, section := range Sections {
			content, err := newContent(section)
			if err != nil {
				t.Fatal(err)
			}
			md, err := toml.Decode(text, content)
			accepted := err == nil && len(md.Undecoded()) == 0
			if _, err := Parse(section, text); (err == nil) != accepted {
				t.Errorf("%s: %q: the error is %v, accepted before: %v", section, text, err, accepted)
			}
		}
	})
}
