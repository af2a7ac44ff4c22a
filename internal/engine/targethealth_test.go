package engine

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/papayacove/papayacove/api"
	"github.com/papayacove/papayacove/internal/clock"
	"github.com/papayacove/papayacove/internal/policy/callers"
	"github.com/papayacove/papayacove/internal/policy/leadership"
	"github.com/papayacove/papayacove/internal/policy/loadbalance"
	"github.com/papayacove/papayacove/internal/policy/targethealth"
	"github.com/papayacove/papayacove/internal/result"
)

// namedTargets dials one fake target for each name.
type namedTargets map[string]*fakeTarget

func (n namedTargets) Dial(ctx context.Context, target Target, workspace string) (Connection, error) {
	return n[target.Name].Dial(ctx, target, workspace)
}

// greyLoad is an engine with a primary a and replicas b, in its zone, and c, where the answer of each target to a command is up to answer;
// nil for success.
type greyLoad struct {
	engine   *Engine
	group    *group
	commands map[string]int
	// open holds the connections with an open transaction.
	open   map[*fakeConnection]bool
	answer func(target string, c Command) (*TargetFailure, error)
}

func newGreyLoad(consistency Consistency, answer func(target string, c Command) (*TargetFailure, error)) *greyLoad {
	l := &greyLoad{commands: map[string]int{}, open: map[*fakeConnection]bool{}, answer: answer}
	targets := namedTargets{}
	for _, name := range []string{"a", "b", "c"} {
		targets[name] = &fakeTarget{exchange: func(conn *fakeConnection, c Command) (Reply, error) { return l.exchange(name, conn, c) }}
	}
	l.engine = newReaderEngine(targets["a"])
	l.group = l.engine.groups["g"]
	l.group.dialer = targets
	for name, m := range l.group.members {
		m.pool.dialer = targets
		l.group.setTarget(Target{Name: name, Group: "g", Slots: 5, Zone: "other"})
	}
	l.group.setTarget(Target{Name: "b", Group: "g", Slots: 5, Zone: "z"})
	l.group.setTarget(Target{Name: "c", Group: "g", Slots: 5, Zone: "other"})
	now := clock.SinceBoot()
	l.group.applyStatusRound(map[string]leadership.Status{"a": leads(1, 10, now), "b": follows(1, 10, now), "c": follows(1, 10, now)}, now)
	l.group.provenUntil = now + time.Hour
	route := l.engine.configuration.Routes["d"]
	route.Consistency, route.MaxAge, route.Timeout, route.Objective = consistency, 5*time.Second, time.Minute, time.Minute
	l.engine.configuration.Routes["d"] = route
	return l
}

func (l *greyLoad) exchange(target string, conn *fakeConnection, c Command) (Reply, error) {
	reply := Reply{Signature: "s", Position: api.Position{Term: 1, Offset: 10}}
	switch c.Op {
	case OpBegin, OpBeginReadOnly:
		l.open[conn] = true
	case OpCommit, OpRollback:
		delete(l.open, conn)
	}
	if l.open[conn] {
		reply.State = StateOpen
	}
	if c.Op != OpRead && c.Op != OpWrite {
		return reply, nil
	}
	l.commands[target]++
	failure, err := l.answer(target, c)
	reply.Failure = failure
	return reply, err
}

// serve runs statements of one session, and returns the answers.
func (l *greyLoad) serve(statements ...Statement) []Answer {
	caller := &scriptedCaller{statements: statements}
	l.engine.Serve(caller, "d", callers.Identity{})
	return caller.answers
}

// reads runs reads and returns how many were served.
func (l *greyLoad) reads(count int) (served int) {
	for i := range count {
		if l.serve(Statement{ID: fmt.Sprint(i), Op: OpRead, Text: "r"})[0].Refusal == nil {
			served++
		}
	}
	return served
}

func (l *greyLoad) state(target string) targethealth.State {
	l.group.mu.Lock()
	defer l.group.mu.Unlock()
	return l.group.health.StateOf(target, clock.SinceBoot())
}

