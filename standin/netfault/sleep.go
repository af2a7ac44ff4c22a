package netfault

import (
	"syscall"
	"time"
)

// maxPreciseSleep is the length of the last part of a wait, which is slept with the precision of the kernel's timers.
const maxPreciseSleep = 10 * time.Millisecond

// sleepUntil waits until a time. The timers of an idle Go process fire up to a millisecond late, which is as long as
// the delays that links are set to. The last part of the wait therefore blocks its thread in a system call instead.
func sleepUntil(due time.Time) {
	if long := time.Until(due) - maxPreciseSleep; long > 0 {
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
