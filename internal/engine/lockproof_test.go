package engine

import (
	"context"
	"errors"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/papayacove/papayacove/internal/clock"
	"github.com/papayacove/papayacove/internal/policy/leadership"
	"github.com/papayacove/papayacove/internal/policy/takeover"
)

// settledLock is a promotion lock that is free, whose record states a term, or fails to be read.
type settledLock struct {
	term  uint64
	err   error
	reads int
	// released are the terms that it was released with.
	released []uint64
}

func (l *settledLock) Acquire(context.Context, string, takeover.OldPrimary) (takeover.Hold, error) {
	return takeover.Hold{Token: 1, Until: clock.SinceBoot() + time.Minute}, nil
}

func (l *settledLock) Release(_ context.Context, _ string, term uint64) {
	l.released = append(l.released, term)
}

func (*settledLock) Observe(context.Context, string) error { return nil }

func (l *settledLock) SettledTerm(context.Context, string) (uint64, error) {
	l.reads++
	return l.term, l.err
}

// newLockedGroup returns a group whose replica b does not answer, whose proof has lapsed, and whose lock is given.
func newLockedGroup(lock *settledLock) *group {
	g, _ := newUnprovedGroup()
	g.promotionLock = lock
	g.inBackground = func(f func()) {
		g.mu.Unlock()
		defer g.mu.Lock()
		f()
	}
	target := &fakeTarget{}
	target.exchange = func(*fakeConnection, Command) (Reply, error) {
		return Reply{Status: follows(1, 10, 0)}, nil
	}
	g.members["a"].control.dialer = &fakeTarget{exchange: func(*fakeConnection, Command) (Reply, error) {
		return Reply{Status: leads(1, 10, 0)}, nil
	}}
	g.members["b"].control.dialer = &fakeTarget{exchange: func(*fakeConnection, Command) (Reply, error) {
		return Reply{}, errNoAnswer
	}}
	g.members["c"].control.dialer = target
	return g
}

// TestRecordOfThePromotionLockStartsAChain guards against a group without proofs for as long as a target does not
// answer, and against a proof by the record of another term or of a lock that is held.
func TestRecordOfThePromotionLockStartsAChain(t *testing.T) {
	for name, c := range map[string]struct {
		lock settledLock
		want bool
	}{
		"its term":     {settledLock{term: 1}, true},
		"a later term": {settledLock{term: 2}, false},
		"held":         {settledLock{err: errHeldElsewhere}, false},
	} {
		g := newLockedGroup(&c.lock)
		before := clock.SinceBoot()
		g.renewProof()
		if proved := g.provenUntil > clock.SinceBoot(); proved != c.want || c.lock.reads != 1 {
			t.Errorf("%s: got a proof %t after %d reads, want %t after one", name, proved, c.lock.reads, c.want)
		}
		if c.want && (g.proofOrigin != proofOrigin{proofOfRecord, "a"} || g.provenUntil < before+leadership.ProofValidity) {
			t.Errorf("%s: got a proof by %+v until %s, want one by the record of after %s", name, g.proofOrigin, g.provenUntil, before)
		}
		g.provenUntil = 0
		g.renewProof()
		if c.lock.reads != 1 {
			t.Errorf("%s: got %d reads at once, want one", name, c.lock.reads)
		}
	}
}

// useHolders lets other daemons hold the targets of the group.
func (g *group) useHolders() {
	var list []Daemon
	for _, name := range []string{"daemon-1", "daemon-2", "daemon-3"} {
		list = append(list, Daemon{Name: name, Zone: "z", Address: name})
	}
	g.relays = networkPeers{}
	g.setLimits(GroupLimits{MaxConnections: 2, SyncReplicas: 1}, newDaemonList("daemon-1", list))
}

// TestRecordIsLeftToTheHolder guards against calls of all daemons to the store after a promotion.
func TestRecordIsLeftToTheHolder(t *testing.T) {
	g := newLockedGroup(&settledLock{term: 1})
	g.useHolders()
	now := max(g.termSeenAt, g.provenUntil)
	if !g.leavesRecordToHolder(now+lateRecordInterval/2) || g.leavesRecordToHolder(now+lateRecordInterval) {
		t.Error("want the record left to the holder for the late interval, and read then")
	}
	g.gateOf(g.members["a"])
	if g.leavesRecordToHolder(now) {
		t.Error("the daemon holds the primary: got the record left to another one")
	}
}

