package ratelimit

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"cuminfall.example/fleet/catalog"
	"cuminfall.example/fleet/ident"
	"cuminfall.example/fleet/limit"
	"cuminfall.example/fleet/protocol"
	"cuminfall.example/fleet/registry"
)

// terms are those of the known deployments.
var terms = limit.Tolerance{Window: 5 * time.Second, Excess: 0.1, Slack: 20}

func rates(rate float64) *catalog.Catalog {
	return &catalog.Catalog{Items: catalog.Items{Workspaces: map[ident.Workspace]catalog.Workspace{
		"w": {Name: "w", Rate: ident.RequestRate(rate), Burst: rate}}}}
}

// vm is a VM that takes over answers late or never.
type vm struct {
	name        ident.VM
	incarnation ident.Incarnation
	sequence    uint64
	seen        uint64
	term        ident.Term
	whole       bool
	allowed     int
	passed      limit.Window
	short       int
	until       time.Time
	began       time.Time // of its run; zero for one that began long ago
}

func (v *vm) pass(now time.Time) bool {
	if !now.Before(v.until) {
		v.allowed, v.whole = 0, true
	}
	if v.passed.Take(now, terms.Window, v.allowed) {
		return true
	}
	v.short++
	return false
}

func (v *vm) report(now time.Time) *protocol.Report {
	if !now.Before(v.until) {
		v.allowed, v.whole = 0, true
	}
	v.sequence++
	used := v.passed.Used(now, terms.Window)
	return &protocol.Report{VM: registry.VM{Name: v.name, Incarnation: v.incarnation, Up: true}, Sequence: v.sequence, AppliedSequence: v.seen, RecentlyStarted: now.Sub(v.began) < terms.Window,
		AppliedTerm: v.term, Full: v.whole, RateUsage: protocol.RateUsageByWorkspace{"w": {Allowance: max(v.allowed, used), Used: used, UnmetRequests: v.short}}}
}

// exchange reports to a leader, as the control group does it; the answer may be lost.
func (v *vm) exchange(now time.Time, l *Allocator, term ident.Term, arrives bool) {
	for range 2 {
		q := v.report(now)
		var allow protocol.Allowances
		known := q.AppliedTerm == term || q.Full
		if known {
			allow, known = l.Report(now, q)
		}
		if !arrives {
			return
		}
		v.term = term
		if !known {
			v.whole, v.seen = true, 0
			continue
		}
		v.seen, v.until, v.whole, v.short = q.Sequence, now.Add(LeaseDuration), false, 0
		if n, changed := allow["w"]; changed {
			v.allowed = n
		}
		return
	}
}

// Guards against VMs that together let more through than a workspace may have in some window, whatever answers
// are lost, whoever restarts or stays away and however often the leader changes.
func TestWindowsKeepTheBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		rate := rapid.Float64Range(0.5, 40).Draw(t, "rate")
		l := Allocator{Tolerance: terms}
		term := ident.Term(1)
		l.BeginTerm(now, nil)
		l.SetCatalog(rates(rate))
		most := terms.MaxRequests(rate, rate)
		known := map[ident.VM]bool{}
		vms := []*vm{{name: "a", whole: true}, {name: "b", whole: true}, {name: "c", whole: true}, {name: "d", whole: true}}
		var passed []time.Time
		var restarted time.Time // first report of the newest run
		first := 0
		for range rapid.IntRange(50, 300).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(1, 400).Draw(t, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 30).Draw(t, "what") {
			case 0:
				var list []ident.VM
				anew := now.Sub(restarted) < terms.Window
				for _, v := range vms {
					anew = anew || known[v.name] && v.sequence == 0
					if known[v.name] {
						list = append(list, v.name)
					}
				}
				if anew {
					continue // TestRestartOfAll plays a VM and its leader that run anew within a window
				}
				term++
				l = Allocator{Tolerance: terms}
				l.BeginTerm(now, list)
				l.SetCatalog(rates(rate))
			case 1:
				now = now.Add(time.Duration(rapid.IntRange(1, 12).Draw(t, "away")) * time.Second)
			case 2:
				v := vms[rapid.IntRange(0, len(vms)-1).Draw(t, "restarted")]
				if l.holders[v.name] != nil {
					*v = vm{name: v.name, incarnation: v.incarnation + 1, whole: true, began: now}
				}
			default:
				v := vms[rapid.IntRange(0, len(vms)-1).Draw(t, "reporting")]
				if known[v.name] && v.sequence == 0 {
					restarted = now
				}
				known[v.name] = true
				v.exchange(now, &l, term, rapid.IntRange(0, 3).Draw(t, "arrives") > 0)
			}
			for _, v := range vms {
				for range rapid.IntRange(0, 10).Draw(t, "asked") {
					if v.pass(now) {
						passed = append(passed, now)
					}
				}
			}
			for len(passed) > first && now.Sub(passed[first]) >= terms.Window {
				first++
			}
			if n := len(passed) - first; n > most {
				t.Fatalf("%d requests in a window, bound %d", n, most)
			}
		}
	})
}

