package gate

import (
	"context"
	"time"

	"github.com/papayacove/papayacove/api"
	"github.com/papayacove/papayacove/internal/logevent"
	"github.com/papayacove/papayacove/internal/logfield"
	"github.com/papayacove/papayacove/internal/policy/admission"
	"github.com/papayacove/papayacove/internal/result"
	"github.com/papayacove/papayacove/internal/waitline"
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
	line    *waitline.Line
}

// ticket is the admission of one batch or transaction.
type ticket struct {
	queue     *queue
	workspace string
	since     time.Time
}

func newQueue(group string, spec api.TargetSpec, length int, slotsOf func(workspace string) int) *queue {
	q := &queue{target: spec.Name, group: group, slotsOf: slotsOf}
	q.line = waitline.New(admission.Config{Slots: spec.Slots, QueueLength: length}, q.logRefused)
	return q
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
	now := time.Now()
	startBy := latestStart(now, deadline, q.line.ServiceTime())
	expectBy := startBy.Add(-startBy.Sub(now) / waitMarginShare)
	item := admission.Item{Workspace: req.Workspace, Class: classOf(req), Deadline: startBy, ExpectBy: expectBy}
	if q.slotsOf != nil {
		item.Limit = q.slotsOf(req.Workspace)
	}
	place := q.line.Offer(item, time.Now())
	switch place.Outcome {
	case admission.Queued:
		if refusal := q.line.Await(ctx, place); refusal != nil {
			return nil, q.named(refusal)
		}
	case admission.Rejected:
		logrus.WithFields(place.Fields()).WithFields(logrus.Fields{
			logfield.Group: q.group, logfield.Target: q.target, logfield.Session: req.SessionID,
		}).Info(logevent.AdmissionRefused)
		return nil, q.named(place.Refusal())
	}
	return &ticket{queue: q, workspace: req.Workspace, since: time.Now()}, nil
}

// named adds the name of the target to a refusal.
func (q *queue) named(refusal *result.Error) error {
	return result.Errorf(refusal.Code, "target %s: %s", q.target, refusal.Reason).WithRetryAfter(refusal.RetryAfter)
}

// logRefused writes that a batch waited and never starts.
func (q *queue) logRefused(refused admission.Refused) {
	logrus.WithFields(refused.Fields()).WithFields(logrus.Fields{logfield.Group: q.group, logfield.Target: q.target}).Info(logevent.AdmissionRefused)
}

// done gives the slot back and starts the batches that wait for it.
func (t *ticket) done() {
	now := time.Now()
	t.queue.line.Release(t.workspace, now, now.Sub(t.since))
}

// length returns the number of batches that wait.
func (q *queue) length() int { return q.line.Waiting() }