// TestRecordIsReadOnlyWithoutAnotherProof guards against calls to the store for each lapse of a proof.
func TestRecordIsReadOnlyWithoutAnotherProof(t *testing.T) {
	lock := &settledLock{term: 1}
	g := newLockedGroup(lock)
	g.members["b"].control.dialer = g.members["c"].control.dialer
	if !g.renewProof() || lock.reads != 0 {
		t.Errorf("all targets answer: got a proof until %s after %d reads, want one after none", g.provenUntil, lock.reads)
	}
	g.recordReads = recordReads{failed: recordAttempts, endedAt: clock.SinceBoot()}
	if g.recordReads.mayRead(g.recordReads.endedAt + recordInterval) {
		t.Error("after many reads without a proof: got a read after the short interval, want the long one")
	}
}

// TestChainIsKeptWhileATargetDoesNotAnswer guards against a group that is used and left without proofs although the
// last one could have been renewed.
func TestChainIsKeptWhileATargetDoesNotAnswer(t *testing.T) {
	for name, c := range map[string]struct {
		change func(*group)
		want   bool
	}{
		"all answer":          {func(*group) {}, false},
		"one does not answer": {func(g *group) { g.members["b"].gaveNoStatus = true }, true},
		"one is paused": {func(g *group) {
			g.statuses["b"] = leadership.Status{Role: leadership.RoleReplica, Term: 1, PausedTerm: 2}
		}, true},
		"the entries are incomplete": {func(g *group) { g.directorySettled = func() bool { return false } }, true},
		"the group is not used":      {func(g *group) { g.members["b"].gaveNoStatus, g.proofUsedAt = true, clock.SinceBoot()-unusedAfter }, false},
		"the proof holds for long":   {func(g *group) { g.members["b"].gaveNoStatus, g.provenUntil = true, clock.SinceBoot()+time.Hour }, false},
		"another daemon holds it": {func(g *group) {
			g.members["b"].gaveNoStatus = true
			g.useHolders()
		}, false},
	} {
		g := newTestGroup(&fakeTarget{})
		g.proofUsedAt = clock.SinceBoot()
		g.provenUntil = g.proofUsedAt + keepAliveReserve/2
		c.change(g)
		if got := g.needsProof(); got != c.want {
			t.Errorf("%s: got a proof to be fetched %t, want %t", name, got, c.want)
		}
	}
}

// TestProofIsRequestedBeforeItLapses guards against a break of the chain at each lapse, although statements follow one
// another.
func TestProofIsRequestedBeforeItLapses(t *testing.T) {
	for left, want := range map[time.Duration]int{renewalReserve / 2: 1, renewalReserve * 2: 0} {
		g := newTestGroup(&fakeTarget{})
		g.provenUntil = clock.SinceBoot() + left
		g.renewProofIfExpired(g.members["a"])
		if got := len(g.proofRequests); got != want {
			t.Errorf("%s before the end: got %d requests, want %d", left, got, want)
		}
	}
}

// TestPromoterProvesItsPromotion guards against a group without proofs after a promotion whose old primary does not
// answer, and against a proof by a daemon that has lost the lock.
func TestPromoterProvesItsPromotion(t *testing.T) {
	for lockedFor, want := range map[time.Duration]bool{time.Second: true, -time.Millisecond: false} {
		g := newTestGroup(&fakeTarget{})
		asked := clock.SinceBoot()
		g.recordPromoted("b", leads(2, 10, asked), asked+lockedFor)
		if g.primary != "b" || g.term != 2 || (g.provenUntil > asked) != want {
			t.Errorf("lock held for %s more: got primary %q in term %d with a proof until %s, want b in term 2, proved %t",
				lockedFor, g.primary, g.term, g.provenUntil, want)
		}
	}
}

// promoterOf promotes targets at once, or fails.
type promoterOf struct {
	promote func(target string)
	err     error
}

func (p *promoterOf) Promote(_ context.Context, _, target string, _ uint64) error {
	if p.err == nil {
		p.promote(target)
	}
	return p.err
}

