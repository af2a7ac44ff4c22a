package target

import (
	"fmt"
	"strconv"

	"github.com/papayacove/papayacove/api"
)

// Role is the role of a target in its group.
type Role string

// The roles of a target.
const (
	// RolePrimary accepts writes of its term.
	RolePrimary Role = "primary"
	// RoleReplica streams the log of a primary and serves reads.
	RoleReplica Role = "replica"
	// RoleFenced serves reads, but neither accepts writes nor streams a log.
	RoleFenced Role = "fenced"
)

// Status is the state that a target reports.
type Status struct {
	Role Role `json:"role"`
	// Term is the highest term that the target accepts; fence, promote and follow raise it.
	Term uint64 `json:"term"`
	// LogTerm is the term of the last log record.
	LogTerm uint64 `json:"log_term"`
	// Received is the offset of the last log record, counted across terms.
	Received uint64 `json:"received"`
	// Applied is the offset of the last log record that reads see.
	Applied uint64 `json:"applied"`
	// AppliedTerm is the term of the last applied log record.
	AppliedTerm uint64 `json:"applied_term"`
	// Leaving is true once a planned stop of the target has begun.
	Leaving bool `json:"leaving"`
}

// LogPosition returns the position of the last log record that the target has received.
func (s Status) LogPosition() api.Position {
	return api.Position{Term: s.LogTerm, Offset: s.Received}
}

// AppliedPosition returns the position of the last log record that reads see.
func (s Status) AppliedPosition() api.Position {
	return api.Position{Term: s.AppliedTerm, Offset: s.Applied}
}

// StatusQuery returns the status as one row of text values. It may also be sent as a simple query
// on a slot connection.
const StatusQuery = "SELECT * FROM target_status()"

// Indices of the columns of the row that StatusQuery returns.
const (
	columnRole = iota
	columnTerm
	columnLogTerm
	columnReceived
	columnApplied
	columnAppliedTerm
	columnLeaving
	statusColumns
)

// StatusColumns are the names of the columns that StatusQuery returns, in order.
var StatusColumns = [statusColumns]string{
	"role", "term", "log_term", "received", "applied", "applied_term", "leaving",
}

// ParseStatusRow parses the text values of the row that StatusQuery returns. It fails when the
// number of columns, the role or a number is invalid.
func ParseStatusRow(values [][]byte) (Status, error) {
	if len(values) != statusColumns {
		return Status{}, fmt.Errorf("status row has %d columns, want %d", len(values), statusColumns)
	}
	role := Role(values[columnRole])
	if role != RolePrimary && role != RoleReplica && role != RoleFenced {
		return Status{}, fmt.Errorf("status row has unknown role %q", values[columnRole])
	}
	s := Status{Role: role, Leaving: string(values[columnLeaving]) == "t"}
	numbers := []struct {
		column int
		field  *uint64
	}{
		{columnTerm, &s.Term},
		{columnLogTerm, &s.LogTerm},
		{columnReceived, &s.Received},
		{columnApplied, &s.Applied},
		{columnAppliedTerm, &s.AppliedTerm},
	}
	for _, n := range numbers {
		value, err := strconv.ParseUint(string(values[n.column]), 10, 64)
		if err != nil {
			return Status{}, fmt.Errorf("status column %s: %w", StatusColumns[n.column], err)
		}
		*n.field = value
	}
	return s, nil
}
