package frontend

import (
	"context"
	"fmt"
	"strings"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/papayacove/papayacove/api"
	"github.com/papayacove/papayacove/internal/result"
)

const (
	// textOID is the OID of the type text. All values that the frontend returns itself have this type.
	textOID = 25
	// variableSize is the size that RowDescription gives for a type without a fixed length.
	variableSize = -1
	// outcomeColumn is the name of the function and of its column that report the outcome of an operation key.
	outcomeColumn = ownPrefix + "_outcome"
)

// PositionReporter is implemented by session runners that can report the confirmed log position that the session
// relies on.
type PositionReporter interface {
	// Position returns the highest confirmed log position that the session relies on. Later reads of the session
	// without an allowed age must not fall behind it.
	Position() api.Position
}

// localAnswer is the answer to a statement that the frontend handles itself.
type localAnswer struct {
	// column is the name of the only column; empty for a statement without rows.
	column string
	value  string
	// tag is the command tag of CommandComplete.
	tag string
	// statuses are the parameters that the statement changed and that are reported to the caller.
	statuses []pgproto3.ParameterStatus
}

// appendDescription appends RowDescription, or nothing for a statement without rows.
func (a localAnswer) appendDescription(out []byte) []byte {
	if a.column == "" {
		return out
	}
	return appendColumn(out, a.column)
}

// appendResult appends the row, if there is one, CommandComplete, and ParameterStatus of the changed parameters.
func (a localAnswer) appendResult(out []byte) []byte {
	if a.column != "" {
		out = appendMessage(out, &pgproto3.DataRow{Values: [][]byte{[]byte(a.value)}})
	}
	out = appendMessage(out, &pgproto3.CommandComplete{CommandTag: []byte(a.tag)})
	for _, status := range a.statuses {
		out = appendMessage(out, &status)
	}
	return out
}

// appendColumn appends RowDescription with one text column, or NoData when name is empty.
func appendColumn(out []byte, name string) []byte {
	if name == "" {
		return appendMessage(out, &pgproto3.NoData{})
	}
	field := pgproto3.FieldDescription{
		Name:         []byte(name),
		DataTypeOID:  textOID,
		DataTypeSize: variableSize,
		TypeModifier: -1,
	}
	return appendMessage(out, &pgproto3.RowDescription{Fields: []pgproto3.FieldDescription{field}})
}

// resultColumn returns the name of the column in the answer of the frontend; it is empty when there are no rows.
func (s statement) resultColumn() string {
	switch s.kind {
	case kindShow:
		name, _ := parameterName(s.tokens[1:])
		return name
	case kindOutcome:
		return outcomeColumn
	case kindSetConfig:
		return "set_config"
	}
	return ""
}

// answer runs a statement that concerns only the session, without a target.
func (s *session) answer(ctx context.Context, st *statement) (localAnswer, error) {
	if s.block.isLost && st.kind != kindEndLostBlock {
		return localAnswer{}, errInFailedBlock()
	}
	switch st.kind {
	case kindSet, kindReset, kindSetConfig:
		return s.answerAssignment(st)
	case kindDiscard:
		return s.answerDiscard(st)
	case kindDeallocate:
		return s.answerDeallocate(st)
	case kindUnlisten:
		return localAnswer{tag: "UNLISTEN"}, nil
	case kindShow:
		return s.answerShow(ctx, st)
	case kindOutcome:
		return s.answerOutcome(ctx, st)
	case kindEndLostBlock:
		s.block = transactionBlock{}
		s.status = StatusIdle
		return localAnswer{tag: "ROLLBACK"}, nil
	}
	return localAnswer{}, result.Errorf(result.Internal, "no answer to statement kind %d", st.kind)
}

// requireIdle returns Unsupported inside a transaction block. PostgreSQL would undo the operation when the
// block is rolled back, which the frontend does not do.
func (s *session) requireIdle(what string) error {
	if s.status == StatusIdle {
		return nil
	}
	return result.Errorf(result.Unsupported, "%s inside a transaction block is not supported", what)
}

