package quota

import (
	"testing"
	"time"

	"github.com/papayacove/papayacove/api"
)

// lentTo plays a purse with its candidates "first" and "second" until its rights are lent to the second, or for ten
// seconds. at is called each 10 ms.
func lentTo(p *Purse, first, second *Coordinator, at func(now time.Duration)) time.Duration {
	for now := time.Millisecond; now < 10*time.Second; now += 10 * time.Millisecond {
		at(now)
		for _, name := range p.Due(now) {
			c := map[string]*Coordinator{"first": first, "second": second}[name]
			r := p.Request(name, now)
			p.HandleReply(name, r, c.Handle(r, now), now, now)
		}
		if second.LentWeight(now) > 0 {
			return now
		}
	}
	return 0
}

// TestLeavingCoordinatorEndsItsLoans stops the coordinator that the rights are lent to as planned: they are lent to the next
// one as soon as what it granted has expired, and not only when the loan ends. In a rolling restart a third of all rights
// would be missing otherwise for three seconds at each coordinator.
func TestLeavingCoordinatorEndsItsLoans(t *testing.T) {
	p := NewPurse("a", 2, time.Millisecond)
	p.SetEarlierRules(LendingRules, nil)
	p.SetBuckets(map[string]Bucket{"w": {Rate: 10, Depth: 20}}, time.Millisecond)
	p.SetFleet(0.1, 10, 0, [Lanes][]string{{"first", "second"}}, time.Millisecond)
	first, second := NewCoordinator(8), NewCoordinator(9)
	const leaveAt = 2 * time.Second
	left := false
	lentAt := lentTo(p, first, second, func(now time.Duration) {
		if left = now >= leaveAt; left {
			first.End(now)
		}
	})
	if earliest, latest := leaveAt+TokensValidFor, leaveAt+TokensValidFor+2*shortRenewal; lentAt < earliest || lentAt > latest {
		t.Errorf("got the rights lent to the next coordinator at %s, want between %s and %s", lentAt, earliest, latest)
	}
}

// TestEarlierRulesAreWaitedFor starts a daemon after a version that may have lent its rights to other daemons than the
// candidates: although these have answered, it owns nothing before the longest loan has ended.
func TestEarlierRulesAreWaitedFor(t *testing.T) {
	for rules, want := range map[int]time.Duration{LendingRules: 0, LendingRules + 1: LendFor} {
		p := NewPurse("a", 2, 0)
		p.SetEarlierRules(rules, nil)
		p.SetBuckets(map[string]Bucket{"w": {Rate: 10, Depth: 20}}, 0)
		p.SetFleet(0.1, 10, 0, [Lanes][]string{{"second"}}, 0)
		lentAt := lentTo(p, nil, NewCoordinator(9), func(time.Duration) {})
		if lentAt < want || lentAt > want+shortRenewal+startRetry {
			t.Errorf("rules %d: got the rights lent at %s, want from %s on", rules, lentAt, want)
		}
	}
}

// TestCandidatesOfTheVersionBeforeAreAsked starts a daemon whose earlier start, of the version before, lent a part of its rights
// to a candidate of the rules then: it owns them when that one has answered and what it granted has expired. A daemon each
// half a second is replaced in an upgrade, and each would be without rights for three seconds otherwise.
func TestCandidatesOfTheVersionBeforeAreAsked(t *testing.T) {
	first, second := NewCoordinator(8), NewCoordinator(9)
	lend := first.Handle(&api.QuotaRequest{Daemon: "a", Incarnation: 1, Sequence: 1}, 0)
	first.Handle(&api.QuotaRequest{Daemon: "a", Incarnation: 1, Sequence: 2, Delegations: []api.QuotaDelegation{{Weight: 0.1 / Lanes, EchoIncarnation: 8, EchoStampUs: lend.StampUs}}}, 0)
	p := NewPurse("a", 2, 0)
	p.SetEarlierRules(LendingRules-1, []string{"first", "second"})
	p.SetBuckets(map[string]Bucket{"w": {Rate: 10, Depth: 20}}, 0)
	p.SetFleet(0.1, 10, 0, [Lanes][]string{{"second"}}, 0)
	lentAt := lentTo(p, first, second, func(time.Duration) {})
	if lentAt < TokensValidFor || lentAt > TokensValidFor+shortRenewal || first.LentWeight(lentAt) != 0 {
		t.Errorf("got the rights lent at %s, and %g still counted by the earlier candidate, want from %s on and 0", lentAt, first.LentWeight(lentAt), TokensValidFor)
	}
}

// TestOwnTokensEndTheUnusedTime spends a token of rights that a restarted daemon has not lent yet: what they would have filled
// before is not lent on, as it and the token may be more than the depth.
func TestOwnTokensEndTheUnusedTime(t *testing.T) {
	for _, spends := range []bool{false, true} {
		p := NewPurse("a", 2, time.Second)
		p.SetEarlierRules(LendingRules, nil)
		p.SetBuckets(map[string]Bucket{"w": {Rate: 1000, Depth: 2000}}, time.Second)
		p.SetFleet(0.1, 10, 0, [Lanes][]string{{"b"}}, time.Second)
		now := time.Second + 200*time.Millisecond
		r := p.Request("b", now)
		p.HandleReply("b", r, &api.QuotaReply{Incarnation: 5, StampUs: 1, UpUs: time.Minute.Microseconds()}, now, now)
		if own := p.OwnWeight(now); own != 0.1 {
			t.Fatalf("got own weight %g after all candidates have answered, want 0.1", own)
		}
		if spends && p.Spend("w", true, now+100*time.Millisecond).Verdict != Spent {
			t.Fatal("got no token of the daemon's own rights")
		}
		lent := p.Request("b", now+100*time.Millisecond).Delegations
		if len(lent) != 1 || (lent[0].UnusedUs > 0) == spends {
			t.Errorf("own token spent %t: got %+v lent, want one loan, with unused time only if none was spent", spends, lent)
		}
	}
}

