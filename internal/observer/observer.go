// Package observer polls the status of the targets of one group, over control connections, which do not use the slots
// of a target: the scarce connections that run statements. Confirmation, failure detection and the age of replicas all
// use these answers.
package observer

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/papayacove/papayacove/api"
	"github.com/papayacove/papayacove/internal/policy/confirm"
	"github.com/papayacove/papayacove/internal/target"
)

const (
	// pollInterval is the time between status calls to one target while nothing is committed.
	pollInterval = 100 * time.Millisecond
	// callTimeout bounds a dial, and a status call beyond the time for which the target is asked to wait.
	callTimeout = 300 * time.Millisecond
	// redialInterval is the time between a failed dial and the next one.
	redialInterval = 50 * time.Millisecond
	// recordWait is the time for which a target may delay a status answer until it has received a new record.
	recordWait = 20 * time.Millisecond
	// activePeriod is the time after a commit during which status calls wait at the targets for a new record, so that
	// a replica answers as soon as it has received the next one.
	activePeriod = time.Second
)

// Observation is the last known state of one target.
type Observation struct {
	// Target names the target.
	Target string
	// Status is the answer to the latest call that was answered.
	Status target.Status
	// AskedAt is when the call that returned Status was sent; zero before the first answer.
	AskedAt time.Time
	// AnsweredAt is when the last answer arrived; zero before the first one.
	AnsweredAt time.Time
	// Misses is the number of failed calls since the last answer.
	Misses int
	// Refused is true when the last call failed because the connection was refused.
	Refused bool
	// FailingSince is when the first of these failed calls was sent; zero while calls succeed.
	FailingSince time.Time
}

// Role returns the role in Status as the confirmation rule names it.
func (o Observation) Role() confirm.Role {
	switch o.Status.Role {
	case target.RolePrimary:
		return confirm.RolePrimary
	case target.RoleReplica:
		return confirm.RoleReplica
	default:
		return confirm.RoleUnknown
	}
}

// Observer polls the status of the targets of one group. Its methods, except Run and Close, are safe for concurrent use.
type Observer struct {
	group   api.GroupSpec
	options target.Options
	cancel  context.CancelFunc
	done    sync.WaitGroup

	// lastCommit is the time of the last call of RecordCommit, in Unix nanoseconds.
	lastCommit atomic.Int64

	mu           sync.Mutex
	observations map[string]Observation
	// changed is closed and replaced when an observation is updated.
	changed chan struct{}
	// pollRequests holds, by target, a channel with room for one request of PollNow.
	pollRequests map[string]chan struct{}
}

// New returns an observer of the group. Run starts it.
func New(group api.GroupSpec, options target.Options) *Observer {
	o := &Observer{
		group:        group,
		options:      options,
		observations: make(map[string]Observation),
		changed:      make(chan struct{}),
		pollRequests: make(map[string]chan struct{}),
	}
	for _, spec := range group.Targets {
		o.observations[spec.Name] = Observation{Target: spec.Name}
		o.pollRequests[spec.Name] = make(chan struct{}, 1)
	}
	return o
}

// Run starts the status calls; they end with ctx or Close.
func (o *Observer) Run(ctx context.Context) {
	ctx, o.cancel = context.WithCancel(ctx)
	for _, spec := range o.group.Targets {
		o.done.Add(1)
		go o.pollTarget(ctx, spec)
	}
}

// Close ends the status calls and waits until they have ended. Run must have been called.
func (o *Observer) Close() {
	o.cancel()
	o.done.Wait()
}

// Group returns the observed group.
func (o *Observer) Group() api.GroupSpec {
	return o.group
}

// Latest returns the last known state of a target.
func (o *Observer) Latest(name string) Observation {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.observations[name]
}

// All returns the last known states of all targets in the order of the group, and a channel that is closed when any of
// them is updated.
func (o *Observer) All() ([]Observation, <-chan struct{}) {
	o.mu.Lock()
	defer o.mu.Unlock()
	all := make([]Observation, 0, len(o.group.Targets))
	for _, spec := range o.group.Targets {
		all = append(all, o.observations[spec.Name])
	}
	return all, o.changed
}

