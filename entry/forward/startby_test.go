package forward

import (
	"bufio"
	"context"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"

	"cuminfall.example/fleet/fault"
)

// Guards against a request that is sent on a permission which ended while the request waited for its link.
func TestRequestIsNotSentAfterItsPermissionEnded(t *testing.T) {
	is := is.New(t)
	u := newUpstream(t, func(u *fakeUpstream, c net.Conn, in *bufio.Reader, _ int32) { u.echo(c, in) })
	client := u.client(t, 4)
	r := u.request("/late", 5*time.Second)
	r.Body, r.StartBy = []byte("body"), time.Now().Add(50*time.Millisecond)
	waited := false
	r.Throttle = func(int, bool) (time.Duration, int) {
		if waited {
			return 0, 0
		}
		waited = true
		return 100 * time.Millisecond, 0
	}
	_, failure := fetch(context.Background(), client, r)
	is.True(failure != nil)
	is.Equal(failure.Reason, StartedLate)
	is.True(!failure.Sent)
	is.Equal(failure.Fault.Execution, fault.NotExecuted)
	time.Sleep(50 * time.Millisecond)
	is.Equal(u.bytesRead.Load(), int64(0))

	r = u.request("/early", 5*time.Second)
	r.StartBy = time.Now().Add(time.Second)
	body, failure := fetch(context.Background(), client, r)
	is.Equal(failure, (*Failure)(nil))
	is.Equal(body, "/early")
}
