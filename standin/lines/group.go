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

// Place is a position of a log.
type Place struct {
	Term   uint64
	Number uint64
}

func (p Place) String() string {
	if p == (Place{}) {
		return "-"
	}
	return fmt.Sprintf("%d.%d", p.Term, p.Number)
}

func (p Place) before(o Place) bool {
	return p.Term < o.Term || p.Term == o.Term && p.Number < o.Number
}

// record is one commit.
type record struct {
	place  Place
	writes map[string]string
	// applied is when a replica has applied it.
	applied time.Time
}

// Group is a primary and its replicas.
type Group struct {
	Name         string
	store        *Store
	mu           sync.Mutex
	changed      *sync.Cond
	databases    map[string]*Database
	promoteDelay time.Duration
	// acknowledged are the writes of acknowledged commits.
	acknowledged map[string]string
}

// Database is one target.
type Database struct {
	ID       string
	group    *Group
	listener net.Listener
	address  string
	// advertised is the address that the entry names; empty for the target's own.
	advertised string
	zone       string
	slots      chan struct{}

	// The fields below are guarded by the group.
	primary bool
	term    uint64
	paused  uint64
	log     []record
	up      bool
	dark    bool
	leaving bool
	// deaf replicas receive nothing.
	deaf bool
	// lag is the time from receiving to applying.
	lag time.Duration
	// service is the time that a statement takes.
	service time.Duration
	conns   map[net.Conn]struct{}
	// ran are the ids of the statements that ran.
	ran []string
}

// NewGroup starts a group of targets; the first one leads.
func NewGroup(store *Store, name string, ids ...string) (*Group, error) {
	g := &Group{Name: name, store: store, databases: map[string]*Database{}, acknowledged: map[string]string{}, promoteDelay: 50 * time.Millisecond}
	g.changed = sync.NewCond(&g.mu)
	for i, id := range ids {
		d := &Database{ID: id, group: g, zone: fmt.Sprintf("zone-%d", i+1), slots: make(chan struct{}, 5), term: 1, primary: i == 0, conns: map[net.Conn]struct{}{}}
		g.databases[id] = d
		if err := d.Start(); err != nil {
			return nil, err
		}
	}
	return g, nil
}

// Database returns a target by its id.
func (g *Group) Database(id string) *Database { return g.databases[id] }

// Start opens the port of a target and registers it.
func (d *Database) Start() error {
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
	d.listener, d.address, d.up, d.paused = listener, listener.Addr().String(), true, 0
	for _, other := range g.databases {
		if other != d && other.primary && other.term > d.term {
			d.primary = false
		}
	}
	d.report()
	go d.accept(listener)
	return nil
}

// report writes the target's entry. The caller holds the lock of the group.
func (d *Database) report() {
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

// Crash ends a target; its log stays.
func (d *Database) Crash() {
	d.group.mu.Lock()
	defer d.group.mu.Unlock()
	d.up = false
	_ = d.listener.Close()
	for conn := range d.conns {
		_ = conn.Close()
	}
	d.group.changed.Broadcast()
}

// SetDark makes a target silent: connections open and nothing answers.
func (d *Database) SetDark(dark bool) {
	d.group.mu.Lock()
	defer d.group.mu.Unlock()
	d.dark = dark
	d.group.changed.Broadcast()
}

// SetDeaf stops a replica from receiving.
func (d *Database) SetDeaf(deaf bool) {
	d.group.mu.Lock()
	defer d.group.mu.Unlock()
	d.deaf = deaf
	d.group.changed.Broadcast()
}

// SetLag changes the time from receiving to applying.
func (d *Database) SetLag(lag time.Duration) {
	d.group.mu.Lock()
	defer d.group.mu.Unlock()
	d.lag = lag
}

// Leave makes a target announce that it stops.
func (d *Database) Leave() {
	d.group.mu.Lock()
	defer d.group.mu.Unlock()
	d.leaving = true
	d.report()
}

// Primary returns the id of the target that leads in the highest term.
func (g *Group) Primary() string {
	g.mu.Lock()
	defer g.mu.Unlock()
	id, term := "", uint64(0)
	for name, d := range g.databases {
		if d.primary && d.up && d.term > term {
			id, term = name, d.term
		}
	}
	return id
}

// Ran returns how often a statement ran on any target.
func (g *Group) Ran(id string) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	count := 0
	for _, d := range g.databases {
		for _, ran := range d.ran {
			if ran == id {
				count++
			}
		}
	}
	return count
}

