package limit

import "time"

// Window bounds how many requests pass within any span of time; its zero value lets none pass.
type Window struct {
	passed []time.Time // within the span, oldest first
}

// Used returns how many passed within the span that ends now.
func (w *Window) Used(now time.Time, span time.Duration) int {
	first := 0
	for first < len(w.passed) && now.Sub(w.passed[first]) >= span {
		first++
	}
	if first > 0 {
		w.passed = append(w.passed[:0], w.passed[first:]...)
	}
	return len(w.passed)
}

// Take lets one more through if that keeps to at most most within the span.
func (w *Window) Take(now time.Time, span time.Duration, most int) bool {
	if w.Used(now, span) >= most {
		return false
	}
	w.passed = append(w.passed, now)
	return true
}

// Refund takes back one that passed at a time and came to nothing.
func (w *Window) Refund(at time.Time) {
	for i, t := range w.passed {
		if t.Equal(at) {
			w.passed = append(w.passed[:i], w.passed[i+1:]...)
			return
		}
	}
}

// Ready returns how long it takes until one more may pass, or false where none ever may.
func (w *Window) Ready(now time.Time, span time.Duration, most int) (time.Duration, bool) {
	used := w.Used(now, span)
	switch {
	case most <= 0:
		return 0, false
	case used < most:
		return 0, true
	}
	return w.passed[used-most].Add(span).Sub(now), true
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
