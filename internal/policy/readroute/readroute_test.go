package readroute

import (
	"flag"
	"os"
	"slices"
	"testing"
	"time"

	"github.com/papayacove/papayacove/api"
	"github.com/papayacove/papayacove/internal/policy/confirm"
	"github.com/papayacove/papayacove/internal/policy/staleness"
	"github.com/papayacove/papayacove/internal/result"
	"pgregory.net/rapid"
)

var start = time.Unix(1_000_000, 0)

func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// group returns a primary in zone b and replicas in zones a (near) and c (far), after applying change.
func group(change func(near, far, primary *Target)) []Target {
	targets := []Target{
		{Name: "primary", Zone: "b", Role: confirm.RolePrimary, Holder: "entry-b", HolderReachable: true},
		{Name: "far", Zone: "c", Role: confirm.RoleReplica, Holder: "entry-c", HolderReachable: true},
		{Name: "near", Zone: "a", Role: confirm.RoleReplica, Holder: "entry-a", HolderReachable: true},
	}
	if change != nil {
		change(&targets[2], &targets[1], &targets[0])
	}
	return targets
}

func TestOrder(t *testing.T) {
	minPosition := api.Position{Term: 1, Offset: 10}
	behind := Refusal{Code: result.NotRunBehind, At: start, MinPosition: minPosition}
	tooOld := Refusal{Code: result.NotRunTooOld, At: start, MaxAge: time.Second}
	overloaded := Refusal{Code: result.NotRunOverloaded, At: start, RetryAfter: time.Second}
	cases := []struct {
		name   string
		maxAge time.Duration
		after  time.Duration
		change func(near, far, primary *Target)
		want   []string
	}{
		{"own zone, other zone, primary", NoMaxAge, 0, nil, []string{"near", "far", "primary"}},
		{"allowed age 0", 0, 0, nil, []string{"primary"}},
		{"replica recently behind", NoMaxAge, 0, func(near, _, _ *Target) { near.Refusal = behind }, []string{"far", "primary", "near"}},
		{"refusal as behind expired", NoMaxAge, DefaultRefusalTTL, func(near, _, _ *Target) { near.Refusal = behind }, []string{"near", "far", "primary"}},
		{"refused as too old for a shorter allowed age", 2 * time.Second, 0, func(near, _, _ *Target) { near.Refusal = tooOld }, []string{"near", "far", "primary"}},
		{"refused as too old for the same allowed age", time.Second, 0, func(near, _, _ *Target) { near.Refusal = tooOld }, []string{"far", "primary", "near"}},
		{"overloaded until its retry-after time", NoMaxAge, 999 * time.Millisecond, func(near, _, _ *Target) { near.Refusal = overloaded }, []string{"far", "primary", "near"}},
		{"holder unreachable", NoMaxAge, 0, func(near, _, _ *Target) { near.HolderReachable = false }, []string{"far", "primary", "near"}},
		{"replica leaving", NoMaxAge, 0, func(near, _, _ *Target) { near.Leaving = true }, []string{"far", "primary"}},
		{"primary leaving", NoMaxAge, 0, func(_, _, primary *Target) { primary.Leaving = true }, []string{"near", "far", "primary"}},
		{"no primary known", NoMaxAge, 0, func(_, _, primary *Target) { primary.Role = confirm.RoleUnknown }, []string{"near", "far"}},
		{"replica without a holder", NoMaxAge, 0, func(near, _, _ *Target) { near.Holder = "" }, []string{"far", "primary"}},
	}
	for _, c := range cases {
		read := Read{Zone: "a", MinPosition: minPosition, MaxAge: c.maxAge}
		var got []string
		for _, candidate := range Order(read, group(c.change), start.Add(c.after)) {
			got = append(got, candidate.Target)
		}
		if !slices.Equal(got, c.want) {
			t.Errorf("%s: got %v, want %v", c.name, got, c.want)
		}
	}
}

