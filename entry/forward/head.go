package forward

import (
	"net/http"
	"net/textproto"
	"strconv"
	"strings"
	"time"
)

// Names of the header fields that entry exchanges with upstreams.
const (
	WorkspaceHeader       = "Cuminfall-Workspace"
	ExecutionHeader       = "Cuminfall-Run"
	TimeoutHeader         = "Request-Timeout"
	AttemptIDHeader       = "Cuminfall-Request" // ID of the attempt; upstreams may echo it
	LeavingHeader         = "Cuminfall-Leaving" // 1 in the responses of an upstream that leaves
	defaultReservedPrefix = "Cuminfall-"
)

// WireFormat defines the header fields that a deployment's upstreams and entry exchange. A nil
// pointer in Options means the default names.
type WireFormat struct {
	WorkspaceHeader string // carries the caller's workspace
	TimeoutHeader   string // carries the time remaining until the deadline, in milliseconds
	TimeoutUnit     string // follows the number in TimeoutHeader
	IdentityHeader  string // carries the name of the only upstream that may run the request; empty if upstreams check none
	RequestIDHeader string // carries the caller's request ID, which upstreams echo in place of AttemptIDHeader
	ReservedPrefix  string // callers' header fields with this prefix are not forwarded
	AllowUnframed   bool   // a response may end with its connection, without a length or chunks
}

// defaultWireFormat is used where Options.WireFormat is nil.
var defaultWireFormat = WireFormat{WorkspaceHeader: WorkspaceHeader, TimeoutHeader: TimeoutHeader, TimeoutUnit: "ms", ReservedPrefix: defaultReservedPrefix}

// isHopByHop reports whether a header field concerns a single connection only.
func isHopByHop(name string) bool {
	switch name {
	case "Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
		"Te", "Trailer", "Transfer-Encoding", "Upgrade":
		return true
	}
	return false
}

// RemoveHopByHop removes the header fields that concern a single connection only.
func RemoveHopByHop(h http.Header) {
	for _, line := range h["Connection"] {
		for _, name := range strings.Split(line, ",") {
			delete(h, textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(name)))
		}
	}
	for name := range h {
		if isHopByHop(name) {
			delete(h, name)
		}
	}
}

// isWithheld reports whether a caller's header field is not forwarded, or is replaced by one that
// entry sets.
func (f *WireFormat) isWithheld(name string, connection []string) bool {
	switch name {
	case "Authorization", "Content-Length", "Expect", "Host", f.TimeoutHeader, f.WorkspaceHeader, f.IdentityHeader:
		return true
	}
	if isHopByHop(name) {
		return true
	}
	if n := len(f.ReservedPrefix); n > 0 && len(name) >= n && strings.EqualFold(name[:n], f.ReservedPrefix) {
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

// attemptID identifies an attempt uniquely across all VMs.
type attemptID struct {
	clientID uint64 // unique per Client
	serial   uint64 // counts the attempts of the client, from 1
}

func (id attemptID) appendTo(b []byte) []byte {
	b = strconv.AppendUint(b, id.clientID, 16)
	return strconv.AppendUint(append(b, '-'), id.serial, 16)
}

// requestID returns the caller's ID of a request, or "" if it has none or upstreams echo the attempt's ID instead.
func (f *WireFormat) requestID(r *Request) string {
	if f.RequestIDHeader == "" {
		return ""
	}
	return r.Header.Get(f.RequestIDHeader)
}

// echoedIDs returns the request IDs in a response's head.
func (f *WireFormat) echoedIDs(h http.Header) []string {
	if f.RequestIDHeader != "" {
		return h.Values(f.RequestIDHeader)
	}
	return h[AttemptIDHeader]
}

// matchesRequest reports whether a response's head carries the request's ID or no ID at all.
func (f *WireFormat) matchesRequest(h http.Header, r *Request, id attemptID) bool {
	var buf [40]byte
	want := id.appendTo(buf[:0])
	if f.RequestIDHeader != "" {
		want = append(buf[:0], f.requestID(r)...)
	}
	for _, got := range f.echoedIDs(h) {
		if got != string(want) {
			return false
		}
	}
	return true
}

// carriesID reports whether a response's head carries the ID of any request.
func (f *WireFormat) carriesID(h http.Header) bool { return len(f.echoedIDs(h)) > 0 }

// appendHead appends the head of r to b, with the time that the upstream gets. It does not check the
// caller's values, because net/http's server has already rejected line ends and other control characters in them.
func (f *WireFormat) appendHead(b []byte, r *Request, id attemptID, remaining time.Duration) []byte {
	b = append(b, r.Method...)
	b = append(b, ' ')
	b = append(b, r.Target...)
	b = append(b, " HTTP/1.1\r\n"...)
	b = appendField(b, "Host", r.Host)
	connection := r.Header["Connection"]
	for name, values := range r.Header {
		if f.isWithheld(name, connection) {
			continue
		}
		for _, v := range values {
			b = appendField(b, name, v)
		}
	}
	if r.Workspace != "" {
		b = appendField(b, f.WorkspaceHeader, string(r.Workspace))
	}
	if f.IdentityHeader != "" {
		b = appendField(b, f.IdentityHeader, r.Identity)
	}
	if f.RequestIDHeader == "" {
		b = append(b, AttemptIDHeader+": "...)
		b = id.appendTo(b)
		b = append(b, "\r\n"...)
	}
	// Rounded up, so that a time below 1 ms does not become 0.
	remaining = (remaining + time.Millisecond - 1).Truncate(time.Millisecond)
	b = append(b, f.TimeoutHeader...)
	b = append(b, ": "...)
	b = strconv.AppendInt(b, remaining.Milliseconds(), 10)
	b = append(b, f.TimeoutUnit...)
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
