package forward

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"
)

// Guards against a request that reaches an upstream which withdrew while the connection was being opened, and against
// the loss of that connection.
func TestWithheldRequestSendsNothing(t *testing.T) {
	u := newUpstream(t, func(_ *fakeUpstream, c net.Conn, in *bufio.Reader, _ int32) {
		for {
			if _, err := http.ReadRequest(in); err != nil {
				return
			}
			_, _ = fmt.Fprint(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
		}
	})
	client := New(Options{ClientID: 1})
	defer client.Close()
	client.Update([]Endpoint{{Address: u.address, Incarnation: 1, MaxConnections: 1}})
	request := &Request{Endpoint: u.address, Incarnation: 1, Method: http.MethodGet, Target: "/", Host: "h", Deadline: time.Now().Add(5 * time.Second)}
	request.BeforeSend = func() error { return errors.New("leaving") }
	for range 3 {
		_, err := client.Do(context.Background(), request)
		var f *Failure
		u.True(errors.As(err, &f))
		u.Equal(f.Reason, Withheld)
		u.True(!f.Sent)
	}
	u.Equal(u.bytesRead.Load(), int64(0))
	request.BeforeSend = func() error { return nil }
	x, err := client.Do(context.Background(), request)
	u.NoErr(err)
	x.Close()
	u.Equal(u.accepted.Load(), int32(1))
}

// Guards against missing what an upstream says in an interim response or in one that fails, and against taking what a
// response to another request says for news.
func TestHeadsOfTheRequestAreReported(t *testing.T) {
	for _, c := range []struct {
		name, answer string
		statuses     []int
	}{
		{"interim response", "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", []int{103, 200}},
		{"response without an end", "HTTP/1.1 503 Busy\r\nX-Id: r\r\nContent-Length: 9\r\n\r\nx", []int{503}},
		{"response to another request first", "HTTP/1.1 503 Busy\r\nX-Id: other\r\nContent-Length: 0\r\n\r\nHTTP/1.1 200 OK\r\nX-Id: r\r\nContent-Length: 0\r\n\r\n", []int{200}},
	} {
		t.Run(c.name, func(t *testing.T) {
			u := newUpstream(t, func(_ *fakeUpstream, conn net.Conn, in *bufio.Reader, _ int32) {
				if _, err := http.ReadRequest(in); err == nil {
					_, _ = fmt.Fprint(conn, c.answer)
				}
			})
			client := New(Options{ClientID: 1, WireFormat: &WireFormat{TimeoutHeader: "X-Left", RequestIDHeader: "X-Id"}})
			defer client.Close()
			client.Update([]Endpoint{{Address: u.address, Incarnation: 1, MaxConnections: 1}})
			var statuses []int
			x, err := client.Do(context.Background(), &Request{Endpoint: u.address, Incarnation: 1, Method: http.MethodGet, Target: "/", Host: "h",
				Header: http.Header{"X-Id": {"r"}}, Deadline: time.Now().Add(5 * time.Second),
				OnHead: func(status int, _ http.Header) { statuses = append(statuses, status) }})
			u.NoErr(err)
			x.Close()
			u.Equal(statuses, c.statuses)
		})
	}
}

func TestQuietSpan(t *testing.T) {
	now := time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
	for _, c := range []struct {
		text, date string
		span       time.Duration
		bad        bool
	}{
		{"", "", 0, false},
		{"2", "", 2 * time.Second, false},
		{" 0.25 ", "", 250 * time.Millisecond, false},
		{"0", "", 0, false},
		{"Tue, 01 Jan 2030 00:00:07 GMT", "", 7 * time.Second, false},
		{"Tue, 01 Jan 2030 00:00:07 GMT", "Tue, 01 Jan 2030 00:00:02 GMT", 5 * time.Second, false},
		{"Mon, 31 Dec 2029 23:59:59 GMT", "", fallbackQuiet, true},
		{"-3", "", fallbackQuiet, true},
		{"soon", "", fallbackQuiet, true},
		{"NaN", "", fallbackQuiet, true},
		{"inf", "", MaxQuiet, true},
		{"1e400", "", MaxQuiet, true},
		{"99999999999", "", MaxQuiet, true},
		{"1\n4\n2", "", 4 * time.Second, false},
		{"soon\n4", "", 4 * time.Second, true},
		{"Tue, 01 Jan 2030 00:00:07 GMT\n2", "", 7 * time.Second, false},
		{"0\n3", "", 3 * time.Second, false},
	} {
		t.Run(c.text, func(t *testing.T) {
			is := is.New(t)
			h := http.Header{}
			for _, line := range strings.Split(c.text, "\n") {
				h.Add("Retry-After", line)
			}
			h.Set("Date", c.date)
			span, err := QuietSpan(h, now)
			is.Equal(span, c.span)
			is.Equal(err != nil, c.bad)
		})
	}
}

// Guards against a refusal that arrives when the request has just been given up: a distant upstream sends it at its time
// limit, for a request that waited in its queue until then.
func TestRefusalAtTheTimeLimitIsRead(t *testing.T) {
	const timeout, roundTrip = 2 * time.Second, 1200 * time.Millisecond
	u := newUpstream(t, func(u *fakeUpstream, conn net.Conn, in *bufio.Reader, _ int32) {
		for _, answer := range []string{"200 OK", "503 Busy"} {
			r, err := http.ReadRequest(in)
			if err != nil {
				return
			}
			if answer == "503 Busy" {
				limit, err := time.ParseDuration(r.Header.Get("X-Left") + "ms")
				u.NoErr(err)
				time.Sleep(roundTrip/2 + limit) // half of it on each way
			}
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 %s\r\nX-Id: %s\r\nContent-Length: 0\r\n\r\n", answer, r.Header.Get("X-Id"))
		}
	})
	client := New(Options{ClientID: 1, WireFormat: &WireFormat{TimeoutHeader: "X-Left", RequestIDHeader: "X-Id"}})
	defer client.Close()
	client.Update([]Endpoint{{Address: u.address, Incarnation: 1, MaxConnections: 1}})
	for i, status := range []int{http.StatusOK, http.StatusServiceUnavailable} {
		request := u.request("/", timeout)
		request.Header = http.Header{"X-Id": {fmt.Sprint(i)}}
		x, err := client.Do(context.Background(), request)
		u.NoErr(err)
		u.Equal(x.Status, status)
		x.Close()
		client.findPool(request).roundTrip.Store(int64(roundTrip))
	}
}
