package caller

import (
	"testing"

	"github.com/matryer/is"

	"cuminfall.example/fleet/fault"
)

// Guards against resending a request that may have run, and against giving up where another VM could serve it.
func TestNextAction(t *testing.T) {
	for _, tt := range []struct {
		name          string
		result        attemptResult
		nonIdempotent bool
		hasKey        bool
		want          action
	}{
		{"unreachable VM", attemptResult{}, true, false, tryNextVM},
		{"stale VM", attemptResult{true, 503, fault.Stale, fault.NotExecuted}, true, false, tryNextVM},
		{"stopping VM", attemptResult{true, 503, fault.Stopping, fault.NotExecuted}, true, false, tryNextVM},
		{"VM without a reachable upstream", attemptResult{true, 503, fault.Unreachable, fault.NotExecuted}, false, false, tryNextVM},
		{"stale VM, outcome unknown", attemptResult{true, 503, fault.Stale, fault.ExecutionUnknown}, true, true, returnResult},
		{"over the rate", attemptResult{true, 429, fault.RateExceeded, fault.NotExecuted}, false, false, returnResult},
		{"busy", attemptResult{true, 503, fault.Busy, fault.NotExecuted}, false, false, returnResult},
		{"unknown key", attemptResult{true, 401, fault.InvalidKey, fault.NotExecuted}, false, false, returnResult},
		{"no response, idempotent", attemptResult{true, 0, "", fault.ExecutionUnknown}, false, false, resendToNextVM},
		{"no response, non-idempotent without key", attemptResult{true, 0, "", fault.ExecutionUnknown}, true, false, returnResult},
		{"no response, non-idempotent with key", attemptResult{true, 0, "", fault.ExecutionUnknown}, true, true, resendToNextVM},
		{"connection lost within the body, non-idempotent", attemptResult{true, 200, "", fault.ExecutionUnknown}, true, false, returnResult},
		{"pending", attemptResult{true, 409, fault.Pending, fault.ExecutionUnknown}, true, true, returnResult},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is.New(t).Equal(tt.result.nextAction(tt.nonIdempotent, tt.hasKey), tt.want)
		})
	}
}
