package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// SinceBoot returns the time since the machine started. Unlike the monotonic clock of package time, it
// includes the time in which the machine was suspended. Changes of the wall clock do not affect it.
func SinceBoot() time.Duration {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		// Every supported kernel has CLOCK_BOOTTIME.
		panic(err)
	}
	return time.Duration(now.Nano())
}
