package engine

import (
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/papayacove/papayacove/api"
	"github.com/papayacove/papayacove/internal/clock"
	"github.com/papayacove/papayacove/internal/policy/callers"
	"github.com/papayacove/papayacove/internal/policy/leadership"
	"github.com/papayacove/papayacove/internal/result"
)

// relayNetwork connects the engines of a test in the place of package relay. It implements Peers for one of them.
type relayNetwork struct {
	mu       sync.Mutex
	engines  map[string]*Engine
	sessions map[string]*RelaySession
	// fate decides what happens to a request to an address; nil delivers all.
	fate func(address string) requestFate
}

type requestFate int

const (
	delivered requestFate = iota
	notReached
	answerLost
	// answerLate loses the answer, as at a time limit, and leaves the connection as it is.
	answerLate
)

var errNoAnswer = errors.New("no answer")

// session returns the relay session of the connection from one daemon to another.
func (n *relayNetwork) session(from, to string) *RelaySession {
	n.mu.Lock()
	defer n.mu.Unlock()
	key := from + ">" + to
	if n.sessions[key] == nil {
		n.sessions[key] = n.engines[to].NewRelaySession(from)
	}
	return n.sessions[key]
}

// lose ends the connection from one daemon to another: what was open on it is rolled back.
func (n *relayNetwork) lose(from, to string) {
	n.mu.Lock()
	s := n.sessions[from+">"+to]
	delete(n.sessions, from+">"+to)
	n.mu.Unlock()
	if s != nil {
		s.Close()
	}
}

// networkPeers is the network as one daemon sees it.
type networkPeers struct {
	*relayNetwork
	self string
}

func (p networkPeers) fateOf(address string) requestFate {
	if p.fate == nil {
		return delivered
	}
	return p.fate(address)
}

func (p networkPeers) Run(address string, request *api.RelayRequest, _ time.Time) (*api.RelayReply, PeerConnection, error) {
	connection := networkConnection{p, address, p.session(p.self, address)}
	reply, err := connection.send(request)
	return reply, connection, err
}

// networkConnection is a connection of the network.
type networkConnection struct {
	networkPeers
	address string
	session *RelaySession
}

func (c networkConnection) Run(request *api.RelayRequest, _ time.Time) (*api.RelayReply, error) {
	if c.isClosed() {
		return nil, fmt.Errorf("%w: %w", ErrPeerNotReached, ErrPeerConnectionEnded)
	}
	return c.send(request)
}

func (c networkConnection) isClosed() bool {
	c.session.mu.Lock()
	defer c.session.mu.Unlock()
	return c.session.closed
}

func (c networkConnection) send(request *api.RelayRequest) (*api.RelayReply, error) {
	fate := c.fateOf(c.address)
	if fate == notReached {
		return nil, ErrPeerNotReached
	}
	reply := c.session.Run(request)
	if fate == answerLost {
		c.lose(c.self, c.address)
		return nil, errNoAnswer
	}
	if fate == answerLate {
		return nil, errNoAnswer
	}
	return reply, nil
}

func (p networkPeers) Status(address string, request *api.RelayStatusRequest, _ time.Time) (*api.RelayStatusReply, error) {
	if p.fateOf(address) != delivered {
		return nil, errNoAnswer
	}
	return p.session(p.self, address).Status(request), nil
}

// newRelayedEngines returns engines of several daemons that use one target, the primary, through holders.
func newRelayedEngines(target *fakeTarget, daemons int, limits GroupLimits, route Route) (*relayNetwork, []*Engine) {
	n := &relayNetwork{engines: map[string]*Engine{}, sessions: map[string]*RelaySession{}}
	var list []Daemon
	for i := range daemons {
		name := fmt.Sprintf("daemon-%d", i)
		list = append(list, Daemon{Name: name, Zone: "z", Address: name})
	}
	var engines []*Engine
	now := clock.SinceBoot()
	for _, d := range list {
		e := New(Options{Name: d.Name, Zone: "z", Dialer: target, DrainTimeout: time.Hour, Peers: networkPeers{n, d.Name}})
		e.Close()
		g := newGroup("g", e.options, func() bool { return true })
		g.peers, g.inBackground = e.peers, atOnce
		e.use(Configuration{Version: 1, Routes: map[string]Route{"d": route}, Groups: map[string]GroupLimits{"g": limits}}, g)
		g.setLimits(limits, newDaemonList(d.Name, list))
		g.setTarget(Target{Name: "a", Group: "g", Slots: 2, Zone: "z"})
		g.applyStatusRound(map[string]leadership.Status{"a": leads(1, 0, now)}, now)
		g.addReceiver()
		g.provenUntil = now + time.Hour
		n.engines[d.Name] = e
		engines = append(engines, e)
	}
	return n, engines
}

