package scenario

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/matryer/is"

	"cuminfall.example/cuminfall/client"
	"cuminfall.example/fleet/clock"
	"cuminfall.example/fleet/rpc"
)

// operation is a change with the given base revision, or a read if text is empty.
type operation struct {
	base uint64
	text string
}

// result is the outcome of an operation.
type result struct {
	accepted bool
	revision uint64
	text     string
}

// sectionState is the state of the model: the content of one section of the document.
type sectionState struct {
	revision uint64
	text     string
}

// documentModel specifies one section: a change is accepted if and only if its base revision is the current one,
// and a read returns the last accepted change.
var documentModel = porcupine.Model{
	Init: func() any { return sectionState{} },
	Step: func(state, input, output any) (bool, any) {
		s, c, r := state.(sectionState), input.(operation), output.(result)
		if c.text == "" {
			return r.revision == s.revision && r.text == s.text, s
		}
		if !r.accepted {
			return c.base != s.revision, s
		}
		next := sectionState{revision: s.revision + 1, text: c.text}
		return c.base == s.revision && r.revision == next.revision, next
	},
	DescribeOperation: func(input, output any) string { return fmt.Sprintf("%+v -> %+v", input, output) },
}

// history records the operations of several concurrent clients.
type history struct {
	startedAt time.Time
	mu        sync.Mutex
	ops       []porcupine.Operation
}

func (h *history) add(client int, c operation, calledAt time.Time, r result) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.ops = append(h.ops, porcupine.Operation{
		ClientId: client, Input: c, Call: calledAt.Sub(h.startedAt).Nanoseconds(),
		Output: r, Return: time.Since(h.startedAt).Nanoseconds(),
	})
}

// runClient reads the section and changes it, with the revision it read as the base, until ctx ends. A change whose
// response was lost is repeated with the same id until its outcome is known, so that no operation is left open.
func (h *history) runClient(ctx context.Context, id int, fleet client.ControlGroup) {
	for n := 0; ctx.Err() == nil; n++ {
		calledAt := time.Now()
		reply, err := fleet.Show(context.Background(), &rpc.ShowRequest{Section: "drains"})
		if err != nil {
			continue
		}
		var read result
		for _, s := range reply.Sections {
			read.revision, read.text = s.Revision, s.Text
		}
		h.add(id, operation{}, calledAt, read)

		change := operation{base: read.revision, text: fmt.Sprintf("# change %d of client %d\n", n, id)}
		calledAt = time.Now()
		for {
			out, err := fleet.Apply(context.Background(), &rpc.ApplyRequest{
				Section: "drains", Base: change.base, Id: fmt.Sprintf("c%d-%d", id, n),
				Operator: "admin", Credential: operatorCredential, Text: change.text,
			})
			if err != nil {
				continue
			}
			accepted := out.State == rpc.ApplyState_APPLY_STATE_ACCEPTED
			h.add(id, change, calledAt, result{accepted: accepted, revision: out.Revision})
			break
		}
	}
}

// Guards against an accepted change that is lost, applied twice or replaced by an older one, when leaders crash,
// freeze or are cut off from the group.
func TestChangesAreLinearizable(t *testing.T) {
	is := is.New(t)
	f, err := newFleet(t.TempDir())
	is.NoErr(err)
	t.Cleanup(f.close)
	is.NoErr(f.deploy(params{"entry": "1"}))
	h := &history{startedAt: time.Now()}
	ctx, cancel := context.WithCancel(context.Background())
	var clients sync.WaitGroup
	for id := range 4 {
		clients.Go(func() {
			h.runClient(ctx, id, client.Connect(clock.System{}, []string{f.proxyAddress("control1"), f.proxyAddress("control2"), f.proxyAddress("control3")}))
		})
	}
	faults := []func() error{
		func() error { return f.crashLeader(1) },
		func() error { return f.freezeLeader(2 * time.Second) },
		func() error { return f.cutLeader(2 * time.Second) },
		func() error { return f.crashLeader(2) },
	}
	for _, fault := range faults {
		time.Sleep(time.Second)
		is.NoErr(fault())
	}
	time.Sleep(time.Second)
	cancel()
	clients.Wait()
	changes := 0
	for _, op := range h.ops {
		if op.Output.(result).accepted {
			changes++
		}
	}
	t.Logf("%d operations, %d accepted changes", len(h.ops), changes)
	is.True(changes >= 20) // any history without changes would pass
	verdict := porcupine.CheckOperationsTimeout(documentModel, h.ops, time.Minute)
	is.Equal(verdict, porcupine.Ok)
}
