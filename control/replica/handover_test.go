package replica

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"cuminfall.example/control/consensus"
)

// Guards against a planned stop that leaves the group without a leader for an election timeout, because the stopping
// leader ended before its successor had the request to take over, or the votes that it needs.
func TestLeaderThatStopsHasASuccessor(t *testing.T) {
	is := is.New(t)
	group := newGroup(t, 3)
	for range 5 {
		waitFor(t, "three voters", func() bool { l := leader(group); return l != nil && countVoters(l) == 3 })
		old := leader(group)
		startTime := time.Now()
		is.NoErr(old.Handover(context.Background()))
		old.stop()
		waitFor(t, "another leader", func() bool { l := leader(group); return l != nil && l != old })
		took := time.Since(startTime)
		old.start()
		t.Log("handover took", took)
		is.True(took < consensus.DefaultMinElection)
		waitFor(t, "the restarted member follows", func() bool { return old.Status().Leader != "" })
	}
}
