package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/papayacove/papayacove/standin/lines"
)

const (
	// stopTimeout is the time limit of the routes, stopGrace the time from SIGTERM to SIGKILL.
	stopTimeout = 3 * time.Second
	stopGrace   = 6 * time.Second
	// stopDeadline is how long a client waits for its whole answer.
	stopDeadline = 5 * time.Second
	// stopClients is the number of clients, each with a session of its own. The first sends its request stopFirst after the
	// SIGTERM, each other one stopInterval after the one before.
	stopClients  = 72
	stopFirst    = 2 * time.Second
	stopInterval = 25 * time.Millisecond
	// stopRows is the number of rows of an answer, each of rowText: 2.5 MB with their words.
	stopRows = 100_000
	rowText  = "cabinet-0001 ok"
	// A client reads stopPart bytes each stopPause, and has a receive buffer of stopBuffer: 8 Mbit/s.
	stopPart   = 8 << 10
	stopPause  = 7 * time.Millisecond
	stopBuffer = 8 << 10
	// stopSegment is the size of a segment outside of the loopback interface.
	stopSegment = 1400
)

// slowClient is one client and what became of its request.
type slowClient struct {
	conn   net.Conn
	id     string
	sentAt time.Time
	took   time.Duration
	rows   int
	// ended is the last line of the answer; empty if the connection ended before.
	ended string
	code  string
	err   error
}

// playStop stops a daemon as planned while clients read answers at 8 Mbit/s. The rule is broken if the connection of a
// request that a database has run ends without its whole answer before its time limit is reached.
func playStop(r *record, trouble bool) (bool, error) {
	f, end, err := startFleet(lines.FleetOptions{Daemons: 3, Connections: 34, Timeout: stopTimeout, Grace: stopGrace})
	if err != nil {
		return false, err
	}
	defer end()
	for _, id := range f.Group.IDs() {
		address, err := serveRows(f.TargetLink(id).Address())
		if err != nil {
			return false, err
		}
		f.Group.Target(id).Advertise(address)
	}
	if err := awaitServed(f, 20*time.Second); err != nil {
		return false, err
	}
	time.Sleep(4500 * time.Millisecond)
	d := f.Daemons[0]
	clients := make([]*slowClient, stopClients)
	for i := range clients {
		if clients[i], err = openSlow(d.CallerAddress); err != nil {
			return false, err
		}
	}
	began := time.Now()
	if trouble {
		r.note("SIGTERM to %s", d.Name)
		d.Signal(syscall.SIGTERM)
		time.AfterFunc(stopGrace, func() { d.Signal(syscall.SIGKILL) })
	}
	var pending sync.WaitGroup
	for i, c := range clients {
		time.Sleep(time.Until(began.Add(stopFirst + time.Duration(i)*stopInterval)))
		r.note("client %d sends READ rows-%d", i+1, stopRows)
		pending.Go(func() { c.read(i + 1) })
	}
	pending.Wait()
	lost := 0
	for i, c := range clients {
		verdict := "whole"
		if c.ended == "" {
			verdict = "cut"
			if c.rows == 0 {
				verdict = "session closed before"
			}
			if c.rows > 0 && c.took < stopTimeout {
				verdict = "LOST"
				lost++
			}
		}
		r.note("client %d: %s, sent %.3f s after the signal, run %d times, %d rows, last line %q, code %q, ended after %.3f s with %v: %s",
			i+1, c.id, c.sentAt.Sub(began).Seconds(), f.Group.ExecutionCount(c.id), c.rows, c.ended, c.code, c.took.Seconds(), c.err, verdict)
	}
	r.note("%d requests lost", lost)
	return lost > 0, nil
}

func openSlow(address string) (*slowClient, error) {
	dialer := net.Dialer{Timeout: 2 * time.Second, Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) {
			_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, stopBuffer)
			_ = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_MAXSEG, stopSegment)
		})
	}}
	conn, err := dialer.Dial("tcp", address)
	if err != nil {
		return nil, err
	}
	if _, err := fmt.Fprintf(conn, "STARTUP %s user\r\n", lines.StrictDatabase); err != nil {
		return nil, err
	}
	line := make([]byte, len("READY I -\r\n"))
	if _, err := io.ReadFull(conn, line); err != nil || !strings.HasPrefix(string(line), "READY") {
		return nil, fmt.Errorf("no session: %q %w", line, err)
	}
	return &slowClient{conn: conn}, nil
}

// lastSlowID is the id of the last request.
var lastSlowID atomic.Int64

// read sends a request and reads its answer.
func (c *slowClient) read(number int) {
	defer c.conn.Close()
	c.sentAt = time.Now()
	defer func() { c.took = time.Since(c.sentAt) }()
	_ = c.conn.SetDeadline(c.sentAt.Add(stopDeadline))
	c.id = fmt.Sprintf("s%d-%d", number, lastSlowID.Add(1))
	if _, c.err = fmt.Fprintf(c.conn, "QUERY %s READ rows-%d\r\n", c.id, stopRows); c.err != nil {
		return
	}
	in := bufio.NewReaderSize(slowConn{c.conn}, stopPart)
	for {
		line, err := in.ReadString('\n')
		if err != nil {
			if !errors.Is(err, os.ErrDeadlineExceeded) {
				c.err = err
			}
			return
		}
		word, rest, _ := strings.Cut(strings.TrimSpace(line), " ")
		switch word {
		case "DATAROW":
			c.rows++
		case "ERROR":
			c.code = rest
		case "READY":
			c.ended = strings.TrimSpace(line)
			return
		}
	}
}

// slowConn reads a part with a pause before it.
type slowConn struct{ net.Conn }

// Read reads the next part.
func (s slowConn) Read(b []byte) (int, error) {
	time.Sleep(stopPause)
	return s.Conn.Read(b[:min(len(b), stopPart)])
}
