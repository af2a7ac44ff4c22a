package engine

import (
	"context"
	"errors"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/papayacove/papayacove/internal/clock"
	"github.com/papayacove/papayacove/internal/policy/leadership"
	"github.com/papayacove/papayacove/internal/policy/takeover"
)

// promotionLog records the orders of a promotion, and lists the targets: the last of them joins with a later list.
type promotionLog struct {
	*fakeTarget
	mu     sync.Mutex
	orders []string
	// paused holds the terms at which targets were paused.
	paused map[string]uint64
	// lists is the number of lists, and joinsAt that from which the target d is listed.
	lists, joinsAt int
	listErr        error
	// failsAt is the number of the list that fails; 0 for none.
	failsAt int
	// silent is a target that does not answer a second order to pause; empty for none.
	silent string
	// leaving is a target that is listed as leaving and not known to the daemon; empty for none.
	leaving string
}

func (p *promotionLog) Dial(ctx context.Context, target Target, workspace string) (Connection, error) {
	conn, err := p.fakeTarget.Dial(ctx, target, workspace)
	return recordedConnection{conn, p, target.Name}, err
}

type recordedConnection struct {
	Connection
	log    *promotionLog
	target string
}

func (c recordedConnection) Exchange(deadline time.Time, commands ...Command) ([]Reply, error) {
	command := commands[0]
	if command.Op != OpStatus {
		c.log.add(command.Op.String() + " " + c.target)
	}
	c.log.mu.Lock()
	defer c.log.mu.Unlock()
	if command.Op == OpPause && c.target == c.log.silent && c.log.paused[c.target] != 0 {
		return nil, errNoAnswer
	}
	if command.Op == OpPause {
		c.log.paused[c.target] = command.Term
	}
	status := leadership.Status{Role: leadership.RoleReplica, Term: 1, PausedTerm: c.log.paused[c.target]}
	return []Reply{{Status: status}}, nil
}

func (p *promotionLog) add(order string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.orders = append(p.orders, order)
}

func (p *promotionLog) Promote(_ context.Context, _, target string, _ uint64) error {
	p.add("promote " + target)
	return ErrTargetDown
}

func (p *promotionLog) ListTargets(context.Context, string) ([]Target, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lists++
	if p.lists == p.failsAt {
		return nil, errors.New("no answer")
	}
	targets := []Target{{Name: "a", Group: "g"}, {Name: "b", Group: "g"}, {Name: "c", Group: "g"}}
	if p.joinsAt > 0 && p.lists >= p.joinsAt {
		targets = append(targets, Target{Name: "d", Group: "g"})
	}
	if p.leaving != "" {
		targets = append(targets, Target{Name: p.leaving, Group: "g", Leaving: true})
	}
	return targets, p.listErr
}

// promoteBeside makes a promotion whose targets are listed as the log says, and returns the orders up to the order to
// promote, and how long it took.
func promoteBeside(t *testing.T, p *promotionLog) (orders []string, elapsed time.Duration) {
	t.Helper()
	e := newStoppableEngine(&recordingLock{acquired: make(chan struct{}), released: make(chan error, 1)})
	defer e.Close()
	p.paused = make(map[string]uint64)
	p.fakeTarget = e.options.Dialer.(countingDialer).Dialer.(*fakeTarget)
	e.options.Promoter, e.options.TargetLister = p, p
	g := e.groups["g"]
	g.dialer = p
	for _, m := range g.members {
		m.control.dialer = p
	}
	began := clock.SinceBoot()
	e.takeOver(g, takeover.ReasonNoPrimary)
	return p.orders, clock.SinceBoot() - began
}

// TestTargetThatJoinsDuringAPromotionIsPaused guards against a promotion without the commits that the old primary
// acknowledged by the receipt of a target that was not paused.
func TestTargetThatJoinsDuringAPromotionIsPaused(t *testing.T) {
	for name, joinsAt := range map[string]int{"listed, and unknown to the daemon": 1, "joins after the first list": 2} {
		orders, elapsed := promoteBeside(t, &promotionLog{joinsAt: joinsAt})
		paused, promoted := slices.Index(orders, "pause d"), slices.IndexFunc(orders, func(o string) bool { return o[:2] == "pr" })
		if paused < 0 || promoted < paused {
			t.Errorf("%s: got orders %v, want d paused before a promotion", name, orders)
		}
		if least := time.Duration(joinsAt) * leadership.ProofValidity; elapsed < least {
			t.Errorf("%s: got the order after %s, want one after the wait of %s", name, elapsed, least)
		}
	}
}

// TestPromotionListsAgainAfterAFailure guards against a group without a primary: the old one has stepped down when the list
// before the order fails.
func TestPromotionListsAgainAfterAFailure(t *testing.T) {
	orders, _ := promoteBeside(t, &promotionLog{failsAt: 2})
	if !slices.ContainsFunc(orders, func(o string) bool { return strings.HasPrefix(o, "promote ") }) {
		t.Errorf("got orders %v, want a promotion", orders)
	}
}

// TestPromotionWithoutAListIsGivenUp lists no targets: one that has joined may hold acknowledged commits alone.
func TestPromotionWithoutAListIsGivenUp(t *testing.T) {
	orders, _ := promoteBeside(t, &promotionLog{listErr: errors.New("no answer")})
	if len(orders) != 0 {
		t.Errorf("got orders %v, want none", orders)
	}
}

// TestReplicaPausedInAnEarlierRoundIsResumed guards against a replica that stays paused after a promotion that was given up, since
// the order to pause it again, for a target that had joined, was not answered.
func TestReplicaPausedInAnEarlierRoundIsResumed(t *testing.T) {
	orders, _ := promoteBeside(t, &promotionLog{joinsAt: 2, silent: "c"})
	for _, name := range []string{"a", "b", "c", "d"} {
		if !slices.Contains(orders, "resume "+name) {
			t.Errorf("got orders %v, want %s resumed", orders, name)
		}
	}
}

// TestListedTargetThatLeavesIsNotPreferred guards against a new primary that leaves at once although others have as long a log. The
// daemon has not learned of the target, whose name is the first of all.
func TestListedTargetThatLeavesIsNotPreferred(t *testing.T) {
	orders, _ := promoteBeside(t, &promotionLog{leaving: "A"})
	if !slices.Contains(orders, "pause A") || !slices.Contains(orders, "promote a") {
		t.Errorf("got orders %v, want A paused and a promoted", orders)
	}
}
