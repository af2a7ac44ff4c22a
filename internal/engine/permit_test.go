package engine

import (
	"context"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/papayacove/papayacove/internal/clock"
	"github.com/papayacove/papayacove/internal/policy/callers"
	"github.com/papayacove/papayacove/internal/policy/currency"
	"github.com/papayacove/papayacove/internal/result"
)

// TestWhatWaitsIsNotSentWithoutKeyOrProof lets a statement wait for the only connection while its key is withdrawn, or
// the proof of the daemon becomes too old.
func TestWhatWaitsIsNotSentWithoutKeyOrProof(t *testing.T) {
	for name, c := range map[string]struct {
		change func(*Engine)
		want   result.Code
	}{
		"withdrawn": {func(e *Engine) { e.Configure(version(2, directoryOf(map[string][]string{"acme": {"key-a2"}}))) }, result.AuthenticationFailed},
		"moved": {func(e *Engine) {
			e.Configure(version(2, directoryOf(map[string][]string{"acme": {"key-a2"}, "bolt": {"key-a"}})))
		}, result.AuthenticationFailed},
		"frozen": {(*Engine).losesProof, result.NotRunUnproved},
	} {
		target := newKeyedTarget()
		target.hold = "first"
		e := newKeyedEngine(target)
		e.groups["g"].setLimits(GroupLimits{MaxConnections: 2}, daemonsNamed(1))
		first, _ := serveLive(t, e, "key-a2")
		second, ended := serveLive(t, e, "key-a")
		first.statements <- Statement{ID: "first", Op: OpRead, Text: "r"}
		<-target.held
		second.statements <- Statement{ID: "second", Op: OpRead, Text: "r"}
		awaitTrue(t, "the statement waits", func() bool { return e.groups["g"].members["a"].pool.queue.Waiting() == 1 })
		c.change(e)
		close(target.release)
		if code := codeIn(<-second.answers); code != c.want || target.has("second") {
			t.Errorf("%s: got %s, sent %t, want %s and nothing sent", name, code, target.has("second"), c.want)
		}
		if code := codeIn(<-first.answers); code != result.OK {
			t.Errorf("%s: the statement that ran got %s, want success", name, code)
		}
		if c.want == result.AuthenticationFailed {
			awaitEnd(t, ended)
		}
	}
}

// TestWhatWaitsAtAHolderIsNotSent lets a statement wait at the holder of its target while its key is withdrawn in the whole
// deployment.
func TestWhatWaitsAtAHolderIsNotSent(t *testing.T) {
	target := newKeyedTarget()
	n, engines := newKeyedEngines(target)
	sender := senderOf(n, engines)
	holder, _ := holderOf(sender)
	g := n.engines[holder].groups["g"]
	queue := g.gateOf(g.members["a"]).statements
	later := time.Now().Add(time.Hour)
	for queue.Running() < queue.Slots() {
		queue.Offer(connectionRequest{startBy: later, lateUntil: later}.item(), time.Now())
	}
	caller, ended := serveLive(t, sender, "key-a")
	caller.statements <- Statement{ID: "1", Op: OpWrite, Text: "w"}
	awaitTrue(t, "the statement waits at the holder", func() bool { return queue.Waiting() == 1 })
	for _, e := range engines {
		e.setCallers(directoryOf(map[string][]string{"acme": {"key-a2"}}))
	}
	queue.Release("", time.Now(), time.Millisecond)
	if code := codeIn(<-caller.answers); code != result.AuthenticationFailed || target.has("1") {
		t.Errorf("got %s, sent %t, want AuthenticationFailed and nothing sent", code, target.has("1"))
	}
	awaitEnd(t, ended)
}

// TestHolderChecksByItself gives the holder of a target a configuration without the key, as an older or a newer one may
// be, or no proof: it sends nothing, and the standby serves the statement.
func TestHolderChecksByItself(t *testing.T) {
	for name, change := range map[string]func(*Engine){
		"unknown key": func(e *Engine) { e.setCallers(directoryOf(map[string][]string{"bolt": {"key-b"}})) },
		"moved key":   func(e *Engine) { e.setCallers(directoryOf(map[string][]string{"bolt": {"key-a"}})) },
		"no proof":    (*Engine).losesProof,
	} {
		target, atHolder := newKeyedTarget(), newKeyedTarget()
		n, engines := newKeyedEngines(target)
		sender := senderOf(n, engines)
		holder, standby := holderOf(sender)
		n.engines[holder].groups["g"].dialer = atHolder
		change(n.engines[holder])
		caller := &scriptedCaller{statements: []Statement{{ID: "1", Op: OpRead, Text: "r"}}}
		sender.Serve(caller, "d", identityOf(t, sender, "key-a"))
		if code := codeIn(caller.answers[0]); code != result.OK || len(atHolder.operations()) > 0 {
			t.Errorf("%s: got %s, %d commands sent by the holder, want success and none", name, code, len(atHolder.operations()))
		}
		if n.engines[standby].groups["g"].members["a"].gate == nil {
			t.Errorf("%s: the standby was not asked", name)
		}
	}
}

