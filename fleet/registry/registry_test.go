package registry

import (
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

// Guards against two changes on one version both being in force, and against the repeat of an accepted order
// being refused after a lost acknowledgement.
func TestChangesRaceAndRepeat(t *testing.T) {
	is := is.New(t)
	r := New()
	is.Equal(r.Apply(1, Command{Change: newChange(0, 5, "a")}), Result{})
	is.Equal(r.Apply(2, Command{Change: newChange(5, 9, "b")}), Result{})
	is.Equal(r.Apply(3, Command{Change: newChange(5, 9, "c")}).Code, fault.Conflict) // the loser of the race
	is.Equal(r.Apply(4, Command{Change: newChange(5, 9, "b")}), Result{})            // again
	is.Equal(r.Apply(5, Command{Change: newChange(0, 5, "a")}), Result{})            // again, and overtaken
	is.Equal(r.Version(), catalog.Version(9))
	is.Equal(r.Apply(6, Command{Change: newChange(9, 9, "d")}).Code, fault.Invalid) // the version does not grow

	data, err := r.Encode()
	is.NoErr(err)
	other := New()
	is.NoErr(other.Restore(data))
	is.Equal(other.Apply(7, Command{Change: newChange(0, 5, "a")}), Result{}) // a restart remembers the orders
	is.Equal(other.Version(), catalog.Version(9))
}

func announcement(id UpstreamID, address ident.Address, startedAt int64, sequence uint64, state State) *Upstream {
	return &Upstream{ID: id, Service: "s", Address: address, Domain: "d", Slots: 1, StartedAt: startedAt, Sequence: sequence, State: state}
}

// Guards against late announcements of earlier runs, which may arrive after a partition, bringing back an
// upstream that has ended or whose address has gone to another one.
func TestLateAnnouncements(t *testing.T) {
	cases := []struct {
		name     string
		commands []Command
		want     map[UpstreamID]State
	}{
		{"older sequence", []Command{{Join: announcement("a", "x", 1, 5, Leaving)}, {Join: announcement("a", "x", 1, 4, Ready)}}, map[UpstreamID]State{"a": Leaving}},
		{"leaving stays", []Command{{Join: announcement("a", "x", 1, 5, Leaving)}, {Join: announcement("a", "x", 1, 6, Ready)}}, map[UpstreamID]State{"a": Leaving}},
		{"new run starts anew", []Command{{Join: announcement("a", "x", 1, 5, Leaving)}, {Join: announcement("a", "x", 2, 1, Ready)}}, map[UpstreamID]State{"a": Ready}},
		{"old run after new", []Command{{Join: announcement("a", "x", 2, 1, Ready)}, {Join: announcement("a", "x", 1, 9, Leaving)}}, map[UpstreamID]State{"a": Ready}},
		{"left for good", []Command{{Join: announcement("a", "x", 1, 5, Ready)}, {Leave: &Departure{ID: "a"}}, {Join: announcement("a", "x", 1, 6, Ready)}}, map[UpstreamID]State{}},
		{"address taken over", []Command{{Join: announcement("a", "x", 1, 5, Ready)}, {Join: announcement("b", "x", 2, 1, Ready)}, {Join: announcement("a", "x", 1, 6, Ready)}}, map[UpstreamID]State{"b": Ready}},
		{"lost and back", []Command{{Join: announcement("a", "x", 1, 5, Ready)}, {Leave: &Departure{ID: "a", StartedAt: 1, TimedOut: true}}, {Join: announcement("a", "x", 1, 6, Ready)}}, map[UpstreamID]State{"a": Ready}},
		{"leave of an earlier run", []Command{{Join: announcement("a", "x", 2, 1, Ready)}, {Leave: &Departure{ID: "a", StartedAt: 1}}}, map[UpstreamID]State{"a": Ready}},
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

// Guards against a drained domain's upstreams being used at once after the drain, when they may be cold.
func TestDrainRemembersItsEnd(t *testing.T) {
	is := is.New(t)
	r := New()
	r.Apply(1, Command{Drain: &Drain{Domain: "d", On: true}})
	is.True(r.Drained["d"])
	r.Apply(2, Command{Drain: &Drain{Domain: "d"}})
	is.True(!r.Drained["d"])
	is.Equal(r.DrainEnded["d"], ident.Index(2))
	r.Apply(3, Command{Drain: &Drain{Domain: "d"}}) // a repeated order changes nothing
	is.Equal(r.DrainEnded["d"], ident.Index(2))
}
