package engine

import (
	"context"
	"fmt"
	"io"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/papayacove/papayacove/api"
	"github.com/papayacove/papayacove/internal/clock"
	"github.com/papayacove/papayacove/internal/policy/callers"
	"github.com/papayacove/papayacove/internal/policy/currency"
	"github.com/papayacove/papayacove/internal/result"
)

// revokeWithin is the bound of withdrawn keys in tests. It is long, so that a proof of now is recent throughout a test.
const revokeWithin = time.Hour

// keyedTarget records in whose name it is connected to, and which commands of callers reach it.
type keyedTarget struct {
	*fakeTarget
	mu         sync.Mutex
	workspaces []string
	sent       []Command
	// hold blocks the command with the given id until release is closed; empty for none.
	hold    string
	held    chan struct{}
	release chan struct{}
}

func newKeyedTarget() *keyedTarget {
	t := &keyedTarget{fakeTarget: &fakeTarget{}, held: make(chan struct{}), release: make(chan struct{})}
	t.exchange = t.run
	return t
}

func (t *keyedTarget) Dial(ctx context.Context, target Target, workspace string) (Connection, error) {
	t.mu.Lock()
	t.workspaces = append(t.workspaces, workspace)
	t.mu.Unlock()
	return t.fakeTarget.Dial(ctx, target, workspace)
}

// run answers a command. A transaction is open from its begin to its end.
func (t *keyedTarget) run(_ *fakeConnection, c Command) (Reply, error) {
	t.mu.Lock()
	t.sent = append(t.sent, c)
	t.mu.Unlock()
	if c.ID != "" && c.ID == t.hold {
		close(t.held)
		<-t.release
	}
	state := StateOpen
	if c.Op == OpCommit || c.Op == OpRollback || c.Op == OpRead {
		state = StateIdle
	}
	return Reply{Signature: "s", State: state, Position: api.Position{Term: 1, Offset: 1}}, nil
}

// has reports whether a command with the id was sent.
func (t *keyedTarget) has(id string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.ContainsFunc(t.sent, func(c Command) bool { return c.ID == id })
}

// operations returns the operations that were sent.
func (t *keyedTarget) operations() []Operation {
	t.mu.Lock()
	defer t.mu.Unlock()
	var all []Operation
	for _, c := range t.sent {
		all = append(all, c.Op)
	}
	return all
}

// toldWorkspaces returns the workspaces that were named to the target, each once.
func (t *keyedTarget) toldWorkspaces() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	all := slices.Clone(t.workspaces)
	slices.Sort(all)
	return slices.Compact(all)
}

// directoryOf returns a directory with keys by workspace.
func directoryOf(keys map[string][]string) *callers.Directory {
	var workspaces []callers.Workspace
	for name, held := range keys {
		workspaces = append(workspaces, callers.Workspace{Name: name, Keys: held})
	}
	return callers.NewDirectory(workspaces)
}

// twoWorkspaces is the directory of most tests.
func twoWorkspaces() *callers.Directory {
	return directoryOf(map[string][]string{"acme": {"key-a", "key-a2"}, "bolt": {"key-b"}})
}

// version returns the configuration of tests with other keys.
func version(number uint64, directory *callers.Directory) Configuration {
	return Configuration{Version: number, Routes: map[string]Route{"d": strictRoute}, Callers: directory}
}

// newKeyedEngine returns an engine whose callers have keys, with a proof.
func newKeyedEngine(target Dialer) *Engine {
	e := newTestEngine(&fakeTarget{})
	e.tellCallersApart(target)
	return e
}

// tellCallersApart gives an engine that is not used yet another target, keys of callers and a proof.
func (e *Engine) tellCallersApart(target Dialer) {
	g := e.groups["g"]
	g.dialer, g.members["a"].pool.dialer = target, target
	e.mu.Lock()
	e.options.RevokeWithin = revokeWithin
	e.configuration.Routes, e.configuration.Callers = version(1, nil).Routes, twoWorkspaces()
	e.mu.Unlock()
	close(e.configured)
	e.RecordConfigurationProof(clock.SinceBoot())
}

