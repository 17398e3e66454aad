package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// BootTime is a System clock whose Now also counts time during which the VM was suspended. A lease or a deadline
// therefore expires during a suspension. Its zero value is ready for use.
type BootTime struct{ System }

// Now implements Clock. The result is the time since boot as a time.Time without a monotonic reading. It is not a
// time of day and does not change when the time of day is set.
func (BootTime) Now() time.Time {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return time.Now()
	}
	return time.Unix(t.Sec, t.Nsec)
}
