package lines

import (
	"bufio"
	"fmt"
	"net"
	"strconv"
	"strings"
	"time"
)

// targetSession is one connection to a target.
type targetSession struct {
	database *Database
	out      net.Conn
	values   map[string]string
	prepared map[string]string
	// open is true in a transaction, readOnly in one that reads only, failed in one that can only be rolled back.
	open     bool
	readOnly bool
	failed   bool
	writes   map[string]string
}

func (d *Database) accept(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		d.group.mu.Lock()
		d.conns[conn] = struct{}{}
		d.group.mu.Unlock()
		go d.serve(conn)
	}
}

func (d *Database) serve(conn net.Conn) {
	defer func() {
		_ = conn.Close()
		d.group.mu.Lock()
		delete(d.conns, conn)
		d.group.mu.Unlock()
	}()
	s := &targetSession{database: d, out: conn, values: map[string]string{}, prepared: map[string]string{}}
	lines := bufio.NewScanner(conn)
	lines.Buffer(nil, 2<<20)
	for lines.Scan() {
		if !d.awaitLight() || !s.handle(strings.TrimSuffix(lines.Text(), "\r")) {
			return
		}
	}
}

// awaitLight waits while the target is dark; false when it has crashed.
func (d *Database) awaitLight() bool {
	d.group.mu.Lock()
	defer d.group.mu.Unlock()
	for d.dark && d.up {
		d.group.changed.Wait()
	}
	return d.up
}

// handle answers one line; false ends the connection.
func (s *targetSession) handle(line string) bool {
	words := strings.SplitN(line, " ", 3)
	switch words[0] {
	case "STARTUP":
		fields := strings.Fields(line)
		if fields[1] != s.database.group.Name || len(fields) > 3 && fields[3] != s.database.ID {
			fmt.Fprintf(s.out, "ERROR MOVED %s\r\n", s.database.ID)
			return false
		}
		s.ready()
		return true
	case "QUERY":
		s.query(words[1], words[2])
		return true
	}
	return false
}

func (s *targetSession) ready() {
	state := "I"
	if s.open {
		state = "T"
	}
	if s.failed {
		state = "E"
	}
	s.database.group.mu.Lock()
	place := s.database.appliedPlace()
	s.database.group.mu.Unlock()
	fmt.Fprintf(s.out, "READY %s %s\r\n", state, place)
}

func (s *targetSession) fail(code string) {
	s.failed = s.open
	fmt.Fprintf(s.out, "ERROR %s %s\r\n", code, s.database.ID)
	s.ready()
}

func (s *targetSession) complete(id string, rows ...string) {
	signature := "-"
	if id != "-" && id != "" {
		signature = s.database.ID + "." + id
		s.database.group.mu.Lock()
		s.database.ran = append(s.database.ran, id)
		s.database.group.mu.Unlock()
	}
	for _, row := range rows {
		fmt.Fprintf(s.out, "DATAROW %s\r\n", row)
	}
	fmt.Fprintf(s.out, "COMPLETE %s\r\n", signature)
	s.ready()
}

func (s *targetSession) query(id, text string) {
	if rest, ok := strings.CutPrefix(text, "WAITLSN "); ok {
		place, statement, _ := strings.Cut(rest, " ")
		if !s.holds(place) {
			s.fail("LAGGING")
			return
		}
		text = statement
	}
	verb, rest, _ := strings.Cut(text, " ")
	if s.failed && verb != "ROLLBACK" && verb != "COMMIT" {
		s.fail("MALFORMED")
		return
	}
	switch verb {
	case "STATUS", "PAUSE", "RESUME", "STEPDOWN":
		s.control(verb, rest)
	case "BEGIN":
		s.begin(id, rest == "READ")
	case "COMMIT":
		s.commit(id)
	case "ROLLBACK":
		s.open, s.failed, s.writes = false, false, nil
		s.complete("")
	case "SET":
		name, value, _ := strings.Cut(rest, " ")
		s.values[name] = value
		s.complete("")
	case "DISCARD":
		clear(s.values)
		clear(s.prepared)
		s.complete("")
	case "PARSE":
		name, shape, _ := strings.Cut(rest, " ")
		s.prepared[name] = shape
		s.complete("")
	case "EXECUTE":
		s.execute(id, rest)
	case "READ":
		s.read(id, rest)
	case "WRITE":
		item, data, _ := strings.Cut(rest, " ")
		s.write(id, item, data)
	default:
		s.fail("MALFORMED")
	}
}

