package frontend

import (
	"strings"

	"github.com/papayacove/papayacove/internal/result"
)

// characteristicsWords are the keywords that precede the modes of SET SESSION CHARACTERISTICS.
var characteristicsWords = []string{"set", "session", "characteristics", "as", "transaction"}

// isCharacteristics reports whether a statement is a SET SESSION CHARACTERISTICS, which sets the default modes of
// later transactions.
func isCharacteristics(s statement) bool {
	for i, word := range characteristicsWords {
		if !s.at(i).isWord(word) {
			return false
		}
	}
	return true
}

// parseCharacteristics parses the modes of SET SESSION CHARACTERISTICS AS TRANSACTION. Each mode
// sets one of the default_transaction parameters.
func parseCharacteristics(s statement) ([]assignment, *result.Error) {
	words := modeWords(s.tokens[len(characteristicsWords):])
	var assignments []assignment
	for len(words) > 0 {
		a, length := transactionMode(words)
		if length == 0 {
			return nil, unsupportedSet()
		}
		assignments = append(assignments, a)
		words = words[length:]
	}
	if len(assignments) == 0 {
		return nil, unsupportedSet()
	}
	return assignments, nil
}

// modeWords returns the words without the commas, which are optional between modes.
func modeWords(tokens []token) []string {
	var words []string
	for _, t := range tokens {
		if !t.isSymbol(",") {
			words = append(words, t.value)
		}
	}
	return words
}

// transactionMode parses the first mode and returns its assignment and the number of its words, which is 0 for an
// unknown mode.
func transactionMode(words []string) (assignment, int) {
	const isolation = "default_transaction_isolation"
	const deferrable = "default_transaction_deferrable"
	modes := []struct {
		words      string
		assignment assignment
	}{
		{"read only", assignment{name: readOnlyName, value: "on"}},
		{"read write", assignment{name: readOnlyName, value: "off"}},
		{"isolation level serializable", assignment{name: isolation, value: "serializable"}},
		{"isolation level repeatable read", assignment{name: isolation, value: "repeatable read"}},
		{"isolation level read committed", assignment{name: isolation, value: "read committed"}},
		{"isolation level read uncommitted", assignment{name: isolation, value: "read uncommitted"}},
		{"deferrable", assignment{name: deferrable, value: "on"}},
		{"not deferrable", assignment{name: deferrable, value: "off"}},
	}
	text := strings.Join(words, " ") + " "
	for _, mode := range modes {
		if strings.HasPrefix(text, mode.words+" ") {
			return mode.assignment, strings.Count(mode.words, " ") + 1
		}
	}
	return assignment{}, 0
}
