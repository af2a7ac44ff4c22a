package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Boot returns the time since the machine started. Unlike the monotonic clock of package time it
// counts the time in which the machine was suspended, and no change of the time of day moves it.
func Boot() time.Duration {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		// The clock exists on every supported kernel.
		panic(err)
	}
	return time.Duration(now.Nano())
}
