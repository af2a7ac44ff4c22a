package terms

import (
	"fmt"
	"maps"
	"testing"

	"github.com/papayacove/papayacove/api"
	"pgregory.net/rapid"
)

// peer is one of the two daemons of an exchange.
type peer struct {
	table    *Table
	exchange *Exchange
}

func newPeer() *peer {
	table := NewTable()
	return &peer{table: table, exchange: NewExchange(table)}
}

// message is a heartbeat reduced to its terms.
type message struct {
	terms  []api.GroupTerm
	digest uint64
}

// apply adds the terms of a message to the table.
func (p *peer) apply(received message) {
	for _, term := range received.terms {
		p.table.Observe(term)
	}
}

// answer applies a message and returns the answer to it.
func (p *peer) answer(received message) message {
	p.apply(received)
	offer := p.table.Answer(received.digest)
	return message{terms: offer.Terms, digest: offer.Digest}
}

// call sends the next offer of p to other and returns the number of terms in the messages that were sent.
func (p *peer) call(other *peer, loseRequest, loseAnswer bool) int {
	offer := p.exchange.Offer()
	sent := len(offer.Terms)
	if loseRequest {
		return sent
	}
	answer := other.answer(message{terms: offer.Terms, digest: offer.Digest})
	if loseAnswer {
		return sent
	}
	p.apply(answer)
	p.exchange.Answered(offer, answer.digest)
	return sent + len(answer.terms)
}

// snapshot returns the newest term of each group.
func (p *peer) snapshot() map[string]api.GroupTerm {
	all := make(map[string]api.GroupTerm)
	for _, term := range p.table.All() {
		all[term.Group] = term
	}
	return all
}

func drawTerm(t *rapid.T) api.GroupTerm {
	group := fmt.Sprintf("rounds-%d", rapid.IntRange(0, 5).Draw(t, "group"))
	term := rapid.Uint64Range(1, 6).Draw(t, "term")
	drawn := api.GroupTerm{Group: group, Term: term}
	if rapid.Bool().Draw(t, "recorded") {
		drawn.Primary = fmt.Sprintf("%s-%d", group, term)
	}
	return drawn
}

// TestExchangeConverges guards against tables that stay different after lost messages or a restart of a peer. It
// expects that two complete exchanges make the tables equal and that a third sends no terms.
func TestExchangeConverges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		first, second := newPeer(), newPeer()
		t.Repeat(map[string]func(*rapid.T){
			"first observes":  func(t *rapid.T) { first.table.Observe(drawTerm(t)) },
			"second observes": func(t *rapid.T) { second.table.Observe(drawTerm(t)) },
			"exchange": func(t *rapid.T) {
				first.call(second, rapid.Bool().Draw(t, "lose request"), rapid.Bool().Draw(t, "lose answer"))
			},
			"second restarts": func(*rapid.T) { second = newPeer() },
		})
		first.call(second, false, false)
		first.call(second, false, false)
		if !maps.Equal(first.snapshot(), second.snapshot()) {
			t.Fatalf("tables after two exchanges: got %v and %v, want equal ones", first.snapshot(), second.snapshot())
		}
		if sent := first.call(second, false, false); sent != 0 {
			t.Fatalf("got %d terms sent between equal tables, want none", sent)
		}
	})
}

func TestOfferCarriesOnlyChanges(t *testing.T) {
	first, second := newPeer(), newPeer()
	for i := range 100 {
		first.table.Observe(api.GroupTerm{Group: fmt.Sprint(i), Term: 1})
	}
	first.call(second, false, false)
	first.table.Observe(api.GroupTerm{Group: "7", Term: 2})
	if sent := first.call(second, false, false); sent != 1 {
		t.Errorf("got %d terms sent after one change, want 1", sent)
	}
	if current, _ := second.table.Current("7"); current.Term != 2 {
		t.Errorf("known term of the other peer: got %d, want 2", current.Term)
	}
}