// losesProof gives an engine a proof that is as old as the bound, as after the process was suspended.
func (e *Engine) losesProof() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.proof = currency.Proof{}
	e.proof.Record(clock.SinceBoot() - revokeWithin)
}

// identityOf identifies a caller, which must succeed.
func identityOf(t *testing.T, e *Engine, key string) callers.Identity {
	t.Helper()
	identity, refusal := e.Identify("d", callers.DigestOf(key), time.Second)
	if refusal != nil {
		t.Fatalf("identify: %s", refusal.Reason)
	}
	return identity
}

// liveCaller sends the statements that a test gives it.
type liveCaller struct {
	statements chan Statement
	answers    chan Answer
	closed     chan struct{}
	once       sync.Once
}

// serveLive opens a session of a live caller. ended is closed when the session has ended.
func serveLive(t *testing.T, e *Engine, key string) (caller *liveCaller, ended chan struct{}) {
	t.Helper()
	caller = &liveCaller{statements: make(chan Statement), answers: make(chan Answer, 100), closed: make(chan struct{})}
	ended = make(chan struct{})
	identity := identityOf(t, e, key)
	go func() {
		e.Serve(caller, "d", identity)
		close(ended)
	}()
	awaitTrue(t, "the session is open", func() bool { return len(e.openSessions()) > 0 })
	return caller, ended
}

func (c *liveCaller) Next(time.Time) (Statement, error) {
	select {
	case s := <-c.statements:
		return s, nil
	case <-c.closed:
		return Statement{}, io.EOF
	}
}

func (c *liveCaller) Answer(a Answer) error {
	c.answers <- a
	return nil
}

func (c *liveCaller) Close() error {
	c.once.Do(func() { close(c.closed) })
	return nil
}

// ask sends a statement and returns the code of its answer.
func (c *liveCaller) ask(s Statement) result.Code {
	c.statements <- s
	return codeIn(<-c.answers)
}

func codeIn(a Answer) result.Code {
	if a.Refusal == nil {
		return result.OK
	}
	return a.Refusal.Code
}

// waitLimit bounds the wait for something that must happen.
const waitLimit = 20 * time.Second

// awaitTrue waits until a condition holds.
func awaitTrue(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for until := time.Now().Add(waitLimit); !holds(); time.Sleep(time.Millisecond) {
		if time.Now().After(until) {
			t.Fatalf("waited in vain until %s", what)
		}
	}
}

// awaitEnd waits until a session has ended.
func awaitEnd(t *testing.T, ended chan struct{}) {
	t.Helper()
	select {
	case <-ended:
	case <-time.After(waitLimit):
		t.Fatal("the session goes on, want it ended")
	}
}

// TestUnknownKeyReachesNoTarget opens sessions with keys that no workspace holds.
func TestUnknownKeyReachesNoTarget(t *testing.T) {
	target := newKeyedTarget()
	e := newKeyedEngine(target)
	for name, key := range map[string]callers.KeyDigest{"unknown": callers.DigestOf("key-x"), "none": {}, "empty": callers.DigestOf("")} {
		_, refusal := e.Identify("d", key, time.Second)
		if refusal == nil || refusal.Code != result.AuthenticationFailed {
			t.Errorf("%s key: got refusal %+v, want AuthenticationFailed", name, refusal)
		}
	}
	if _, refusal := e.Identify("x", callers.DigestOf("key-a"), time.Second); refusal == nil || refusal.Code != result.UnknownWorkspace {
		t.Errorf("database without a route: got refusal %+v, want UnknownWorkspace", refusal)
	}
	if target.dialed > 0 {
		t.Errorf("got %d connections to the target, want none", target.dialed)
	}
}

