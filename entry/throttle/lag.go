package throttle

import "time"

// lagMemory is how long a delay counts: the queue of a small VM's link empties within it.
const lagMemory = 3 * time.Second

// LinkDelay estimates how long messages wait on their way in on this VM's own link, from exchanges with other VMs; its zero
// value is ready for use. A request waits there before the VM knows of it.
type LinkDelay struct {
	base   time.Duration // the fastest exchange, which waited for nothing
	recent [4]sample
	next   int
}

type sample struct {
	at    time.Time
	delay time.Duration
}

// AddSample takes over how long an exchange took.
func (l *LinkDelay) AddSample(now time.Time, took time.Duration) {
	if l.base == 0 || took < l.base {
		l.base = took
	}
	l.recent[l.next%len(l.recent)] = sample{now, took}
	l.next++
}

// Estimate returns how long every message of the last exchanges waited on one of its two ways. Single ones waited longer, but
// a request that is given up too early for a delay that it did not meet is lost.
func (l *LinkDelay) Estimate(now time.Time) time.Duration {
	least, known := time.Duration(0), false
	for _, s := range l.recent {
		if now.Sub(s.at) >= lagMemory || s.at.IsZero() {
			continue
		}
		if d := (s.delay - l.base) / 2; !known || d < least {
			least, known = d, true
		}
	}
	return least
}
