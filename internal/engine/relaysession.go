package engine

import (
	"sync"
	"time"

	"github.com/papayacove/papayacove/api"
	"github.com/papayacove/papayacove/internal/clock"
	"github.com/papayacove/papayacove/internal/policy/callers"
	"github.com/papayacove/papayacove/internal/result"
)

// abandonedAfter is the time beyond the limit of idle transactions after which a holder rolls a relayed transaction
// back. Its sender does so at the limit, unless it is gone.
const abandonedAfter = 2 * time.Second

// RelaySession runs what one other daemon sends to the targets that this daemon holds. Its methods may be called
// concurrently.
type RelaySession struct {
	engine *Engine
	// peer is the address of the other end, openedAt the begin of the connection on the boot clock.
	peer     string
	openedAt time.Duration

	mu           sync.Mutex
	closed       bool
	transactions map[uint64]*relayedTransaction
	// statements are those in progress, disconnected is true once no reply reaches the other end.
	statements   map[*relayedStatement]struct{}
	disconnected bool
	// abandoned is the number of transactions that were rolled back when the other end was lost.
	abandoned int
}

// relayedTransaction is an open transaction of a sender. Its statements run one at a time.
type relayedTransaction struct {
	group, target string
	// begun is the identity that the transaction began with.
	begun callers.Identity

	mu    sync.Mutex
	lease *gateLease
	timer *time.Timer
}

// NewRelaySession returns a session for the requests of one connection from the address peer; Close ends it.
func (e *Engine) NewRelaySession(peer string) *RelaySession {
	s := &RelaySession{
		engine: e, peer: peer, openedAt: clock.SinceBoot(),
		transactions: make(map[uint64]*relayedTransaction), statements: make(map[*relayedStatement]struct{}),
	}
	e.relaySessions.add(s)
	s.logOpened()
	return s
}

// Close rolls the open transactions back.
func (s *RelaySession) Close() {
	s.mu.Lock()
	s.closed = true
	open := s.transactions
	rolledBack := len(open)
	if s.disconnected {
		rolledBack = s.abandoned
	}
	s.transactions = make(map[uint64]*relayedTransaction)
	s.mu.Unlock()
	for number, t := range open {
		s.end(t)
		s.engine.relayNumbers.free(number)
		s.engine.relayed.Add(-1)
	}
	s.engine.relaySessions.remove(s)
	s.logEnded(rolledBack)
}

// Run runs one statement.
func (s *RelaySession) Run(request *api.RelayRequest) *api.RelayReply {
	s.engine.relayed.Add(1)
	defer s.engine.relayed.Add(-1)
	e, ok := executionOf(request, time.Now())
	if !ok {
		return relayReply(notRun(result.NotRunNotHolder, "the request is of another version"))
	}
	e.permits = s.engine.Permits
	if refused := e.authorize(); refused != nil {
		s.engine.logRelayRefused(e, refused)
		return relayReply(notPermitted(refused))
	}
	statement := s.begin(request.Group, request.Target, &e)
	var outcome attemptResult
	var reply *api.RelayReply
	if request.Transaction != 0 {
		reply, outcome = s.continueTransaction(request, e)
	} else {
		reply, outcome = s.runFirst(request, e)
	}
	s.finish(statement, outcome)
	return reply
}

// runFirst runs a statement that goes on with no transaction.
func (s *RelaySession) runFirst(request *api.RelayRequest, e execution) (*api.RelayReply, attemptResult) {
	h, refused := s.engine.gateFor(request.Group, request.Target)
	if refused != nil {
		outcome := attemptResult{refused: refused}
		return relayReply(outcome), outcome
	}
	began := clock.SinceBoot()
	l := &gateLease{gate: h}
	if e.needsProof {
		h.group.renewProofIfExpired(h.member)
	}
	term := h.group.presumedTerm()
	outcome := s.engine.afterStop(l.run(e))
	reply := relayReply(outcome)
	s.describe(reply, h, e, outcome, began, term)
	if l.conn != nil {
		if reply.Transaction = s.add(l, e); reply.Transaction == 0 {
			outcome = attemptResult{refused: errHolderStops}
			return relayReply(outcome), outcome
		}
	}
	return reply, outcome
}

// describe adds to a reply what the sender needs to know of the target, which was presumed to lead the term when the
// statement began.
func (s *RelaySession) describe(
	reply *api.RelayReply, h *gate, e execution, outcome attemptResult, began time.Duration, term uint64,
) {
	reply.Group, reply.Target, reply.Load = h.group.name, h.member.name, h.load()
	if isNotPermitted(result.CodeOf(outcome.refused)) {
		s.engine.logRelayRefused(e, outcome.refused)
	}
	if outcome.refused != nil || outcome.err != nil {
		return
	}
	if e.commits {
		if outcome.reply.Failure == nil {
			reply.CommitConfirmed = h.confirm(term, outcome)
		}
		began = clock.SinceBoot()
	}
	proofTerm, age := h.proofOf(began, e.needsProof && outcome.reply.Failure == nil)
	reply.ProofTerm, reply.ProofAgeUs, reply.ProofChained = proofTerm, age.Microseconds(), proofTerm != 0
}