// TestTargetIsToldTheWorkspace serves callers of two workspaces, directly and through holders: connections are opened in
// their names, and no request between daemons holds a key.
func TestTargetIsToldTheWorkspace(t *testing.T) {
	target := newKeyedTarget()
	e := newKeyedEngine(target)
	for _, key := range []string{"key-a", "key-b"} {
		caller := &scriptedCaller{statements: []Statement{{ID: key, Op: OpRead, Text: "r"}}}
		e.Serve(caller, "d", identityOf(t, e, key))
		if code := codeIn(caller.answers[0]); code != result.OK {
			t.Errorf("%s: got %s, want success", key, code)
		}
	}
	if told := target.toldWorkspaces(); !slices.Equal(told, []string{"acme", "bolt"}) {
		t.Errorf("directly: the target was told %q, want acme and bolt", told)
	}
	target = newKeyedTarget()
	n, engines := newKeyedEngines(target)
	sender := senderOf(n, engines)
	sender.Serve(&scriptedCaller{statements: []Statement{{ID: "1", Op: OpRead, Text: "r"}}}, "d", identityOf(t, sender, "key-a"))
	if told := target.toldWorkspaces(); !slices.Equal(told, []string{"acme"}) || !target.has("1") {
		t.Errorf("through a holder: the target was told %q, want acme", told)
	}
}

// newKeyedEngines returns ten engines that use one target through holders, whose callers have keys, each with a proof.
func newKeyedEngines(target Dialer) (*relayNetwork, []*Engine) {
	n, engines := newRelayedEngines(&fakeTarget{}, 10, scarceLimits, strictRoute)
	for _, e := range engines {
		e.tellCallersApart(target)
	}
	return n, engines
}

// senderOf returns an engine that is neither the holder of the target nor a standby.
func senderOf(n *relayNetwork, engines []*Engine) *Engine {
	g := engines[0].groups["g"]
	holders := g.holdersOf(g.members["a"])
	for _, e := range engines {
		if !slices.ContainsFunc(holders, func(h holder) bool { return n.engines[h.address] == e }) {
			return e
		}
	}
	panic("all daemons are holders")
}

// TestWithdrawnKeyEndsIdleSessions withdraws a key from idle sessions: they are closed when the configuration comes into
// force, and those of other keys, also of the same workspace, go on.
func TestWithdrawnKeyEndsIdleSessions(t *testing.T) {
	target := newKeyedTarget()
	e := newKeyedEngine(target)
	_, firstEnded := serveLive(t, e, "key-a")
	_, secondEnded := serveLive(t, e, "key-a")
	other, _ := serveLive(t, e, "key-a2")
	awaitTrue(t, "all sessions are open", func() bool { return len(e.openSessions()) == 3 })
	e.Configure(version(2, directoryOf(map[string][]string{"acme": {"key-a2"}, "bolt": {"key-b"}})))
	awaitEnd(t, firstEnded)
	awaitEnd(t, secondEnded)
	if code := other.ask(Statement{ID: "1", Op: OpRead, Text: "r"}); code != result.OK {
		t.Errorf("session of another key: got %s, want success", code)
	}
}

// TestWithdrawnKeyRefusesTheNextStatement withdraws the key of a session that is not closed in time: its next statement
// is refused and the session ends.
func TestWithdrawnKeyRefusesTheNextStatement(t *testing.T) {
	target := newKeyedTarget()
	e := newKeyedEngine(target)
	caller := &stoppingCaller{scriptedCaller: scriptedCaller{statements: []Statement{
		{ID: "1", Op: OpRead, Text: "r"}, {ID: "2", Op: OpRead, Text: "r"}, {ID: "3", Op: OpRead, Text: "r"},
	}}, after: 1, stop: func() { e.setCallers(directoryOf(map[string][]string{"bolt": {"key-b"}})) }}
	e.Serve(caller, "d", identityOf(t, e, "key-a"))
	if len(caller.answers) != 2 || codeIn(caller.answers[1]) != result.AuthenticationFailed || target.has("2") {
		t.Errorf("got answers %+v, want a second one of AuthenticationFailed, nothing sent and the end of the session", caller.answers)
	}
}