func TestAttempt(t *testing.T) {
	behind := Failure{Code: result.NotRunBehind}
	unreachable := Failure{Code: result.NotRunUnreachable}
	noPrimary := func(_, _, primary *Target) { primary.Role = confirm.RoleUnknown }
	cases := []struct {
		name     string
		change   func(near, far, primary *Target)
		budget   int
		failures []Failure
		code     result.Code
		reason   Reason
		attempts int
	}{
		{"every replica behind, then the primary", nil, 0, []Failure{behind, behind}, result.OK, ReasonPrimary, 3},
		{"every replica behind, no primary", noPrimary, 0, []Failure{behind, behind}, result.NotRunNoPrimary, ReasonExhausted, 2},
		{"every replica too old, no primary", noPrimary, 0, []Failure{{Code: result.NotRunTooOld}, {Code: result.NotRunTooOld}}, result.NotRunTooOld, ReasonExhausted, 2},
		{"budget used up", nil, 0, []Failure{unreachable}, result.NotRunUnreachable, ReasonBudget, 1},
		{"within budget", nil, 1, []Failure{unreachable}, result.OK, ReasonOtherReplica, 2},
		{"answer lost before the first row", nil, 1, []Failure{{Code: result.OutcomeUnknown}}, result.OK, ReasonOtherReplica, 2},
		{"rows were sent to the caller", nil, 1, []Failure{{Code: result.OutcomeUnknown, RowsSent: true}}, result.AnswerInterrupted, ReasonRowsSent, 1},
		{"the statement writes", nil, 1, []Failure{{Code: result.NotRunReadOnly}}, result.NotRunReadOnly, ReasonFinalRefusal, 1},
		{"no target has a holder", func(near, far, primary *Target) { near.Holder, far.Holder, primary.Holder = "", "", "" }, 1, nil, result.NotRunNoPrimary, ReasonNoCandidates, 0},
	}
	for _, c := range cases {
		read := Read{Zone: "a", MaxAge: NoMaxAge}
		a, d := NewAttempt(read, group(c.change), NewBudget(0, c.budget), start.Add(time.Second), start)
		for _, f := range c.failures {
			d = a.Failed(f, start)
		}
		if d.Code != c.code || d.Reason != c.reason || d.Attempt != c.attempts || d.Stop != (c.code != result.OK) {
			t.Errorf("%s: got %v, want the code, reason and attempts of the case", c.name, d.Fields())
		}
	}
}

func TestAttemptStopsAtDeadlineWithShortestRetryAfter(t *testing.T) {
	a, _ := NewAttempt(Read{MaxAge: NoMaxAge}, group(nil), NewBudget(0, 9), start.Add(time.Second), start)
	a.Failed(Failure{Code: result.NotRunOverloaded, RetryAfter: 30 * time.Millisecond}, start)
	d := a.Failed(Failure{Code: result.NotRunOverloaded, RetryAfter: 80 * time.Millisecond}, start.Add(time.Second))
	if d.Code != result.NotRunDeadline || d.RetryAfter != 30*time.Millisecond {
		t.Errorf("got %v, want a stop at the deadline with retry-after 30 ms", d.Fields())
	}
}

