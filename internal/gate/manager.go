package gate

import (
	"context"
	"sync"
	"time"

	"github.com/papayacove/papayacove/api"
	"github.com/papayacove/papayacove/internal/logevent"
	"github.com/papayacove/papayacove/internal/logfield"
	"github.com/papayacove/papayacove/internal/observer"
	"github.com/papayacove/papayacove/internal/policy/placement"
	"github.com/papayacove/papayacove/internal/result"
	"github.com/papayacove/papayacove/internal/target"
	"github.com/papayacove/papayacove/internal/terms"
	"github.com/sirupsen/logrus"
)

const (
	// handoverTimeout is the time that transactions in progress have to end when a target moves to another daemon.
	handoverTimeout = 2 * time.Second
	// controllerCandidates is the number of daemons that observe a group for its failover.
	controllerCandidates = 3
)

// ManagerOptions configure a Manager.
type ManagerOptions struct {
	// Self is the name of this daemon.
	Self string
	// Target holds the account that the daemon uses at targets.
	Target target.Options
	// Limits limit the length of queues, the idle time of transactions and the time of statements.
	Limits api.LimitSettings
	// Terms holds the newest known terms.
	Terms *terms.Table
	// IsLeaving reports whether the platform lists a target's VM as leaving; nil means that none is listed.
	IsLeaving func(target string) bool
	// Members returns the live daemons.
	Members func() []placement.Member
	// Groups returns the groups of the deployment.
	Groups func() []api.GroupSpec
	// MayUse reports whether a workspace may use a group; if nil, every workspace may use every group.
	MayUse func(workspace, group string) bool
	// MaxSlots returns the largest number of slots of one target that a workspace may use at a time, 0 for no limit;
	// if nil, no workspace is limited.
	MaxSlots func(workspace string) int
}

// Manager starts and stops the gates and observers of the targets and groups that are placed on this daemon. It is
// safe for concurrent use after Init.
type Manager struct {
	options ManagerOptions
	context context.Context

	// refreshing serializes calls of Refresh.
	refreshing sync.Mutex
	// mu guards the maps: gates by target, observers and groups by group, and for each target its group and holder.
	mu        sync.RWMutex
	gates     map[string]*Gate
	observers map[string]*observer.Observer
	groups    map[string]api.GroupSpec
	targets   map[string]api.GroupSpec
	holders   map[string]string
}

// NewManager returns a manager without gates.
func NewManager(options ManagerOptions) *Manager {
	return &Manager{
		options:   options,
		gates:     make(map[string]*Gate),
		observers: make(map[string]*observer.Observer),
		groups:    make(map[string]api.GroupSpec),
		targets:   make(map[string]api.GroupSpec),
		holders:   make(map[string]string),
	}
}

// Init sets the context under which gates and observers run. It must be called before Refresh.
func (m *Manager) Init(ctx context.Context) {
	m.context = ctx
}

// Refresh determines the holder of every target again, and starts and stops gates and observers to match. It is
// called after a change of the live daemons or the groups.
func (m *Manager) Refresh() {
	m.refreshing.Lock()
	defer m.refreshing.Unlock()
	members := m.options.Members()
	view := placement.NewView(members)
	placed := make(map[string]bool)
	observed := make(map[string]bool)
	for _, group := range m.options.Groups() {
		m.refreshGroup(group, view, placed, observed)
	}
	m.retire(placed, observed)
	m.releaseGone(members)
}

func (m *Manager) refreshGroup(group api.GroupSpec, view *placement.View, placed, observed map[string]bool) {
	for _, candidate := range view.Candidates(group.Name, controllerCandidates) {
		if candidate.Name == m.options.Self {
			observed[group.Name] = true
		}
	}
	for _, spec := range group.Targets {
		decision := view.DecideHolder(spec.Name, spec.Zone)
		m.recordHolder(group, spec, decision)
		if decision.Holder.Name == m.options.Self {
			placed[spec.Name] = true
			observed[group.Name] = true
		}
	}
	if observed[group.Name] {
		m.startObserver(group)
	}
	for _, spec := range group.Targets {
		if placed[spec.Name] {
			m.open(group, spec)
		}
	}
}

