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

// transaction is a transaction block, or a pipeline that a Flush left open, that keeps a connection.
type transaction struct {
	session  string
	sequence uint64
	slot     *slot
	// connectionMu is held while the idle connection is checked or rolled back, so that no batch uses it meanwhile.
	connectionMu sync.Mutex
	checkedAt    time.Time
	lastUsed     time.Time
	busy         bool
	// endRequested is true when the transaction must be rolled back once its current batch has ended.
	endRequested bool
	admitted     *ticket
	// leads is true when the target was the primary at the start of the transaction; term is the term at that time.
	leads bool
	term  api.GroupTerm
	// inPipeline is true while a pipeline is open, whose Sync may commit; failed is true when the target skips the
	// messages of the pipeline up to Sync after an error.
	inPipeline bool
	failed     bool
}

// recordBatch records the state in which a batch has left the connection.
func (t *transaction) recordBatch(b *batch, transactionStatus byte) {
	t.inPipeline = transactionStatus == statusOpenPipeline
	t.failed = t.inPipeline && b.failed
	t.lastUsed = time.Now()
}

// transactions is the table of the transactions in progress at one target, by session. It is safe for concurrent use
// and guards the fields of the transactions in it.
type transactions struct {
	mu   sync.Mutex
	open map[string]*transaction
}

func newTransactions() *transactions {
	return &transactions{open: make(map[string]*transaction)}
}

// resume marks the transaction of a session as busy with a batch and returns it. It refuses a batch whose sequence
// number is not higher than that of the last one.
func (t *transactions) resume(req *api.ExecuteRequest) (*transaction, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	found, ok := t.open[req.SessionID]
	if !ok || found.endRequested {
		return nil, result.Errorf(result.TransactionLost, "the connection of the transaction was closed and the transaction rolled back")
	}
	// A repeated or delayed batch must not run again within the transaction.
	if found.busy || req.Sequence <= found.sequence {
		return nil, result.Errorf(result.ProtocolViolation, "batch %d follows batch %d of the session", req.Sequence, found.sequence)
	}
	found.busy = true
	found.sequence = req.Sequence
	return found, nil
}

// begin adds a transaction, which keeps the connection of its first batch.
func (t *transactions) begin(b *batch, transactionStatus byte) {
	t.mu.Lock()
	defer t.mu.Unlock()
	session := b.req.SessionID
	_, exists := t.open[session]
	invariant.Check(!exists, "one_transaction_per_session", logrus.Fields{logfield.Session: session})
	begun := &transaction{
		session: session, sequence: b.req.Sequence, slot: b.slot, admitted: b.admitted, leads: b.leads, term: b.term,
	}
	begun.recordBatch(b, transactionStatus)
	t.open[session] = begun
}

// idle records the end of a batch of a transaction. It reports whether the end of the transaction was requested in the
// meantime; the transaction is then removed, and the caller rolls it back.
func (t *transactions) idle(b *batch, transactionStatus byte) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	session := b.req.SessionID
	found, ok := t.open[session]
	if !ok {
		return false
	}
	found.busy = false
	found.recordBatch(b, transactionStatus)
	if found.endRequested {
		delete(t.open, session)
		return true
	}
	return false
}

// end removes the transaction of a session.
func (t *transactions) end(session string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.open, session)
}

// abandon removes and returns the idle transactions that match. Busy ones that match are marked, and end after their
// current batch.
func (t *transactions) abandon(matches func(*transaction) bool) []*transaction {
	t.mu.Lock()
	defer t.mu.Unlock()
	var ended []*transaction
	for session, found := range t.open {
		if !matches(found) {
			continue
		}
		if found.busy {
			found.endRequested = true
			continue
		}
		delete(t.open, session)
		ended = append(ended, found)
	}
	return ended
}

// due returns the idle transactions that are due for a check: their connection was neither used nor checked within age.
// Open pipelines are left out, because the Sync of a check would end them.
func (t *transactions) due(age time.Duration) []*transaction {
	t.mu.Lock()
	defer t.mu.Unlock()
	var due []*transaction
	for _, found := range t.open {
		if !found.busy && !found.inPipeline && time.Since(found.lastUsed) > age && time.Since(found.checkedAt) > age {
			due = append(due, found)
		}
	}
	return due
}

// startCheck reports whether a transaction is still open and idle; if so, it sets the time of its last check.
func (t *transactions) startCheck(checked *transaction) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.open[checked.session] != checked || checked.busy {
		return false
	}
	checked.checkedAt = time.Now()
	return true
}

// isEndRequested reports whether a transaction must end instead of running its next batch.
func (t *transactions) isEndRequested(resumed *transaction) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return resumed.endRequested
}

func (t *transactions) count() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.open)
}
