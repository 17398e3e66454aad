package quarantine

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"cuminfall.example/fleet/observation"
	"cuminfall.example/fleet/registry"
)

// crowd adds the crashes of 15% of 647 upstreams, each with 9 requests that run and 27 that wait, none of which had a crash
// before.
func crowd(set *observation.Set, at time.Duration) {
	const upstreams, inFlight = 97, 36
	for u := range upstreams {
		for i := range inFlight {
			f := HeadOf("POST", "h", fmt.Sprint("/", at, "/", u, "/", i), "key", 0).WithBody(nil)
			set.Add(epoch.Add(at), observation.Fact{Kind: Crash, Subject: string(f), Upstream: registry.UpstreamID(fmt.Sprint("crowd", u)), StartedAt: int64(at)}, Lifetime)
		}
	}
}

// Guards against a request that crashes upstreams and is sent again because many others were in flight at upstreams that
// crashed later.
func TestLaterCrashesReleaseNoQuarantinedRequest(t *testing.T) {
	is := is.New(t)
	facts := learn(crash(0, deadly, "a"), crash(time.Second, deadly, "b"), crash(2*time.Second, deadly, "c"))
	is.Equal(judge(3*time.Second, facts, deadly).State(epoch.Add(3*time.Second)), Quarantined)
	crowd(facts, time.Minute)
	crowd(facts, 2*time.Minute)
	now := 3 * time.Minute
	is.Equal(judge(now, facts, deadly).State(epoch.Add(now)), Quarantined)
}

func BenchmarkJudge(b *testing.B) {
	var facts observation.Set
	crowd(&facts, 0)
	crowd(&facts, time.Minute)
	for b.Loop() {
		Judge(epoch.Add(time.Minute), &facts)
	}
}
