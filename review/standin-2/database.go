package main

import (
	"bufio"
	"fmt"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	slots       = 5
	maxConns    = 34
	queueLength = 40
	// workTime is the time of a read or a write, controlTime that of a status call or an order; each occupies a slot.
	workTime    = 12 * time.Millisecond
	controlTime = time.Millisecond
	// receiveTime is the time in which a replica receives a commit, applyTime that in which it applies it after that.
	receiveTime = time.Millisecond
	applyTime   = 8 * time.Millisecond
	promoteTime = 600 * time.Millisecond
	heartbeat   = 1200 * time.Millisecond
	// drainTimeout is DrainTimeoutMs; a database serves a little longer.
	drainTimeout = 7 * time.Second
	drainExtra   = time.Second
	// commitTimeout is the time after which a commit that no replica has received is answered with TIMEOUT.
	commitTimeout = time.Second
)

// entry is one commit of a log.
type entry struct {
	term uint64
	id   string
}

// group is one service: a primary and its replicas. Its lock guards its databases.
type group struct {
	name  string
	world *world

	mu        sync.Mutex
	databases []*database
	received  *sync.Cond
}

// database is one copy of the service.
type database struct {
	group *group
	id    string
	zone  string
	born  int64

	listener net.Listener
	slots    chan struct{}

	// The following fields are guarded by the lock of the group.
	primary  bool
	term     uint64
	paused   uint64
	log      []entry
	applied  int
	leaving  bool
	gone     bool
	queued   int
	conns    map[net.Conn]struct{}
	sequence int
	// listed is true once the store has answered a write of the entry.
	listed bool
}

// start starts a database with a copy of the log. It does not register it.
func (g *group) start(id, zone string, primary bool) *database {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	check(err)
	d := &database{
		group: g, id: id, zone: zone, born: time.Now().UnixMilli(), listener: listener, primary: primary, term: 1,
		slots: make(chan struct{}, slots), conns: make(map[net.Conn]struct{}),
	}
	g.mu.Lock()
	if p := g.primary(); p != nil {
		d.log, d.applied, d.term = append(d.log, p.log...), p.applied, p.term
	}
	g.databases = append(g.databases, d)
	g.mu.Unlock()
	go d.accept()
	return d
}

// primary returns the database that leads in the highest term; nil for none. The caller holds the lock.
func (g *group) primary() *database {
	var best *database
	for _, d := range g.databases {
		if d.primary && !d.gone && (best == nil || d.term > best.term) {
			best = d
		}
	}
	return best
}

func (g *group) find(id string) *database {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, d := range g.databases {
		if d.id == id {
			return d
		}
	}
	return nil
}

// beat writes the entry of the database.
func (d *database) beat() {
	d.group.mu.Lock()
	d.sequence++
	state, role := "ready", "replica"
	if d.leaving {
		state = "draining"
	}
	if d.primary {
		role = "primary"
	}
	spec := map[string]any{
		"Backend": d.group.name, "Address": d.listener.Addr().String(), "Zone": d.zone, "Version": "v1", "PoolSize": slots,
		"State": state, "DbRole": role, "WarmupLeftMs": 0, "Seq": d.sequence, "born": d.born,
	}
	gone := d.gone
	d.listed = true
	d.group.mu.Unlock()
	if !gone {
		d.group.world.store.put("servers", d.id, spec)
	}
}

// keepBeating writes the entry again and again until the database is gone.
func (d *database) keepBeating() {
	for {
		d.beat()
		time.Sleep(heartbeat)
		d.group.mu.Lock()
		gone := d.gone
		d.group.mu.Unlock()
		if gone {
			return
		}
	}
}

// drain announces the planned end of the database, and ends it after the drain timeout.
func (d *database) drain() {
	d.group.mu.Lock()
	d.leaving = true
	d.group.mu.Unlock()
	d.beat()
	d.group.world.note("the store has acknowledged that %s is draining", d.id)
	time.AfterFunc(drainTimeout+drainExtra, d.stop)
}

// stop ends the database. Its log is gone with it.
func (d *database) stop() {
	d.group.mu.Lock()
	d.gone = true
	for conn := range d.conns {
		_ = conn.Close()
	}
	d.group.mu.Unlock()
	_ = d.listener.Close()
	d.group.world.store.remove("servers", d.id)
	d.group.world.note("%s has ended", d.id)
}

