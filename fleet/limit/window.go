package limit

import "time"

// Window counts the requests admitted within a sliding time window; its zero value has admitted none.
type Window struct {
	admitted []time.Time // times of admission within the window, oldest first
}

// Used returns how many requests were admitted within the window of the given length that ends at now.
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

// Take admits one request. It returns false if the window already holds maxRequests.
func (w *Window) Take(now time.Time, length time.Duration, maxRequests int) bool {
	if w.Used(now, length) >= maxRequests {
		return false
	}
	w.admitted = append(w.admitted, now)
	return true
}

// Refund removes one request that was admitted at admittedAt and was not executed.
func (w *Window) Refund(admittedAt time.Time) {
	for i, t := range w.admitted {
		if t.Equal(admittedAt) {
			w.admitted = append(w.admitted[:i], w.admitted[i+1:]...)
			return
		}
	}
}

// WaitTime returns the time until Take admits the next request, or false if maxRequests is 0 or less.
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

// Tolerance is by how much a fleet may exceed a rate and a burst, since its VMs coordinate them with a delay.
type Tolerance struct {
	Window time.Duration // length of the window in which requests are counted
	Excess float64       // allowed excess as a fraction of the rate and the burst
	Slack  float64       // further allowed excess in requests
}

// MaxRequests returns how many requests may be admitted within any window for a rate in requests per second and a
// burst in requests.
func (a Tolerance) MaxRequests(rate, burst float64) int {
	return int((rate*a.Window.Seconds()+burst)*(1+a.Excess) + a.Slack)
}
