package engine

import (
	"context"
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
	// interrupted has an element after a call of Interrupt that Next has not returned yet.
	interrupted chan struct{}
	closed      chan struct{}
	once        sync.Once
}

// serveLive opens a session of a live caller. ended is closed when the session has ended.
func serveLive(t *testing.T, e *Engine, key string) (caller *liveCaller, ended chan struct{}) {
	t.Helper()
	caller = &liveCaller{statements: make(chan Statement), answers: make(chan Answer, 100), interrupted: make(chan struct{}, 1), closed: make(chan struct{})}
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
	case <-c.interrupted:
		return Statement{}, ErrInterrupted
	case <-c.closed:
		return Statement{}, io.EOF
	}
}

func (c *liveCaller) NextArrived() (Statement, error) {
	select {
	case s := <-c.statements:
		return s, nil
	default:
		return Statement{}, ErrIdle
	}
}

func (c *liveCaller) Interrupt() {
	select {
	case c.interrupted <- struct{}{}:
	default:
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

// setCallers replaces the keys in force, without the closing of sessions that Configure does.
func (e *Engine) setCallers(directory *callers.Directory) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.configuration.Callers = directory
}
