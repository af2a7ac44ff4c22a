package database

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/papayacove/papayacove/api"
	"github.com/papayacove/papayacove/internal/target"
)

// Target is one running stand-in.
type Target struct {
	options     Options
	store       *store
	listener    net.Listener
	adminServer *http.Server
	log         *logrus.Entry

	// roleMu is held for reading while a record is committed, and for writing while role or
	// term change, so that no record is written with a term that has been fenced.
	roleMu sync.RWMutex
	// promotionMu serializes promotions.
	promotionMu sync.Mutex

	ctx        context.Context
	cancel     context.CancelFunc
	goroutines sync.WaitGroup
	// closeOnce makes Close idempotent.
	closeOnce sync.Once

	mu       sync.Mutex
	state    durableState
	received api.Position
	applied  api.Position
	faults   Faults
	// schemaVersion grows with each schema change that a session makes. Replayed changes do not raise it.
	schemaVersion uint64
	// changed is closed and replaced whenever the state, a position or a fault changes.
	changed  chan struct{}
	sessions map[*session]struct{}
	// slots is the number of slots in use.
	slots   int
	lastPID uint32
	// adminAddress is the host:port of the admin API.
	adminAddress string
}

// New opens the data directory of a target. The target serves after Start.
func New(options Options) (*Target, error) {
	options = withDefaults(options)
	s, err := openStore(options.DataDirectory, options.LockTimeout)
	if err != nil {
		return nil, err
	}
	initial := durableState{Role: options.InitialRole, Term: options.Term, Primary: options.Primary}
	state, err := loadState(options.DataDirectory, initial)
	if err != nil {
		s.close()
		return nil, err
	}
	received, applied, err := s.logEnds()
	if err != nil {
		s.close()
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	return &Target{
		options:  options,
		store:    s,
		log:      logrus.WithField("target", options.Name),
		ctx:      ctx,
		cancel:   cancel,
		state:    state,
		received: received,
		applied:  applied,
		faults:   options.Faults,
		changed:  make(chan struct{}),
		sessions: make(map[*session]struct{}),
	}, nil
}

func withDefaults(options Options) Options {
	if options.Address == "" {
		options.Address = "127.0.0.1:0"
	}
	if options.InitialRole == "" {
		options.InitialRole = target.RolePrimary
	}
	if options.LockTimeout == 0 {
		options.LockTimeout = defaultLockTimeout
	}
	if options.Term == 0 {
		options.Term = 1
	}
	return options
}

// Start makes the target accept connections and replicate until Close.
func (t *Target) Start() error {
	listener, err := net.Listen("tcp", t.options.Address)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	t.listener = listener
	if err := t.startAdmin(); err != nil {
		listener.Close()
		return err
	}
	t.goroutines.Go(t.acceptLoop)
	t.goroutines.Go(t.applyLoop)
	t.goroutines.Go(t.receiveLoop)
	return nil
}

// Close closes all connections and stops the target. The data directory keeps all acknowledged
// commits. Close always returns nil.
func (t *Target) Close() error {
	t.closeOnce.Do(t.stop)
	return nil
}

func (t *Target) stop() {
	t.cancel()
	if t.listener != nil {
		t.listener.Close()
	}
	if t.adminServer != nil {
		t.adminServer.Close()
	}
	t.CloseConnections()
	t.goroutines.Wait()
	t.store.close()
}

// Address returns the host:port that accepts PostgreSQL connections. The target must have been started.
func (t *Target) Address() string {
	return t.listener.Addr().String()
}

// Status returns the status that the target reports.
func (t *Target) Status() target.Status {
	t.mu.Lock()
	defer t.mu.Unlock()
	return target.Status{
		Role:        t.state.Role,
		Term:        t.state.Term,
		LogTerm:     t.received.Term,
		Received:    t.received.Offset,
		Applied:     t.applied.Offset,
		AppliedTerm: t.applied.Term,
		Leaving:     t.faults.Leaving,
	}
}

// Faults returns the faults in force.
func (t *Target) Faults() Faults {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.faults
}

// SetFaults replaces the faults in force.
func (t *Target) SetFaults(faults Faults) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.faults = faults
	t.broadcast()
}

// MakeHalfOpen makes all open connections half-open until they are closed. New connections are not affected.
func (t *Target) MakeHalfOpen() {
	for _, s := range t.openSessions() {
		s.conn.setHalfOpen()
	}
}

// CloseConnections closes all open connections and interrupts their statements.
func (t *Target) CloseConnections() {
	for _, s := range t.openSessions() {
		s.conn.Close()
		s.db.interrupt(fatalf(sqlStateShutdown, "terminating connection due to administrator command"))
	}
}

func (t *Target) openSessions() []*session {
	t.mu.Lock()
	defer t.mu.Unlock()
	sessions := make([]*session, 0, len(t.sessions))
	for s := range t.sessions {
		sessions = append(sessions, s)
	}
	return sessions
}

// broadcast wakes all waiters of watch. The caller holds mu.
func (t *Target) broadcast() {
	close(t.changed)
	t.changed = make(chan struct{})
}

// watch returns a channel that is closed at the next change of state, positions or faults.
func (t *Target) watch() <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.changed
}

// snapshot returns the durable state.
func (t *Target) snapshot() durableState {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.state
}

// positions returns the last received and the last applied position.
func (t *Target) positions() (received, applied api.Position) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.received, t.applied
}

func (t *Target) setReceived(p api.Position) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.received = p
	t.broadcast()
}

func (t *Target) setApplied(p api.Position) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.applied = p
	t.broadcast()
}

// setReceivedAndApplied sets both positions, as after a commit on a primary.
func (t *Target) setReceivedAndApplied(p api.Position) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.received = p
	t.applied = p
	t.broadcast()
}

// waitUntil waits until done returns true, and then returns true. It returns false after limit or
// when the target stops. done is called at each change of the target.
func (t *Target) waitUntil(limit time.Duration, done func() bool) bool {
	timer := time.NewTimer(limit)
	defer timer.Stop()
	for {
		changed := t.watch()
		if done() {
			return true
		}
		select {
		case <-changed:
		case <-timer.C:
			return false
		case <-t.ctx.Done():
			return false
		}
	}
}