func (d *database) accept() {
	for {
		conn, err := d.listener.Accept()
		if err != nil {
			return
		}
		go d.serve(conn)
	}
}

// position returns a position of a log of the given length. The caller holds the lock.
func (d *database) position(length int) string {
	if length == 0 {
		return fmt.Sprintf("%d.0", 1)
	}
	return fmt.Sprintf("%d.%d", d.log[length-1].term, length)
}

// connection is one connection to a database.
type connection struct {
	*database
	open  bool
	wrote []string
}

func (d *database) serve(conn net.Conn) {
	defer conn.Close()
	in := bufio.NewReader(conn)
	line, err := in.ReadString('\n')
	if err != nil {
		return
	}
	fields := strings.Fields(line)
	if len(fields) < 3 || fields[0] != "STARTUP" || fields[1] != d.group.name || len(fields) > 3 && fields[3] != d.id {
		fmt.Fprintf(conn, "ERROR MOVED %s\r\n", d.id)
		return
	}
	d.group.mu.Lock()
	full := len(d.conns) >= maxConns
	if !full {
		d.conns[conn] = struct{}{}
	}
	ready := d.position(d.applied)
	d.group.mu.Unlock()
	if full {
		fmt.Fprintf(conn, "ERROR TOOMANY %s\r\n", d.id)
		return
	}
	defer func() {
		d.group.mu.Lock()
		delete(d.conns, conn)
		d.group.mu.Unlock()
	}()
	d.occupy(workTime)
	fmt.Fprintf(conn, "READY I %s\r\n", ready)
	c := &connection{database: d}
	for {
		line, err := in.ReadString('\n')
		if err != nil {
			return
		}
		parts := strings.SplitN(strings.TrimRight(line, "\r\n"), " ", 3)
		if parts[0] != "QUERY" || len(parts) < 3 {
			return
		}
		reply := c.run(parts[1], parts[2])
		c.group.mu.Lock()
		state, position := "I", c.position(c.applied)
		if c.open {
			state = "T"
		}
		gone := c.gone
		c.group.mu.Unlock()
		if gone {
			return
		}
		if _, err := fmt.Fprintf(conn, "%sREADY %s %s\r\n", reply, state, position); err != nil {
			return
		}
	}
}

// occupy takes a slot for a time. It returns false if the queue for the slots is full.
func (d *database) occupy(work time.Duration) bool {
	d.group.mu.Lock()
	full := d.queued >= queueLength
	if !full {
		d.queued++
	}
	d.group.mu.Unlock()
	if full {
		return false
	}
	d.slots <- struct{}{}
	d.group.mu.Lock()
	d.queued--
	d.group.mu.Unlock()
	time.Sleep(work)
	<-d.slots
	return true
}

// run carries out a statement, and returns the messages before READY.
func (c *connection) run(id, text string) string {
	fields := strings.Fields(text)
	floor := ""
	if fields[0] == "WAITLSN" {
		floor, fields = fields[1], fields[2:]
	}
	failure := func(code string) string { return fmt.Sprintf("ERROR %s %s\r\n", code, c.id) }
	switch fields[0] {
	case "SET", "PARSE", "CLOSE", "DISCARD":
		return "COMPLETE -\r\n"
	case "STATUS", "PAUSE", "RESUME", "STEPDOWN":
		if !c.occupy(controlTime) {
			return failure("BUSY")
		}
		return c.control(fields)
	case "ROLLBACK":
		c.open, c.wrote = false, nil
		return "COMPLETE -\r\n"
	}
	if id != "-" {
		c.group.world.arrived(c.database, id, text)
	}
	if !c.occupy(workTime) {
		return failure("BUSY")
	}
	c.group.mu.Lock()
	defer c.group.mu.Unlock()
	plain := fields[0] == "WRITE" || fields[0] == "BEGIN" && len(fields) == 1
	switch {
	case plain && !c.primary:
		return failure("READONLY")
	case floor != "" && !c.holds(floor):
		return failure("LAGGING")
	}
	switch fields[0] {
	case "BEGIN":
		c.open = true
	case "READ":
		return fmt.Sprintf("DATAROW x\r\nCOMPLETE %s.%s\r\n", c.id, id)
	case "WRITE":
		if c.open {
			c.wrote = append(c.wrote, id)
		} else if !c.commit(id) {
			return failure("TIMEOUT")
		}
	case "COMMIT":
		wrote := c.wrote
		c.open, c.wrote = false, nil
		if len(wrote) > 0 && !c.commit(id) {
			return failure("TIMEOUT")
		}
	}
	return fmt.Sprintf("COMPLETE %s.%s\r\n", c.id, id)
}

