package engine

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/papayacove/papayacove/internal/policy/callers"
	"github.com/papayacove/papayacove/internal/result"
)

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
