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
		countSends(stepAndSend(r, newRead(RequestID(i), epoch)))
	}
	for at := time.Duration(0); at <= 20*time.Millisecond; at += time.Millisecond {
		countSends(stepAndSend(r, &Tick{At: epoch.Add(at)}))
	}
	is.True(sent <= burst)
	is.True(sent >= burst-1) // what is kept back comes within the 20 ms
}

// Guards against more sends than rate and burst allow because attempts wait for a connection or for processor time after
// their dispatch, and against sending on a share that was lowered or has expired meanwhile.
func TestRateHoldsForSendsThatStartLate(t *testing.T) {
	const rate, burst = 200, 60
	for _, c := range []struct {
		name  string
		share float64 // burst of the share when the sends start
		delay time.Duration
		want  int
	}{
		{"in time", burst, 0, burst},
		{"late", burst, 500 * time.Millisecond, burst},
		{"share lowered", 10, 500 * time.Millisecond, 10},
		{"lease expired", burst, 4 * time.Second, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			fleet := newTestFleet()
			fleet.addUpstream("read", "127.0.0.1:1", "a1", 1000)
			fleet.setShare(limit.OfWorkspace("w0"), rate, burst, 0)
			r := fleet.startRouter(t)
			var sends []Send
			for i := range burst {
				if s := findSend(r.Step(newRead(RequestID(i), epoch), nil)); s != nil {
					sends = append(sends, *s)
				}
			}
			now := epoch.Add(c.delay)
			if c.share != burst {
				fleet.setShare(limit.OfWorkspace("w0"), rate, c.share, 0)
				r.Step(&Synced{At: now, Sent: now, Reply: fleet.fullReply(t)}, nil)
			}
			for i := range burst {
				stepAndSend(r, newRead(RequestID(burst+i), now))
			}
			sent := int(r.Stats().Sent) - len(sends)
			for _, s := range sends {
				if findLapse(r.Step(&SendStarting{At: now, ID: s.ID, Attempt: s.Attempt}, nil)) == nil {
					sent++
				}
			}
			is.True(sent <= c.want)
			is.True(sent >= c.want-4)
		})
	}
}

func findLapse(out []Effect) *Lapse {
	for _, e := range out {
		if l, ok := e.(*Lapse); ok {
			return l
		}
	}
	return nil
}
