package gate

import (
	"sync"
	"time"

	"github.com/papayacove/papayacove/api"
	"github.com/papayacove/papayacove/internal/invariant"
	"github.com/papayacove/papayacove/internal/logfield"
	"github.com/papayacove/papayacove/internal/result"
	"github.com/sirupsen/logrus"
)

// transaction is a transaction block, or a pipeline left open, that keeps a connection.
type transaction struct {
	session  string
	sequence uint64
	slot     *slot
	// line is held while the idle connection is checked, so that a batch does not meet the check.
	line      sync.Mutex
	checkedAt time.Time
	lastUsed  time.Time
	busy      bool
	doomed    bool
	admitted  *ticket
	// leads and term tell whether and in which term the target was the primary at the start.
	leads bool
	term  api.GroupTerm
	// inPipeline is true while a pipeline is open, whose Sync may commit; failed when it skips to its
	// Sync after an error.
	inPipeline bool
	failed     bool
}

// note takes in how a batch has left the connection.
func (t *transaction) note(b *batch, transactionStatus byte) {
	t.inPipeline = transactionStatus == statusOpenPipeline
	t.failed = t.inPipeline && b.failed
	t.lastUsed = time.Now()
}

// transactions holds what is in progress at one target, by session.
type transactions struct {
	mu   sync.Mutex
	open map[string]*transaction
}

func newTransactions() *transactions {
	return &transactions{open: make(map[string]*transaction)}
}

// resume returns the transaction of a session for its next batch.
func (t *transactions) resume(req *api.ExecuteRequest) (*transaction, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	found, ok := t.open[req.SessionID]
	if !ok || found.doomed {
		return nil, result.Errorf(result.TransactionLost, "the connection of the transaction was closed and the transaction rolled back")
	}
	// A repeated or late batch must not run again within the transaction.
	if found.busy || req.Sequence <= found.sequence {
		return nil, result.Errorf(result.ProtocolViolation, "batch %d follows batch %d of the session", req.Sequence, found.sequence)
	}
	found.busy = true
	found.sequence = req.Sequence
	return found, nil
}

// begin keeps the connection of a batch for its session.
func (t *transactions) begin(b *batch, transactionStatus byte) {
	t.mu.Lock()
	defer t.mu.Unlock()
	session := b.req.SessionID
	_, exists := t.open[session]
	invariant.Check(!exists, "one_transaction_per_session", logrus.Fields{logfield.Session: session})
	begun := &transaction{
		session: session, sequence: b.req.Sequence, slot: b.slot, admitted: b.admitted, leads: b.leads, term: b.term,
	}
	begun.note(b, transactionStatus)
	t.open[session] = begun
}

// idle marks the batch of a transaction as done and reports whether the transaction was doomed
// in the meantime; then the caller ends it.
func (t *transactions) idle(b *batch, transactionStatus byte) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	session := b.req.SessionID
	found, ok := t.open[session]
	if !ok {
		return false
	}
	found.busy = false
	found.note(b, transactionStatus)
	if found.doomed {
		delete(t.open, session)
		return true
	}
	return false
}

// end forgets the transaction of a session.
func (t *transactions) end(session string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.open, session)
}

// abandon takes out the idle transactions that match; busy ones are ended after their batch.
func (t *transactions) abandon(matches func(*transaction) bool) []*transaction {
	t.mu.Lock()
	defer t.mu.Unlock()
	var ended []*transaction
	for session, found := range t.open {
		if !matches(found) {
			continue
		}
		if found.busy {
			found.doomed = true
			continue
		}
		delete(t.open, session)
		ended = append(ended, found)
	}
	return ended
}

// quiet returns the idle transactions whose connection was neither used nor checked lately. An open
// pipeline is left alone, because a check would end it.
func (t *transactions) quiet(age time.Duration) []*transaction {
	t.mu.Lock()
	defer t.mu.Unlock()
	var quiet []*transaction
	for _, found := range t.open {
		if !found.busy && !found.inPipeline && time.Since(found.lastUsed) > age && time.Since(found.checkedAt) > age {
			quiet = append(quiet, found)
		}
	}
	return quiet
}

// startCheck reports whether a transaction is still open and idle, and notes that it is checked.
func (t *transactions) startCheck(checked *transaction) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.open[checked.session] != checked || checked.busy {
		return false
	}
	checked.checkedAt = time.Now()
	return true
}

// isDoomed reports whether a transaction must end instead of running its next batch.
func (t *transactions) isDoomed(resumed *transaction) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return resumed.doomed
}

func (t *transactions) count() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.open)
}
