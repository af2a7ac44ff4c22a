package router

import (
	"context"
	"errors"
	"expvar"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/papayacove/papayacove/api"
	"github.com/papayacove/papayacove/internal/frontend"
	"github.com/papayacove/papayacove/internal/peer"
	"github.com/papayacove/papayacove/internal/policy/readroute"
	"github.com/papayacove/papayacove/internal/result"
	"github.com/papayacove/papayacove/internal/terms"
	"github.com/papayacove/papayacove/internal/workspace"
)

// counters count routed batches by class and outcome.
var counters = expvar.NewMap("router")

// Gates are the targets that this daemon holds, and the placement of the others.
type Gates interface {
	Execute(req *api.ExecuteRequest) *api.ExecuteReply
	Fetch(req *api.FetchRequest) *api.ExecuteReply
	Cancel(req *api.CancelRequest) bool
	Release(req *api.ReleaseRequest) bool
	Floor(req *api.FloorRequest) *api.FloorReply
	Holder(target string) string
	Group(name string) (api.GroupSpec, bool)
}

// Peers finds the other daemons.
type Peers interface {
	Client(name string) (*peer.Client, bool)
	IsLive(name string) bool
}

// Workspaces looks up the configuration in force.
type Workspaces interface {
	Workspace(name string) (workspace.Effective, bool)
}

// Options configure a Router.
type Options struct {
	// Self and Zone are the name and the availability zone of this daemon.
	Self string
	Zone string

	Gates      Gates
	Peers      Peers
	Workspaces Workspaces
	Terms      *terms.Table
}

// Router opens sessions. It implements frontend.Runner.
type Router struct {
	options Options
	opened  atomic.Uint64
	boot    int64

	mu          sync.Mutex
	budgets     map[string]*readroute.Budget
	refusals    map[string]readroute.Refusal
	connections map[string]int
}

// New returns a router.
func New(options Options) *Router {
	return &Router{
		options:     options,
		boot:        time.Now().UnixNano(),
		budgets:     make(map[string]*readroute.Budget),
		refusals:    make(map[string]readroute.Refusal),
		connections: make(map[string]int),
	}
}

// Open opens a session and counts it against the connections of its workspace.
func (r *Router) Open(_ context.Context, info frontend.Session) (frontend.SessionRunner, error) {
	if _, ok := r.options.Gates.Group(info.Group); !ok {
		return nil, result.Errorf(result.UnknownGroup, "group %s is not known", info.Group)
	}
	effective, ok := r.options.Workspaces.Workspace(info.Workspace)
	if !ok || !effective.HasGroup(info.Group) {
		return nil, result.Errorf(result.UnknownWorkspace, "workspace %s has no group %s", info.Workspace, info.Group)
	}
	if !r.countIn(info.Workspace, effective.Connections) {
		return nil, result.Errorf(result.NotRunConnectionLimit, "workspace %s uses its %d connections", info.Workspace, effective.Connections).
			WithRetryAfter(connectionRetryAfter)
	}
	number := r.opened.Add(1)
	opened := &session{router: r, info: info, rotation: number}
	// A session is named after its daemon, so that gates can tell whose sessions ended with it.
	opened.id = fmt.Sprintf("%s/%x-%d", r.options.Self, r.boot, number)
	return opened, nil
}

// connectionRetryAfter is the time after which a caller that found no connection may come back.
const connectionRetryAfter = time.Second

func (r *Router) countIn(name string, limit int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.connections[name] >= limit {
		return false
	}
	r.connections[name]++
	return true
}

func (r *Router) countOut(name string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.connections[name]--
}

// budget returns the retry budget of a workspace.
func (r *Router) budget(name string) *readroute.Budget {
	found, ok := r.budgets[name]
	if !ok {
		found = readroute.NewBudget(readroute.DefaultRetryShare, readroute.DefaultRetryBurst)
		r.budgets[name] = found
	}
	return found
}

// remember keeps a refusal, so that the next reads try another target first.
func (r *Router) remember(target string, refusal readroute.Refusal) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.refusals[target] = refusal
}

// execute sends a request to the daemon that holds its target.
func (r *Router) execute(ctx context.Context, daemon string, req *api.ExecuteRequest) (*api.ExecuteReply, error) {
	if daemon == r.options.Self {
		return r.options.Gates.Execute(req), nil
	}
	client, ok := r.options.Peers.Client(daemon)
	if !ok {
		return nil, fmt.Errorf("%w: daemon %s is not known", peer.ErrNotSent, daemon)
	}
	// The gate ends the batch at its deadline; the call waits a little longer for that answer.
	limit := time.Duration(req.TimeoutMs)*time.Millisecond + callGrace
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	return client.Execute(ctx, req)
}

// callGrace is the time beyond the deadline of a batch in which its gate may still answer.
const callGrace = 500 * time.Millisecond

func (r *Router) fetch(ctx context.Context, daemon string, req *api.FetchRequest) (*api.ExecuteReply, error) {
	if daemon == r.options.Self {
		return r.options.Gates.Fetch(req), nil
	}
	client, ok := r.options.Peers.Client(daemon)
	if !ok {
		return nil, fmt.Errorf("%w: daemon %s is not known", peer.ErrNotSent, daemon)
	}
	return client.Fetch(ctx, req)
}

// floor asks the gate of the primary for the confirmed position of a group.
func (r *Router) floor(ctx context.Context, daemon, group string) (*api.FloorReply, error) {
	req := &api.FloorRequest{Group: group}
	if daemon == r.options.Self {
		return r.options.Gates.Floor(req), nil
	}
	client, ok := r.options.Peers.Client(daemon)
	if !ok {
		return nil, fmt.Errorf("%w: daemon %s is not known", peer.ErrNotSent, daemon)
	}
	ctx, cancel := context.WithTimeout(ctx, floorTimeout)
	defer cancel()
	return client.Floor(ctx, req)
}

// floorTimeout is the time that a question for the confirmed position may take.
const floorTimeout = 500 * time.Millisecond

// tell sends a message about a session to a daemon without waiting for its answer.
func (r *Router) tell(daemon string, local func(), remote func(ctx context.Context, client *peer.Client)) {
	if daemon == r.options.Self {
		local()
		return
	}
	client, ok := r.options.Peers.Client(daemon)
	if !ok {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), tellTimeout)
		defer cancel()
		remote(ctx, client)
	}()
}

// tellTimeout is the time that a message about a session may take.
const tellTimeout = 2 * time.Second

// callError converts the failure of a call between daemons.
func callError(daemon string, access api.ExecuteRequestAccess, err error) *result.Error {
	if errors.Is(err, peer.ErrNotSent) {
		return result.Errorf(result.NotRunUnreachable, "daemon %s: %v", daemon, err)
	}
	if access == api.ExecuteRequestAccessRead {
		return result.Errorf(result.AnswerInterrupted, "daemon %s: %v", daemon, err)
	}
	return result.Errorf(result.OutcomeUnknown, "daemon %s: %v", daemon, err)
}
