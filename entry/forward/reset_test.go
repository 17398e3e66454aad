package forward

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"cuminfall.example/fleet/ident"
)

// Guards against a request that still reaches its upstream after the client has disconnected. Bytes
// delayed by a bad link arrive later if the connection is closed normally, and are dropped if it is
// reset.
func TestAbortedRequestIsReset(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer func() { _ = l.Close() }()
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() {
		c, err := l.Accept()
		if err != nil {
			ended <- err
			return
		}
		in := bufio.NewReader(c)
		if _, err := http.ReadRequest(in); err != nil {
			ended <- err
			return
		}
		cancel()
		_, err = in.ReadByte()
		ended <- err
	}()
	address := ident.Address(l.Addr().String())
	client := New(Options{})
	client.Update([]Endpoint{{Address: address, MaxConnections: 1}})
	_, err = client.Do(ctx, &Request{Endpoint: address, Method: http.MethodGet, Target: "/", Host: "h", Deadline: time.Now().Add(5 * time.Second)})
	is.True(err != nil)
	is.True(errors.Is(<-ended, syscall.ECONNRESET))
}