// failing fails 45 % of the statements at the given targets, with a failure that ran or a lost connection.
func failing(lost bool, targets ...string) func(string, Command) (*TargetFailure, error) {
	random := rand.New(rand.NewPCG(3, 4))
	return func(target string, _ Command) (*TargetFailure, error) {
		for _, name := range targets {
			if name != target || random.Float64() >= 0.45 {
				continue
			}
			if lost {
				return nil, errLost
			}
			return &TargetFailure{Kind: FailureFailed, Code: "FAILED"}, nil
		}
		return nil, nil
	}
}

// TestGreyReplicaServesFewReads lets the replica that reads prefer fail 45 % of them: all are served, and it is ejected after
// a few. A target that loses connections is left for a while with each of them already.
func TestGreyReplicaServesFewReads(t *testing.T) {
	for _, lost := range []bool{false, true} {
		l := newGreyLoad(ConsistencyBoundedStaleness, failing(lost, "b"))
		if served := l.reads(300); served != 300 {
			t.Errorf("lost %t: got %d of 300 reads served, want all", lost, served)
		}
		if !lost && l.state("b") == targethealth.Healthy || l.commands["b"] > 60 {
			t.Errorf("lost %t: got state %d of the failing target after %d reads there, want it ejected after 60 at most", lost, l.state("b"), l.commands["b"])
		}
	}
}

// TestAllTargetsGrey lets all targets fail alike: none is ejected, and the further attempts stay within a tenth of the reads
// and ten.
func TestAllTargetsGrey(t *testing.T) {
	l := newGreyLoad(ConsistencyBoundedStaleness, failing(false, "a", "b", "c"))
	const reads = 500
	served := l.reads(reads)
	if share := float64(served) / reads; share < 0.55 {
		t.Errorf("got %.2f of the reads served, want the 0.55 that the first attempts serve at least", share)
	}
	attempts := l.commands["a"] + l.commands["b"] + l.commands["c"]
	if attempts > reads+reads/10+10 || attempts < reads+reads/20 {
		t.Errorf("got %d attempts for %d reads, want some more, and at most a tenth and ten more", attempts, reads)
	}
}

// TestGreyPrimary lets the primary fail 45 % of its statements: a strict read is tried once more there and nowhere else, and
// a write never.
func TestGreyPrimary(t *testing.T) {
	isFirst := true
	l := newGreyLoad(ConsistencyStrict, func(string, Command) (*TargetFailure, error) {
		failed := isFirst
		isFirst = false
		if failed {
			return &TargetFailure{Kind: FailureFailed, Code: "FAILED"}, nil
		}
		return nil, nil
	})
	if served := l.reads(1); served != 1 || l.commands["a"] != 2 || l.commands["b"]+l.commands["c"] != 0 {
		t.Errorf("strict read: got %d served with attempts %v, want one, with two attempts at the primary", served, l.commands)
	}
	isFirst = true
	clear(l.commands)
	if refusal := l.serve(Statement{ID: "w", Op: OpWrite, Text: "w"})[0].Refusal; refusal == nil || l.commands["a"] != 1 {
		t.Errorf("write: got refusal %v after attempts %v, want the failure of the only attempt", refusal, l.commands)
	}
}

// TestFaultOfTheStatement sends reads that fail everywhere: each is tried twice at most, the caller gets the code of the target,
// and no target is ejected for them.
func TestFaultOfTheStatement(t *testing.T) {
	l := newGreyLoad(ConsistencyBoundedStaleness, func(string, Command) (*TargetFailure, error) {
		return &TargetFailure{Kind: FailureFailed, Code: "FAILED"}, nil
	})
	refusal := l.serve(Statement{ID: "r", Op: OpRead, Text: "r"})[0].Refusal
	if attempts := l.commands["a"] + l.commands["b"] + l.commands["c"]; refusal == nil || refusal.Code != result.TargetFailed || attempts != 2 {
		t.Errorf("got refusal %+v after %d attempts, want the failure of the target after two", refusal, attempts)
	}
	l.reads(100)
	for _, name := range []string{"a", "b", "c"} {
		if l.state(name) != targethealth.Healthy {
			t.Errorf("target %s is ejected for statements that fail everywhere", name)
		}
	}
}

