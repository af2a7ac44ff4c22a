// Package membership tracks which daemons are live. The VM list of the platform names the daemons, but it lags behind;
// heartbeats correct it: a daemon that does not answer them is not live.
package membership

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/papayacove/papayacove/api"
	"github.com/papayacove/papayacove/internal/logevent"
	"github.com/papayacove/papayacove/internal/logfield"
	"github.com/papayacove/papayacove/internal/peer"
	"github.com/papayacove/papayacove/internal/policy/placement"
	"github.com/papayacove/papayacove/internal/terms"
	"github.com/sirupsen/logrus"
)

const (
	// HeartbeatInterval is the time between two heartbeats to the same daemon.
	HeartbeatInterval = 200 * time.Millisecond
	// heartbeatTimeout bounds one heartbeat call.
	heartbeatTimeout = 400 * time.Millisecond
	// livenessTimeout is the time without an answer after which a daemon is no longer live.
	livenessTimeout = 700 * time.Millisecond
)

// Options configure a Manager.
type Options struct {
	// Self describes this daemon.
	Self api.VM
	// Dial returns a client for the daemon at a peer address.
	Dial func(address string) *peer.Client
	// Compose returns the heartbeat to send, without terms.
	Compose func() *api.Heartbeat
	// Terms is the table of the terms that heartbeats exchange.
	Terms *terms.Table
	// Receive is called with the heartbeat with which another daemon answers one of this daemon.
	Receive func(heartbeat *api.Heartbeat)
	// Changed is called after a change that may affect placement: a new VM list, or a daemon, this one included, that
	// becomes live, stops being live or changes whether it is leaving. It may be called concurrently.
	Changed func()
}

// Manager tracks the other daemons and their liveness. Its methods are safe for concurrent use once Init has returned.
type Manager struct {
	options Options
	context context.Context

	changes  atomic.Uint64
	mu       sync.RWMutex
	revision uint64
	peers    map[string]*member
	leaving  bool
}

// member is the known state of one other daemon.
type member struct {
	vm              api.VM
	client          *peer.Client
	cancel          context.CancelFunc
	terms           *terms.Exchange
	lastAnswer      time.Time
	refused         bool
	leaving         bool
	platformReached bool
	configRevision  uint64
	live            bool
}

// New returns a manager that knows no other daemon yet.
func New(options Options) *Manager {
	return &Manager{options: options, peers: make(map[string]*member)}
}

// Init sets the context under which heartbeats are sent. It must be called before SetVMs.
func (m *Manager) Init(ctx context.Context) {
	m.context = ctx
}

// SetVMs applies a VM list of the platform. A list that is not newer than the last one is ignored.
func (m *Manager) SetVMs(list api.VMList) {
	m.mu.Lock()
	if list.Revision <= m.revision {
		m.mu.Unlock()
		return
	}
	m.revision = list.Revision
	listed := make(map[string]bool, len(list.Vms))
	for _, vm := range list.Vms {
		if vm.Role != api.VMRoleEntry || vm.Name == m.options.Self.Name {
			continue
		}
		listed[vm.Name] = true
		m.addOrUpdate(vm)
	}
	for name, known := range m.peers {
		if !listed[name] {
			m.remove(name, known)
		}
	}
	m.changes.Add(1)
	m.mu.Unlock()
	m.options.Changed()
}

// addOrUpdate adds a daemon, or updates its VM entry. A daemon with a new peer address is replaced, so that it is not
// live until it answers there. m.mu must be held.
func (m *Manager) addOrUpdate(vm api.VM) {
	known, ok := m.peers[vm.Name]
	if ok && known.vm.PeerAddress == vm.PeerAddress {
		known.vm = vm
		return
	}
	if ok {
		m.remove(vm.Name, known)
	}
	ctx, cancel := context.WithCancel(m.context)
	added := &member{
		vm: vm, client: m.options.Dial(vm.PeerAddress), cancel: cancel, terms: terms.NewExchange(m.options.Terms),
	}
	m.peers[vm.Name] = added
	go m.sendHeartbeats(ctx, added)
}

// remove stops the heartbeats to a daemon and deletes it. m.mu must be held.
func (m *Manager) remove(name string, known *member) {
	known.cancel()
	known.client.Close()
	delete(m.peers, name)
	logrus.WithFields(logrus.Fields{logfield.Daemon: name, logfield.Reason: "left_vm_list"}).Info(logevent.MemberRemoved)
}

