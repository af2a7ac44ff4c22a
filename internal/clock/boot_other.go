//go:build !linux

package clock

import "time"

var processStart = time.Now()

// SinceBoot returns the time since the process started. This system has no clock that includes the time in which the
// machine was suspended.
func SinceBoot() time.Duration { return time.Since(processStart) }
