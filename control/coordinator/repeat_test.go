package coordinator

import (
	"context"
	"fmt"
	"io"
	"strings"
	"testing"

	"github.com/matryer/is"

	"cuminfall.example/control/replica"
	"cuminfall.example/fleet/catalog"
	"cuminfall.example/fleet/clock"
	"cuminfall.example/fleet/fault"
	"cuminfall.example/fleet/ident"
	"cuminfall.example/fleet/process"
	"cuminfall.example/fleet/registry"
)

// Guards against an operator's repeat of a large change that is logged whole again, and takes too long again, each time.
func TestRepeatedChangeIsAnsweredWithoutAnotherEntry(t *testing.T) {
	is := is.New(t)
	members := startGroup(t)
	ctx := context.Background()
	for i, ch := range []*catalog.Change{catalogChange(0, 1, "a"), catalogChange(1, 2, "b")} {
		eventually(t, fmt.Sprintf("change %d is accepted", i), func() bool {
			result, err := members[i].Change(ctx, ch, nil)
			return err == nil && result == registry.Result{}
		})
	}
	var last ident.Index // of the leader, which may have logged a change twice when its result was late
	eventually(t, "all members have applied what is committed", func() bool {
		for _, m := range members {
			last = max(last, m.opts.StateMachine.index())
		}
		for _, m := range members {
			s := m.opts.Replica.Status()
			if s.Committed != s.Applied || m.opts.StateMachine.index() != last {
				return false
			}
		}
		return true
	})
	for _, m := range members {
		for range 3 {
			result, err := m.Change(ctx, catalogChange(0, 1, "a"), nil)
			is.NoErr(err)
			is.Equal(result, registry.Result{})
			result, err = m.Change(ctx, catalogChange(1, 3, "of an earlier version"), nil)
			is.NoErr(err)
			is.Equal(result.Code, fault.Conflict)
		}
	}
	is.Equal(members[0].opts.StateMachine.index(), last)
}

// Guards against commands for followers that are bounded by their number only, as one may hold a whole catalog.
func TestCommandsForFollowersAreBoundedInBytes(t *testing.T) {
	is := is.New(t)
	m := NewStateMachine(&process.EventLog{FieldLogger: process.NewLogger(io.Discard, "info"), Clock: clock.System{}})
	for i := range 40 {
		c := registry.Command{Change: catalogChange(catalog.Version(i), catalog.Version(i+1), strings.Repeat("d", 1<<20)+fmt.Sprint(i))}
		m.Apply(replica.Entry{Index: ident.Index(i + 1), Data: c.Encode()})
		total := 0
		for _, e := range m.entries {
			total += len(e.Command)
		}
		is.True(ident.Bytes(total) <= maxEntryBytes)
		is.Equal(ident.Bytes(total), m.entryBytes)
	}
	is.Equal(m.base, ident.Index(40-len(m.entries)))
	reply, err := m.entriesAfter(0)
	is.NoErr(err)
	is.True(len(reply.State) > 0)
}
