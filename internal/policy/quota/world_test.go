package quota

import (
	"fmt"
	"math/rand"
	"time"

	"github.com/papayacove/papayacove/api"
)

// world plays daemons, their clocks and the messages between them in virtual time.
type world struct {
	now     time.Duration
	daemons []*player
	byName  map[string]*player
	// travel decides on one message: how long each copy of it travels; none if it is lost.
	travel func(from, to *player) []time.Duration
	flying []message
	// messages counts the requests sent.
	messages int
}

// player is one daemon. Its clock differs from that of the world by offset.
type player struct {
	name, zone  string
	offset      time.Duration
	purse       *Purse
	coordinator *Coordinator
	incarnation uint64
	frozenUntil time.Duration
	// laneOffset is added to the lane of the daemon, as another version of the rules may.
	laneOffset int
	// side is the part of the network that the daemon is in.
	side    int
	flights map[string]*playerFlight
	// waiting holds operations that wait for tokens.
	waiting []waitingOperation
}

type playerFlight struct {
	request *api.QuotaRequest
	sentAt  time.Duration
}

// waitingOperation waits for a token until a time at most.
type waitingOperation struct {
	workspace string
	until     time.Duration
	hasWaited bool
	// wakeAt is the time at which it is decided on again.
	wakeAt time.Duration
	done   func(ok bool)
}

type message struct {
	at       time.Duration
	from, to *player
	// incarnation is that of the process that is to receive a reply.
	incarnation uint64
	flight      *playerFlight
	reply       *api.QuotaReply
}

func daemonName(i int) string { return fmt.Sprintf("d%03d", i) }

func zoneName(i, zones int) string { return string(rune('a' + i%zones)) }

func (p *player) clock(w *world) time.Duration { return w.now + p.offset }

func newWorld(zones, daemons int, travel func(from, to *player) []time.Duration, random *rand.Rand) *world {
	w := &world{byName: make(map[string]*player), travel: travel}
	for i := range daemons {
		p := &player{name: daemonName(i), zone: zoneName(i, zones), offset: time.Duration(random.Intn(1e6)) * time.Millisecond}
		w.daemons = append(w.daemons, p)
		w.byName[p.name] = p
		w.start(p, random)
	}
	return w
}

// start starts the process of a daemon, again if it ran.
func (w *world) start(p *player, random *rand.Rand) {
	p.incarnation = random.Uint64() | 1
	p.purse = NewPurse(p.name, p.incarnation, p.clock(w))
	p.purse.SetEarlierRules(LendingRules, nil)
	p.coordinator = NewCoordinator(p.incarnation)
	p.flights = make(map[string]*playerFlight)
	for _, o := range p.waiting {
		o.done(false)
	}
	p.waiting = nil
}

func (w *world) setBuckets(p *player, buckets map[string]Bucket) {
	p.purse.SetBuckets(buckets, p.clock(w))
	p.coordinator.SetBuckets(buckets, p.clock(w))
}

// spend offers an operation at a daemon. done is called with the verdict, possibly later.
func (w *world) spend(p *player, o waitingOperation) {
	d := p.purse.Spend(o.workspace, !o.hasWaited, p.clock(w))
	if d.Verdict == Ask && w.now < o.until {
		p.purse.Wait(o.workspace, 1)
		o.hasWaited, o.wakeAt = true, min(o.until, w.now+d.RetryAfter)
		p.waiting = append(p.waiting, o)
	} else {
		o.done(d.Verdict == Spent)
	}
	if d.Verdict != Refused && d.Coordinator != "" {
		w.ask(p, d.Coordinator)
	}
}

func (w *world) ask(p *player, coordinator string) {
	if p.flights[coordinator] != nil {
		return
	}
	f := &playerFlight{request: p.purse.Request(coordinator, p.clock(w)), sentAt: w.now}
	p.flights[coordinator] = f
	w.messages++
	w.send(message{from: p, to: w.byName[coordinator], flight: f})
}

func (w *world) send(m message) {
	travels := []time.Duration{0}
	if m.from != m.to {
		travels = w.travel(m.from, m.to)
	}
	for _, d := range travels {
		m.at = w.now + d
		w.flying = append(w.flying, m)
	}
}

// step advances the time by d.
func (w *world) step(d time.Duration) {
	w.now += d
	due := w.flying
	w.flying = nil
	for _, m := range due {
		if m.at > w.now || w.now < m.to.frozenUntil {
			w.flying = append(w.flying, m)
			continue
		}
		w.deliver(m)
	}
	for _, p := range w.daemons {
		if w.now >= p.frozenUntil {
			w.tick(p)
		}
	}
}

func (w *world) deliver(m message) {
	if m.reply == nil {
		reply := m.to.coordinator.Handle(m.flight.request, m.to.clock(w))
		w.send(message{from: m.to, to: m.from, incarnation: m.flight.request.Incarnation, flight: m.flight, reply: reply})
		return
	}
	p, coordinator := m.to, m.from.name
	if p.incarnation != m.incarnation || p.flights[coordinator] != m.flight {
		return
	}
	delete(p.flights, coordinator)
	p.purse.HandleReply(coordinator, m.flight.request, m.reply, m.flight.sentAt+p.offset, p.clock(w))
	w.retry(p)
}

func (w *world) tick(p *player) {
	for coordinator, f := range p.flights {
		if w.now-f.sentAt > CallTimeout {
			delete(p.flights, coordinator)
			p.purse.HandleFailure(coordinator, p.clock(w))
			w.retry(p)
		}
	}
	w.wake(p)
	if w.now%(50*time.Millisecond) != 0 {
		return
	}
	for _, coordinator := range p.purse.Due(p.clock(w)) {
		w.ask(p, coordinator)
	}
}

// retry offers the waiting operations of a daemon again.
func (w *world) retry(p *player) {
	waiting := p.waiting
	p.waiting = nil
	for _, o := range waiting {
		p.purse.Wait(o.workspace, -1)
		w.spend(p, o)
	}
}

// wake offers the waiting operations of a daemon again if it is time for one of them.
func (w *world) wake(p *player) {
	for _, o := range p.waiting {
		if w.now >= o.wakeAt {
			w.retry(p)
			return
		}
	}
}
