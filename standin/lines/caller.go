package lines

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"strings"
	"sync/atomic"
	"time"

	"github.com/papayacove/papayacove/internal/result"
)

// Result is the response to one statement of a caller.
type Result struct {
	Rows []string
	// Signature names the target that executed the statement and the id of the statement. It is "-" if the target
	// recorded no execution.
	Signature string
	// Code is the error code; empty on success.
	Code string
	// Text is the text of the error.
	Text string
	// State is the transaction state of the session: I for idle, T for in a transaction, E for in a failed
	// transaction.
	State string
}

// Caller is a session with a daemon. It isn't safe for concurrent use.
type Caller struct {
	conn net.Conn
	in   *bufio.Reader
	// key is the key that the session was opened with, and log records its statements; nil for none.
	key     string
	log     *CallerLog
	session callerSession
}

// lastRequestID is the latest id that Run gave to a statement.
var lastRequestID atomic.Uint64

// ErrRefused means that the daemon refused to open the session.
var ErrRefused = errors.New("session refused")

// callTimeout is the longest wait for a connection and for the response to a statement.
const callTimeout = 5 * time.Second

// Dial opens a session for a database with the daemon at an address.
func Dial(address, database string) (*Caller, error) {
	return DialWithKey(address, database, "user", nil)
}

// DialWithKey opens a session as Dial does, with a key. log records the statements; nil for none.
func DialWithKey(address, database, key string, log *CallerLog) (*Caller, error) {
	conn, err := net.DialTimeout("tcp", address, callTimeout)
	if err != nil {
		return nil, err
	}
	c := &Caller{conn: conn, in: bufio.NewReader(conn), key: key, log: log, session: newCallerSession(database, conn)}
	_ = conn.SetDeadline(time.Now().Add(callTimeout))
	fmt.Fprintf(conn, "STARTUP %s %s\r\n", database, key)
	line, err := c.in.ReadString('\n')
	if err != nil {
		_ = conn.Close()
		return nil, err
	}
	if !strings.HasPrefix(line, "READY ") {
		_ = conn.Close()
		return nil, fmt.Errorf("%w: %s", ErrRefused, strings.TrimSpace(line))
	}
	return c, nil
}

// Close ends the session.
func (c *Caller) Close() {
	fmt.Fprint(c.conn, "TERMINATE\r\n")
	_ = c.conn.Close()
}

// Run sends a statement with a new id and returns the response.
func (c *Caller) Run(text string) (Result, error) {
	return c.RunAs(fmt.Sprintf("%016x", lastRequestID.Add(1)), text)
}

// RunAs sends a statement with the given id and returns the response. It fails if the connection fails before the
// response is complete.
func (c *Caller) RunAs(id, text string) (Result, error) {
	_ = c.conn.SetDeadline(time.Now().Add(callTimeout))
	s := c.session.record(c.key, text)
	if c.log != nil {
		c.log.recordSent(id, s)
	}
	if _, err := fmt.Fprintf(c.conn, "QUERY %s %s\r\n", id, text); err != nil {
		return Result{}, err
	}
	var r Result
	for {
		line, err := c.in.ReadString('\n')
		if err != nil {
			return r, err
		}
		word, rest, _ := strings.Cut(strings.TrimSuffix(line, "\r\n"), " ")
		switch word {
		case "DATAROW":
			r.Rows = append(r.Rows, rest)
		case "COMPLETE":
			r.Signature = rest
		case "ERROR":
			r.Code, r.Text, _ = strings.Cut(rest, " ")
			if c.log != nil && r.IsOverQuota() {
				c.log.recordRefusedOverQuota(id)
			}
		case "READY":
			r.State, _, _ = strings.Cut(rest, " ")
			c.session.learn(text, s.at, r)
			if c.log != nil {
				c.log.recordResponse(id, r)
			}
			return r, nil
		}
	}
}

// IsOverQuota reports whether the statement was refused because its workspace has used up its operations.
func (r Result) IsOverQuota() bool {
	return strings.Contains(r.Text, fmt.Sprintf(" %d ", int(result.NotRunOverQuota)))
}

// GuaranteesNoEffect reports whether an error code guarantees that the statement had no effect.
func GuaranteesNoEffect(code string) bool {
	return strings.Contains(" BUSY ABORTED LAGGING READONLY MOVED TOOMANY ", " "+code+" ")
}
