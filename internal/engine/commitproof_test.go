package engine

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/papayacove/papayacove/api"
	"github.com/papayacove/papayacove/internal/clock"
	"github.com/papayacove/papayacove/internal/policy/callers"
	"github.com/papayacove/papayacove/internal/policy/leadership"
	"github.com/papayacove/papayacove/internal/result"
)

// commitOffset is the offset of the commits that receiptLoad acknowledges.
const commitOffset = 11

// receiptLoad is an engine whose primary a acknowledges each commit at commitOffset, because some replica has received
// it. The replicas b and c answer status calls as received says.
type receiptLoad struct {
	engine *Engine
	group  *group

	mu sync.Mutex
	// received are the offsets of the replicas' logs; one that is missing does not answer.
	received map[string]uint64
	// asked counts the status calls.
	asked map[string]int
}

func newReceiptLoad(received map[string]uint64) *receiptLoad {
	l := &receiptLoad{received: received, asked: map[string]int{}}
	targets := namedTargets{}
	for _, name := range []string{"a", "b", "c"} {
		targets[name] = &fakeTarget{exchange: func(_ *fakeConnection, c Command) (Reply, error) { return l.exchange(name, c) }}
	}
	l.engine = newReaderEngine(targets["a"])
	route := l.engine.configuration.Routes["d"]
	route.Timeout, route.Objective = time.Minute, time.Minute
	l.engine.configuration.Routes["d"] = route
	g := l.engine.groups["g"]
	l.group, g.dialer = g, targets
	g.members["a"].pool.dialer, g.members["a"].control.dialer = targets, targets
	for _, name := range []string{"b", "c"} {
		g.setTarget(Target{Name: name, Group: "g", Slots: 5, Zone: "z"})
	}
	now := clock.SinceBoot()
	g.applyStatusRound(map[string]leadership.Status{"a": leads(1, 10, now), "b": follows(1, 10, now), "c": follows(1, 10, now)}, now)
	g.provenUntil = now + time.Hour
	return l
}

// servedReceiptLoad returns a receiptLoad that asks the replicas while commits wait.
func servedReceiptLoad(t *testing.T, received map[string]uint64) *receiptLoad {
	l := newReceiptLoad(received)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go l.group.serveReceipts(ctx)
	return l
}

func (l *receiptLoad) exchange(name string, c Command) (Reply, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if c.Op == OpStatus {
		l.asked[name]++
		offset, answers := l.received[name]
		if !answers {
			return Reply{}, errLost
		}
		return Reply{Status: follows(1, offset, 0)}, nil
	}
	state := StateIdle
	if c.Op == OpBegin || c.ID == "inside" {
		state = StateOpen
	}
	return Reply{Signature: "s", State: state, Position: api.Position{Term: 1, Offset: commitOffset}}, nil
}

// commits runs a single write and a transaction, and returns the codes of the write and the commit.
func (l *receiptLoad) commits() map[string]result.Code {
	caller := &scriptedCaller{statements: []Statement{
		{ID: "single", Op: OpWrite, Text: "w"},
		{ID: "begin", Op: OpBegin}, {ID: "inside", Op: OpWrite, Text: "w"}, {ID: "commit", Op: OpCommit, Text: "COMMIT"},
	}}
	l.engine.Serve(caller, "d", callers.Identity{})
	return map[string]result.Code{"a write": codeIn(caller.answers[0]), "a transaction": codeIn(caller.answers[3])}
}

// TestCommitIsConfirmedByAListedReplica guards against the success of a commit that only a replica has received which
// the daemon, and each promoter, does not know. The primary has acknowledged it within a valid leadership proof.
func TestCommitIsConfirmedByAListedReplica(t *testing.T) {
	for _, c := range []struct {
		name        string
		received    map[string]uint64
		unfollowed  time.Duration
		leaving     string
		wantUnknown bool
	}{
		{name: "both have it", received: map[string]uint64{"b": 11, "c": 12}},
		{name: "the one that is asked later has it", received: map[string]uint64{"b": 10, "c": 11}},
		{name: "the other one does not answer", received: map[string]uint64{"c": 11}},
		{name: "none has it", received: map[string]uint64{"b": 10, "c": 10}, wantUnknown: true},
		{name: "none answers", received: map[string]uint64{}, wantUnknown: true},
		{name: "only one that leaves has it", received: map[string]uint64{"b": 10, "c": 11}, leaving: "c", wantUnknown: true},
		{name: "one has it, the entries are not followed", received: map[string]uint64{"b": 10, "c": 11}, unfollowed: maxUnlistedChain, wantUnknown: true},
		{name: "both have it, the entries are not followed", received: map[string]uint64{"b": 11, "c": 11}, unfollowed: maxUnlistedChain},
	} {
		l := servedReceiptLoad(t, c.received)
		l.group.directoryFailingFor = func() time.Duration { return c.unfollowed }
		if c.leaving != "" {
			l.group.setTarget(Target{Name: c.leaving, Group: "g", Slots: 5, Zone: "z", Leaving: true})
		}
		for what, code := range l.commits() {
			if (code == result.OutcomeUnknown) != c.wantUnknown || !c.wantUnknown && code != result.OK {
				t.Errorf("%s, %s: got %s, want an unknown outcome %t", c.name, what, code, c.wantUnknown)
			}
		}
	}
}

