package report

import (
	"time"

	"cuminfall.example/fleet/fault"
	"cuminfall.example/fleet/ident"
)

// Kind says how a request ended for its caller.
type Kind string

// Kinds of ends.
const (
	Answered Kind = "answered" // a whole answer to the request itself
	Refused  Kind = "refused"  // a refusal with a code
	Broken   Kind = "broken"   // the exchange broke before an answer began
	Cut      Kind = "cut"      // an answer that looked complete was not whole
	Aborted  Kind = "aborted"  // the connection broke within the answer's body
	Foreign  Kind = "foreign"  // an answer to another request
)

// Sample is one request as its caller saw it; times count from the start of the run.
type Sample struct {
	Request   string          `json:"request"`
	Workspace ident.Workspace `json:"workspace"`
	Service   ident.Service   `json:"service"`
	Once      bool            `json:"once"` // non-idempotent
	Intended  time.Duration   `json:"intended"`
	Sent      time.Duration   `json:"sent"`
	Done      time.Duration   `json:"done"`
	Kind      Kind            `json:"kind"`
	Status    int             `json:"status"`
	Code      fault.Code      `json:"code,omitempty"`
	Run       fault.Execution `json:"run,omitempty"`
	Attempts  int             `json:"attempts"`
	Peer      string          `json:"peer"` // VM or endpoint of the last attempt
	Repeat    bool            `json:"repeat,omitempty"`
	Message   string          `json:"message,omitempty"`
	Path      string          `json:"path,omitempty"` // where paths alternate within a run
}

// duePending reports whether the request heard, as it should, that the other one with its idempotency
// key still runs. The first request hears it where its repetition, which was then answered, overtook it.
func (s *Sample) duePending(answeredRepeats map[string]bool) bool {
	return s.Kind == Refused && s.Code == fault.Pending && (s.Repeat || answeredRepeats[s.Request])
}

// Entitlement is what a workspace may use over the whole fleet.
type Entitlement struct {
	Workspace ident.Workspace   `json:"workspace"`
	Rate      ident.RequestRate `json:"rate"`
	Burst     float64           `json:"burst"`
}
