package main

import (
	"bufio"
	"fmt"
	"maps"
	"net"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// applyLag is the time between receiving and applying a record at a replica.
	applyLag = 8 * time.Millisecond
	// statementTime is the time that a statement occupies a slot.
	statementTime = 4 * time.Millisecond
	// promoteTime is the time after which a promotion takes effect.
	promoteTime = 600 * time.Millisecond
	// oldPrimaryTime is the time for which an old primary goes on after it can reach the new one.
	oldPrimaryTime = time.Second
	// replicationInterval is the time between two deliveries of the log to a replica.
	replicationInterval = time.Millisecond
	// heartbeat is the time between two heartbeats of a database, which is gone from the store after three missed ones.
	heartbeat = 1200 * time.Millisecond
	slots     = 5
	// maxConnections is MaxConns.
	maxConnections = 34
)

// position is TERM.NUMBER of a log.
type position struct{ term, number uint64 }

func (p position) String() string {
	if p == (position{}) {
		return "-"
	}
	return fmt.Sprintf("%d.%d", p.term, p.number)
}

func (p position) before(o position) bool {
	return p.term < o.term || p.term == o.term && p.number < o.number
}

// commit is one record of a log.
type commit struct {
	position  position
	writes    map[string]string
	appliedAt time.Time
}

// group is a service: one primary and its replicas.
type group struct {
	name   string
	store  *store
	record *record

	mu        sync.Mutex
	changed   *sync.Cond
	databases map[string]*database
	// acknowledged are the writes of acknowledged commits, in their order.
	acknowledged []map[string]string
	// promoting is the database whose promotion was ordered and has not taken effect.
	promoting string
	// losses are the acknowledged writes that a promoted database lacked.
	losses []string
	// runs are the statements of clients that ran, by transaction.
	runs            []run
	lastTransaction int
}

// run is a statement of a client that a database ran.
type run struct {
	database    string
	transaction int
	id, text    string
}

type database struct {
	id, zone string
	group    *group
	listener net.Listener
	address  string
	born     int64
	slots    chan struct{}

	// The lock of the group guards the fields below.
	up, primary, leaving, deaf bool
	term, pausedTerm           uint64
	log                        []commit
	conns                      map[net.Conn]struct{}
}

func newGroup(name string, s *store, r *record) *group {
	g := &group{name: name, store: s, record: r, databases: map[string]*database{}}
	g.changed = sync.NewCond(&g.mu)
	return g
}

// add starts a database. One that joins a running group begins with a copy of the primary's log.
func (g *group) add(id, zone, address string, primary bool) (*database, error) {
	d := &database{id: id, zone: zone, group: g, address: address, slots: make(chan struct{}, slots), conns: map[net.Conn]struct{}{}, term: 1, primary: primary}
	g.mu.Lock()
	if leader := g.leader(); leader != nil {
		d.term, d.log = leader.term, slices.Clone(leader.log)
	}
	g.databases[id] = d
	g.mu.Unlock()
	if err := d.start(); err != nil {
		return nil, err
	}
	go d.replicate()
	go d.beat()
	return d, nil
}

// leader returns the running primary of the highest term; nil if there is none. The caller holds the lock.
func (g *group) leader() *database {
	var found *database
	for _, d := range g.databases {
		if d.up && d.primary && (found == nil || d.term > found.term) {
			found = d
		}
	}
	return found
}

func (d *database) start() error {
	listener, err := net.Listen("tcp", d.address)
	if err != nil {
		return err
	}
	d.group.mu.Lock()
	defer d.group.mu.Unlock()
	d.listener, d.address, d.up, d.pausedTerm, d.born = listener, listener.Addr().String(), true, 0, time.Now().UnixMilli()
	for _, other := range d.group.databases {
		if other != d && other.primary && other.term > d.term {
			d.primary = false
		}
	}
	d.writeEntry()
	go d.accept(listener)
	return nil
}

// crash ends a database at once; its log is kept.
func (d *database) crash() {
	d.group.mu.Lock()
	defer d.group.mu.Unlock()
	d.up = false
	_ = d.listener.Close()
	for conn := range d.conns {
		_ = conn.Close()
	}
	d.group.changed.Broadcast()
}

// leave makes the database report that it is draining, and end as PROTOCOL.md says.
func (d *database) leave(after time.Duration) {
	d.group.mu.Lock()
	d.leaving = true
	d.writeEntry()
	d.group.mu.Unlock()
	time.AfterFunc(after, func() {
		d.crash()
		d.group.mu.Lock()
		delete(d.group.databases, d.id)
		d.group.mu.Unlock()
		d.group.store.remove("servers", d.id)
	})
}

