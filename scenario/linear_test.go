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

// call is a change on a base revision, or a read where text is empty.
type call struct {
	base uint64
	text string
}

// result is what a call returned.
type result struct {
	accepted bool
	revision uint64
	text     string
}

// section is the state of the model: one section of the document.
type section struct {
	revision uint64
	text     string
}

// model accepts a change exactly when its base revision is the present one.
var model = porcupine.Model{
	Init: func() any { return section{} },
	Step: func(state, input, output any) (bool, any) {
		s, c, r := state.(section), input.(call), output.(result)
		if c.text == "" {
			return r.revision == s.revision && r.text == s.text, s
		}
		if !r.accepted {
			return c.base != s.revision, s
		}
		next := section{revision: s.revision + 1, text: c.text}
		return c.base == s.revision && r.revision == next.revision, next
	},
	DescribeOperation: func(input, output any) string { return fmt.Sprintf("%+v -> %+v", input, output) },
}

// history records operations of several clients.
type history struct {
	began time.Time
	mu    sync.Mutex
	ops   []porcupine.Operation
}

func (h *history) add(client int, c call, began time.Time, r result) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.ops = append(h.ops, porcupine.Operation{
		ClientId: client, Input: c, Call: began.Sub(h.began).Nanoseconds(),
		Output: r, Return: time.Since(h.began).Nanoseconds(),
	})
}

// operate reads the section and changes it on the revision read, until ctx ends. A call whose answer was
// lost is repeated under its id until the outcome is known, so that no operation is left open.
func (h *history) operate(ctx context.Context, id int, fleet client.ControlGroup) {
	for n := 0; ctx.Err() == nil; n++ {
		began := time.Now()
		reply, err := fleet.Show(context.Background(), &rpc.ShowRequest{Section: "drains"})
		if err != nil {
			continue
		}
		var read result
		for _, s := range reply.Sections {
			read.revision, read.text = s.Revision, s.Text
		}
		h.add(id, call{}, began, read)

		change := call{base: read.revision, text: fmt.Sprintf("# change %d of client %d\n", n, id)}
		began = time.Now()
		for {
			out, err := fleet.Apply(context.Background(), &rpc.ApplyRequest{
				Section: "drains", Base: change.base, Id: fmt.Sprintf("c%d-%d", id, n),
				Operator: "admin", Credential: credential, Text: change.text,
			})
			if err != nil {
				continue
			}
			accepted := out.State == rpc.ApplyState_APPLY_STATE_ACCEPTED
			h.add(id, change, began, result{accepted: accepted, revision: out.Revision})
			break
		}
	}
}

// Guards against a change that is accepted and then lost, applied twice or overtaken by an older one, while
// leaders crash, freeze and are cut off.
func TestChangesAreLinearizable(t *testing.T) {
	is := is.New(t)
	f, err := newFleet(t.TempDir())
	is.NoErr(err)
	t.Cleanup(f.close)
	is.NoErr(f.deploy(params{"entry": "1"}))
	h := &history{began: time.Now()}
	ctx, cancel := context.WithCancel(context.Background())
	var clients sync.WaitGroup
	for id := range 4 {
		clients.Go(func() {
			h.operate(ctx, id, client.Connect(clock.System{}, []string{f.address("control1"), f.address("control2"), f.address("control3")}))
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
	is.True(changes >= 20) // a history without changes proves nothing
	verdict := porcupine.CheckOperationsTimeout(model, h.ops, time.Minute)
	is.Equal(verdict, porcupine.Ok)
}