// holds reports whether the target has applied a place of its log.
func (s *targetSession) holds(text string) bool {
	term, number, _ := strings.Cut(text, ".")
	t, _ := strconv.ParseUint(term, 10, 64)
	n, _ := strconv.ParseUint(number, 10, 64)
	s.database.group.mu.Lock()
	defer s.database.group.mu.Unlock()
	return !s.database.appliedPlace().before(Place{t, n})
}

func (s *targetSession) execute(id, rest string) {
	name, argument, _ := strings.Cut(rest, " ")
	shape, ok := s.prepared[name]
	if !ok {
		s.fail("NOSTMT")
		return
	}
	if strings.HasPrefix(shape, "WRITE") {
		item, data, _ := strings.Cut(argument, " ")
		s.write(id, item, data)
		return
	}
	s.read(id, argument)
}

// work takes a slot for the time of a statement.
func (s *targetSession) work() {
	d := s.database
	d.group.mu.Lock()
	service := d.service
	d.group.mu.Unlock()
	d.slots <- struct{}{}
	time.Sleep(service)
	<-d.slots
}

// read answers with the value of an item; an item that begins with @ stands for a session value.
func (s *targetSession) read(id, item string) {
	s.work()
	if name, ok := strings.CutPrefix(item, "@"); ok {
		s.complete(id, s.values[name])
		return
	}
	d := s.database
	d.group.mu.Lock()
	value := ""
	limit := d.appliedPlace()
	for _, r := range d.log {
		if v, ok := r.writes[item]; ok && !limit.before(r.place) {
			value = v
		}
	}
	lost := s.open && !s.readOnly && !d.primary
	d.group.mu.Unlock()
	if own, ok := s.writes[item]; ok {
		value = own
	}
	if lost {
		s.fail("READONLY")
		return
	}
	s.complete(id, value)
}

func (s *targetSession) begin(id string, readOnly bool) {
	s.database.group.mu.Lock()
	leads := s.database.primary
	s.database.group.mu.Unlock()
	if !readOnly && !leads {
		s.fail("READONLY")
		return
	}
	s.open, s.readOnly, s.writes = true, readOnly, map[string]string{}
	s.complete("")
}

func (s *targetSession) write(id, item, data string) {
	s.work()
	s.database.group.mu.Lock()
	leads := s.database.primary
	s.database.group.mu.Unlock()
	if !leads || s.readOnly && s.open {
		s.fail("READONLY")
		return
	}
	if s.open {
		s.writes[item] = data
		s.complete(id)
		return
	}
	if !s.database.commit(map[string]string{item: data}) {
		_ = s.out.Close()
		return
	}
	s.complete(id)
}

func (s *targetSession) commit(id string) {
	failed, writes := s.failed, s.writes
	s.open, s.failed, s.writes = false, false, nil
	if failed {
		s.fail("ABORTED")
		return
	}
	s.work()
	if len(writes) > 0 && !s.database.commit(writes) {
		_ = s.out.Close()
		return
	}
	s.complete(id)
}

// control carries a status call or an order out.
func (s *targetSession) control(verb, argument string) {
	term, _ := strconv.ParseUint(argument, 10, 64)
	d := s.database
	g := d.group
	g.mu.Lock()
	switch verb {
	case "PAUSE":
		if !d.primary && term > d.term {
			d.paused = max(d.paused, term)
		}
	case "RESUME":
		d.paused = 0
	case "STEPDOWN":
		if d.primary && term > d.term {
			d.primary = false
			d.report()
		}
	}
	role := "replica"
	if d.primary {
		role = "primary"
	}
	row := fmt.Sprintf("%s %d %s %d 0 0 %d", role, d.term, d.last(), d.paused, len(d.conns))
	g.changed.Broadcast()
	g.mu.Unlock()
	s.complete("", row)
}