// writeEntry writes the entry of the database. The caller holds the lock.
func (d *database) writeEntry() {
	role, state := "replica", "ready"
	if d.primary {
		role = "primary"
	}
	if d.leaving {
		state = "draining"
	}
	d.group.store.write("servers", d.id, map[string]any{
		"Backend": d.group.name, "Address": d.address, "Zone": d.zone, "Version": "v1", "PoolSize": slots,
		"State": state, "WarmupLeftMs": 0, "DbRole": role, "Seq": 1, "born": d.born,
	})
}

// beat keeps the entry while the database runs, and removes it after three missed heartbeats.
func (d *database) beat() {
	missed := 0
	for {
		time.Sleep(heartbeat)
		d.group.mu.Lock()
		known := d.group.databases[d.id] == d
		if d.up {
			missed = 0
			d.writeEntry()
		} else {
			missed++
		}
		d.group.mu.Unlock()
		if !known {
			return
		}
		if missed == 3 {
			d.group.store.remove("servers", d.id)
		}
	}
}

// replicate delivers the log of the newest primary that the database follows.
func (d *database) replicate() {
	g := d.group
	for {
		time.Sleep(replicationInterval)
		g.mu.Lock()
		leader := g.leader()
		if d.up && !d.primary && !d.deaf && leader != nil && leader.term >= d.term && d.pausedTerm <= leader.term {
			d.term = leader.term
			if d.end() != leader.end() || len(d.log) != len(leader.log) {
				d.receive(leader.log)
				g.changed.Broadcast()
			}
		}
		g.mu.Unlock()
	}
}

// receive makes the log equal to that of the primary. The caller holds the lock.
func (d *database) receive(log []commit) {
	common := min(len(d.log), len(log))
	for common > 0 && d.log[common-1].position != log[common-1].position {
		common--
	}
	d.log = slices.Clone(d.log[:common])
	for _, c := range log[common:] {
		c.appliedAt = time.Now().Add(applyLag)
		d.log = append(d.log, c)
	}
}

// end returns the end of the log. The caller holds the lock.
func (d *database) end() position {
	if len(d.log) == 0 {
		return position{}
	}
	return d.log[len(d.log)-1].position
}

// applied returns the position that reads see. The caller holds the lock.
func (d *database) applied() position {
	now := time.Now()
	for i := len(d.log) - 1; i >= 0; i-- {
		if d.primary || !now.Before(d.log[i].appliedAt) {
			return d.log[i].position
		}
	}
	return position{}
}

// commit appends writes and waits until a replica has received them. It returns false if it was not acknowledged.
func (d *database) commit(writes map[string]string) bool {
	g := d.group
	g.mu.Lock()
	defer g.mu.Unlock()
	if !d.primary || !d.up {
		return false
	}
	term := d.term
	at := position{term, d.end().number + 1}
	d.log = append(d.log, commit{position: at, writes: writes})
	for {
		for _, other := range g.databases {
			if other != d && other.up && !other.primary && other.term == term && !other.end().before(at) {
				g.acknowledged = append(g.acknowledged, writes)
				return true
			}
		}
		g.changed.Wait()
		if !d.up || !d.primary || d.term != term {
			return false
		}
	}
}

// promote carries out an order to promote, and reports whether the database runs.
func (g *group) promote(id string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	d, ok := g.databases[id]
	if !ok || !d.up {
		return false
	}
	if g.leader() == d || g.promoting == id {
		return true
	}
	g.promoting = id
	time.AfterFunc(promoteTime, func() { g.lead(d) })
	return true
}

// lead makes a database the primary of the next term, with what it has received.
func (g *group) lead(d *database) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.promoting = ""
	if !d.up || g.leader() == d {
		return
	}
	term := uint64(0)
	for _, other := range g.databases {
		term = max(term, other.term)
		other.pausedTerm = 0
	}
	old := g.leader()
	d.primary, d.term = true, term+1
	d.writeEntry()
	g.record.printf("database %s leads term %d with its log up to %s", d.id, d.term, d.end())
	g.findLosses(d)
	g.changed.Broadcast()
	if old != nil {
		time.AfterFunc(oldPrimaryTime, func() { old.follow(d.term) })
	}
}