func (s *session) answerAssignment(st *statement) (localAnswer, error) {
	if err := s.requireIdle(strings.ToUpper(st.verb())); err != nil {
		return localAnswer{}, err
	}
	assignments, err := parseAssignments(st)
	if err != nil {
		return localAnswer{}, err
	}
	before := s.statuses()
	for _, a := range assignments {
		if err := s.settings.assign(a); err != nil {
			return localAnswer{}, err
		}
	}
	answer := localAnswer{statuses: s.changedStatuses(before)}
	switch st.kind {
	case kindSetConfig:
		answer.column, answer.value, answer.tag = st.resultColumn(), assignments[0].value, "SELECT 1"
	case kindReset:
		answer.tag = "RESET"
	default:
		answer.tag = "SET"
	}
	return answer, nil
}

// parseAssignments parses a SET, RESET or set_config. Without an error it returns at least one assignment.
func parseAssignments(st *statement) ([]assignment, *result.Error) {
	if isCharacteristics(*st) {
		return parseCharacteristics(*st)
	}
	parse := parseSet
	switch st.kind {
	case kindReset:
		parse = parseReset
	case kindSetConfig:
		parse = parseSetConfig
	}
	a, err := parse(*st)
	if err != nil {
		return nil, err
	}
	return []assignment{a}, nil
}

func (s *session) answerDiscard(st *statement) (localAnswer, error) {
	if err := s.requireIdle("DISCARD"); err != nil {
		return localAnswer{}, err
	}
	target := st.at(1)
	switch {
	case len(st.tokens) != 2:
	case target.isWord("all"):
		before := s.statuses()
		s.settings.resetAll()
		s.statements.removeAll()
		return localAnswer{tag: "DISCARD ALL", statuses: s.changedStatuses(before)}, nil
	case target.isWord("plans", "sequences", "temp", "temporary"):
		return localAnswer{tag: "DISCARD " + strings.ToUpper(target.value)}, nil
	}
	return localAnswer{}, result.Errorf(result.Unsupported, "this form of DISCARD is not supported")
}

func (s *session) answerDeallocate(st *statement) (localAnswer, error) {
	tokens := st.tokens[1:]
	if len(tokens) > 1 && tokens[0].isWord("prepare") {
		tokens = tokens[1:]
	}
	if len(tokens) != 1 {
		return localAnswer{}, result.Errorf(result.Unsupported, "this form of DEALLOCATE is not supported")
	}
	if tokens[0].isWord("all") {
		s.statements.removeAll()
		return localAnswer{tag: "DEALLOCATE ALL"}, nil
	}
	if _, err := s.statements.get(tokens[0].value); err != nil {
		return localAnswer{}, err
	}
	s.statements.remove(tokens[0].value)
	return localAnswer{tag: "DEALLOCATE"}, nil
}

func (s *session) answerShow(ctx context.Context, st *statement) (localAnswer, error) {
	name := st.resultColumn()
	answer := localAnswer{column: name, tag: "SHOW"}
	switch name {
	case maxStalenessName:
		answer.value = "off"
		if s.settings.maxAge >= 0 {
			answer.value = s.settings.maxAge.String()
		}
	case operationKeyName:
		answer.value = s.settings.operationKey
	case positionName:
		reporter, ok := s.runner.(PositionReporter)
		if !ok {
			return localAnswer{}, result.Errorf(result.Unsupported, "the position of the session is not known")
		}
		position := reporter.Position()
		answer.value = fmt.Sprintf("%d/%d", position.Term, position.Offset)
	case outcomeName:
		value, err := s.outcomeOf(ctx, s.settings.lastOperationKey)
		if err != nil {
			return localAnswer{}, err
		}
		answer.value = value
	default:
		return localAnswer{}, result.Errorf(result.Unsupported, "there is no parameter %q", name)
	}
	return answer, nil
}
