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
	options  Options
	store    *store
	listener net.Listener
	admin    *http.Server
	log      *logrus.Entry

	// orders is held for reading while a record is committed, and for writing while role or
	// term change. So no record is written with a term that has been fenced.
	orders sync.RWMutex
	// promoting admits one promotion at a time.
	promoting sync.Mutex

	ctx    context.Context
	cancel context.CancelFunc
	wait   sync.WaitGroup
	// closing makes Close idempotent.
	closing sync.Once

	mu       sync.Mutex
	state    durableState
	received api.Position
	applied  api.Position
	knobs    Knobs
	// schemaVersion counts changes of tables.
	schemaVersion uint64
	// changed is closed and replaced whenever anything above changes.
	changed  chan struct{}
	sessions map[*session]struct{}
	slots    int
	lastPID  uint32
	// adminAddress is where the knobs are served.
	adminAddress string
}

// New opens the data directory of a target. Start makes it serve.
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
		knobs:    options.Knobs,
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

// Start listens and replicates until Close.
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
	t.wait.Go(t.acceptLoop)
	t.wait.Go(t.applyLoop)
	t.wait.Go(t.receiveLoop)
	return nil
}

// Close ends all connections and stops. What was acknowledged lies in the data directory.
func (t *Target) Close() error {
	t.closing.Do(t.stop)
	return nil
}

func (t *Target) stop() {
	t.cancel()
	if t.listener != nil {
		t.listener.Close()
	}
	if t.admin != nil {
		t.admin.Close()
	}
	t.Reset()
	t.wait.Wait()
	t.store.close()
}

// Address returns the host:port of the PostgreSQL port.
func (t *Target) Address() string {
	return t.listener.Addr().String()
}

// Status returns the state that the target reports.
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
		Leaving:     t.knobs.Leaving,
	}
}

// Knobs returns the faults in force.
func (t *Target) Knobs() Knobs {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.knobs
}

// SetKnobs changes the faults.
func (t *Target) SetKnobs(knobs Knobs) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.knobs = knobs
	t.broadcast()
}

// Silence makes all open connections silent for good; new ones work.
func (t *Target) Silence() {
	for _, s := range t.openSessions() {
		s.conn.silence()
	}
}

// Reset closes all open connections.
func (t *Target) Reset() {
	for _, s := range t.openSessions() {
		s.conn.Close()
		s.db.interrupt(fatalf(stateShutdown, "terminating connection due to administrator command"))
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

// broadcast wakes all waiters. The caller holds mu.
func (t *Target) broadcast() {
	close(t.changed)
	t.changed = make(chan struct{})
}

// watch returns the channel that is closed at the next change.
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

// setBoth moves both positions, as a commit on a primary does.
func (t *Target) setBoth(p api.Position) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.received = p
	t.applied = p
	t.broadcast()
}

// waitUntil returns when done holds, after limit, or when the target stops. It returns whether
// done holds.
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
