package upstream

import (
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"time"

	"cuminfall.example/fleet/ident"
)

// Outcome says how a run ended.
type Outcome string

// Outcomes of a run.
const (
	Open      Outcome = "open"      // still running
	Done      Outcome = "done"      // ran to its end
	Partial   Outcome = "partial"   // the request body did not arrive whole, so nothing was run
	Cancelled Outcome = "cancelled" // the caller went away during the run
	Overdue   Outcome = "overdue"   // the request's time ran out during the run
)

// Run is one request that got a slot of an endpoint.
type Run struct {
	Number      uint64            `json:"number"` // counts all runs of the process from 1
	Request     string            `json:"request"`
	Attempt     string            `json:"attempt,omitempty"`
	Workspace   ident.Workspace   `json:"workspace"`
	Service     ident.Service     `json:"service"`
	Endpoint    ident.Address     `json:"endpoint"`
	Incarnation ident.Incarnation `json:"incarnation"`
	Source      netip.Addr        `json:"source,omitzero"` // of the connection
	Start       time.Time         `json:"start"`
	End         time.Time         `json:"end,omitzero"`
	Received    ident.Bytes       `json:"received"`
	Sent        ident.Bytes       `json:"sent"`
	Body        string            `json:"body"` // SHA-256 of the request body, in hex
	Idempotency string            `json:"idempotency,omitempty"`
	Keys        []string          `json:"keys,omitempty"` // places where a workspace key was seen
	Outcome     Outcome           `json:"outcome"`
}

// Record keeps the runs of all endpoints of a process, oldest first.
type Record struct {
	mu      sync.Mutex
	keep    int
	first   uint64 // number of runs[0]
	dropped uint64
	runs    []Run
}

// NewRecord returns a record of at most keep runs; later ones are counted and dropped.
func NewRecord(keep int) *Record { return &Record{keep: keep, first: 1} }

// begin adds a run and returns its number, or 0 when the record is full.
func (r *Record) begin(run Run) uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.runs) >= r.keep {
		r.dropped++
		return 0
	}
	run.Number = r.first + uint64(len(r.runs))
	run.Outcome = Open
	r.runs = append(r.runs, run)
	return run.Number
}

// change lets edit complete the run with that number.
func (r *Record) change(number uint64, edit func(*Run)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if number < r.first || number >= r.first+uint64(len(r.runs)) {
		return
	}
	edit(&r.runs[number-r.first])
}

// Page is a part of the record.
type Page struct {
	Dropped uint64 `json:"dropped"` // runs that did not fit
	Runs    []Run  `json:"runs"`
}

// After returns up to most runs with numbers above number.
func (r *Record) After(number uint64, most int) Page {
	r.mu.Lock()
	defer r.mu.Unlock()
	from := 0
	if number >= r.first {
		from = min(int(number-r.first)+1, len(r.runs))
	}
	to := min(from+most, len(r.runs))
	return Page{Dropped: r.dropped, Runs: append([]Run{}, r.runs[from:to]...)}
}

// Clear drops all runs; numbers continue.
func (r *Record) Clear() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.first += uint64(len(r.runs))
	r.runs = nil
	r.dropped = 0
}

// keysIn names the places of a request that carry something like a workspace key.
func keysIn(r *http.Request) []string {
	var places []string
	if strings.Contains(r.RequestURI, "ck_") {
		places = append(places, "url")
	}
	for name, values := range r.Header {
		for _, v := range values {
			if name == "Authorization" || strings.Contains(v, "ck_") {
				places = append(places, name)
				break
			}
		}
	}
	return places
}
