package database

import (
	"strconv"
	"strings"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/jackc/pgx/v5/pgtype"

	"github.com/papayacove/papayacove/internal/target"
)

// callPrefix begins each query of a control connection, such as SELECT * FROM target_fence(3).
const callPrefix = "SELECT * FROM target_"

// controlCall is a parsed query of a control connection.
type controlCall struct {
	name string
	args []string
}

// handleControl executes one message of a control connection. An error ends the connection.
func (s *session) handleControl(message pgproto3.FrontendMessage) error {
	query, ok := message.(*pgproto3.Query)
	if !ok {
		return fatalf(sqlStateProtocolViolation, "control connections take simple queries only")
	}
	c, err := parseCall(query.String)
	if err == nil && c.name == "stream" {
		return s.startStream(c.args)
	}
	var status target.Status
	if err == nil {
		status, err = s.target.executeCall(c)
	}
	if err != nil {
		s.backend.Send(asFailure(err).response())
	} else {
		s.backend.Send(rowDescription(statusColumns(), nil))
		s.backend.Send(&pgproto3.DataRow{Values: statusRow(status)})
		s.backend.Send(&pgproto3.CommandComplete{CommandTag: []byte("SELECT 1")})
	}
	s.sendReady()
	return s.flush()
}

// parseCall parses a query such as SELECT * FROM target_follow(3, 'host:port').
func parseCall(query string) (controlCall, error) {
	rest, ok := strings.CutPrefix(query, callPrefix)
	name, arguments, opened := strings.Cut(rest, "(")
	arguments, closed := strings.CutSuffix(strings.TrimSpace(arguments), ")")
	if !ok || !opened || !closed {
		return controlCall{}, failuref(sqlStateSyntax, "control connections take %sstatus() and orders", callPrefix)
	}
	c := controlCall{name: name}
	for arguments != "" {
		var argument string
		argument, arguments = nextArgument(arguments)
		c.args = append(c.args, argument)
	}
	return c, nil
}

// nextArgument splits off the first argument. A quoted argument may contain commas.
func nextArgument(list string) (argument, rest string) {
	list = strings.TrimSpace(list)
	if strings.HasPrefix(list, "'") {
		argument, rest, _ = strings.Cut(list[1:], "'")
		_, rest, _ = strings.Cut(rest, ",")
		return argument, rest
	}
	argument, rest, _ = strings.Cut(list, ",")
	return strings.TrimSpace(argument), rest
}

// executeCall executes a status query or an order, and returns the status after it.
func (t *Target) executeCall(c controlCall) (target.Status, error) {
	if c.name == "status" {
		return t.statusAfter(c.args)
	}
	if len(c.args) == 0 {
		return target.Status{}, failuref(sqlStateSyntax, "target_%s needs a term", c.name)
	}
	term, err := strconv.ParseUint(c.args[0], 10, 64)
	if err != nil {
		return target.Status{}, failuref(sqlStateSyntax, "term: %v", err)
	}
	switch {
	case c.name == "fence":
		return t.Fence(term)
	case c.name == "promote":
		return t.Promote(term)
	case c.name == "follow" && len(c.args) == 2:
		return t.Follow(term, c.args[1])
	default:
		return target.Status{}, failuref(sqlStateUndefinedFunction, "unknown order %q", c.name)
	}
}

// statusAfter returns the status. If there are arguments (the name of the column, the offset and a
// limit in milliseconds), it first waits until that position reaches the offset, or for the limit.
func (t *Target) statusAfter(args []string) (target.Status, error) {
	if len(args) == 0 {
		return t.Status(), nil
	}
	if len(args) != 3 {
		return target.Status{}, failuref(sqlStateSyntax, "target_status takes 0 or 3 arguments")
	}
	offset, err := strconv.ParseUint(args[1], 10, 64)
	if err != nil {
		return target.Status{}, failuref(sqlStateSyntax, "offset: %v", err)
	}
	limit, err := strconv.ParseInt(args[2], 10, 64)
	if err != nil {
		return target.Status{}, failuref(sqlStateSyntax, "limit: %v", err)
	}
	t.waitUntil(time.Duration(limit)*time.Millisecond, func() bool {
		received, applied := t.positions()
		if args[0] == "applied" {
			return applied.Offset >= offset
		}
		return received.Offset >= offset
	})
	return t.Status(), nil
}

// startStream turns the connection into a replication stream, which lasts until the connection ends.
func (s *session) startStream(args []string) error {
	if len(args) != 3 {
		return fatalf(sqlStateSyntax, "target_stream takes 3 arguments")
	}
	term, err := strconv.ParseUint(args[0], 10, 64)
	if err != nil {
		return fatalf(sqlStateSyntax, "term: %v", err)
	}
	segments, err := parseSegments(args[2])
	if err != nil {
		return fatalf(sqlStateSyntax, "segments: %v", err)
	}
	return s.stream(term, args[1], segments)
}

// statusColumns returns the columns of the status query.
func statusColumns() []column {
	columns := make([]column, len(target.StatusColumns))
	for i, name := range target.StatusColumns {
		columns[i] = column{name: name, oid: pgtype.Int8OID}
	}
	columns[0].oid = pgtype.TextOID
	columns[len(columns)-1].oid = pgtype.BoolOID
	return columns
}

// statusRow returns the values of the status query in text format.
func statusRow(s target.Status) [][]byte {
	leaving := "f"
	if s.Leaving {
		leaving = "t"
	}
	row := [][]byte{[]byte(s.Role)}
	for _, n := range []uint64{s.Term, s.LogTerm, s.Received, s.Applied, s.AppliedTerm} {
		row = append(row, strconv.AppendUint(nil, n, 10))
	}
	return append(row, []byte(leaving))
}