// transactionOf are the statements of a transaction that writes, without its end.
func transactionOf() []Statement {
	return []Statement{{ID: "1", Op: OpBegin}, {ID: "2", Op: OpWrite, Text: "w"}, {ID: "3", Op: OpWrite, Text: "w"}, {ID: "4", Op: OpCommit, Text: "COMMIT"}}
}

// TestTransactionEndsWithItsKey withdraws a key, and loses the proof, within transactions, before a write and before the
// commit, directly and through a holder: the target gets neither, and a rollback in no caller's name.
func TestTransactionEndsWithItsKey(t *testing.T) {
	withdraw := func(e *Engine) { e.setCallers(directoryOf(map[string][]string{"acme": {"key-a2"}})) }
	for _, c := range []struct {
		name    string
		after   int
		change  func(*Engine)
		relayed bool
		want    result.Code
	}{
		{"withdrawn before a write", 2, withdraw, false, result.AuthenticationFailed},
		{"withdrawn before the commit", 3, withdraw, false, result.AuthenticationFailed},
		{"withdrawn before the commit through a holder", 3, withdraw, true, result.AuthenticationFailed},
		{"unproved before a write", 2, (*Engine).losesProof, false, result.NotRunUnproved},
		{"unproved before a write through a holder with a proof", 2, (*Engine).losesProof, true, result.NotRunUnproved},
		{"unproved before the commit", 3, (*Engine).losesProof, false, result.TransactionLost},
		{"unproved before the commit through a holder with a proof", 3, (*Engine).losesProof, true, result.TransactionLost},
	} {
		target := newKeyedTarget()
		e := newKeyedEngine(target)
		if c.relayed {
			e = senderOf(newKeyedEngines(target))
		}
		caller := &stoppingCaller{scriptedCaller: scriptedCaller{statements: transactionOf()}, after: c.after, stop: func() { c.change(e) }}
		e.Serve(caller, "d", identityOf(t, e, "key-a"))
		answer := caller.answers[c.after]
		if code := codeIn(answer); code != c.want {
			t.Errorf("%s: got %s, want %s", c.name, code, c.want)
		}
		if id := caller.statements[c.after].ID; target.has(id) || slices.Contains(target.operations(), OpCommit) {
			t.Errorf("%s: statement %s or a commit was sent", c.name, id)
		}
		if c.want == result.AuthenticationFailed && (len(caller.answers) != c.after+1 || answer.State != StateIdle) {
			t.Errorf("%s: got %d answers, the last in state %d, want the session to end after %d, outside a transaction", c.name, len(caller.answers), answer.State, c.after+1)
		}
		awaitTrue(t, c.name+": nothing is open", func() bool {
			operations := target.operations()
			return operations[len(operations)-1] == OpRollback || target.isClosed()
		})
	}
}

// TestRollbackOfAnUnprovedCallerHasNoId ends a transaction by the caller's own rollback while there is no proof: the target
// gets a rollback of the daemon, or the end of the connection.
func TestRollbackOfAnUnprovedCallerHasNoId(t *testing.T) {
	for name, relayed := range map[string]bool{"direct": false, "through a holder": true} {
		target := newKeyedTarget()
		e := newKeyedEngine(target)
		if relayed {
			e = senderOf(newKeyedEngines(target))
		}
		statements := transactionOf()
		statements[3] = Statement{ID: "4", Op: OpRollback, Text: "ROLLBACK"}
		caller := &stoppingCaller{scriptedCaller: scriptedCaller{statements: statements}, after: 3, stop: e.losesProof}
		e.Serve(caller, "d", identityOf(t, e, "key-a"))
		if code := codeIn(caller.answers[3]); code != result.OK || target.has("4") || !slices.Contains(target.operations(), OpRollback) {
			t.Errorf("%s: got %s, sent with the caller's id %t, operations %v, want success and a rollback without the id", name, code, target.has("4"), target.operations())
		}
	}
}

// isClosed reports whether no connection is open.
func (t *keyedTarget) isClosed() bool {
	t.fakeTarget.mu.Lock()
	defer t.fakeTarget.mu.Unlock()
	return t.open == 0
}

// TestHolderThatLosesItsProofEndsTransactions takes the proof, or the key, from the holder of an open transaction only.
// The caller is told that nothing is kept, and the holder rolls back.
func TestHolderThatLosesItsProofEndsTransactions(t *testing.T) {
	for name, change := range map[string]func(*Engine){
		"no proof": (*Engine).losesProof,
		"no key":   func(e *Engine) { e.setCallers(directoryOf(map[string][]string{"bolt": {"key-b"}})) },
	} {
		for after := 2; after <= 3; after++ {
			target := newKeyedTarget()
			n, engines := newKeyedEngines(target)
			sender := senderOf(n, engines)
			holder, _ := holderOf(sender)
			caller := &stoppingCaller{scriptedCaller: scriptedCaller{statements: transactionOf()}, after: after, stop: func() { change(n.engines[holder]) }}
			sender.Serve(caller, "d", identityOf(t, sender, "key-a"))
			if code := codeIn(caller.answers[after]); code != result.TransactionLost || slices.Contains(target.operations(), OpCommit) {
				t.Errorf("%s, statement %d: got %s and operations %v, want TransactionLost and no commit", name, after+1, code, target.operations())
			}
			if open := n.engines[holder].relayed.Load(); open != 0 || !slices.Contains(target.operations(), OpRollback) {
				t.Errorf("%s, statement %d: got %d open transactions at the holder, want it rolled back", name, after+1, open)
			}
		}
	}
}

