package clock

import (
	"sync"
	"time"
)

// Fake is a clock for tests that changes only when Advance is called; its zero value starts at the zero time.
type Fake struct {
	mu     sync.Mutex
	now    time.Time
	timers []*fakeTimer
}

type fakeTimer struct {
	at      time.Time
	period  time.Duration
	ch      chan time.Time
	stopped bool
}

// Now implements Clock.
func (f *Fake) Now() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.now
}

// After implements Clock.
func (f *Fake) After(d time.Duration) <-chan time.Time {
	ch, _ := f.add(d, 0)
	return ch
}

// Every implements Clock.
func (f *Fake) Every(d time.Duration) (<-chan time.Time, func()) {
	return f.add(d, d)
}

func (f *Fake) add(d, period time.Duration) (<-chan time.Time, func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	t := &fakeTimer{at: f.now.Add(d), period: period, ch: make(chan time.Time, 1)}
	f.timers = append(f.timers, t)
	return t.ch, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		t.stopped = true
	}
}

// Advance moves the clock forward by d and fires the timers that are due.
func (f *Fake) Advance(d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.now = f.now.Add(d)
	pending := f.timers[:0]
	for _, t := range f.timers {
		if t.stopped {
			continue
		}
		if t.at.After(f.now) {
			pending = append(pending, t)
			continue
		}
		select {
		case t.ch <- f.now:
		default:
		}
		if t.period > 0 {
			for !t.at.After(f.now) {
				t.at = t.at.Add(t.period)
			}
			pending = append(pending, t)
		}
	}
	f.timers = pending
}
