package engine

import (
	"errors"
	"time"

	"github.com/papayacove/papayacove/api"
	"github.com/papayacove/papayacove/internal/clock"
	"github.com/papayacove/papayacove/internal/policy/admission"
	"github.com/papayacove/papayacove/internal/policy/callers"
	"github.com/papayacove/papayacove/internal/policy/leadership"
	"github.com/papayacove/papayacove/internal/result"
)

// Peers sends requests to the other daemons.
type Peers interface {
	// Run sends a statement that goes on with no transaction to the daemon that holds its target, and returns the
	// connection that it was sent on. The error wraps ErrPeerNotReached if the request certainly did not arrive.
	Run(address string, request *api.RelayRequest, deadline time.Time) (*api.RelayReply, PeerConnection, error)
	// Status asks the daemon that holds a target for the target's status.
	Status(address string, request *api.RelayStatusRequest, deadline time.Time) (*api.RelayStatusReply, error)
}

// PeerConnection is a connection to another daemon. The transactions that began on it are open on no other, and end with
// it.
type PeerConnection interface {
	// Run sends a statement of a transaction that began on the connection. The error wraps ErrPeerNotReached if the
	// request certainly did not arrive, and ErrPeerConnectionEnded if that is because the connection has ended.
	Run(request *api.RelayRequest, deadline time.Time) (*api.RelayReply, error)
}

// ErrPeerNotReached means that a request to another daemon did not arrive.
var ErrPeerNotReached = errors.New("daemon not reached")

// ErrPeerConnectionEnded means that the connection that a request had to be sent on has ended.
var ErrPeerConnectionEnded = errors.New("connection to the daemon has ended")

const (
	// relayReserve is the time beyond the time limit of a statement that a sender waits for the answer of the holder,
	// which ends the statement itself at the limit.
	relayReserve = 50 * time.Millisecond
	// pathAvoidance is the time for which a holder is not asked that did not reach the target.
	pathAvoidance = time.Second
	// reportedLoadValidity is the time for which the load that a holder reported is used.
	reportedLoadValidity = 250 * time.Millisecond
	// unprovedPeerAvoidance is the time for which a daemon is not asked that has no proof that its configuration is recent.
	unprovedPeerAvoidance = 200 * time.Millisecond
)

// relayedLease is a lease of a target that another daemon holds. The first command chooses the way: the holder, a standby
// or, when none is reached, a connection of this daemon. A transaction stays on the connection on which it began.
type relayedLease struct {
	group  *group
	member *member
	// chosen is set when this daemon itself holds the target or connects directly.
	chosen lease
	// transaction is the number of the open transaction at the daemon with the address, connection the only one on which
	// it is known; 0 while none is open.
	address     string
	connection  PeerConnection
	transaction uint64
	// identity is that which the transaction began with.
	identity callers.Identity
	// ended is true once the transaction has ended or was lost. Nothing runs then, as it would be outside its transaction.
	ended bool
}

func (l *relayedLease) run(e execution) attemptResult {
	switch {
	case l.chosen != nil:
		return l.chosen.run(e)
	case l.ended:
		return attemptResult{err: errBroken, byHolder: true}
	case l.transaction != 0:
		return l.runInTransaction(e)
	}
	var unreachable attemptResult
	for _, h := range l.group.holdersOf(l.member) {
		outcome, reached := l.runAt(h, e)
		if !reached {
			continue
		}
		if result.CodeOf(outcome.refused) != result.NotRunUnreachable {
			return outcome
		}
		// The holder does not reach the target; another one may.
		unreachable, l.chosen = outcome, nil
		l.group.peers.avoid(h.pathTo(l.member), pathAvoidance, outcome.refused)
	}
	if unreachable.refused != nil {
		return unreachable
	}
	conn, err := l.member.pool.acquire(e.connectionRequest)
	if err != nil {
		return attemptResult{refused: err}
	}
	l.chosen = &directLease{pool: l.member.pool, conn: conn}
	return l.chosen.run(e)
}

// runAt runs a command through one holder. It returns false if the holder is avoided, or has certainly not run it and
// another may.
func (l *relayedLease) runAt(h holder, e execution) (attemptResult, bool) {
	peers := l.group.peers
	if peers.isAvoided(h.pathTo(l.member)) {
		return attemptResult{}, false
	}
	if h.isSelf {
		l.chosen = &gateLease{gate: l.group.gateOf(l.member)}
		return l.chosen.run(e), true
	}
	if peers.isAvoided(h.address) || peers.isAvoided(h.statementsKey()) {
		return attemptResult{}, false
	}
	return l.send(h.address, e)
}

