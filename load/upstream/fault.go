package upstream

import (
	"time"

	"cuminfall.example/fleet/fault"
	"cuminfall.example/load/command"
)

// Step is a point of a request at which an endpoint can reset the connection.
type Step string

// Steps of a request.
const (
	None    Step = ""
	Read    Step = "read"    // before anything is read
	Headers Step = "headers" // after the headers, before a slot is taken
	Answer  Step = "answer"  // after the run, before the answer
	Half    Step = "half"    // halfway through the answer's body
)

// Fault is what an endpoint does wrong; the zero value is nothing.
type Fault struct {
	Step   Step         `json:"step"`
	Cross  bool         `json:"cross"`  // two answers at a time change places
	Extra  bool         `json:"extra"`  // a second, unasked answer follows each answer
	Late   command.Span `json:"late"`   // added to each run, whatever the deadline or the caller does
	Factor float64      `json:"factor"` // on service times; 0 means 1
	Silent bool         `json:"silent"` // connections open now go silent; new ones work
	Count  int          `json:"count"`  // requests that it hits; 0 means all
}

func (f Fault) check() error {
	switch f.Step {
	case None, Read, Headers, Answer, Half:
	default:
		return fault.New(fault.Invalid, "set fault", "", "unknown step %q: allowed are read, headers, answer, half", f.Step)
	}
	if f.Count < 0 || f.Factor < 0 || f.Late.Duration < 0 {
		return fault.New(fault.Invalid, "set fault", "", "count, factor and late cannot be negative")
	}
	return nil
}

// Mode says how an endpoint reports its load.
type Mode string

// Modes of load reports.
const (
	Honest  Mode = "honest"
	Lagging Mode = "lag"
	Stopped Mode = "stop" // the load endpoint fails, and renewals repeat the last load
	Lying   Mode = "lie"  // a fixed value
)

// Reporting is how an endpoint reports its load.
type Reporting struct {
	Mode  Mode         `json:"mode"`
	Lag   command.Span `json:"lag"`
	Value int64        `json:"value"` // the load that a lying endpoint reports
}

func (r Reporting) check() error {
	switch r.Mode {
	case Honest, Lagging, Stopped, Lying:
		return nil
	}
	return fault.New(fault.Invalid, "set report", "", "unknown mode %q: allowed are honest, lag, stop, lie", r.Mode)
}

// hit reports whether the present fault has the step, and uses up one of its hits.
func (e *Endpoint) hit(step Step) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.fault.Step != step || step == None {
		return false
	}
	e.spendFault()
	return true
}

// spendFault counts one hit; a fault whose hits are used up ends. The caller holds the mutex.
func (e *Endpoint) spendFault() {
	if e.fault.Count == 0 {
		return
	}
	e.fault.Count--
	if e.fault.Count == 0 {
		e.fault = Fault{}
	}
}

// behaviour returns the present fault and uses up one hit of a fault that has no step.
func (e *Endpoint) behaviour() Fault {
	e.mu.Lock()
	defer e.mu.Unlock()
	f := e.fault
	if f.Step == None && (f.Cross || f.Extra || f.Late.Duration > 0 || f.Factor > 0) {
		e.spendFault()
	}
	return f
}

// crossWait bounds how long an answer waits for another to change places with.
const crossWait = time.Second

// cross exchanges a response with that of another request that is waiting for the
// same; without one within crossWait it keeps its own.
func (e *Endpoint) cross(out response) response {
	mine := make(chan response, 1)
	e.mu.Lock()
	if other := e.waiting; other != nil {
		e.waiting = nil
		e.mu.Unlock()
		other.answer <- out
		return other.out
	}
	pair := &exchange{out: out, answer: mine}
	e.waiting = pair
	e.mu.Unlock()
	select {
	case theirs := <-mine:
		return theirs
	case <-e.clock.After(crossWait):
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.waiting == pair {
		e.waiting = nil
		return out
	}
	return <-mine
}

// response is an answer's text with the id of the attempt that it belongs to.
type response struct {
	text []byte
	id   string
}

// exchange is an answer that waits for another to change places with.
type exchange struct {
	out    response
	answer chan response
}
