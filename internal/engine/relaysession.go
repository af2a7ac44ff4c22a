package engine

import (
	"sync"
	"time"

	"github.com/papayacove/papayacove/api"
	"github.com/papayacove/papayacove/internal/clock"
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
	last         uint64
	transactions map[uint64]*relayedTransaction
}

// relayedTransaction is an open transaction of a sender. Its statements run one at a time.
type relayedTransaction struct {
	mu    sync.Mutex
	lease *gateLease
	timer *time.Timer
}

// NewRelaySession returns a session for the requests of one connection from the address peer; Close ends it.
func (e *Engine) NewRelaySession(peer string) *RelaySession {
	s := &RelaySession{engine: e, peer: peer, openedAt: clock.SinceBoot(), transactions: make(map[uint64]*relayedTransaction)}
	s.logOpened()
	return s
}

// Close rolls the open transactions back.
func (s *RelaySession) Close() {
	s.mu.Lock()
	s.closed = true
	open := s.transactions
	s.transactions = make(map[uint64]*relayedTransaction)
	s.mu.Unlock()
	for _, t := range open {
		s.end(t)
		s.engine.relayed.Add(-1)
	}
	s.logEnded(len(open))
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
	if request.Transaction != 0 {
		return s.continueTransaction(request, e)
	}
	h, refused := s.engine.gateFor(request.Group, request.Target)
	if refused != nil {
		return relayReply(attemptResult{refused: refused})
	}
	began := clock.SinceBoot()
	l := &gateLease{gate: h}
	if e.needsProof {
		h.group.renewProofIfExpired(h.member)
	}
	outcome := l.run(e)
	reply := relayReply(outcome)
	s.describe(reply, h, e, outcome, began)
	if l.conn != nil {
		reply.Transaction = s.add(l)
	}
	return reply
}

// describe adds to a reply what the sender needs to know of the target.
func (s *RelaySession) describe(reply *api.RelayReply, h *gate, e execution, outcome attemptResult, began time.Duration) {
	reply.Group, reply.Target, reply.Load = h.group.name, h.member.name, h.load()
	if isNotPermitted(result.CodeOf(outcome.refused)) {
		s.engine.logRelayRefused(e, outcome.refused)
	}
	if outcome.refused != nil || outcome.err != nil {
		return
	}
	if e.commits {
		began = clock.SinceBoot()
	}
	term, age := h.proofOf(began, e.needsProof && outcome.reply.Failure == nil)
	reply.ProofTerm, reply.ProofAgeUs = term, age.Microseconds()
}

// add keeps an open transaction and returns its number, or 0 when the session has been closed and the transaction
// rolled back.
func (s *RelaySession) add(l *gateLease) uint64 {
	t := &relayedTransaction{lease: l}
	s.mu.Lock()
	if s.closed {
		s.mu.Unlock()
		s.end(t)
		return 0
	}
	s.last++
	number := s.last
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
func (s *RelaySession) continueTransaction(request *api.RelayRequest, e execution) *api.RelayReply {
	number := request.Transaction
	s.mu.Lock()
	t := s.transactions[number]
	s.mu.Unlock()
	if t == nil {
		return s.notContinued(request, e, "the transaction is not open here")
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.lease.conn == nil {
		return s.notContinued(request, e, "the transaction has ended")
	}
	t.timer.Stop()
	began := clock.SinceBoot()
	outcome := t.lease.run(e)
	reply := relayReply(outcome)
	s.describe(reply, t.lease.gate, e, outcome, began)
	if t.lease.conn == nil {
		s.remove(number)
		return reply
	}
	reply.Transaction = number
	t.timer.Reset(s.idleLimit())
	return reply
}

// notContinued returns the reply to a statement of a transaction that is not open here.
func (s *RelaySession) notContinued(request *api.RelayRequest, e execution, reason string) *api.RelayReply {
	outcome := notRun(result.NotRunNotHolder, "%s", reason)
	s.logNotContinued(request.Group, request.Target, request.Transaction, e, outcome.refused)
	return relayReply(outcome)
}

// Status returns the status of a target that this daemon holds.
func (s *RelaySession) Status(request *api.RelayStatusRequest) *api.RelayStatusReply {
	h, refused := s.engine.gateFor(request.Group, request.Target)
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

// gateFor returns the gate of a target for other daemons. It fails with NotRunDraining while this daemon stops, and with
// NotRunNotHolder when it does not know the target.
func (e *Engine) gateFor(groupName, target string) (*gate, error) {
	if e.stopping.Load() {
		return nil, result.Errorf(result.NotRunDraining, "the daemon stops")
	}
	e.mu.Lock()
	g, ok := e.groups[groupName]
	e.mu.Unlock()
	if !ok {
		return nil, result.Errorf(result.NotRunNotHolder, "group %q is not known here", groupName)
	}
	g.mu.Lock()
	m, ok := g.members[target]
	g.mu.Unlock()
	if !ok {
		return nil, result.Errorf(result.NotRunNotHolder, "target %q is not known here", target)
	}
	return g.gateOf(m), nil
}
