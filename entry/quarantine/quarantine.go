package quarantine

import (
	"math"
	"slices"
	"time"

	"cuminfall.example/fleet/ident"
	"cuminfall.example/fleet/observation"
	"cuminfall.example/fleet/registry"
)

// Kinds of facts. Their subject is a fingerprint.
const (
	Crash    = observation.Crash
	Answered = observation.Answered
	Claim    = observation.Claim
)

const (
	// Lifetime is how long facts count. It is also the longest quarantine without another crash.
	Lifetime = time.Hour
	// suspectCrashes is the number of crashes after which a request is sent one at a time.
	suspectCrashes = 2
	// quarantineCrashes is the number of crashes after which a request is quarantined.
	quarantineCrashes = 3
	// simultaneous is the longest time between crashes that may have a common cause outside of the request, such as the
	// loss of a rack. It allows for the transit of the facts, which makes crashes appear later.
	simultaneous = 600 * time.Millisecond
	// commonCauseTime is how long simultaneous crashes alone don't quarantine a request. A request that many callers send
	// is answered within this time if it is not the cause.
	commonCauseTime = 2 * time.Second
	// settleTime is the pause between the last crash and the first probe, in which all VMs learn of the crash.
	settleTime = time.Second
	// probeTime is how long the other VMs wait for the outcome of a probe.
	probeTime = 5 * time.Second
	// silentPauseGrowth is the ratio of the pauses after probes without an outcome. The first one is probeTime.
	silentPauseGrowth = 3
	// maxCrashingProbes is the number of probes that crashed an upstream after which there are no others until facts
	// expire.
	maxCrashingProbes = 2
	// maxFrequentProbes is the number of probes after which others follow after maxPause each.
	maxFrequentProbes = 3
	// maxPause is the pause after a probe that crashed an upstream, and the longest one between two probes.
	maxPause = 18 * time.Minute
)

// lifetime identifies a run of an upstream's process.
type lifetime struct {
	upstream  registry.UpstreamID
	startedAt int64
}

// State is how far a request is under suspicion.
type State int

// States of requests.
const (
	Clear       State = iota // sent without restrictions
	Suspect                  // sent by each VM one at a time
	Quarantined              // sent only as a probe
)

// String returns the name of a state for log lines.
func (s State) String() string { return [...]string{"clear", "suspect", "quarantined"}[s] }

// Action says what to do with a request.
type Action int

// Actions.
const (
	Send      Action = iota // send it
	SendAlone               // send it if this VM has no other one with the same fingerprint in flight, else wait
	Probe                   // send it to one upstream, once
	MakeClaim               // add a Claim for Decision.Round, and decide again when the leader has replied
	Wait                    // decide again when the leader has replied to the claim
	Refuse                  // refuse it
)

// Decision is an Action with its parameters.
type Decision struct {
	Action     Action
	Round      int           // of the probe or claim
	RetryAfter time.Duration // if refused, until a further probe may be sent
}

// probeRound holds the claims for one probe.
type probeRound struct {
	round       int
	claimedAt   time.Time // of the first claim
	winner      ident.VM  // empty if the leader has not returned any claim
	winnerOrder uint64
	claimants   []ident.VM
	restored    bool // claimed before this VM started, so that its outcome may be lost
}

// Case is what is known about a request that upstreams had when they crashed.
type Case struct {
	crashes    []time.Time  // of the crashes that no other request explains, in order
	unanswered []lifetime   // all upstreams that crashed and after whose crash the request was not answered
	rounds     []probeRound // since the first of the crashes
	lastRound  int          // also of rounds before
}

// Crashes returns the number of crashes that the request may have caused.
func (c *Case) Crashes() int { return len(c.crashes) }

// Upstreams returns the upstreams that crashed while they had the request, up to a limit.
func (c *Case) Upstreams(limit int) []registry.UpstreamID {
	var ids []registry.UpstreamID
	for _, l := range c.unanswered[:min(limit, len(c.unanswered))] {
		ids = append(ids, l.upstream)
	}
	return ids
}

