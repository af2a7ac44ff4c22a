package engine

import (
	"fmt"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	logtest "github.com/sirupsen/logrus/hooks/test"

	"github.com/papayacove/papayacove/api"
	"github.com/papayacove/papayacove/internal/clock"
	"github.com/papayacove/papayacove/internal/logevent"
	"github.com/papayacove/papayacove/internal/logfield"
	"github.com/papayacove/papayacove/internal/policy/callers"
	"github.com/papayacove/papayacove/internal/policy/leadership"
	"github.com/papayacove/papayacove/internal/policy/primaryposition"
	"github.com/papayacove/papayacove/internal/telemetry"
)

// replyAt is the position of the replies of newReadEngine.
var replyAt = api.Position{Term: 1, Offset: 20}

// newReadEngine returns an engine with a route of the consistency, whose group has the primary a and the replica b. The
// proof is of a status of b, and no sample is known.
func newReadEngine(consistency Consistency) (*Engine, *group) {
	e := newReaderEngine(&fakeTarget{exchange: func(_ *fakeConnection, c Command) (Reply, error) {
		state := StateOpen
		if c.Op == OpCommit || c.Op == OpRollback || c.ID == "single" {
			state = StateIdle
		}
		return Reply{Signature: "s", State: state, Position: replyAt}, nil
	}})
	e.configuration.Routes["d"] = Route{
		Name: "r", Database: "d", Group: "g", Consistency: consistency, MaxAge: time.Second,
		Timeout: 10 * time.Second, Objective: 5 * time.Second,
	}
	g := e.groups["g"]
	g.proofLog.limiter = telemetry.NewLimiter()
	g.setTarget(Target{Name: "b", Group: "g", Slots: 2, Zone: "z"})
	now := clock.SinceBoot()
	g.applyStatusRound(map[string]leadership.Status{"a": leads(1, 10, now), "b": follows(1, 10, now)}, now)
	g.provenUntil, g.proofOrigin = now+time.Hour, proofOrigin{proofOfStatus, "b"}
	g.samples = primaryposition.Samples{}
	return e, g
}

// addSample adds the position 1/15, asked for at the time from now.
func addSample(g *group, fromNow time.Duration, source primaryposition.Source) {
	g.samples.Add(clock.SinceBoot()+fromNow, api.Position{Term: 1, Offset: 15}, source)
}

// linesOfReads serves statements and returns the lines of what was served.
func linesOfReads(t *testing.T, e *Engine, statements ...Statement) []*logrus.Entry {
	t.Helper()
	hook := logtest.NewGlobal()
	defer logrus.StandardLogger().ReplaceHooks(make(logrus.LevelHooks))
	servedStatements.Store(0)
	caller := &scriptedCaller{statements: statements}
	e.Serve(caller, "d", callers.Identity{})
	for i, answer := range caller.answers {
		if answer.Refusal != nil {
			t.Fatalf("statement %d was refused: %s", i, answer.Refusal.Reason)
		}
	}
	return logged(hook, logevent.StatementServed)
}

// checkFields compares fields of a line with their texts.
func checkFields(t *testing.T, name string, line *logrus.Entry, want map[string]string) {
	t.Helper()
	for field, text := range want {
		if got := fmt.Sprint(line.Data[field]); got != text {
			t.Errorf("%s: got %s %q, want %q", name, field, got, text)
		}
	}
}

