package failover

import (
	"context"
	"expvar"
	"sync"
	"time"

	"github.com/papayacove/papayacove/api"
	"github.com/papayacove/papayacove/internal/observer"
	"github.com/papayacove/papayacove/internal/policy/placement"
	"github.com/papayacove/papayacove/internal/target"
	"github.com/papayacove/papayacove/internal/terms"
)

// counters hold the numbers of promotions by outcome.
var counters = expvar.NewMap("failover")

// groupsInterval is the time between two checks for groups that this daemon observes and has no controller for.
const groupsInterval = 50 * time.Millisecond

// Store is the object store of the platform, which holds the term records. Its errors are those of package
// objectstore.
type Store interface {
	Get(ctx context.Context, kind, name string) (api.Object, error)
	Create(ctx context.Context, o api.Object) (api.Object, error)
	Update(ctx context.Context, o api.Object) (api.Object, error)
}

// Daemons provides the membership and the calls to other daemons.
type Daemons interface {
	Members() []placement.Member
	ReachesPlatform(name string) bool
	// Changes returns the number of changes of the results of Members and ReachesPlatform so far.
	Changes() uint64
	Vantage(ctx context.Context, daemon string, req *api.VantageRequest) (*api.VantageReply, error)
	Admission(ctx context.Context, daemon string, req *api.AdmissionRequest) (*api.AdmissionReply, error)
	// Announce records a new term at this daemon and sends it to the other daemons at once.
	Announce(term api.GroupTerm)
}

// Options configure a Manager.
type Options struct {
	// Self is the name of this daemon.
	Self string
	// Target holds the account that the daemon uses at targets.
	Target target.Options
	// Groups returns the groups of the deployment.
	Groups func() []api.GroupSpec
	// Observer returns the observer of a group, and whether this daemon observes the group.
	Observer func(group string) (*observer.Observer, bool)
	// Holder returns the name of the daemon that holds a target.
	Holder func(target string) string
	// IsLeaving reports whether the platform lists a target's VM as leaving.
	IsLeaving func(target string) bool
	// PlatformReached reports whether the calls of this daemon to the platform succeed.
	PlatformReached func() bool
	Store           Store
	Daemons         Daemons
	Terms           *terms.Table
}

// Manager runs a controller for each group that this daemon observes. It is safe for concurrent use.
type Manager struct {
	options Options

	mu          sync.Mutex
	controllers map[string]*controller
}

// NewManager returns a manager without controllers.
func NewManager(options Options) *Manager {
	return &Manager{options: options, controllers: make(map[string]*controller)}
}

// Run starts controllers for the groups that this daemon observes until ctx ends.
func (m *Manager) Run(ctx context.Context) {
	ticker := time.NewTicker(groupsInterval)
	defer ticker.Stop()
	for {
		for _, group := range m.options.Groups() {
			if _, observed := m.options.Observer(group.Name); observed {
				m.start(ctx, group)
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (m *Manager) start(ctx context.Context, group api.GroupSpec) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if _, exists := m.controllers[group.Name]; exists {
		return
	}
	started := newController(m.options, group)
	m.controllers[group.Name] = started
	go func() {
		started.run(ctx)
		m.mu.Lock()
		defer m.mu.Unlock()
		delete(m.controllers, group.Name)
	}()
}

// Vantage returns whether this daemon, as a failure detector, reaches the primary of a group. The reply is not Known
// when this daemon does not observe the group or has not polled the target.
func (m *Manager) Vantage(req *api.VantageRequest) *api.VantageReply {
	current, _ := m.options.Terms.Current(req.Group)
	reply := &api.VantageReply{Term: current.Term}
	groupObserver, ok := m.options.Observer(req.Group)
	if !ok {
		return reply
	}
	observation := groupObserver.Latest(req.Primary)
	reply.Known = !observation.AskedAt.IsZero() || observation.Misses > 0
	reply.SilenceMs = time.Since(observation.AnsweredAt).Milliseconds()
	reply.Reached = isReached(observation, req.Term)
	return reply
}

// isReached reports whether the newest status call was answered, and by a primary of the given term.
func isReached(observation observer.Observation, term uint64) bool {
	if observation.AskedAt.IsZero() || observation.Misses > 0 {
		return false
	}
	return observation.Status.Role == target.RolePrimary && observation.Status.Term == term
}
