package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// BootTime is the machine's clock whose Now also counts the time that the machine was suspended, so that a
// lease or a deadline does not outlive a suspension. Its zero value is ready for use.
type BootTime struct{ System }

// Now implements Clock. The result has no monotonic reading and does not jump with the time of day.
func (BootTime) Now() time.Time {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return time.Now()
	}
	return time.Unix(t.Sec, t.Nsec)
}
