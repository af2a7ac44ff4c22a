package engine

import (
	"github.com/papayacove/papayacove/internal/policy/stopping"
	"github.com/papayacove/papayacove/internal/result"
)

// conclude ends the session at the end of a planned stop. A statement in progress gets a final answer, which cannot
// become false: startAttempt lets nothing be sent any more. A session at rest ends by itself.
func (s *session) conclude() {
	answer, ok := s.finalAnswer()
	if !ok {
		return
	}
	go s.sendLast(answer)
}

// sendLast sends the final answer, refuses the statements that have arrived behind the one that it belongs to, and
// closes the connection. The session's own goroutine reads none any more.
func (s *session) sendLast(answer Answer) {
	defer s.disconnect()
	for {
		if err := s.caller.Answer(answer); err != nil {
			s.logNotSent(err)
			return
		}
		if _, err := s.caller.NextArrived(); err != nil {
			return
		}
		answer = Answer{Refusal: refuseStopping(), State: StateIdle}
	}
}

// finalAnswer returns the final answer to the statement in progress. It returns false when there is none, or when its
// answer is being sent already; the session ends after that.
func (s *session) finalAnswer() (Answer, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.concluded || s.closed {
		return Answer{}, false
	}
	p := s.progress
	if p.arrived.IsZero() || p.step == stepAnswering {
		s.ending = true
		s.caller.Interrupt()
		return Answer{}, false
	}
	s.concluded = true
	code := stopping.Conclusion(stopping.Progress{
		RollsBack: p.statement.Op == OpRollback, InTransaction: s.inTransaction,
		Sent: p.step == stepSent || p.mayHaveRun, Commits: p.commits,
	})
	s.logCut(code)
	answer := Answer{State: StateIdle}
	if code != result.OK {
		answer.Refusal = refuse(code, stoppingReason)
	}
	return answer, true
}

// isConcluded reports whether a planned stop gives the final answer and closes the connection.
func (s *session) isConcluded() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.concluded
}

// abort closes the connection of a caller that has not taken its answer by the end of a planned stop.
func (s *session) abort() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.progress.arrived.IsZero() && !s.closed {
		s.logCut(result.OK)
	}
	s.closed = true
	_ = s.caller.Close()
}
