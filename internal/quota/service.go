// Package quota limits the operations of workspaces over all daemons: it asks the coordinators of the workspaces for
// tokens, and is a coordinator for other daemons. Package policy/quota decides.
package quota

import (
	"context"
	"sync"
	"time"

	"github.com/papayacove/papayacove/api"
	"github.com/papayacove/papayacove/internal/clock"
	"github.com/papayacove/papayacove/internal/daemonregistry"
	"github.com/papayacove/papayacove/internal/engine"
	"github.com/papayacove/papayacove/internal/policy/callers"
	"github.com/papayacove/papayacove/internal/policy/placement"
	"github.com/papayacove/papayacove/internal/policy/quota"
	"github.com/papayacove/papayacove/internal/result"
)

const (
	// renewalCheck is the time between two checks of what is to be renewed.
	renewalCheck = 100 * time.Millisecond
)

// Peers sends requests to coordinators.
type Peers interface {
	// Quota sends a request to the daemon at an address.
	Quota(address string, request *api.QuotaRequest, deadline time.Time) (*api.QuotaReply, error)
}

// Options describe a Service.
type Options struct {
	// Name of the daemon.
	Name string
	// Window is the bound on the operations of a workspace.
	Window quota.Window
	Peers  Peers
	// Registration returns what others know of the daemon's own entry.
	Registration func() daemonregistry.Registration
}

// Service implements engine.Quota. It is safe for concurrent use.
type Service struct {
	options Options

	mu     sync.Mutex
	purse  *quota.Purse
	fleet  *quota.Fleet
	orders [quota.Lanes][]string
	// earlierCandidates are those of the version before.
	earlierCandidates []string
	addresses         map[string]string
	// flights holds the request under way to each coordinator.
	flights map[string]*flight
	// arrived is closed, and replaced, when the answer to a request has come or has failed to.
	arrived chan struct{}
	limits  map[string]callers.Limit
	version uint64

	coordinatorMu sync.Mutex
	coordinator   *quota.Coordinator
}

// flight is a request under way.
type flight struct {
	request *api.QuotaRequest
	sentAt  time.Duration
}

// New returns a service that knows no limits and no other daemons. Run must be called once.
func New(options Options) *Service {
	incarnation := quota.NewIncarnation()
	return &Service{
		options:     options,
		purse:       quota.NewPurse(options.Name, incarnation, clock.SinceBoot()),
		fleet:       quota.NewFleet(options.Name),
		flights:     make(map[string]*flight),
		arrived:     make(chan struct{}),
		coordinator: quota.NewCoordinator(incarnation),
	}
}

