package frontend

import (
	"fmt"

	"github.com/papayacove/papayacove/internal/result"
)

const (
	// maxPreparedStatements is the number of named statements that one session may have.
	maxPreparedStatements = 2048
	// maxPreparedBytes is the total size of the named statements that one session may have.
	maxPreparedBytes = 4 << 20
	// maxUnnamedBytes is the largest size of an unnamed statement that is kept after its batch.
	maxUnnamedBytes = 64 << 10
)

// statementTable contains the prepared statements of a session by the names that the caller gave them.
type statementTable struct {
	named map[string]preparedStatement
	// namedBytes is the total size of the named definitions.
	namedBytes int
	// unnamed is the last statement that was parsed without a name; nil when there is none.
	unnamed *preparedStatement
}

// statementChange records the effect of a Parse or Close on the statement table, so that it can be undone when the
// target does not execute the message.
type statementChange struct {
	name string
	// closed is the statement that a Close removed; nil for a Parse and for a Close without effect.
	closed *preparedStatement
	// isPortal is true for the Close of a portal, which changes no statement but has a CloseComplete like that of a
	// statement.
	isPortal bool
}

// add adds a statement under the name that the caller gave it; a named one must have its derived name already. It
// returns an error for a name that is in use, and Unsupported beyond the limits of a session.
func (t *statementTable) add(name string, p preparedStatement) error {
	if name == "" {
		t.unnamed = &p
		return nil
	}
	if _, exists := t.named[name]; exists {
		return &failure{sqlStateDuplicateStatement, fmt.Sprintf("prepared statement %q already exists", name)}
	}
	if len(t.named) >= maxPreparedStatements || t.namedBytes+p.size() > maxPreparedBytes {
		return result.Errorf(result.Unsupported, "a session may prepare at most %d statements of %d bytes together",
			maxPreparedStatements, maxPreparedBytes)
	}
	t.insert(name, p)
	return nil
}

func (t *statementTable) insert(name string, p preparedStatement) {
	if t.named == nil {
		t.named = make(map[string]preparedStatement)
	}
	t.named[name] = p
	t.namedBytes += p.size()
}

// get returns the statement with a name. The error for an unknown name is that of PostgreSQL.
func (t *statementTable) get(name string) (preparedStatement, error) {
	if name == "" {
		if t.unnamed == nil {
			return preparedStatement{}, &failure{sqlStateUndefinedStatement, "unnamed prepared statement does not exist"}
		}
		return *t.unnamed, nil
	}
	p, exists := t.named[name]
	if !exists {
		return preparedStatement{}, &failure{sqlStateUndefinedStatement, fmt.Sprintf("prepared statement %q does not exist", name)}
	}
	return p, nil
}

// remove removes a statement. It returns the removed statement, or nil for an unnamed or unknown one.
func (t *statementTable) remove(name string) *preparedStatement {
	if name == "" {
		t.unnamed = nil
		return nil
	}
	p, exists := t.named[name]
	if !exists {
		return nil
	}
	t.namedBytes -= p.size()
	delete(t.named, name)
	return &p
}

// undo reverts the last changes in reverse order. An unnamed statement is not restored, because
// PostgreSQL drops it as soon as the next Parse begins.
func (t *statementTable) undo(changes []statementChange) {
	for i := len(changes) - 1; i >= 0; i-- {
		change := changes[i]
		if change.isPortal {
			continue
		}
		t.remove(change.name)
		if change.closed != nil {
			t.insert(change.name, *change.closed)
		}
	}
}

// trim removes an unnamed statement that is too large to be kept between batches.
func (t *statementTable) trim() {
	if t.unnamed != nil && t.unnamed.size() > maxUnnamedBytes {
		t.unnamed = nil
	}
}

func (t *statementTable) removeAll() {
	*t = statementTable{}
}
