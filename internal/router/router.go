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

// counters hold the numbers of routed batches by class and outcome.
var counters = expvar.NewMap("router")

// Gates runs batches on the targets that this daemon holds, and returns the placement of all targets. gate.Manager
// implements it.
type Gates interface {
	Execute(req *api.ExecuteRequest) *api.ExecuteReply
	Fetch(req *api.FetchRequest) *api.ExecuteReply
	Cancel(req *api.CancelRequest) bool
	Release(req *api.ReleaseRequest) bool
	Floor(req *api.FloorRequest) *api.FloorReply
	Holder(target string) string
	Group(name string) (api.GroupSpec, bool)
}

// Peers returns the clients of the other daemons and whether they are live.
type Peers interface {
	Client(name string) (*peer.Client, bool)
	IsLive(name string) bool
}

// Workspaces returns the configuration of a workspace that is in force.
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

// Router opens sessions and routes their batches. It implements frontend.Runner and is safe for concurrent use.
type Router struct {
	options Options
	// opened is the number of sessions opened so far. Together with boot, the start time in Unix nanoseconds, it makes
	// session IDs unique across restarts of the daemon.
	opened atomic.Uint64
	boot   int64

	mu          sync.Mutex
	budgets     map[string]*readroute.Budget
	refusals    map[string]readroute.Refusal
	connections map[string]int
}

// New returns a router without sessions.
func New(options Options) *Router {
	return &Router{
		options:     options,
		boot:        time.Now().UnixNano(),
		budgets:     make(map[string]*readroute.Budget),
		refusals:    make(map[string]readroute.Refusal),
		connections: make(map[string]int),
	}
}

// Open opens a session and counts it as a connection of its workspace until it is closed. It fails with a result.Error
// when the group is not known, the workspace does not have it, or all connections of the workspace are in use.
func (r *Router) Open(_ context.Context, info frontend.Session) (frontend.SessionRunner, error) {
	if _, ok := r.options.Gates.Group(info.Group); !ok {
		return nil, result.Errorf(result.UnknownGroup, "group %s is not known", info.Group)
	}
	effective, ok := r.options.Workspaces.Workspace(info.Workspace)
	if !ok || !effective.HasGroup(info.Group) {
		return nil, result.Errorf(result.UnknownWorkspace, "workspace %s has no group %s", info.Workspace, info.Group)
	}
	if !r.reserveConnection(info.Workspace, effective.Connections) {
		return nil, result.Errorf(result.NotRunConnectionLimit, "workspace %s uses its %d connections", info.Workspace, effective.Connections).
			WithRetryAfter(connectionRetryAfter)
	}
	number := r.opened.Add(1)
	opened := &session{router: r, info: info, rotation: number}
	// The ID begins with the name of the daemon, so that gates can find the sessions of a daemon that is gone.
	opened.id = fmt.Sprintf("%s/%x-%d", r.options.Self, r.boot, number)
	return opened, nil
}

// connectionRetryAfter is the time after which a caller that found no connection may retry.
const connectionRetryAfter = time.Second

// reserveConnection counts one more connection of a workspace. It reports false, and counts none, when the limit is
// reached.
func (r *Router) reserveConnection(name string, limit int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.connections[name] >= limit {
		return false
	}
	r.connections[name]++
	return true
}

func (r *Router) releaseConnection(name string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.connections[name]--
}

// budget returns the retry budget of a workspace. The caller holds mu.
func (r *Router) budget(name string) *readroute.Budget {
	found, ok := r.budgets[name]
	if !ok {
		found = readroute.NewBudget(readroute.DefaultRetryShare, readroute.DefaultRetryBurst)
		r.budgets[name] = found
	}
	return found
}

// recordRefusal records the refusal of a target, so that the next reads try other targets first.
func (r *Router) recordRefusal(target string, refusal readroute.Refusal) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.refusals[target] = refusal
}

// execute runs a request at the daemon that holds its target.
func (r *Router) execute(ctx context.Context, daemon string, req *api.ExecuteRequest) (*api.ExecuteReply, error) {
	if daemon == r.options.Self {
		return r.options.Gates.Execute(req), nil
	}
	client, ok := r.options.Peers.Client(daemon)
	if !ok {
		return nil, fmt.Errorf("%w: daemon %s is not known", peer.ErrNotSent, daemon)
	}
	// The gate ends the batch at its deadline; the call waits callGrace longer for the reply.
	limit := time.Duration(req.TimeoutMs)*time.Millisecond + callGrace
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	return client.Execute(ctx, req)
}

// callGrace is the time after the deadline of a batch for which a call still waits for the reply of the gate.
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

// confirmedPosition requests the confirmed position of a group from the gate of the primary: the minimum position of the
// strict reads of a new session.
func (r *Router) confirmedPosition(ctx context.Context, daemon, group string) (*api.FloorReply, error) {
	req := &api.FloorRequest{Group: group}
	if daemon == r.options.Self {
		return r.options.Gates.Floor(req), nil
	}
	client, ok := r.options.Peers.Client(daemon)
	if !ok {
		return nil, fmt.Errorf("%w: daemon %s is not known", peer.ErrNotSent, daemon)
	}
	ctx, cancel := context.WithTimeout(ctx, confirmedPositionTimeout)
	defer cancel()
	return client.Floor(ctx, req)
}

// confirmedPositionTimeout is the time that a call to another daemon for the confirmed position may take.
const confirmedPositionTimeout = 500 * time.Millisecond

// notify calls local if the daemon is this one. Otherwise it calls remote in the background, without waiting for it.
func (r *Router) notify(daemon string, local func(), remote func(ctx context.Context, client *peer.Client)) {
	if daemon == r.options.Self {
		local()
		return
	}
	client, ok := r.options.Peers.Client(daemon)
	if !ok {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), notifyTimeout)
		defer cancel()
		remote(ctx, client)
	}()
}

// notifyTimeout is the time that a call of notify to another daemon may take.
const notifyTimeout = 2 * time.Second

// callError converts the failure of a call to another daemon: a request that was not sent did not run, and the outcome
// of a write that was sent is unknown.
func callError(daemon string, access api.ExecuteRequestAccess, err error) *result.Error {
	if errors.Is(err, peer.ErrNotSent) {
		return result.Errorf(result.NotRunUnreachable, "daemon %s: %v", daemon, err)
	}
	if access == api.ExecuteRequestAccessRead {
		return result.Errorf(result.AnswerInterrupted, "daemon %s: %v", daemon, err)
	}
	return result.Errorf(result.OutcomeUnknown, "daemon %s: %v", daemon, err)
}
