package model

import (
	"flag"
	"math/rand/v2"
	"os"
	"strconv"
	"testing"
	"time"

	"github.com/papayacove/papayacove/internal/policy/confirm"
	"github.com/papayacove/papayacove/internal/policy/promotion"
	"pgregory.net/rapid"
)

const (
	// runSteps is the number of steps of one run.
	runSteps = 1000
	// defaultCleanRuns is the number of runs in which the complete rule must show no violation.
	defaultCleanRuns = 2000
	// cleanRunsVariable names the environment variable that sets another number, for long runs.
	cleanRunsVariable = "MODEL_RUNS"
	// slipRuns is the number of runs in which an incomplete rule must show one.
	slipRuns = 20000
	// rapidSeed and rapidChecks fix the runs that rapid makes and shrinks.
	rapidSeed   = "20261203"
	rapidChecks = "300"
)

func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": rapidSeed, "rapid.checks": rapidChecks, "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// seeded makes choices from a fixed seed.
type seeded struct{ *rand.Rand }

func newSeeded(seed uint64) seeded { return seeded{rand.New(rand.NewPCG(seed, 1))} }

func (s seeded) intn(n int) int { return s.IntN(n) }

// drawn lets rapid make the choices, so that it can shrink a run with a violation.
type drawn struct{ t *rapid.T }

func (d drawn) intn(n int) int { return rapid.IntRange(0, n-1).Draw(d.t, "choice") }

func (s *stats) add(o stats) {
	s.steps += o.steps
	s.writes += o.writes
	s.acked += o.acked
	s.fenceOnly += o.fenceOnly
	s.refused += o.refused
	s.floors += o.floors
	s.bounds += o.bounds
	s.promoted += o.promoted
	s.finished += o.finished
	s.abandoned += o.abandoned
}

func (s *stats) isThorough() bool {
	return s.acked > 0 && s.fenceOnly > 0 && s.refused > 0 && s.floors > 0 && s.bounds > 0 &&
		s.promoted > 0 && s.finished > 0 && s.abandoned > 0
}

func cleanRuns(t *testing.T) uint64 {
	value := os.Getenv(cleanRunsVariable)
	if value == "" {
		return defaultCleanRuns
	}
	runs, err := strconv.ParseUint(value, 10, 64)
	if err != nil {
		t.Fatalf("%s: %v", cleanRunsVariable, err)
	}
	return runs
}

func TestCompleteRuleShowsNoViolation(t *testing.T) {
	t.Parallel()
	runs := cleanRuns(t)
	for _, members := range []int{3, 5} {
		var total stats
		for seed := range runs {
			w := run(members, runSteps, confirm.DefaultRule, newSeeded(seed))
			total.add(w.stats)
			if w.violation != nil {
				t.Fatalf("members=%d seed=%d: %v", members, seed, w.violation)
			}
		}
		t.Logf("members=%d runs=%d %+v", members, runs, total)
		if !total.isThorough() {
			t.Errorf("members=%d: the runs leave something out: %+v", members, total)
		}
	}
}

func TestCompleteRuleUnderRapid(t *testing.T) {
	t.Parallel()
	for _, members := range []int{3, 5} {
		rapid.Check(t, func(t *rapid.T) {
			if w := run(members, runSteps, confirm.DefaultRule, drawn{t}); w.violation != nil {
				t.Fatal(w.violation)
			}
		})
	}
}

func TestIncompleteRulesAreCaught(t *testing.T) {
	withoutLogTerm := confirm.Rule{CheckPrimary: true}
	withoutPrimary := confirm.Rule{CheckLogTerm: true}
	cases := []struct {
		name    string
		rule    confirm.Rule
		members int
		settle  time.Duration
	}{
		{"log term left out", withoutLogTerm, 3, confirm.Validity},
		{"log term left out, five targets", withoutLogTerm, 5, confirm.Validity},
		{"look at the primary left out", withoutPrimary, 3, confirm.Validity},
		{"look at the primary left out, five targets", withoutPrimary, 5, confirm.Validity},
		{"wait before the promotion left out", confirm.DefaultRule, 3, time.Nanosecond},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			w, seed := firstViolation(c.members, c.rule, c.settle)
			if w == nil {
				t.Fatalf("no violation in %d runs", slipRuns)
			}
			t.Logf("seed=%d %v", seed, w.violation)
			if w.exposed != nil {
				checkLoss(t, w)
			}
		})
	}
}

func firstViolation(members int, rule confirm.Rule, settle time.Duration) (*world, uint64) {
	for seed := range uint64(slipRuns) {
		w := newWorld(members, rule)
		w.settle = settle
		if w.run(runSteps, newSeeded(seed)); w.violation != nil {
			return w, seed
		}
	}
	return nil, 0
}

// checkLoss crashes the targets that hold an acknowledged write, too few as they are, and expects
// that the promotion of another one loses it.
func checkLoss(t *testing.T, w *world) {
	t.Helper()
	w.calm()
	for _, target := range w.targets {
		target.down = target.holds(*w.exposed)
	}
	w.violation = nil
	w.promoters[0].begin()
	for range runSteps {
		w.now = w.now.Add(recoveryStep)
		w.passAll()
		w.promoters[0].handle(promotion.Tick{})
		if w.violation != nil {
			t.Logf("after a crash: %v", w.violation)
			return
		}
	}
	t.Error("no promotion loses the write")
}
