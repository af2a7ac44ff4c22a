package engine

import (
	"fmt"
	"io"
	"strings"
	"sync"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/papayacove/papayacove/api"
	"github.com/papayacove/papayacove/internal/clock"
	"github.com/papayacove/papayacove/internal/policy/admission"
	"github.com/papayacove/papayacove/internal/policy/callers"
	"github.com/papayacove/papayacove/internal/policy/leadership"
	"github.com/papayacove/papayacove/internal/result"
)

// pinnedTargets are the targets of two groups. They record statements that run in another caller's transaction, in none, or
// at the target of another caller. The id of a statement begins with its caller and the target.
type pinnedTargets struct {
	mu sync.Mutex
	// acting is the caller whose session is at work, which a command without an id belongs to.
	acting string
	// fault is what the next statement meets: "lost" ends its connection before it runs, "closed" ends the transaction
	// although the statement is answered.
	fault string
	// owners are the callers of the open transactions, writes the ids that ran in them.
	owners    map[*fakeConnection]string
	writes    map[*fakeConnection][]string
	committed map[string]bool
	breaches  []string
}

func newPinnedTargets() *pinnedTargets {
	return &pinnedTargets{owners: map[*fakeConnection]string{}, writes: map[*fakeConnection][]string{}, committed: map[string]bool{}}
}

// target returns the target of a name.
func (p *pinnedTargets) target(name string) *fakeTarget {
	return &fakeTarget{
		exchange: func(conn *fakeConnection, c Command) (Reply, error) { return p.exchange(name, conn, c) },
		closed: func(conn *fakeConnection) {
			p.mu.Lock()
			defer p.mu.Unlock()
			p.end(conn)
		},
	}
}

// end ends the transaction of a connection. The caller holds the lock.
func (p *pinnedTargets) end(conn *fakeConnection) {
	delete(p.owners, conn)
	delete(p.writes, conn)
}

func (p *pinnedTargets) exchange(target string, conn *fakeConnection, c Command) (Reply, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	caller := p.acting
	if c.ID != "" {
		caller, _, _ = strings.Cut(c.ID, " ")
	}
	owner, open := p.owners[conn]
	switch {
	case !strings.HasSuffix(caller, "@"+target):
		p.breaches = append(p.breaches, fmt.Sprintf("%s %q of %s ran at %s", c.Op, c.ID, caller, target))
	case c.Op.beginsTransaction() && !open:
		p.owners[conn], owner = caller, caller
	case owner != caller:
		p.breaches = append(p.breaches, fmt.Sprintf("%s %q of %s ran in the transaction of %q", c.Op, c.ID, caller, owner))
	}
	fault := p.fault
	p.fault = ""
	if fault == "lost" {
		p.end(conn)
		return Reply{}, errLost
	}
	return p.run(conn, c, fault == "closed"), nil
}

// run runs a command in the transaction of the connection. The caller holds the lock.
func (p *pinnedTargets) run(conn *fakeConnection, c Command, closes bool) Reply {
	state := StateOpen
	switch c.Op {
	case OpWrite:
		p.writes[conn] = append(p.writes[conn], c.ID)
	case OpCommit:
		for _, id := range p.writes[conn] {
			p.committed[id] = true
		}
	}
	if closes || c.Op == OpCommit || c.Op == OpRollback {
		p.end(conn)
		state = StateIdle
	}
	return Reply{Signature: "s", State: state, Position: api.Position{Term: 1, Offset: 1}}
}

// steppedCaller sends one statement at a time, when the test says so.
type steppedCaller struct {
	name       string
	statements chan Statement
	answers    chan Answer
	ended      chan struct{}
	sent       int
	// writes are the ids of the writes that were answered with success.
	writes []string
}

func (c *steppedCaller) Next(time.Time) (Statement, error) {
	s, ok := <-c.statements
	if !ok {
		return Statement{}, io.EOF
	}
	return s, nil
}

func (c *steppedCaller) Answer(a Answer) error {
	c.answers <- a
	return nil
}

func (c *steppedCaller) NextArrived() (Statement, error) { return Statement{}, ErrIdle }

func (c *steppedCaller) Interrupt() {}

