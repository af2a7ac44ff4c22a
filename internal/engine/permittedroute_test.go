package engine

import (
	"testing"
	"time"

	"github.com/papayacove/papayacove/internal/policy/callers"
	"github.com/papayacove/papayacove/internal/result"
)

// TestRouteThatAppearsAfterTheCallerWasIdentified puts a route into force between the two looks at the configuration.
func TestRouteThatAppearsAfterTheCallerWasIdentified(t *testing.T) {
	e := newKeyedEngine(newKeyedTarget())
	set := func(routes map[string]Route) {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.configuration.Routes = routes
	}
	s := newSession(e, nil, "d", "s1", callers.Identity{Key: callers.DigestOf("key-x")})
	set(map[string]Route{})
	if refusal := s.identify(); refusal != nil {
		return // Refused at once: nothing runs.
	}
	set(map[string]Route{"d": strictRoute})
	if _, refusal := s.request(Statement{ID: "1", Op: OpRead, Text: "r"}, OpRead, time.Now()); refusal == nil {
		t.Error("a caller with an unknown key may run a statement on a route that requires one")
	}
}

// TestPublicRouteThatBecomesKeyedAfterIdentify is the same for a route that stops to be open to all.
func TestPublicRouteThatBecomesKeyedAfterIdentify(t *testing.T) {
	e := newKeyedEngine(newKeyedTarget())
	set := func(route Route) {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.configuration.Routes = map[string]Route{"d": route}
	}
	set(publicRoute())
	s := newSession(e, nil, "d", "s1", callers.Identity{Key: callers.DigestOf("key-x")})
	if refusal := s.identify(); refusal != nil {
		t.Fatal(refusal.Reason)
	}
	set(strictRoute)
	if _, refusal := s.request(Statement{ID: "1", Op: OpRead, Text: "r"}, OpRead, time.Now()); refusal == nil {
		t.Error("a caller with an unknown key may run a statement on a route that requires one")
	}
}

// TestUnprovedDaemonCallsNoKeyUnknown: a daemon whose configuration may be old does not know that nobody holds a key, so it
// sends the caller to another daemon.
func TestUnprovedDaemonCallsNoKeyUnknown(t *testing.T) {
	e := newKeyedEngine(newKeyedTarget())
	e.losesProof()
	if _, refusal := e.Identify("d", callers.DigestOf("key-added-lately"), time.Second); refusal == nil || refusal.Code != result.NotRunUnproved {
		t.Errorf("got %v, want NotRunUnproved", refusal)
	}
}
