package proxy

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// oddAnswers are answers of upstreams in trouble. None is an answer in the protocol.
var oddAnswers = map[string]string{
	"status 000":                         "HTTP/1.1 000 OK\r\nX-Id: ID\r\nX-Stamp: s\r\nContent-Length: 2\r\n\r\nok",
	"status 000 before an answer":        "HTTP/1.1 000 OK\r\nX-Id: ID\r\n\r\nHTTP/1.1 200 OK\r\nX-Id: ID\r\nX-Stamp: s\r\nContent-Length: 2\r\n\r\nok",
	"status 099":                         "HTTP/1.1 099 OK\r\nX-Id: ID\r\nX-Stamp: s\r\nContent-Length: 2\r\n\r\nok",
	"status 099 before an answer":        "HTTP/1.1 099 OK\r\nX-Id: ID\r\n\r\nHTTP/1.1 200 OK\r\nX-Id: ID\r\nX-Stamp: s\r\nContent-Length: 2\r\n\r\nok",
	"status 600":                         "HTTP/1.1 600 OK\r\nX-Id: ID\r\nX-Stamp: s\r\nContent-Length: 2\r\n\r\nok",
	"status 999":                         "HTTP/1.1 999 OK\r\nX-Id: ID\r\nX-Stamp: s\r\nContent-Length: 2\r\n\r\nok",
	"status +20":                         "HTTP/1.1 +20 OK\r\nX-Id: ID\r\nX-Stamp: s\r\nContent-Length: 2\r\n\r\nok",
	"status -00 before an answer":        "HTTP/1.1 -00 OK\r\nX-Id: ID\r\n\r\nHTTP/1.1 200 OK\r\nX-Id: ID\r\nX-Stamp: s\r\nContent-Length: 2\r\n\r\nok",
	"another protocol version":           "HTTP/3.0 200 OK\r\nX-Id: ID\r\nX-Stamp: s\r\nContent-Length: 2\r\n\r\nok",
	"a control byte in the reason":       "HTTP/1.1 200 O\x01K\r\nX-Id: ID\r\nX-Stamp: s\r\nContent-Length: 2\r\n\r\nok",
	"a blank in a name":                  "HTTP/1.1 200 OK\r\nX-Id: ID\r\nX-Stamp: s\r\nX Odd: 1\r\nContent-Length: 2\r\n\r\nok",
	"a blank after a name":               "HTTP/1.1 200 OK\r\nX-Id: ID\r\nX-Stamp: s\r\nContent-Length : 2\r\n\r\nok and more",
	"a blank after the coding's name":    "HTTP/1.1 200 OK\r\nX-Id: ID\r\nX-Stamp: s\r\nTransfer-Encoding : chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
	"a tab in a name":                    "HTTP/1.1 200 OK\r\nX-Id: ID\r\nX-Stamp: s\r\nX\tOdd: 1\r\nContent-Length: 2\r\n\r\nok",
	"a control byte in a name":           "HTTP/1.1 200 OK\r\nX-Id: ID\r\nX-Stamp: s\r\nContent\x01Length: 2\r\n\r\nok",
	"no name":                            "HTTP/1.1 200 OK\r\nX-Id: ID\r\nX-Stamp: s\r\n: 1\r\nContent-Length: 2\r\n\r\nok",
	"a control byte in a value":          "HTTP/1.1 200 OK\r\nX-Id: ID\r\nX-Stamp: s\r\nX-Odd: a\x01b\r\nContent-Length: 2\r\n\r\nok",
	"a blank in a name of an interim":    "HTTP/1.1 103 Early Hints\r\nX-Id: ID\r\nX Odd: 1\r\n\r\nHTTP/1.1 200 OK\r\nX-Id: ID\r\nX-Stamp: s\r\nContent-Length: 2\r\n\r\nok",
	"a length and chunks":                "HTTP/1.1 200 OK\r\nX-Id: ID\r\nX-Stamp: s\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
	"chunks in HTTP/1.0":                 "HTTP/1.0 200 OK\r\nX-Id: ID\r\nX-Stamp: s\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
	"two codings":                        "HTTP/1.1 200 OK\r\nX-Id: ID\r\nX-Stamp: s\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
	"a signed length":                    "HTTP/1.1 200 OK\r\nX-Id: ID\r\nX-Stamp: s\r\nContent-Length: +2\r\n\r\nok",
	"an empty length":                    "HTTP/1.1 200 OK\r\nX-Id: ID\r\nX-Stamp: s\r\nContent-Length:\r\n\r\nok",
	"two lengths":                        "HTTP/1.1 200 OK\r\nX-Id: ID\r\nX-Stamp: s\r\nContent-Length: 2, 3\r\n\r\nok!",
	"a blank in a trailer's name":        "HTTP/1.1 200 OK\r\nX-Id: ID\r\nX-Stamp: s\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nX Odd: 1\r\n\r\n",
	"a control byte in a trailer's name": "HTTP/1.1 200 OK\r\nX-Id: ID\r\nX-Stamp: s\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nX\x01Odd: 1\r\n\r\n",
	"a length in the trailer":            "HTTP/1.1 200 OK\r\nX-Id: ID\r\nX-Stamp: s\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nContent-Length: 2\r\n\r\n",
	"a signed chunk size":                "HTTP/1.1 200 OK\r\nX-Id: ID\r\nX-Stamp: s\r\nTransfer-Encoding: chunked\r\n\r\n+2\r\nok\r\n0\r\n\r\n",
	"a blank before a chunk size":        "HTTP/1.1 200 OK\r\nX-Id: ID\r\nX-Stamp: s\r\nTransfer-Encoding: chunked\r\n\r\n 2\r\nok\r\n0\r\n\r\n",
	"a chunk longer than its size":       "HTTP/1.1 200 OK\r\nX-Id: ID\r\nX-Stamp: s\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nokay\r\n0\r\n\r\n",
	"a chunk size that overflows":        "HTTP/1.1 200 OK\r\nX-Id: ID\r\nX-Stamp: s\r\nTransfer-Encoding: chunked\r\n\r\n10000000000000002\r\nok\r\n0\r\n\r\n",
	"no chunk size":                      "HTTP/1.1 200 OK\r\nX-Id: ID\r\nX-Stamp: s\r\nTransfer-Encoding: chunked\r\n\r\n\r\nok\r\n0\r\n\r\n",
}