// Lost returns the acknowledged writes that the primary does not have.
func (g *Group) Lost() []string {
	primary := g.Primary()
	g.mu.Lock()
	defer g.mu.Unlock()
	d, ok := g.databases[primary]
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

// Promote makes a target the primary of the next term. It reports whether the target runs.
func (g *Group) Promote(id string) bool {
	time.Sleep(g.promoteDelay)
	g.mu.Lock()
	defer g.mu.Unlock()
	chosen, ok := g.databases[id]
	if !ok || !chosen.up {
		return false
	}
	if chosen.primary {
		return true
	}
	term := uint64(0)
	for _, d := range g.databases {
		term = max(term, d.term)
	}
	chosen.primary, chosen.term, chosen.paused = true, term+1, 0
	for _, d := range g.databases {
		if d != chosen && d.up && !d.dark && !d.primary {
			d.term, d.paused, d.log = chosen.term, 0, slices.Clone(chosen.log)
		}
	}
	chosen.report()
	g.changed.Broadcast()
	return true
}

// last is the end of the log; the caller holds the lock of the group.
func (d *Database) last() Place {
	if len(d.log) == 0 {
		return Place{}
	}
	return d.log[len(d.log)-1].place
}

// appliedPlace is the end of what a target has applied. The caller holds the lock of the group.
func (d *Database) appliedPlace() Place {
	place := Place{}
	for _, r := range d.log {
		if d.primary || !time.Now().Before(r.applied) {
			place = r.place
		}
	}
	return place
}

// commit appends writes and waits for one replica. False means that the target lost the lead before.
func (d *Database) commit(writes map[string]string) bool {
	g := d.group
	g.mu.Lock()
	defer g.mu.Unlock()
	if !d.primary {
		return false
	}
	term, number := d.term, uint64(1)
	if len(d.log) > 0 {
		number = d.last().Number + 1
	}
	place := Place{term, number}
	d.log = append(d.log, record{place: place, writes: writes})
	for {
		for _, other := range g.databases {
			if other != d && other.follows(d) {
				other.receive(d.log)
				if !other.last().before(place) {
					maps.Copy(g.acknowledged, writes)
					return true
				}
			}
		}
		g.changed.Wait()
		if !d.up || !d.primary || d.term != term {
			return false
		}
	}
}

// follows reports whether a replica receives from a primary. The caller holds the lock of the group.
func (d *Database) follows(primary *Database) bool {
	return d.up && !d.dark && !d.primary && !d.deaf && d.paused <= primary.term && d.term <= primary.term
}

// receive takes a log over, and drops what the target has written beyond it. The caller holds the lock of the group.
func (d *Database) receive(log []record) {
	common := min(len(d.log), len(log))
	for common > 0 && d.log[common-1].place != log[common-1].place {
		common--
	}
	if common < len(d.log) {
		d.log = slices.Clone(d.log[:common])
	}
	for _, r := range log[common:] {
		r.applied = time.Now().Add(d.lag)
		d.log = append(d.log, r)
	}
}

// IsPaused reports whether a replica receives nothing.
func (d *Database) IsPaused() bool {
	d.group.mu.Lock()
	defer d.group.mu.Unlock()
	return d.paused > d.term
}

// Advertise makes the entry of a target name another address, such as that of a relay.
func (d *Database) Advertise(address string) {
	d.group.mu.Lock()
	defer d.group.mu.Unlock()
	d.advertised = address
	d.report()
}

// Address is the target's own address.
func (d *Database) Address() string { return d.address }

// Report writes the target's entry anew, as its heartbeat does.
func (d *Database) Report() {
	d.group.mu.Lock()
	defer d.group.mu.Unlock()
	if d.up {
		d.report()
	}
}

// IsUp reports whether the target runs and answers.
func (d *Database) IsUp() bool {
	d.group.mu.Lock()
	defer d.group.mu.Unlock()
	return d.up && !d.dark
}

// Committed returns how often a value was written to an item in the log of the primary.
func (g *Group) Committed(item, value string) int {
	primary := g.Primary()
	g.mu.Lock()
	defer g.mu.Unlock()
	count := 0
	if d, ok := g.databases[primary]; ok {
		for _, r := range d.log {
			if written, ok := r.writes[item]; ok && written == value {
				count++
			}
		}
	}
	return count
}

// Lead makes a target believe that it leads a term, as one does that has not heard of a later one.
func (d *Database) Lead(term uint64) {
	d.group.mu.Lock()
	defer d.group.mu.Unlock()
	d.primary, d.term, d.paused = true, term, 0
	d.report()
}

// IsAfter reports whether a value of an item stands after another one in the log of the primary.
func (g *Group) IsAfter(item, value, other string) bool {
	primary := g.Primary()
	g.mu.Lock()
	defer g.mu.Unlock()
	d, ok := g.databases[primary]
	if !ok {
		return false
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
