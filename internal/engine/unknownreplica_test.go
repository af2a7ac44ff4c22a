package engine

import (
	"context"
	"testing"
	"time"

	"github.com/papayacove/papayacove/api"
	"github.com/papayacove/papayacove/internal/clock"
	"github.com/papayacove/papayacove/internal/policy/leadership"
	"github.com/papayacove/papayacove/internal/policy/primaryposition"
	"github.com/papayacove/papayacove/internal/result"
)

// newUnknownReplica returns a load whose primary a does not answer this daemon any more. The replicas b and c end at
// 10; one that the daemon does not know has acknowledged 12.
func newUnknownReplica(t *testing.T, consistency Consistency) *greyLoad {
	t.Helper()
	l := newGreyLoad(consistency, func(string, Command) (*TargetFailure, error) { return nil, nil })
	for name, target := range l.group.dialer.(namedTargets) {
		exchange := target.exchange
		target.exchange = func(conn *fakeConnection, c Command) (Reply, error) {
			switch {
			case name == "a":
				return Reply{}, errLost
			case c.Op == OpStatus:
				return Reply{Status: follows(1, 10, 0)}, nil
			}
			return exchange(conn, c)
		}
	}
	l.group.samples, l.group.provenUntil = primaryposition.Samples{}, 0
	led := l.group.statuses["a"]
	led.AskedAt -= time.Minute
	l.group.statuses["a"] = led
	now := clock.SinceBoot()
	replicas := map[string]leadership.Status{"b": follows(1, 10, now), "c": follows(1, 10, now)}
	l.group.applyStatusRound(replicas, now)
	l.group.members["a"].lastReplyAt -= time.Second
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go l.group.serveProofs(ctx, func() {})
	return l
}

// serveInTime returns the last answer to the statements of a session. It fails the test if they are not answered long
// before their time limit.
func (l *greyLoad) serveInTime(t *testing.T, statements []Statement) Answer {
	t.Helper()
	var answers []Answer
	ended := make(chan struct{})
	go func() {
		answers = l.serve(statements...)
		close(ended)
	}()
	awaitEnd(t, ended)
	return answers[len(answers)-1]
}

var readsOfEachKind = map[string][]Statement{
	"a read":             {{ID: "read", Op: OpRead, Text: "r"}},
	"a read transaction": {{ID: "begin", Op: OpBeginReadOnly}, {ID: "read", Op: OpRead, Text: "r"}},
}

// TestReadsDoNotTakeTheKnownReplicasForAll guards against reads without a commit that a replica acknowledged which the
// daemon does not know, while the primary does not answer the daemon.
func TestReadsDoNotTakeTheKnownReplicasForAll(t *testing.T) {
	for _, consistency := range []Consistency{ConsistencyStrict, ConsistencySession, ConsistencyBoundedStaleness} {
		for what, statements := range readsOfEachKind {
			l := newUnknownReplica(t, consistency)
			answer := l.serveInTime(t, statements)
			refusal := answer.Refusal
			if refusal == nil || !refusal.Code.IsNotRun() || refusal.RetryAfter <= 0 {
				t.Errorf("%s, %s: got refusal %+v, want one that says that nothing ran and when to try again",
					consistency, what, refusal)
			}
			if ran := l.commands["b"] + l.commands["c"]; ran > 0 {
				t.Errorf("%s, %s: got %d runs at replicas, want none", consistency, what, ran)
			}
		}
	}
}

// TestReadWithoutAProofIsTriedWithinItsObjective guards against reads that are kept until their time limit at a primary
// that answers and cannot be proved to lead, as in a zone that is cut off.
func TestReadWithoutAProofIsTriedWithinItsObjective(t *testing.T) {
	l := newGreyLoad(ConsistencyStrict, func(string, Command) (*TargetFailure, error) { return nil, nil })
	route := l.engine.configuration.Routes["d"]
	route.Objective = proofTimeout / 2
	l.engine.configuration.Routes["d"] = route
	l.group.provenUntil = 0
	refusal := l.serveInTime(t, readsOfEachKind["a read"]).Refusal
	if refusal == nil || refusal.Code != result.NotRunNoMajority || refusal.RetryAfter <= 0 || l.commands["a"] != 1 {
		t.Errorf("got refusal %+v after %d runs, want one run, no proof and a time to try again", refusal, l.commands["a"])
	}
}

// TestReplicasServeWhileASampleCoversTheAge guards against reads with an allowed age that are refused although the
// primary has told its position within that age.
func TestReplicasServeWhileASampleCoversTheAge(t *testing.T) {
	for _, consistency := range []Consistency{ConsistencySession, ConsistencyBoundedStaleness} {
		for what, statements := range readsOfEachKind {
			l := newUnknownReplica(t, consistency)
			l.group.samples.Add(clock.SinceBoot()-time.Second, api.Position{Term: 1, Offset: 10}, primaryposition.Source{})
			answer := l.serveInTime(t, statements)
			if answer.Refusal != nil || l.commands["b"]+l.commands["c"] != 1 {
				t.Errorf("%s, %s: got refusal %+v and runs %v, want one at a replica",
					consistency, what, answer.Refusal, l.commands)
			}
		}
	}
}
