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
	// derivedPrefix begins the names that prepared statements have on targets.
	derivedPrefix = "p_"
	// derivedHashBytes is the number of bytes of the SHA-256 hash in a derived name. 16 bytes make a
	// collision infeasible, also for a caller that seeks one to run its text in place of another.
	derivedHashBytes = 16
	// closedName is never prepared on a target, so that closing it has no effect.
	closedName = "papayacove_closed"
)

// definition is the content of a prepared statement. The OIDs of the parameter types are encoded in a
// string, so that definitions are comparable and sessions can share the memory of equal ones.
type definition struct {
	query string
	oids  string
}

// preparedStatement is a statement that a session has prepared.
type preparedStatement struct {
	definition definition
	// shared keeps alive the copy of the definition that all sessions share.
	shared unique.Handle[definition]
	// name is the derived name on targets; empty until named sets it.
	name   string
	access api.ExecuteRequestAccess
	block  blockEffect
	hints  hints
	// mayOpenReadOnly is true for a BEGIN that opens a read-only block if the session is read-only by default.
	mayOpenReadOnly bool
	// usesOperationKey is true when the statement may write and therefore uses an operation key.
	usesOperationKey bool
	// local is the statement when the frontend answers it itself, or nil.
	local *statement
}

// prepare classifies a statement of the extended protocol. It returns Unsupported for one that is refused.
func prepare(text string, oids []uint32) (preparedStatement, *result.Error) {
	q := classify(text)
	if reason := q.refusal(); reason != "" {
		return preparedStatement{}, result.Errorf(result.Unsupported, "%s", reason)
	}
	if err := q.hints.check(); err != nil {
		return preparedStatement{}, err
	}
	p := preparedStatement{
		definition:       definition{query: text, oids: encodeOIDs(oids)},
		access:           q.access(),
		hints:            q.hints,
		usesOperationKey: q.usesOperationKey(false),
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

// named returns the statement with its derived name and with a definition whose memory sessions share.
func (p preparedStatement) named() preparedStatement {
	if p.name != "" {
		return p
	}
	p.shared = unique.Make(p.definition)
	p.definition = p.shared.Value()
	p.name = derivedName(p.definition)
	return p
}

// size returns the length of the definition in bytes.
func (p preparedStatement) size() int {
	return len(p.definition.query) + len(p.definition.oids)
}

// derivedName returns the name on targets. It depends on the content only, so that sessions with equal statements
// share what is prepared on a connection.
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

// message returns the definition in the form that is sent to the gate.
func (p preparedStatement) message() api.PreparedStatement {
	return api.PreparedStatement{
		Name:          p.name,
		ParameterOids: decodeOIDs(p.definition.oids),
		Query:         p.definition.query,
	}
}