// TestReplicaIsAskedAgainUntilItHasTheCommit guards against commits in doubt beside a replica that receives them late.
func TestReplicaIsAskedAgainUntilItHasTheCommit(t *testing.T) {
	l := servedReceiptLoad(t, map[string]uint64{"b": 10, "c": 10})
	time.AfterFunc(100*time.Millisecond, func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.received["c"] = commitOffset
	})
	if codes := l.commits(); codes["a write"] != result.OK || codes["a transaction"] != result.OK {
		t.Errorf("got %v, want success once a replica has the commits", codes)
	}
}

// TestOneCallConfirmsTheCommitsThatWait guards against a status call for each commit.
func TestOneCallConfirmsTheCommitsThatWait(t *testing.T) {
	const writers = 20
	l := newReceiptLoad(map[string]uint64{"b": 11, "c": 11})
	l.group.mu.Lock()
	l.group.commits = commitWaits{count: writers, latest: api.Position{Term: 1, Offset: commitOffset}}
	l.group.mu.Unlock()
	var calls []func()
	l.group.inBackground = func(f func()) { calls = append(calls, f) }
	if wait := l.group.askReceivers(); wait <= 0 || len(calls) != 1 {
		t.Fatalf("%d commits wait: got %d calls and the next look in %s, want one call and another look", writers, len(calls), wait)
	}
	if l.group.askReceivers(); len(calls) != 1 {
		t.Errorf("a call is in progress: got %d calls, want one", len(calls))
	}
	calls[0]()
	if wait := l.group.askReceivers(); wait != 0 || len(calls) != 1 {
		t.Errorf("all are confirmed: got %d calls and the next look in %s, want one call and none", len(calls), wait)
	}
}

// TestHolderSaysThatACommitIsConfirmed covers what a holder tells the sender of a commit. A sender that is not told so,
// as by a holder of an older version, asks the replicas itself.
func TestHolderSaysThatACommitIsConfirmed(t *testing.T) {
	for _, received := range []uint64{10, 11} {
		l := servedReceiptLoad(t, map[string]uint64{"b": received, "c": received})
		request := relayRequest("g", "a", 0, execution{command: Command{ID: "w", Op: OpWrite, Text: "w"}, commits: true, needsProof: true,
			deadline: time.Now().Add(time.Minute), connectionRequest: connectionRequest{startBy: time.Now().Add(time.Minute), lateUntil: time.Now().Add(time.Minute)}})
		reply := l.engine.NewRelaySession("daemon-1").Run(request)
		if reply.NotRunCode != 0 || reply.CommitConfirmed != (received >= commitOffset) {
			t.Errorf("replicas end at %d, the commit at %d: got reply %+v, want it confirmed only if they have it", received, commitOffset, reply)
		}
	}
	l := servedReceiptLoad(t, map[string]uint64{"b": 10, "c": 10})
	outcome := outcomeOf(&api.RelayReply{Position: api.Position{Term: 1, Offset: commitOffset}}, clock.SinceBoot())
	deadline := time.Now().Add(proofTimeout)
	if l.group.awaitCommit(l.group.members["a"], 1, outcome, deadline) {
		t.Error("not confirmed by the holder nor by a replica: got it confirmed")
	}
	outcome.confirmed = true
	if !l.group.awaitCommit(l.group.members["a"], 1, outcome, deadline) {
		t.Error("confirmed by the holder: got it not confirmed")
	}
}

// TestCommitIsThePrimarysPartOfAProof covers which acknowledged commits count as the status of the primary in a
// leadership proof. It guards against a proof by the commit of a target that does not lead, leads another term, or has
// restarted.
func TestCommitIsThePrimarysPartOfAProof(t *testing.T) {
	committed := api.Position{Term: 1, Offset: commitOffset}
	for _, c := range []struct {
		name, target string
		position     api.Position
		restarted    bool
		want         bool
	}{
		{"the primary", "a", committed, false, true},
		{"another target", "c", committed, false, false},
		{"another term", "a", api.Position{Term: 2, Offset: 1}, false, false},
		{"no position", "a", api.Position{}, false, false},
		{"restarted since", "a", committed, true, false},
	} {
		g := newTestGroup(&fakeTarget{})
		before, asked := g.provenUntil, clock.SinceBoot()+100*time.Millisecond
		if c.restarted {
			g.members["a"].restartedAt = asked + time.Millisecond
		}
		g.recordLed(g.members[c.target], c.position, asked)
		g.applyStatusRound(map[string]leadership.Status{"b": follows(1, commitOffset, asked)}, asked)
		want := before
		if c.want {
			want = asked + leadership.ProofValidity
		}
		if g.provenUntil != want {
			t.Errorf("%s: got a proof until %s, want %s", c.name, g.provenUntil, want)
		}
		g.applyStatusRound(map[string]leadership.Status{"a": follows(1, commitOffset, asked+1), "b": follows(1, commitOffset, asked+1)}, asked+1)
		if g.provenUntil > want {
			t.Errorf("%s, it has stepped down since: got a proof until %s, want none after %s", c.name, g.provenUntil, want)
		}
	}
}
