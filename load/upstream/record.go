package upstream

import (
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"time"

	"cuminfall.example/fleet/ident"
)

// Outcome describes how a run ended.
type Outcome string

// Outcomes of a run.
const (
	InProgress       Outcome = "open"      // still running
	Done             Outcome = "done"      // completed
	IncompleteBody   Outcome = "partial"   // the request body was not received completely, so the request was not executed
	Cancelled        Outcome = "cancelled" // the caller disconnected during the run
	DeadlineExceeded Outcome = "overdue"   // the request's timeout expired during the run
)

// Run is the execution of one request that acquired a slot of an endpoint.
type Run struct {
	Number         uint64            `json:"number"` // sequence number within the process, from 1
	Request        string            `json:"request"`
	Attempt        string            `json:"attempt,omitempty"`
	Workspace      ident.Workspace   `json:"workspace"`
	Service        ident.Service     `json:"service"`
	Endpoint       ident.Address     `json:"endpoint"`
	Incarnation    ident.Incarnation `json:"incarnation"`
	Source         netip.Addr        `json:"source,omitzero"` // remote address of the connection
	Arrived        time.Time         `json:"arrived"`         // when the request's head arrived at the endpoint's socket
	Start          time.Time         `json:"start"`
	End            time.Time         `json:"end,omitzero"`
	Received       ident.Bytes       `json:"received"`
	Sent           ident.Bytes       `json:"sent"`
	BodyDigest     string            `json:"body"` // SHA-256 of the request body, in hex
	IdempotencyKey string            `json:"idempotency,omitempty"`
	KeyLocations   []string          `json:"keys,omitempty"` // header names, or url, that contained a workspace key
	Outcome        Outcome           `json:"outcome"`
}

// RunLog stores the runs of all endpoints of a process, oldest first.
type RunLog struct {
	mu          sync.Mutex
	capacity    int
	firstNumber uint64 // number of runs[0]
	dropped     uint64
	runs        []Run
}

// NewRunLog returns a log of at most capacity runs; further runs are counted and dropped.
func NewRunLog(capacity int) *RunLog { return &RunLog{capacity: capacity, firstNumber: 1} }

// begin adds a run and returns its number, or 0 if the log is full.
func (r *RunLog) begin(run Run) uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.runs) >= r.capacity {
		r.dropped++
		return 0
	}
	run.Number = r.firstNumber + uint64(len(r.runs))
	run.Outcome = InProgress
	r.runs = append(r.runs, run)
	return run.Number
}

// update calls edit on the run with the given number, if the log still holds it.
func (r *RunLog) update(number uint64, edit func(*Run)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if number < r.firstNumber || number >= r.firstNumber+uint64(len(r.runs)) {
		return
	}
	edit(&r.runs[number-r.firstNumber])
}

// RunPage is a page of a run log.
type RunPage struct {
	Dropped uint64 `json:"dropped"` // runs that were dropped because the log was full
	Runs    []Run  `json:"runs"`
}

// After returns up to limit runs with numbers above number.
func (r *RunLog) After(number uint64, limit int) RunPage {
	r.mu.Lock()
	defer r.mu.Unlock()
	from := 0
	if number >= r.firstNumber {
		from = min(int(number-r.firstNumber)+1, len(r.runs))
	}
	to := min(from+limit, len(r.runs))
	return RunPage{Dropped: r.dropped, Runs: append([]Run{}, r.runs[from:to]...)}
}

// Clear removes all runs and resets the count of dropped ones; run numbers continue.
func (r *RunLog) Clear() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.firstNumber += uint64(len(r.runs))
	r.runs = nil
	r.dropped = 0
}

// keyLocations lists the parts of a request that contain what looks like a workspace key.
func keyLocations(r *http.Request) []string {
	var locations []string
	if strings.Contains(r.RequestURI, "ck_") {
		locations = append(locations, "url")
	}
	for name, values := range r.Header {
		for _, v := range values {
			if name == "Authorization" || strings.Contains(v, "ck_") {
				locations = append(locations, name)
				break
			}
		}
	}
	return locations
}