// TestTrueWordAfterARead lets a read fail at one target and be refused by the others, which are busy: the caller is told that
// it ran and failed. A busy target is not ill.
func TestTrueWordAfterARead(t *testing.T) {
	isFirst := true
	l := newGreyLoad(ConsistencyBoundedStaleness, func(string, Command) (*TargetFailure, error) {
		if isFirst {
			isFirst = false
			return &TargetFailure{Kind: FailureFailed, Code: "FAILED"}, nil
		}
		return &TargetFailure{Kind: FailureBusy, Code: "BUSY"}, nil
	})
	route := l.engine.configuration.Routes["d"]
	route.Objective, route.Timeout = 300*time.Millisecond, 300*time.Millisecond
	l.engine.configuration.Routes["d"] = route
	refusal := l.serve(Statement{ID: "r", Op: OpRead, Text: "r"})[0].Refusal
	if refusal == nil || refusal.Code != result.TargetFailed {
		t.Errorf("got refusal %+v, want the failure of the target that ran the read", refusal)
	}
	for _, name := range []string{"a", "b", "c"} {
		if l.group.isSuspect(l.group.members[name]) {
			t.Errorf("target %s is suspect for being busy", name)
		}
	}
}

// TestReadOnlyTransactionMoves lets the first read of a read-only transaction fail at the first target: the transaction begins
// again at another. A later read that fails ends it, since the caller has seen answers of the first.
func TestReadOnlyTransactionMoves(t *testing.T) {
	for _, lost := range []bool{false, true} {
		for failAt, want := range map[int]bool{1: true, 2: false} {
			run := 0
			l := newGreyLoad(ConsistencyBoundedStaleness, func(string, Command) (*TargetFailure, error) {
				run++
				switch {
				case run != failAt:
					return nil, nil
				case lost:
					return nil, errLost
				}
				return &TargetFailure{Kind: FailureFailed, Code: "FAILED"}, nil
			})
			answers := l.serve(Statement{ID: "1", Op: OpBeginReadOnly}, Statement{ID: "2", Op: OpRead, Text: "r"}, Statement{ID: "3", Op: OpRead, Text: "r"})
			if served := answers[1].Refusal == nil && answers[2].Refusal == nil; served != want {
				t.Errorf("lost %t, failure of read %d: got served %t, want %t", lost, failAt, served, want)
			}
			if want && l.commands["b"]*l.commands["c"] == 0 {
				t.Errorf("lost %t: got reads at %v, want them at two replicas", lost, l.commands)
			}
		}
	}
}

// TestSilenceIsBoundedAtASuspect bounds the wait for an answer of a target that lost some, and of no other.
func TestSilenceIsBoundedAtASuspect(t *testing.T) {
	l := newGreyLoad(ConsistencyBoundedStaleness, failing(false))
	b := l.group.members["b"]
	newRequest := func() (*request, execution) {
		r, _ := (&session{engine: l.engine, database: "d"}).request(Statement{Op: OpRead}, OpRead, time.Now())
		return r, execution{deadline: r.deadline()}
	}
	r, e := newRequest()
	r.boundSilence(b, &e)
	if !e.deadline.Equal(r.deadline()) {
		t.Error("the wait at a target that has lost no answer is shortened")
	}
	l.group.recordIll(b)
	l.group.recordIll(b)
	r, e = newRequest()
	r.boundSilence(b, &e)
	if !e.deadline.Before(r.answerBy().Add(-r.objective() / 3)) {
		t.Errorf("got a wait until %s after the arrival at a target that lost answers, want at most about half of %s", e.deadline.Sub(r.arrived), r.objective())
	}
	r, e = newRequest()
	r.attempts = 2
	r.boundSilence(b, &e)
	if !e.deadline.Equal(r.deadline()) {
		t.Error("the wait of a later attempt is shortened")
	}
}

