package proxy

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
)

// serveRaw takes a connection over from the server and calls answer for each request on it.
func serveRaw(t *testing.T, answer func(c net.Conn, r *http.Request)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		c, buffered, err := w.(http.Hijacker).Hijack()
		if err != nil {
			t.Error(err)
			return
		}
		defer func() { _ = c.Close() }()
		for in := bufio.NewReader(buffered); err == nil; r, err = http.ReadRequest(in) {
			answer(c, r)
		}
	}
}

// promisesNotRun reports whether a response of the given status says that the request did not run.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// ownAnswer is the answer to the request of the given ID.
func ownAnswer(status, id string) string {
	return fmt.Sprintf("HTTP/1.1 %s\r\nX-Id: %s\r\nX-Stamp: s\r\nContent-Length: 3\r\n\r\nown", status, id)
}

// lateRefusal lets each upstream refuse request a and run request b, whose answer it writes after or around the copy of
// a refusal. It returns the response to b and the number of b's runs. It starts again where b was not sent in time.
func lateRefusal(t *testing.T, refusal string, write func(c net.Conn, own string)) (response *http.Response, body string, runs int) {
	t.Helper()
	for try := 0; try < 10 && runs == 0; try++ {
		response, body, runs = lateRefusalOnce(t, refusal, write)
	}
	return response, body, runs
}

func lateRefusalOnce(t *testing.T, refusal string, write func(c net.Conn, own string)) (*http.Response, string, int) {
	t.Helper()
	var runs atomic.Int32 // an upstream may still run b after its caller was answered
	upstream := serveRaw(t, func(c net.Conn, r *http.Request) {
		if r.URL.Path == "/once/a" {
			_, _ = io.WriteString(c, refusal)
			return
		}
		runs.Add(1)
		write(c, ownAnswer("200 OK", r.Header.Get("X-Id")))
	})
	fx := newFixture(t, 0, upstream, upstream)
	parse := fx.opts.WireFormat.ParseResponse
	fx.opts.WireFormat.ParseResponse = func(status int, h http.Header) ResponseInfo {
		info := parse(status, h)
		info.Load = 0 // the upstreams have free slots, also after a refusal
		return info
	}
	_, _ = fx.post("/once/a", "", "key")
	response, body := fx.post("/once/b", "", "key")
	return response, body, int(runs.Load())
}

// refusalTexts are refusals with and without the request's ID. One with a body is also sent without it, as the answer to
// a HEAD request is.
func refusalTexts() map[string]string {
	texts := map[string]string{}
	for _, status := range []int{400, 408, 421, 429, 503} {
		for name, id := range map[string]string{"with its ID": "X-Id: id-/once/a\r\n", "without an ID": ""} {
			for framing, rest := range map[string]string{
				"empty": "Content-Length: 0\r\n\r\n", "length": "Content-Length: 4\r\n\r\nbusy", "length of HEAD": "Content-Length: 4\r\n\r\n",
				"chunks": "Transfer-Encoding: chunked\r\n\r\n4\r\nbusy\r\n0\r\n\r\n", "unframed": "\r\n", "unframed body": "\r\nbusy\r\n\r\n",
			} {
				for _, version := range []string{"1.1", "1.0"} {
					texts[fmt.Sprint(status, " ", name, ", ", framing, ", HTTP/", version)] = fmt.Sprintf("HTTP/%s %d Refused\r\n%sX-Not-Run: 1\r\n%s", version, status, id, rest)
				}
			}
		}
	}
	return texts
}

// Guards against the late copy of a refusal that is taken for the refusal of a request that ran: its caller was told that
// it had not run, or it was sent to a second upstream.
func TestLateRefusalIsNotBelieved(t *testing.T) {
	for name, refusal := range refusalTexts() {
		for _, delay := range []time.Duration{0, 20 * time.Millisecond} {
			t.Run(fmt.Sprint(name, " after ", delay), func(t *testing.T) {
				is := is.New(t)
				response, body, runs := lateRefusal(t, refusal, func(c net.Conn, own string) {
					_, _ = io.WriteString(c, refusal)
					time.Sleep(delay)
					_, _ = io.WriteString(c, own)
				})
				is.Equal(runs, 1)
				is.True(!promisesNotRun(response.StatusCode) && response.StatusCode != http.StatusBadRequest)
				is.True(response.StatusCode != http.StatusOK || body == "own")
			})
		}
	}
}