// send sends the first command to a holder. It returns false if the holder certainly has not run it and another may.
func (l *relayedLease) send(address string, e execution) (attemptResult, bool) {
	request := relayRequest(l.group.name, l.member.name, 0, e)
	askedAt := clock.SinceBoot()
	reply, connection, err := l.group.relays.Run(address, request, e.deadline.Add(relayReserve))
	if errors.Is(err, ErrPeerNotReached) {
		l.group.peers.avoid(address, peerAvoidance, err)
		return attemptResult{}, false
	}
	if err != nil {
		l.group.peers.avoid(address, peerAvoidance, err)
		l.ended = true
		return attemptResult{err: err, sent: true, byHolder: true, askedAt: askedAt}, true
	}
	code := result.Code(reply.NotRunCode)
	if avoidance, again := avoidanceAfter(code); again {
		if code == result.NotRunDraining {
			l.group.peers.avoid(holder{address: address}.statementsKey(), avoidance, errors.New(reply.Reason))
		} else if avoidance > 0 {
			l.group.peers.avoid(address, avoidance, errors.New(reply.Reason))
		}
		return attemptResult{}, false
	}
	if l.isOfAnotherTarget(reply) {
		l.ended = true
		return attemptResult{err: errAnotherTarget, sent: true, byHolder: true, askedAt: askedAt}, true
	}
	l.address, l.connection, l.transaction = address, connection, reply.Transaction
	l.identity = e.identity()
	l.ended = reply.Transaction == 0 && reply.NotRunCode == 0 && e.command.Op.beginsTransaction()
	l.group.recordRelayed(l.member, address, reply, askedAt)
	return outcomeOf(reply, askedAt), true
}

// errAnotherTarget means that a holder sent the reply of another target than that of the request, so that the outcome of the
// request is not known.
var errAnotherTarget = errors.New("the reply is that of another target")

// isOfAnotherTarget reports whether a reply names another target than that of the lease. An older daemon names none.
func (l *relayedLease) isOfAnotherTarget(reply *api.RelayReply) bool {
	return reply.Target != "" && (reply.Group != l.group.name || reply.Target != l.member.name)
}

// avoidanceAfter returns whether another holder may run a statement that one has not run, and for how long that one is not
// asked.
func avoidanceAfter(code result.Code) (time.Duration, bool) {
	switch code {
	case result.NotRunDraining:
		return stoppingPeerAvoidance, true
	case result.NotRunNotHolder:
		return unawarePeerAvoidance, true
	case result.NotRunUnproved:
		return unprovedPeerAvoidance, true
	case result.AuthenticationFailed:
		// Its configuration is older or newer than the one here.
		return 0, true
	}
	return 0, false
}

// runInTransaction runs a command of the open transaction on the connection on which it began, or not at all.
func (l *relayedLease) runInTransaction(e execution) attemptResult {
	request := relayRequest(l.group.name, l.member.name, l.transaction, e)
	askedAt := clock.SinceBoot()
	reply, err := l.connection.Run(request, e.deadline.Add(relayReserve))
	lost := lossOf(reply, err)
	if lost != nil {
		l.logTransactionLost(e, lost)
	}
	if err != nil {
		return l.endUnanswered(err, askedAt)
	}
	switch result.Code(reply.NotRunCode) {
	case result.NotRunUnproved:
		l.group.peers.avoid(l.address, unprovedPeerAvoidance, lost)
		return lostAtHolder(reply)
	case result.AuthenticationFailed:
		return lostAtHolder(reply)
	}
	if lost != nil {
		l.end()
		return attemptResult{err: errBroken, byHolder: true}
	}
	if l.isOfAnotherTarget(reply) {
		l.end()
		return attemptResult{err: errAnotherTarget, sent: true, byHolder: true, askedAt: askedAt}
	}
	l.group.recordRelayed(l.member, l.address, reply, askedAt)
	if reply.Transaction != l.transaction {
		l.end()
	}
	return outcomeOf(reply, askedAt)
}

// endUnanswered ends the lease after a command without a reply. A connection that has ended says nothing about the daemon
// that has taken its place.
func (l *relayedLease) endUnanswered(err error, askedAt time.Duration) attemptResult {
	held := l.held()
	l.end()
	if errors.Is(err, ErrPeerConnectionEnded) {
		return attemptResult{err: errBroken, byHolder: true}
	}
	l.group.inBackground(held.rollBackLost)
	l.group.peers.avoid(l.address, peerAvoidance, err)
	if errors.Is(err, ErrPeerNotReached) {
		return attemptResult{err: errBroken, byHolder: true}
	}
	return attemptResult{err: err, sent: true, byHolder: true, askedAt: askedAt}
}

