package lines

import (
	"bufio"
	"fmt"
	"maps"
	"net"
	"strconv"
	"strings"
	"time"
)

// targetSession is the session of one connection to a target.
type targetSession struct {
	target *Target
	out    net.Conn
	// workspace is the name that STARTUP stated besides the group.
	workspace string
	// connection is the serial number of the connection, source the IP address that it comes from.
	connection uint64
	source     string
	// transaction is the serial number of the current transaction; 0 outside of transactions.
	transaction uint64
	// shape is the shape of the prepared statement that is executing, and position that of the log that it runs on.
	shape    string
	position Position
	// arrivedAt is the time at which the current line arrived, ranAt that at which a read looked at the log.
	arrivedAt, ranAt time.Time
	// operationBegun is true after the first statement that the current transaction executed.
	operationBegun bool
	// settings are the values of the session that SET wrote, by name.
	settings map[string]string
	// prepared are the shapes of the prepared statements, by name.
	prepared map[string]string
	// inTransaction is true between BEGIN and COMMIT or ROLLBACK.
	inTransaction bool
	// readOnly is true if the current or the previous transaction is read-only.
	readOnly bool
	// failed is true in a transaction that can only be rolled back.
	failed bool
	// writes are the uncommitted writes of the transaction, by item.
	writes map[string]string
	// brokeOff is true if the current statement is not answered, errorCode the code of its error.
	brokeOff  bool
	errorCode string
}

