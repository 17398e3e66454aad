package coordinator

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"cuminfall.example/control/replica"
	"cuminfall.example/fleet/ident"
)

// Guards against an order that a member reads in a planned stop and neither carries out nor refuses, because its head was
// still arriving, on a new connection or on one that had carried another order.
func TestPlannedStopAnswersArrivingOrders(t *testing.T) {
	is := is.New(t)
	var handled atomic.Int32
	orders := http.HandlerFunc(func(http.ResponseWriter, *http.Request) { handled.Add(1) })
	public := freeAddress(t)
	m := &member{t: t, address: freeAddress(t), folder: t.TempDir(), services: []HTTPService{{public, orders}}}
	is.NoErr(replica.Bootstrap(m.folder, m.address, []ident.Address{m.address}))
	m.start()
	dial := func() (net.Conn, *bufio.Reader) {
		var c net.Conn
		eventually(t, "the member listens", func() (ok bool) {
			var err error
			c, err = net.Dial("tcp", string(public))
			return err == nil
		})
		is.NoErr(c.SetDeadline(time.Now().Add(10 * time.Second)))
		return c, bufio.NewReader(c)
	}
	const head = " /%s HTTP/1.1\r\nHost: h\r\n\r\n"
	fresh, freshIn := dial()
	kept, keptIn := dial()
	_, err := fmt.Fprintf(kept, "GET"+head, "first")
	is.NoErr(err)
	response, err := http.ReadResponse(keptIn, nil)
	is.NoErr(err)
	is.Equal(response.StatusCode, http.StatusOK)
	for _, c := range []net.Conn{fresh, kept} {
		_, err := io.WriteString(c, "POST")
		is.NoErr(err)
	}
	time.Sleep(50 * time.Millisecond)
	m.cancel()
	time.Sleep(400 * time.Millisecond)
	for i, in := range []*bufio.Reader{freshIn, keptIn} {
		_, err := fmt.Fprintf([]net.Conn{fresh, kept}[i], head, "second")
		is.NoErr(err)
		response, err := http.ReadResponse(in, nil)
		is.NoErr(err)
		is.Equal(response.StatusCode, http.StatusOK)
		is.True(response.Close) // the caller goes to another member
	}
	is.NoErr(<-m.done)
	is.Equal(handled.Load(), int32(3))
}