// TestWithdrawnKeyEndsSessionsAfterTheirStatement withdraws a key while a statement runs at the target, and while a session
// is being opened: the statement is answered, and both sessions end without another one.
func TestWithdrawnKeyEndsSessionsAfterTheirStatement(t *testing.T) {
	target := newKeyedTarget()
	target.hold = "1"
	e := newKeyedEngine(target)
	late := identityOf(t, e, "key-a")
	busy, busyEnded := serveLive(t, e, "key-a")
	busy.statements <- Statement{ID: "1", Op: OpRead, Text: "r"}
	<-target.held
	e.setCallers(directoryOf(map[string][]string{"bolt": {"key-b"}}))
	close(target.release)
	if code := codeIn(<-busy.answers); code != result.OK {
		t.Errorf("statement that ran at the target: got %s, want success", code)
	}
	awaitEnd(t, busyEnded)
	opened := make(chan struct{})
	go func() {
		e.Serve(&liveCaller{closed: make(chan struct{})}, "d", late)
		close(opened)
	}()
	awaitEnd(t, opened)
}

// setCallers replaces the keys in force, without the closing of sessions that Configure does.
func (e *Engine) setCallers(directory *callers.Directory) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.configuration.Callers = directory
}

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

// TestRouteBecomesPublicAndBack changes whether a route is open to all while a session is open: it applies from the next
// statement.
func TestRouteBecomesPublicAndBack(t *testing.T) {
	target := newKeyedTarget()
	e := newKeyedEngine(target)
	set := func(route Route) {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.configuration.Routes = map[string]Route{"d": route}
	}
	set(publicRoute())
	known, _ := serveLive(t, e, "key-a")
	unknown, ended := serveLive(t, e, "key-x")
	read := Statement{ID: "1", Op: OpRead, Text: "r"}
	if code := unknown.ask(read); code != result.OK {
		t.Errorf("unknown key on a public route: got %s, want success", code)
	}
	set(strictRoute)
	if code := known.ask(read); code != result.OK || !slices.Equal(target.toldWorkspaces(), []string{"", "acme"}) {
		t.Errorf("known key once the route is not public: got %s, target told %q, want success as acme", code, target.toldWorkspaces())
	}
	if code := unknown.ask(read); code != result.AuthenticationFailed {
		t.Errorf("unknown key once the route is not public: got %s, want AuthenticationFailed", code)
	}
	awaitEnd(t, ended)
	set(publicRoute())
	if code := known.ask(read); code != result.OK {
		t.Errorf("known key once the route is public again: got %s, want success", code)
	}
}

// TestKeyThatMovesEndsTheSession gives the key of an open session to another workspace.
func TestKeyThatMovesEndsTheSession(t *testing.T) {
	e := newKeyedEngine(newKeyedTarget())
	caller, ended := serveLive(t, e, "key-a")
	e.setCallers(directoryOf(map[string][]string{"bolt": {"key-a"}}))
	if code := caller.ask(Statement{ID: "1", Op: OpRead, Text: "r"}); code != result.AuthenticationFailed {
		t.Errorf("got %s, want AuthenticationFailed", code)
	}
	awaitEnd(t, ended)
}

// TestOlderConfigurationGivesNoKeyBack offers a configuration that goes back, as a store restored from a copy does.
func TestOlderConfigurationGivesNoKeyBack(t *testing.T) {
	e := newKeyedEngine(newKeyedTarget())
	e.Configure(version(3, directoryOf(map[string][]string{"bolt": {"key-b"}})))
	e.Configure(version(2, twoWorkspaces()))
	if _, refusal := e.Identify("d", callers.DigestOf("key-a"), time.Second); refusal == nil || refusal.Code != result.AuthenticationFailed {
		t.Errorf("got refusal %+v, want AuthenticationFailed", refusal)
	}
}

// TestSessionMetricsAreBounded counts the sessions of more workspaces than are named.
func TestSessionMetricsAreBounded(t *testing.T) {
	counts := make(map[string]int)
	for i := range namedWorkspaces + 10 {
		counts[fmt.Sprintf("w%02d", i)] = i + 1
	}
	got := largest(counts, namedWorkspaces)
	if len(got) != namedWorkspaces+1 || got["w29"] != 30 || got[otherWorkspaces] != 55 {
		t.Errorf("got %d names, %d sessions of the largest and %d of the rest, want %d, 30 and 55", len(got), got["w29"], got[otherWorkspaces], namedWorkspaces+1)
	}
}