func (d *Target) accept(listener net.Listener) {
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

func (d *Target) serve(conn net.Conn) {
	defer func() {
		_ = conn.Close()
		d.group.mu.Lock()
		delete(d.conns, conn)
		d.group.mu.Unlock()
	}()
	s := &targetSession{target: d, out: conn, connection: lastSerial.Add(1), settings: map[string]string{}, prepared: map[string]string{}}
	scanner := bufio.NewScanner(conn)
	scanner.Buffer(nil, 2<<20)
	for scanner.Scan() {
		s.arrivedAt = time.Now()
		s.ranAt = s.arrivedAt
		if !s.serveLine(strings.TrimSuffix(scanner.Text(), "\r")) {
			return
		}
	}
}

// awaitResponsive waits while the target is unresponsive. It returns false if the target has crashed.
func (d *Target) awaitResponsive() bool {
	d.group.mu.Lock()
	defer d.group.mu.Unlock()
	for d.unresponsive && d.up {
		d.group.changed.Wait()
	}
	return d.up
}

// handle answers one line. It returns false if the connection has to be closed.
func (s *targetSession) handle(line string) bool {
	words := strings.SplitN(line, " ", 3)
	switch words[0] {
	case "STARTUP":
		fields := strings.Fields(line)
		if fields[1] != s.target.group.Name || len(fields) > 3 && fields[3] != s.target.ID {
			fmt.Fprintf(s.out, "ERROR MOVED %s\r\n", s.target.ID)
			return false
		}
		if !s.target.admits() {
			fmt.Fprintf(s.out, "ERROR TOOMANY %s\r\n", s.target.ID)
			return false
		}
		s.workspace = fields[2]
		s.sendReady()
		return true
	case "QUERY":
		s.handleQuery(words[1], words[2])
		return true
	}
	return false
}

func (s *targetSession) sendReady() {
	state := "I"
	if s.inTransaction {
		state = "T"
	}
	if s.failed {
		state = "E"
	}
	s.target.group.mu.Lock()
	position := s.target.appliedPosition()
	s.target.group.mu.Unlock()
	fmt.Fprintf(s.out, "READY %s %s\r\n", state, position)
}

func (s *targetSession) sendError(code string) {
	s.failed, s.errorCode = s.inTransaction, code
	fmt.Fprintf(s.out, "ERROR %s %s\r\n", code, s.target.ID)
	s.sendReady()
}

func (s *targetSession) sendResult(id string, rows ...string) {
	signature := "-"
	if id != "-" && id != "" {
		signature = fmt.Sprintf("%s.%s.%d", s.target.ID, id, lastSerial.Add(1))
		s.recordExecution(id, signature)
	}
	for _, row := range rows {
		fmt.Fprintf(s.out, "DATAROW %s\r\n", row)
	}
	fmt.Fprintf(s.out, "COMPLETE %s\r\n", signature)
	s.sendReady()
}

func (s *targetSession) recordExecution(id, signature string) {
	if s.source == "" {
		s.source = s.target.sourceOf(s.out)
	}
	s.target.group.mu.Lock()
	defer s.target.group.mu.Unlock()
	s.target.executed = append(s.target.executed, Execution{
		ID: id, Signature: signature, Workspace: s.workspace, ArrivedAt: s.arrivedAt, RanAt: s.ranAt, BeginsOperation: !s.operationBegun,
		Group: s.target.group.Name, Target: s.target.ID, Source: s.source, Connection: s.connection, Transaction: s.transaction,
		Settings: maps.Clone(s.settings), Shape: s.shape, Position: s.position,
	})
	s.operationBegun = s.inTransaction
}

func (s *targetSession) handleQuery(id, text string) {
	if rest, ok := strings.CutPrefix(text, "WAITLSN "); ok {
		position, statement, _ := strings.Cut(rest, " ")
		if !s.hasApplied(position) {
			s.sendError("LAGGING")
			return
		}
		text = statement
	}
	verb, rest, _ := strings.Cut(text, " ")
	s.shape = ""
	if s.failed && verb != "ROLLBACK" && verb != "COMMIT" {
		s.sendError("MALFORMED")
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
		s.inTransaction, s.operationBegun, s.failed, s.writes, s.transaction = false, false, false, nil, 0
		s.sendResult("")
	case "SET":
		name, value, _ := strings.Cut(rest, " ")
		s.settings[name] = value
		s.sendResult("")
	case "DISCARD":
		clear(s.settings)
		clear(s.prepared)
		s.sendResult("")
	case "PARSE":
		name, shape, _ := strings.Cut(rest, " ")
		s.prepared[name] = shape
		s.sendResult("")
	case "EXECUTE":
		s.execute(id, rest)
	case "READ":
		s.read(id, rest)
	case "WRITE":
		item, data, _ := strings.Cut(rest, " ")
		s.write(id, item, data)
	default:
		s.sendError("MALFORMED")
	}
}

// hasApplied reports whether the target has applied a position of its log.
func (s *targetSession) hasApplied(text string) bool {
	term, number, _ := strings.Cut(text, ".")
	t, _ := strconv.ParseUint(term, 10, 64)
	n, _ := strconv.ParseUint(number, 10, 64)
	s.target.group.mu.Lock()
	defer s.target.group.mu.Unlock()
	return !s.target.appliedPosition().before(Position{t, n})
}

func (s *targetSession) execute(id, rest string) {
	name, argument, _ := strings.Cut(rest, " ")
	shape, ok := s.prepared[name]
	if !ok {
		s.sendError("NOSTMT")
		return
	}
	s.shape = shape
	if strings.HasPrefix(shape, "WRITE") {
		item, data, _ := strings.Cut(argument, " ")
		s.write(id, item, data)
		return
	}
	s.read(id, argument)
}

const (
	// ServiceTime is the time that a statement occupies a slot of a target of a fleet.
	ServiceTime = 2 * time.Millisecond
	// SlowItem is the prefix of items whose statements take slowItemTime longer.
	SlowItem     = "slow-"
	slowItemTime = 700 * time.Millisecond
)

// occupySlot waits for a free slot and occupies it for the service time of a statement of an item.
func (s *targetSession) occupySlot(item string) {
	d := s.target
	d.group.mu.Lock()
	service := d.service
	d.group.mu.Unlock()
	if strings.HasPrefix(item, SlowItem) {
		service += slowItemTime
	}
	d.slots <- struct{}{}
	time.Sleep(service)
	<-d.slots
}

// read answers with the value of an item that the target has applied or that the transaction has written. An item
// that begins with @ names a setting of the session. A read in a transaction that may write fails if the target has
// stopped being the primary.
func (s *targetSession) read(id, item string) {
	s.occupySlot(item)
	d := s.target
	d.group.mu.Lock()
	value := ""
	limit := d.appliedPosition()
	s.position, s.ranAt = limit, time.Now()
	for _, r := range d.log {
		if v, ok := r.writes[item]; ok && !limit.before(r.position) {
			value = v
		}
	}
	roleLost := s.inTransaction && !s.readOnly && !d.primary
	d.group.mu.Unlock()
	if name, ok := strings.CutPrefix(item, "@"); ok {
		s.sendResult(id, s.settings[name])
		return
	}
	if own, ok := s.writes[item]; ok {
		value = own
	}
	if roleLost {
		s.sendError("READONLY")
		return
	}
	s.sendResult(id, value)
}

func (s *targetSession) begin(id string, readOnly bool) {
	s.target.group.mu.Lock()
	isPrimary := s.target.primary
	s.target.group.mu.Unlock()
	if !readOnly && !isPrimary {
		s.sendError("READONLY")
		return
	}
	s.inTransaction, s.operationBegun, s.readOnly, s.writes = true, false, readOnly, map[string]string{}
	s.transaction = lastSerial.Add(1)
	s.sendResult("")
}

func (s *targetSession) write(id, item, data string) {
	s.occupySlot(item)
	s.target.group.mu.Lock()
	isPrimary := s.target.primary
	s.position = s.target.appliedPosition()
	s.target.group.mu.Unlock()
	if !isPrimary || s.readOnly && s.inTransaction {
		s.sendError("READONLY")
		return
	}
	if s.inTransaction {
		s.writes[item] = data
		s.sendResult(id)
		return
	}
	s.commitWrites(id, map[string]string{item: data})
}

func (s *targetSession) commit(id string) {
	failed, writes := s.failed, s.writes
	s.inTransaction, s.failed, s.writes = false, false, nil
	if failed {
		s.operationBegun, s.transaction = false, 0
		s.sendError("ABORTED")
		return
	}
	s.occupySlot("")
	s.commitWrites(id, writes)
	s.transaction = 0
}

// commitWrites commits writes, if there are any, and answers the statement. Without an acknowledgement it closes the
// connection.
func (s *targetSession) commitWrites(id string, writes map[string]string) {
	if len(writes) > 0 {
		position, acknowledged := s.target.commit(id, writes)
		if !acknowledged {
			s.brokeOff = true
			_ = s.out.Close()
			return
		}
		s.position = position
	}
	s.sendResult(id)
}

// reportPause calls the function that waits for the next PAUSE, if there is one. The caller holds the mutex of the
// group.
func (s *targetSession) reportPause() {
	if watcher := s.target.group.pauseWatcher; watcher != nil {
		s.target.group.pauseWatcher = nil
		go func() { watcher(s.target.sourceOf(s.out)) }()
	}
}

// control executes a status call, or one of the orders PAUSE, RESUME and STEPDOWN for a term, and answers with the
// state of the target.
func (s *targetSession) control(verb, argument string) {
	term, _ := strconv.ParseUint(argument, 10, 64)
	d := s.target
	g := d.group
	g.mu.Lock()
	if verb == "STEPDOWN" && d.stepDownLost {
		g.mu.Unlock()
		_ = s.out.Close()
		return
	}
	switch verb {
	case "PAUSE":
		s.reportPause()
		if !d.primary && term > d.term {
			d.pausedTerm = max(d.pausedTerm, term)
		}
	case "RESUME":
		d.pausedTerm = 0
	case "STEPDOWN":
		if d.primary && term > d.term {
			d.primary = false
			d.writeEntry()
		}
	}
	role := "replica"
	if d.primary {
		role = "primary"
	}
	row := fmt.Sprintf("%s %d %s %d 0 0 %d", role, d.term, d.lastPosition(), d.pausedTerm, len(d.conns))
	g.changed.Broadcast()
	g.mu.Unlock()
	s.sendResult("", row)
}