// State returns how far the request is under suspicion.
func (c *Case) State(now time.Time) State {
	n := len(c.crashes)
	if n < suspectCrashes {
		return Clear
	}
	first, last := c.crashes[0], c.crashes[n-1]
	if n < quarantineCrashes || last.Sub(first) < simultaneous && now.Sub(last) < commonCauseTime {
		return Suspect
	}
	return Quarantined
}

// Decide returns what a VM does with the request. Used is the last round for which the VM has sent a probe.
func (c *Case) Decide(now time.Time, vm ident.VM, used int) Decision {
	switch c.State(now) {
	case Clear:
		return Decision{Action: Send}
	case Suspect:
		return Decision{Action: SendAlone}
	}
	lastCrash := c.crashes[len(c.crashes)-1]
	next := lastCrash.Add(settleTime)
	if n := len(c.rounds); n > 0 {
		last := c.rounds[n-1]
		if crashed := !lastCrash.Before(last.claimedAt); !crashed && now.Sub(last.claimedAt) < probeTime {
			return c.decideOpenRound(now, vm, used, last)
		}
		next = c.nextProbe(now)
	}
	if now.Before(next) {
		return Decision{Action: Refuse, RetryAfter: next.Sub(now)}
	}
	return Decision{Action: MakeClaim, Round: c.lastRound + 1}
}

// decideOpenRound decides while the outcome of a probe is not known.
func (c *Case) decideOpenRound(now time.Time, vm ident.VM, used int, r probeRound) Decision {
	switch {
	case r.winner == vm && used < r.round:
		return Decision{Action: Probe, Round: r.round}
	case r.winner == "" && slices.Contains(r.claimants, vm):
		return Decision{Action: Wait, Round: r.round}
	}
	return Decision{Action: Refuse, RetryAfter: r.claimedAt.Add(probeTime).Sub(now)}
}

// nextProbe returns the time of the next probe after the rounds so far. It lies after the lifetime of the facts if there
// is none.
func (c *Case) nextProbe(now time.Time) time.Time {
	crashed, last := 0, len(c.rounds)-1
	for i := range c.rounds {
		if c.mayHaveCrashed(i) {
			crashed++
		}
	}
	switch {
	case crashed >= maxCrashingProbes:
		return now.Add(Lifetime)
	case len(c.rounds) >= maxFrequentProbes:
		return c.rounds[last].claimedAt.Add(maxPause)
	case !c.mayHaveCrashed(last):
		return c.rounds[last].claimedAt.Add(silentPause(len(c.rounds) - crashed))
	}
	latest := c.crashes[len(c.crashes)-1]
	if claimedAt := c.rounds[last].claimedAt; claimedAt.After(latest) {
		latest = claimedAt
	}
	return latest.Add(maxPause)
}

// mayHaveCrashed reports whether an upstream crashed between the claim of a round and that of the next one, or may have.
func (c *Case) mayHaveCrashed(i int) bool {
	return c.rounds[i].restored || slices.ContainsFunc(c.crashes, func(at time.Time) bool {
		return !at.Before(c.rounds[i].claimedAt) && (i+1 == len(c.rounds) || at.Before(c.rounds[i+1].claimedAt))
	})
}

// silentPause returns the pause after the nth probe without an outcome.
func silentPause(n int) time.Duration {
	return time.Duration(min(float64(probeTime)*math.Pow(silentPauseGrowth, float64(n-1)), float64(maxPause)))
}

// Answers returns the facts which say that the request was answered after the crashes.
func (c *Case) Answers(f Fingerprint) []observation.Fact {
	var facts []observation.Fact
	for _, l := range c.unanswered {
		facts = append(facts, observation.Fact{Kind: Answered, Subject: string(f), Upstream: l.upstream, StartedAt: l.startedAt})
	}
	return facts
}
