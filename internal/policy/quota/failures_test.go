package quota

import (
	"math"
	"math/rand"
	"slices"
	"testing"
	"time"

	"github.com/papayacove/papayacove/api"
	"github.com/papayacove/papayacove/internal/policy/callers"
	"github.com/papayacove/papayacove/internal/policy/placement"
)

// TestBucketsKeepTheBound checks the arithmetic of the bucket over all limits and windows: what is granted in a window,
// and what waited before it, is within the bound.
func TestBucketsKeepTheBound(t *testing.T) {
	for _, w := range []Window{{5 * time.Second, 0.1, 20}, {time.Second, 0, 0}, {time.Minute, 0, 0}, {5 * time.Second, 0, 20}, {5 * time.Second, 0.5, 0}} {
		for _, l := range []callers.Limit{{RatePerS: 1, Burst: 1}, {RatePerS: 8, Burst: 0}, {RatePerS: 30, Burst: 5}, {RatePerS: 214, Burst: 214}, {RatePerS: 0.1, Burst: 0}, {RatePerS: 1e6, Burst: 1e6}} {
			b := w.BucketFor(l)
			if got := b.Depth + b.Rate*(w.Length+maxWaitToSend).Seconds(); got > w.Bound(l)+1e-6 || b.Rate <= 0 && w.Bound(l) > minDepth || b.Depth <= 0 {
				t.Errorf("window %+v, limit %+v: got %+v with %g operations, want at most %g", w, l, b, got, w.Bound(l))
			}
		}
	}
}

// lendAll lends the whole of the rights to a coordinator as other daemons would.
func lendAll(c *Coordinator, weight float64, now time.Duration) {
	first := c.Handle(&api.QuotaRequest{Daemon: "lender", Incarnation: 7, Sequence: uint64(now) + 1}, now)
	r := &api.QuotaRequest{Daemon: "lender", Incarnation: 7, Sequence: uint64(now) + 2}
	for i := range Lanes {
		r.Delegations = append(r.Delegations, api.QuotaDelegation{Partition: i, Weight: weight, EchoIncarnation: first.Incarnation, EchoStampUs: first.StampUs})
	}
	c.Handle(r, now)
}

// TestMalformedRequestsMintNothing sends a coordinator weights, stamps and amounts that no daemon states: it neither
// fails nor grants more than the bucket holds.
func TestMalformedRequestsMintNothing(t *testing.T) {
	bad := []float64{math.NaN(), math.Inf(1), math.Inf(-1), -1, -math.MaxFloat64, 10, math.MaxFloat64}
	const start = time.Hour
	c := NewCoordinator(5)
	c.SetBuckets(map[string]Bucket{"w": {Rate: 10, Depth: 20}}, start)
	sequence := uint64(0)
	granted := 0.0
	for second := range 20 {
		now := start + time.Duration(second)*time.Second
		for _, x := range bad {
			for _, stamp := range []int64{0, -1, math.MaxInt64, math.MinInt64, now.Microseconds(), now.Microseconds() + 1e9} {
				sequence++
				reply := c.Handle(&api.QuotaRequest{
					Daemon: "hostile", Incarnation: 1, Sequence: sequence,
					Delegations: []api.QuotaDelegation{{Partition: -1, Weight: x}, {Partition: 1 << 30, Weight: x}, {Partition: 0, Weight: x, EchoIncarnation: 5, EchoStampUs: stamp}},
					Wants:       []api.QuotaWant{{Workspace: "w", Tokens: x, Waiting: x, Held: x, Returned: x}, {Workspace: "unknown", Tokens: x, Returned: x}, {Workspace: "w", Tokens: 5, Returned: x}},
				}, now)
				for _, g := range reply.Grants {
					if g.Workspace == "unknown" {
						t.Fatal("got a grant for a workspace without a limit")
					}
					granted += g.Tokens
				}
			}
		}
	}
	if granted != 0 || c.LentWeight(start+20*time.Second) != 0 {
		t.Fatalf("got %g tokens and weight %g from malformed requests, want none", granted, c.LentWeight(start))
	}
	for second := 20; second < 23; second++ {
		lendAll(c, 1.0/Lanes, start+time.Duration(second)*time.Second)
	}
	reply := c.Handle(&api.QuotaRequest{Daemon: "hostile", Incarnation: 1, Sequence: sequence + 1, Wants: []api.QuotaWant{{Workspace: "w", Tokens: math.MaxFloat64, Waiting: math.MaxFloat64, Returned: math.MaxFloat64}}}, start+22*time.Second)
	if got := reply.Grants[0].Tokens; got < 1 || got > 20 {
		t.Fatalf("got %g tokens for an endless want, want 1 to the depth of 20", got)
	}
}