// end ends the lease: its transaction is no longer open.
func (l *relayedLease) end() {
	l.transaction, l.connection, l.ended = 0, nil, true
}

func (l *relayedLease) release() {
	switch {
	case l.chosen != nil:
		l.chosen.release()
	case l.transaction != 0:
		l.rollBack()
	}
}

// lossOf returns why a transaction is lost after a reply of its holder or an error; nil if it is not.
func lossOf(reply *api.RelayReply, err error) error {
	if err != nil {
		return err
	}
	switch result.Code(reply.NotRunCode) {
	case result.NotRunDraining, result.NotRunNotHolder, result.NotRunUnproved, result.AuthenticationFailed:
		return errors.New(reply.Reason)
	}
	return nil
}

// lostAtHolder returns the outcome for a transaction whose holder does not know that the caller may run anything.
func lostAtHolder(reply *api.RelayReply) attemptResult {
	return notRun(result.TransactionLost, "the daemon that runs the transaction: %s", reply.Reason)
}

// recordRelayed records what the reply of the holder at an address says about the target: its load, and a leadership
// proof. The proof is dated from before the request was sent, so that it is no older than recorded. It counts only if
// the reply names this target and the proof is one of a chain: that of an older daemon may be of a transaction
// elsewhere, or rest on the word of one replica alone, and this daemon fetches a proof itself.
func (g *group) recordRelayed(m *member, address string, reply *api.RelayReply, askedAt time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	m.reportedLoad, m.reportedAt = reply.Load, clock.SinceBoot()
	if reply.Group == g.name && reply.Target == m.name && reply.ProofChained {
		g.recordPeerProof(m, address, reply.ProofTerm, askedAt-time.Duration(reply.ProofAgeUs)*time.Microsecond)
	}
}

// recordPeerProof records the leadership proof of a target in a term that the daemon at an address has told. The caller
// holds the lock.
func (g *group) recordPeerProof(m *member, address string, term uint64, at time.Duration) {
	if term == 0 || term != g.term || m.name != g.primary {
		return
	}
	if g.recordProof(proofOrigin{proofOfHolder, m.name}, at) {
		g.proofHolder = address
	}
}

// relayRequest encodes an execution.
func relayRequest(group, target string, transaction uint64, e execution) *api.RelayRequest {
	request := &api.RelayRequest{
		Group: group, Target: target, Transaction: transaction,
		Class: uint8(e.class), Priority: uint8(min(e.priority, admission.MaxPriority)), StartWithinUs: time.Until(e.startBy).Microseconds(), LateWithinUs: time.Until(e.lateUntil).Microseconds(),
		TimeoutUs: time.Until(e.deadline).Microseconds(),
		ID:        e.command.ID, Operation: uint8(e.command.Op), Name: e.command.Name, Argument: e.command.Argument, Text: e.command.Text,
		Workspace: e.workspace, KeyDigest: e.key.Hex(),
		MinPosition: e.command.MinPosition, Commits: e.commits, NeedsProof: e.needsProof, KeepsState: e.state.unchanged,
	}
	for name, value := range e.state.values {
		request.Settings = append(request.Settings, api.SessionSetting{Name: name, Value: value})
	}
	if p := e.state.prepared; p != nil {
		request.PreparedName, request.PreparedOperation, request.PreparedShape = p.shared, uint8(p.op), p.shape
	}
	return request
}

