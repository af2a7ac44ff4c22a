package main

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"sync/atomic"
	"time"
)

// client is a session with a daemon.
type client struct {
	name   string
	record *record
	conn   net.Conn
	in     *bufio.Reader
	// ids are the ids that the client has sent in its present transaction.
	ids map[string]string
}

// reply is the answer to one request.
type reply struct {
	rows  []string
	code  string
	state string
}

func (r reply) ok() bool { return r.code == "" }

// promises are the codes that promise that nothing is kept.
var promises = map[string]bool{"BUSY": true, "ABORTED": true, "LAGGING": true, "READONLY": true, "MOVED": true, "TOOMANY": true}

var lastID atomic.Uint64

func dial(r *record, name, ip, database string) (*client, error) {
	conn, err := net.DialTimeout("tcp", ip+":8784", 2*time.Second)
	if err != nil {
		return nil, err
	}
	c := &client{name: name, record: r, conn: conn, in: bufio.NewReader(conn), ids: map[string]string{}}
	_ = conn.SetDeadline(time.Now().Add(2 * time.Second))
	fmt.Fprintf(conn, "STARTUP %s u-%s\r\n", database, name)
	line, err := c.in.ReadString('\n')
	if err != nil || !strings.HasPrefix(line, "READY ") {
		_ = conn.Close()
		return nil, fmt.Errorf("no session: %q %w", line, err)
	}
	return c, nil
}

// run sends one request and reads its answer.
func (c *client) run(text string) (reply, error) {
	id := fmt.Sprintf("%016x", lastID.Add(1))
	c.ids[id] = text
	c.record.printf("sent    %s: %s %s", c.name, id, text)
	r, err := c.exchange(id, text)
	switch {
	case err != nil:
		c.record.printf("answer  %s: %s none: %s", c.name, id, err)
	case r.ok():
		c.record.printf("answer  %s: %s success %q %s", c.name, id, r.rows, r.state)
	default:
		c.record.printf("answer  %s: %s %s %s", c.name, id, r.code, r.state)
	}
	return r, err
}

func (c *client) exchange(id, text string) (reply, error) {
	_ = c.conn.SetDeadline(time.Now().Add(3 * time.Second))
	if _, err := fmt.Fprintf(c.conn, "QUERY %s %s\r\n", id, text); err != nil {
		return reply{}, err
	}
	var r reply
	for {
		line, err := c.in.ReadString('\n')
		if err != nil {
			return r, err
		}
		word, rest, _ := strings.Cut(strings.TrimSuffix(line, "\r\n"), " ")
		switch word {
		case "DATAROW":
			r.rows = append(r.rows, rest)
		case "ERROR":
			r.code, _, _ = strings.Cut(rest, " ")
		case "READY":
			r.state, _, _ = strings.Cut(rest, " ")
			return r, nil
		}
	}
}

func (c *client) close() {
	fmt.Fprint(c.conn, "TERMINATE\r\n")
	_ = c.conn.Close()
}