// TestLineOfAReadTellsItsEvidence guards against a read on an old log of which nobody can tell what it rested on.
func TestLineOfAReadTellsItsEvidence(t *testing.T) {
	sampleOf := func(kind primaryposition.SourceKind, target string) func(*group) {
		return func(g *group) {
			addSample(g, -100*time.Millisecond, primaryposition.Source{Kind: kind, Target: target})
		}
	}
	cases := []struct {
		consistency Consistency
		prepare     func(*group)
		level       logrus.Level
		want        map[string]string
	}{
		{ConsistencyStrict, func(*group) {}, logrus.InfoLevel, map[string]string{
			logfield.Evidence: "proof_status", logfield.From: "b", logfield.Target: "a", logfield.Role: "primary",
			logfield.NeedsPrimary: "true",
		}},
		{ConsistencyStrict, func(g *group) {
			g.proofOrigin = proofOrigin{proofOfHolder, "a"}
		}, logrus.InfoLevel, map[string]string{
			logfield.Evidence: "proof_holder", logfield.From: "a", logfield.Target: "a",
		}},
		{ConsistencyBoundedStaleness, func(g *group) {
			g.members["a"].avoidUntil, g.members["b"].applied = clock.SinceBoot()+time.Hour, replyAt
			g.members["a"].recentFailureUntil = clock.SinceBoot() + time.Hour
			addSample(g, -100*time.Millisecond, primaryposition.Source{Kind: primaryposition.OfStatus, Target: "a"})
		}, logrus.WarnLevel, map[string]string{
			logfield.Evidence: "sample_status", logfield.From: "a", logfield.Target: "b", logfield.Role: "replica",
			logfield.NeedsPrimary: "false", logfield.Unresponsive: "true", logfield.Unsettled: "primary_unresponsive",
			logfield.Floor: "1/15", logfield.Sampled: "1/15",
		}},
		{ConsistencyBoundedStaleness, sampleOf(primaryposition.OfReply, "a"), logrus.InfoLevel, map[string]string{
			logfield.Evidence: "sample_reply", logfield.From: "a", logfield.Floor: "1/15", logfield.Sampled: "1/15",
			logfield.NeedsPrimary: "false",
		}},
		{ConsistencySession, sampleOf(primaryposition.OfStatus, "a"), logrus.InfoLevel, map[string]string{
			logfield.Evidence: "sample_status", logfield.From: "a", logfield.Floor: "1/15",
		}},
	}
	for _, c := range cases {
		e, g := newReadEngine(c.consistency)
		c.prepare(g)
		name := c.consistency.String() + "." + c.want[logfield.Evidence]
		before := fmt.Sprint(answeredReads.Get(name))
		lines := linesOfReads(t, e, Statement{ID: "single", Op: OpRead, Text: "r"})
		if len(lines) != 1 {
			t.Fatalf("%s: got %d lines, want 1", name, len(lines))
		}
		line := lines[0]
		if line.Level != c.level {
			t.Errorf("%s: got level %s, want %s", name, line.Level, c.level)
		}
		checkFields(t, name, line, c.want)
		checkFields(t, name, line, map[string]string{
			logfield.Request: "single", logfield.Group: "g", logfield.Route: "r", logfield.Position: "1/20",
			logfield.Consistency: c.consistency.String(), logfield.Members: "2", logfield.Term: "1", logfield.KnownTerm: "1",
			logfield.Primary: "a", logfield.InTransaction: "false",
		})
		arrival, ok := line.Data[logfield.AgeAtArrival].(time.Duration)
		if age, known := line.Data[logfield.Age].(time.Duration); !ok || !known || age < arrival {
			t.Errorf("%s: got the ages %v at the arrival and %v at the answer, want both, the second no less", name, arrival, age)
		}
		if after := fmt.Sprint(answeredReads.Get(name)); after == before {
			t.Errorf("%s: got the count %s after the read, want another than before", name, after)
		}
	}
}

// TestLineOfAReadInATransactionTellsItsEvidence guards against reads in transactions that leave no line.
func TestLineOfAReadInATransactionTellsItsEvidence(t *testing.T) {
	evidences := map[Consistency]string{ConsistencyStrict: "proof_status", ConsistencyBoundedStaleness: "sample_reply"}
	for consistency, evidence := range evidences {
		e, g := newReadEngine(consistency)
		addSample(g, -100*time.Millisecond, primaryposition.Source{Kind: primaryposition.OfReply, Target: "a"})
		lines := linesOfReads(t, e,
			Statement{ID: "1", Op: OpBeginReadOnly}, Statement{ID: "2", Op: OpRead, Text: "r"},
			Statement{ID: "3", Op: OpRead, Text: "r"}, Statement{ID: "4", Op: OpCommit, Text: "COMMIT"})
		if len(lines) != 2 {
			t.Fatalf("%s: got %d lines, want one for each of 2 reads", consistency, len(lines))
		}
		for i, request := range []string{"2", "3"} {
			checkFields(t, consistency.String(), lines[i], map[string]string{
				logfield.Request: request, logfield.Begin: "1", logfield.InTransaction: "true", logfield.Evidence: evidence,
				logfield.Position: "1/20",
			})
		}
	}
}

// TestProofOfAHolderNamesTheHolder guards against a proof of which nobody can tell which daemon told it.
func TestProofOfAHolderNamesTheHolder(t *testing.T) {
	n, engines := newRelayedEngines(&fakeTarget{}, 10, scarceLimits, strictRoute)
	sender := senderOf(n, engines)
	holder, _ := holderOf(sender)
	g := sender.groups["g"]
	g.provenUntil, g.proofLog.limiter = 0, telemetry.NewLimiter()
	lines := linesOfReads(t, sender, Statement{ID: "single", Op: OpRead, Text: "r"})
	if len(lines) != 1 {
		t.Fatalf("got %d lines, want 1", len(lines))
	}
	checkFields(t, "through a holder", lines[0], map[string]string{
		logfield.Evidence: "proof_holder", logfield.From: "a", logfield.Via: holder, logfield.Holder: holder,
	})
}

// TestReadsInASettledTimeAreSampled guards against a line for each read of a group in which nothing happens.
func TestReadsInASettledTimeAreSampled(t *testing.T) {
	e, g := newReadEngine(ConsistencyStrict)
	g.unsettled = unsettled{}
	if lines := linesOfReads(t, e, Statement{ID: "single", Op: OpRead, Text: "r"}); len(lines) != 0 {
		t.Errorf("got %d lines, want none", len(lines))
	}
}