func (c *steppedCaller) Close() error { return nil }

// pinnedWorld is a sender, the daemons that hold targets of two groups for it, and its callers.
type pinnedWorld struct {
	targets *pinnedTargets
	network *relayNetwork
	sender  *Engine
	fate    requestFate
	callers []*steppedCaller
	opened  int
}

// newPinnedWorld returns a world with the targets a and b. The sender itself is no holder of them if relayed is true.
func newPinnedWorld(relayed bool, timeout time.Duration) *pinnedWorld {
	limits := GroupLimits{MaxConnections: 100, SyncReplicas: 1}
	w := &pinnedWorld{targets: newPinnedTargets()}
	targetA, targetB := w.targets.target("a"), w.targets.target("b")
	network, engines := newRelayedEngines(targetA, 2, limits, strictRoute)
	w.network, w.sender = network, engines[0]
	held := engines[0]
	if relayed {
		held = engines[1]
	}
	now := clock.SinceBoot()
	routeA := strictRoute
	routeA.Database, routeA.Timeout, routeA.Objective = "a", timeout, timeout/2
	routeB := routeA
	routeB.Name, routeB.Database, routeB.Group = "rb", "b", "h"
	for _, e := range engines {
		e.configuration.Routes = map[string]Route{"a": routeA, "b": routeB}
		e.configuration.Groups["h"] = limits
		a := e.groups["g"]
		b := newGroup("h", e.options, func() bool { return true })
		b.dialer, b.peers, b.inBackground = targetB, e.peers, atOnce
		e.groups["h"] = b
		b.setLimits(limits, a.daemons)
		b.setTarget(Target{Name: "b", Group: "h", Slots: 2, Zone: "z"})
		b.applyStatusRound(map[string]leadership.Status{"b": leads(1, 0, now)}, now)
		b.addReceiver()
		b.provenUntil = now + time.Hour
		for _, m := range []*member{a.members["a"], b.members["b"]} {
			m.holders = []holder{{address: held.options.Name, isSelf: held == e}}
			m.holdersFrom, m.holdersZone = a.daemons, m.target.Zone
		}
	}
	network.fate = func(string) requestFate {
		fate := w.fate
		w.fate = delivered
		return fate
	}
	return w
}

// open starts a session of a new caller at a target.
func (w *pinnedWorld) open(target string) *steppedCaller {
	w.opened++
	c := &steppedCaller{
		name: fmt.Sprintf("caller-%d@%s", w.opened, target), statements: make(chan Statement), answers: make(chan Answer), ended: make(chan struct{}),
	}
	go func() {
		defer close(c.ended)
		w.sender.Serve(c, target, callers.Identity{})
	}()
	w.callers = append(w.callers, c)
	return c
}

// act makes a caller the one whose session is at work.
func (w *pinnedWorld) act(c *steppedCaller) {
	w.targets.mu.Lock()
	defer w.targets.mu.Unlock()
	w.targets.acting = c.name
}

// step sends a statement and returns the code of its answer.
func (w *pinnedWorld) step(c *steppedCaller, op Operation) result.Code {
	w.act(c)
	c.sent++
	id := fmt.Sprintf("%s %d", c.name, c.sent)
	var a Answer
	select {
	case c.statements <- Statement{ID: id, Op: op, Text: op.String()}:
		a = <-c.answers
	case <-c.ended:
		return result.TransactionLost
	}
	if a.Refusal != nil {
		return a.Refusal.Code
	}
	if op == OpWrite {
		c.writes = append(c.writes, id)
	}
	return result.OK
}

// close ends the session of a caller.
func (w *pinnedWorld) close(c *steppedCaller) {
	w.act(c)
	close(c.statements)
	<-c.ended
}

// loseConnections ends the connections of the sender to the other daemons.
func (w *pinnedWorld) loseConnections() {
	for name := range w.network.engines {
		w.network.lose(w.sender.options.Name, name)
	}
}

// committedOf returns how many of the acknowledged writes of a caller are committed.
func (w *pinnedWorld) committedOf(c *steppedCaller) int {
	w.targets.mu.Lock()
	defer w.targets.mu.Unlock()
	count := 0
	for _, id := range c.writes {
		if w.targets.committed[id] {
			count++
		}
	}
	return count
}