// atOnce runs a function that else runs in the background while the session that asked for it is at work.
func atOnce(f func()) { f() }

// holderOf returns the name of the daemon that holds the target, and that of its first standby.
func holderOf(e *Engine) (holder, standby string) {
	g := e.groups["g"]
	holders := g.holdersOf(g.members["a"])
	return holders[0].address, holders[1].address
}

// strictRoute is the route of tests that wait for nothing.
var strictRoute = Route{Name: "r", Database: "d", Group: "g", Consistency: ConsistencyStrict, Timeout: 10 * time.Second, Objective: 5 * time.Second}

// scarceLimits leave less than one connection for each of ten daemons.
var scarceLimits = GroupLimits{MaxConnections: 8, SyncReplicas: 1}

// TestAnswersMatchEffectsThroughHolders runs sessions whose target is held by other daemons, while requests between the
// daemons do not arrive or their answers are lost: a write takes effect at most once, one answered with success exactly
// once, and one answered with the guarantee that nothing ran never.
func TestAnswersMatchEffectsThroughHolders(t *testing.T) {
	relayed := 0
	rapid.Check(t, func(t *rapid.T) {
		random := &randomTarget{t: t, committed: map[string]int{}, open: map[*fakeConnection][]string{}}
		target := &fakeTarget{exchange: random.exchange, closed: random.forget}
		route := strictRoute
		route.Timeout, route.Objective = 50*time.Millisecond, 20*time.Millisecond
		n, engines := newRelayedEngines(target, 10, scarceLimits, route)
		n.fate = func(string) requestFate {
			fate := rapid.SampledFrom([]requestFate{delivered, delivered, delivered, delivered, notReached, answerLost}).Draw(t, "fate")
			if fate == delivered {
				relayed++
			}
			return fate
		}
		caller := &scriptedCaller{statements: drawStatements(t)}
		engines[rapid.IntRange(0, 9).Draw(t, "daemon")].Serve(caller, "d", callers.Identity{})
		if len(caller.answers) != len(caller.statements) {
			t.Fatalf("got %d answers, want one to each of %d statements", len(caller.answers), len(caller.statements))
		}
		checkAnswers(t, caller, random)
	})
	if relayed == 0 {
		t.Error("no request was sent to a holder")
	}
}

// slottedTarget serves as many statements at a time as it has slots, queues some and refuses the rest, as targets do.
type slottedTarget struct {
	slots    chan struct{}
	queued   atomic.Int64
	maxQueue int64
	service  time.Duration
	busy     atomic.Int64
	served   atomic.Int64
}

func (s *slottedTarget) exchange(_ *fakeConnection, c Command) (Reply, error) {
	if s.queued.Add(1) > s.maxQueue+int64(cap(s.slots)) {
		s.queued.Add(-1)
		s.busy.Add(1)
		return Reply{Failure: &TargetFailure{Kind: FailureBusy}}, nil
	}
	s.slots <- struct{}{}
	time.Sleep(s.service)
	<-s.slots
	s.queued.Add(-1)
	s.served.Add(1)
	return Reply{Signature: c.ID, Position: api.Position{Term: 1, Offset: 1}}, nil
}

// TestManyDaemonsMeetFewSlots lets forty daemons send more to a target than its slots and its queue take at once, while
// their share is less than one connection. Directly, most statements met a busy or full target. Through the holder the
// target refuses none, has few connections, and everything is served.
func TestManyDaemonsMeetFewSlots(t *testing.T) {
	const daemons, perDaemon = 40, 10
	slotted := &slottedTarget{slots: make(chan struct{}, 2), maxQueue: 6, service: time.Millisecond}
	target := &fakeTarget{limit: 30, exchange: slotted.exchange}
	_, engines := newRelayedEngines(target, daemons, GroupLimits{MaxConnections: 30, SyncReplicas: 1}, strictRoute)
	var pending sync.WaitGroup
	var refused atomic.Int64
	for i, e := range engines {
		pending.Go(func() {
			caller := &scriptedCaller{}
			for j := range perDaemon {
				caller.statements = append(caller.statements, Statement{ID: fmt.Sprintf("%d-%d", i, j), Op: OpWrite, Text: "w"})
			}
			e.Serve(caller, "d", callers.Identity{})
			for _, a := range caller.answers {
				if a.Refusal != nil {
					refused.Add(1)
				}
			}
		})
	}
	pending.Wait()
	if refused.Load() > 0 || slotted.busy.Load() > 0 || slotted.served.Load() != daemons*perDaemon {
		t.Errorf("got %d statements served, %d refused, %d refused by the target, want %d served and none refused", slotted.served.Load(), refused.Load(), slotted.busy.Load(), daemons*perDaemon)
	}
	if target.maxOpen > 18 || target.dialed > 18 {
		t.Errorf("got %d connections at a time and %d in all, want at most the 18 of a holder", target.maxOpen, target.dialed)
	}
}

