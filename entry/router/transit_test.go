package router

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"cuminfall.example/fleet/limit"
)

// Guards against more runs at the upstreams than rate and burst allow because requests are on their way for different
// times: those of the first 20 ms may all arrive at the end of it.
func TestRateLeavesTimeForTransit(t *testing.T) {
	const rate, burst = 200, 60
	is := is.New(t)
	fleet := newTestFleet()
	fleet.addUpstream("read", "127.0.0.1:1", "a1", 1000)
	fleet.setShare(limit.OfWorkspace("w0"), rate, burst, 0)
	r := fleet.startRouter(t)
	sent := 0
	countSends := func(out []Effect) {
		for _, e := range out {
			if _, ok := e.(*Send); ok {
				sent++
			}
		}
	}
	for i := range 2 * burst {
		countSends(r.Step(newRead(RequestID(i), epoch), nil))
	}
	for at := time.Duration(0); at <= 20*time.Millisecond; at += time.Millisecond {
		countSends(r.Step(&Tick{At: epoch.Add(at)}, nil))
	}
	is.True(sent <= burst)
	is.True(sent >= burst-1) // what is kept back comes within the 20 ms
}