// sendHeartbeats sends heartbeats to one daemon until ctx ends.
func (m *Manager) sendHeartbeats(ctx context.Context, to *member) {
	ticker := time.NewTicker(HeartbeatInterval)
	defer ticker.Stop()
	for {
		m.exchangeHeartbeat(ctx, to)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// exchangeHeartbeat sends one heartbeat with terms and records the answer or the failure.
func (m *Manager) exchangeHeartbeat(ctx context.Context, to *member) {
	callContext, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	offer := to.terms.Offer()
	heartbeat := m.options.Compose()
	heartbeat.Terms, heartbeat.TermsDigest = offer.Terms, offer.Digest
	answer, err := to.client.Heartbeat(callContext, heartbeat)
	if ctx.Err() != nil {
		return
	}
	if err == nil {
		m.options.Receive(answer)
		to.terms.Answered(offer, answer.TermsDigest)
	}
	m.recordOutcome(to, answer, err)
}

// recordOutcome records the outcome of a heartbeat. It logs a change of liveness or leaving and calls Changed for it.
func (m *Manager) recordOutcome(to *member, answer *api.Heartbeat, err error) {
	now := time.Now()
	m.mu.Lock()
	previous := to.state()
	to.refused = errors.Is(err, syscall.ECONNREFUSED)
	if err == nil {
		m.recordAnswer(to, answer, now)
	}
	to.live = IsLive(to.lastAnswer, to.refused, now)
	current := to.state()
	m.countChange(previous, current)
	m.mu.Unlock()
	if current.isPlacedLike(previous) {
		return
	}
	logrus.WithFields(logrus.Fields{
		logfield.Daemon: to.vm.Name, logfield.Live: current.live, logfield.Leaving: current.leaving, logfield.Refused: to.refused,
	}).Info(logevent.MemberChanged)
	m.options.Changed()
}

// recordAnswer records the answer to a heartbeat. m.mu must be held.
func (m *Manager) recordAnswer(to *member, answer *api.Heartbeat, now time.Time) {
	to.lastAnswer = now
	to.leaving = answer.Leaving
	to.platformReached = answer.PlatformReached
	to.configRevision = answer.ConfigRevision
}

// IsLive reports whether a daemon is live: its last answer is younger than livenessTimeout, and the connection for the
// last heartbeat was not refused. A refused connection means that the process has ended, so the timeout is not waited
// for.
func IsLive(lastAnswer time.Time, refused bool, now time.Time) bool {
	return !refused && now.Sub(lastAnswer) < livenessTimeout
}

// SetLeaving marks this daemon as leaving. Heartbeats pass this on to the other daemons.
func (m *Manager) SetLeaving() {
	m.mu.Lock()
	m.leaving = true
	m.changes.Add(1)
	m.mu.Unlock()
	m.options.Changed()
}

// IsLeaving reports whether this daemon is leaving.
func (m *Manager) IsLeaving() bool {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.leaving
}

// Members returns the live daemons, including this one.
func (m *Manager) Members() []placement.Member {
	m.mu.RLock()
	defer m.mu.RUnlock()
	self := m.options.Self
	members := []placement.Member{{Name: self.Name, Zone: self.Zone, Leaving: m.leaving}}
	for name, known := range m.peers {
		if known.live {
			leaving := known.leaving || known.vm.State == api.VMStateLeaving
			members = append(members, placement.Member{Name: name, Zone: known.vm.Zone, Leaving: leaving})
		}
	}
	return members
}

// ReachesPlatform reports whether the named live daemon reached the platform at its last heartbeat.
func (m *Manager) ReachesPlatform(name string) bool {
	m.mu.RLock()
	defer m.mu.RUnlock()
	known, ok := m.peers[name]
	return ok && known.live && known.platformReached
}

// Client returns the client for a daemon on the VM list, live or not. It is false for other daemons.
func (m *Manager) Client(name string) (*peer.Client, bool) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	known, ok := m.peers[name]
	if !ok {
		return nil, false
	}
	return known.client, true
}

// ClientWithNewestConfig returns the client for the live daemon with the highest configuration revision above have. It is false when
// there is none.
func (m *Manager) ClientWithNewestConfig(have uint64) (*peer.Client, bool) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	var newest *member
	for _, known := range m.peers {
		if known.live && known.configRevision > have {
			have = known.configRevision
			newest = known
		}
	}
	if newest == nil {
		return nil, false
	}
	return newest.client, true
}

// IsLive reports whether the named other daemon is live.
func (m *Manager) IsLive(name string) bool {
	m.mu.RLock()
	defer m.mu.RUnlock()
	known, ok := m.peers[name]
	return ok && known.live
}

// RecordHeartbeat records what another daemon reports in a heartbeat. Liveness does not change: only answers to
// heartbeats of this daemon show it.
func (m *Manager) RecordHeartbeat(heartbeat *api.Heartbeat) {
	m.mu.Lock()
	known, ok := m.peers[heartbeat.From]
	changed := ok && known.leaving != heartbeat.Leaving
	if ok {
		previous := known.state()
		known.leaving = heartbeat.Leaving
		known.platformReached = heartbeat.PlatformReached
		known.configRevision = max(known.configRevision, heartbeat.ConfigRevision)
		m.countChange(previous, known.state())
	}
	m.mu.Unlock()
	if changed {
		m.options.Changed()
	}
}

// SendHeartbeatsNow sends a heartbeat to each live daemon without waiting for the interval or the answers.
func (m *Manager) SendHeartbeatsNow() {
	m.mu.RLock()
	defer m.mu.RUnlock()
	for _, known := range m.peers {
		if known.live {
			go m.exchangeHeartbeat(m.context, known)
		}
	}
}

// Statuses returns the states of the other daemons, ordered by name.
func (m *Manager) Statuses() []api.MemberStatus {
	m.mu.RLock()
	defer m.mu.RUnlock()
	statuses := make([]api.MemberStatus, 0, len(m.peers))
	for name, known := range m.peers {
		statuses = append(statuses, api.MemberStatus{
			Name: name, Zone: known.vm.Zone, Live: known.live, Leaving: known.leaving,
			SilenceMs: time.Since(known.lastAnswer).Milliseconds(), ConfigRevision: known.configRevision,
		})
	}
	slices.SortFunc(statuses, func(a, b api.MemberStatus) int { return cmp.Compare(a.Name, b.Name) })
	return statuses
}
