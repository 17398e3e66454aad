package balancer

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"cuminfall.example/entry/admission"
	"cuminfall.example/fleet/ident"
	"cuminfall.example/fleet/registry"
)

// Load of the simulated deployment: a wave of callers asks for more than the upstreams serve, so all of them ask all VMs
// for quiet at about the same time, and the wave ends.
const (
	quietSlots        = 2
	quietQueue        = 2 // waiting requests that an upstream accepts
	quietServiceTime  = 200 * time.Millisecond
	quietDeadline     = 4 * time.Second
	quietTarget       = time.Second
	quietAttempts     = 2
	quietSimulated    = 4 * time.Second
	quietUsualShare   = 0.6 // of the requests that the upstreams can serve
	quietWaveShare    = 1.6
	quietWaveStart    = time.Second
	quietWaveEnd      = 2 * time.Second
	quietRefusalCost  = 5 * time.Millisecond    // slot time that a refusal costs its upstream
	quietPauseEnd     = 2500 * time.Millisecond // of a pause that begins with quietWaveStart
	quietCallerTries  = 4
	quietRetryRatio   = 0.2 // sends to a second upstream, relative to requests
	defaultRetryAfter = 500 * time.Millisecond
)

// quietFleet is the size of a simulated deployment, and the span that its upstreams ask for.
type quietFleet struct {
	vms, services, perService int
	span                      time.Duration // after each refusal; 0 if all upstreams pause instead of a wave of requests
}

// quietTally counts requests by what their callers got, and what the rule forbids.
type quietTally struct {
	onTime, late, failed int           // answered within the target, answered later, never answered
	refusals             int           // by upstreams
	within               int           // requests that reached an upstream within a span that it asked this VM for
	waited               time.Duration // by all callers that got an answer
}

func (t quietTally) String() string {
	return fmt.Sprintf("%d on time, %d late, %d not served; %d refusals, %d within spans, mean wait %s", t.onTime, t.late, t.failed, t.refusals, t.within,
		(t.waited / time.Duration(max(t.onTime+t.late, 1))).Round(time.Millisecond))
}

func (t *quietTally) add(other quietTally) {
	t.onTime, t.late, t.failed = t.onTime+other.onTime, t.late+other.late, t.failed+other.failed
	t.refusals, t.within, t.waited = t.refusals+other.refusals, t.within+other.within, t.waited+other.waited
}

// event is one step of the simulation.
type event struct {
	at  time.Time
	run func(now time.Time)
}

type eventQueue []event

