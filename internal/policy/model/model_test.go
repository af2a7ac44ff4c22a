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
	// runSteps is the number of steps in a run.
	runSteps = 1000
	// defaultCleanRuns is the number of runs in which the complete rule must show no violation, for each group size.
	defaultCleanRuns = 2000
	// cleanRunsVariable names the environment variable that overrides defaultCleanRuns, for long runs.
	cleanRunsVariable = "MODEL_RUNS"
	// maxRunsToViolation is the number of runs within which an incomplete rule must show a violation.
	maxRunsToViolation = 20000
	// rapidSeed and rapidChecks make the runs of rapid reproducible.
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

// seededChooser makes choices from a fixed seed.
type seededChooser struct{ *rand.Rand }

func newSeededChooser(seed uint64) seededChooser {
	return seededChooser{rand.New(rand.NewPCG(seed, 1))}
}

func (s seededChooser) intn(n int) int { return s.IntN(n) }

// rapidChooser lets rapid make the choices, so that it can shrink a run with a violation.
type rapidChooser struct{ t *rapid.T }

func (c rapidChooser) intn(n int) int { return rapid.IntRange(0, n-1).Draw(c.t, "choice") }

func (s *stats) add(o stats) {
	s.steps += o.steps
	s.writes += o.writes
	s.acked += o.acked
	s.fenceOnly += o.fenceOnly
	s.refused += o.refused
	s.minPositions += o.minPositions
	s.ageBounds += o.ageBounds
	s.promoted += o.promoted
	s.finished += o.finished
	s.abandoned += o.abandoned
}

func (s *stats) coversAllOutcomes() bool {
	return s.acked > 0 && s.fenceOnly > 0 && s.refused > 0 && s.minPositions > 0 && s.ageBounds > 0 &&
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
			sim := run(members, runSteps, confirm.DefaultRule, newSeededChooser(seed))
			total.add(sim.stats)
			if sim.violation != nil {
				t.Fatalf("members=%d seed=%d: %v", members, seed, sim.violation)
			}
		}
		t.Logf("members=%d runs=%d %+v", members, runs, total)
		if !total.coversAllOutcomes() {
			t.Errorf("members=%d: some outcome did not occur in any run: got %+v, want all above 0", members, total)
		}
	}
}

func TestCompleteRuleUnderRapid(t *testing.T) {
	t.Parallel()
	for _, members := range []int{3, 5} {
		rapid.Check(t, func(t *rapid.T) {
			if sim := run(members, runSteps, confirm.DefaultRule, rapidChooser{t}); sim.violation != nil {
				t.Fatal(sim.violation)
			}
		})
	}
}

func TestIncompleteRulesAreCaught(t *testing.T) {
	withoutLogTerm := confirm.Rule{CheckPrimary: true}
	withoutPrimary := confirm.Rule{CheckLogTerm: true}
	cases := []struct {
		name           string
		rule           confirm.Rule
		members        int
		waitAfterFence time.Duration
	}{
		{"log term check left out", withoutLogTerm, 3, confirm.Validity},
		{"log term check left out, five targets", withoutLogTerm, 5, confirm.Validity},
		{"primary check left out", withoutPrimary, 3, confirm.Validity},
		{"primary check left out, five targets", withoutPrimary, 5, confirm.Validity},
		{"wait before the promotion left out", confirm.DefaultRule, 3, time.Nanosecond},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			sim, seed := firstViolation(c.members, c.rule, c.waitAfterFence)
			if sim == nil {
				t.Fatalf("got no violation in %d runs, want one", maxRunsToViolation)
			}
			t.Logf("seed=%d %v", seed, sim.violation)
			if sim.underReplicated != nil {
				requireLossAfterCrash(t, sim)
			}
		})
	}
}

func firstViolation(members int, rule confirm.Rule, waitAfterFence time.Duration) (*simulation, uint64) {
	for seed := range uint64(maxRunsToViolation) {
		sim := newSimulation(members, rule)
		sim.waitAfterFence = waitAfterFence
		if sim.run(runSteps, newSeededChooser(seed)); sim.violation != nil {
			return sim, seed
		}
	}
	return nil, 0
}

// requireLossAfterCrash crashes the targets that hold the under-replicated acknowledged write and requires that the
// promotion of another target loses it.
func requireLossAfterCrash(t *testing.T, sim *simulation) {
	t.Helper()
	sim.endDisturbance()
	for _, target := range sim.targets {
		target.down = target.holds(*sim.underReplicated)
	}
	sim.violation = nil
	sim.promoters[0].begin()
	for range runSteps {
		sim.now = sim.now.Add(recoveryStep)
		sim.advanceAll()
		sim.promoters[0].handle(promotion.Tick{})
		if sim.violation != nil {
			t.Logf("violation after the crash: %v", sim.violation)
			return
		}
	}
	t.Error("no promotion lost the under-replicated write, want a violation")
}
