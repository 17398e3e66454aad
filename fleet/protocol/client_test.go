package protocol

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"

	"cuminfall.example/fleet/fault"
	"cuminfall.example/fleet/ident"
	"cuminfall.example/fleet/registry"
)

// Guards against uncompressed registries, which saturate the links of small VMs: 700 upstreams take 180 KB.
func TestLongRepliesAreCompressed(t *testing.T) {
	is := is.New(t)
	r := registry.New()
	for i := range 700 {
		id := registry.UpstreamID("i-" + strings.Repeat("0", i%7) + string(rune('a'+i%26)) + string(rune('a'+i/26)))
		r.Upstreams[id] = registry.Upstream{ID: id, Service: "catalogue", Domain: "bne-a", Slots: 3, State: registry.Ready}
	}
	state, err := r.Encode()
	is.NoErr(err)
	var sentBytes int64
	mux := http.NewServeMux()
	mux.Handle(FollowPath, NewHandler(func(context.Context, []byte) (any, error) { return FollowReply{Index: 7, State: state}, nil }))
	mux.Handle(ReadPath, NewHandler(func(context.Context, []byte) (any, error) {
		return nil, fault.New(fault.NotLeader, "read", "", "this member does not lead")
	}))
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		mux.ServeHTTP(&byteCounter{w, &sentBytes}, r)
	}))
	defer server.Close()
	address := ident.Address(server.Listener.Addr().String())
	var c Client
	var reply FollowReply
	is.NoErr(c.Call(context.Background(), address, FollowPath, FollowRequest{}, &reply))
	is.Equal(string(reply.State), string(state))
	is.True(sentBytes*5 < int64(len(state)))
	err = c.Call(context.Background(), address, ReadPath, struct{}{}, &reply)
	is.True(err != nil)
	is.True(strings.Contains(err.Error(), "does not lead"))
}

// byteCounter counts the bytes of response bodies.
type byteCounter struct {
	http.ResponseWriter
	n *int64
}

func (c *byteCounter) Write(b []byte) (int, error) {
	*c.n += int64(len(b))
	return c.ResponseWriter.Write(b)
}
