package lines

import (
	"fmt"
	"maps"
	"net"
	"slices"
	"sync"
	"time"
)

func sortedNames[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }

// Position is a position of a log: the term in which a record was written, and its number, which counts from 1 and
// does not restart with a term. The zero value is the position of an empty log.
type Position struct {
	Term   uint64
	Number uint64
}

func (p Position) String() string {
	if p == (Position{}) {
		return "-"
	}
	return fmt.Sprintf("%d.%d", p.Term, p.Number)
}

func (p Position) before(o Position) bool {
	return p.Term < o.Term || p.Term == o.Term && p.Number < o.Number
}

// record is the log record of one commit.
type record struct {
	position Position
	// writes are the values written, by item.
	writes map[string]string
	// appliedAt is the time at which a replica applies the record. A primary ignores it.
	appliedAt time.Time
}

// Group is a primary and its replicas. Its methods are safe for concurrent use.
type Group struct {
	Name  string
	store *Store
	// mu guards the state of the group and of its targets.
	mu sync.Mutex
	// changed is signaled when the state of a target changes in a way that a waiting commit or session depends on.
	changed *sync.Cond
	targets map[string]*Target
	// promoteDelay is the time between an order to promote and its effect, orders the number of orders so far. With
	// promoteSpread, the time is up to that much longer: it grows by half of it from one order to the next, then starts
	// anew.
	promoteDelay, promoteSpread time.Duration
	orders                      int
	// pauseWatcher is called with the source IP address of the next PAUSE; nil for none.
	pauseWatcher func(source string)
	// maxConnections is the number of connections that a target accepts; 0 for no limit.
	maxConnections int
	// mostConnections is the largest number of connections that one target had at a time.
	mostConnections int
	// acknowledged are the values of the latest acknowledged writes, by item.
	acknowledged map[string]string
	// commits are the acknowledged commits that wrote.
	commits []Commit
	// termStarts are the positions at which the terms began: that of the last record before each. promotedAt are the
	// times at which promotions began them.
	termStarts map[uint64]Position
	promotedAt map[uint64]time.Time
	// cutZones are the zones that are cut off from the others, cutTargets the targets that are cut off from all others.
	cutZones, cutTargets map[string]bool
	// sourceOf returns the IP address of the daemon that a connection of a target comes from; nil if it isn't known.
	sourceOf func(target string, conn net.Conn) string
}

// Target is one target VM of a group, with its log, its role and the faults that are injected into it.
type Target struct {
	ID       string
	group    *Group
	listener net.Listener
	address  string
	// advertised is the address in the target's entry of the store; if empty, the entry has the target's own address.
	advertised string
	zone       string
	// slots limits the number of statements that execute at the same time.
	slots chan struct{}

	// The fields below are guarded by the mutex of the group.
	primary bool
	term    uint64
	// pausedTerm is the highest term that the replica was paused for. It receives only from a primary of this or a
	// later term; 0 if it isn't paused.
	pausedTerm uint64
	log        []record
	up         bool
	// unresponsive targets accept connections and answer nothing.
	unresponsive bool
	// heartbeatsStopped targets do not write their entries again.
	heartbeatsStopped bool
	// leaving targets have announced that they will stop, and retired ones have stopped for good.
	leaving, retired bool
	// joining targets have no entry yet.
	joining bool
	// silentSince is the time since which the target can't write its entry; zero if it can.
	silentSince time.Time
	// outrankedSince is the time since which an old primary has reached one of a later term; zero if it hasn't.
	outrankedSince time.Time
	// receiveBlocked replicas receive nothing from the primary.
	receiveBlocked bool
	// stepDownLost is true while orders to step down are lost on their way to the target.
	stepDownLost bool
	// lag is the time between receiving and applying a record.
	lag time.Duration
	// service is the time that a statement occupies a slot.
	service time.Duration
	conns   map[net.Conn]struct{}
	// executed are the statements that the target executed.
	executed []Execution
	// attempts are the statements of callers that the target received, crashes counts its ends.
	attempts []Attempt
	crashes  int
}

// NewGroup starts a group of targets on loopback ports, in zones zone-1, zone-2 and so on. The first target is the
// primary, in term 1.
func NewGroup(store *Store, name string, ids ...string) (*Group, error) {
	g := &Group{Name: name, store: store, targets: map[string]*Target{}, acknowledged: map[string]string{},
		termStarts: map[uint64]Position{}, promotedAt: map[uint64]time.Time{}, promoteDelay: 50 * time.Millisecond,
		cutZones: map[string]bool{}, cutTargets: map[string]bool{}}
	g.changed = sync.NewCond(&g.mu)
	for i, id := range ids {
		d := &Target{ID: id, group: g, zone: fmt.Sprintf("zone-%d", i+1), slots: make(chan struct{}, 5), term: 1, primary: i == 0, conns: map[net.Conn]struct{}{}}
		g.targets[id] = d
		if err := d.Start(); err != nil {
			return nil, err
		}
	}
	return g, nil
}

