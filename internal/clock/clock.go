// Package clock waits for a time within a context.
package clock

import (
	"context"
	"time"
)

// Sleep waits for d, and returns the error of ctx when that ends first.
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
