package lines

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
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
	c, err := Connect(address, database, key, log)
	if err != nil {
		return nil, err
	}
	if err := c.Startup(); err != nil {
		return nil, err
	}
	return c, nil
}

// Connect opens the connection of a session, which Startup opens. log records the statements; nil for none.
func Connect(address, database, key string, log *CallerLog) (*Caller, error) {
	conn, err := net.DialTimeout("tcp", address, callTimeout)
	if err != nil {
		return nil, err
	}
	session := newCallerSession(database, conn)
	return &Caller{conn: conn, in: bufio.NewReader(conn), key: key, log: log, session: session}, nil
}

// Startup opens the session. If it fails, the connection is closed.
func (c *Caller) Startup() error {
	_ = c.conn.SetDeadline(time.Now().Add(callTimeout))
	fmt.Fprintf(c.conn, "STARTUP %s %s\r\n", c.session.database, c.key)
	line, err := c.in.ReadString('\n')
	if err == nil && !strings.HasPrefix(line, "READY ") {
		err = fmt.Errorf("%w: %s", ErrRefused, strings.TrimSpace(line))
	}
	if err != nil {
		_ = c.conn.Close()
	}
	return err
}

// ReadSlowly makes the caller read answers in small parts with a pause before each.
func (c *Caller) ReadSlowly(part int, pause time.Duration) {
	if tcp, ok := c.conn.(*net.TCPConn); ok {
		_ = tcp.SetReadBuffer(part)
	}
	c.in = bufio.NewReaderSize(slowReader{c.conn, part, pause}, part)
}

// slowReader reads at most part bytes at a time, with a pause before each part.
type slowReader struct {
	from  io.Reader
	part  int
	pause time.Duration
}

// Read reads the next part.
func (r slowReader) Read(b []byte) (int, error) {
	time.Sleep(r.pause)
	return r.from.Read(b[:min(len(b), r.part)])
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
	at, err := c.send(id, text)
	if err != nil {
		return Result{}, err
	}
	return c.receive(id, text, at)
}

// RunAll sends statements, outside of transactions, without waiting for answers, and returns the answers up to the
// first failure of the connection.
func (c *Caller) RunAll(texts []string) ([]Result, error) {
	ids, times := make([]string, len(texts)), make([]time.Time, len(texts))
	var failed error
	for i, text := range texts {
		ids[i] = fmt.Sprintf("%016x", lastRequestID.Add(1))
		if times[i], failed = c.send(ids[i], text); failed != nil {
			ids = ids[:i]
			break
		}
	}
	var results []Result
	for i, id := range ids {
		r, err := c.receive(id, texts[i], times[i])
		if err != nil {
			for _, unanswered := range ids[i+1:] {
				c.recordEnd(unanswered, err)
			}
			return results, err
		}
		results = append(results, r)
	}
	return results, failed
}

// send sends a statement and returns the time of its first byte.
func (c *Caller) send(id, text string) (time.Time, error) {
	_ = c.conn.SetDeadline(time.Now().Add(callTimeout))
	if c.log != nil {
		c.log.recordSent(id, c.session.record(c.key, text))
	}
	at := time.Now()
	_, err := fmt.Fprintf(c.conn, "QUERY %s %s\r\n", id, text)
	if c.log != nil && err == nil {
		c.log.recordBytes(id, at, time.Now())
	}
	return at, err
}

// receive returns the response to a statement that was sent at a time.
func (c *Caller) receive(id, text string, at time.Time) (Result, error) {
	var r Result
	for {
		line, err := c.in.ReadString('\n')
		if err != nil {
			c.recordEnd(id, err)
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
			c.session.learn(text, at, r)
			if c.log != nil {
				c.log.recordResponse(id, r)
			}
			return r, nil
		}
	}
}

// recordEnd records that the connection ended before the whole answer to a statement, unless the caller gave up.
func (c *Caller) recordEnd(id string, err error) {
	if c.log != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		c.log.recordEnd(id)
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