// TestLostHolder loses the connection to the holder after a statement was sent: a write is in doubt, a read is served by
// the standby, and a transaction is lost and rolled back.
func TestLostHolder(t *testing.T) {
	cases := []struct {
		name       string
		statements []Statement
		want       []result.Code
	}{
		{"write", []Statement{{ID: "1", Op: OpWrite, Text: "w"}}, []result.Code{result.OutcomeUnknown}},
		{"read", []Statement{{ID: "1", Op: OpRead, Text: "r"}}, []result.Code{result.OK}},
		{"transaction", []Statement{{ID: "1", Op: OpBegin}, {ID: "2", Op: OpWrite, Text: "w"}, {ID: "3", Op: OpCommit, Text: "COMMIT"}},
			[]result.Code{result.OK, result.TransactionLost, result.TransactionLost}},
	}
	for _, c := range cases {
		transaction := c.name == "transaction"
		target := &fakeTarget{exchange: func(_ *fakeConnection, c Command) (Reply, error) {
			state := StateIdle
			if c.Op == OpBegin || c.Op == OpWrite && transaction {
				state = StateOpen
			}
			return Reply{Signature: "s", State: state, Position: api.Position{Term: 1, Offset: 1}}, nil
		}}
		n, engines := newRelayedEngines(target, 10, scarceLimits, strictRoute)
		holder, standby := holderOf(engines[0])
		requests := map[string]int{}
		n.fate = func(address string) requestFate {
			requests[address]++
			isBegin := transaction && requests[address] == 1
			if address == holder && !isBegin {
				return answerLost
			}
			return delivered
		}
		sender := engines[0]
		for _, e := range engines {
			if e.options.Name != holder && e.options.Name != standby {
				sender = e
			}
		}
		caller := &scriptedCaller{statements: c.statements}
		sender.Serve(caller, "d", callers.Identity{})
		for i, a := range caller.answers {
			got := result.OK
			if a.Refusal != nil {
				got = a.Refusal.Code
			}
			if got != c.want[i] {
				t.Errorf("%s, statement %d: got %s, want %s", c.name, i+1, got, c.want[i])
			}
		}
		if c.name == "read" && requests[standby] != 1 {
			t.Errorf("read: got %d requests to the standby, want 1", requests[standby])
		}
		if !sender.peers.isAvoided(holder) {
			t.Errorf("%s: the holder that did not answer is asked again at once", c.name)
		}
		if open := n.engines[holder].relayed.Load(); open != 0 {
			t.Errorf("%s: got %d open transactions at the holder, want them rolled back", c.name, open)
		}
	}
}

// TestStoppingHolderPassesOn stops the holder as planned: new statements go to the standby, and an open transaction
// ends where it is.
func TestStoppingHolderPassesOn(t *testing.T) {
	target := &fakeTarget{exchange: func(_ *fakeConnection, c Command) (Reply, error) {
		state := StateIdle
		if c.Op == OpBegin || c.Op == OpWrite {
			state = StateOpen
		}
		return Reply{Signature: "s", State: state, Position: api.Position{Term: 1, Offset: 1}}, nil
	}}
	n, engines := newRelayedEngines(target, 10, scarceLimits, strictRoute)
	holder, standby := holderOf(engines[0])
	var sender *Engine
	for _, e := range engines {
		if e.options.Name != holder && e.options.Name != standby {
			sender = e
		}
	}
	stop := &stoppingCaller{scriptedCaller: scriptedCaller{statements: []Statement{
		{ID: "1", Op: OpBegin}, {ID: "2", Op: OpWrite, Text: "w"}, {ID: "3", Op: OpCommit, Text: "COMMIT"}, {ID: "4", Op: OpRead, Text: "r"},
	}}, after: 2, stop: func() { n.engines[holder].stopping.Store(true) }}
	sender.Serve(stop, "d", callers.Identity{})
	for i, a := range stop.answers {
		if a.Refusal != nil {
			t.Errorf("statement %d: got %+v, want success", i+1, a.Refusal)
		}
	}
	if n.engines[standby].groups["g"].members["a"].gate == nil {
		t.Error("the standby holds no target after the holder has begun to stop")
	}
}

// stoppingCaller calls stop before the statement after the given number.
type stoppingCaller struct {
	scriptedCaller
	after int
	stop  func()
}

func (c *stoppingCaller) Next(deadline time.Time) (Statement, error) {
	if len(c.answers) == c.after {
		c.stop()
	}
	return c.scriptedCaller.Next(deadline)
}

