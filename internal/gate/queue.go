package gate

import (
	"context"
	"sync"
	"time"

	"github.com/papayacove/papayacove/api"
	"github.com/papayacove/papayacove/internal/logevent"
	"github.com/papayacove/papayacove/internal/logfield"
	"github.com/papayacove/papayacove/internal/policy/admission"
	"github.com/papayacove/papayacove/internal/result"
	"github.com/sirupsen/logrus"
)

const (
	// serviceReserve is the number of mean service times that a batch must have left when it starts.
	serviceReserve = 2
	// waitMarginShare is the part of the time left by which the expected wait may grow.
	waitMarginShare = 3
)

// queue admits batches to the slots of one target by the decisions of the admission policy.
type queue struct {
	target string
	group  string
	// slotsOf returns the slots that a workspace may use; nil limits none.
	slotsOf func(workspace string) int

	mu      sync.Mutex
	policy  *admission.Queue
	nextID  uint64
	waiters map[uint64]chan *result.Error
}

// ticket is the admission of one batch or transaction.
type ticket struct {
	queue     *queue
	workspace string
	since     time.Time
}

func newQueue(group string, spec api.TargetSpec, length int, slotsOf func(workspace string) int) *queue {
	return &queue{
		target:  spec.Name,
		group:   group,
		slotsOf: slotsOf,
		policy:  admission.New(admission.Config{Slots: spec.Slots, QueueLength: length}),
		waiters: make(map[uint64]chan *result.Error),
	}
}

// classOf returns the priority of a batch that starts anew.
func classOf(req *api.ExecuteRequest) admission.Class {
	if req.Access == api.ExecuteRequestAccessRead && req.MaxAgeMs >= 0 {
		return admission.ClassAged
	}
	return admission.ClassStrict
}

// latestStart returns the time by which a batch must start to end before its deadline. A batch that
// starts later holds a slot and is cancelled before it has answered.
func latestStart(now, deadline time.Time, service time.Duration) time.Time {
	reserve := min(serviceReserve*service, deadline.Sub(now)/2)
	return deadline.Add(-reserve)
}

// admit waits for a slot or refuses at once. The error is a result.Error that nothing ran.
func (q *queue) admit(ctx context.Context, req *api.ExecuteRequest) (*ticket, error) {
	deadline, _ := ctx.Deadline()
	q.mu.Lock()
	now := time.Now()
	startBy := latestStart(now, deadline, q.policy.ServiceTime())
	expectBy := startBy.Add(-startBy.Sub(now) / waitMarginShare)
	q.nextID++
	item := admission.Item{ID: q.nextID, Workspace: req.Workspace, Class: classOf(req), Deadline: startBy, ExpectBy: expectBy}
	if q.slotsOf != nil {
		item.Limit = q.slotsOf(req.Workspace)
	}
	decision := q.policy.Offer(item, time.Now())
	var admitted chan *result.Error
	if decision.Outcome == admission.Queued {
		admitted = make(chan *result.Error, 1)
		q.waiters[item.ID] = admitted
	}
	if decision.Displaced != nil {
		q.refuseWaiter(*decision.Displaced)
	}
	q.mu.Unlock()
	switch decision.Outcome {
	case admission.Started:
		return q.started(req.Workspace, nil)
	case admission.Queued:
		return q.wait(ctx, item, admitted)
	default:
		logrus.WithFields(decision.Fields()).WithFields(logrus.Fields{
			logfield.Group: q.group, logfield.Target: q.target, logfield.Session: req.SessionID,
		}).Info(logevent.AdmissionRefused)
		return nil, result.Errorf(decision.Code, "target %s: %s, %d wait", q.target, decision.Reason, decision.Waiting).
			WithRetryAfter(decision.RetryAfter)
	}
}

// wait waits for the start of a queued batch.
func (q *queue) wait(ctx context.Context, item admission.Item, admitted <-chan *result.Error) (*ticket, error) {
	select {
	case refusal := <-admitted:
		return q.started(item.Workspace, refusal)
	case <-ctx.Done():
	}
	q.mu.Lock()
	removed := q.policy.Remove(item.ID)
	delete(q.waiters, item.ID)
	retryAfter := q.policy.Backlog()
	q.mu.Unlock()
	if removed {
		return nil, result.Errorf(result.NotRunDeadline, "target %s: no slot became free in time", q.target).WithRetryAfter(retryAfter)
	}
	return q.started(item.Workspace, <-admitted)
}

func (q *queue) started(workspace string, refusal *result.Error) (*ticket, error) {
	if refusal != nil {
		return nil, refusal
	}
	return &ticket{queue: q, workspace: workspace, since: time.Now()}, nil
}

// refuseWaiter tells a waiting batch that it never starts. The caller holds the lock.
func (q *queue) refuseWaiter(refused admission.Refused) {
	waiter, ok := q.waiters[refused.ID]
	if !ok {
		return
	}
	delete(q.waiters, refused.ID)
	logrus.WithFields(refused.Fields()).WithFields(logrus.Fields{logfield.Group: q.group, logfield.Target: q.target}).Info(logevent.AdmissionRefused)
	waiter <- result.Errorf(refused.Code, "target %s: %s", q.target, refused.Reason).WithRetryAfter(refused.RetryAfter)
}

// done gives the slot back and starts the batches that wait for it.
func (t *ticket) done() {
	q := t.queue
	now := time.Now()
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, refused := range q.policy.Expire(now) {
		q.refuseWaiter(refused)
	}
	for _, start := range q.policy.Release(t.workspace, now, now.Sub(t.since)) {
		if waiter, ok := q.waiters[start.ID]; ok {
			delete(q.waiters, start.ID)
			waiter <- nil
		}
	}
}

// length returns the number of batches that wait.
func (q *queue) length() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.policy.Waiting()
}