// TestFullTargetIsNotDialedForEachStatement lets a target refuse the only connection of a daemon: it is dialed again after a
// pause that doubles up to a bound, and at once after it has accepted one.
func TestFullTargetIsNotDialedForEachStatement(t *testing.T) {
	target := &fakeTarget{}
	p := newPool(target, func() Target { return Target{} }, connectionShare{guaranteed: 1, ceiling: 1})
	now := time.Now()
	for _, pause := range []time.Duration{60, 120, 240, 480, 480} {
		p.recordDial(true, now)
		if until := now.Add(pause * time.Millisecond); !p.isPaused(until.Add(-1)) || p.isPaused(until) {
			t.Errorf("got a pause of %s, want %s", p.full.until.Sub(now), pause*time.Millisecond)
		}
		now = p.full.until
	}
	p.full.until = time.Now().Add(time.Hour)
	for _, workspace := range []string{"", "w"} {
		for range 5 {
			_, err := p.acquire(connectionRequest{workspace: workspace, startBy: time.Now().Add(time.Minute), lateUntil: time.Now().Add(time.Minute)})
			if result.CodeOf(err) != result.NotRunNoSlot {
				t.Fatalf("got %v during the pause, want the refusal of a full target", err)
			}
		}
	}
	if target.dialed != 0 {
		t.Errorf("got %d dials during the pause, want none", target.dialed)
	}
	p.recordDial(false, now)
	if p.isPaused(now) {
		t.Error("the target is not dialed although it accepted a connection")
	}
}

// TestTrialsOfAnEjectedTarget ejects a target: after the time of its ejection two reads are its trials, and no other read nor a
// further attempt is.
func TestTrialsOfAnEjectedTarget(t *testing.T) {
	l := newGreyLoad(ConsistencyBoundedStaleness, failing(false))
	g, b := l.group, l.group.members["b"]
	for range 20 {
		g.recordIll(b)
	}
	now := clock.SinceBoot()
	apply := func(at time.Duration, mayTry, behind bool) loadbalance.Candidate {
		c := loadbalance.Candidate{Name: "b", Behind: behind}
		g.applyHealth(&c, &readRequest{mayTry: mayTry}, at)
		return c
	}
	later := now + targethealth.MaxEjection
	cases := []struct {
		name           string
		at             time.Duration
		mayTry, behind bool
		trial          bool
	}{
		{"during the ejection", now, true, false, false},
		{"further attempt", later, false, false, false},
		{"target that is behind", later, true, true, false},
		{"first trial", later, true, false, true},
		{"second trial", later, true, false, true},
		{"third read", later, true, false, false},
	}
	for _, c := range cases {
		if got := apply(c.at, c.mayTry, c.behind); got.Trial != c.trial || got.Ejected == c.trial {
			t.Errorf("%s: got trial %t, ejected %t, want trial %t and otherwise ejected", c.name, got.Trial, got.Ejected, c.trial)
		}
	}
}

// TestWhatCountsAsIllness records 20 outcomes of each kind at one target: those for which the target is at fault eject it.
func TestWhatCountsAsIllness(t *testing.T) {
	answered := func(kind FailureKind) attemptResult {
		return attemptResult{sent: true, reply: Reply{Failure: &TargetFailure{Kind: kind}}}
	}
	cases := map[string]struct {
		record func(r *request, m *member)
		want   targethealth.State
	}{
		"lost answer":      {func(r *request, m *member) { r.recordOutcome(m, attemptResult{err: errLost, sent: true}) }, targethealth.Ejected},
		"not reached":      {func(r *request, m *member) { r.recordUnavailable(m, dialFailure(errLost)) }, targethealth.Ejected},
		"not dialed":       {func(r *request, m *member) { r.recordUnavailable(m, errTargetAvoided) }, targethealth.Healthy},
		"full":             {func(r *request, m *member) { r.recordUnavailable(m, errTargetFull) }, targethealth.Healthy},
		"busy":             {func(r *request, m *member) { r.recordOutcome(m, answered(FailureBusy)) }, targethealth.Healthy},
		"failed statement": {func(r *request, m *member) { r.recordOutcome(m, answered(FailureFailed)) }, targethealth.Healthy},
		"holder that is gone": {func(r *request, m *member) {
			r.recordOutcome(m, attemptResult{err: errLost, sent: true, byHolder: true})
		}, targethealth.Healthy},
	}
	for name, c := range cases {
		l := newGreyLoad(ConsistencyBoundedStaleness, failing(false))
		for range 20 {
			c.record(&request{group: l.group}, l.group.members["b"])
		}
		if got := l.state("b"); got != c.want {
			t.Errorf("%s: got state %d, want %d", name, got, c.want)
		}
	}
}
