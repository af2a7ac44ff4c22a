package targethealth

import (
	"math/rand/v2"
	"testing"
	"time"
)

var members = []string{"a", "b", "c"}

// load is a group under a steady load of reads, one each step, spread over the targets that are not away in turn.
type load struct {
	group    Group
	budget   Budget
	random   *rand.Rand
	now      time.Duration
	turn     int
	fails    func(target string, now time.Duration) bool
	attempts map[string]int
	served   int
	retries  int
	ejected  []Change
	returned int
}

const step = 5 * time.Millisecond

func newLoad(fails func(l *load, target string) bool) *load {
	l := &load{random: rand.New(rand.NewPCG(1, 2)), attempts: map[string]int{}}
	l.fails = func(target string, _ time.Duration) bool { return fails(l, target) }
	return l
}

func grey(names ...string) *load {
	return newLoad(func(l *load, target string) bool {
		for _, name := range names {
			if name == target {
				return l.random.Float64() < 0.45
			}
		}
		return false
	})
}

// choose returns the target of a read: a trial, the next healthy one, or the next one when none is.
func (l *load) choose(not string) string {
	for _, name := range members {
		if name != not && l.group.TakeTrial(name, l.now) {
			return name
		}
	}
	for range members {
		l.turn++
		name := members[l.turn%len(members)]
		if name != not && l.group.StateOf(name, l.now) == Healthy {
			return name
		}
	}
	return members[l.turn%len(members)]
}

// attempt runs a read at a target and records an answer.
func (l *load) attempt(target string) bool {
	l.attempts[target]++
	if l.fails(target, l.now) {
		return false
	}
	if _, changed := l.group.Served(target, l.now); changed {
		l.returned++
	}
	return true
}

// fail records the failure of a read that another target served.
func (l *load) fail(target string) {
	if change, changed := l.group.Failed(target, members, l.now); changed {
		l.ejected = append(l.ejected, change)
	}
}

// run plays the load for a while, with one more attempt for a read that failed.
func (l *load) run(lasting time.Duration) (reads int) {
	for end := l.now + lasting; l.now < end; l.now += step {
		reads++
		l.budget.Earn()
		first := l.choose("")
		if l.attempt(first) {
			l.served++
			continue
		}
		if l.budget.Spend() {
			l.retries++
			if l.attempt(l.choose(first)) {
				l.served++
			}
		}
		l.fail(first)
	}
	return reads
}

// TestGreyReplica lets one of three targets fail 45 % of its statements for 20 s.
func TestGreyReplica(t *testing.T) {
	l := grey("b")
	reads := l.run(20 * time.Second)
	if share := float64(l.served) / float64(reads); share < 0.99 {
		t.Errorf("got %.3f of the reads served, want at least 0.99", share)
	}
	if share := float64(l.attempts["b"]) / float64(reads); share > 0.05 {
		t.Errorf("got %.3f of the reads at the failing target, want at most 0.05", share)
	}
	if len(l.ejected) < 2 || l.returned != 0 {
		t.Errorf("got %d ejections and %d returns, want some trials and no return", len(l.ejected), l.returned)
	}
	if l.group.StateOf("a", l.now) != Healthy || l.group.StateOf("c", l.now) != Healthy {
		t.Error("a target that serves is ejected")
	}
}

// TestReturnAfterRecovery lets a target fail for 3 s and then serve: it comes back, and gets its part of the reads.
func TestReturnAfterRecovery(t *testing.T) {
	l := newLoad(func(l *load, target string) bool { return target == "b" && l.now < 3*time.Second })
	l.run(20 * time.Second)
	if l.returned != 1 || l.group.StateOf("b", l.now) != Healthy {
		t.Errorf("got %d returns and state %d, want one and a healthy target", l.returned, l.group.StateOf("b", l.now))
	}
	clear(l.attempts)
	if reads := l.run(5 * time.Second); l.attempts["b"] < reads/4 {
		t.Errorf("got %d of %d reads at the target that is back, want a quarter at least", l.attempts["b"], reads)
	}
}

// TestFlappingTarget lets a target go down and up every 1.3 s: it stays out longer each time, up to the bound, and comes
// back once it stays up.
func TestFlappingTarget(t *testing.T) {
	l := newLoad(func(l *load, target string) bool {
		return target == "b" && l.now/(1300*time.Millisecond)%2 == 1 && l.now < time.Minute
	})
	reads := l.run(time.Minute)
	if share := float64(l.served) / float64(reads); share < 0.99 {
		t.Errorf("got %.3f of the reads served, want at least 0.99", share)
	}
	if len(l.ejected) < 2 || len(l.ejected) > 10 {
		t.Errorf("got %d ejections in a minute, want 2 to 10: 46 changes are not followed", len(l.ejected))
	}
	for i, change := range l.ejected {
		if i > 0 && change.For < min(MaxEjection, l.ejected[i-1].For) || change.For > MaxEjection {
			t.Errorf("ejection %d: got %s after %s, want no shorter time, at most %s", i, change.For, l.ejected[max(0, i-1)].For, MaxEjection)
		}
	}
	l.run(MaxEjection + 5*time.Second)
	if l.group.StateOf("b", l.now) != Healthy {
		t.Error("the target is still out after it has been up for longer than the longest ejection")
	}
}

// TestAllGrey lets all targets fail alike: none is ejected, and the extra attempts stay within the budget.
func TestAllGrey(t *testing.T) {
	l := grey(members...)
	reads := l.run(20 * time.Second)
	if len(l.ejected) != 0 {
		t.Errorf("got %d ejections, want none", len(l.ejected))
	}
	if most := float64(reads)*retriesPerRead + maxSaved; float64(l.retries) > most {
		t.Errorf("got %d extra attempts for %d reads, want at most %.0f", l.retries, reads, most)
	}
	if least := float64(reads) * retriesPerRead * 0.9; float64(l.retries) < least {
		t.Errorf("got %d extra attempts for %d reads, want at least %.0f", l.retries, reads, least)
	}
}

// TestTwoFail lets two of three targets fail entirely: one is ejected, never more than half of the group.
func TestTwoFail(t *testing.T) {
	l := newLoad(func(_ *load, target string) bool { return target != "a" })
	for range 20 {
		l.run(time.Second)
		if away := l.group.away(members, l.now); away > 1 {
			t.Fatalf("got %d of 3 targets out, want at most one", away)
		}
	}
}

// TestFewSamples lets a target fail its first statements: fewer than minSamples eject nothing, but make it suspect.
func TestFewSamples(t *testing.T) {
	g := Group{}
	for range minSamples - 1 {
		if _, changed := g.Failed("a", members, 0); changed {
			t.Fatal("ejected by less than the least number of outcomes")
		}
	}
	if !g.IsSuspect("a", 0) || g.IsSuspect("b", 0) {
		t.Error("got a target that failed all its statements not suspect, or another one suspect")
	}
	if _, changed := g.Failed("a", members, 0); !changed {
		t.Error("not ejected by the least number of outcomes")
	}
	if _, changed := (&Group{}).Failed("a", []string{"a"}, 0); changed {
		t.Error("the only target is ejected")
	}
}