func TestDecideAtReplica(t *testing.T) {
	at := func(offset uint64) api.Position { return api.Position{Term: 2, Offset: offset} }
	known := func(d time.Duration) staleness.Bound { return staleness.Bound{Known: true, Age: d} }
	lag := func(d time.Duration) staleness.Bound { return staleness.Bound{Known: true, Age: time.Minute, Lag: d} }
	cases := []struct {
		name    string
		maxAge  time.Duration
		applied api.Position
		age     staleness.Bound
		wait    time.Duration
		want    GateAction
		code    result.Code
	}{
		{"minimum position applied", NoMaxAge, at(10), staleness.Bound{}, 0, Run, result.OK},
		{"minimum position of an earlier term", NoMaxAge, api.Position{Term: 3, Offset: 1}, staleness.Bound{}, 0, Run, result.OK},
		{"more records of an earlier term", NoMaxAge, api.Position{Term: 1, Offset: 99}, staleness.Bound{}, 0, Behind, result.NotRunBehind},
		{"within age", time.Second, at(10), known(time.Second), 0, Run, result.OK},
		{"beyond age", time.Second, at(10), known(time.Second + 1), 0, TooOld, result.NotRunTooOld},
		{"age unknown", time.Second, at(10), staleness.Bound{}, 0, TooOld, result.NotRunTooOld},
		{"within age but below the minimum position", time.Second, at(9), known(0), 0, Behind, result.NotRunBehind},
		{"lag within the wait", NoMaxAge, at(9), lag(10 * time.Millisecond), 20 * time.Millisecond, WaitThenRun, result.OK},
		{"lag beyond the wait", NoMaxAge, at(9), lag(30 * time.Millisecond), 20 * time.Millisecond, Behind, result.NotRunBehind},
		{"no samples yet", NoMaxAge, at(9), staleness.Bound{Reason: staleness.ReasonNoSamples}, 20 * time.Millisecond, WaitThenRun, result.OK},
		{"behind all samples", NoMaxAge, at(9), staleness.Bound{Reason: staleness.ReasonBehindAll}, 20 * time.Millisecond, Behind, result.NotRunBehind},
		{"no time to wait", NoMaxAge, at(9), lag(0), 0, Behind, result.NotRunBehind},
	}
	for _, c := range cases {
		d := DecideAtReplica(at(10), c.maxAge, c.applied, c.age, c.wait)
		if d.Action != c.want || d.Code() != c.code || (d.Wait > 0) != (c.want == WaitThenRun) {
			t.Errorf("%s: got %v, want the action and code of the case", c.name, d.Fields())
		}
	}
}

func TestDecideAtPrimary(t *testing.T) {
	at := api.Position{Term: 2, Offset: 10}
	old := staleness.Bound{Known: true, Age: 3 * time.Second}
	cases := []struct {
		name   string
		backed bool
		maxAge time.Duration
		want   GateAction
	}{
		{"backed", true, NoMaxAge, Run},
		{"partitioned, strict read", false, NoMaxAge, NoMajority},
		{"partitioned, allowed age 0", false, 0, NoMajority},
		{"partitioned, within age", false, 5 * time.Second, Run},
		{"partitioned, beyond age", false, time.Second, TooOld},
	}
	for _, c := range cases {
		if d := DecideAtPrimary(c.backed, at, c.maxAge, at, old); d.Action != c.want {
			t.Errorf("%s: got %v, want the action of the case", c.name, d.Fields())
		}
	}
}

func TestBudgetKeepsRetriesToTheirShare(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		share := rapid.Float64Range(0, 1).Draw(t, "share")
		burst := rapid.IntRange(0, 20).Draw(t, "burst")
		b := NewBudget(share, burst)
		requests, retries := 0, 0
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			if rapid.Bool().Draw(t, "request") {
				b.AddRequest()
				requests++
			} else if b.Take() {
				retries++
			}
		}
		if limit := float64(burst) + share*float64(requests) + 1e-6; float64(retries) > limit {
			t.Fatalf("got %d retries for %d requests, want at most %f", retries, requests, limit)
		}
	})
}

func BenchmarkNewAttempt(b *testing.B) {
	targets := group(nil)
	budget := NewBudget(DefaultRetryShare, DefaultRetryBurst)
	b.ReportAllocs()
	for b.Loop() {
		NewAttempt(Read{Zone: "a", MaxAge: NoMaxAge}, targets, budget, start.Add(time.Second), start)
	}
}

func BenchmarkAtReplica(b *testing.B) {
	b.ReportAllocs()
	for b.Loop() {
		DecideAtReplica(api.Position{Term: 1, Offset: 3}, time.Second, api.Position{Term: 1, Offset: 4}, staleness.Bound{Known: true}, 0)
	}
}