// TestReadsInAnUnsettledTimeAreBounded guards against a log that grows with the load.
func TestReadsInAnUnsettledTimeAreBounded(t *testing.T) {
	e, _ := newReadEngine(ConsistencyStrict)
	var statements []Statement
	for range 500 {
		statements = append(statements, Statement{ID: "single", Op: OpRead, Text: "r"})
	}
	began := time.Now()
	lines := linesOfReads(t, e, statements...)
	seconds := time.Now().Unix() - began.Unix() + 1
	if most := 50 * int(seconds); len(lines) == 0 || len(lines) > most {
		t.Errorf("got %d lines in %d seconds, want at least 1 and at most %d", len(lines), seconds, most)
	}
}

// TestEventsMakeAGroupUnsettled checks after which events reads are logged.
func TestEventsMakeAGroupUnsettled(t *testing.T) {
	later := func() time.Duration { return clock.SinceBoot() + time.Second }
	cases := map[unsettledReason]func(*group){
		unsettledJoined:    func(g *group) { g.setTarget(Target{Name: "d", Group: "g", Zone: "z"}) },
		unsettledRestarted: func(g *group) { g.setTarget(Target{Name: "b", Group: "g", Zone: "z", Incarnation: 2}) },
		unsettledRemoved: func(g *group) {
			g.scheduleRemoval("c")
			m := g.members["c"]
			g.removeTarget("c", m, m.removals)
		},
		unsettledTerm: func(g *group) {
			g.applyStatusRound(map[string]leadership.Status{"b": leads(2, 10, later())}, later())
		},
		unsettledPromotion: func(g *group) { g.beginPromotion() },
		unsettledUnresponsive: func(g *group) {
			g.members["a"].avoidUntil = clock.SinceBoot() + time.Hour
		},
	}
	for want, change := range cases {
		g := newTestGroup(&fakeTarget{})
		g.unsettled = unsettled{}
		if got := g.readState(g.members["a"]).unsettled; got != settled {
			t.Errorf("before the event: got %q, want a settled group", got)
		}
		change(g)
		if got := g.readState(g.members["a"]).unsettled; got != want {
			t.Errorf("got %q, want %q", got, want)
		}
	}
}

// TestPromotionOfAnotherDaemonMakesAGroupUnsettled lets a replica report that it was paused.
func TestPromotionOfAnotherDaemonMakesAGroupUnsettled(t *testing.T) {
	g := newTestGroup(&fakeTarget{})
	g.unsettled = unsettled{}
	asked := clock.SinceBoot() + time.Second
	paused := follows(1, 10, asked)
	paused.PausedTerm = 2
	g.applyStatusRound(map[string]leadership.Status{"b": paused}, asked)
	if got := g.unsettled.reason; got != unsettledPromotion {
		t.Errorf("got %q, want %q", got, unsettledPromotion)
	}
	g.unsettled = unsettled{}
	paused.AskedAt += time.Second
	g.applyStatusRound(map[string]leadership.Status{"b": paused}, paused.AskedAt)
	if got := g.unsettled.reason; got != settled {
		t.Errorf("after the same answer: got %q, want a settled group", got)
	}
}

// TestTimeWithoutProofIsLoggedOnce guards against a time without proofs of which only the refusals tell.
func TestTimeWithoutProofIsLoggedOnce(t *testing.T) {
	hook := logtest.NewGlobal()
	defer logrus.StandardLogger().ReplaceHooks(make(logrus.LevelHooks))
	g := newTestGroup(&fakeTarget{err: errNoAnswer})
	g.proofLog.limiter, g.unsettled = telemetry.NewLimiter(), unsettled{}
	g.provenUntil = clock.SinceBoot() - time.Millisecond
	for name, s := range g.statuses {
		s.AskedAt -= time.Second
		g.statuses[name] = s
	}
	for range 3 {
		if g.renewProof() {
			t.Fatal("got a proof from targets that do not answer, want none")
		}
	}
	lines := logged(hook, logevent.ProofMissing)
	if len(lines) != 1 {
		t.Fatalf("got %d lines, want 1", len(lines))
	}
	checkFields(t, logevent.ProofMissing, lines[0], map[string]string{
		logfield.Answered: "0", logfield.Members: "3", logfield.Group: "g",
	})
	if lines[0].Level != logrus.WarnLevel {
		t.Errorf("got level %s, want %s", lines[0].Level, logrus.WarnLevel)
	}
	g.recordProof(proofOrigin{proofOfStatus, "b"}, clock.SinceBoot())
	if got := g.unsettled.reason; got != unsettledProof {
		t.Errorf("after the proof has returned: got %q, want %q", got, unsettledProof)
	}
}
