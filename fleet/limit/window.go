package limit

import "time"

// Window bounds how many requests pass within any span of time; its zero value lets none pass.
type Window struct {
	admitted []time.Time // within the span, oldest first
}

// Used returns how many passed within the span that ends now.
func (w *Window) Used(now time.Time, length time.Duration) int {
	expired := 0
	for expired < len(w.admitted) && now.Sub(w.admitted[expired]) >= length {
		expired++
	}
	if expired > 0 {
		w.admitted = append(w.admitted[:0], w.admitted[expired:]...)
	}
	return len(w.admitted)
}

// Take lets one more through if that keeps to at most most within the span.
func (w *Window) Take(now time.Time, length time.Duration, maxRequests int) bool {
	if w.Used(now, length) >= maxRequests {
		return false
	}
	w.admitted = append(w.admitted, now)
	return true
}

// Refund takes back one that passed at a time and came to nothing.
func (w *Window) Refund(admittedAt time.Time) {
	for i, t := range w.admitted {
		if t.Equal(admittedAt) {
			w.admitted = append(w.admitted[:i], w.admitted[i+1:]...)
			return
		}
	}
}

// WaitTime returns how long it takes until one more may pass, or false where none ever may.
func (w *Window) WaitTime(now time.Time, length time.Duration, maxRequests int) (time.Duration, bool) {
	used := w.Used(now, length)
	switch {
	case maxRequests <= 0:
		return 0, false
	case used < maxRequests:
		return 0, true
	}
	return w.admitted[used-maxRequests].Add(length).Sub(now), true
}

// Tolerance is how much may pass beyond a rate and a burst while VMs agree on it.
type Tolerance struct {
	Window time.Duration // over which requests count
	Excess float64       // part of what rate and burst allow
	Slack  float64       // requests on top of that
}

// MaxRequests returns how many requests of a rate and a burst may pass within any span.
func (a Tolerance) MaxRequests(rate, burst float64) int {
	return int((rate*a.Window.Seconds()+burst)*(1+a.Excess) + a.Slack)
}