// LimitConnections sets the number of connections that each target accepts.
func (g *Group) LimitConnections(limit int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.maxConnections = limit
}

// SetPromoteDelay sets the time between an order to promote and its effect.
func (g *Group) SetPromoteDelay(delay time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.promoteDelay = delay
}

// MostConnections returns the largest number of connections that one target had at a time.
func (g *Group) MostConnections() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.mostConnections
}

// admits reports whether a target accepts the connections that it has, the newest included.
func (d *Target) admits() bool {
	d.group.mu.Lock()
	defer d.group.mu.Unlock()
	if limit := d.group.maxConnections; limit > 0 && len(d.conns) > limit {
		return false
	}
	d.group.mostConnections = max(d.group.mostConnections, len(d.conns))
	return true
}

// Target returns the target with an id, or nil.
func (g *Group) Target(id string) *Target {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.targets[id]
}

// Start opens the port of a target and writes its entry. A target that starts again keeps its port and its log, isn't
// paused, and is a replica if another target is the primary of a later term.
func (d *Target) Start() error {
	if d.isRetired() {
		return nil
	}
	address := d.address
	if address == "" {
		address = "127.0.0.1:0"
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	g := d.group
	g.mu.Lock()
	defer g.mu.Unlock()
	d.listener, d.address, d.up, d.pausedTerm = listener, listener.Addr().String(), true, 0
	for _, other := range g.targets {
		if other != d && other.primary && other.term > d.term {
			d.primary = false
		}
	}
	d.writeEntry()
	go d.accept(listener)
	return nil
}

// writeEntry writes the target's entry to the store. The caller holds the mutex of the group.
func (d *Target) writeEntry() {
	if d.joining || d.retired || d.group.cutZones[d.zone] {
		return
	}
	role, state := "replica", "ready"
	if d.primary {
		role = "primary"
	}
	if d.leaving {
		state = "draining"
	}
	address := d.advertised
	if address == "" {
		address = d.address
	}
	d.group.store.Put("servers", d.ID, map[string]any{
		"Backend": d.group.Name, "Address": address, "Zone": d.zone, "Version": "v1", "PoolSize": cap(d.slots),
		"State": state, "WarmupLeftMs": 0, "DbRole": role, "Seq": 1, "born": 1,
	})
}

// Crash stops a target and closes its connections. Its log is kept.
func (d *Target) Crash() {
	d.group.mu.Lock()
	defer d.group.mu.Unlock()
	d.up = false
	d.crashes++
	_ = d.listener.Close()
	for conn := range d.conns {
		_ = conn.Close()
	}
	d.group.changed.Broadcast()
}

// SetUnresponsive sets whether a target is unresponsive: it accepts connections and answers nothing, neither to
// callers nor in the replication of the group.
func (d *Target) SetUnresponsive(unresponsive bool) {
	d.group.mu.Lock()
	defer d.group.mu.Unlock()
	d.unresponsive = unresponsive
	d.group.changed.Broadcast()
}

// SetReceiveBlocked sets whether a replica is kept from receiving records.
func (d *Target) SetReceiveBlocked(receiveBlocked bool) {
	d.group.mu.Lock()
	defer d.group.mu.Unlock()
	d.receiveBlocked = receiveBlocked
	d.group.changed.Broadcast()
}

// SetStepDownLost sets whether orders to step down are lost on their way to a target, with their connections.
func (d *Target) SetStepDownLost(lost bool) {
	d.group.mu.Lock()
	defer d.group.mu.Unlock()
	d.stepDownLost = lost
}

// SetService sets the time that a statement occupies a slot.
func (d *Target) SetService(service time.Duration) {
	d.group.mu.Lock()
	defer d.group.mu.Unlock()
	d.service = service
}

// SetLag sets the time between receiving and applying a record. Records that were received before are not affected.
func (d *Target) SetLag(lag time.Duration) {
	d.group.mu.Lock()
	defer d.group.mu.Unlock()
	d.lag = lag
}

// Leave makes a target announce in its entry that it will stop.
func (d *Target) Leave() {
	d.group.mu.Lock()
	defer d.group.mu.Unlock()
	d.leaving = true
	d.writeEntry()
}

// Primary returns the id of the running primary with the highest term, or an empty string if there is none.
func (g *Group) Primary() string {
	g.mu.Lock()
	defer g.mu.Unlock()
	id, term := "", uint64(0)
	for name, d := range g.targets {
		if d.primary && d.up && d.term > term {
			id, term = name, d.term
		}
	}
	return id
}

// StopHeartbeats keeps a target that goes on running from writing its entry again, as one that has left.
func (d *Target) StopHeartbeats() {
	d.group.mu.Lock()
	defer d.group.mu.Unlock()
	d.heartbeatsStopped = true
}

// ResumeHeartbeats ends StopHeartbeats. The entry is written with the next heartbeat.
func (d *Target) ResumeHeartbeats() {
	d.group.mu.Lock()
	defer d.group.mu.Unlock()
	d.heartbeatsStopped = false
}

// RestartAsPrimary ends a target and starts it again. A primary that was told to step down leads its term again unless
// another target was promoted meanwhile, as it has lost what it was told.
func (d *Target) RestartAsPrimary(term uint64) error {
	d.Crash()
	d.group.mu.Lock()
	if d.term == term && !d.retired {
		d.primary = true
	}
	d.group.mu.Unlock()
	return d.Start()
}

// Term returns the term that a target leads or follows.
func (d *Target) Term() uint64 {
	d.group.mu.Lock()
	defer d.group.mu.Unlock()
	return d.term
}

// LostWrites returns the items whose latest acknowledged value isn't the latest one in the log of the primary. If
// there is no primary, it returns only the text "no primary".
func (g *Group) LostWrites() []string {
	primary := g.Primary()
	g.mu.Lock()
	defer g.mu.Unlock()
	d, ok := g.targets[primary]
	if !ok {
		return []string{"no primary"}
	}
	held := map[string]string{}
	for _, r := range d.log {
		maps.Copy(held, r.writes)
	}
	var lost []string
	for item, value := range g.acknowledged {
		if held[item] != value {
			lost = append(lost, item)
		}
	}
	return lost
}

// Promote makes a target the primary of the next term, unless it is a primary already, and reports whether the
// target is running. The replicas that are running and responsive follow the new term with a copy of its log; an
// old primary isn't notified.
func (g *Group) Promote(id string) bool {
	time.Sleep(g.nextPromoteDelay())
	g.mu.Lock()
	defer g.mu.Unlock()
	chosen, ok := g.targets[id]
	if !ok || !chosen.up {
		return false
	}
	if chosen.primary {
		return true
	}
	term := uint64(0)
	for _, d := range g.targets {
		term = max(term, d.term)
	}
	chosen.primary, chosen.term, chosen.pausedTerm = true, term+1, 0
	g.termStarts[chosen.term], g.promotedAt[chosen.term] = chosen.lastPosition(), time.Now()
	for _, d := range g.targets {
		if d != chosen && d.up && !d.primary {
			// A promotion ends all pauses, also those of replicas that the new primary doesn't reach.
			d.pausedTerm = 0
		}
		if d != chosen && d.up && !d.unresponsive && !d.primary && d.reaches(chosen) {
			d.term, d.pausedTerm, d.log = chosen.term, 0, slices.Clone(chosen.log)
		}
	}
	chosen.writeEntry()
	g.changed.Broadcast()
	return true
}

// nextPromoteDelay returns the time between an order to promote and its effect.
func (g *Group) nextPromoteDelay() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.orders++
	return g.promoteDelay + g.promoteSpread*time.Duration((g.orders-1)%3)/2
}

