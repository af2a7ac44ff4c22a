package frontend

import (
	"strings"
	"time"

	"github.com/papayacove/papayacove/internal/result"
)

const (
	// ownPrefix begins the names of the parameters and functions of papayacove itself.
	ownPrefix = "papayacove"
	// noMaxAge means that the age of the data is not checked: reads are bound by the minimum position of the session
	// only.
	noMaxAge time.Duration = -1
)

// hints are the options in a comment before the first statement of a query:
// /* papayacove operation_key=abc max_staleness=1s */.
type hints struct {
	operationKey string
	maxAge       time.Duration
	hasMaxAge    bool
	err          *result.Error
}

// isHintComment reports whether a comment contains options, which it does when its first word is ownPrefix.
func isHintComment(comment string) bool {
	fields := strings.Fields(comment)
	return len(fields) > 0 && fields[0] == ownPrefix
}

// parseHints parses the options of a comment. An empty comment has none.
func parseHints(comment string) hints {
	var h hints
	fields := strings.Fields(comment)
	if len(fields) == 0 {
		return h
	}
	for _, field := range fields[1:] {
		name, value, _ := strings.Cut(field, "=")
		h.add(name, value)
	}
	return h
}

func (h *hints) add(name, value string) {
	switch name {
	case "operation_key":
		h.operationKey = value
	case "max_staleness":
		h.maxAge, h.err = parseMaxStaleness(value)
		h.hasMaxAge = true
	default:
		h.err = result.Errorf(result.Unsupported, "unknown option %q in a papayacove comment", name)
	}
}

// errMisplacedHint is returned for options in a place where they would have no effect.
var errMisplacedHint = result.Errorf(result.Unsupported, "a papayacove comment is allowed only before the first statement")

// check returns an error when the options are invalid.
func (h hints) check() *result.Error {
	if h.err != nil {
		return h.err
	}
	return checkOperationKey(h.operationKey)
}

// parseMaxStaleness parses a duration such as 5s or 250ms. For "off" it returns noMaxAge.
func parseMaxStaleness(text string) (time.Duration, *result.Error) {
	if strings.EqualFold(text, "off") {
		return noMaxAge, nil
	}
	age, err := time.ParseDuration(text)
	if err != nil || age < 0 {
		return noMaxAge, result.Errorf(result.Unsupported, "max_staleness %q is neither a duration such as 5s nor off", text)
	}
	return age, nil
}

// merge adds the options of a later statement of the same batch, which override those that are set.
func (h *hints) merge(other hints) {
	if other.operationKey != "" {
		h.operationKey = other.operationKey
	}
	if other.hasMaxAge {
		h.maxAge = other.maxAge
		h.hasMaxAge = true
	}
}
