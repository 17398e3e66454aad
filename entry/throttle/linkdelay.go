package throttle

import "time"

// maxSampleAge is the age from which a sample is ignored. The queue of a small VM's link empties within this time.
const maxSampleAge = 3 * time.Second

// LinkDelay estimates the queueing delay of incoming messages on this VM's own link from round trips to other VMs. A
// request has had this delay before the VM receives it. The zero value is ready for use.
type LinkDelay struct {
	minRoundTrip time.Duration // assumed to have had no queueing delay
	samples      [4]sample
	nextSample   int // number of samples added, the next one's index modulo the length of samples
}

// sample is a measured round trip time.
type sample struct {
	at        time.Time
	roundTrip time.Duration
}

// AddSample adds a round trip time that was measured now.
func (l *LinkDelay) AddSample(now time.Time, roundTrip time.Duration) {
	if l.minRoundTrip == 0 || roundTrip < l.minRoundTrip {
		l.minRoundTrip = roundTrip
	}
	l.samples[l.nextSample%len(l.samples)] = sample{now, roundTrip}
	l.nextSample++
}

// Estimate returns the queueing delay in one direction, from the fastest of the recent round trips. Some messages were
// delayed more, but too high an estimate would make the VM give up requests that still have time.
func (l *LinkDelay) Estimate(now time.Time) time.Duration {
	minDelay, found := time.Duration(0), false
	for _, s := range l.samples {
		if now.Sub(s.at) >= maxSampleAge || s.at.IsZero() {
			continue
		}
		if delay := (s.roundTrip - l.minRoundTrip) / 2; !found || delay < minDelay {
			minDelay, found = delay, true
		}
	}
	return minDelay
}
