package propagation

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"cuminfall.example/fleet/clock"
	"cuminfall.example/fleet/document"
	"cuminfall.example/fleet/fault"
	"cuminfall.example/fleet/rpc"
	"cuminfall.example/load/experiment"
)

// controlMember simulates a control member that accepts changes and can drop the reply to the first one.
type controlMember struct {
	rpc.Operations
	text      string
	revision  uint64
	accepted  map[string]*rpc.ApplyRequest
	dropReply bool
	showCalls int
}

func (g *controlMember) Show(context.Context, *rpc.ShowRequest) (*rpc.ShowReply, error) {
	g.showCalls++
	return &rpc.ShowReply{Sections: []*rpc.Section{{Name: "workspaces", Text: g.text, Revision: g.revision}}}, nil
}

func (g *controlMember) Apply(_ context.Context, r *rpc.ApplyRequest) (*rpc.ApplyReply, error) {
	state := rpc.ApplyState_APPLY_STATE_ACCEPTED
	switch known := g.accepted[r.Id]; {
	case known != nil && (known.Text != r.Text || known.Base != r.Base), known == nil && r.Base != g.revision:
		state = rpc.ApplyState_APPLY_STATE_CONFLICT
	case known == nil:
		g.accepted[r.Id], g.text = r, r.Text
		g.revision++
	}
	if g.dropReply {
		g.dropReply = false
		return nil, fault.Twirp(fault.New(fault.Unreachable, "apply", "", "reply lost"))
	}
	return &rpc.ApplyReply{State: state, Revision: g.revision}, nil
}

// Guards against sending a change again with different content after its reply was lost: the control group would
// reject it as a conflict.
func TestChangeIsResentUnchanged(t *testing.T) {
	is := is.New(t)
	text, err := document.Format(&document.Workspaces{Workspaces: []document.Workspace{{Name: "w", Rate: 1, Burst: 1}}})
	is.NoErr(err)
	g := &controlMember{text: text, revision: 3, accepted: make(map[string]*rpc.ApplyRequest), dropReply: true}
	server := httptest.NewServer(rpc.NewOperationsServer(g))
	defer server.Close()
	s := experiment.Defaults()
	s.ControlAddresses = []string{server.Listener.Addr().String()}
	m := &measurement{settings: &s, clock: clock.System{}, client: &http.Client{Timeout: 5 * time.Second}}
	is.NoErr(m.applyChange(t.Context(), "one", true))
	is.Equal(g.revision, uint64(4))
	is.Equal(g.showCalls, 1)
	is.True(strings.Contains(g.text, keyID))
	is.NoErr(m.applyChange(t.Context(), "two", false))
	is.True(!strings.Contains(g.text, keyID))
}

// Guards against treating a refusal for another reason as proof that the key is withdrawn.
func TestKeyStateFromRefusalCode(t *testing.T) {
	is := is.New(t)
	for code, want := range map[fault.Code]keyState{
		fault.InvalidKey: keyUnknown, fault.Stale: viewStale, fault.RateExceeded: keyKnown, fault.Busy: keyKnown, fault.Deadline: keyKnown,
		fault.Upstream: keyKnown, fault.Stopping: keyStateOther, fault.Internal: keyStateOther,
	} {
		is.Equal(keyStateFromCode(code), want)
	}
}
