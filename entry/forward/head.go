package forward

import (
	"net/http"
	"net/textproto"
	"strconv"
	"strings"
	"time"
)

// Names of the header fields that entry sets for upstreams.
const (
	WorkspaceHeader = "Cuminfall-Workspace"
	RunHeader       = "Cuminfall-Run"
	TimeoutHeader   = "Request-Timeout"
	IDHeader        = "Cuminfall-Request" // unique per attempt; upstreams may echo it
	ownPrefix       = "Cuminfall-"
)

// WireFormat is how a deployment's upstreams name what entry tells them and what they tell entry; the zero
// value is the product's own.
type WireFormat struct {
	WorkspaceHeader string // the caller's workspace
	TimeoutHeader   string // time left, in milliseconds
	TimeoutUnit     string // after the number in TimeoutHeader
	IdentityHeader  string // name of the upstream that alone may run the request; empty where upstreams check none
	RequestIDHeader string // the caller's own id of a request, which answers carry in place of IDHeader
	ReservedPrefix  string // fields of callers that begin so are withheld
	AllowUnframed   bool   // answers may end with their connection
}

// own is the product's dialect.
var own = WireFormat{WorkspaceHeader: WorkspaceHeader, TimeoutHeader: TimeoutHeader, TimeoutUnit: "ms", ReservedPrefix: ownPrefix}

// hop reports whether a field concerns one connection only.
func hop(name string) bool {
	switch name {
	case "Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
		"Te", "Trailer", "Transfer-Encoding", "Upgrade":
		return true
	}
	return false
}

// StripHop removes the fields that concern one connection only.
func StripHop(h http.Header) {
	for _, line := range h["Connection"] {
		for _, name := range strings.Split(line, ",") {
			delete(h, textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(name)))
		}
	}
	for name := range h {
		if hop(name) {
			delete(h, name)
		}
	}
}

// withheld reports whether a caller's field must not reach an upstream or is set anew.
func (d *WireFormat) withheld(name string, connection []string) bool {
	switch name {
	case "Authorization", "Content-Length", "Expect", "Host", d.TimeoutHeader, d.WorkspaceHeader, d.IdentityHeader:
		return true
	}
	if hop(name) {
		return true
	}
	if n := len(d.ReservedPrefix); n > 0 && len(name) >= n && strings.EqualFold(name[:n], d.ReservedPrefix) {
		return true
	}
	for _, line := range connection {
		for _, listed := range strings.Split(line, ",") {
			if strings.EqualFold(strings.TrimSpace(listed), name) {
				return true
			}
		}
	}
	return false
}

// attemptID tells attempts of all VMs apart.
type attemptID struct {
	origin uint64 // of the process
	serial uint64 // within the process, from 1
}

func (id attemptID) appendTo(b []byte) []byte {
	b = strconv.AppendUint(b, id.origin, 16)
	return strconv.AppendUint(append(b, '-'), id.serial, 16)
}

// echoed reports whether an answer's head carries the request's id, or none at all.
func (d *WireFormat) echoed(h http.Header, r *Request, id attemptID) bool {
	if d.RequestIDHeader != "" {
		got := h.Get(d.RequestIDHeader)
		return got == "" || got == r.Header.Get(d.RequestIDHeader)
	}
	return id.echoed(h)
}

func (id attemptID) echoed(h http.Header) bool {
	var space [40]byte
	want := id.appendTo(space[:0])
	for _, v := range h[IDHeader] {
		if v != string(want) {
			return false
		}
	}
	return true
}

// appendHead writes the head of r; net/http's server has already refused line
// ends and other control characters in all of the caller's parts.
func (d *WireFormat) appendHead(b []byte, r *Request, id attemptID, left time.Duration) []byte {
	b = append(b, r.Method...)
	b = append(b, ' ')
	b = append(b, r.Target...)
	b = append(b, " HTTP/1.1\r\n"...)
	b = appendField(b, "Host", r.Host)
	connection := r.Header["Connection"]
	for name, values := range r.Header {
		if d.withheld(name, connection) {
			continue
		}
		for _, v := range values {
			b = appendField(b, name, v)
		}
	}
	if r.Workspace != "" {
		b = appendField(b, d.WorkspaceHeader, string(r.Workspace))
	}
	if d.IdentityHeader != "" {
		b = appendField(b, d.IdentityHeader, r.Identity)
	}
	if d.RequestIDHeader == "" {
		b = append(b, IDHeader+": "...)
		b = id.appendTo(b)
		b = append(b, "\r\n"...)
	}
	// Rounded up, so that a short rest does not become 0.
	left = (left + time.Millisecond - 1).Truncate(time.Millisecond)
	b = append(b, d.TimeoutHeader...)
	b = append(b, ": "...)
	b = strconv.AppendInt(b, left.Milliseconds(), 10)
	b = append(b, d.TimeoutUnit...)
	b = append(b, "\r\n"...)
	switch {
	case r.Stream != nil && r.Length < 0:
		b = append(b, "Transfer-Encoding: chunked\r\n"...)
	case r.Stream != nil:
		b = appendLength(b, r.Length)
	case len(r.Body) > 0 || r.Method == http.MethodPost || r.Method == http.MethodPut || r.Method == http.MethodPatch:
		b = appendLength(b, int64(len(r.Body)))
	}
	return append(b, "\r\n"...)
}

func appendLength(b []byte, n int64) []byte {
	b = append(b, "Content-Length: "...)
	b = strconv.AppendInt(b, n, 10)
	return append(b, "\r\n"...)
}

func appendField(b []byte, name, value string) []byte {
	b = append(b, name...)
	b = append(b, ": "...)
	b = append(b, value...)
	return append(b, "\r\n"...)
}
