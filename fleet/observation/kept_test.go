package observation

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"cuminfall.example/fleet/ident"
	"cuminfall.example/fleet/registry"
)

// factsAbout returns facts of a kind about a request at upstreams.
func factsAbout(kind Kind, subject string, upstreams ...registry.UpstreamID) (facts []Fact) {
	for _, u := range upstreams {
		facts = append(facts, Fact{Kind: kind, Subject: subject, Upstream: u})
	}
	return facts
}

// boardWith returns a board that received facts in an order.
func boardWith(now time.Time, facts ...Fact) *Board {
	b := &Board{}
	for _, f := range facts {
		b.records.add(now, Observation{Fact: f, Left: time.Hour})
	}
	return b
}

func TestDurableFacts(t *testing.T) {
	now := time.Unix(0, 0)
	two := factsAbout(Crash, "x", "u", "v")
	claim := Fact{Kind: Claim, Subject: "x", VM: "a", Round: 1}
	for name, c := range map[string]struct{ facts, want []Fact }{
		"one crash":              {factsAbout(Crash, "x", "u"), nil},
		"two crashes":            {two, two},
		"two crashes, answered":  {append(factsAbout(Answered, "x", "u", "v"), two...), nil},
		"one answer":             {append(factsAbout(Crash, "x", "u", "v", "w"), factsAbout(Answered, "x", "u")...), factsAbout(Crash, "x", "v", "w")},
		"a claim in between":     {[]Fact{two[0], claim, two[1]}, []Fact{two[0], claim, two[1]}},
		"a claim before crashes": {[]Fact{claim}, []Fact{claim}},
		"a claim, answered":      {append(append([]Fact{claim}, two...), factsAbout(Answered, "x", "u", "v")...), nil},
		"another kind":           {factsAbout(Leaving, "x", "u", "v"), nil},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			got := boardWith(now, c.facts...).Durable(now)
			is.Equal(len(got), len(c.want))
			for i := range got {
				is.Equal(got[i], c.want[i])
			}
		})
	}
}

// Guards against a request with many crashes that is forgotten because many others had a few.
func TestDurableFactsBeyondTheLimit(t *testing.T) {
	is := is.New(t)
	now := time.Unix(0, 0)
	var facts []Fact
	for i := range registry.MaxKeptFacts {
		facts = append(facts, factsAbout(Crash, fmt.Sprint(i), "u", "v")...)
	}
	deadly := factsAbout(Crash, "deadly", "u", "v", "w")
	got := boardWith(now, append(facts, deadly...)...).Durable(now)
	is.True(len(got) <= registry.MaxKeptFacts)
	is.Equal(got[len(got)-len(deadly):], deadly)
}

// Guards against restored facts that last without end, or whose crashes look simultaneous with the present.
func TestRestoredFacts(t *testing.T) {
	is := is.New(t)
	now := time.Unix(0, 0)
	var s Set
	is.Equal(len(s.Restore(now, factsAbout(Crash, "x", "u", "v"))), 2)
	is.Equal(len(s.Restore(now, factsAbout(Crash, "x", "u", "v"))), 0)
	var learned []time.Time
	s.All(now, func(_ Fact, at time.Time) { learned = append(learned, at) })
	is.True(learned[0].Before(learned[1]))
	is.True(!learned[1].After(now.Add(-restoredAge)))
	is.Equal(len(s.Report(now).Facts), 2) // a leader that lacks them gets them
	s.records.expire(now.Add(maxLifetime))
	is.Equal(s.Len(), 0)
}

// Guards against a fact that lives for ever because each new leader restores it with a full lifetime.
func TestRestoredFactExpiresWithItsCopies(t *testing.T) {
	kept := factsAbout(Crash, "x", "u", "v")
	for name, learn := range map[string]func(*Set){
		"learned": func(vm *Set) {
			for _, f := range kept {
				vm.Add(epoch, f, maxLifetime)
			}
		},
		"restored": func(vm *Set) { vm.Restore(epoch, kept) },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var vm Set
			learn(&vm)
			kept, now := kept, epoch
			for term := ident.Term(1); now.Before(epoch.Add(2 * maxLifetime)); term++ {
				var board Board
				board.Restore(now, kept)
				for next := now.Add(16 * time.Minute); now.Before(next); now = now.Add(time.Minute) {
					exchange(now, &vm, &board, term)
					kept = board.Durable(now)
				}
			}
			is.Equal(len(kept), 0)
			is.Equal(vm.Len(), 0)
		})
	}
}

// Guards against a VM that takes a fact from before its start for a new one because the leader's reply came before the registry.
func TestFactIsRestoredAfterTheLeadersReply(t *testing.T) {
	is := is.New(t)
	var vm Set
	var board Board
	claim := Fact{Kind: Claim, Subject: "x", VM: "a", Round: 1}
	board.Restore(epoch, []Fact{claim})
	exchange(epoch, &vm, &board, 1)
	is.Equal(len(vm.Restore(epoch, []Fact{claim})), 0)
	is.True(vm.Restored(claim))
}
