package terms

import (
	"sync"

	"github.com/papayacove/papayacove/api"
)

// Offer is what one message to a peer says about terms.
type Offer struct {
	// Terms are those that have changed since the last message that the peer answered.
	Terms []api.GroupTerm
	// Digest describes all terms of the sender.
	Digest uint64

	change uint64
}

// Exchange decides which terms go to one peer. It is safe for concurrent use.
type Exchange struct {
	table *Table

	mu sync.Mutex
	// acknowledged is the last change of the table that the peer has taken in.
	acknowledged uint64
}

// NewExchange returns an exchange with a peer that has no terms yet.
func NewExchange(table *Table) *Exchange {
	return &Exchange{table: table}
}

// Offer returns what to send next.
func (e *Exchange) Offer() Offer {
	e.mu.Lock()
	acknowledged := e.acknowledged
	e.mu.Unlock()
	return e.table.since(acknowledged)
}

// Answered takes in the digest with which the peer answered an offer, after the terms of the
// answer went into the table. While the digests differ, the next offer carries all terms.
func (e *Exchange) Answered(sent Offer, digest uint64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if digest != e.table.Digest() {
		e.acknowledged = 0
		return
	}
	e.acknowledged = max(e.acknowledged, sent.change)
}

// Answer returns the offer that answers a message with digest, after the terms of the message
// went into the table: all terms when the digests differ, else none.
func (t *Table) Answer(digest uint64) Offer {
	if t.Digest() == digest {
		return Offer{Digest: digest}
	}
	return t.since(0)
}
