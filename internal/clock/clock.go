// Package clock provides a sleep that ends with a context, and a clock that includes the time in which the machine was
// suspended.
package clock

import (
	"context"
	"time"
)

// Sleep waits for d. It returns the error of ctx if ctx ends first.
func Sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