// Guards against the copy of a refusal within the answer of a request that ran, at each byte.
func TestRefusalWithinAnswerIsNotBelieved(t *testing.T) {
	for _, status := range []int{421, 503} {
		for _, id := range []string{"", "X-Id: id-/once/a\r\n"} {
			refusal := fmt.Sprintf("HTTP/1.1 %d Refused\r\n%sX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n", status, id)
			for _, ownStatus := range []string{"200 OK", "500 Failed", "503 Failed"} {
				own := ownAnswer(ownStatus, "id-/once/b")
				for at := range len(own) {
					response, body, runs := lateRefusal(t, refusal, func(c net.Conn, _ string) {
						_, _ = io.WriteString(c, own[:at]+refusal+own[at:])
					})
					if runs != 1 || promisesNotRun(response.StatusCode) {
						t.Fatalf("copy %q at byte %d of the answer %s: %d runs, status %d %q", refusal, at, ownStatus, runs, response.StatusCode, body)
					}
				}
			}
		}
	}
}

// Guards against passing on a status that promises that the request did not run, where the upstream did not say so.
func TestPromiseOfUpstreamThatRanTheRequest(t *testing.T) {
	for _, status := range []int{408, 429, 503} {
		for _, path := range []string{"/once/", "/safe/"} {
			is := is.New(t)
			fx := newFixture(t, 0, func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("X-Stamp", "s")
				w.WriteHeader(status)
			})
			response, _ := fx.post(path, "", "key")
			is.Equal(response.StatusCode, http.StatusBadGateway)
		}
	}
}

// Guards against a refusal that is believed although the response succeeded.
func TestSuccessIsNoRefusal(t *testing.T) {
	is := is.New(t)
	upstream := func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("X-Not-Run", "1")
		w.Header().Set("X-Stamp", "s")
	}
	fx := newFixture(t, 0, upstream, upstream)
	response, _ := fx.post("/once/", "", "key")
	is.Equal(response.StatusCode, http.StatusBadGateway)
	is.Equal(fx.upstreamRequests.Load(), int32(1))
}

// Guards against "not run" for a request whose last attempt did not run, but an earlier one may have.
func TestRefusalAfterRunIsNoPromise(t *testing.T) {
	is := is.New(t)
	var attempts atomic.Int32
	handler := func(w http.ResponseWriter, r *http.Request) {
		if attempts.Add(1) == 1 {
			breakOff(w, r)
		}
		w.Header().Set("X-Not-Run", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	fx := newFixture(t, 0, handler, handler)
	response, _ := fx.post("/safe/x", "ab", "key")
	is.Equal(response.StatusCode, http.StatusBadGateway)
	is.Equal(attempts.Load(), int32(2))
}

// Guards against an upstream's failure response that is lost because the retry of the request gets none.
func TestFailureResponseOutlivesRetryWithoutResponse(t *testing.T) {
	for name, retry := range map[string]http.HandlerFunc{
		"not executed": func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("X-Not-Run", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
		},
		"broken off": breakOff,
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var attempts atomic.Int32
			handler := func(w http.ResponseWriter, r *http.Request) {
				if attempts.Add(1) > 1 {
					retry(w, r)
					return
				}
				w.Header().Set("X-Stamp", "s")
				w.WriteHeader(http.StatusInternalServerError)
				_, _ = io.WriteString(w, "failed")
			}
			fx := newFixture(t, 0, handler, handler)
			response, body := fx.post("/safe/x", "", "key")
			is.Equal(attempts.Load(), int32(2))
			is.Equal(response.StatusCode, http.StatusInternalServerError)
			is.Equal(response.Header.Get("X-Stamp"), "s")
			is.Equal(body, "failed")
		})
	}
}