// recordHolder records the holder of a target, and logs a change of it.
func (m *Manager) recordHolder(group api.GroupSpec, spec api.TargetSpec, decision placement.HolderDecision) {
	m.mu.Lock()
	previous := m.holders[spec.Name]
	m.holders[spec.Name] = decision.Holder.Name
	m.groups[group.Name] = group
	m.targets[spec.Name] = group
	m.mu.Unlock()
	if previous != decision.Holder.Name {
		logrus.WithFields(decision.Fields()).WithFields(logrus.Fields{logfield.Group: group.Name, logfield.Previous: previous}).Info(logevent.TargetPlaced)
	}
}

// startObserver starts an observer of the group unless there is one.
func (m *Manager) startObserver(group api.GroupSpec) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if _, exists := m.observers[group.Name]; exists {
		return
	}
	started := observer.New(group, m.options.Target)
	started.Run(m.context)
	m.observers[group.Name] = started
}

// open starts a gate for the target, or resumes the one that exists.
func (m *Manager) open(group api.GroupSpec, spec api.TargetSpec) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if existing, exists := m.gates[spec.Name]; exists {
		existing.Resume()
		return
	}
	started := New(Options{
		Self: m.options.Self, Group: group, Spec: spec, Target: m.options.Target, Limits: m.options.Limits,
		Observer: m.observers[group.Name], Terms: m.options.Terms, MaxSlots: m.options.MaxSlots, IsLeaving: m.options.IsLeaving,
	})
	started.Run(m.context)
	m.gates[spec.Name] = started
}

// retire hands over the targets that other daemons hold now, and closes the observers of groups that this daemon no
// longer observes and no gate uses.
func (m *Manager) retire(placed, observed map[string]bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	used := make(map[string]bool)
	for name, held := range m.gates {
		if placed[name] {
			continue
		}
		used[held.options.Group.Name] = true
		if !held.draining.Swap(true) {
			go m.handOver(name, held)
		}
	}
	for name, groupObserver := range m.observers {
		if !observed[name] && !used[name] {
			delete(m.observers, name)
			go groupObserver.Close()
		}
	}
}

// handOver closes a gate after its work has ended, so that the new holder can open the slots. Transactions have
// handoverTimeout to end and are then rolled back; batches and their answers have the statement timeout.
func (m *Manager) handOver(name string, held *Gate) {
	held.pool.shut()
	m.awaitIdle(held, handoverTimeout)
	if held.draining.Load() {
		held.rollBack(held.transactions.abandon(func(*transaction) bool { return true }), "handed_over")
		m.awaitIdle(held, time.Duration(m.options.Limits.StatementTimeoutMs)*time.Millisecond)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if !held.draining.Load() {
		held.pool.reopen()
		return
	}
	if m.gates[name] == held {
		delete(m.gates, name)
	}
	held.Close()
}

func (m *Manager) awaitIdle(held *Gate, limit time.Duration) {
	ctx, cancel := context.WithTimeout(m.context, limit)
	defer cancel()
	held.awaitIdle(ctx)
}

// releaseGone rolls back the transactions of sessions whose daemon is no longer live.
func (m *Manager) releaseGone(members []placement.Member) {
	live := make(map[string]bool, len(members))
	for _, member := range members {
		live[member.Name] = true
	}
	m.mu.RLock()
	defer m.mu.RUnlock()
	for _, held := range m.gates {
		held.ReleaseGoneOwners(func(owner string) bool { return !live[owner] })
	}
}

// Holder returns the name of the holder of a target as this daemon places it, or "" if the target is not known.
func (m *Manager) Holder(name string) string {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.holders[name]
}

// Group returns the group with a name, and whether it is known.
func (m *Manager) Group(name string) (api.GroupSpec, bool) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	group, ok := m.groups[name]
	return group, ok
}

// Observer returns the observer of a group, and whether this daemon observes the group.
func (m *Manager) Observer(group string) (*observer.Observer, bool) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	groupObserver, ok := m.observers[group]
	return groupObserver, ok
}

func (m *Manager) gate(name string) (*Gate, bool) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	held, ok := m.gates[name]
	return held, ok
}

// Gates returns the gates of this daemon in no particular order.
func (m *Manager) Gates() []*Gate {
	m.mu.RLock()
	defer m.mu.RUnlock()
	all := make([]*Gate, 0, len(m.gates))
	for _, held := range m.gates {
		all = append(all, held)
	}
	return all
}

