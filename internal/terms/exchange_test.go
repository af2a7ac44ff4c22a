package terms

import (
	"fmt"
	"maps"
	"testing"

	"github.com/papayacove/papayacove/api"
	"pgregory.net/rapid"
)

// side is one daemon of an exchange.
type side struct {
	table    *Table
	exchange *Exchange
}

func newSide() *side {
	table := NewTable()
	return &side{table: table, exchange: NewExchange(table)}
}

// message is a heartbeat reduced to its terms.
type message struct {
	terms  []api.GroupTerm
	digest uint64
}

func (s *side) take(received message) {
	for _, term := range received.terms {
		s.table.Observe(term)
	}
}

// answer takes in a message and answers it.
func (s *side) answer(received message) message {
	s.take(received)
	offer := s.table.Answer(received.digest)
	return message{terms: offer.Terms, digest: offer.Digest}
}

// call sends the next offer of s to other and returns the number of terms that were sent.
func (s *side) call(other *side, loseRequest, loseAnswer bool) int {
	offer := s.exchange.Offer()
	sent := len(offer.Terms)
	if loseRequest {
		return sent
	}
	answer := other.answer(message{terms: offer.Terms, digest: offer.Digest})
	if loseAnswer {
		return sent
	}
	s.take(answer)
	s.exchange.Answered(offer, answer.digest)
	return sent + len(answer.terms)
}

func (s *side) snapshot() map[string]api.GroupTerm {
	all := make(map[string]api.GroupTerm)
	for _, term := range s.table.All() {
		all[term.Group] = term
	}
	return all
}

func drawTerm(t *rapid.T) api.GroupTerm {
	group := fmt.Sprintf("rounds-%d", rapid.IntRange(0, 5).Draw(t, "group"))
	term := rapid.Uint64Range(1, 6).Draw(t, "term")
	seen := api.GroupTerm{Group: group, Term: term}
	if rapid.Bool().Draw(t, "recorded") {
		seen.Primary = fmt.Sprintf("%s-%d", group, term)
	}
	return seen
}

// TestExchangeConverges loses messages, restarts a side, and then expects that two whole exchanges
// make the tables equal and that a third sends no term.
func TestExchangeConverges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		first, second := newSide(), newSide()
		t.Repeat(map[string]func(*rapid.T){
			"first observes":  func(t *rapid.T) { first.table.Observe(drawTerm(t)) },
			"second observes": func(t *rapid.T) { second.table.Observe(drawTerm(t)) },
			"exchange": func(t *rapid.T) {
				first.call(second, rapid.Bool().Draw(t, "lose request"), rapid.Bool().Draw(t, "lose answer"))
			},
			"second restarts": func(*rapid.T) { second = newSide() },
		})
		first.call(second, false, false)
		first.call(second, false, false)
		if !maps.Equal(first.snapshot(), second.snapshot()) {
			t.Fatalf("tables differ: %v and %v", first.snapshot(), second.snapshot())
		}
		if sent := first.call(second, false, false); sent != 0 {
			t.Fatalf("%d terms were sent between equal tables", sent)
		}
	})
}

func TestOfferCarriesOnlyChanges(t *testing.T) {
	first, second := newSide(), newSide()
	for i := range 100 {
		first.table.Observe(api.GroupTerm{Group: fmt.Sprint(i), Term: 1})
	}
	first.call(second, false, false)
	first.table.Observe(api.GroupTerm{Group: "7", Term: 2})
	if sent := first.call(second, false, false); sent != 1 {
		t.Errorf("%d terms were sent after one change", sent)
	}
	if current, _ := second.table.Current("7"); current.Term != 2 {
		t.Errorf("the other side knows term %d", current.Term)
	}
}
