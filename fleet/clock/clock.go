package clock

import (
	"context"
	"time"
)

// Clock tells the current time and provides timers.
type Clock interface {
	// Now returns the current time. The difference of two results is not affected by changes of the time of day.
	Now() time.Time
	// After returns a channel that receives the time once d has passed.
	After(d time.Duration) <-chan time.Time
	// Every returns a channel that receives the time at intervals of d, and a function that stops it.
	Every(d time.Duration) (<-chan time.Time, func())
}

// System is the clock of the operating system; its zero value is ready for use.
type System struct{}

// Now implements Clock.
func (System) Now() time.Time { return time.Now() }

// After implements Clock.
func (System) After(d time.Duration) <-chan time.Time { return time.After(d) }

// Every implements Clock.
func (System) Every(d time.Duration) (<-chan time.Time, func()) {
	t := time.NewTicker(d)
	return t.C, t.Stop
}

// Deadline converts a time of c to a time for deadlines of sockets and contexts, which are those of System.
func Deadline(c Clock, t time.Time) time.Time {
	if _, ok := c.(System); ok || t.IsZero() {
		return t
	}
	return System{}.Now().Add(t.Sub(c.Now()))
}

// Sleep waits for d. If ctx is done first, it returns the context's error.
func Sleep(ctx context.Context, c Clock, d time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-c.After(d):
		return nil
	}
}
