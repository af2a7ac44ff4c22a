package quota

import (
	"testing"
	"time"

	"github.com/papayacove/papayacove/internal/policy/callers"
	"github.com/papayacove/papayacove/internal/policy/placement"
)

// TestReturnedTokenEndsWithItsFirstUse: a token that is spent and returned again and again must not outlive
// maxWaitToSend after it was first spent.
func TestReturnedTokenEndsWithItsFirstUse(t *testing.T) {
	p := NewPurse("d", 1, 0)
	p.SetBuckets(map[string]Bucket{"w": {Rate: 1, Depth: 10}}, 0)
	now := time.Second
	p.account("w").lots = []lot{{tokens: 1, until: now + TokensValidFor}}
	for i := range 20 {
		d := p.Spend("w", true, now)
		if age := now - time.Second; d.Verdict == Spent && age >= TokensValidFor+maxWaitToSend {
			t.Fatalf("the one token is spent for the %dth time %v after it was granted", i+1, age)
		}
		now += 500 * time.Millisecond
		if d.Verdict == Spent {
			p.Return("w", d.SpentAt, now)
		}
	}
}

// TestReturnedTokensKeepTheBound: a target is down for 20 s; operations wait 0.5 s with their tokens and return them.
// When it is back, all that hold tokens run. More run in a window than the bound.
func TestReturnedTokensKeepTheBound(t *testing.T) {
	w := Window{Length: 5 * time.Second, Overage: 0.1, Slack: 20}
	limit := callers.Limit{RatePerS: 20, Burst: 20}
	p := NewPurse("d", 1, 0)
	p.SetBuckets(map[string]Bucket{"w": w.BucketFor(limit)}, 0)
	f := NewFleet("d")
	f.Observe([]placement.Member{{Name: "d"}}, 0)
	const step = 5 * time.Millisecond // 200 operations a second are offered
	back := 30 * time.Second
	type waits struct{ since, spentAt time.Duration }
	var waiting []waits
	ran := 0
	for now := time.Duration(0); now < back+w.Length; now += step {
		p.SetFleet(f.Weight(Registration{IsListed: true, WrittenAt: now}, now), 1, f.Home(), f.Orders(), now)
		for now < back && len(waiting) > 0 && now-waiting[0].since >= 500*time.Millisecond {
			p.Return("w", waiting[0].spentAt, now)
			waiting = waiting[1:]
		}
		if now == back {
			ran += len(waiting)
			waiting = nil
		}
		d := p.Spend("w", true, now)
		if d.Verdict != Spent {
			continue
		}
		if now < back {
			waiting = append(waiting, waits{now, d.SpentAt})
		} else {
			ran++
		}
	}
	if bound := w.Bound(limit); float64(ran) > bound {
		t.Errorf("%d operations ran in %v, want at most %g", ran, w.Length, bound)
	}
}
