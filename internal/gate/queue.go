package gate

import (
	"context"
	"time"

	"github.com/papayacove/papayacove/api"
	"github.com/papayacove/papayacove/internal/logevent"
	"github.com/papayacove/papayacove/internal/logfield"
	"github.com/papayacove/papayacove/internal/policy/admission"
	"github.com/papayacove/papayacove/internal/result"
	"github.com/papayacove/papayacove/internal/waitqueue"
	"github.com/sirupsen/logrus"
)

const (
	// serviceReserve is the number of mean service times that must be left until the deadline when a batch starts.
	serviceReserve = 2
	// waitMarginDivisor is the divisor of the time until the latest start that yields the margin by which the real
	// wait may exceed the expected one.
	waitMarginDivisor = 3
)

// queue admits batches to the slots of one target by the decisions of the admission policy. It is safe for concurrent
// use.
type queue struct {
	target string
	group  string
	// slotsOf returns the number of slots that a workspace may use, 0 for no limit; if nil, no workspace is limited.
	slotsOf   func(workspace string) int
	waitQueue *waitqueue.Queue
}

// ticket is the admission of one batch or transaction, which occupies a slot since the given time.
type ticket struct {
	queue     *queue
	workspace string
	since     time.Time
}

func newQueue(group string, spec api.TargetSpec, length int, slotsOf func(workspace string) int) *queue {
	q := &queue{target: spec.Name, group: group, slotsOf: slotsOf}
	q.waitQueue = waitqueue.New(admission.Config{Slots: spec.Slots, QueueLength: length}, q.logRefused)
	return q
}

// classOf returns the admission class of a batch that is not part of a transaction in progress.
func classOf(req *api.ExecuteRequest) admission.Class {
	if req.Access == api.ExecuteRequestAccessRead && req.MaxAgeMs >= 0 {
		return admission.ClassBoundedStaleness
	}
	return admission.ClassStrict
}

// latestStart returns the time by which a batch must start in order to end before its deadline. A batch that starts
// later would occupy a slot and be cancelled before it has answered.
func latestStart(now, deadline time.Time, service time.Duration) time.Time {
	reserve := min(serviceReserve*service, deadline.Sub(now)/2)
	return deadline.Add(-reserve)
}

// admit waits for a slot, or refuses at once when the queue is full or the batch is not expected to start in time. The
// error is a result.Error with a code that says that the batch did not run.
func (q *queue) admit(ctx context.Context, req *api.ExecuteRequest) (*ticket, error) {
	deadline, _ := ctx.Deadline()
	now := time.Now()
	startBy := latestStart(now, deadline, q.waitQueue.ServiceTime())
	expectBy := startBy.Add(-startBy.Sub(now) / waitMarginDivisor)
	item := admission.Item{Workspace: req.Workspace, Class: classOf(req), Deadline: startBy, ExpectedStartBy: expectBy}
	if q.slotsOf != nil {
		item.Limit = q.slotsOf(req.Workspace)
	}
	queueTicket := q.waitQueue.Offer(item, time.Now())
	switch queueTicket.Outcome {
	case admission.Queued:
		if refusal := q.waitQueue.Await(ctx, queueTicket); refusal != nil {
			return nil, q.named(refusal)
		}
	case admission.Refused:
		logrus.WithFields(queueTicket.Fields()).WithFields(logrus.Fields{
			logfield.Group: q.group, logfield.Target: q.target, logfield.Session: req.SessionID,
		}).Info(logevent.AdmissionRefused)
		return nil, q.named(queueTicket.Refusal())
	}
	return &ticket{queue: q, workspace: req.Workspace, since: time.Now()}, nil
}

// named adds the name of the target to a refusal.
func (q *queue) named(refusal *result.Error) error {
	return result.Errorf(refusal.Code, "target %s: %s", q.target, refusal.Reason).WithRetryAfter(refusal.RetryAfter)
}

// logRefused logs the refusal of a batch that waited in the queue.
func (q *queue) logRefused(refused admission.Refusal) {
	logrus.WithFields(refused.Fields()).WithFields(logrus.Fields{logfield.Group: q.group, logfield.Target: q.target}).Info(logevent.AdmissionRefused)
}

// free releases the slot and starts the batches that wait for it.
func (t *ticket) free() {
	now := time.Now()
	t.queue.waitQueue.Release(t.workspace, now, now.Sub(t.since))
}

// length returns the number of batches that wait for a slot.
func (q *queue) length() int { return q.waitQueue.Waiting() }