// holds reports whether the applied log holds a position. The caller holds the lock.
func (d *database) holds(position string) bool {
	termText, numberText, _ := strings.Cut(position, ".")
	term, _ := strconv.ParseUint(termText, 10, 64)
	number, _ := strconv.Atoi(numberText)
	return d.term > term || d.applied >= number
}

// commit appends a commit to the log of the primary and waits until one replica has received it. The caller holds the
// lock.
func (d *database) commit(id string) bool {
	if !d.primary {
		return false
	}
	term := d.term
	d.log = append(d.log, entry{term, id})
	length := len(d.log)
	time.AfterFunc(receiveTime, func() { d.replicate(term, length) })
	until := time.Now().Add(commitTimeout)
	wake := time.AfterFunc(commitTimeout, d.group.received.Broadcast)
	defer wake.Stop()
	for !d.isReceived(term, length) {
		if d.gone || d.term != term || !d.primary || time.Now().After(until) {
			return false
		}
		d.group.received.Wait()
	}
	d.applied = max(d.applied, length)
	return true
}

// isReceived reports whether a replica has the log of a term up to a length. The caller holds the lock.
func (d *database) isReceived(term uint64, length int) bool {
	for _, r := range d.group.databases {
		if r != d && !r.gone && !r.primary && r.term == term && len(r.log) >= length {
			return true
		}
	}
	return false
}

// replicate has the replicas that are not paused receive the log of a term up to a length, and apply it later.
func (d *database) replicate(term uint64, length int) {
	d.group.mu.Lock()
	defer d.group.mu.Unlock()
	if d.gone || d.term != term {
		return
	}
	for _, r := range d.group.databases {
		if r == d || r.gone || r.primary || r.term != term || r.paused > term || len(r.log) >= length {
			continue
		}
		r.log = append(r.log, d.log[len(r.log):length]...)
		time.AfterFunc(applyTime, func() {
			d.group.mu.Lock()
			defer d.group.mu.Unlock()
			if r.term == term {
				r.applied = max(r.applied, min(length, len(r.log)))
			}
		})
	}
	d.group.received.Broadcast()
}

// control carries out a status call or an order.
func (c *connection) control(fields []string) string {
	c.group.mu.Lock()
	defer c.group.mu.Unlock()
	term := uint64(0)
	if len(fields) > 1 {
		term, _ = strconv.ParseUint(fields[1], 10, 64)
	}
	switch {
	case fields[0] == "PAUSE" && !c.primary && term > c.term:
		c.paused = max(c.paused, term)
	case fields[0] == "RESUME":
		c.paused = 0
	case fields[0] == "STEPDOWN" && c.primary && term > c.term:
		c.primary = false
		c.group.received.Broadcast()
	}
	role := "replica"
	if c.primary {
		role = "primary"
	}
	if fields[0] != "STATUS" {
		c.group.world.note("%s: %s -> %s received %s", c.id, strings.Join(fields, " "), role, c.position(len(c.log)))
	}
	return fmt.Sprintf("DATAROW %s %d %s %d 0 %d %d\r\nCOMPLETE -\r\n", role, c.term, c.position(len(c.log)), c.paused, len(c.slots), len(c.conns))
}

// promote makes a database lead the next term, some time after the order.
func (g *group) promote(target *database) {
	time.Sleep(promoteTime)
	g.mu.Lock()
	defer g.mu.Unlock()
	if target.gone || target.primary {
		return
	}
	term := uint64(0)
	for _, d := range g.databases {
		term = max(term, d.term)
	}
	target.primary, target.term, target.paused, target.applied = true, term+1, 0, len(target.log)
	g.world.promoted(target)
	for _, d := range g.databases {
		if d == target || d.gone {
			continue
		}
		// The others join the new primary; a primary that has not stepped down does so a little later.
		delay := time.Duration(0)
		if d.primary {
			delay = time.Second
		}
		time.AfterFunc(delay, func() {
			g.mu.Lock()
			defer g.mu.Unlock()
			if d.term < target.term {
				d.primary, d.term, d.paused, d.log = false, target.term, 0, append([]entry(nil), target.log...)
				d.applied = len(d.log)
				g.received.Broadcast()
			}
		})
	}
	g.received.Broadcast()
}
