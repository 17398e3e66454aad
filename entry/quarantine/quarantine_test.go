package quarantine

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"cuminfall.example/fleet/ident"
	"cuminfall.example/fleet/observation"
	"cuminfall.example/fleet/registry"
)

var epoch = time.Unix(0, 0)

// deadly and popular are fingerprints of a request that crashes upstreams and of one that many callers send.
var (
	deadly  = HeadOf("GET", "h", "/deadly", "key", 0).WithBody(nil)
	popular = HeadOf("GET", "h", "/popular", "key", 0).WithBody(nil)
)

// happening is a fact that a VM learns at a time after epoch.
type happening struct {
	at   time.Duration
	fact observation.Fact
}

func crash(at time.Duration, f Fingerprint, upstream string) happening {
	return happening{at, observation.Fact{Kind: Crash, Subject: string(f), Upstream: registry.UpstreamID(upstream), StartedAt: 1}}
}

func answer(at time.Duration, f Fingerprint, upstream string) happening {
	return happening{at, observation.Fact{Kind: Answered, Subject: string(f), Upstream: registry.UpstreamID(upstream), StartedAt: 1}}
}

func claim(at time.Duration, f Fingerprint, vm ident.VM, round int) happening {
	return happening{at, observation.Fact{Kind: Claim, Subject: string(f), VM: vm, Round: round}}
}

// learn returns the facts of a VM that learns what happens, and has it returned by a leader at once.
func learn(happenings ...happening) *observation.Set {
	var set observation.Set
	var board observation.Board
	for _, h := range happenings {
		now := epoch.Add(h.at)
		set.Add(now, h.fact, Lifetime)
		report := set.Report(now)
		set.Apply(now, 1, report, board.Exchange(now, 1, report))
	}
	return &set
}

// judge returns the case of a request at a time after epoch; never nil.
func judge(at time.Duration, facts *observation.Set, f Fingerprint) *Case {
	table := Judge(epoch.Add(at), facts)
	if c := table.Case(f); c != nil {
		return c
	}
	return &Case{}
}

func TestFingerprint(t *testing.T) {
	is := is.New(t)
	head := HeadOf("POST", "h", "/a?b", "key", 2)
	is.Equal(head.WithBody([]byte("ab")).Head(), head)
	is.Equal(Fingerprint("").Head(), Head(""))
	seen := map[Fingerprint]bool{}
	for _, f := range []Fingerprint{
		head.WithBody([]byte("ab")), head.WithBody([]byte("ac")), HeadOf("PUT", "h", "/a?b", "key", 2).WithBody([]byte("ab")),
		HeadOf("POST", "g", "/a?b", "key", 2).WithBody([]byte("ab")), HeadOf("POST", "h", "/a?c", "key", 2).WithBody([]byte("ab")),
		HeadOf("POST", "h", "/a?b", "yek", 2).WithBody([]byte("ab")), HeadOf("POST", "h/a", "?b", "key", 2).WithBody([]byte("ab")),
	} {
		is.True(!seen[f])
		seen[f] = true
		is.True(len(f) <= 128) // the longest subject of a fact
	}
}