// TestMalformedRepliesMintNothing answers a daemon with amounts that no coordinator grants.
func TestMalformedRepliesMintNothing(t *testing.T) {
	for _, x := range []float64{math.NaN(), math.Inf(1), -1, math.MaxFloat64} {
		p := NewPurse("a", 1, 0)
		p.SetBuckets(map[string]Bucket{"w": {Rate: 10, Depth: 20}}, 0)
		p.SetFleet(0.5, 2, 0, [Lanes][]string{{"b"}, {"b"}, {"b"}}, 0)
		if d := p.Spend("w", true, 0); d.Verdict != Ask {
			t.Fatalf("got %+v, want a request", d)
		}
		p.Wait("w", 1)
		r := p.Request("b", 0)
		p.HandleReply("b", r, &api.QuotaReply{StampUs: math.MinInt64, Grants: []api.QuotaGrant{
			{Workspace: "w", Tokens: x, RetryAfterUs: math.MinInt64}, {Workspace: "w", Tokens: 1e9}, {Workspace: "other", Tokens: 1e9},
		}}, 0, 0)
		p.Wait("w", -1)
		most := r.Wants[0].Tokens
		for i := 0; ; i++ {
			if p.Spend("w", true, 0).Verdict != Spent {
				break
			}
			if float64(i) >= most {
				t.Fatalf("tokens of %g: got more than the %g that were asked for", x, most)
			}
		}
	}
}