// Guards against an answer of an upstream in trouble that a caller gets as an answer, with a line of it passed on or a body
// that is not the upstream's. A caller gets an error of this VM, or an answer that does not look complete.
func TestOddAnswerIsNoAnswer(t *testing.T) {
	for name, text := range oddAnswers {
		t.Run(name, func(t *testing.T) {
			odd := func(w http.ResponseWriter, r *http.Request) {
				c, _, err := w.(http.Hijacker).Hijack()
				if err != nil {
					t.Error(err)
					return
				}
				_, _ = io.WriteString(c, strings.ReplaceAll(text, "ID", r.Header.Get("X-Id")))
				time.Sleep(20 * time.Millisecond)
				_ = c.Close()
			}
			c, err := net.Dial("tcp", startListener(t, newFixture(t, 0, odd)))
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = c.Close() }()
			_ = c.SetDeadline(time.Now().Add(5 * time.Second))
			_, _ = fmt.Fprint(c, "POST /once/x HTTP/1.1\r\nHost: h\r\nX-Id: r\r\nX-Left: 2000\r\nAuthorization: key\r\nContent-Length: 1\r\n\r\nx")
			response, err := http.ReadResponse(bufio.NewReader(c), nil)
			if err != nil {
				return // the connection ended
			}
			body, err := io.ReadAll(response.Body)
			if err == nil && (response.StatusCode != http.StatusBadGateway || response.Header.Get("X-Stamp") != "") {
				t.Errorf("status %d, fields %v and body %q were delivered as a whole answer", response.StatusCode, response.Header, body)
			}
		})
	}
}
