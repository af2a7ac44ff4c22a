package engine

import (
	"github.com/papayacove/papayacove/internal/policy/callers"
	"github.com/papayacove/papayacove/internal/result"
)

// boundIdentity returns the identity that the session got first; zero while it has had none.
func (s *session) boundIdentity() callers.Identity {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.bound
}

// identify finds out on whose behalf the next statement runs, by the configuration in force. It returns a refusal when
// the key of the caller was withdrawn or has moved to another workspace. An open transaction keeps its identity.
func (s *session) identify() *Refusal {
	if s.transaction != nil {
		if !s.engine.holdsIdentity(s.identity) {
			return refuse(result.AuthenticationFailed, "the key of the caller was withdrawn; the transaction is rolled back")
		}
		return nil
	}
	identity, ok := s.engine.identityFor(s.database, s.stated)
	if !ok {
		return refuse(result.AuthenticationFailed, "the key of the caller was withdrawn")
	}
	if !s.bind(identity) {
		return refuse(result.AuthenticationFailed, "the key of the caller has another workspace now")
	}
	s.identity = identity
	return nil
}

// bind keeps the first identity of the session. It returns false when the session has had another one.
func (s *session) bind(identity callers.Identity) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.bound.Workspace == "" {
		s.bound = identity
	}
	return identity.Workspace == "" || identity == s.bound
}

// reject rolls an open transaction back and ends the session with the next answer.
func (s *session) reject() {
	if t := s.transaction; t != nil {
		t.rollBack("")
		s.transaction = nil
	}
	s.rejected = true
}

// identityFor returns the identity of a caller of a database by the configuration in force. It returns false when no
// workspace holds the key. A database without a route is reported later.
func (e *Engine) identityFor(database string, key callers.KeyDigest) (callers.Identity, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	route, ok := e.configuration.Routes[database]
	if !ok {
		return callers.Identity{}, true
	}
	return e.configuration.Callers.Identify(key, route.IsPublic)
}
