package caller

import "cuminfall.example/fleet/fault"

// action is what a caller does after an attempt.
type action int

const (
	returnResult   action = iota // return the result of the attempt
	tryNextVM                    // the request did not run
	resendToNextVM               // the request may have run, but a second run is harmless
)

// attemptResult is the part of an attempt's result on which the next action depends.
type attemptResult struct {
	connected bool            // a connection was established, so the request may have been sent
	status    int             // HTTP status; 0 if no response began
	code      fault.Code      // error code of a refusal
	execution fault.Execution // whether a refused request ran
}

// nextAction returns the action after an attempt. A non-idempotent request that may have run is sent to
// another VM only if it has an idempotency key.
func (a attemptResult) nextAction(nonIdempotent, hasKey bool) action {
	switch {
	case !a.connected:
		return tryNextVM
	case a.status == 0 && (!nonIdempotent || hasKey):
		return resendToNextVM
	case a.status == 0:
		return returnResult
	case a.execution != fault.NotExecuted:
		return returnResult
	}
	switch a.code {
	case fault.Unreachable, fault.Stale, fault.Stopping:
		return tryNextVM
	}
	return returnResult
}