// add keeps an open transaction and returns its number, or 0 when the transaction was rolled back, because the session
// has been closed or the daemon keeps none any more.
func (s *RelaySession) add(l *gateLease, e execution) uint64 {
	t := &relayedTransaction{group: l.gate.group.name, target: l.gate.member.name, begun: e.identity(), lease: l}
	s.mu.Lock()
	if s.closed || s.disconnected || s.engine.relayTransactionsEnded.Load() {
		s.mu.Unlock()
		s.end(t)
		return 0
	}
	number := s.engine.relayNumbers.take()
	s.transactions[number] = t
	s.mu.Unlock()
	s.engine.relayed.Add(1)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.timer = time.AfterFunc(s.idleLimit(), func() { s.abandon(number) })
	return number
}

// idleLimit is the time without a statement after which an open transaction is rolled back.
func (s *RelaySession) idleLimit() time.Duration {
	return max(s.engine.idleTransaction(), 0) + abandonedAfter
}

// abandon rolls back a transaction whose sender is gone.
func (s *RelaySession) abandon(number uint64) {
	if t := s.remove(number); t != nil {
		s.end(t)
	}
}

// remove forgets a transaction and returns it; nil when it is not known.
func (s *RelaySession) remove(number uint64) *relayedTransaction {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.transactions[number]
	if t != nil {
		delete(s.transactions, number)
		s.engine.relayNumbers.free(number)
		s.engine.relayed.Add(-1)
	}
	return t
}

// end rolls a transaction back once its statement in progress has ended.
func (s *RelaySession) end(t *relayedTransaction) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.timer != nil {
		t.timer.Stop()
	}
	t.lease.release()
}

// continueTransaction runs a statement of an open transaction.
func (s *RelaySession) continueTransaction(request *api.RelayRequest, e execution) (*api.RelayReply, attemptResult) {
	number := request.Transaction
	s.mu.Lock()
	t := s.transactions[number]
	s.mu.Unlock()
	if t == nil {
		return s.notContinued(request, e, "the transaction is not open here")
	}
	if reason := t.foreign(request, e); reason != "" {
		return s.notContinued(request, e, reason)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.lease.conn == nil {
		return s.notContinued(request, e, "the transaction has ended")
	}
	t.timer.Stop()
	began, term := clock.SinceBoot(), t.lease.gate.group.presumedTerm()
	outcome := s.engine.afterStop(t.lease.run(e))
	reply := relayReply(outcome)
	s.describe(reply, t.lease.gate, e, outcome, began, term)
	if t.lease.conn == nil {
		s.remove(number)
		return reply, outcome
	}
	reply.Transaction = number
	t.timer.Reset(s.idleLimit())
	return reply, outcome
}

// foreign returns why a statement is none of the transaction; empty if it may be one.
func (t *relayedTransaction) foreign(request *api.RelayRequest, e execution) string {
	if request.Group != t.group || request.Target != t.target {
		return "the transaction is open at another target"
	}
	// Daemons before random numbers state no identity when they roll back a transaction that was given up.
	isGivenUp := e.command.Op == OpRollback && e.identity() == callers.Identity{}
	if e.identity() != t.begun && !isGivenUp {
		return "the transaction was begun by another caller"
	}
	return ""
}

// notContinued returns the reply to a statement of a transaction that is not open here.
func (s *RelaySession) notContinued(
	request *api.RelayRequest, e execution, reason string,
) (*api.RelayReply, attemptResult) {
	outcome := notRun(result.NotRunNotHolder, "%s", reason)
	s.logNotContinued(request.Group, request.Target, request.Transaction, e, outcome.refused)
	return relayReply(outcome), outcome
}

// Status returns the status of a target that this daemon holds, also while it stops: others may reach the target
// through it alone, as it has connections there.
func (s *RelaySession) Status(request *api.RelayStatusRequest) *api.RelayStatusReply {
	if request.ProofOnly {
		return s.proof(request)
	}
	h, refused := s.engine.knownGate(request.Group, request.Target)
	if refused != nil {
		return &api.RelayStatusReply{Reason: refused.Error()}
	}
	status, err := h.status.get()
	if err != nil && !isAlive(err) {
		return &api.RelayStatusReply{Held: true, Reason: err.Error()}
	}
	return &api.RelayStatusReply{
		Held: true, Answered: true, Role: uint8(status.Role), Term: status.Term, PausedTerm: status.PausedTerm, Received: status.Received,
	}
}

// gateFor returns the gate of a target for the statements of other daemons. It fails with NotRunDraining while this
// daemon stops, and with NotRunNotHolder when it does not know the target.
func (e *Engine) gateFor(groupName, target string) (*gate, error) {
	if e.stopping.Load() {
		return nil, errHolderStops
	}
	return e.knownGate(groupName, target)
}

// knownGate is gateFor for what a stopping daemon serves too.
func (e *Engine) knownGate(groupName, target string) (*gate, error) {
	g, refused := e.knownGroup(groupName)
	if refused != nil {
		return nil, refused
	}
	g.mu.Lock()
	m, ok := g.members[target]
	g.mu.Unlock()
	if !ok {
		return nil, result.Errorf(result.NotRunNotHolder, "target %q is not known here", target)
	}
	return g.gateOf(m), nil
}

// knownGroup returns the named group. It fails with NotRunNotHolder when this daemon does not know it.
func (e *Engine) knownGroup(name string) (*group, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	g, ok := e.groups[name]
	if !ok {
		return nil, result.Errorf(result.NotRunNotHolder, "group %q is not known here", name)
	}
	return g, nil
}