// spreadPromoteDelay sets by how much the time between an order to promote and its effect may be longer.
func (g *Group) spreadPromoteDelay(spread time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.promoteSpread = spread
}

// longestLog returns a target with the longest log; one without records if there is no target. The caller holds the mutex.
func (g *Group) longestLog() *Target {
	longest := &Target{}
	for _, d := range g.targets {
		if longest.lastPosition().before(d.lastPosition()) {
			longest = d
		}
	}
	return longest
}

// lastPosition returns the position of the last record of the log. The caller holds the mutex of the group.
func (d *Target) lastPosition() Position {
	if len(d.log) == 0 {
		return Position{}
	}
	return d.log[len(d.log)-1].position
}

// appliedPosition returns the position of the last record that the target has applied. A primary has applied its
// whole log. The caller holds the mutex of the group.
func (d *Target) appliedPosition() Position {
	position := Position{}
	for _, r := range d.log {
		if d.primary || !time.Now().Before(r.appliedAt) {
			position = r.position
		}
	}
	return position
}

// commit appends writes to the log of the primary and waits until one replica has received them, which makes the
// commit acknowledged. It returns false if the target isn't the primary, or if it crashes or stops being the
// primary of its term before a replica has received the record.
func (d *Target) commit(id string, writes map[string]string) (Position, bool) {
	g := d.group
	g.mu.Lock()
	defer g.mu.Unlock()
	if !d.primary {
		return Position{}, false
	}
	term, number := d.term, uint64(1)
	if len(d.log) > 0 {
		number = d.lastPosition().Number + 1
	}
	position := Position{term, number}
	d.log = append(d.log, record{position: position, writes: writes})
	for {
		for _, other := range g.targets {
			if other != d && other.follows(d) {
				other.receive(d.log)
				if !other.lastPosition().before(position) {
					maps.Copy(g.acknowledged, writes)
					g.commits = append(g.commits, Commit{ID: id, Group: g.Name, Target: d.ID, Position: position, AcknowledgedAt: time.Now()})
					return position, true
				}
			}
		}
		g.changed.Wait()
		if !d.up || !d.primary || d.term != term {
			return Position{}, false
		}
	}
}

