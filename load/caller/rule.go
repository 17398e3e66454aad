package caller

import "cuminfall.example/fleet/fault"

// step is what a caller does after an attempt.
type step int

const (
	deliver step = iota // the outcome stands
	advance             // try the next VM: the request certainly did not run
	resend              // try the next VM although it may have run
)

// attempt is the end of one attempt, as far as the next step depends on it.
type attempt struct {
	reached bool            // a connection was made, so bytes may have been sent
	status  int             // 0 when no answer began
	code    fault.Code      // of a refusal
	run     fault.Execution // of a refusal
}

// next decides on the step after an attempt. A non-idempotent request whose outcome is
// unknown is sent again only under its idempotency key.
func (a attempt) next(once, keyed bool) step {
	switch {
	case !a.reached:
		return advance
	case a.status == 0 && (!once || keyed):
		return resend
	case a.status == 0:
		return deliver
	case a.run != fault.NotExecuted:
		return deliver
	}
	switch a.code {
	case fault.Unreachable, fault.Stale, fault.Stopping:
		return advance
	}
	return deliver
}