// TestNothingIsServedWithoutProof follows a daemon from its start, without a proof, to its first proof and to a freeze.
func TestNothingIsServedWithoutProof(t *testing.T) {
	target := newKeyedTarget()
	e := newKeyedEngine(target)
	e.proof, e.proved, e.provedOnce = currency.Proof{}, make(chan struct{}), sync.Once{}
	expectUnproved := func(when string) {
		t.Helper()
		_, refusal := e.Identify("d", callers.DigestOf("key-a"), time.Millisecond)
		if refusal == nil || refusal.Code != result.NotRunUnproved || refusal.RetryAfter <= 0 {
			t.Errorf("%s: got refusal %+v, want NotRunUnproved with the time to come back", when, refusal)
		}
		if e.IsReady() {
			t.Errorf("%s: the daemon is ready", when)
		}
	}
	expectUnproved("after a start")
	if target.dialed > 0 {
		t.Errorf("got %d connections without a proof, want none", target.dialed)
	}
	e.RecordConfigurationProof(clock.SinceBoot())
	identity := identityOf(t, e, "key-a")
	if !e.IsReady() {
		t.Error("the daemon with a proof is not ready")
	}
	caller := &stoppingCaller{scriptedCaller: scriptedCaller{statements: []Statement{
		{ID: "1", Op: OpRead, Text: "r"}, {ID: "2", Op: OpRead, Text: "r"}, {ID: "3", Op: OpBegin}, {ID: "4", Op: OpSet, Name: "a", Argument: "b"},
	}}, after: 1, stop: e.losesProof}
	e.Serve(caller, "d", identity)
	for i, want := range []result.Code{result.OK, result.NotRunUnproved, result.NotRunUnproved, result.OK} {
		if code := codeIn(caller.answers[i]); code != want {
			t.Errorf("statement %d: got %s, want %s", i+1, code, want)
		}
	}
	if target.has("2") {
		t.Error("a statement was sent without a proof")
	}
	expectUnproved("after a freeze")
	e.RecordConfigurationProof(clock.SinceBoot())
	if !e.IsReady() {
		t.Error("the daemon with a new proof is not ready")
	}
}

// TestIdleSessionsStayOnceThereIsAProof gets a proof while the idle sessions of a daemon without one are being closed: the
// others stay.
func TestIdleSessionsStayOnceThereIsAProof(t *testing.T) {
	e := newKeyedEngine(newKeyedTarget())
	for range 3 {
		serveLive(t, e, "key-a")
	}
	awaitTrue(t, "all sessions are open", func() bool { return len(e.openSessions()) == 3 })
	e.losesProof()
	asked := 0
	e.closeIdleSessions(context.Background(), time.Millisecond, func() bool {
		if asked++; asked == 2 {
			e.RecordConfigurationProof(clock.SinceBoot())
		}
		return e.isUnproved()
	})
	awaitTrue(t, "one session has ended", func() bool { return len(e.openSessions()) == 2 })
	if asked != 2 {
		t.Errorf("got %d sessions closed, want one", asked-1)
	}
}

// TestOpenRoutesNeedNoProof serves a route that is open to all, and a deployment without workspaces, without a proof.
func TestOpenRoutesNeedNoProof(t *testing.T) {
	for name, change := range map[string]func(*Configuration){
		"public route":  func(c *Configuration) { c.Routes["d"] = publicRoute() },
		"no workspaces": func(c *Configuration) { c.Callers = nil },
	} {
		target := newKeyedTarget()
		e := newKeyedEngine(target)
		e.losesProof()
		change(&e.configuration)
		caller := &scriptedCaller{statements: []Statement{{ID: "1", Op: OpRead, Text: "r"}}}
		identity := identityOf(t, e, "key-x")
		if identity.Workspace != "" {
			t.Errorf("%s: got workspace %q, want none", name, identity.Workspace)
		}
		e.Serve(caller, "d", identity)
		if code := codeIn(caller.answers[0]); code != result.OK || !slices.Equal(target.toldWorkspaces(), []string{""}) {
			t.Errorf("%s: got %s, target told %q, want success in no particular name", name, code, target.toldWorkspaces())
		}
	}
}

func publicRoute() Route {
	r := strictRoute
	r.IsPublic = true
	return r
}
