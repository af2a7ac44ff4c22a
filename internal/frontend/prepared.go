package frontend

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"strings"
	"unique"

	"github.com/papayacove/papayacove/api"
	"github.com/papayacove/papayacove/internal/result"
)

const (
	// derivedPrefix starts the names that prepared statements have on targets.
	derivedPrefix = "p_"
	// derivedHashBytes of SHA-256 make a collision infeasible, also for a caller who seeks one
	// to have its text run in the place of another.
	derivedHashBytes = 16
	// closedName is never prepared on a target, so that closing it has no effect.
	closedName = "papayacove_closed"
	// maxPreparedStatements is the number of named statements of one session.
	maxPreparedStatements = 2048
	// maxPreparedBytes is the length of the named statements of one session together.
	maxPreparedBytes = 4 << 20
	// maxUnnamedBytes is the length up to which an unnamed statement outlives its batch.
	maxUnnamedBytes = 64 << 10
)

// definition is the content of a prepared statement. The types are encoded in a string, so that
// equal definitions are equal values and sessions share their memory.
type definition struct {
	query string
	oids  string
}

// preparedStatement is a statement that a session has prepared.
type preparedStatement struct {
	definition definition
	// shared keeps the one copy of the definition that all sessions use.
	shared unique.Handle[definition]
	// name is the name on targets; empty until it is needed.
	name   string
	access api.ExecuteRequestAccess
	block  blockEffect
	hints  hints
	// mayOpenReadOnly is true for a BEGIN that leaves it to the session whether it is read-only.
	mayOpenReadOnly bool
	// takesKey is true when the statement may write and so uses an operation key.
	takesKey bool
	// local is set when the frontend answers the statement itself.
	local *statement
}

// prepare classifies a statement for the extended protocol.
func prepare(text string, oids []uint32) (preparedStatement, *result.Error) {
	q := classify(text)
	if reason := q.refusal(); reason != "" {
		return preparedStatement{}, result.Errorf(result.Unsupported, "%s", reason)
	}
	if err := q.hints.check(); err != nil {
		return preparedStatement{}, err
	}
	p := preparedStatement{
		definition: definition{query: text, oids: encodeOIDs(oids)},
		access:     q.access(),
		hints:      q.hints,
		takesKey:   q.takesKey(false),
	}
	if len(q.statements) == 1 {
		p.block = q.statements[0].block
		p.mayOpenReadOnly = q.statements[0].opensReadOnly(true)
	}
	if !q.isLocal() {
		return p, nil
	}
	if len(q.statements) > 1 {
		return preparedStatement{}, result.Errorf(result.Unsupported, "a prepared statement holds one command")
	}
	p.local = &q.statements[0]
	return p, nil
}

// named returns the statement with its name on targets and with shared memory.
func (p preparedStatement) named() preparedStatement {
	if p.name != "" {
		return p
	}
	p.shared = unique.Make(p.definition)
	p.definition = p.shared.Value()
	p.name = derivedName(p.definition)
	return p
}

// size is the length of the definition in bytes.
func (p preparedStatement) size() int {
	return len(p.definition.query) + len(p.definition.oids)
}

// derivedName depends on the content only, so that equal statements share a target connection.
func derivedName(d definition) string {
	hash := sha256.New()
	hash.Write([]byte(d.oids))
	hash.Write([]byte{0})
	hash.Write([]byte(d.query))
	sum := hash.Sum(nil)
	return derivedPrefix + hex.EncodeToString(sum[:derivedHashBytes])
}

func encodeOIDs(oids []uint32) string {
	var text strings.Builder
	for _, oid := range oids {
		text.Write(binary.BigEndian.AppendUint32(nil, oid))
	}
	return text.String()
}

func decodeOIDs(text string) []uint32 {
	oids := make([]uint32, 0, len(text)/4)
	for ; len(text) >= 4; text = text[4:] {
		oids = append(oids, binary.BigEndian.Uint32([]byte(text[:4])))
	}
	return oids
}

// message returns the definition for the gate.
func (p preparedStatement) message() api.PreparedStatement {
	return api.PreparedStatement{
		Name:          p.name,
		ParameterOids: decodeOIDs(p.definition.oids),
		Query:         p.definition.query,
	}
}

// statementTable holds the prepared statements of a session by the names of the caller.
type statementTable struct {
	named map[string]preparedStatement
	// namedBytes is the length of the named definitions.
	namedBytes int
	// unnamed is the last statement that was parsed without a name; nil when there is none.
	unnamed *preparedStatement
}

// set remembers a statement. A named one must have its name on targets.
func (t *statementTable) set(name string, p preparedStatement) *result.Error {
	if name == "" {
		t.unnamed = &p
		return nil
	}
	t.close(name)
	if len(t.named) >= maxPreparedStatements || t.namedBytes+p.size() > maxPreparedBytes {
		return result.Errorf(result.Unsupported, "a session may prepare at most %d statements of %d bytes together",
			maxPreparedStatements, maxPreparedBytes)
	}
	if t.named == nil {
		t.named = make(map[string]preparedStatement)
	}
	t.named[name] = p
	t.namedBytes += p.size()
	return nil
}

// trim forgets an unnamed statement that is too long to be kept between batches.
func (t *statementTable) trim() {
	if t.unnamed != nil && t.unnamed.size() > maxUnnamedBytes {
		t.unnamed = nil
	}
}

func (t *statementTable) get(name string) (preparedStatement, error) {
	if name == "" && t.unnamed != nil {
		return *t.unnamed, nil
	}
	if p, ok := t.named[name]; ok {
		return p, nil
	}
	if name == "" {
		return preparedStatement{}, &failure{sqlStateUndefinedStatement, "unnamed prepared statement does not exist"}
	}
	return preparedStatement{}, &failure{sqlStateUndefinedStatement, `prepared statement "` + name + `" does not exist`}
}

func (t *statementTable) close(name string) bool {
	if name == "" {
		existed := t.unnamed != nil
		t.unnamed = nil
		return existed
	}
	p, existed := t.named[name]
	if existed {
		t.namedBytes -= p.size()
		delete(t.named, name)
	}
	return existed
}

func (t *statementTable) closeAll() {
	t.named = nil
	t.namedBytes = 0
	t.unnamed = nil
}
