package frontend

import (
	"context"
	"strings"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/papayacove/papayacove/api"
	"github.com/papayacove/papayacove/internal/result"
)

const (
	outcomeCommitted    = "committed"
	outcomeNotCommitted = "not committed"
)

// answerOutcome answers SELECT papayacove_outcome('key').
func (s *session) answerOutcome(ctx context.Context, st *statement) (localAnswer, error) {
	isCall := len(st.tokens) == 5 && st.at(2).isSymbol("(") && st.at(3).kind == tokenString && st.at(4).isSymbol(")")
	if !isCall {
		return localAnswer{}, result.Errorf(result.Unsupported, "use SELECT papayacove_outcome('key') with a literal key")
	}
	value, err := s.outcomeOf(ctx, st.at(3).value)
	if err != nil {
		return localAnswer{}, err
	}
	return localAnswer{column: outcomeColumn, value: value, tag: "SELECT 1"}, nil
}

// outcomeOf asks the primary whether a transaction with this operation key was committed. It returns Unsupported
// inside a transaction block and for an empty key.
func (s *session) outcomeOf(ctx context.Context, key string) (string, error) {
	if err := s.requireIdle("asking for an outcome"); err != nil {
		return "", err
	}
	if key == "" {
		return "", result.Errorf(result.Unsupported, "no operation key was used in this session")
	}
	batch := &Batch{
		Messages: outcomeQuery(s.info.Workspace, key),
		Access:   api.ExecuteRequestAccessWrite,
		MaxAge:   noMaxAge,
		Timeout:  s.server.limits.statement,
	}
	var answered outcomeAnswer
	if _, err := s.execute(ctx, batch, answered.add); err != nil {
		return "", err
	}
	if answered.failure != nil {
		return "", answered.failure
	}
	if answered.rows == 0 {
		return outcomeNotCommitted, nil
	}
	return outcomeCommitted, nil
}

// outcomeQuery returns the Query message that selects the record of an operation key.
func outcomeQuery(workspace, key string) []byte {
	text := "SELECT committed_at FROM papayacove_operation WHERE workspace = " + quoteLiteral(workspace) +
		" AND operation_key = " + quoteLiteral(key)
	encoded, err := (&pgproto3.Query{String: text}).Encode(nil)
	if err != nil {
		return nil
	}
	return encoded
}

// quoteLiteral returns text as an SQL string literal. A backslash needs no escape, because gates open
// their connections with standard_conforming_strings on and callers cannot set it to off.
func quoteLiteral(text string) string {
	return "'" + strings.ReplaceAll(text, "'", "''") + "'"
}

// outcomeAnswer parses the answer of the target to outcomeQuery.
type outcomeAnswer struct {
	rows int
	// failure is the error that the target reported; nil for none.
	failure error
}

// add processes a sequence of whole backend messages.
func (a *outcomeAnswer) add(messages []byte) error {
	for len(messages) > 0 {
		first, rest, err := cutMessage(messages)
		if err != nil {
			return err
		}
		a.addMessage(first[0], first[headerBytes:])
		messages = rest
	}
	return nil
}

func (a *outcomeAnswer) addMessage(kind byte, body []byte) {
	switch kind {
	case 'D':
		a.rows++
	case 'E':
		var response pgproto3.ErrorResponse
		if err := response.Decode(body); err != nil {
			a.failure = result.Errorf(result.Internal, "malformed ErrorResponse of a target")
			return
		}
		a.failure = &failure{response.Code, response.Message}
	}
}
