package report

import (
	"time"

	"cuminfall.example/fleet/fault"
	"cuminfall.example/fleet/ident"
)

// Kind is the outcome of a request as its caller saw it.
type Kind string

// Outcomes of requests.
const (
	Answered   Kind = "answered" // a complete response to this request
	Refused    Kind = "refused"  // refused with an error code
	NoResponse Kind = "broken"   // the connection failed before a response began
	Truncated  Kind = "cut"      // an incomplete response in an HTTP response that ended normally
	Aborted    Kind = "aborted"  // the connection failed within the response body
	Mismatched Kind = "foreign"  // a response that belongs to another request
)

// Sample is one request as its caller saw it. Times count from the start of the run.
type Sample struct {
	Request       string          `json:"request"`
	Workspace     ident.Workspace `json:"workspace"`
	Service       ident.Service   `json:"service"`
	NonIdempotent bool            `json:"once"`
	Intended      time.Duration   `json:"intended"`
	Sent          time.Duration   `json:"sent"`
	Done          time.Duration   `json:"done"`
	Kind          Kind            `json:"kind"`
	Status        int             `json:"status"`
	Code          fault.Code      `json:"code,omitempty"`
	Execution     fault.Execution `json:"run,omitempty"`
	Attempts      int             `json:"attempts"`
	Peer          string          `json:"peer"` // VM or endpoint of the last attempt
	IsRepeat      bool            `json:"repeat,omitempty"`
	Message       string          `json:"message,omitempty"`
	Path          string          `json:"path,omitempty"` // set only where the paths alternate within a run
}

// isExpectedPending reports whether the request was correctly refused because the other request with its
// idempotency key still runs. This happens to a repeat, and to a first request whose repeat overtook it and
// was answered.
func (s *Sample) isExpectedPending(answeredRepeats map[string]bool) bool {
	return s.Kind == Refused && s.Code == fault.Pending && (s.IsRepeat || answeredRepeats[s.Request])
}

// Entitlement is the rate, in requests per second, and the burst that a workspace may use over all entry VMs.
type Entitlement struct {
	Workspace ident.Workspace   `json:"workspace"`
	Rate      ident.RequestRate `json:"rate"`
	Burst     float64           `json:"burst"`
}