func TestStates(t *testing.T) {
	const s = time.Second
	rack := []happening{} // forty upstreams that are lost at once, each with a popular request
	for i := range 40 {
		rack = append(rack, crash(10*s+time.Duration(i)*10*time.Millisecond, popular, fmt.Sprint("u", i)))
	}
	for name, c := range map[string]struct {
		happenings []happening
		at         time.Duration
		request    Fingerprint
		want       State
	}{
		"no fact":                   {nil, 0, deadly, Clear},
		"one crash":                 {[]happening{crash(0, deadly, "a")}, s, deadly, Clear},
		"two crashes":               {[]happening{crash(0, deadly, "a"), crash(s, deadly, "b")}, 2 * s, deadly, Suspect},
		"three crashes":             {[]happening{crash(0, deadly, "a"), crash(s, deadly, "b"), crash(2*s, deadly, "c")}, 3 * s, deadly, Quarantined},
		"several VMs saw one crash": {[]happening{crash(0, deadly, "a"), crash(0, deadly, "a"), crash(s, deadly, "a")}, 3 * s, deadly, Clear},
		"three crashes at once":     {[]happening{crash(0, deadly, "a"), crash(100*time.Millisecond, deadly, "b"), crash(200*time.Millisecond, deadly, "c")}, 2 * s, deadly, Suspect},
		"three crashes at once, not answered since": {[]happening{crash(0, deadly, "a"), crash(100*time.Millisecond, deadly, "b"), crash(200*time.Millisecond, deadly, "c")}, 3 * s, deadly, Quarantined},
		"answered since":                 {[]happening{crash(0, popular, "a"), crash(s, popular, "b"), crash(2*s, popular, "c"), answer(3*s, popular, "a"), answer(3*s, popular, "b"), answer(3*s, popular, "c")}, 4 * s, popular, Clear},
		"an answer is known earlier":     {[]happening{answer(0, popular, "a"), crash(s, popular, "a"), crash(s, popular, "b")}, 4 * s, popular, Clear},
		"a crash after the answer":       {[]happening{crash(0, deadly, "a"), crash(s, deadly, "b"), answer(s, deadly, "a"), answer(s, deadly, "b"), crash(2*s, deadly, "c")}, 4 * s, deadly, Clear},
		"in flight beside the deadly":    {[]happening{crash(0, deadly, "a"), crash(0, popular, "a"), crash(s, deadly, "b"), crash(s, popular, "b"), crash(2*s, deadly, "c"), crash(2*s, popular, "c"), crash(3*s, deadly, "d")}, 4 * s, popular, Clear},
		"the deadly itself":              {[]happening{crash(0, deadly, "a"), crash(0, popular, "a"), crash(s, deadly, "b"), crash(s, popular, "b"), crash(2*s, deadly, "c"), crash(3*s, deadly, "d")}, 4 * s, deadly, Quarantined},
		"as many crashes as another":     {[]happening{crash(0, deadly, "a"), crash(0, popular, "a"), crash(s, deadly, "b"), crash(s, popular, "b"), crash(2*s, deadly, "c"), crash(2*s, popular, "c")}, 4 * s, popular, Quarantined},
		"loss of a rack":                 {rack, 11 * s, popular, Suspect},
		"deadly during a rack's loss":    {append([]happening{crash(8*s, deadly, "x"), crash(9*s, deadly, "y"), crash(10*s, deadly, "u0")}, append(rack, answer(11*s, popular, "u0"))...), 12 * s, deadly, Quarantined},
		"a rack's loss explains a crash": {append([]happening{crash(8*s, deadly, "x"), crash(9*s, deadly, "y"), crash(10*s, deadly, "u0")}, rack...), 12 * s, deadly, Suspect},
		"facts expire":                   {[]happening{crash(0, deadly, "a"), crash(s, deadly, "b"), crash(2*s, deadly, "c")}, Lifetime + 1500*time.Millisecond, deadly, Clear},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			got := judge(c.at, learn(c.happenings...), c.request).State(epoch.Add(c.at))
			is.Equal(got.String(), c.want.String())
		})
	}
}

func TestTableOfCases(t *testing.T) {
	is := is.New(t)
	var empty Table
	is.True(empty.Empty())
	is.True(empty.Case(deadly) == nil)
	is.True(!empty.Suspects(deadly.Head()))
	facts := learn(crash(0, deadly, "a"), crash(time.Second, deadly, "b"), crash(2*time.Second, deadly, "c"), crash(0, popular, "d"), crash(0, "x", "e"), answer(1, "x", "e"))
	table := Judge(epoch.Add(3*time.Second), facts)
	is.True(!table.Empty())
	is.True(table.Suspects(deadly.Head()))
	is.True(!table.Suspects(popular.Head())) // one crash
	is.True(table.Case("x") == nil)
	is.Equal(table.Count(epoch.Add(3*time.Second)), map[State]int{Clear: 1, Quarantined: 1})
	is.Equal(table.Case(deadly).Crashes(), 3)
	is.Equal(table.Case(deadly).Upstreams(2), []registry.UpstreamID{"a", "b"})
	is.Equal(len(table.Case(deadly).Answers(deadly)), 3)
	seen := 0
	table.All(func(Fingerprint, *Case) { seen++ })
	is.Equal(seen, 2)
}

// Guards against one suspect request that a VM sends several times at once.
func TestSuspectIsSentAlone(t *testing.T) {
	is := is.New(t)
	facts := learn(crash(0, deadly, "a"), crash(time.Second, deadly, "b"))
	is.Equal(judge(time.Second, facts, deadly).Decide(epoch.Add(time.Second), "v", 0), Decision{Action: SendAlone})
	is.Equal((&Case{}).Decide(epoch, "v", 0), Decision{Action: Send})
}

// threeCrashes are the crashes after which a request is quarantined, the last one two seconds after epoch.
func threeCrashes(further ...happening) []happening {
	return append([]happening{crash(0, deadly, "a"), crash(time.Second, deadly, "b"), crash(2*time.Second, deadly, "c")}, further...)
}

func TestQuarantinedRequestIsProbedByOneVM(t *testing.T) {
	const s = time.Second
	claimed := []happening{claim(4*s, deadly, "w", 1), claim(4*s+1, deadly, "v", 1)}
	for name, c := range map[string]struct {
		further []happening
		at      time.Duration
		vm      ident.VM
		used    int
		want    Decision
	}{
		"VMs learn of the crash":   {nil, 2500 * time.Millisecond, "v", 0, Decision{Action: Refuse, RetryAfter: s / 2}},
		"first probe":              {nil, 3 * s, "v", 0, Decision{Action: MakeClaim, Round: 1}},
		"first claim":              {claimed, 5 * s, "w", 0, Decision{Action: Probe, Round: 1}},
		"second claim":             {claimed, 5 * s, "v", 0, Decision{Action: Refuse, RetryAfter: 4 * s}},
		"no claim":                 {claimed, 5 * s, "x", 0, Decision{Action: Refuse, RetryAfter: 4 * s}},
		"the probe is under way":   {claimed, 5 * s, "w", 1, Decision{Action: Refuse, RetryAfter: 4 * s}},
		"the probe had no outcome": {claimed, 9 * s, "v", 0, Decision{Action: MakeClaim, Round: 2}},
		"the probe crashed":        {append(claimed, crash(5*s, deadly, "d")), 6 * s, "v", 0, Decision{Action: Refuse, RetryAfter: maxPause - s}},
		"after the pause":          {append(claimed, crash(5*s, deadly, "d")), 5*s + maxPause, "v", 0, Decision{Action: MakeClaim, Round: 2}},
		"the probe was answered":   {append(claimed, answer(5*s, deadly, "a"), answer(5*s, deadly, "b"), answer(5*s, deadly, "c")), 6 * s, "v", 0, Decision{Action: Send}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(judge(c.at, learn(threeCrashes(c.further...)...), deadly).Decide(epoch.Add(c.at), c.vm, c.used), c.want)
		})
	}
}

