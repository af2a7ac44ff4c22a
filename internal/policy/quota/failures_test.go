package quota

import (
	"math"
	"math/rand"
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
