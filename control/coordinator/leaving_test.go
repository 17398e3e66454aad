package coordinator

import (
	"io"
	"testing"
	"time"

	"github.com/matryer/is"

	"cuminfall.example/control/replica"
	"cuminfall.example/fleet/clock"
	"cuminfall.example/fleet/ident"
	"cuminfall.example/fleet/observation"
	"cuminfall.example/fleet/process"
	"cuminfall.example/fleet/registry"
)

// Guards against plans with an upstream that has told a VM that it leaves and still announces itself as ready.
func TestPlansOmitLeavingUpstreams(t *testing.T) {
	is := is.New(t)
	machine := NewStateMachine(&process.EventLog{FieldLogger: process.NewLogger(io.Discard, "info"), Clock: clock.System{}})
	u := registry.Upstream{ID: "u", Service: "s", Address: "127.0.0.1:1", Domain: "d", Slots: 2, StartedAt: 1, Sequence: 1, State: registry.Ready}
	machine.Apply(replica.Entry{Index: 1, Data: registry.Command{Join: &u}.Encode()})
	c := New(Options{StateMachine: machine, Clock: &clock.Fake{}, Regions: map[ident.Domain]ident.Region{"d": "r"}})
	now := time.Unix(1000, 0)
	c.refreshUsable(now)
	is.Equal(len(c.usable["s"]["r"]), 1)
	c.observations.Exchange(now, 1, &observation.Report{Facts: []observation.Observation{{Fact: observation.LeavingFact(u), Left: observation.LeavingLifetime}}})
	c.refreshUsable(now)
	is.Equal(len(c.usable["s"]["r"]), 0)
	is.Equal(c.slotCapacity["s"]["r"], 0.0)
	u.StartedAt++
	machine.Apply(replica.Entry{Index: 2, Data: registry.Command{Join: &u}.Encode()})
	c.refreshUsable(now)
	is.Equal(len(c.usable["s"]["r"]), 1)
}