func (q eventQueue) Len() int           { return len(q) }
func (q eventQueue) Less(i, j int) bool { return q[i].at.Before(q[j].at) }
func (q eventQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)        { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// quietUpstream serves requests in order and refuses those that its queue has no place for.
type quietUpstream struct {
	freeAt   [quietSlots]time.Time
	ends     []time.Time
	askedFor map[*Balancer]time.Time // end of the span that it asked a VM for
}

// take returns when a request that arrives now is answered, or false if it is refused.
func (u *quietUpstream) take(now time.Time) (time.Time, bool) {
	kept := u.ends[:0]
	for _, end := range u.ends {
		if end.After(now) {
			kept = append(kept, end)
		}
	}
	u.ends = kept
	slot := 0
	for i, at := range u.freeAt {
		if at.Before(u.freeAt[slot]) {
			slot = i
		}
	}
	start := now
	if u.freeAt[slot].After(now) {
		start = u.freeAt[slot]
	}
	if len(u.ends) >= quietSlots+quietQueue {
		u.freeAt[slot] = start.Add(quietRefusalCost)
		return time.Time{}, false
	}
	end := start.Add(quietServiceTime)
	u.freeAt[slot], u.ends = end, append(u.ends, end)
	return end, true
}

// simulateQuiet plays the load. If heed is false, VMs ignore what upstreams ask for, as they did before.
func simulateQuiet(f quietFleet, seed uint64, heed bool) quietTally {
	random := rand.New(rand.NewPCG(seed, 25))
	start := time.Unix(1000, 0)
	registered := map[registry.UpstreamID]registry.Upstream{}
	simulated := map[registry.UpstreamID]*quietUpstream{}
	for s := range f.services {
		for i := range f.perService {
			id := registry.UpstreamID(fmt.Sprintf("s%d-%d", s, i))
			registered[id] = registry.Upstream{ID: id, Service: ident.Service(fmt.Sprint("s", s)), Address: ident.Address(id), Domain: "a1", Slots: quietSlots, State: registry.Ready, StartedAt: 1}
			simulated[id] = &quietUpstream{askedFor: map[*Balancer]time.Time{}}
		}
	}
	balancers := make([]*Balancer, f.vms)
	for i := range balancers {
		balancers[i] = &Balancer{VM: ident.VM(fmt.Sprint("vm-", i)), Domain: "a1", Regions: regions, Costs: costs}
		balancers[i].SetUpstreams(start, registered)
	}
	var total quietTally
	var queue eventQueue
	at := func(t time.Time, run func(time.Time)) { heap.Push(&queue, event{t, run}) }
	retryBudget := map[*Balancer]float64{}
	var send func(now, arrived time.Time, service ident.Service, spreadKey string, tries int)
	send = func(now, arrived time.Time, service ident.Service, spreadKey string, tries int) {
		b := balancers[random.IntN(f.vms)]
		retryBudget[b] += quietRetryRatio
		q := &Query{Service: service, SpreadKey: spreadKey, LeaseNow: now}
		retryAfter := defaultRetryAfter
		for attempt := range quietAttempts {
			if attempt > 0 {
				if retryBudget[b] < 1 {
					break
				}
				retryBudget[b]--
			}
			c, ok := b.Choose(now, q)
			if !ok {
				break
			}
			if d := admission.Decide(admission.Request{LatencyTarget: quietTarget, Remaining: quietDeadline - now.Sub(arrived), ExpectedWait: c.ExpectedWait,
				ExpectedLatency: c.ExpectedLatency, BestLatency: c.BestLatency, HasFreeSlots: c.HasFreeSlots}); !d.Admit {
				retryAfter = d.RetryAfter
				break
			}
			id := c.Upstream.ID
			u := simulated[id]
			if now.Before(u.askedFor[b]) {
				total.within++
			}
			b.RequestSent(now, id)
			span := f.span
			since := now.Sub(start)
			pausing := f.span == 0 && since >= quietWaveStart && since < quietPauseEnd
			var end time.Time
			taken := false
			if pausing {
				span = quietPauseEnd - since
			} else {
				end, taken = u.take(now)
			}
			if taken {
				at(end, func(now time.Time) {
					b.RequestEnded(now, AttemptResult{Service: service, UpstreamID: id, Outcome: Answered, Elapsed: now.Sub(arrived), LeaseNow: now, Load: len(u.ends) - 1})
				})
				total.waited += end.Sub(arrived)
				if end.Sub(arrived) <= quietTarget {
					total.onTime++
				} else {
					total.late++
				}
				return
			}
			total.refusals++
			u.askedFor[b] = now.Add(span)
			if heed {
				b.SetQuiet(now, c.Upstream, span)
			}
			b.RequestEnded(now, AttemptResult{Service: service, UpstreamID: id, Outcome: Shed, LeaseNow: now, Load: len(u.ends)})
			q.Tried = append(q.Tried, id)
		}
		if wait, ok := b.EarliestReturn(q); ok {
			retryAfter = wait + Spread(spreadKey, max(wait, defaultRetryAfter))
		}
		// A caller waits as it is told, up to a third of the time that it has left.
		left := quietDeadline - now.Sub(arrived)
		again := now.Add(min(retryAfter, left/3) + time.Duration(random.Int64N(int64(20*time.Millisecond))))
		if tries == quietCallerTries || again.Sub(arrived) > quietDeadline-quietServiceTime {
			total.failed++
			return
		}
		at(again, func(now time.Time) { send(now, arrived, service, spreadKey+".", tries+1) })
	}
	capacity := float64(f.services*f.perService*quietSlots) / quietServiceTime.Seconds()
	for t, n := start, 0; t.Before(start.Add(quietSimulated)); n++ {
		share := quietUsualShare
		if since := t.Sub(start); f.span > 0 && since >= quietWaveStart && since < quietWaveEnd {
			share = quietWaveShare
		}
		t = t.Add(time.Duration(random.ExpFloat64() / (share * capacity) * float64(time.Second)))
		service, key := ident.Service(fmt.Sprint("s", random.IntN(f.services))), fmt.Sprint("r", n)
		at(t, func(now time.Time) { send(now, now, service, key, 1) })
	}
	for len(queue) > 0 {
		e := heap.Pop(&queue).(event)
		e.run(e.at)
	}
	return total
}

// Guards against requests within spans that upstreams asked for, and against a herd when the spans of many VMs end
// together.
func TestQuietSpansUnderLoad(t *testing.T) {
	for _, c := range []struct {
		name  string
		fleet quietFleet
	}{
		{"700 upstreams, 90 VMs", quietFleet{90, 100, 7, 4 * time.Second}},
		{"700 upstreams, 90 VMs, one pause of all upstreams", quietFleet{90, 100, 7, 0}},
		{"24 upstreams, 12 VMs", quietFleet{12, 2, 12, time.Second}},
		{"24 upstreams, 12 VMs, one pause of all upstreams", quietFleet{12, 2, 12, 0}},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			var ignored, heeded quietTally
			for seed := range uint64(5) {
				before, after := simulateQuiet(c.fleet, seed, false), simulateQuiet(c.fleet, seed, true)
				t.Logf("seed %d: ignored %v; heeded %v", seed, before, after)
				ignored.add(before)
				heeded.add(after)
			}
			t.Logf("sum: ignored %v; heeded %v", ignored, heeded)
			is.Equal(heeded.within, 0)
			is.True(ignored.within > 0)
			is.True(heeded.refusals < ignored.refusals)
			if c.fleet.span == 0 {
				// Callers return when the pause ends, and are served no worse than by VMs that keep asking. After a wave
				// the upstreams ask for longer spans than they need, which costs answers.
				is.True(heeded.onTime*100 >= ignored.onTime*99)
				is.True(heeded.failed*99 <= ignored.failed*100)
			}
		})
	}
}
