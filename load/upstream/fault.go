package upstream

import (
	"time"

	"cuminfall.example/fleet/fault"
	"cuminfall.example/load/command"
)

// ResetPoint is a point in the handling of a request at which an endpoint can reset the connection.
type ResetPoint string

// Reset points, in the order in which a request passes them.
const (
	NoReset             ResetPoint = ""
	ResetOnRead         ResetPoint = "read"    // when the first bytes of the request arrive
	ResetAfterHeaders   ResetPoint = "headers" // after the headers, before a slot is acquired
	ResetBeforeResponse ResetPoint = "answer"  // after the run, before the response
	ResetMidResponse    ResetPoint = "half"    // halfway through the response body
)

// Fault describes how an endpoint misbehaves; the zero value is correct behavior.
type Fault struct {
	ResetAt            ResetPoint           `json:"step"`
	SwapResponses      bool                 `json:"cross"`  // responses of two concurrent requests are swapped
	DuplicateResponse  bool                 `json:"extra"`  // each response is followed by an unrequested copy
	ForcedDelay        command.TextDuration `json:"late"`   // added to each run; deadlines and cancellation don't interrupt it
	ServiceTimeFactor  float64              `json:"factor"` // multiplies service times; 0 means 1
	SilenceConnections bool                 `json:"silent"` // connections that are open now stop transferring data; new ones work
	RemainingHits      int                  `json:"count"`  // number of requests still to be affected; 0 means all
}

func (f Fault) check() error {
	switch f.ResetAt {
	case NoReset, ResetOnRead, ResetAfterHeaders, ResetBeforeResponse, ResetMidResponse:
	default:
		return fault.New(fault.Invalid, "set fault", "", "unknown step %q: allowed are read, headers, answer, half", f.ResetAt)
	}
	if f.RemainingHits < 0 || f.ServiceTimeFactor < 0 || f.ForcedDelay.Duration < 0 {
		return fault.New(fault.Invalid, "set fault", "", "count, factor and late cannot be negative")
	}
	return nil
}

// ReportMode selects the load that an endpoint reports.
type ReportMode string

// Report modes.
const (
	ReportActual  ReportMode = "honest" // the current load
	ReportDelayed ReportMode = "lag"    // the load of some time ago
	ReportFails   ReportMode = "stop"   // the load endpoint fails, and renewals repeat the load at the time of the change
	ReportFixed   ReportMode = "lie"    // a fixed value
)

// LoadReporting configures how an endpoint reports its load.
type LoadReporting struct {
	Mode      ReportMode           `json:"mode"`
	Delay     command.TextDuration `json:"lag"`
	FixedLoad int64                `json:"value"` // load of ReportFixed; ReportFails stores the last load here
}

func (r LoadReporting) check() error {
	switch r.Mode {
	case ReportActual, ReportDelayed, ReportFails, ReportFixed:
		return nil
	}
	return fault.New(fault.Invalid, "set report", "", "unknown mode %q: allowed are honest, lag, stop, lie", r.Mode)
}

// triggerReset reports whether the current fault resets at point, and counts the request as affected.
func (e *Endpoint) triggerReset(point ResetPoint) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.fault.ResetAt != point || point == NoReset {
		return false
	}
	e.countFaultHit()
	return true
}

// countFaultHit counts one affected request and clears the fault after the last one. The caller holds e.mu.
func (e *Endpoint) countFaultHit() {
	if e.fault.RemainingHits == 0 {
		return
	}
	e.fault.RemainingHits--
	if e.fault.RemainingHits == 0 {
		e.fault = Fault{}
	}
}

// faultForRun returns the current fault for a run, and counts the request if the fault has no reset point.
func (e *Endpoint) faultForRun() Fault {
	e.mu.Lock()
	defer e.mu.Unlock()
	f := e.fault
	if f.ResetAt == NoReset && (f.SwapResponses || f.DuplicateResponse || f.ForcedDelay.Duration > 0 || f.ServiceTimeFactor > 0) {
		e.countFaultHit()
	}
	return f
}

// swapTimeout bounds how long a response waits for another one to swap with.
const swapTimeout = time.Second

// swapResponse swaps a response with that of a concurrent request. It returns the request's own
// response if no other one arrives within swapTimeout.
func (e *Endpoint) swapResponse(own response) response {
	partner := make(chan response, 1)
	e.mu.Lock()
	if pending := e.pendingSwap; pending != nil {
		e.pendingSwap = nil
		e.mu.Unlock()
		pending.partner <- own
		return pending.response
	}
	pending := &swap{response: own, partner: partner}
	e.pendingSwap = pending
	e.mu.Unlock()
	select {
	case other := <-partner:
		return other
	case <-e.clock.After(swapTimeout):
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.pendingSwap == pending {
		e.pendingSwap = nil
		return own
	}
	return <-partner
}

// response is a response body with the id of the request that it belongs to.
type response struct {
	body      []byte
	requestID string
}

// swap is a response that waits for another one to swap with.
type swap struct {
	response response
	partner  chan response // receives the other request's response
}