// findLosses notes the acknowledged writes that the promoted database lacks. The caller holds the lock.
func (g *group) findLosses(d *database) {
	held := map[string]bool{}
	for _, c := range d.log {
		for item, data := range c.writes {
			held[item+" "+data] = true
		}
	}
	for _, writes := range g.acknowledged {
		for item, data := range writes {
			if !held[item+" "+data] {
				g.losses = append(g.losses, fmt.Sprintf("%s=%s (promotion of %s)", item, data, d.id))
			}
		}
	}
}

// follow makes an old primary a replica.
func (d *database) follow(term uint64) {
	d.group.mu.Lock()
	defer d.group.mu.Unlock()
	if d.up && d.primary && d.term < term {
		d.primary = false
		d.writeEntry()
		d.group.changed.Broadcast()
	}
}

// connection is a connection to a database.
type connection struct {
	database *database
	out      net.Conn
	values   map[string]string
	prepared map[string]string
	// transaction is the number of the open transaction; 0 outside one.
	transaction      int
	readOnly, failed bool
	writes           map[string]string
}

func (d *database) accept(listener net.Listener) {
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

func (d *database) serve(conn net.Conn) {
	defer func() {
		_ = conn.Close()
		d.group.mu.Lock()
		delete(d.conns, conn)
		d.group.mu.Unlock()
	}()
	c := &connection{database: d, out: conn, values: map[string]string{}, prepared: map[string]string{}}
	scanner := bufio.NewScanner(conn)
	scanner.Buffer(nil, 2<<20)
	for scanner.Scan() {
		if !c.handle(strings.TrimSuffix(scanner.Text(), "\r")) {
			return
		}
	}
}

func (c *connection) handle(line string) bool {
	word, rest, _ := strings.Cut(line, " ")
	switch word {
	case "STARTUP":
		fields := strings.Fields(rest)
		if fields[0] != c.database.group.name || len(fields) > 2 && fields[2] != c.database.id {
			fmt.Fprintf(c.out, "ERROR MOVED %s\r\n", c.database.id)
			return false
		}
		if !c.database.admits() {
			fmt.Fprintf(c.out, "ERROR TOOMANY %s\r\n", c.database.id)
			return false
		}
		c.occupySlot()
		c.ready("")
		return true
	case "QUERY":
		id, text, _ := strings.Cut(rest, " ")
		c.query(id, text)
		return true
	}
	return false
}

// admits reports whether the database accepts the connections that it has, the newest included.
func (d *database) admits() bool {
	d.group.mu.Lock()
	defer d.group.mu.Unlock()
	return len(d.conns) <= maxConnections
}

// ready ends an answer.
func (c *connection) ready(before string) {
	state := "I"
	if c.transaction != 0 {
		state = "T"
	}
	if c.failed {
		state = "E"
	}
	c.database.group.mu.Lock()
	at := c.database.applied()
	c.database.group.mu.Unlock()
	fmt.Fprintf(c.out, "%sREADY %s %s\r\n", before, state, at)
}

func (c *connection) fail(code string) {
	c.failed = c.transaction != 0
	c.ready(fmt.Sprintf("ERROR %s %s\r\n", code, c.database.id))
}

// succeed answers a statement. Those of clients that ran at the database are signed.
func (c *connection) succeed(id string, rows ...string) {
	var b strings.Builder
	for _, row := range rows {
		fmt.Fprintf(&b, "DATAROW %s\r\n", row)
	}
	signature := "-"
	if id != "" {
		signature = c.database.id + "." + id
	}
	fmt.Fprintf(&b, "COMPLETE %s\r\n", signature)
	c.ready(b.String())
}

func (c *connection) note(id, text string) {
	g := c.database.group
	g.mu.Lock()
	defer g.mu.Unlock()
	g.runs = append(g.runs, run{c.database.id, c.transaction, id, text})
	g.record.printf("run     %s transaction %d: %s %s", c.database.id, c.transaction, id, text)
}

func (c *connection) query(id, text string) {
	if rest, ok := strings.CutPrefix(text, "WAITLSN "); ok {
		wanted, statement, _ := strings.Cut(rest, " ")
		if !c.holds(wanted) {
			c.fail("LAGGING")
			return
		}
		text = statement
	}
	verb, rest, _ := strings.Cut(text, " ")
	if c.failed && verb != "ROLLBACK" && verb != "COMMIT" {
		c.fail("MALFORMED")
		return
	}
	switch verb {
	case "STATUS", "PAUSE", "RESUME", "STEPDOWN":
		c.control(verb, rest)
	case "SET":
		name, value, _ := strings.Cut(rest, " ")
		c.values[name] = value
		c.succeed("")
	case "DISCARD":
		clear(c.values)
		clear(c.prepared)
		c.succeed("")
	case "PARSE":
		name, shape, _ := strings.Cut(rest, " ")
		c.prepared[name] = shape
		c.succeed("")
	case "BEGIN":
		c.begin(rest == "READ")
	case "ROLLBACK":
		c.end()
		c.succeed("")
	case "COMMIT":
		c.commit(id, text)
	case "READ":
		c.read(id, text, rest)
	case "WRITE":
		c.write(id, text, rest)
	default:
		c.fail("MALFORMED")
	}
}

func (c *connection) holds(text string) bool {
	term, number, _ := strings.Cut(text, ".")
	t, _ := strconv.ParseUint(term, 10, 64)
	n, _ := strconv.ParseUint(number, 10, 64)
	c.database.group.mu.Lock()
	defer c.database.group.mu.Unlock()
	return !c.database.applied().before(position{t, n})
}

func (c *connection) occupySlot() {
	c.database.slots <- struct{}{}
	time.Sleep(statementTime)
	<-c.database.slots
}

func (c *connection) isPrimary() bool {
	c.database.group.mu.Lock()
	defer c.database.group.mu.Unlock()
	return c.database.primary
}

func (c *connection) begin(readOnly bool) {
	if !readOnly && !c.isPrimary() {
		c.fail("READONLY")
		return
	}
	g := c.database.group
	g.mu.Lock()
	g.lastTransaction++
	c.transaction = g.lastTransaction
	g.mu.Unlock()
	c.readOnly, c.failed, c.writes = readOnly, false, map[string]string{}
	c.succeed("")
}

func (c *connection) end() {
	c.transaction, c.readOnly, c.failed, c.writes = 0, false, false, nil
}

func (c *connection) read(id, text, item string) {
	c.occupySlot()
	if c.transaction != 0 && !c.readOnly && !c.isPrimary() {
		c.fail("READONLY")
		return
	}
	d := c.database
	d.group.mu.Lock()
	value, limit := "", d.applied()
	for _, r := range d.log {
		if v, ok := r.writes[item]; ok && !limit.before(r.position) {
			value = v
		}
	}
	d.group.mu.Unlock()
	if own, ok := c.writes[item]; ok {
		value = own
	}
	c.note(id, text)
	c.succeed(id, value)
}

func (c *connection) write(id, text, rest string) {
	item, data, _ := strings.Cut(rest, " ")
	c.occupySlot()
	if !c.isPrimary() || c.transaction != 0 && c.readOnly {
		c.fail("READONLY")
		return
	}
	c.note(id, text)
	if c.transaction != 0 {
		c.writes[item] = data
		c.succeed(id)
		return
	}
	c.finish(id, map[string]string{item: data})
}

func (c *connection) commit(id, text string) {
	if c.failed || c.transaction == 0 {
		c.end()
		c.fail("ABORTED")
		return
	}
	c.occupySlot()
	if len(c.writes) > 0 && !c.isPrimary() {
		c.end()
		c.fail("READONLY")
		return
	}
	c.note(id, text)
	writes := maps.Clone(c.writes)
	c.end()
	c.finish(id, writes)
}

// finish commits writes and answers, or closes the connection without an answer if nobody acknowledged them.
func (c *connection) finish(id string, writes map[string]string) {
	if len(writes) > 0 && !c.database.commit(writes) {
		_ = c.out.Close()
		return
	}
	c.succeed(id)
}

func (c *connection) control(verb, argument string) {
	term, _ := strconv.ParseUint(argument, 10, 64)
	d := c.database
	g := d.group
	g.mu.Lock()
	switch {
	case verb == "PAUSE" && !d.primary && term > d.term:
		d.pausedTerm = max(d.pausedTerm, term)
	case verb == "RESUME":
		d.pausedTerm = 0
	case verb == "STEPDOWN" && d.primary && term > d.term:
		d.primary = false
		d.writeEntry()
	}
	role := "replica"
	if d.primary {
		role = "primary"
	}
	if verb != "STATUS" {
		g.record.printf("order   %s %s %s: %s, term %d, held %d, log up to %s", d.id, verb, argument, role, d.term, d.pausedTerm, d.end())
	}
	row := fmt.Sprintf("%s %d %s %d 0 0 %d", role, d.term, d.end(), d.pausedTerm, len(d.conns))
	g.changed.Broadcast()
	g.mu.Unlock()
	c.succeed("", row)
}
