package terms

import (
	"sync"

	"github.com/papayacove/papayacove/api"
)

// Offer is the part of a message to a peer that is about terms.
type Offer struct {
	// Terms are the terms that the peer is not known to have.
	Terms []api.GroupTerm
	// Digest is the digest of the sender's table.
	Digest uint64

	// change is the number of changes of the sender's table when the offer was made.
	change uint64
}

// Exchange decides which terms are sent to one peer. It is safe for concurrent use.
type Exchange struct {
	table *Table

	mu sync.Mutex
	// acknowledged is the number of the last change of the table that the peer has applied.
	acknowledged uint64
}

// NewExchange returns an Exchange with a peer that has no terms yet.
func NewExchange(table *Table) *Exchange {
	return &Exchange{table: table}
}

// Offer returns the offer for the next message: the terms that have changed since the last one that the peer has
// applied.
func (e *Exchange) Offer() Offer {
	e.mu.Lock()
	acknowledged := e.acknowledged
	e.mu.Unlock()
	return e.table.since(acknowledged)
}

// Answered records the digest with which the peer answered an offer. The terms of the answer have to be in the table by
// then. If the digest is not that of the table, the next offer carries all terms.
func (e *Exchange) Answered(sent Offer, digest uint64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if digest != e.table.Digest() {
		e.acknowledged = 0
		return
	}
	e.acknowledged = max(e.acknowledged, sent.change)
}

// Answer returns the offer that answers a message with a digest, after the terms of the message were added to the
// table: it carries all terms if the digests differ, and none if they are equal.
func (t *Table) Answer(digest uint64) Offer {
	if t.Digest() == digest {
		return Offer{Digest: digest}
	}
	return t.since(0)
}