// Guards against a VM that takes its claim for the first one before the leader has replied.
func TestClaimWaitsForTheLeader(t *testing.T) {
	is := is.New(t)
	facts := learn(threeCrashes()...)
	now := epoch.Add(4 * time.Second)
	facts.Add(now, claim(0, deadly, "v", 1).fact, Lifetime)
	is.Equal(judge(4*time.Second, facts, deadly).Decide(now, "v", 0), Decision{Action: Wait, Round: 1})
	is.Equal(judge(4*time.Second, facts, deadly).Decide(now, "w", 0).Action, Refuse)
}

// Guards against probes without end: each one crashes an upstream.
func TestProbesThatCrashedUpstreamsEnd(t *testing.T) {
	is := is.New(t)
	happenings := threeCrashes()
	sent := 0
	for at := 2 * time.Second; at < Lifetime; at += time.Second {
		decision := judge(at, learn(happenings...), deadly).Decide(epoch.Add(at), "v", sent)
		switch decision.Action {
		case MakeClaim:
			happenings = append(happenings, claim(at, deadly, "v", decision.Round))
		case Probe:
			sent++
			happenings = append(happenings, crash(at, deadly, fmt.Sprint("p", sent)))
		case Refuse:
			is.True(decision.RetryAfter > 0)
		}
	}
	is.Equal(sent, 2)
}

// Guards against a request that stays refused although no probe has told whether it crashes upstreams.
func TestProbesWithoutOutcomeGoOn(t *testing.T) {
	is := is.New(t)
	happenings := threeCrashes()
	var at []string
	for now := 2 * time.Second; now < Lifetime; now += time.Second {
		if decision := judge(now, learn(happenings...), deadly).Decide(epoch.Add(now), "v", 0); decision.Action == MakeClaim {
			happenings = append(happenings, claim(now, deadly, "v", decision.Round))
			at = append(at, now.String())
		}
	}
	is.Equal(strings.Join(at, " "), "3s 8s 23s 18m23s 36m23s 54m23s")
}

// restored returns the facts of a VM that has lost its memory and restored what the registry keeps.
func restored(happenings ...happening) *observation.Set {
	var set observation.Set
	var facts []observation.Fact
	for _, h := range happenings {
		facts = append(facts, h.fact)
	}
	set.Restore(epoch, facts)
	return &set
}

// Guards against further probes of a request that crashes upstreams because all VMs have lost power.
func TestProbesBeforeALossOfAllVMsCount(t *testing.T) {
	first := threeCrashes(claim(0, deadly, "w", 1), crash(0, deadly, "d"))
	second := append(first, claim(0, deadly, "w", 2), crash(0, deadly, "e"))
	for name, c := range map[string]struct {
		happenings []happening
		least      time.Duration
	}{
		"first probe":     {first, maxPause - 10*time.Second},
		"second probe":    {second, Lifetime},
		"outcome is lost": {first[:4], maxPause - 10*time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			now := probeTime
			decision := judge(now, restored(c.happenings...), deadly).Decide(epoch.Add(now), "v", 0)
			is.Equal(decision.Action, Refuse)
			is.True(decision.RetryAfter >= c.least)
		})
	}
}

// Guards against a probe soon after a loss of all VMs by a VM that had the leader's reply before the registry.
func TestProbesBeforeALossCountIfTheLeaderRepliesFirst(t *testing.T) {
	is := is.New(t)
	var facts []observation.Fact
	for _, h := range threeCrashes(claim(0, deadly, "w", 1)) {
		facts = append(facts, h.fact)
	}
	var board observation.Board
	var set observation.Set
	board.Restore(epoch, facts)
	report := set.Report(epoch)
	set.Apply(epoch, 1, report, board.Exchange(epoch, 1, report))
	set.Restore(epoch, facts)
	is.Equal(judge(probeTime, &set, deadly).Decide(epoch.Add(probeTime), "v", 0).Action, Refuse)
}

// Guards against crashes that seem simultaneous because a VM restored them at once.
func TestRestoredCrashesAreNotSimultaneous(t *testing.T) {
	is := is.New(t)
	is.Equal(judge(0, restored(threeCrashes()...), deadly).State(epoch), Quarantined)
}