// failOnBreach fails if a statement ran outside its transaction.
func (w *pinnedWorld) failOnBreach(t rapid.TB) {
	t.Helper()
	w.targets.mu.Lock()
	defer w.targets.mu.Unlock()
	for _, breach := range w.targets.breaches {
		t.Error(breach)
	}
	if len(w.targets.breaches) > 0 {
		t.FailNow()
	}
}

// TestReplacedConnectionsMixNoTransactions guards against statements in the transactions of other callers, and at other
// targets, after the connection to their holder was replaced.
func TestReplacedConnectionsMixNoTransactions(t *testing.T) {
	for _, later := range []string{"a", "b"} {
		t.Run("later transactions at "+later, func(t *testing.T) { replaceConnection(t, newPinnedWorld(true, 10*time.Second), later) })
	}
}

// replaceConnection replaces the connection to the holder of a while transactions are open there, and begins others at a
// target before they go on.
func replaceConnection(t *testing.T, w *pinnedWorld, later string) {
	w.network.fate = nil
	var first, second []*steppedCaller
	for range 2 {
		c := w.open("a")
		w.step(c, OpBegin)
		w.step(c, OpWrite)
		first = append(first, c)
	}
	w.loseConnections()
	for range 2 {
		c := w.open(later)
		w.step(c, OpBegin)
		if code := w.step(c, OpWrite); code != result.OK {
			t.Errorf("a write over the new connection: got %s, want success", code)
		}
		second = append(second, c)
	}
	if code := w.step(first[0], OpWrite); code != result.TransactionLost {
		t.Errorf("a write of a lost transaction: got %s, want %s", code, result.TransactionLost)
	}
	if code := w.step(first[1], OpCommit); code != result.TransactionLost {
		t.Errorf("the commit of a lost transaction: got %s, want %s", code, result.TransactionLost)
	}
	for _, c := range second {
		if code := w.step(c, OpCommit); code != result.OK || w.committedOf(c) != 1 {
			t.Errorf("a commit over the new connection: got %s and %d writes, want success and 1", code, w.committedOf(c))
		}
	}
	for _, c := range w.callers {
		w.close(c)
	}
	w.failOnBreach(t)
}

// TestStatementsStayInTheirTransactions guards against statements in foreign transactions and outside their own, in any
// order of lost connections, lost requests and answers, and failures of the targets.
func TestStatementsStayInTheirTransactions(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newPinnedWorld(rapid.IntRange(0, 3).Draw(t, "relayed") > 0, 50*time.Millisecond)
		defer func() {
			for _, c := range w.callers {
				w.close(c)
			}
			w.failOnBreach(t)
		}()
		for range rapid.IntRange(1, 25).Draw(t, "steps") {
			w.drawStep(t)
			w.failOnBreach(t)
		}
	})
}

// drawStep draws an event or the next statement of a caller.
func (w *pinnedWorld) drawStep(t *rapid.T) {
	action := rapid.SampledFrom([]string{"begin", "begin", "write", "write", "write", "commit", "rollback", "leave", "lose"}).Draw(t, "action")
	w.fate = rapid.SampledFrom([]requestFate{delivered, delivered, delivered, delivered, delivered, notReached, answerLost, answerLate}).Draw(t, "fate")
	w.targets.fault = rapid.SampledFrom([]string{"", "", "", "", "lost", "closed"}).Draw(t, "fault")
	switch {
	case action == "lose":
		w.loseConnections()
		return
	case action == "begin" || len(w.callers) == 0:
		c := w.open(rapid.SampledFrom([]string{"a", "b"}).Draw(t, "target"))
		w.step(c, OpBegin)
		w.step(c, OpWrite)
		return
	}
	i := rapid.IntRange(0, len(w.callers)-1).Draw(t, "caller")
	c := w.callers[i]
	switch action {
	case "write":
		w.step(c, OpWrite)
		return
	case "commit":
		w.checkCommit(t, c, w.step(c, OpCommit))
	case "rollback":
		w.step(c, OpRollback)
		if n := w.committedOf(c); n > 0 {
			t.Fatalf("%s: got %d writes committed after a rollback, want none", c.name, n)
		}
	}
	w.callers = append(w.callers[:i], w.callers[i+1:]...)
	w.close(c)
}

