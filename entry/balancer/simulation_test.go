package balancer

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"cuminfall.example/fleet/ident"
	"cuminfall.example/fleet/registry"
)

const (
	coldServiceTime      = 1240 * time.Millisecond // at an upstream that does not have the object in its cache
	warmServiceTime      = 372 * time.Millisecond
	latencyTarget        = 800 * time.Millisecond
	maxOnTimeWait        = latencyTarget - warmServiceTime // longest wait with which a warm request meets latencyTarget
	maxWaitWithFreeSlots = 2 * maxOnTimeWait               // longest wait while the service has free slots, as in package admission
)

// simulatedUpstream is one upstream of the simulated service.
type simulatedUpstream struct {
	slotFreeAt  []time.Time          // the time from which each slot is free
	finishTimes []time.Time          // of the running and waiting requests
	warmFrom    map[string]time.Time // by object, the time from which it is in the cache
}

// tally counts requests by their result.
type tally struct{ onTime, late, refused int }

func (t *tally) add(other tally) {
	t.onTime, t.late, t.refused = t.onTime+other.onTime, t.late+other.late, t.refused+other.refused
}

// simulate sends requests for random objects through VMs, each with its own balancer, to upstreams of three slots that
// report their loads. Requests with a longer expected wait than maxOnTimeWait are refused. With setMaxWait the VMs set
// Query.MaxWait and accept up to maxWaitWithFreeSlots while the service has free slots.
func simulate(seed uint64, vms, upstreams, objects int, perSecond float64, duration time.Duration, setMaxWait bool) tally {
	random := rand.New(rand.NewPCG(seed, 5))
	now := time.Unix(1000, 0)
	registered := map[registry.UpstreamID]registry.Upstream{}
	simulated := map[registry.UpstreamID]*simulatedUpstream{}
	for i := range upstreams {
		id := registry.UpstreamID(fmt.Sprint("u", i))
		registered[id] = registry.Upstream{ID: id, Service: "s", Address: ident.Address(id), Domain: "a1", Slots: 3, State: registry.Ready}
		simulated[id] = &simulatedUpstream{slotFreeAt: make([]time.Time, 3), warmFrom: map[string]time.Time{}}
	}
	balancers := make([]*Balancer, vms)
	for i := range balancers {
		balancers[i] = &Balancer{Domain: "a1", Regions: regions, Costs: costs}
		balancers[i].SetUpstreams(now, registered)
	}
	type response struct {
		at       time.Time
		balancer *Balancer
		result   AttemptResult
	}
	var responses []response
	var total tally
	for end := now.Add(duration); now.Before(end); now = now.Add(time.Duration(random.ExpFloat64() / perSecond * float64(time.Second))) {
		slices.SortFunc(responses, func(a, b response) int { return a.at.Compare(b.at) })
		for len(responses) > 0 && !responses[0].at.After(now) {
			a := responses[0]
			for _, at := range simulated[a.result.UpstreamID].finishTimes {
				if at.After(a.at) {
					a.result.Load++
				}
			}
			a.balancer.RequestEnded(a.at, a.result)
			responses = responses[1:]
		}
		b := balancers[random.IntN(vms)]
		q := Query{Service: "s", Object: fmt.Sprint(random.IntN(objects))}
		if setMaxWait {
			q.MaxWait = maxWaitWithFreeSlots
		}
		c, _ := b.Choose(now, &q)
		if c.ExpectedWait > maxOnTimeWait && !(setMaxWait && c.HasFreeSlots && c.ExpectedWait <= maxWaitWithFreeSlots) {
			total.refused++
			continue
		}
		b.RequestSent(now, c.Upstream.ID)
		u := simulated[c.Upstream.ID]
		slot := 0
		for i, at := range u.slotFreeAt {
			if at.Before(u.slotFreeAt[slot]) {
				slot = i
			}
		}
		started := now
		if u.slotFreeAt[slot].After(now) {
			started = u.slotFreeAt[slot]
		}
		serviceTime := coldServiceTime
		if at, warm := u.warmFrom[q.Object]; warm && !at.After(started) {
			serviceTime = warmServiceTime
		}
		done := started.Add(serviceTime)
		u.slotFreeAt[slot] = done
		u.finishTimes = append(slices.DeleteFunc(u.finishTimes, func(at time.Time) bool { return !at.After(now) }), done)
		if at, known := u.warmFrom[q.Object]; !known || done.Before(at) {
			u.warmFrom[q.Object] = done
		}
		if done.Sub(now) <= latencyTarget {
			total.onTime++
		} else {
			total.late++
		}
		responses = append(responses, response{done, b, AttemptResult{Service: "s", UpstreamID: c.Upstream.ID, Object: q.Object, ObjectWarm: c.ObjectWarm, Elapsed: done.Sub(now) - c.ExpectedWait}})
	}
	return total
}

// Guards against refusals while most slots of the region are free: they happened when one object had more requests than
// an upstream of three slots can serve, or several objects preferred the same upstream.
func TestHotObjectsSpread(t *testing.T) {
	for _, load := range []struct {
		name               string
		objects, perSecond float64
	}{
		{"few hot objects, half of all slots busy with warm requests", 30, 250},
		{"many objects, a third of all slots busy", 62, 200},
		{"many objects, a sixth of all slots busy", 62, 96},
	} {
		t.Run(load.name, func(t *testing.T) {
			is := is.New(t)
			const vms, upstreams = 20, 70
			var unlimited, limited tally
			for seed := range uint64(5) {
				unlimited.add(simulate(seed, vms, upstreams, int(load.objects), load.perSecond, 30*time.Second, false))
				limited.add(simulate(seed, vms, upstreams, int(load.objects), load.perSecond, 30*time.Second, true))
			}
			t.Logf("without MaxWait: %+v; with MaxWait: %+v", unlimited, limited)
			is.True(limited.onTime*100 >= unlimited.onTime*99) // as many are answered in time
			is.True(limited.refused*100 < limited.onTime)      // nearly none are refused while slots are free
		})
	}
}
