package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	smallRoutes  = 8                // routes of the first config
	moreRoutes   = 1592             // the largest big_config of the grown sites
	changeCount  = 450              // "hundreds of changes"
	changesUntil = 80 * time.Second // no change is sent later
	restartDelay = 500 * time.Millisecond
	memoryMB     = 280 // of a core machine
	recovery     = 15 * time.Second
	readSpan     = 6 * time.Second // longer than contactWindow
)

// platformLimits does what the platform does with processes that use more memory than their machine has, and with those that
// end: it kills the former and starts both again.
type platformLimits struct {
	f     *fleet
	kills map[string]*atomic.Int32
	peak  map[string]*atomic.Int32
	end   chan struct{}
	done  sync.WaitGroup
}

func watchLimits(f *fleet) *platformLimits {
	p := &platformLimits{f: f, kills: map[string]*atomic.Int32{}, peak: map[string]*atomic.Int32{}, end: make(chan struct{})}
	for _, m := range f.cores {
		p.kills[m.name], p.peak[m.name] = &atomic.Int32{}, &atomic.Int32{}
		p.done.Go(func() { p.watch(m) })
	}
	return p
}

func (p *platformLimits) watch(m *machine) {
	for {
		select {
		case <-p.end:
			return
		case <-m.ended:
			time.Sleep(restartDelay)
			p.f.start(m)
		case <-time.After(50 * time.Millisecond):
			used := m.residentMB()
			if int32(used) > p.peak[m.name].Load() {
				p.peak[m.name].Store(int32(used))
			}
			if used <= memoryMB {
				continue
			}
			p.kills[m.name].Add(1)
			p.f.rec.note("platform: %s uses %d MB of %d MB and is killed (%d MB of files)", m.name, used, memoryMB, m.diskMB())
			m.signal(syscall.SIGKILL)
			<-m.ended
			time.Sleep(restartDelay)
			p.f.start(m)
		}
	}
}

func (p *platformLimits) stop() {
	close(p.end)
	p.done.Wait()
}

// playLogSize sends hundreds of changes of the time-outs of all routes. The trouble is that the config has many routes.
func playLogSize(rec *recorder, trouble bool) {
	f := newFleet(rec, 5, 1)
	rec.end = f.close
	for _, m := range f.all() {
		f.start(m)
	}
	o := newOperator(f)
	config := func(count, round int) map[string]any {
		routes := map[string]any{}
		for i := range count {
			routes[fmt.Sprintf("r-%07d", i)] = route(fmt.Sprintf("/lepu%d/ny95/", i), "safe", fmt.Sprintf("%dms", 2500+round), "huvo11a", 2)
		}
		return map[string]any{"routes": routes, "services": map[string]any{"huvo11a": service()}, "limits": limits(),
			"tenants": map[string]any{"yefi830": map[string]any{"apiKeys": []string{"tnfzs989anu6wsjnbanf"}, "priority": 0, "ratePerS": 89, "burst": 89, "homeRegions": []string{}}}}
	}
	if status := o.replace(1, config(smallRoutes, 0), 15*time.Second); status != http.StatusOK {
		rec.cannotRun("the first config was not accepted: %d", status)
	}
	limits := watchLimits(f)
	count := smallRoutes
	if trouble {
		count += moreRoutes
	}
	acknowledged, stopAt := 0, rec.start.Add(changesUntil)
	for round := 1; round <= changeCount && time.Now().Before(stopAt); round++ {
		if o.replace(uint64(1+round), config(count, round), time.Until(stopAt)) != http.StatusOK {
			break
		}
		acknowledged++
		if round%50 == 0 {
			for _, m := range f.cores {
				rec.note("%s: %d MB of memory, %d MB of files after %d changes", m.name, m.residentMB(), m.diskMB(), round)
			}
		}
	}
	rec.note("operator: %d changes were acknowledged, the newest is %08x; no more are sent", acknowledged, o.base)
	time.Sleep(recovery)
	readVersion, reads := "", 0
	for end := time.Now().Add(readSpan); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		for core := range f.cores {
			status, body := o.call(core, http.MethodGet, "/configuration/get", 0, nil)
			var got struct{ Version string }
			if reads++; status == http.StatusOK && json.Unmarshal(body, &got) == nil {
				readVersion = max(readVersion, got.Version)
			}
		}
	}
	limits.stop()
	kills, halted := 0, 0
	for _, m := range f.cores {
		n := int(limits.kills[m.name].Load())
		kills += n
		if n >= 3 {
			halted++
		}
		rec.note("%s: peak %d MB of memory, killed %d times for it", m.name, limits.peak[m.name].Load(), n)
	}
	rec.note("%d reads of the config at all core machines, the newest version read is %q", reads, readVersion)
	want := fmt.Sprintf("%08x", o.base)
	rec.finish(halted*2 >= len(f.cores) || readVersion < want, "Fault, CONFIG: %d of %d core machines went over their memory three times or more (%d times in all); config %s was acknowledged, read back after %s: %q",
		halted, len(f.cores), kills, want, recovery, readVersion)
}
