package engine

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/papayacove/papayacove/internal/clock"
	"github.com/papayacove/papayacove/internal/logevent"
	"github.com/papayacove/papayacove/internal/logfield"
	"github.com/papayacove/papayacove/internal/policy/placement"
)

// Daemon is a daemon of the deployment, this one included.
type Daemon struct {
	Name string
	// Zone is the availability zone of the daemon.
	Zone string
	// Address is the host:port at which other daemons reach it; empty for one that cannot hold targets.
	Address string
	// Capacity is what the daemon may use of a processor, in thousandths of a core; 0 if it is not known.
	Capacity int
}

// daemonList is the list of the daemons, which does not change once it is made.
type daemonList struct {
	self string
	// count is the number of daemons; 0 until it is known.
	count   int
	members []placement.Member
	// holders are the members that may hold targets, addresses their addresses by name.
	holders   []placement.Member
	addresses map[string]string
}

func newDaemonList(self string, daemons []Daemon) *daemonList {
	list := &daemonList{self: self, count: len(daemons), addresses: make(map[string]string)}
	for _, d := range daemons {
		list.members = append(list.members, placement.Member{Name: d.Name, Zone: d.Zone, Capacity: d.Capacity})
		if d.Address != "" {
			list.addresses[d.Name] = d.Address
		}
	}
	slices.SortFunc(list.members, func(a, b placement.Member) int { return cmp.Compare(a.Name, b.Name) })
	for _, m := range list.members {
		if list.addresses[m.Name] != "" {
			list.holders = append(list.holders, m)
		}
	}
	return list
}

// equal reports whether two lists hold the same daemons.
func (l *daemonList) equal(other *daemonList) bool {
	return l.count == other.count && slices.Equal(l.members, other.members) && maps.Equal(l.addresses, other.addresses)
}

// rank returns the position of this daemon among those that judge the primary of a group, from 0, and the number of
// availability zones that the daemons are in.
func (l *daemonList) rank(group string) (rank, zones int) {
	seen := make(map[string]bool)
	for _, m := range l.members {
		seen[m.Zone] = true
	}
	for i, m := range placement.SpreadOrder(group, l.members) {
		if m.Name == l.self {
			return i, len(seen)
		}
	}
	return 0, len(seen)
}

const (
	// peerAvoidance is the time for which a daemon that did not answer is not asked again.
	peerAvoidance = 300 * time.Millisecond
	// stoppingPeerAvoidance is the time for which a daemon that stops is sent no statements.
	stoppingPeerAvoidance = 2 * time.Second
	// unawarePeerAvoidance is the time for which a daemon is not asked that does not know the target yet: it has just
	// started, or the target has.
	unawarePeerAvoidance = 50 * time.Millisecond
)

// maxAvoided is the number of entries of peerHealth above which those that have expired are dropped.
const maxAvoided = 1000

// peerHealth records which other daemons are not asked for the moment. Its methods may be called concurrently.
type peerHealth struct {
	mu sync.Mutex
	// avoidUntil are times of the boot clock by address, by the way to a target, or by address for statements alone.
	avoidUntil map[string]time.Duration
}

// isAvoided reports whether the daemon with the address is not asked at the moment.
func (p *peerHealth) isAvoided(address string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	until, ok := p.avoidUntil[address]
	return ok && clock.SinceBoot() < until
}

// avoid records that the daemon is not asked for the given time.
func (p *peerHealth) avoid(address string, duration time.Duration, reason error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := clock.SinceBoot()
	if p.avoidUntil == nil {
		p.avoidUntil = make(map[string]time.Duration)
	}
	if now >= p.avoidUntil[address] && limiter.Allow("avoided", time.Now()) {
		logrus.WithFields(logrus.Fields{logfield.Peer: address, logfield.Error: reason, logfield.Wait: duration}).Info(logevent.PeerAvoided)
	}
	p.avoidUntil[address] = now + duration
	if len(p.avoidUntil) > maxAvoided {
		maps.DeleteFunc(p.avoidUntil, func(_ string, until time.Duration) bool { return until <= now })
	}
}
