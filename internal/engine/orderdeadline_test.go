package engine

import (
	"context"
	"testing"
	"time"

	"github.com/papayacove/papayacove/internal/clock"
)

// deadlinePromoter keeps the deadline of the last order.
type deadlinePromoter struct{ deadline time.Time }

func (p *deadlinePromoter) Promote(ctx context.Context, _, _ string, _ uint64) error {
	p.deadline, _ = ctx.Deadline()
	return errNoAnswerToOrder
}

// TestOrderEndsWithThePromotionLock guards against an order that arrives after the end of the lock, and takes effect
// beside the promotion of the next holder.
func TestOrderEndsWithThePromotionLock(t *testing.T) {
	for left, want := range map[time.Duration]time.Duration{promoteTimeout / 2: promoteTimeout / 2, time.Hour: promoteTimeout} {
		e := newStoppableEngine(&settledLock{})
		defer e.Close()
		promoter := &deadlinePromoter{}
		e.options.Promoter = promoter
		p := &promotion{engine: e, group: e.groups["g"], lockedUntil: clock.SinceBoot() + left}
		before := time.Now()
		_ = p.sendOrder("b")
		if latest := time.Now().Add(want); promoter.deadline.After(latest) || promoter.deadline.Before(before) {
			t.Errorf("lock held for %s more: got an order that ends at %s, want one between %s and %s", left, promoter.deadline, before, latest)
		}
	}
}
