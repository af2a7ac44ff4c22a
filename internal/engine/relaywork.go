package engine

import (
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/papayacove/papayacove/internal/clock"
	"github.com/papayacove/papayacove/internal/policy/callers"
	"github.com/papayacove/papayacove/internal/result"
)

// relaySessions are the open connections of other daemons. Its methods may be called concurrently.
type relaySessions struct {
	mu   sync.Mutex
	open map[*RelaySession]struct{}
}

func (r *relaySessions) add(s *RelaySession) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.open == nil {
		r.open = make(map[*RelaySession]struct{})
	}
	r.open[s] = struct{}{}
}

func (r *relaySessions) remove(s *RelaySession) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.open, s)
}

func (r *relaySessions) list() []*RelaySession {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Collect(maps.Keys(r.open))
}

// relayedStatement is a statement of another daemon in progress.
type relayedStatement struct {
	session           *RelaySession
	group, target, id string
	op                Operation
	// inTransaction is true if it came for an open transaction.
	inTransaction bool
	// arrived is a time of the boot clock.
	arrived time.Duration
	// reached is the step of the statement.
	reached atomic.Uint32
}

func (r *relayedStatement) advance(to step) { r.reached.Store(uint32(to)) }

func (r *relayedStatement) step() step { return step(r.reached.Load()) }

// errHolderStops is the refusal of a statement of another daemon during a planned stop.
var errHolderStops = result.Errorf(result.NotRunDraining, "the daemon stops")

// EndRelayedTransactions rolls back the open transactions of other daemons during a planned stop, each once its
// statement in progress has its reply, and keeps none that begins later. Their senders learn of it with the next
// statement.
func (e *Engine) EndRelayedTransactions() {
	e.relayTransactionsEnded.Store(true)
	ended := 0
	for _, s := range e.relaySessions.list() {
		for _, number := range s.openTransactions() {
			ended++
			go s.abandon(number)
		}
	}
	e.logRelayedTransactionsEnded(ended)
}

// openTransactions returns the numbers of the open transactions.
func (s *RelaySession) openTransactions() []uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Collect(maps.Keys(s.transactions))
}

// afterStop returns an outcome with the reason that makes the sender ask another daemon, if the statement did not run
// and the stop ends.
func (e *Engine) afterStop(outcome attemptResult) attemptResult {
	if outcome.refused != nil && e.relayWaits.Err() != nil {
		outcome.refused = errHolderStops
	}
	return outcome
}

// begin records a statement in progress, makes the execution record that it is sent, and ends its wait with the stop.
func (s *RelaySession) begin(group, target string, e *execution) *relayedStatement {
	r := &relayedStatement{
		session: s, group: group, target: target, id: e.command.ID, op: e.command.Op,
		inTransaction: e.state.inTransaction, arrived: clock.SinceBoot(),
	}
	e.waits = s.engine.relayWaits
	permits := e.permits
	e.permits = func(identity callers.Identity) error {
		if s.engine.relayWaits.Err() != nil {
			return errHolderStops
		}
		err := permits(identity)
		if err == nil {
			r.advance(stepSent)
		}
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.statements[r] = struct{}{}
	return r
}

// finish records that a statement has ended with an outcome. Its reply is lost if the connection has ended meanwhile.
func (s *RelaySession) finish(r *relayedStatement, outcome attemptResult) {
	if outcome.refused != nil || outcome.err == nil {
		r.advance(stepAfter(outcome))
	}
	s.mu.Lock()
	delete(s.statements, r)
	isDisconnected := s.disconnected
	s.mu.Unlock()
	if isDisconnected {
		r.logNotAnswered()
	}
}

// Disconnected rolls the open transactions back, each once its statement in progress has ended, because the other end
// has closed the connection, or is lost. Other statements in progress run on, until Close.
func (s *RelaySession) Disconnected() {
	s.mu.Lock()
	s.disconnected = true
	s.abandoned = len(s.transactions)
	s.mu.Unlock()
	for _, number := range s.openTransactions() {
		go s.abandon(number)
	}
}

// inProgress returns the statements in progress and the number of open transactions.
func (s *RelaySession) inProgress() ([]*relayedStatement, int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Collect(maps.Keys(s.statements)), len(s.transactions)
}

// relayedWork returns what runs or waits here for other daemons.
func (e *Engine) relayedWork() (statements []*relayedStatement, transactions int) {
	for _, s := range e.relaySessions.list() {
		running, open := s.inProgress()
		statements = append(statements, running...)
		transactions += open
	}
	return statements, transactions
}
