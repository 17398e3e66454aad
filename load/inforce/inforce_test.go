package inforce

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

// group is a control member that accepts changes and can lose the reply to the first one.
type group struct {
	rpc.Operations
	text     string
	revision uint64
	accepted map[string]*rpc.ApplyRequest
	lose     bool
	shown    int
}

func (g *group) Show(context.Context, *rpc.ShowRequest) (*rpc.ShowReply, error) {
	g.shown++
	return &rpc.ShowReply{Sections: []*rpc.Section{{Name: "workspaces", Text: g.text, Revision: g.revision}}}, nil
}

func (g *group) Apply(_ context.Context, r *rpc.ApplyRequest) (*rpc.ApplyReply, error) {
	state := rpc.ApplyState_APPLY_STATE_ACCEPTED
	switch known := g.accepted[r.Id]; {
	case known != nil && (known.Text != r.Text || known.Base != r.Base), known == nil && r.Base != g.revision:
		state = rpc.ApplyState_APPLY_STATE_CONFLICT
	case known == nil:
		g.accepted[r.Id], g.text = r, r.Text
		g.revision++
	}
	if g.lose {
		g.lose = false
		return nil, fault.Twirp(fault.New(fault.Unreachable, "apply", "", "reply lost"))
	}
	return &rpc.ApplyReply{State: state, Revision: g.revision}, nil
}

// Guards against a resend with other content, which the group would answer as a conflict.
func TestChangeIsResentUnaltered(t *testing.T) {
	is := is.New(t)
	text, err := document.Format(&document.Workspaces{Workspaces: []document.Workspace{{Name: "w", Rate: 1, Burst: 1}}})
	is.NoErr(err)
	g := &group{text: text, revision: 3, accepted: make(map[string]*rpc.ApplyRequest), lose: true}
	server := httptest.NewServer(rpc.NewOperationsServer(g))
	defer server.Close()
	s := experiment.Defaults()
	s.Control = []string{server.Listener.Addr().String()}
	m := &measure{set: &s, clock: clock.System{}, client: &http.Client{Timeout: 5 * time.Second}}
	is.NoErr(m.change(t.Context(), "one", true))
	is.Equal(g.revision, uint64(4))
	is.Equal(g.shown, 1)
	is.True(strings.Contains(g.text, keyID))
	is.NoErr(m.change(t.Context(), "two", false))
	is.True(!strings.Contains(g.text, keyID))
}

// Guards against taking a refusal for another reason as proof that a key is withdrawn.
func TestJudgeTellsKeysFromOtherRefusals(t *testing.T) {
	is := is.New(t)
	for code, want := range map[fault.Code]state{
		fault.Key: unknown, fault.Stale: stale, fault.Rate: known, fault.Busy: known, fault.Deadline: known,
		fault.Upstream: known, fault.Stopping: other, fault.Internal: other,
	} {
		is.Equal(judge(code), want)
	}
}
