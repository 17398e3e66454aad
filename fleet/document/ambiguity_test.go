package document

import (
	"strings"
	"testing"

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