// Guards against everything being given out anew when the whole system runs anew within a window: what passed
// before is known to nobody.
func TestRestartOfAll(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	var passed []time.Time
	vms := []*vm{{name: "a", whole: true}, {name: "b", whole: true}}
	play := func(l *Allocator, term ident.Term, span time.Duration) {
		for end := now.Add(span); now.Before(end); now = now.Add(10 * time.Millisecond) {
			for _, v := range vms {
				if now.UnixMilli()%250 == 0 {
					v.exchange(now, l, term, true)
				}
				if now.UnixMilli()%25 == 0 && v.pass(now) { // 80 a second, four times the rate
					passed = append(passed, now)
				}
			}
		}
	}
	l := Allocator{Tolerance: terms}
	l.BeginTerm(now, nil)
	l.SetCatalog(rates(20))
	play(&l, 1, 7*time.Second)
	now = now.Add(time.Second)
	for i, v := range vms {
		vms[i] = &vm{name: v.name, incarnation: 1, whole: true, began: now}
	}
	l.BeginTerm(now, []ident.VM{"a", "b"})
	l.SetCatalog(rates(20))
	play(&l, 2, 8*time.Second)
	first := 0
	for i, at := range passed {
		for at.Sub(passed[first]) >= terms.Window {
			first++
		}
		is.True(i-first+1 <= terms.MaxRequests(20, 20))
	}
}

// Guards against callers of a VM that took over another's load being refused for longer than two reports.
func TestAllowancesFollowDemand(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	l := Allocator{Tolerance: terms}
	l.BeginTerm(now, nil)
	l.SetCatalog(rates(20))
	a, b := &vm{name: "a", whole: true}, &vm{name: "b", whole: true}
	refused := func(v *vm, span time.Duration) int {
		n := 0
		for end := now.Add(span); now.Before(end); now = now.Add(10 * time.Millisecond) {
			if now.UnixMilli()%250 == 0 {
				a.exchange(now, &l, 1, true)
				b.exchange(now, &l, 1, true)
			}
			if now.UnixMilli()%50 == 0 && !v.pass(now) {
				n++
			}
		}
		return n
	}
	refused(a, time.Second)
	is.Equal(refused(a, 10*time.Second), 0) // the rate itself
	is.True(refused(b, time.Second) <= 5)   // until the first reports, on top of what a let through
	is.Equal(refused(b, 10*time.Second), 0)
}

// Guards against the days of 90 VMs and 87 workspaces: lent by rates, each VM's part was less than one request,
// and two of five requests within the rates were refused or waited for an exchange. Nothing within a rate may be
// refused without a fault.
func TestManyVMsServeSmallWorkspaces(t *testing.T) {
	const vms, seconds = 90, 30
	for _, rate := range []float64{3, 10, 20, 40, 300} {
		for _, part := range []float64{0.3, 0.62} {
			asked, waited, refused := playMany(rate, part, vms, seconds)
			t.Logf("rate %g: of %d requests at %g of the rate %d waited, %d refused", rate, asked, part, waited, refused)
			if refused > 0 {
				t.Errorf("rate %g: %d of %d requests within the rate refused", rate, refused, asked)
			}
		}
	}
}

// playMany plays a workspace whose callers ask for a part of its rate, each through some VMs, and returns how many
// requests waited for an exchange with a region 55 ms away, and were refused after 300 ms.
func playMany(rate, part float64, count, seconds int) (asked, waited, refused int) {
	random := rand.New(rand.NewPCG(7, uint64(rate)))
	now := time.Unix(1000, 0)
	l := Allocator{Tolerance: terms}
	l.BeginTerm(now, nil)
	l.SetCatalog(rates(rate))
	vms := make([]*vm, count)
	for i := range vms {
		vms[i] = &vm{name: ident.VM(rune('A' + i)), whole: true}
		vms[i].exchange(now, &l, 1, true)
	}
	callers := make([][]*vm, 13)
	for i := range callers {
		for range 6 {
			callers[i] = append(callers[i], vms[random.IntN(count)])
		}
	}
	type waiting struct {
		vm *vm
		at time.Time
	}
	var queue []waiting
	next := map[*vm]time.Time{}
	const step = 10 * time.Millisecond
	due := 0.0
	for end := now.Add(time.Duration(seconds) * time.Second); now.Before(end); now = now.Add(step) {
		for i, v := range vms {
			due := int(now.UnixMilli()/10)%50 == i%50
			if at, wakes := next[v]; due || wakes && !now.Before(at) {
				delete(next, v)
				v.exchange(now, &l, 1, true)
			}
		}
		kept := queue[:0]
		for _, w := range queue {
			switch {
			case w.vm.passed.Take(now, terms.Window, w.vm.allowed):
			case now.Sub(w.at) > 300*time.Millisecond:
				refused++
			default:
				kept = append(kept, w)
			}
		}
		queue = kept
		for due += random.Float64() * 2 * part * rate * step.Seconds(); due >= 1; due-- {
			asked++
			c := callers[random.IntN(len(callers))]
			if v := c[random.IntN(len(c))]; !v.pass(now) {
				waited++
				queue = append(queue, waiting{v, now})
				if _, set := next[v]; !set {
					next[v] = now.Add(110 * time.Millisecond)
				}
			}
		}
	}
	return asked, waited, refused
}