// TestRestartedDaemonDoesNotLendTwice restarts a daemon whose rights are lent to the second candidate, because the first
// did not answer: it does not lend them to the first before the second has answered and what it granted has expired, and
// without an answer not before the loan has ended.
func TestRestartedDaemonDoesNotLendTwice(t *testing.T) {
	for _, answers := range []bool{true, false} {
		second := NewCoordinator(9)
		lend := second.Handle(&api.QuotaRequest{Daemon: "a", Incarnation: 1, Sequence: 1}, 0)
		second.Handle(&api.QuotaRequest{Daemon: "a", Incarnation: 1, Sequence: 2, Delegations: []api.QuotaDelegation{{Weight: 0.1, EchoIncarnation: 9, EchoStampUs: lend.StampUs}}}, 0)
		p := NewPurse("a", 2, time.Millisecond)
		p.SetEarlierRules(LendingRules, nil)
		p.SetBuckets(map[string]Bucket{"w": {Rate: 10, Depth: 20}}, time.Millisecond)
		p.SetFleet(0.1, 10, 0, [Lanes][]string{{"first", "second"}}, time.Millisecond)
		first := NewCoordinator(8)
		lentAt := time.Duration(0)
		for now := time.Millisecond; lentAt == 0 && now < time.Minute; now += 10 * time.Millisecond {
			for _, name := range p.Due(now) {
				r := p.Request(name, now)
				if len(r.Delegations) > 0 {
					lentAt = now
				}
				switch {
				case name == "first":
					p.HandleReply(name, r, first.Handle(r, now), now, now)
				case answers:
					p.HandleReply(name, r, second.Handle(r, now), now, now)
				default:
					p.HandleFailure(name, now)
				}
			}
		}
		earliest, latest := TokensValidFor, TokensValidFor+time.Second
		if !answers {
			earliest, latest = LendFor, LendFor+time.Second
		}
		if lentAt < earliest || lentAt > latest {
			t.Errorf("second candidate answers %t: got the rights lent at %s, want from %s to %s", answers, lentAt, earliest, latest)
		}
		if answers && second.LentWeight(lentAt) != 0 {
			t.Errorf("got weight %g lent to the second candidate still, want none", second.LentWeight(lentAt))
		}
	}
}

// TestLoansToARestartedCoordinator answers with another incarnation of the coordinator that the rights are lent to: they are
// lent to it when what the earlier one granted has expired, and after the whole loan if its address changed as well.
func TestLoansToARestartedCoordinator(t *testing.T) {
	for _, moved := range []bool{false, true} {
		p := NewPurse("a", 1, 0)
		p.SetBuckets(map[string]Bucket{"w": {Rate: 10, Depth: 20}}, 0)
		p.SetFleet(0.1, 10, 0, [Lanes][]string{{"b"}}, 0)
		const restartAt = 5 * time.Second
		c, lentAt := NewCoordinator(5), time.Duration(0)
		for now := time.Duration(0); lentAt == 0 && now < time.Minute; now += 10 * time.Millisecond {
			if now == restartAt {
				c = NewCoordinator(6)
				if moved {
					p.RecordMove("b", now)
				}
			}
			for _, name := range p.Due(now) {
				r := p.Request(name, now)
				if now >= restartAt && len(r.Delegations) > 0 && r.Delegations[0].EchoIncarnation == 6 {
					lentAt = now
				}
				p.HandleReply(name, r, c.Handle(r, now), now, now)
			}
		}
		earliest := restartAt + TokensValidFor
		if moved {
			earliest = restartAt + LendFor - shortRenewal
		}
		if lentAt < earliest || lentAt > earliest+2*time.Second {
			t.Errorf("moved %t: got the rights lent at %s, want within 2 s from %s", moved, lentAt, earliest)
		}
	}
}

// TestLateRequestOfAnEarlierStartLendsNothing delivers a request of an earlier start of a daemon after the first one of the
// next start, which owns its rights itself as soon as all coordinators have answered.
func TestLateRequestOfAnEarlierStartLendsNothing(t *testing.T) {
	const start = time.Hour
	c := NewCoordinator(5)
	c.SetBuckets(map[string]Bucket{"w": {Rate: 10, Depth: 20}}, start)
	lend := func(incarnation, sequence uint64, stampUs int64, now time.Duration) float64 {
		c.Handle(&api.QuotaRequest{Daemon: "d", Incarnation: incarnation, Sequence: sequence, Delegations: []api.QuotaDelegation{
			{Partition: 0, Weight: 0.25, EchoIncarnation: 5, EchoStampUs: stampUs},
		}}, now)
		return c.LentWeight(now + time.Millisecond*20)
	}
	earlier := c.Handle(&api.QuotaRequest{Daemon: "d", Incarnation: 7, Sequence: 1}, start)
	next := c.Handle(&api.QuotaRequest{Daemon: "d", Incarnation: 8, Sequence: 1}, start+time.Second)
	if got := lend(7, 2, earlier.StampUs, start+1100*time.Millisecond); got != 0 {
		t.Errorf("late request of the earlier start: got a lent weight of %g, want 0", got)
	}
	if got := lend(8, 2, next.StampUs, start+1200*time.Millisecond); got != 0.25 {
		t.Errorf("request of the next start: got a lent weight of %g, want 0.25", got)
	}
}
