package client

import (
	"context"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"

	"cuminfall.example/fleet/clock"
	"cuminfall.example/fleet/fault"
	"cuminfall.example/fleet/rpc"
)

// fakeMember implements Show only; it returns err if set and one section otherwise.
type fakeMember struct {
	rpc.Operations
	err   error
	calls int
}

func (m *fakeMember) Show(context.Context, *rpc.ShowRequest) (*rpc.ShowReply, error) {
	m.calls++
	if m.err != nil {
		return nil, fault.Twirp(m.err)
	}
	return &rpc.ShowReply{Sections: []*rpc.Section{{Name: "drains", Revision: 3}}}, nil
}

func startMember(t *testing.T, m *fakeMember) string {
	s := httptest.NewServer(rpc.NewOperationsServer(m))
	t.Cleanup(s.Close)
	return strings.TrimPrefix(s.URL, "http://")
}

// Guards against failing a call when the given address belongs to a follower, although its refusal names the leader.
func TestFollowsLeaderHint(t *testing.T) {
	is := is.New(t)
	leader := &fakeMember{}
	address := startMember(t, leader)
	follower := startMember(t, &fakeMember{err: fault.New(fault.NotLeader, "read document", address, "not the leader")})
	reply, err := Connect(clock.System{}, []string{"127.0.0.1:1", follower}).Show(context.Background(), &rpc.ShowRequest{})
	is.NoErr(err)
	is.Equal(reply.Sections[0].Revision, uint64(3))
}

// Guards against retrying a call on other members after a refusal that no member would answer differently.
func TestFinalRefusalIsNotRetried(t *testing.T) {
	is := is.New(t)
	m := &fakeMember{err: fault.New(fault.InvalidCredential, "read document", "", "wrong credential")}
	_, err := Connect(clock.System{}, []string{startMember(t, m), "127.0.0.1:1"}).Show(context.Background(), &rpc.ShowRequest{})
	is.Equal(fault.Of(err).Code, fault.InvalidCredential)
	is.Equal(m.calls, 1)
}
