package lines

import (
	"maps"
	"net"
	"strings"
	"sync/atomic"
	"time"
)

// lastSerial is the latest serial number that a connection, a session or a transaction got.
var lastSerial atomic.Uint64

// Execution is a statement that a target ran.
type Execution struct {
	// ID is the id of the statement, Signature what the target signed its answer with; no other run has the same.
	ID, Signature string
	// Workspace is the name that the target was told when its connection was opened.
	Workspace string
	// ArrivedAt is the time at which the target received the statement, RanAt that at which a read looked at the log.
	ArrivedAt, RanAt time.Time
	// BeginsOperation is true for the first statement of a transaction, and for one outside of transactions.
	BeginsOperation bool
	// Group and Target name the target, and Source is the IP address of the daemon that sent the statement.
	Group, Target, Source string
	// Connection is the serial number of the connection, Transaction that of the target's transaction; 0 outside of one.
	Connection, Transaction uint64
	// Settings are the session values with which the statement ran, by name.
	Settings map[string]string
	// Shape is the shape of the prepared statement that ran; empty for another statement.
	Shape string
	// Position is that of the log on which a read or write ran, or that of the record which a commit wrote.
	Position Position
}

// Commit is an acknowledged commit that wrote.
type Commit struct {
	// ID is the id of the statement that committed.
	ID            string
	Group, Target string
	Position      Position
	// AcknowledgedAt is the time at which the target acknowledged it.
	AcknowledgedAt time.Time
}

// sent is a statement that a caller sent.
type sent struct {
	key string
	// at is the time at which the first byte was sent.
	at time.Time
	// refusedOverQuota is true if it was refused because the workspace has used up its operations.
	refusedOverQuota bool
	text, database   string
	// daemon is the IP address of the daemon that it was sent to.
	daemon string
	// session is the serial number of the caller's session, transaction that of its transaction; 0 outside of one.
	session, transaction uint64
	// transactionAt is the time at which the first byte of the transaction was sent.
	transactionAt time.Time
	// settings are the acknowledged session values, by name.
	settings map[string]string
	// shape is the shape that was acknowledged for the prepared statement; empty for other statements.
	shape string
	// succeededAt is the time at which the caller had the whole response; zero without a success.
	succeededAt time.Time
	// signature is that of the response to the caller, empty without a success; code is the error code, or "none" as long as
	// there is no response.
	signature, code string
	// lastByteAt is the time at which the last byte had been sent, answeredAt that of the whole response, endedAt that of
	// the end of the connection without one; zero if it didn't happen or the caller gave up before it.
	lastByteAt, answeredAt, endedAt time.Time
	// answer is the text of the error of the response.
	answer string
}

// RouteKind is the type of a route, which says how old its reads may be.
type RouteKind string

// The types of routes.
const (
	RoutePrimary          RouteKind = "primary"
	RouteReadYourWrites   RouteKind = "read_your_writes"
	RouteBoundedStaleness RouteKind = "bounded_staleness"
)

// Route is the route of a database to a group.
type Route struct {
	Database string
	Kind     RouteKind
	Group    string
}

// routeVersion is the routes of a configuration and the time at which it was sent.
type routeVersion struct {
	at     time.Time
	routes []Route
}

// ExecutionCount returns how often the statement with an id was executed, on all targets together.
func (g *Group) ExecutionCount(id string) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	count := 0
	for _, d := range g.targets {
		for _, executed := range d.executed {
			if executed.ID == id {
				count++
			}
		}
	}
	return count
}

// Executions returns the statements that the targets executed.
func (g *Group) Executions() []Execution {
	g.mu.Lock()
	defer g.mu.Unlock()
	var all []Execution
	for _, d := range g.targets {
		all = append(all, d.executed...)
	}
	return all
}

// Executions returns the number of statements that the target executed.
func (d *Target) Executions() int {
	d.group.mu.Lock()
	defer d.group.mu.Unlock()
	return len(d.executed)
}

// callerSession is what a caller knows of its session: what daemons have acknowledged to it.
type callerSession struct {
	serial           uint64
	database, daemon string
	transaction      uint64
	transactionAt    time.Time
	settings         map[string]string
	prepared         map[string]string
}

func newCallerSession(database string, conn net.Conn) callerSession {
	daemon, _, _ := net.SplitHostPort(conn.RemoteAddr().String())
	return callerSession{
		serial: lastSerial.Add(1), database: database, daemon: daemon,
		settings: map[string]string{}, prepared: map[string]string{},
	}
}

// record returns the record of a statement that is about to be sent.
func (s *callerSession) record(key, text string) sent {
	words := append(strings.Fields(text), "", "")
	r := sent{
		key: key, at: time.Now(), text: text, database: s.database, daemon: s.daemon, session: s.serial,
		code: "none", transaction: s.transaction, transactionAt: s.transactionAt, settings: maps.Clone(s.settings),
	}
	if words[0] == "EXECUTE" {
		r.shape = s.prepared[words[1]]
	}
	return r
}

// learn takes over what the response to a statement, sent at a time, acknowledges.
func (s *callerSession) learn(text string, at time.Time, r Result) {
	words := append(strings.SplitN(text, " ", 3), "", "")
	switch {
	case r.State == "I":
		s.transaction, s.transactionAt = 0, time.Time{}
	case words[0] == "BEGIN" && r.Code == "":
		s.transaction, s.transactionAt = lastSerial.Add(1), at
	}
	if r.Code != "" {
		return
	}
	switch words[0] {
	case "SET":
		s.settings[words[1]] = words[2]
	case "PARSE":
		s.prepared[words[1]] = words[2]
	case "CLOSE":
		delete(s.prepared, words[1])
	}
}

// sourceOf returns the IP address that a connection comes from; empty if it isn't known.
func (d *Target) sourceOf(conn net.Conn) string {
	if d.group.sourceOf == nil {
		return ""
	}
	return d.group.sourceOf(d.ID, conn)
}