// RecordCommit records that a commit is in progress, so that for activePeriod status calls wait at the targets for a
// new record.
func (o *Observer) RecordCommit() {
	previous := o.lastCommit.Swap(time.Now().UnixNano())
	if time.Since(time.Unix(0, previous)) < activePeriod/2 {
		return
	}
	for _, spec := range o.group.Targets {
		o.PollNow(spec.Name)
	}
}

// PollNow requests a status call to a target without waiting for the end of the poll interval. It does not block.
func (o *Observer) PollNow(name string) {
	select {
	case o.pollRequests[name] <- struct{}{}:
	default:
	}
}

// RecordStatus records a status that was read on another connection of the daemon. asked is when the call was sent.
func (o *Observer) RecordStatus(name string, status target.Status, asked time.Time) {
	o.record(name, status, asked, time.Now())
}

func (o *Observer) record(name string, status target.Status, asked, answered time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	known := o.observations[name]
	known.AnsweredAt = answered
	known.Misses = 0
	known.Refused = false
	known.FailingSince = time.Time{}
	// Answers on two connections may arrive out of order; the one to the later call is the newer.
	if asked.After(known.AskedAt) {
		known.Status = status
		known.AskedAt = asked
	}
	o.observations[name] = known
	o.broadcast()
}

func (o *Observer) recordMiss(name string, asked time.Time, err error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	known := o.observations[name]
	known.Misses++
	known.Refused = errors.Is(err, syscall.ECONNREFUSED)
	if known.FailingSince.IsZero() {
		known.FailingSince = asked
	}
	o.observations[name] = known
	o.broadcast()
}

// broadcast wakes those that wait for a change. o.mu must be held.
func (o *Observer) broadcast() {
	close(o.changed)
	o.changed = make(chan struct{})
}

// pollTarget polls one target until ctx ends.
func (o *Observer) pollTarget(ctx context.Context, spec api.TargetSpec) {
	defer o.done.Done()
	var control *target.Control
	defer func() {
		if control != nil {
			_ = control.Close()
		}
	}()
	for ctx.Err() == nil {
		asked := time.Now()
		if control == nil {
			control = o.dial(ctx, spec, asked)
			if control == nil {
				o.waitForPoll(ctx, spec.Name, redialInterval)
				continue
			}
			asked = time.Now()
		}
		if !o.poll(ctx, control, spec.Name, asked) {
			_ = control.Close()
			control = nil
			continue
		}
		if !o.isActive() {
			o.waitForPoll(ctx, spec.Name, pollInterval)
		}
	}
}

// dial opens the status connection. It returns nil on a failure, which it records unless ctx was cancelled.
func (o *Observer) dial(ctx context.Context, spec api.TargetSpec, asked time.Time) *target.Control {
	dialContext, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	control, err := target.DialControl(dialContext, spec.Address, o.options)
	if err == nil {
		return control
	}
	if !errors.Is(ctx.Err(), context.Canceled) {
		o.recordMiss(spec.Name, asked, err)
	}
	return nil
}

// poll makes one status call and reports whether the connection is still usable.
func (o *Observer) poll(ctx context.Context, control *target.Control, name string, asked time.Time) bool {
	var offset uint64
	var wait time.Duration
	if o.isActive() {
		offset = o.Latest(name).Status.Received + 1
		wait = recordWait
	}
	callContext, cancel := context.WithTimeout(ctx, callTimeout+wait)
	defer cancel()
	status, err := control.Status(callContext, offset, wait)
	if err != nil {
		if ctx.Err() == nil {
			o.recordMiss(name, asked, err)
		}
		return false
	}
	o.record(name, status, asked, time.Now())
	return true
}

// isActive reports whether a commit was recorded within activePeriod.
func (o *Observer) isActive() bool {
	return time.Since(time.Unix(0, o.lastCommit.Load())) < activePeriod
}

// waitForPoll returns after the interval, on a call of PollNow, or when ctx ends.
func (o *Observer) waitForPoll(ctx context.Context, name string, interval time.Duration) {
	timer := time.NewTimer(interval)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-o.pollRequests[name]:
	}
}