// TestHolderThatDoesNotReachTheTarget partitions the holder from the target: the standby serves.
func TestHolderThatDoesNotReachTheTarget(t *testing.T) {
	reachable, unreachable := &fakeTarget{}, &fakeTarget{err: errors.New("no route")}
	n, engines := newRelayedEngines(reachable, 10, scarceLimits, strictRoute)
	holder, standby := holderOf(engines[0])
	g := n.engines[holder].groups["g"]
	g.dialer = unreachable
	for _, e := range engines {
		if e.options.Name == holder || e.options.Name == standby {
			continue
		}
		caller := &scriptedCaller{statements: []Statement{{ID: "1", Op: OpRead, Text: "r"}, {ID: "2", Op: OpWrite, Text: "w"}}}
		e.Serve(caller, "d", callers.Identity{})
		for i, a := range caller.answers {
			if a.Refusal != nil {
				t.Fatalf("%s, statement %d: got %+v, want it served by the standby", e.options.Name, i+1, a.Refusal)
			}
		}
	}
	if unreachable.dialed > 9 {
		t.Errorf("got %d attempts of the holder to connect, want at most one for each sender", unreachable.dialed)
	}
}

// TestProofsOfAHolderAreDatedFromTheRequest checks that a leadership proof that comes with an answer never lasts longer
// at the sender than at the holder.
func TestProofsOfAHolderAreDatedFromTheRequest(t *testing.T) {
	g := newTestGroup(&fakeTarget{})
	g.provenUntil = 0
	askedAt := clock.SinceBoot()
	g.recordRelayed(g.members["a"], "holder", &api.RelayReply{Group: "g", Target: "a", ProofTerm: 1, ProofAgeUs: 200_000, ProofChained: true}, askedAt)
	if want := askedAt - 200*time.Millisecond + leadership.ProofValidity; g.provenUntil != want {
		t.Errorf("got a proof until %s, want %s", g.provenUntil, want)
	}
	g.provenUntil = 0
	for name, reply := range map[string]*api.RelayReply{
		"another term":    {Group: "g", Target: "a", ProofTerm: 2, ProofChained: true},
		"none":            {Group: "g", Target: "a"},
		"another target":  {Group: "g", Target: "b", ProofTerm: 1, ProofChained: true},
		"another group":   {Group: "h", Target: "a", ProofTerm: 1, ProofChained: true},
		"an older daemon": {ProofTerm: 1},
		"without a chain": {Group: "g", Target: "a", ProofTerm: 1},
	} {
		if g.recordRelayed(g.members["a"], "holder", reply, askedAt); g.provenUntil != 0 {
			t.Errorf("%s: got a proof until %s, want none", name, g.provenUntil)
		}
	}
	if g.recordRelayed(g.members["b"], "holder", &api.RelayReply{Group: "g", Target: "b", ProofTerm: 1, ProofChained: true}, askedAt); g.provenUntil != 0 {
		t.Error("a replica's holder gave a proof for the primary")
	}
}

// TestStatusCallsAreShared asks for the status of a target from many goroutines: each gets a status that was asked for
// after its own request, and calls do not grow with the requests.
func TestStatusCallsAreShared(t *testing.T) {
	var calls atomic.Int64
	shared := &sharedStatus{call: func() (leadership.Status, error) {
		calls.Add(1)
		askedAt := clock.SinceBoot()
		time.Sleep(5 * time.Millisecond)
		return leadership.Status{AskedAt: askedAt}, nil
	}}
	var pending sync.WaitGroup
	for range 100 {
		pending.Go(func() {
			before := clock.SinceBoot()
			if s, err := shared.get(); err != nil || s.AskedAt < before {
				t.Errorf("got a status of %s, %v, want one after %s", s.AskedAt, err, before)
			}
		})
	}
	pending.Wait()
	if n := calls.Load(); n > 20 {
		t.Errorf("got %d calls for 100 requests, want a few", n)
	}
}

// TestUnknownRequestsAreRefused sends requests of another version or for what the daemon does not know.
func TestUnknownRequestsAreRefused(t *testing.T) {
	_, engines := newRelayedEngines(&fakeTarget{}, 10, scarceLimits, strictRoute)
	s := engines[0].NewRelaySession("peer")
	for name, request := range map[string]*api.RelayRequest{
		"operation":   {Group: "g", Target: "a", Operation: 200},
		"class":       {Group: "g", Target: "a", Operation: uint8(OpRead), Class: 200},
		"group":       {Group: "x", Target: "a", Operation: uint8(OpRead)},
		"target":      {Group: "g", Target: "x", Operation: uint8(OpRead)},
		"transaction": {Group: "g", Target: "a", Operation: uint8(OpRead), Transaction: 7},
	} {
		if reply := s.Run(request); result.Code(reply.NotRunCode) != result.NotRunNotHolder {
			t.Errorf("unknown %s: got code %d, want %d", name, reply.NotRunCode, result.NotRunNotHolder)
		}
	}
}