// checkCommit compares the answer to a commit with its effect.
func (w *pinnedWorld) checkCommit(t *rapid.T, c *steppedCaller, code result.Code) {
	n := w.committedOf(c)
	if code == result.OK && n != len(c.writes) {
		t.Fatalf("%s: got %d of %d writes committed after a commit", c.name, n, len(c.writes))
	}
	if code != result.OK && code != result.OutcomeUnknown && n != 0 {
		t.Fatalf("%s: got %d writes committed after the answer %s, want none", c.name, n, code)
	}
}

// TestTransactionNumbersAreNeverUsedTwice guards against numbers that name an open transaction, or none.
func TestTransactionNumbersAreNeverUsedTwice(t *testing.T) {
	drawn := []uint64{0, 5, 5, 0, 6, 5}
	n := &transactionNumbers{draw: func() uint64 {
		next := drawn[0]
		drawn = drawn[1:]
		return next
	}}
	if first, second := n.take(), n.take(); first != 5 || second != 6 {
		t.Errorf("got the numbers %d and %d, want 5 and 6", first, second)
	}
	n.free(5)
	if again := n.take(); again != 5 {
		t.Errorf("got the number %d, want 5, which is in use no longer", again)
	}
}

// TestHoldersRunNothingInForeignTransactions guards against a number that names the transaction of another target or caller.
func TestHoldersRunNothingInForeignTransactions(t *testing.T) {
	w := newPinnedWorld(true, 10*time.Second)
	w.targets.acting = "caller@a"
	s := w.network.session(w.sender.options.Name, "daemon-1")
	deadline := time.Now().Add(10 * time.Second)
	execute := func(op Operation, id string, key callers.KeyDigest) execution {
		return execution{
			command: Command{ID: id, Op: op}, deadline: deadline, state: sessionState{unchanged: true},
			connectionRequest: connectionRequest{class: admission.ClassStrict, startBy: deadline, lateUntil: deadline, key: key},
		}
	}
	own, other := callers.KeyDigest{1}, callers.KeyDigest{2}
	number := s.Run(relayRequest("g", "a", 0, execute(OpBegin, "caller@a 1", own))).Transaction
	if number == 0 {
		t.Fatal("the transaction did not begin")
	}
	for name, request := range map[string]*api.RelayRequest{
		"another number":            relayRequest("g", "a", number+1, execute(OpWrite, "caller@a 2", own)),
		"another target":            relayRequest("h", "b", number, execute(OpWrite, "caller@b 2", own)),
		"another group":             relayRequest("h", "a", number, execute(OpWrite, "caller@a 2", own)),
		"another caller":            relayRequest("g", "a", number, execute(OpWrite, "other@a 2", other)),
		"no caller":                 relayRequest("g", "a", number, execute(OpCommit, "other@a 2", callers.KeyDigest{})),
		"rollback of another":       relayRequest("g", "a", number, execute(OpRollback, "other@a 2", other)),
		"rollback at another place": relayRequest("h", "b", number, execute(OpRollback, "", callers.KeyDigest{})),
	} {
		if reply := s.Run(request); result.Code(reply.NotRunCode) != result.NotRunNotHolder {
			t.Errorf("%s: got code %d, want %d", name, reply.NotRunCode, result.NotRunNotHolder)
		}
	}
	if reply := s.Run(relayRequest("g", "a", number, execute(OpWrite, "caller@a 2", own))); reply.Transaction != number {
		t.Errorf("its own statement: got %+v, want it served", reply)
	}
	// Older daemons state no caller when they roll back what they gave up.
	if reply := s.Run(relayRequest("g", "a", number, execute(OpRollback, "", callers.KeyDigest{}))); reply.NotRunCode != 0 || reply.Transaction != 0 {
		t.Errorf("a rollback without a caller: got %+v, want the transaction ended", reply)
	}
	w.failOnBreach(t)
}
