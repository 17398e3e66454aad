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

// member answers Show with reply or err and fails everything else.
type member struct {
	rpc.Operations
	err   error
	calls int
}

func (m *member) Show(context.Context, *rpc.ShowRequest) (*rpc.ShowReply, error) {
	m.calls++
	if m.err != nil {
		return nil, fault.Twirp(m.err)
	}
	return &rpc.ShowReply{Sections: []*rpc.Section{{Name: "drains", Revision: 3}}}, nil
}

func serve(t *testing.T, m *member) string {
	s := httptest.NewServer(rpc.NewOperationsServer(m))
	t.Cleanup(s.Close)
	return strings.TrimPrefix(s.URL, "http://")
}

// Guards against giving up while another member leads.
func TestFollowsTheLeader(t *testing.T) {
	is := is.New(t)
	leader := &member{}
	address := serve(t, leader)
	follower := serve(t, &member{err: fault.New(fault.Leader, "read document", address, "not the leader")})
	reply, err := Connect(clock.System{}, []string{"127.0.0.1:1", follower}).Show(context.Background(), &rpc.ShowRequest{})
	is.NoErr(err)
	is.Equal(reply.Sections[0].Revision, uint64(3))
}

// Guards against repeating a call whose refusal is final.
func TestFinalRefusalIsNotRepeated(t *testing.T) {
	is := is.New(t)
	m := &member{err: fault.New(fault.Credential, "read document", "", "wrong credential")}
	_, err := Connect(clock.System{}, []string{serve(t, m), "127.0.0.1:1"}).Show(context.Background(), &rpc.ShowRequest{})
	is.Equal(fault.Of(err).Code, fault.Credential)
	is.Equal(m.calls, 1)
}