// Execute starts a batch on a target that this daemon holds, and returns the first chunk of its answer. If another
// daemon holds the target, the reply names it.
func (m *Manager) Execute(req *api.ExecuteRequest) *api.ExecuteReply {
	held, ok := m.gate(req.Target)
	if !ok {
		refusal := result.Errorf(result.NotRunNotHolder, "daemon %s does not hold target %s", m.options.Self, req.Target)
		refusal.Holder = m.Holder(req.Target)
		return failure(refusal)
	}
	if refusal := m.authorize(req, held); refusal != nil {
		return held.refuse(req, refusal)
	}
	return held.Execute(m.context, req)
}

// authorize checks that the workspace of a request may use the group. The check repeats that of the entry daemon with
// the configuration of this daemon. A transaction in progress is exempt, so that it can end.
func (m *Manager) authorize(req *api.ExecuteRequest, held *Gate) error {
	group := held.options.Group.Name
	if req.Group != group {
		return result.Errorf(result.UnknownGroup, "target %s is not of group %s", req.Target, req.Group)
	}
	if req.TransactionID != 0 || m.options.MayUse == nil || m.options.MayUse(req.Workspace, group) {
		return nil
	}
	return result.Errorf(result.UnknownGroup, "workspace %s has no group %s", req.Workspace, group)
}

// Fetch returns a chunk of an answer from a target that this daemon holds.
func (m *Manager) Fetch(req *api.FetchRequest) *api.ExecuteReply {
	held, ok := m.gate(req.Target)
	if !ok {
		return failure(result.Errorf(result.AnswerInterrupted, "target %s has moved", req.Target))
	}
	ctx, cancel := context.WithTimeout(m.context, fetchTimeout)
	defer cancel()
	return held.Fetch(ctx, req)
}

// Cancel cancels the batch of a session that the request names, at the gates of this daemon that run it, and reports whether
// any did.
func (m *Manager) Cancel(req *api.CancelRequest) bool {
	done := false
	for _, held := range m.Gates() {
		done = held.Cancel(req.SessionID, req.Sequence) || done
	}
	return done
}

// Release rolls back the transactions and drops the answers that a session has open at gates of this daemon, up to the
// batch of the request. It reports whether it rolled back any transaction.
func (m *Manager) Release(req *api.ReleaseRequest) bool {
	done := false
	for _, held := range m.Gates() {
		done = held.Release(req.SessionID, req.Sequence) || done
	}
	return done
}

// Floor returns the confirmed position of a group whose primary this daemon holds; see Gate.ConfirmedPosition.
func (m *Manager) Floor(req *api.FloorRequest) *api.FloorReply {
	current, _ := m.options.Terms.Current(req.Group)
	held, ok := m.gate(current.Primary)
	if !ok {
		return floorFailure(result.Errorf(result.NotRunNotHolder, "daemon %s does not hold the primary of group %s", m.options.Self, req.Group))
	}
	ctx, cancel := context.WithTimeout(m.context, confirmedPositionTimeout)
	defer cancel()
	position, err := held.ConfirmedPosition(ctx)
	if err != nil {
		return floorFailure(err)
	}
	return &api.FloorReply{Position: position}
}

// confirmedPositionTimeout is the time that determining the confirmed position may take.
const confirmedPositionTimeout = 400 * time.Millisecond

func floorFailure(err error) *api.FloorReply {
	reply := &api.FloorReply{Code: int(result.CodeOf(err)), Reason: err.Error()}
	return reply
}

// Admission stops or resumes the admission of new work on the primary at a gate of this daemon. The reply is not Known
// when this daemon does not hold the target.
func (m *Manager) Admission(req *api.AdmissionRequest) *api.AdmissionReply {
	held, ok := m.gate(req.Target)
	if !ok {
		return &api.AdmissionReply{}
	}
	hold := time.Duration(req.HoldMs) * time.Millisecond
	if !req.Stop {
		hold = 0
	}
	return &api.AdmissionReply{Known: true, Busy: held.StopAdmission(hold)}
}

// Drain stops the admission of new work at all gates and waits until no work is in progress or ctx ends.
func (m *Manager) Drain(ctx context.Context) {
	var drains sync.WaitGroup
	for _, held := range m.Gates() {
		drains.Add(1)
		go func() {
			defer drains.Done()
			held.Drain(ctx)
		}()
	}
	drains.Wait()
}

// Close closes all gates and observers.
func (m *Manager) Close() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, held := range m.gates {
		held.Close()
	}
	for _, groupObserver := range m.observers {
		groupObserver.Close()
	}
}
