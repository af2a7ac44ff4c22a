package lines_test

import (
	"testing"
	"time"

	"github.com/papayacove/papayacove/standin/lines"
	"github.com/papayacove/papayacove/standin/netfault"
)

// awaitOrder returns the first order to promote, once it has arrived.
func (p *processes) awaitOrder() lines.PromotionOrder {
	p.t.Helper()
	for end := time.Now().Add(waitTimeout); len(p.Provider.Orders()) == 0; time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			p.t.Fatal("got no order to promote")
		}
	}
	return p.Provider.Orders()[0]
}

// replaceCutPrimary cuts the primary off from the daemons until healAfter past the first order to promote, which
// finds the provider with the faults. It returns the writes meanwhile. The target of that order receives nothing
// between the order and its effect.
func (p *processes) replaceCutPrimary(faults lines.OrderFaults, healAfter time.Duration) []attempt {
	p.t.Helper()
	old := p.Group.Primary()
	p.Provider.SetFaults(faults)
	return p.writeDuring(func() {
		p.TargetLink(old).SetFaults(netfault.Faults{Partitioned: true})
		chosen := p.Group.Target(p.awaitOrder().Target)
		chosen.SetReceiveBlocked(true)
		time.Sleep(healAfter)
		p.TargetLink(old).SetFaults(netfault.Faults{})
		time.Sleep(max(0, faults.EffectDelay-healAfter) + 500*time.Millisecond)
		p.Provider.SetFaults(lines.OrderFaults{})
		chosen.SetReceiveBlocked(false)
	})
}

// TestOrderThatTakesEffectLateLosesNothing guards against commits of the old primary after a promotion that is given
// up, whose order takes effect nevertheless: the old primary comes back meanwhile, and the other replica lets it
// acknowledge them.
func TestOrderThatTakesEffectLateLosesNothing(t *testing.T) {
	t.Parallel()
	for name, faults := range map[string]lines.OrderFaults{
		"the answer is lost":               {EffectDelay: 5 * time.Second, LoseAnswers: true},
		"the answer comes after the limit": {EffectDelay: 5 * time.Second},
		"the answer is late":               {AnswerDelay: 900 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			p := startProcesses(t)
			time.Sleep(settleTime)
			p.checkAttempts(p.replaceCutPrimary(faults, time.Second))
			checkFencingTokens(t, p.Provider.Orders())
		})
	}
}

// TestOldPrimaryThatIsReachedBeforeTheEffectStepsDown guards against commits that the old primary acknowledges
// between the order to promote and its effect: it is reached again, and then a replica restarts, which ends its
// pause.
func TestOldPrimaryThatIsReachedBeforeTheEffectStepsDown(t *testing.T) {
	t.Parallel()
	p := startProcesses(t)
	time.Sleep(settleTime)
	old := p.Group.Primary()
	p.Provider.SetFaults(lines.OrderFaults{EffectDelay: 2 * time.Second})
	p.checkAttempts(p.writeDuring(func() {
		p.TargetLink(old).SetFaults(netfault.Faults{Partitioned: true})
		chosen := p.awaitOrder().Target
		p.TargetLink(old).SetFaults(netfault.Faults{})
		time.Sleep(time.Second)
		for _, id := range p.Group.IDs() {
			if id != old && id != chosen {
				p.Group.Target(id).Crash()
				must(t, p.Group.Target(id).Start())
			}
		}
		time.Sleep(1500 * time.Millisecond)
		p.Provider.SetFaults(lines.OrderFaults{})
	}))
}
