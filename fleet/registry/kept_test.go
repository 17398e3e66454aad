package registry

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"cuminfall.example/fleet/ident"
)

func TestKeptFacts(t *testing.T) {
	is := is.New(t)
	fact := func(i int) Fact { return Fact{Kind: "crash", Subject: fmt.Sprint(i)} }
	r := New()
	is.Equal(r.Apply(1, Command{Keep: &Keep{Add: []Fact{fact(1), fact(2)}}}), Result{})
	r.Apply(2, Command{Keep: &Keep{Add: []Fact{fact(2), fact(3)}, Forget: []Fact{fact(1)}}})
	is.Equal(r.Kept, []Fact{fact(2), fact(3)})
	is.Equal(r.ChangedIndex, ident.Index(0)) // upstreams and VMs did not change
	state, err := r.Encode()
	is.NoErr(err)
	restored := New()
	is.NoErr(restored.Restore(state))
	is.Equal(restored.Kept, r.Kept)
	for i := range MaxKeptFacts {
		r.Apply(ident.Index(3+i), Command{Keep: &Keep{Add: []Fact{fact(i + 4)}}})
	}
	is.Equal(len(r.Kept), MaxKeptFacts)
	is.Equal(r.Kept[0], fact(4)) // the oldest ones were dropped
}

// Guards against a registry of an earlier build that is not read.
func TestStateWithoutKeptFacts(t *testing.T) {
	is := is.New(t)
	r := New()
	is.NoErr(r.Restore([]byte(`{"index":7,"moved":3}`)))
	is.Equal(r.Index, ident.Index(7))
	c, err := Decode([]byte(`{"drain":{"domain":"d","on":true}}`))
	is.NoErr(err)
	is.Equal(r.Apply(8, c), Result{})
}
