// Package membership knows which daemons live: the VM list of the platform, which lags, corrected
// by heartbeats. A daemon is taken for gone when its heartbeats stay without answer.
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
	// HeartbeatInterval is the time between heartbeats to one daemon.
	HeartbeatInterval = 200 * time.Millisecond
	// heartbeatTimeout is the time that one heartbeat may take.
	heartbeatTimeout = 400 * time.Millisecond
	// silenceLimit is the time without an answer after which a daemon counts as gone.
	silenceLimit = 700 * time.Millisecond
)

// Options configure a Manager.
type Options struct {
	// Self describes this daemon.
	Self api.VM
	// Dial returns a client for a peer address.
	Dial func(address string) *peer.Client
	// Compose returns the heartbeat to send, without terms.
	Compose func() *api.Heartbeat
	// Terms are the terms that heartbeats spread.
	Terms *terms.Table
	// Receive takes in a heartbeat of another daemon.
	Receive func(heartbeat *api.Heartbeat)
	// Changed is called after the set of live daemons has changed.
	Changed func()
}

// Manager keeps the live daemons.
type Manager struct {
	options Options
	context context.Context

	changes  atomic.Uint64
	mu       sync.RWMutex
	revision uint64
	peers    map[string]*member
	leaving  bool
}

// member is the knowledge of one other daemon.
type member struct {
	vm              api.VM
	client          *peer.Client
	cancel          context.CancelFunc
	terms           *terms.Exchange
	lastHeard       time.Time
	refused         bool
	leaving         bool
	platformReached bool
	configRevision  uint64
	live            bool
}

// New returns a manager without peers.
func New(options Options) *Manager {
	return &Manager{options: options, peers: make(map[string]*member)}
}

// Init sets the context under which heartbeats are sent.
func (m *Manager) Init(ctx context.Context) {
	m.context = ctx
}

// SetVMs takes in a VM list; older lists are ignored.
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
		m.admit(vm)
	}
	for name, known := range m.peers {
		if !listed[name] {
			m.dismiss(name, known)
		}
	}
	m.changes.Add(1)
	m.mu.Unlock()
	m.options.Changed()
}

// admit adds a daemon or takes in its new address. The caller holds the lock.
func (m *Manager) admit(vm api.VM) {
	known, ok := m.peers[vm.Name]
	if ok && known.vm.PeerAddress == vm.PeerAddress {
		known.vm = vm
		return
	}
	if ok {
		m.dismiss(vm.Name, known)
	}
	ctx, cancel := context.WithCancel(m.context)
	added := &member{
		vm: vm, client: m.options.Dial(vm.PeerAddress), cancel: cancel, terms: terms.NewExchange(m.options.Terms),
	}
	m.peers[vm.Name] = added
	go m.beat(ctx, added)
}

// dismiss forgets a daemon that has left the list. The caller holds the lock.
func (m *Manager) dismiss(name string, known *member) {
	known.cancel()
	known.client.Close()
	delete(m.peers, name)
	logrus.WithFields(logrus.Fields{logfield.Daemon: name, logfield.Reason: "left_vm_list"}).Info(logevent.MemberRemoved)
}

// beat sends heartbeats to one daemon until ctx ends.
func (m *Manager) beat(ctx context.Context, to *member) {
	ticker := time.NewTicker(HeartbeatInterval)
	defer ticker.Stop()
	for {
		m.exchange(ctx, to)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (m *Manager) exchange(ctx context.Context, to *member) {
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
	m.note(to, answer, err)
}

// note records the outcome of a heartbeat and reports a change of liveness.
func (m *Manager) note(to *member, answer *api.Heartbeat, err error) {
	now := time.Now()
	m.mu.Lock()
	previous := to.state()
	to.refused = errors.Is(err, syscall.ECONNREFUSED)
	if err == nil {
		m.hear(to, answer, now)
	}
	to.live = IsLive(to.lastHeard, to.refused, now)
	current := to.state()
	m.count(previous, current)
	m.mu.Unlock()
	if current.isPlacedAs(previous) {
		return
	}
	logrus.WithFields(logrus.Fields{
		logfield.Daemon: to.vm.Name, logfield.Live: current.live, logfield.Leaving: current.leaving, logfield.Refused: to.refused,
	}).Info(logevent.MemberChanged)
	m.options.Changed()
}

func (m *Manager) hear(to *member, answer *api.Heartbeat, now time.Time) {
	to.lastHeard = now
	to.leaving = answer.Leaving
	to.platformReached = answer.PlatformReached
	to.configRevision = answer.ConfigRevision
}

// IsLive decides whether a daemon counts as live. A refused connection means that its process is
// gone, so that there is nothing to wait for.
func IsLive(lastHeard time.Time, refused bool, now time.Time) bool {
	return !refused && now.Sub(lastHeard) < silenceLimit
}

// SetLeaving marks this daemon as leaving; other daemons learn it by heartbeat.
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

// Members returns the live daemons with this one.
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

// Client returns the client of a daemon on the list, live or not.
func (m *Manager) Client(name string) (*peer.Client, bool) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	known, ok := m.peers[name]
	if !ok {
		return nil, false
	}
	return known.client, true
}

// Newest returns the live daemon with the highest configuration revision above have.
func (m *Manager) Newest(have uint64) (*peer.Client, bool) {
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

// Hear takes in a heartbeat that another daemon sent here.
func (m *Manager) Hear(heartbeat *api.Heartbeat) {
	m.mu.Lock()
	known, ok := m.peers[heartbeat.From]
	changed := ok && known.leaving != heartbeat.Leaving
	if ok {
		previous := known.state()
		known.leaving = heartbeat.Leaving
		known.platformReached = heartbeat.PlatformReached
		known.configRevision = max(known.configRevision, heartbeat.ConfigRevision)
		m.count(previous, known.state())
	}
	m.mu.Unlock()
	if changed {
		m.options.Changed()
	}
}

// BeatNow sends a heartbeat to each live daemon at once.
func (m *Manager) BeatNow() {
	m.mu.RLock()
	defer m.mu.RUnlock()
	for _, known := range m.peers {
		if known.live {
			go m.exchange(m.context, known)
		}
	}
}

// Statuses describes the other daemons, ordered by name.
func (m *Manager) Statuses() []api.MemberStatus {
	m.mu.RLock()
	defer m.mu.RUnlock()
	statuses := make([]api.MemberStatus, 0, len(m.peers))
	for name, known := range m.peers {
		statuses = append(statuses, api.MemberStatus{
			Name: name, Zone: known.vm.Zone, Live: known.live, Leaving: known.leaving,
			SilenceMs: time.Since(known.lastHeard).Milliseconds(), ConfigRevision: known.configRevision,
		})
	}
	slices.SortFunc(statuses, func(a, b api.MemberStatus) int { return cmp.Compare(a.Name, b.Name) })
	return statuses
}