// SetLimits puts the limits of a version of the configuration into force. A version lower than the one in force has no
// effect.
func (s *Service) SetLimits(version uint64, limits map[string]callers.Limit) {
	buckets := make(map[string]quota.Bucket, len(limits))
	for workspace, limit := range limits {
		if limit.RatePerS > 0 {
			buckets[workspace] = s.options.Window.BucketFor(limit)
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if version < s.version {
		return
	}
	s.version, s.limits = version, limits
	s.purse.SetBuckets(buckets, clock.SinceBoot())
	s.coordinatorMu.Lock()
	defer s.coordinatorMu.Unlock()
	s.coordinator.SetBuckets(buckets, clock.SinceBoot())
}

// SetDaemons takes in the daemons that are present, this one included.
func (s *Service) SetDaemons(daemons []engine.Daemon) {
	s.mu.Lock()
	defer s.mu.Unlock()
	members := make([]placement.Member, 0, len(daemons))
	before := s.addresses
	s.addresses = make(map[string]string, len(daemons))
	for _, d := range daemons {
		// A daemon without an address counts, and coordinates nothing.
		members = append(members, placement.Member{Name: d.Name, Zone: d.Zone, Leaving: d.Address == ""})
		s.addresses[d.Name] = d.Address
		if known, ok := before[d.Name]; ok && known != d.Address {
			s.purse.RecordMove(d.Name, clock.SinceBoot())
		}
	}
	s.fleet.Observe(members, clock.SinceBoot())
	s.orders, s.earlierCandidates = s.fleet.Orders(), s.fleet.EarlierCandidates()
	s.coordinatorMu.Lock()
	s.coordinator.SetLaneWeights(s.fleet.LaneWeights(), clock.SinceBoot())
	s.coordinatorMu.Unlock()
	s.weigh()
	s.askDue()
}

// weigh sets the part of the limits that the daemon owns. The caller must hold s.mu.
func (s *Service) weigh() {
	now := clock.SinceBoot()
	registration := s.options.Registration()
	weight := s.fleet.Weight(registrationAt(registration, now), now)
	if before := s.purse.Weight(); before != weight {
		logWeight(before, weight, s.fleet.Daemons())
	}
	s.purse.SetEarlierRules(registration.FoundLendingRules, s.earlierCandidates)
	s.purse.SetFleet(weight, s.fleet.Daemons(), s.fleet.Home(), s.orders, now)
}

// registrationAt decides whether others count the daemon at a time.
func registrationAt(r daemonregistry.Registration, now time.Duration) quota.Registration {
	isKnown := r.KnownAt != 0 && now >= r.KnownAt
	return quota.Registration{IsListed: r.FoundAtStart || isKnown, WrittenAt: r.WrittenAt}
}

// Run renews what is lent until ctx ends.
func (s *Service) Run(ctx context.Context) {
	for clock.Sleep(ctx, renewalCheck) == nil {
		s.renew()
	}
}

func (s *Service) renew() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.weigh()
	s.askDue()
	setGauges(s.purse.Weight(), s.purse.OwnWeight(clock.SinceBoot()))
}

// askDue asks the coordinators that are due. The caller must hold s.mu.
func (s *Service) askDue() {
	for _, coordinator := range s.purse.Due(clock.SinceBoot()) {
		s.ask(coordinator)
	}
}

// Spend takes the right to one operation of a workspace, and waits for one that is under way until the deadline at most.
// It fails with a *result.Error of NotRunOverQuota. Return needs the time that it returns.
func (s *Service) Spend(workspace string, deadline time.Time) (time.Duration, error) {
	isNew := true
	for {
		decision, arrived := s.decide(workspace, isNew)
		switch decision.Verdict {
		case quota.Spent:
			counters.Add("spent", 1)
			return decision.SpentAt, nil
		case quota.Refused:
			return 0, s.refuse(workspace, reasonOverLimit, decision)
		}
		isLate := !awaitUntil(arrived, decision.RetryAfter, deadline)
		s.endWait(workspace)
		if isLate {
			return 0, s.refuse(workspace, reasonNoAnswer, decision)
		}
		isNew = false
	}
}

// awaitUntil waits until a channel is closed or a time has passed. It returns false at the deadline.
func awaitUntil(done <-chan struct{}, within time.Duration, deadline time.Time) bool {
	left := time.Until(deadline)
	timer := time.NewTimer(min(within, left))
	defer timer.Stop()
	select {
	case <-done:
		return true
	case <-timer.C:
		return within < left
	}
}

// decide decides on an operation, and asks a coordinator if need be. It returns what is closed when an answer has come.
func (s *Service) decide(workspace string, isNew bool) (quota.Decision, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	decision := s.purse.Spend(workspace, isNew, clock.SinceBoot())
	if decision.Verdict == quota.Ask {
		s.purse.Wait(workspace, 1)
	}
	if decision.Verdict != quota.Refused && decision.Coordinator != "" {
		s.ask(decision.Coordinator)
	}
	return decision, s.arrived
}

func (s *Service) endWait(workspace string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.purse.Wait(workspace, -1)
}

// refuse returns the error of an operation that gets no token.
func (s *Service) refuse(workspace, reason string, decision quota.Decision) error {
	counters.Add("refused_"+reason, 1)
	s.mu.Lock()
	limit := s.limits[workspace]
	s.mu.Unlock()
	logRefusal(workspace, reason, limit, decision)
	return result.Errorf(result.NotRunOverQuota, "workspace %s: %s of %g operations a second", workspace, reason, limit.RatePerS).
		WithRetryAfter(max(decision.RetryAfter, minRetryAfter))
}

// minRetryAfter is the least time after which a refused caller is told to come back.
const minRetryAfter = 20 * time.Millisecond

// Return gives back the right of an operation that certainly did not run.
func (s *Service) Return(workspace string, spentAt time.Duration) {
	counters.Add("returned", 1)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.purse.Return(workspace, spentAt, clock.SinceBoot())
}

// ask sends a request to a coordinator, unless one is under way. The caller must hold s.mu.
func (s *Service) ask(coordinator string) {
	if _, ok := s.flights[coordinator]; ok {
		return
	}
	now := clock.SinceBoot()
	f := &flight{request: s.purse.Request(coordinator, now), sentAt: now}
	s.flights[coordinator] = f
	counters.Add("requests", 1)
	go s.fly(coordinator, s.addresses[coordinator], f)
}

// fly sends a request and takes in its answer.
func (s *Service) fly(coordinator, address string, f *flight) {
	var reply *api.QuotaReply
	var err error
	if coordinator == s.options.Name {
		reply = s.Handle(f.request)
	} else {
		reply, err = s.options.Peers.Quota(address, f.request, time.Now().Add(quota.CallTimeout))
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.flights, coordinator)
	defer s.wakeWaiting()
	if err != nil {
		counters.Add("requests_failed", 1)
		logNoAnswer(coordinator, err)
		s.purse.HandleFailure(coordinator, clock.SinceBoot())
		return
	}
	s.purse.HandleReply(coordinator, f.request, reply, f.sentAt, clock.SinceBoot())
	s.askDue()
}

// wakeWaiting lets all operations that wait be decided on again. The caller must hold s.mu.
func (s *Service) wakeWaiting() {
	close(s.arrived)
	s.arrived = make(chan struct{})
}

// Leave ends the duty of the daemon as a coordinator, since it stops: those that have lent it their rights are told so with
// their next request, and lend them to another.
func (s *Service) Leave() {
	s.coordinatorMu.Lock()
	defer s.coordinatorMu.Unlock()
	s.coordinator.End(clock.SinceBoot())
}

// Handle serves the request of another daemon to this one as a coordinator.
func (s *Service) Handle(request *api.QuotaRequest) *api.QuotaReply {
	s.coordinatorMu.Lock()
	defer s.coordinatorMu.Unlock()
	now := clock.SinceBoot()
	reply := s.coordinator.Handle(request, now)
	counters.Add("handled", 1)
	lentToSelf.Set(s.coordinator.LentWeight(now))
	return reply
}