// Guards against callers being refused for the length of a window after each change of the leader, though all VMs
// told the new one what they hold and used.
func TestNewLeaderLendsOnceAllReported(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	l := Allocator{Tolerance: terms}
	l.BeginTerm(now, nil)
	l.SetCatalog(rates(20))
	a, b := &vm{name: "a", whole: true}, &vm{name: "b", whole: true}
	a.exchange(now, &l, 1, true)
	b.exchange(now, &l, 1, true)
	now = now.Add(2 * time.Second)
	l.BeginTerm(now, []ident.VM{"a", "b"})
	l.SetCatalog(rates(20))
	held := a.allowed
	a.exchange(now, &l, 2, true)
	for a.pass(now) {
	}
	a.exchange(now, &l, 2, true)
	is.Equal(a.allowed, held) // b may hold the rest
	b.exchange(now, &l, 2, true)
	a.exchange(now, &l, 2, true)
	is.True(a.allowed > held)
}

// Guards against a VM that keeps more than a lowered rate allows.
func TestLoweredRateIsTakenBack(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	l := Allocator{Tolerance: terms}
	l.BeginTerm(now, nil)
	l.SetCatalog(rates(100))
	a, b := &vm{name: "a", whole: true}, &vm{name: "b", whole: true}
	play := func(span time.Duration) (passed int) {
		for end := now.Add(span); now.Before(end); now = now.Add(10 * time.Millisecond) {
			for _, v := range []*vm{a, b} {
				if now.UnixMilli()%500 == 0 {
					v.exchange(now, &l, 1, true)
				}
				if v.pass(now) {
					passed++
				}
			}
		}
		return passed
	}
	play(10 * time.Second)
	l.SetCatalog(rates(5))
	play(8 * time.Second)
	is.True(play(terms.Window) <= terms.MaxRequests(5, 5))
}

// Guards against the callers of all VMs being refused after a loss of all because one VM on a busy link reports seconds
// later: on a site of 89 VMs nobody was served for three seconds more. What the late one may let through stays counted.
func TestLateVMDoesNotStopAll(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	const rate, count = 90, 30
	l := Allocator{Tolerance: terms}
	var list []ident.VM
	vms := make([]*vm, count)
	for i := range vms {
		vms[i] = &vm{name: ident.VM(rune('A' + i)), whole: true, began: now}
		list = append(list, vms[i].name)
	}
	l.BeginTerm(now, list)
	l.SetCatalog(rates(rate))
	most := terms.MaxRequests(rate, rate)
	passed := 0
	for range 4 {
		for _, v := range vms[:count-1] { // the last one is late
			v.exchange(now, &l, 1, true)
			for range 2 {
				if v.pass(now) {
					passed++
				}
			}
		}
		now = now.Add(500 * time.Millisecond)
	}
	is.True(passed > count) // served within two seconds
	for range 40 {
		for _, v := range vms[:count-1] {
			v.exchange(now, &l, 1, true)
			for range 5 {
				v.pass(now)
			}
		}
		used := 0
		for _, v := range vms[:count-1] {
			used += v.passed.Used(now, terms.Window)
		}
		is.True(used <= most-unheardParts*most/count+1 || now.Sub(l.began) >= l.HolderTimeout()) // room for the late one
		now = now.Add(200 * time.Millisecond)
	}
}

// Guards against the same being lent while a VM that went on was heard: then an unheard one may hold much of a rate.
func TestUnheardVMStopsLendingWhereOthersWentOn(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	l := Allocator{Tolerance: terms}
	l.BeginTerm(now, []ident.VM{"a", "b", "c", "d", "e"})
	l.SetCatalog(rates(90))
	for _, name := range []ident.VM{"a", "b", "c", "d"} {
		v := &vm{name: name, whole: true, began: now}
		if name == "d" {
			v.began = time.Time{}
		}
		v.exchange(now, &l, 1, true)
		v.exchange(now, &l, 1, true)
		if name == "d" {
			is.Equal(v.allowed, 0)
		}
	}
	v := &vm{name: "f", whole: true}
	v.exchange(now, &l, 1, true)
	is.Equal(v.allowed, 0)
}
