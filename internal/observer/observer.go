// Package observer watches the targets of one group through their status connections, which are
// outside the slots. Confirmation, detection and the age of replicas all rest on these answers.
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
	// pollInterval is the time between status calls while nothing is committed.
	pollInterval = 100 * time.Millisecond
	// callTimeout bounds one status call beyond the time that it is asked to wait.
	callTimeout = 300 * time.Millisecond
	// redialInterval is the pause after a failed dial.
	redialInterval = 50 * time.Millisecond
	// parkTime is the time that a status call waits at a target for a new record.
	parkTime = 20 * time.Millisecond
	// activeTime is the time after a commit during which status calls wait at the replicas, so that
	// the answer leaves a replica as soon as it has received the next record.
	activeTime = time.Second
)

// Observation is the newest knowledge of one target.
type Observation struct {
	// Target names the target.
	Target string
	// Status is the last answer.
	Status target.Status
	// Asked is when the call of the last answer was sent; zero before the first answer.
	Asked time.Time
	// Answered is when the last answer arrived.
	Answered time.Time
	// Misses counts the failed calls since the last answer.
	Misses int
	// Refused is true when the last call failed because the connection was refused.
	Refused bool
	// SilentSince is when the first of the failed calls was sent; zero while calls succeed.
	SilentSince time.Time
}

// Role returns the role of the last answer in the terms of the confirmation rule.
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

// Observer watches the targets of one group.
type Observer struct {
	group   api.GroupSpec
	options target.Options
	cancel  context.CancelFunc
	done    sync.WaitGroup

	lastCommit atomic.Int64

	mu           sync.Mutex
	observations map[string]Observation
	changed      chan struct{}
	kicks        map[string]chan struct{}
}

// New returns an observer of the group that is not running yet.
func New(group api.GroupSpec, options target.Options) *Observer {
	o := &Observer{
		group:        group,
		options:      options,
		observations: make(map[string]Observation),
		changed:      make(chan struct{}),
		kicks:        make(map[string]chan struct{}),
	}
	for _, spec := range group.Targets {
		o.observations[spec.Name] = Observation{Target: spec.Name}
		o.kicks[spec.Name] = make(chan struct{}, 1)
	}
	return o
}

// Run starts the status calls; they end with ctx or Close.
func (o *Observer) Run(ctx context.Context) {
	ctx, o.cancel = context.WithCancel(ctx)
	for _, spec := range o.group.Targets {
		o.done.Add(1)
		go o.watch(ctx, spec)
	}
}

// Close ends the status calls and waits for them.
func (o *Observer) Close() {
	o.cancel()
	o.done.Wait()
}

// Group returns the group that is watched.
func (o *Observer) Group() api.GroupSpec {
	return o.group
}

// Latest returns the newest knowledge of a target.
func (o *Observer) Latest(name string) Observation {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.observations[name]
}

// All returns the newest knowledge of all targets in the order of the group, and a channel that is
// closed at the next change.
func (o *Observer) All() ([]Observation, <-chan struct{}) {
	o.mu.Lock()
	defer o.mu.Unlock()
	all := make([]Observation, 0, len(o.group.Targets))
	for _, spec := range o.group.Targets {
		all = append(all, o.observations[spec.Name])
	}
	return all, o.changed
}

// Committing tells that commits go on, so that status calls wait at the replicas for records.
func (o *Observer) Committing() {
	previous := o.lastCommit.Swap(time.Now().UnixNano())
	if time.Since(time.Unix(0, previous)) < activeTime/2 {
		return
	}
	for _, spec := range o.group.Targets {
		o.Ask(spec.Name)
	}
}

// Ask asks for the status of a target without waiting for the poll interval.
func (o *Observer) Ask(name string) {
	select {
	case o.kicks[name] <- struct{}{}:
	default:
	}
}

// Report takes in a status that was read on another connection of the daemon.
func (o *Observer) Report(name string, status target.Status, asked time.Time) {
	o.record(name, status, asked, time.Now())
}

func (o *Observer) record(name string, status target.Status, asked, answered time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	known := o.observations[name]
	known.Answered = answered
	known.Misses = 0
	known.Refused = false
	known.SilentSince = time.Time{}
	// Answers of two connections may arrive out of order; the one asked later is the newer.
	if asked.After(known.Asked) {
		known.Status = status
		known.Asked = asked
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
	if known.SilentSince.IsZero() {
		known.SilentSince = asked
	}
	o.observations[name] = known
	o.broadcast()
}

func (o *Observer) broadcast() {
	close(o.changed)
	o.changed = make(chan struct{})
}

// watch polls one target until ctx ends.
func (o *Observer) watch(ctx context.Context, spec api.TargetSpec) {
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
				o.pause(ctx, spec.Name, redialInterval)
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
			o.pause(ctx, spec.Name, pollInterval)
		}
	}
}

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

// poll asks for one status and reports whether the connection is still good.
func (o *Observer) poll(ctx context.Context, control *target.Control, name string, asked time.Time) bool {
	var offset uint64
	var wait time.Duration
	if o.isActive() {
		offset = o.Latest(name).Status.Received + 1
		wait = parkTime
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

func (o *Observer) isActive() bool {
	return time.Since(time.Unix(0, o.lastCommit.Load())) < activeTime
}

func (o *Observer) pause(ctx context.Context, name string, interval time.Duration) {
	timer := time.NewTimer(interval)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-o.kicks[name]:
	}
}
