package netfault

import (
	"syscall"
	"time"
)

// preciseLimit is the longest time that is slept with the precision of the kernel's timers.
const preciseLimit = 10 * time.Millisecond

// sleepUntil waits until a time. The timers of an idle Go process are late by up to a millisecond,
// as much as the delays that links are set to, so that short delays block their thread instead.
func sleepUntil(due time.Time) {
	if long := time.Until(due) - preciseLimit; long > 0 {
		time.Sleep(long)
	}
	for {
		rest := time.Until(due)
		if rest <= 0 {
			return
		}
		request := syscall.NsecToTimespec(rest.Nanoseconds())
		// An interrupted sleep is continued by the loop.
		_ = syscall.Nanosleep(&request, nil)
	}
}
