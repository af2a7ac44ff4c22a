package frontend

import (
	"strings"

	"github.com/papayacove/papayacove/internal/result"
)

// characteristicsWords are the words before the modes of SET SESSION CHARACTERISTICS.
var characteristicsWords = []string{"set", "session", "characteristics", "as", "transaction"}

// isCharacteristics reports whether a statement sets the defaults of later transactions.
func isCharacteristics(s statement) bool {
	for i, word := range characteristicsWords {
		if !s.at(i).isWord(word) {
			return false
		}
	}
	return true
}

// parseCharacteristics reads the modes of SET SESSION CHARACTERISTICS AS TRANSACTION, which are
// other words for the default_transaction parameters.
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

// modeWords drops the commas, which are optional between modes.
func modeWords(tokens []token) []string {
	var words []string
	for _, t := range tokens {
		if !t.isSymbol(",") {
			words = append(words, t.value)
		}
	}
	return words
}

// transactionMode reads one mode and returns the number of its words, 0 when it is unknown.
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
