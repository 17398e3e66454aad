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
	playCold = 1240 * time.Millisecond // work at an upstream that does not know the object
	playWarm = 372 * time.Millisecond
	playGoal = 800 * time.Millisecond
	playMost = playGoal - playWarm // longest wait before work that is still in time
	playRoom = 2 * playMost        // the same while there are free slots, as package admission has it
)

// played is one upstream of the emulated service.
type played struct {
	free  []time.Time // when each slot is free
	ends  []time.Time // of the requests that run or wait
	knows map[string]time.Time
}

// result is what callers got.
type result struct{ onTime, late, refused int }

func (r *result) add(o result) {
	r.onTime, r.late, r.refused = r.onTime+o.onTime, r.late+o.late, r.refused+o.refused
}

// play sends requests for objects through VMs that choose each by itself, to upstreams of three slots, and tells the
// VMs their loads. Waits over most are refused; patient sets whether the VMs know that.
func play(seed uint64, vms, upstreams, objects int, perSecond float64, span time.Duration, patient bool) result {
	random := rand.New(rand.NewPCG(seed, 5))
	now := time.Unix(1000, 0)
	all := map[registry.UpstreamID]registry.Upstream{}
	world := map[registry.UpstreamID]*played{}
	for i := range upstreams {
		id := registry.UpstreamID(fmt.Sprint("u", i))
		all[id] = registry.Upstream{ID: id, Service: "s", Address: ident.Address(id), Domain: "a1", Slots: 3, State: registry.Ready}
		world[id] = &played{free: make([]time.Time, 3), knows: map[string]time.Time{}}
	}
	placers := make([]*Balancer, vms)
	for i := range placers {
		placers[i] = &Balancer{Domain: "a1", Regions: regions, Costs: costs}
		placers[i].SetUpstreams(now, all)
	}
	type answer struct {
		at     time.Time
		placer *Balancer
		report AttemptResult
	}
	var answers []answer
	var got result
	for end := now.Add(span); now.Before(end); now = now.Add(time.Duration(random.ExpFloat64() / perSecond * float64(time.Second))) {
		slices.SortFunc(answers, func(a, b answer) int { return a.at.Compare(b.at) })
		for len(answers) > 0 && !answers[0].at.After(now) {
			a := answers[0]
			for _, at := range world[a.report.UpstreamID].ends {
				if at.After(a.at) {
					a.report.Load++
				}
			}
			a.placer.RequestEnded(a.at, a.report)
			answers = answers[1:]
		}
		p := placers[random.IntN(vms)]
		q := Query{Service: "s", Object: fmt.Sprint(random.IntN(objects))}
		if patient {
			q.MaxWait = playRoom
		}
		c, _ := p.Choose(now, &q)
		if c.ExpectedWait > playMost && !(patient && c.HasFreeSlots && c.ExpectedWait <= playRoom) {
			got.refused++
			continue
		}
		p.RequestSent(c.Upstream.ID)
		u := world[c.Upstream.ID]
		slot := 0
		for i, at := range u.free {
			if at.Before(u.free[slot]) {
				slot = i
			}
		}
		begin := now
		if u.free[slot].After(now) {
			begin = u.free[slot]
		}
		work := playCold
		if at, known := u.knows[q.Object]; known && !at.After(begin) {
			work = playWarm
		}
		done := begin.Add(work)
		u.free[slot] = done
		u.ends = append(slices.DeleteFunc(u.ends, func(at time.Time) bool { return !at.After(now) }), done)
		if at, known := u.knows[q.Object]; !known || done.Before(at) {
			u.knows[q.Object] = done
		}
		if done.Sub(now) <= playGoal {
			got.onTime++
		} else {
			got.late++
		}
		answers = append(answers, answer{done, p, AttemptResult{Service: "s", UpstreamID: c.Upstream.ID, Object: q.Object, ObjectWarm: c.ObjectWarm, Elapsed: done.Sub(now) - c.ExpectedWait}})
	}
	return got
}

// Guards against the days on which objects are asked for more than one upstream of three slots can serve, or share
// one: callers were refused at full homes while most slots of the region were free.
func TestHotObjectsSpread(t *testing.T) {
	for _, load := range []struct {
		name               string
		objects, perSecond float64
	}{
		{"few hot objects, half of all slots with warm ones", 30, 250},
		{"many objects, a third of all slots", 62, 200},
		{"many objects, a sixth of all slots", 62, 96},
	} {
		t.Run(load.name, func(t *testing.T) {
			is := is.New(t)
			const vms, upstreams = 20, 70
			var before, after result
			for seed := range uint64(5) {
				before.add(play(seed, vms, upstreams, int(load.objects), load.perSecond, 30*time.Second, false))
				after.add(play(seed, vms, upstreams, int(load.objects), load.perSecond, 30*time.Second, true))
			}
			t.Logf("refused beyond the goal: %+v; spread: %+v", before, after)
			is.True(after.onTime*100 >= before.onTime*99) // who was served in time still is
			is.True(after.refused*100 < after.onTime)     // and nearly nobody is refused while slots are free
		})
	}
}
