//go:build !linux

package clock

import "time"

var started = time.Now()

// Boot returns the time since the process started. This system has no clock that counts suspended time.
func Boot() time.Duration { return time.Since(started) }
