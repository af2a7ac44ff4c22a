package engine

import (
	"testing"
	"time"

	"github.com/papayacove/papayacove/api"
	"github.com/papayacove/papayacove/internal/clock"
	"github.com/papayacove/papayacove/internal/policy/primaryposition"
	"github.com/papayacove/papayacove/internal/result"
)

// TestSessionReadsSeeItsCommitOfUnknownOutcome guards against a read of a session at a replica that lacks a commit of
// that session, which the primary made and whose reply was lost.
func TestSessionReadsSeeItsCommitOfUnknownOutcome(t *testing.T) {
	writes := map[string][]Statement{
		"a write":       {{ID: "write", Op: OpWrite, Text: "lost"}},
		"a transaction": {{ID: "begin", Op: OpBegin}, {ID: "write", Op: OpWrite, Text: "w"}, {ID: "commit", Op: OpCommit, Text: "lost"}},
	}
	for what, statements := range writes {
		l := newGreyLoad(ConsistencySession, func(_ string, c Command) (*TargetFailure, error) {
			if c.Text == "lost" {
				return nil, errLost
			}
			return nil, nil
		})
		loseCommit(l)
		l.group.samples.Add(clock.SinceBoot()-time.Second, api.Position{Term: 1, Offset: 10}, primaryposition.Source{})
		answers := l.serve(append(statements, Statement{ID: "read", Op: OpRead, Text: "r"})...)
		lost := answers[len(statements)-1].Refusal
		if lost == nil || lost.Code != result.OutcomeUnknown {
			t.Fatalf("%s: got refusal %+v, want an unknown outcome", what, lost)
		}
		if ran := l.commands["b"] + l.commands["c"]; ran > 0 {
			t.Errorf("%s: got %d reads of the session at replicas after its unknown outcome, want none", what, ran)
		}
	}
}

// loseCommit lets the connection of a commit end before its reply.
func loseCommit(l *greyLoad) {
	for _, target := range l.group.dialer.(namedTargets) {
		exchange := target.exchange
		target.exchange = func(conn *fakeConnection, c Command) (Reply, error) {
			if c.Op == OpCommit {
				return Reply{}, errLost
			}
			return exchange(conn, c)
		}
	}
}

// TestUnknownCommitIsCoveredAfterTheAge covers how long a commit of unknown outcome keeps reads at the primary.
func TestUnknownCommitIsCoveredAfterTheAge(t *testing.T) {
	commit := sessionCommit{unknownUntil: 10 * time.Second}
	if !commit.mayBeUnseen(12*time.Second, 2500*time.Millisecond) || commit.mayBeUnseen(13*time.Second, 2500*time.Millisecond) {
		t.Error("got another end than the time limit and the allowed age after it")
	}
	if (sessionCommit{position: api.Position{Term: 1, Offset: 9}}).mayBeUnseen(0, time.Second) {
		t.Error("got a commit of known outcome that may be unseen")
	}
}
