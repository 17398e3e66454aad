package coordinator

import (
	"fmt"
	"io"
	"testing"

	"github.com/matryer/is"

	"cuminfall.example/control/replica"
	"cuminfall.example/fleet/catalog"
	"cuminfall.example/fleet/clock"
	"cuminfall.example/fleet/ident"
	"cuminfall.example/fleet/process"
	"cuminfall.example/fleet/registry"
)

// Guards against sending restarted entry VMs all commands of a day, each with a catalog. After a failure of all VMs
// of emberdeck-lb-grown, applying 2,600 commands took them one to three seconds.
func TestFollowersGetTheShorterOfCommandsAndState(t *testing.T) {
	is := is.New(t)
	m := NewStateMachine(&process.EventLog{FieldLogger: process.NewLogger(io.Discard, "info"), Clock: clock.System{}})
	routes := map[string]catalog.Route{}
	for i := range 200 {
		name := fmt.Sprint("route", i)
		routes[name] = catalog.Route{Name: name, Host: "h", Prefix: fmt.Sprintf("/%d/", i), Splits: []catalog.Split{{Service: "s", Weight: 1}}}
	}
	const changes = 40
	for i := range changes {
		c := registry.Command{Change: &catalog.Change{Base: catalog.Version(i), Version: catalog.Version(i + 1), Full: true, Digest: fmt.Sprint(i),
			Items: catalog.Items{Routes: routes, Services: map[ident.Service]catalog.Service{"s": {Name: "s"}}}}}
		m.Apply(replica.Entry{Index: ident.Index(i + 1), Data: c.Encode()})
	}
	is.Equal(m.registry.Version(), catalog.Version(changes))
	reply, err := m.entriesAfter(0)
	is.NoErr(err)
	is.Equal(len(reply.Entries), 0)
	is.True(len(reply.State) > 0)
	fresh := registry.New()
	is.NoErr(fresh.Restore(reply.State))
	is.Equal(fresh.Version(), m.registry.Version())
	is.Equal(fresh.Index, m.registry.Index)
	reply, err = m.entriesAfter(changes - 1)
	is.NoErr(err)
	is.Equal(len(reply.Entries), 1) // the command is not longer than the state
	is.Equal(len(reply.State), 0)
}
