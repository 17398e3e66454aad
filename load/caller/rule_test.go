package caller

import (
	"testing"

	"github.com/matryer/is"

	"cuminfall.example/fleet/fault"
)

// Guards against a second send of a request that may have run, and against giving up where another VM could serve.
func TestNextStep(t *testing.T) {
	for _, tt := range []struct {
		name  string
		a     attempt
		once  bool
		keyed bool
		want  step
	}{
		{"unreachable VM", attempt{}, true, false, advance},
		{"stale VM", attempt{true, 503, fault.Stale, fault.NotExecuted}, true, false, advance},
		{"stopping VM", attempt{true, 503, fault.Stopping, fault.NotExecuted}, true, false, advance},
		{"VM that reaches no upstream", attempt{true, 503, fault.Unreachable, fault.NotExecuted}, false, false, advance},
		{"stale VM, outcome unknown", attempt{true, 503, fault.Stale, fault.ExecutionUnknown}, true, true, deliver},
		{"over the rate", attempt{true, 429, fault.Rate, fault.NotExecuted}, false, false, deliver},
		{"busy", attempt{true, 503, fault.Busy, fault.NotExecuted}, false, false, deliver},
		{"unknown key", attempt{true, 401, fault.Key, fault.NotExecuted}, false, false, deliver},
		{"broken, idempotent", attempt{true, 0, "", fault.ExecutionUnknown}, false, false, resend},
		{"broken, non-idempotent without key", attempt{true, 0, "", fault.ExecutionUnknown}, true, false, deliver},
		{"broken, non-idempotent with key", attempt{true, 0, "", fault.ExecutionUnknown}, true, true, resend},
		{"cut within the body, non-idempotent", attempt{true, 200, "", fault.ExecutionUnknown}, true, false, deliver},
		{"pending", attempt{true, 409, fault.Pending, fault.ExecutionUnknown}, true, true, deliver},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is.New(t).Equal(tt.a.next(tt.once, tt.keyed), tt.want)
		})
	}
}