// TestPromotionReleasesTheLockWithItsTerm guards against daemons without proofs after a promotion, and against proofs
// by the term of a promotion that may still take effect.
func TestPromotionReleasesTheLockWithItsTerm(t *testing.T) {
	for name, c := range map[string]struct {
		err    error
		reason takeover.Reason
		want   uint64
	}{
		"done":            {nil, takeover.ReasonNoPrimary, 2},
		"target down":     {ErrTargetDown, takeover.ReasonNoPrimary, takeover.NothingOrdered},
		"nothing ordered": {errors.New("unused"), takeover.ReasonLeaving, takeover.NothingOrdered},
	} {
		lock := &settledLock{}
		e := newStoppableEngine(lock)
		g := e.groups["g"]
		var mu sync.Mutex
		paused, promoted := make(map[string]uint64), ""
		for name, m := range g.members {
			m.control.dialer = &fakeTarget{exchange: func(_ *fakeConnection, command Command) (Reply, error) {
				mu.Lock()
				defer mu.Unlock()
				if command.Op == OpPause {
					paused[name] = command.Term
				}
				if promoted == name {
					return Reply{Status: leads(2, 5, 0)}, nil
				}
				status := follows(1, 5, 0)
				status.PausedTerm = paused[name]
				return Reply{Status: status}, nil
			}}
		}
		e.options.Promoter = &promoterOf{func(target string) {
			mu.Lock()
			defer mu.Unlock()
			promoted = target
		}, c.err}
		e.takeOver(g, c.reason)
		e.Close()
		if !slices.Equal(lock.released, []uint64{c.want}) {
			t.Errorf("%s: got the lock released with terms %v, want %d once", name, lock.released, c.want)
		}
		if g.mu.Lock(); name == "done" && (g.primary != promoted || g.provenUntil == 0) {
			t.Errorf("%s: got primary %q with a proof until %s, want %s with a proof", name, g.primary, g.provenUntil, promoted)
		}
		g.mu.Unlock()
	}
}

// TestUnknownTermOfTheRecordIsSettled guards against a group without proofs while a target does not answer and no
// promotion has been finished, and against a term that is stated without a proof of while the lock was held.
func TestUnknownTermOfTheRecordIsSettled(t *testing.T) {
	for name, c := range map[string]struct {
		change func(*group)
		begins bool
		want   uint64
	}{
		"first judge":                         {func(g *group) { g.members["b"].control.dialer = g.members["c"].control.dialer }, true, 1},
		"another daemon":                      {func(g *group) { g.judgeRank = 1 }, false, 0},
		"another daemon, one does not answer": {func(g *group) { g.judgeRank, g.members["b"].gaveNoStatus = 1, true }, true, 1},
		"without a proof":                     {func(g *group) { g.provenUntil = 0 }, false, 0},
		"primary does not answer":             {func(g *group) { g.members["a"].control.dialer = g.members["b"].control.dialer }, true, 0},
		"during a promotion":                  {func(g *group) { g.promoting = true }, true, 0},
	} {
		g := newLockedGroup(&settledLock{err: errHeldElsewhere})
		g.judgeRank, g.proofUsedAt, g.provenUntil = 0, clock.SinceBoot(), clock.SinceBoot()+leadership.ProofValidity/2
		c.change(g)
		if begins := g.beginSettling(); begins != c.begins {
			t.Errorf("%s: got an attempt %t, want %t", name, begins, c.begins)
		}
		settler := &settlingLock{}
		e := newStoppableEngine(&settledLock{})
		e.options.LockSettler = settler
		e.settle(g)
		e.Close()
		if settler.term != c.want && c.begins {
			t.Errorf("%s: got term %d stated, want %d", name, settler.term, c.want)
		}
		if g.beginSettling() && c.begins {
			t.Errorf("%s: got another attempt at once, want none", name)
		}
	}
}

// settlingLock records the term that is proved while it is held.
type settlingLock struct{ term uint64 }

func (l *settlingLock) Settle(_ context.Context, _ string, prove func() (uint64, bool)) error {
	if term, ok := prove(); ok {
		l.term = term
	}
	return nil
}
