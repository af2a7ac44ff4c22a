package model

import (
	"flag"
	"math/rand/v2"
	"os"
	"testing"

	"github.com/papayacove/papayacove/internal/policy/confirm"
	"pgregory.net/rapid"
)

const (
	// runSteps is the number of steps of one run.
	runSteps = 1500
	// cleanRuns is the number of runs in which the complete rule must show no violation.
	cleanRuns = 2000
	// slipRuns is the number of runs in which an incomplete rule must show one.
	slipRuns = 4000
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

func TestCompleteRuleShowsNoViolation(t *testing.T) {
	for _, members := range []int{3, 5} {
		var total stats
		for seed := range uint64(cleanRuns) {
			w := run(members, runSteps, confirm.DefaultRule, newSeeded(seed))
			total.add(w.stats)
			if w.violation != nil {
				t.Fatalf("members=%d seed=%d: %v", members, seed, w.violation)
			}
		}
		t.Logf("members=%d runs=%d %+v", members, cleanRuns, total)
		if !total.isThorough() {
			t.Errorf("members=%d: the runs leave something out: %+v", members, total)
		}
	}
}

func TestCompleteRuleUnderRapid(t *testing.T) {
	for _, members := range []int{3, 5} {
		rapid.Check(t, func(t *rapid.T) {
			if w := run(members, runSteps, confirm.DefaultRule, drawn{t}); w.violation != nil {
				t.Fatal(w.violation)
			}
		})
	}
}

func TestIncompleteRulesAreCaught(t *testing.T) {
	rules := map[string]confirm.Rule{
		"without_log_term":        {CheckPrimary: true},
		"without_look_at_primary": {CheckLogTerm: true},
	}
	for name, rule := range rules {
		for _, members := range []int{3, 5} {
			first, found := -1, 0
			for seed := range uint64(slipRuns) {
				w := run(members, runSteps, rule, newSeeded(seed))
				if w.violation == nil {
					continue
				}
				if found++; first < 0 {
					first = int(seed)
					t.Logf("rule=%s members=%d seed=%d: %v", name, members, seed, w.violation)
				}
			}
			t.Logf("rule=%s members=%d found=%d runs=%d first=%d", name, members, found, slipRuns, first)
			if found == 0 {
				t.Errorf("rule=%s members=%d: no violation in %d runs", name, members, slipRuns)
			}
		}
	}
}
