package lines

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"strings"
	"sync/atomic"
	"time"
)

// Result is the answer to one statement of a caller.
type Result struct {
	Rows      []string
	Signature string
	// Code is empty on success.
	Code  string
	Text  string
	State string
}

// Caller is a session at a daemon.
type Caller struct {
	conn net.Conn
	in   *bufio.Reader
}

var nextRequest atomic.Uint64

// ErrRefused means that the daemon opened no session.
var ErrRefused = errors.New("session refused")

// callTimeout bounds the wait for an answer.
const callTimeout = 5 * time.Second

// Dial opens a session.
func Dial(address, database string) (*Caller, error) {
	conn, err := net.DialTimeout("tcp", address, callTimeout)
	if err != nil {
		return nil, err
	}
	c := &Caller{conn: conn, in: bufio.NewReader(conn)}
	_ = conn.SetDeadline(time.Now().Add(callTimeout))
	fmt.Fprintf(conn, "STARTUP %s user\r\n", database)
	line, err := c.in.ReadString('\n')
	if err != nil {
		return nil, err
	}
	if !strings.HasPrefix(line, "READY ") {
		return nil, fmt.Errorf("%w: %s", ErrRefused, strings.TrimSpace(line))
	}
	return c, nil
}

// Close ends the session.
func (c *Caller) Close() {
	fmt.Fprint(c.conn, "TERMINATE\r\n")
	_ = c.conn.Close()
}

// Run sends a statement under a new id.
func (c *Caller) Run(text string) (Result, error) {
	return c.RunAs(fmt.Sprintf("%016x", nextRequest.Add(1)), text)
}

// RunAs sends a statement under an id.
func (c *Caller) RunAs(id, text string) (Result, error) {
	_ = c.conn.SetDeadline(time.Now().Add(callTimeout))
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
		case "READY":
			r.State, _, _ = strings.Cut(rest, " ")
			return r, nil
		}
	}
}

// IsPromise reports whether a code promises that nothing is kept.
func IsPromise(code string) bool {
	return strings.Contains(" BUSY ABORTED LAGGING READONLY MOVED TOOMANY ", " "+code+" ")
}
