package coordinator

import (
	"fmt"
	"io"
	"slices"
	"testing"

	"github.com/matryer/is"

	"cuminfall.example/fleet/clock"
	"cuminfall.example/fleet/ident"
	"cuminfall.example/fleet/process"
	"cuminfall.example/fleet/registry"
)

// Guards against a look-up whose answer differs each time, as it had the order of a map, and against VMs of a large region that no
// caller learns of.
func TestLookupsAreAnsweredInOrder(t *testing.T) {
	is := is.New(t)
	log := &process.EventLog{FieldLogger: process.NewLogger(io.Discard, "info"), Clock: clock.System{}}
	const limit = 64
	for _, count := range []int{5, limit, limit + 2, 2*limit + 17} {
		c := New(Options{StateMachine: NewStateMachine(log), Log: log})
		c.opts.StateMachine.view(func(r *registry.Registry) {
			for i := range count {
				name := ident.VM(fmt.Sprintf("vm%03d", i))
				r.VMs[name] = registry.VM{Name: name, Address: ident.Address(name), Domain: "d", Up: true}
			}
		})
		returned := map[ident.Address]int{}
		lookups := 10 * count
		for range lookups {
			list := c.EntryAddresses("r", map[ident.Domain]ident.Region{"d": "r"}, limit)
			is.Equal(len(list), min(count, limit))
			is.True(slices.IsSorted(list))
			for _, a := range list {
				returned[a]++
			}
		}
		is.Equal(len(returned), count)
		for _, n := range returned {
			is.Equal(n, lookups*min(count, limit)/count)
		}
	}
}