// follows reports whether a replica receives from a primary. The caller holds the mutex of the group.
func (d *Target) follows(primary *Target) bool {
	return d.reaches(primary) && d.up && !d.unresponsive && !d.primary && !d.receiveBlocked && d.pausedTerm <= primary.term && d.term <= primary.term
}

// receive makes the log of a target equal to the log of the primary: it removes the records after their last common
// one and appends those of the primary. The caller holds the mutex of the group.
func (d *Target) receive(log []record) {
	common := min(len(d.log), len(log))
	for common > 0 && d.log[common-1].position != log[common-1].position {
		common--
	}
	if common < len(d.log) {
		d.log = slices.Clone(d.log[:common])
	}
	for _, r := range log[common:] {
		r.appliedAt = time.Now().Add(d.lag)
		d.log = append(d.log, r)
	}
}

// IsPaused reports whether a replica is paused for a term later than its own.
func (d *Target) IsPaused() bool {
	d.group.mu.Lock()
	defer d.group.mu.Unlock()
	return d.pausedTerm > d.term
}

// Advertise sets the address in the entry of a target, such as that of a relay.
func (d *Target) Advertise(address string) {
	d.group.mu.Lock()
	defer d.group.mu.Unlock()
	d.advertised = address
	d.writeEntry()
}

// Address returns the host:port of the target itself.
func (d *Target) Address() string { return d.address }

// WriteEntry writes the target's entry again, as a heartbeat does, if the target is running.
func (d *Target) WriteEntry() {
	d.group.mu.Lock()
	defer d.group.mu.Unlock()
	if d.up && !d.heartbeatsStopped {
		d.writeEntry()
	}
}

// IsUp reports whether the target is running and responsive.
func (d *Target) IsUp() bool {
	d.group.mu.Lock()
	defer d.group.mu.Unlock()
	return d.up && !d.unresponsive
}

// Write is a value that is written to an item.
type Write struct{ Item, Value string }

// addCommitCounts adds to counts how many records in the log of the primary write each value to an item.
func (g *Group) addCommitCounts(counts map[Write]int) {
	primary := g.Primary()
	g.mu.Lock()
	defer g.mu.Unlock()
	if d, ok := g.targets[primary]; ok {
		for _, r := range d.log {
			for item, value := range r.writes {
				counts[Write{item, value}]++
			}
		}
	}
}

// CommitCount returns how many records in the log of the primary write a value to an item.
func (g *Group) CommitCount(item, value string) int {
	primary := g.Primary()
	g.mu.Lock()
	defer g.mu.Unlock()
	count := 0
	if d, ok := g.targets[primary]; ok {
		for _, r := range d.log {
			if written, ok := r.writes[item]; ok && written == value {
				count++
			}
		}
	}
	return count
}

// ActAsPrimary makes a target act as the primary of a term, as an old primary does that has not learned of a later
// term.
func (d *Target) ActAsPrimary(term uint64) {
	d.group.mu.Lock()
	defer d.group.mu.Unlock()
	d.primary, d.term, d.pausedTerm = true, term, 0
	d.group.termStarts[term], d.group.promotedAt[term] = d.lastPosition(), time.Now()
	d.writeEntry()
}

// IsWrittenAfter reports whether the log of the primary, or the longest one while there is none, writes a value to an item after
// it has written another one.
func (g *Group) IsWrittenAfter(item, value, other string) bool {
	primary := g.Primary()
	g.mu.Lock()
	defer g.mu.Unlock()
	d, ok := g.targets[primary]
	if !ok {
		d = g.longestLog()
	}
	seen := false
	for _, r := range d.log {
		switch r.writes[item] {
		case other:
			seen = true
		case value:
			return seen
		}
	}
	return false
}