// executionOf decodes a request that arrived at now. It returns false when a field is out of range, as that of a daemon
// of another version may be.
func executionOf(r *api.RelayRequest, now time.Time) (execution, bool) {
	if r.Class > uint8(admission.ClassLate) || int(r.Operation) >= len(operationNames) || int(r.PreparedOperation) >= len(operationNames) {
		return execution{}, false
	}
	key, err := callers.ParseDigest(r.KeyDigest)
	if err != nil {
		return execution{}, false
	}
	within := func(us int64) time.Time { return now.Add(time.Duration(us) * time.Microsecond) }
	e := execution{
		command: Command{
			ID: r.ID, Op: Operation(r.Operation), Name: r.Name, Argument: r.Argument, Text: r.Text, MinPosition: r.MinPosition,
		},
		state:    sessionState{inTransaction: r.Transaction != 0, unchanged: r.KeepsState},
		deadline: within(r.TimeoutUs), commits: r.Commits, needsProof: r.NeedsProof,
		connectionRequest: connectionRequest{class: admission.Class(r.Class), priority: int(r.Priority), startBy: within(r.StartWithinUs), lateUntil: within(r.LateWithinUs), workspace: r.Workspace, key: key},
	}
	if len(r.Settings) > 0 {
		e.state.values = make(map[string]string, len(r.Settings))
		for _, setting := range r.Settings {
			e.state.values[setting.Name] = setting.Value
		}
		e.state.valuesKey = canonicalValues(e.state.values)
	}
	e.values = e.state.valuesKey
	if r.PreparedName != "" {
		e.state.prepared = &preparedStatement{
			op: Operation(r.PreparedOperation), shape: r.PreparedShape, shared: sharedName(Operation(r.PreparedOperation), r.PreparedShape),
		}
		if e.command.Op == OpExecute {
			// Senders of other versions have other names.
			e.command.Name = e.state.prepared.shared
		}
	}
	return e, true
}

// outcomeOf decodes a reply to a request that was sent at askedAt.
func outcomeOf(r *api.RelayReply, askedAt time.Duration) attemptResult {
	switch {
	case r.NotRunCode != 0:
		refusal := result.Errorf(result.Code(r.NotRunCode), "%s", r.Reason).WithRetryAfter(time.Duration(r.RetryAfterUs) * time.Microsecond)
		return attemptResult{refused: refusal, askedAt: askedAt}
	case r.NoReply:
		return attemptResult{err: errors.New(r.Reason), sent: r.Sent, askedAt: askedAt}
	}
	reply := Reply{
		Rows: r.Rows, Signature: r.Signature, State: TransactionState(r.State), Position: r.Position,
		ServiceTime: time.Duration(r.ServiceUs) * time.Microsecond,
	}
	if r.Failed {
		reply.Failure = &TargetFailure{Kind: FailureKind(r.FailureKind), Code: r.FailureCode, Text: r.FailureText}
	}
	return attemptResult{reply: reply, sent: true, askedAt: askedAt, confirmed: r.CommitConfirmed}
}

// relayReply encodes an outcome.
func relayReply(outcome attemptResult) *api.RelayReply {
	switch {
	case outcome.refused != nil:
		refusal := refusalOf(outcome.refused)
		return &api.RelayReply{NotRunCode: int(refusal.Code), Reason: refusal.Reason, RetryAfterUs: refusal.RetryAfter.Microseconds()}
	case outcome.err != nil:
		return &api.RelayReply{NoReply: true, Sent: outcome.sent, Reason: outcome.err.Error()}
	}
	reply := outcome.reply
	encoded := &api.RelayReply{
		Rows: reply.Rows, Signature: reply.Signature, State: uint8(reply.State), Position: reply.Position, ServiceUs: reply.ServiceTime.Microseconds(),
	}
	if f := reply.Failure; f != nil {
		encoded.Failed, encoded.FailureKind, encoded.FailureCode, encoded.FailureText = true, uint8(f.Kind), f.Code, f.Text
	}
	return encoded
}

// statusFrom asks one holder of a target for its status. The status is dated from before the request, as if the target had
// been asked directly.
func (g *group) statusFrom(h holder, m *member) (leadership.Status, error) {
	if h.isSelf {
		return g.gateOf(m).status.get()
	}
	askedAt := clock.SinceBoot()
	reply, err := g.relays.Status(h.address, &api.RelayStatusRequest{Group: g.name, Target: m.name}, time.Now().Add(sharedStatusTimeout+relayReserve))
	if err != nil {
		g.peers.avoid(h.address, peerAvoidance, err)
		return leadership.Status{}, err
	}
	if !reply.Held {
		g.peers.avoid(h.address, unawarePeerAvoidance, errors.New(reply.Reason))
		return leadership.Status{}, errors.New(reply.Reason)
	}
	return statusOf(reply, askedAt)
}

func statusOf(r *api.RelayStatusReply, askedAt time.Duration) (leadership.Status, error) {
	if !r.Answered {
		return leadership.Status{}, errors.New(r.Reason)
	}
	return leadership.Status{
		Role: leadership.Role(r.Role), Term: r.Term, PausedTerm: r.PausedTerm, Received: r.Received, AskedAt: askedAt,
	}, nil
}