// TestDoubledAndOldRequestsCountOnce delivers a request that gives back tokens twice, and one of before later: what was
// given back is granted once.
func TestDoubledAndOldRequestsCountOnce(t *testing.T) {
	c := NewCoordinator(5)
	c.SetBuckets(map[string]Bucket{"w": {Rate: 0.001, Depth: 40}}, 0)
	lendAll(c, 1.0/Lanes, 0)
	c.rights.stocks["w"].tokens = 8
	want := func(sequence uint64, tokens, held, returned float64) float64 {
		reply := c.Handle(&api.QuotaRequest{Daemon: "a", Incarnation: 1, Sequence: sequence, Wants: []api.QuotaWant{{Workspace: "w", Tokens: tokens, Waiting: tokens, Held: held, Returned: returned}}}, time.Millisecond)
		if len(reply.Grants) == 0 {
			return 0
		}
		return reply.Grants[0].Tokens
	}
	total := 0.0
	for sequence := range uint64(20) {
		total += want(sequence+1, 40, total, 0)
	}
	if total != 8 {
		t.Fatalf("got %g tokens, want the 8 of the stock", total)
	}
	want(21, 0, 4, 2)
	for _, sequence := range []uint64{21, 20, 5, 21} {
		want(sequence, 0, 0, 4)
	}
	if got := math.Floor(c.rights.stocks["w"].tokens); got != 2 {
		t.Fatalf("got a stock of %g, want the 2 that were given back once", got)
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

// TestCoordinatorGrantsOnlyWhatStaysLent checks that rights stop to count at the coordinator so long before the daemon
// takes them back that tokens granted last have expired.
func TestCoordinatorGrantsOnlyWhatStaysLent(t *testing.T) {
	c := NewCoordinator(5)
	c.SetBuckets(map[string]Bucket{"w": {Rate: 10, Depth: 20}}, 0)
	lendAll(c, 1.0/Lanes, 0)
	for now := time.Duration(0); now <= LendFor; now += 50 * time.Millisecond {
		if weight := c.LentWeight(now); weight > 0 && now+TokensValidFor > LendFor {
			t.Fatalf("at %s: got weight %g, want none in the last %s of the loan", now, weight, TokensValidFor)
		}
	}
}

// TestJoiningDaemonOwnsNothing checks the weight of daemons that join, restart, are cut off for long and leave.
func TestJoiningDaemonOwnsNothing(t *testing.T) {
	list := func(n int) []placement.Member { return members(&load{zones: 3, daemons: n}) }
	f := NewFleet("d000")
	f.Observe(list(10), time.Second)
	cases := []struct {
		name         string
		registration Registration
		now          time.Duration
		want         float64
	}{
		{"joins", Registration{WrittenAt: time.Second}, time.Second, 0},
		{"restarts", Registration{IsListed: true, WrittenAt: time.Second}, time.Second, 0.1},
		{"not written for long", Registration{IsListed: true, WrittenAt: time.Second}, time.Second + surrenderAfter + 1, 0},
	}
	for _, c := range cases {
		if got := f.Weight(c.registration, c.now); got != c.want {
			t.Errorf("%s: got weight %g, want %g", c.name, got, c.want)
		}
	}
	present := Registration{IsListed: true, WrittenAt: time.Minute}
	f.Observe(list(5), time.Minute)
	if got := f.Weight(present, time.Minute); got != 0.1 {
		t.Errorf("after half of the daemons are missing: got weight %g, want 0.1 while they may still spend", got)
	}
	f.Observe(list(5), keepDaemonFor+2*time.Second)
	if got := f.Weight(Registration{IsListed: true, WrittenAt: keepDaemonFor}, keepDaemonFor+2*time.Second); got != 0.2 {
		t.Errorf("after they are gone for good: got weight %g, want 0.2", got)
	}
}

// TestLoweredLimitBindsAtOnce lowers the limit of a workspace whose bucket is full: the next grants are those of the lower
// one.
func TestLoweredLimitBindsAtOnce(t *testing.T) {
	random := rand.New(rand.NewSource(1))
	w := newWorld(3, 5, func(_, _ *player) []time.Duration { return []time.Duration{time.Millisecond} }, random)
	high, low := map[string]Bucket{"w": {Rate: 100, Depth: 100}}, map[string]Bucket{"w": {Rate: 10, Depth: 10}}
	for _, p := range w.daemons {
		f := NewFleet(p.name)
		f.Observe(members(&load{zones: 3, daemons: 5}), 0)
		w.setBuckets(p, high)
		p.purse.SetFleet(0.2, 5, f.Home(), f.Orders(), p.clock(w))
	}
	var spent []time.Duration
	for w.now < 20*time.Second {
		w.step(10 * time.Millisecond)
		if w.now == 10*time.Second {
			for _, p := range w.daemons {
				w.setBuckets(p, low)
			}
		}
		for _, p := range w.daemons {
			if w.now > 6*time.Second {
				w.spend(p, waitingOperation{workspace: "w", until: w.now + CallTimeout, done: func(ok bool) {
					if ok && w.now > 10*time.Second+TokensValidFor {
						spent = append(spent, w.now)
					}
				}})
			}
		}
	}
	checkWindows(t, "w", spent, low["w"])
	if len(spent) < 70 {
		t.Errorf("got %d operations in the last 9 s, want most of 10 a second", len(spent))
	}
}

// TestCandidatesBelongToTheirLane checks that the candidates of a lane are daemons of its zones, as many as may coordinate,
// that daemons are spread over the lanes where there are fewer zones, and that a single daemon coordinates nothing.
func TestCandidatesBelongToTheirLane(t *testing.T) {
	for _, c := range []struct{ zones, daemons, lanesOfAZone int }{{3, 30, 1}, {8, 80, 1}, {4, 26, 1}, {1, 12, Lanes}, {2, 12, Lanes}} {
		f := NewFleet(daemonName(0))
		f.Observe(members(&load{zones: c.zones, daemons: c.daemons}), 0)
		lanesOf := map[string]map[int]bool{}
		for lane, order := range f.Orders() {
			if len(order) != candidates {
				t.Errorf("%d zones, lane %d: got candidates %v, want %d", c.zones, lane, order, candidates)
			}
			for _, name := range order {
				if f.lanes[name] != lane {
					t.Errorf("%d zones: got candidate %s of lane %d in lane %d", c.zones, name, f.lanes[name], lane)
				}
			}
		}
		for name, lane := range f.lanes {
			if lanesOf[f.zones[name]] == nil {
				lanesOf[f.zones[name]] = map[int]bool{}
			}
			lanesOf[f.zones[name]][lane] = true
		}
		for zone, lanes := range lanesOf {
			if len(lanes) != c.lanesOfAZone {
				t.Errorf("%d zones: got the daemons of zone %s in %d lanes, want %d", c.zones, zone, len(lanes), c.lanesOfAZone)
			}
		}
	}
	f := NewFleet(daemonName(0))
	f.Observe(members(&load{zones: 3, daemons: 1}), 0)
	if orders := f.Orders(); len(orders[0]) != 0 {
		t.Errorf("got coordinators %v of a single daemon, want none", orders)
	}
}

// TestLanesStayWhileAZoneIsNotListed checks that the other zones keep their lanes while the entries of one have lapsed: a
// daemon that changes its lane has no rights until its loans end.
func TestLanesStayWhileAZoneIsNotListed(t *testing.T) {
	f := NewFleet(daemonName(1))
	all := members(&load{zones: 3, daemons: 9})
	f.Observe(all, 0)
	home := f.Home()
	f.Observe(slices.DeleteFunc(slices.Clone(all), func(m placement.Member) bool { return m.Zone == zoneName(0, 3) }), time.Minute)
	if got := f.Home(); got != home {
		t.Errorf("got lane %d without zone %s, want %d as before", got, zoneName(0, 3), home)
	}
}

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

// TestVersionsShareTheirFirstCoordinators checks that with three zones the first coordinators of both rules are the same daemons.
func TestVersionsShareTheirFirstCoordinators(t *testing.T) {
	f := NewFleet(daemonName(0))
	f.Observe(members(&load{zones: 3, daemons: 37}), 0)
	earlier := f.EarlierCandidates()
	for lane, order := range f.Orders() {
		if !slices.Contains([]string{earlier[0], earlier[candidates], earlier[2*candidates]}, order[0]) {
			t.Errorf("lane %d: got first coordinator %s, want one of the version before: %v", lane, order[0], earlier)
		}
	}
}

// TestCoordinatorThatFailedIsAskedAgain lets a request to a coordinator of another lane fail: after the time for which it is
// avoided it is asked as before, and is not taken for overdue because of the request that failed.
func TestCoordinatorThatFailedIsAskedAgain(t *testing.T) {
	p := NewPurse("a", 1, 0)
	p.SetBuckets(map[string]Bucket{"w": {Rate: 10, Depth: 20}}, 0)
	p.SetFleet(0.1, 10, 0, [Lanes][]string{{}, {"failed"}, {"other"}}, 0)
	p.Request("failed", time.Second)
	p.HandleFailure("failed", time.Second+CallTimeout)
	later := time.Second + CallTimeout + minAvoidance
	if d := p.Spend("w", true, later); d.Verdict != Ask || d.Coordinator != "failed" {
		t.Fatalf("got %+v, want the coordinator asked whose request failed before", d)
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

// TestOverdueCoordinatorIsPassedOver lets the coordinator of the daemon's zone fall silent: operations ask another one long
// before the request to the silent one fails. Those of a zone waited 150 ms for each of two silent coordinators
// otherwise, which is longer than their objective.
func TestOverdueCoordinatorIsPassedOver(t *testing.T) {
	p := NewPurse("a", 1, 0)
	p.SetBuckets(map[string]Bucket{"w": {Rate: 10, Depth: 20}}, 0)
	p.SetFleet(0.1, 10, 0, [Lanes][]string{{"silent"}, {"other"}}, 0)
	silent := NewCoordinator(5)
	answered := p.Request("silent", 0)
	p.HandleReply("silent", answered, silent.Handle(answered, 0), 0, 2*time.Millisecond)
	asked := 10 * time.Millisecond
	if d := p.Spend("w", true, asked); d.Verdict != Ask || d.Coordinator != "silent" || asked+d.RetryAfter > asked+minOverdue {
		t.Fatalf("got %+v, want the coordinator of the zone asked, and another decision within %s", d, minOverdue)
	}
	p.Request("silent", asked)
	if d := p.Spend("w", false, asked+minOverdue); d.Verdict != Ask || d.Coordinator != "other" {
		t.Fatalf("got %+v after %s without an answer, want the other coordinator asked", d, minOverdue)
	}
	p.Request("other", asked+minOverdue)
	if d := p.Spend("w", false, asked+2*minOverdue); d.Verdict != Ask || d.Coordinator != "silent" {
		t.Fatalf("got %+v while both are overdue, want an operation that waits for the first", d)
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

// TestLanesLendAtMostAll lends more than the whole of the rights, as daemons whose lists differ may: a coordinator counts
// no more than the whole.
func TestLanesLendAtMostAll(t *testing.T) {
	c := NewCoordinator(5)
	c.SetBuckets(map[string]Bucket{"w": {Rate: 10, Depth: 1000}}, 0)
	for _, daemon := range []string{"a", "b", "c"} {
		first := c.Handle(&api.QuotaRequest{Daemon: daemon, Incarnation: 1, Sequence: 1}, 0)
		r := &api.QuotaRequest{Daemon: daemon, Incarnation: 1, Sequence: 2}
		for i := range Lanes {
			r.Delegations = append(r.Delegations, api.QuotaDelegation{Partition: i, Weight: 1.0 / Lanes, EchoIncarnation: 5, EchoStampUs: first.StampUs})
		}
		c.Handle(r, 0)
	}
	if got := c.LentWeight(time.Second); got > 1+1e-9 {
		t.Errorf("got weight %g, want at most 1", got)
	}
	if got := c.rights.stockOf("w", time.Second).tokens; got > 10+1e-6 {
		t.Errorf("got %g tokens after 1 s, want at most the rate of 10", got)
	}
}

// TestTheCoordinatorInTheZoneIsAskedFirst checks that a daemon asks the coordinator in its own zone first.
func TestTheCoordinatorInTheZoneIsAskedFirst(t *testing.T) {
	for i := range 9 {
		f := NewFleet(daemonName(i))
		f.Observe(members(&load{zones: 3, daemons: 9}), 0)
		p := NewPurse(daemonName(i), 1, 0)
		p.SetBuckets(map[string]Bucket{"w": {Rate: 10, Depth: 20}}, 0)
		p.SetFleet(1.0/9, 9, f.Home(), f.Orders(), 0)
		if d := p.Spend("w", true, 0); f.zones[d.Coordinator] != zoneName(i, 3) {
			t.Errorf("daemon of zone %s: got coordinator %s of zone %s, want one of its own", zoneName(i, 3), d.Coordinator, f.zones[d.Coordinator])
		}
	}
}
