package engine

import (
	"fmt"

	"github.com/papayacove/papayacove/internal/clock"
	"github.com/papayacove/papayacove/internal/policy/callers"
	"github.com/papayacove/papayacove/internal/result"
)

// Admit adds a session to the open ones and returns the function that runs it until the caller disconnects or the
// session is closed. The function has to be called, once the caller knows that its session is open; nothing closes the
// session as idle before. identity is what Identify returned. After StopAdmitting there is a refusal instead, so that a
// planned stop sees each session that may run a statement.
func (e *Engine) Admit(caller Caller, database string, identity callers.Identity) (serve func(), refusal *Refusal) {
	s := newSession(e, caller, database, fmt.Sprintf("s%d", e.nextID.Add(1)), identity)
	s.busy = true
	if !e.addSession(s) {
		return nil, refuse(result.NotRunDraining, "the daemon stops")
	}
	return s.serveOpened, nil
}

// serveOpened runs the session of a caller that knows that its session is open.
func (s *session) serveOpened() {
	s.markOpened()
	s.run()
}

// markOpened marks the session as idle. It ends if its key was withdrawn after Identify.
func (s *session) markOpened() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.busy, s.expectsNext, s.answeredAt = false, true, clock.SinceBoot()
	s.ending = s.ending || !s.engine.holdsIdentity(s.bound)
}

// addSession reports whether the session may be opened.
func (e *Engine) addSession(s *session) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.refusesSessions() {
		return false
	}
	e.sessions[s] = struct{}{}
	return true
}

// StopAdmitting makes Admit refuse sessions from now on, and ends the wait of callers for a first configuration.
func (e *Engine) StopAdmitting() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.refusesSessions() {
		close(e.refusing)
	}
}

// refusesSessions reports whether StopAdmitting was called. The caller holds the lock.
func (e *Engine) refusesSessions() bool {
	select {
	case <-e.refusing:
		return true
	default:
		return false
	}
}
