package registry

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"github.com/matryer/is"

	"cuminfall.example/fleet/catalog"
	"cuminfall.example/fleet/fault"
	"cuminfall.example/fleet/ident"
)

func newChange(base, version catalog.Version, digest string) *catalog.Change {
	ch := &catalog.Change{Digest: digest, Base: base, Version: version, Full: true, Items: catalog.Items{
		Routes: map[string]catalog.Route{"r": {Name: "r", Host: "h", Prefix: "/", Splits: []catalog.Split{{Service: "s", Weight: 1}}}},
	}}
	ch.Services = map[ident.Service]catalog.Service{"s": {Name: "s"}}
	return ch
}

// Guards against accepting two changes with the same base version, and against rejecting an operator's retry of an
// accepted change after its acknowledgment was lost.
func TestConcurrentAndRetriedChanges(t *testing.T) {
	is := is.New(t)
	r := New()
	is.Equal(r.Apply(1, Command{Change: newChange(0, 5, "a")}), Result{})
	is.Equal(r.Apply(2, Command{Change: newChange(5, 9, "b")}), Result{})
	is.Equal(r.Apply(3, Command{Change: newChange(5, 9, "c")}).Code, fault.Conflict) // second change of the same base version
	is.Equal(r.Apply(4, Command{Change: newChange(5, 9, "b")}), Result{})            // retry
	is.Equal(r.Apply(5, Command{Change: newChange(0, 5, "a")}), Result{})            // retry after a later change
	is.Equal(r.Version(), catalog.Version(9))
	is.Equal(r.Apply(6, Command{Change: newChange(9, 9, "d")}).Code, fault.Invalid) // not greater than version 9

	data, err := r.Encode()
	is.NoErr(err)
	other := New()
	is.NoErr(other.Restore(data))
	is.Equal(other.Apply(7, Command{Change: newChange(0, 5, "a")}), Result{}) // the restored state recognizes the retry
	is.Equal(other.Version(), catalog.Version(9))
}

// Guards against a repeated change that takes as long as the first attempt, and against an answer that a later command
// would contradict.
func TestSettledChanges(t *testing.T) {
	is := is.New(t)
	r := New()
	expect := func(ch *catalog.Change, objection error, want Assessment, code fault.Code) {
		t.Helper()
		assessment, result := r.Assess(ch, objection)
		is.Equal(assessment, want)
		is.Equal(result.Code, code)
	}
	ambiguous := fault.New(fault.Invalid, "decode", "", "a member is there twice")
	expect(newChange(0, 5, "a"), nil, Acceptable, "")
	expect(newChange(0, 5, "a"), ambiguous, Refused, fault.Invalid)
	r.Apply(1, Command{Change: newChange(0, 5, "a")})
	expect(newChange(0, 5, "a"), nil, Settled, "")
	expect(newChange(0, 5, "a"), ambiguous, Settled, "") // accepted by an earlier build
	expect(newChange(0, 6, "b"), nil, Settled, fault.Conflict)
	expect(newChange(5, 6, "c"), nil, Acceptable, "")
	expect(newChange(5, 5, "c"), nil, Refused, fault.Invalid)
	expect(newChange(9, 10, "d"), nil, BaseUnknown, fault.Conflict) // version 9 may be on its way
}

func announcement(id UpstreamID, address ident.Address, startedAt int64, sequence uint64, state State) *Upstream {
	return &Upstream{ID: id, Service: "s", Address: address, Domain: "d", Slots: 1, StartedAt: startedAt, Sequence: sequence, State: state}
}

