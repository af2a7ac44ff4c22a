package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"sync"
)

// serveRows relays connections to a database, and answers a read of the item rows-N with N rows. It returns its address.
func serveRows(database string) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go relayRows(conn, database)
		}
	}()
	return listener.Addr().String(), nil
}

func relayRows(conn net.Conn, database string) {
	defer conn.Close()
	target, err := net.Dial("tcp", database)
	if err != nil {
		return
	}
	defer target.Close()
	var rows rowCount
	go func() {
		defer target.Close()
		in := bufio.NewReader(conn)
		for {
			line, err := in.ReadString('\n')
			if err != nil {
				return
			}
			rows.learn(line)
			if _, err := io.WriteString(target, line); err != nil {
				return
			}
		}
	}()
	in, out := bufio.NewReader(target), bufio.NewWriterSize(conn, 1<<16)
	for {
		line, err := in.ReadString('\n')
		if err != nil {
			return
		}
		if strings.HasPrefix(line, "COMPLETE ") {
			for range rows.take() {
				_, _ = fmt.Fprintf(out, "DATAROW %s\r\n", rowText)
			}
		}
		if !strings.HasPrefix(line, "DATAROW ") || strings.HasPrefix(line, "DATAROW replica") || strings.HasPrefix(line, "DATAROW primary") {
			_, _ = out.WriteString(line)
		}
		if in.Buffered() == 0 || strings.HasPrefix(line, "READY ") {
			if out.Flush() != nil {
				return
			}
		}
	}
}

// rowCount is the number of rows that the read in progress is answered with.
type rowCount struct {
	mu   sync.Mutex
	rows int
}

func (c *rowCount) learn(line string) {
	if _, rest, ok := strings.Cut(strings.TrimSpace(line), "READ rows-"); ok {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.rows, _ = strconv.Atoi(rest)
	}
}

func (c *rowCount) take() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	rows := c.rows
	c.rows = 0
	return rows
}