// Guards against late announcements of earlier runs, which may arrive after a network partition. They must not restore
// an upstream that has stopped or whose address another upstream uses now.
func TestLateAnnouncements(t *testing.T) {
	cases := []struct {
		name     string
		commands []Command
		want     map[UpstreamID]State
	}{
		{"older sequence", []Command{{Join: announcement("a", "x", 1, 5, Leaving)}, {Join: announcement("a", "x", 1, 4, Ready)}}, map[UpstreamID]State{"a": Leaving}},
		{"leaving run stays leaving", []Command{{Join: announcement("a", "x", 1, 5, Leaving)}, {Join: announcement("a", "x", 1, 6, Ready)}}, map[UpstreamID]State{"a": Leaving}},
		{"new run after leaving", []Command{{Join: announcement("a", "x", 1, 5, Leaving)}, {Join: announcement("a", "x", 2, 1, Ready)}}, map[UpstreamID]State{"a": Ready}},
		{"old run after new", []Command{{Join: announcement("a", "x", 2, 1, Ready)}, {Join: announcement("a", "x", 1, 9, Leaving)}}, map[UpstreamID]State{"a": Ready}},
		{"announcement after departure", []Command{{Join: announcement("a", "x", 1, 5, Ready)}, {Leave: &Departure{ID: "a"}}, {Join: announcement("a", "x", 1, 6, Ready)}}, map[UpstreamID]State{}},
		{"address taken over", []Command{{Join: announcement("a", "x", 1, 5, Ready)}, {Join: announcement("b", "x", 2, 1, Ready)}, {Join: announcement("a", "x", 1, 6, Ready)}}, map[UpstreamID]State{"b": Ready}},
		{"announcement after timeout", []Command{{Join: announcement("a", "x", 1, 5, Ready)}, {Leave: &Departure{ID: "a", StartedAt: 1, TimedOut: true}}, {Join: announcement("a", "x", 1, 6, Ready)}}, map[UpstreamID]State{"a": Ready}},
		{"departure of an earlier run", []Command{{Join: announcement("a", "x", 2, 1, Ready)}, {Leave: &Departure{ID: "a", StartedAt: 1}}}, map[UpstreamID]State{"a": Ready}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			r := New()
			for i, cmd := range c.commands {
				r.Apply(ident.Index(i+1), cmd)
			}
			got := map[UpstreamID]State{}
			for id, u := range r.Upstreams {
				got[id] = u.State
			}
			is.Equal(got, c.want)
		})
	}
}

// Guards against losing the end of a drain, after which the domain's upstreams may be cold.
func TestDrainEndIndex(t *testing.T) {
	is := is.New(t)
	r := New()
	r.Apply(1, Command{Drain: &Drain{Domain: "d", Active: true}})
	is.True(r.Drained["d"])
	r.Apply(2, Command{Drain: &Drain{Domain: "d"}})
	is.True(!r.Drained["d"])
	is.Equal(r.DrainEnded["d"], ident.Index(2))
	r.Apply(3, Command{Drain: &Drain{Domain: "d"}}) // a retry changes nothing
	is.Equal(r.DrainEnded["d"], ident.Index(2))
}

// Guards against a catalog that grows change by change until no VM can read it, and against one that is too long already
// and can no longer be shortened.
func TestTooLongCatalogIsRefused(t *testing.T) {
	is := is.New(t)
	r := New()
	patch := func(names ...string) *catalog.Change {
		ch := &catalog.Change{Digest: fmt.Sprint(r.Version()), Base: r.Version(), Version: r.Version() + 1, Items: catalog.Items{Routes: map[string]catalog.Route{},
			Services: map[ident.Service]catalog.Service{"s": {Name: "s"}}}}
		for _, name := range names {
			ch.Routes[name] = catalog.Route{Name: name, Host: "h", Prefix: "/" + name + "/", Splits: []catalog.Split{{Service: "s", Weight: 1}},
				Source: json.RawMessage(`"` + strings.Repeat("x", 1<<20) + `"`)}
		}
		return ch
	}
	apply := func(ch *catalog.Change) { is.Equal(r.Apply(r.Index+1, Command{Change: ch}), Result{}) }
	count := 0
	check := func(ch *catalog.Change) Result {
		_, result := r.Assess(ch, nil)
		return result
	}
	for ; check(patch(fmt.Sprint(count))) == (Result{}); count++ {
		apply(patch(fmt.Sprint(count)))
	}
	is.Equal(count, int(MaxCatalogBytes>>20)-1)
	is.Equal(check(patch("more")).Code, fault.Invalid)
	is.Equal(check(patch("0")), Result{}) // replaces a route

	apply(patch("more", "most")) // as members of an earlier build accept it
	shorter, longer := patch(), patch("x")
	shorter.Remove.Routes = []string{"most"}
	is.Equal(check(shorter), Result{}) // still too long, but less so
	is.Equal(check(longer).Code, fault.Invalid)
	longer.Base--
	is.Equal(check(longer).Code, fault.Conflict)
}
