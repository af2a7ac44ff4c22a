package admission

import (
	"slices"
	"time"

	"github.com/papayacove/papayacove/internal/invariant"
	"github.com/papayacove/papayacove/internal/logfield"
	"github.com/papayacove/papayacove/internal/result"
	"github.com/sirupsen/logrus"
)

// Queue is the admission state of one target. It is not safe for concurrent use.
type Queue struct {
	slots       int
	queueLength int
	running     int
	waiting     int
	lanes       [lanes]laneQueue
	// runningByWorkspace has no entry for a workspace without running batches.
	runningByWorkspace map[string]int
	service            serviceTimes
	pressure           pressure
	shares             shares
}

// New returns an empty queue for one target.
func New(cfg Config) *Queue {
	service := cfg.ServiceTime
	if service <= 0 {
		service = DefaultServiceTime
	}
	q := &Queue{slots: cfg.Slots, queueLength: cfg.QueueLength, runningByWorkspace: make(map[string]int)}
	q.service.all = service.Seconds()
	if cfg.ByUsualLoad {
		q.shares.workspaces = make(map[string]*share)
	}
	return q
}

// Running returns the number of batches that hold a slot.
func (q *Queue) Running() int { return q.running }

// Waiting returns the number of batches that wait.
func (q *Queue) Waiting() int { return q.waiting }

// Slots returns the number of batches that may run concurrently.
func (q *Queue) Slots() int { return q.slots }

// ServiceTime returns the estimated time that a batch holds a slot.
func (q *Queue) ServiceTime() time.Duration {
	return time.Duration(q.service.all * float64(time.Second))
}

// Backlog returns the estimated time until all waiting batches have started.
func (q *Queue) Backlog() time.Duration {
	return q.timeFor(q.workWaiting(lanes))
}

// Offer starts, queues or refuses a batch. The slot of a started batch must be returned with Release; a
// queued batch that is no longer wanted must be removed with Remove.
func (q *Queue) Offer(item Item, now time.Time) Decision {
	q.demote(now)
	if !now.Before(item.Deadline) && item.mayBeLate(now) {
		item = item.late()
	}
	free := q.running < q.slots && q.isWithinLimit(item) && !q.hasStartable(now)
	wait := time.Duration(0)
	if !free {
		wait = q.expectedWait(item, now)
	}
	d := q.decision(item, wait)
	switch {
	case !now.Before(item.Deadline):
		q.refuse(&d, ReasonDeadlinePassed, result.NotRunDeadline)
	case free:
		q.occupySlot(item, q.shares.virtual, now)
		d.Outcome, d.Reason = Started, ReasonSlotFree
	case now.Add(wait).After(item.expectedStartBy()) && q.waiting < q.queueLength && q.mayWaitLate(item, now):
		item = item.late()
		q.enqueue(item, &d, now)
		d.Class, d.Reason = item.Class, ReasonLate
	case now.Add(wait).After(item.expectedStartBy()):
		q.refuse(&d, ReasonTooLate, result.NotRunOverloaded)
	case q.waiting < q.queueLength:
		q.enqueue(item, &d, now)
	default:
		q.offerToFullQueue(item, &d, now)
	}
	d.Running, d.Waiting = q.running, q.waiting
	q.check()
	return d
}

// lateWaitMargin is the factor by which the wait of a late batch may exceed its estimate: the lanes above it leave a
// small and varying share of the slots.
const lateWaitMargin = 2

// mayWaitLate reports whether a batch that cannot start in time is expected to start late, with a margin.
func (q *Queue) mayWaitLate(item Item, now time.Time) bool {
	return item.mayBeLate(now.Add(lateWaitMargin * q.expectedWait(item.late(), now)))
}

// occupySlot assigns a slot to a batch that was queued at a virtual time.
func (q *Queue) occupySlot(item Item, queuedAt float64, now time.Time) {
	q.running++
	q.runningByWorkspace[item.Workspace]++
	q.pressure.started(item.lane(), now)
	q.shares.started(item.Workspace, queuedAt, q.service.of(item.lane()), now)
}

// isWithinLimit reports whether the workspace of a batch may use one more slot.
func (q *Queue) isWithinLimit(item Item) bool {
	return item.Limit <= 0 || q.runningByWorkspace[item.Workspace] < item.Limit
}

func (q *Queue) decision(item Item, wait time.Duration) Decision {
	return Decision{
		ID:           item.ID,
		Workspace:    item.Workspace,
		Class:        item.Class,
		ExpectedWait: wait,
		ServiceTime:  q.ServiceTime(),
	}
}

func (q *Queue) refuse(d *Decision, reason Reason, code result.Code) {
	d.Outcome, d.Reason, d.Code = Refused, reason, code
	d.RetryAfter = q.retryAfter()
}

func (q *Queue) enqueue(item Item, d *Decision, now time.Time) {
	q.lanes[item.lane()].push(entry{item: item, since: now}, q.shares.virtual)
	q.waiting++
	d.Outcome, d.Reason = Queued, ReasonSlotsBusy
}

// offerToFullQueue queues the batch in place of a waiting batch of a lower lane, or of another workspace of the
// same lane that has more waiting batches. It refuses the batch when there is none to displace.
func (q *Queue) offerToFullQueue(item Item, d *Decision, now time.Time) {
	from, index := q.victim(item, now)
	if index < 0 {
		q.refuse(d, ReasonQueueFull, result.NotRunOverloaded)
		return
	}
	lq := &q.lanes[from]
	e := lq.removeAt(index, len(lq.queues[index].entries)-1)
	q.waiting--
	r := q.refused(e, ReasonDisplaced, result.NotRunOverloaded, now)
	d.Displaced = &r
	q.enqueue(item, d, now)
}

// victim returns the lane and the index of the workspace queue whose newest batch is displaced by item; the index is
// -1 if there is none.
func (q *Queue) victim(item Item, now time.Time) (lane, int) {
	own := item.lane()
	for l := lanes - 1; l > own; l-- {
		if index, _ := q.longest(l, now); index >= 0 {
			return l, index
		}
	}
	index, length := q.longest(own, now)
	if index >= 0 && len(q.lanes[own].queues[index].entries) > 1 && length > float64(q.lanes[own].lengthOf(item.Workspace)+1)/q.weight(item.Workspace, now) {
		return own, index
	}
	return own, -1
}

// longest returns the index of the workspace queue of a lane that is the longest for the weight of its workspace, and that
// length; the index is -1 when no batch waits.
func (q *Queue) longest(l lane, now time.Time) (int, float64) {
	lq := &q.lanes[l]
	if !q.shares.isOn() {
		index, length := lq.longest()
		return index, float64(length)
	}
	index, longest, largest := -1, 0.0, q.shares.largest(now)
	for i, wq := range lq.queues {
		length := float64(len(wq.entries)) / q.shares.weight(wq.workspace, largest, now)
		if length > longest {
			index, longest = i, length
		}
	}
	return index, longest
}

// weight returns the weight of a workspace; 1 when all are treated alike.
func (q *Queue) weight(workspace string, now time.Time) float64 {
	if !q.shares.isOn() {
		return 1
	}
	return q.shares.weight(workspace, q.shares.largest(now), now)
}

// End is Release for a batch whose kind is known: its time is also recorded for its lane. A served time of 0 stands for
// unknown.
func (q *Queue) End(item Item, now time.Time, served time.Duration) []Start {
	if served > 0 {
		q.service.record(item.lane(), served)
	}
	return q.free(item.Workspace, now)
}

// Release returns the slot that a batch of the workspace held for the duration served, and returns the batches that
// start now. Batches past their deadline never start; Expire returns them.
func (q *Queue) Release(workspace string, now time.Time, served time.Duration) []Start {
	q.service.recordAny(served)
	return q.free(workspace, now)
}

// free returns the slot of a batch of the workspace and returns the batches that start now.
func (q *Queue) free(workspace string, now time.Time) []Start {
	if !invariant.Check(q.running > 0, "admission_release_of_running", q.fields()) {
		return nil
	}
	q.running--
	q.runningByWorkspace[workspace]--
	if q.runningByWorkspace[workspace] <= 0 {
		delete(q.runningByWorkspace, workspace)
	}
	return q.startWaiting(now)
}

// Resize changes the number of slots and returns the batches that start now. Running batches keep
// their slots even if there are more of them than slots.
func (q *Queue) Resize(slots int, now time.Time) []Start {
	q.slots = slots
	return q.startWaiting(now)
}

// demote moves batches that did not start by their deadline and may start late to ClassLate.
func (q *Queue) demote(now time.Time) {
	for l := range q.lanes[:laneLate] {
		for _, e := range q.lanes[l].removeLate(now) {
			e.item = e.item.late()
			q.lanes[laneLate].push(e, q.shares.virtual)
		}
	}
}

func (q *Queue) startWaiting(now time.Time) []Start {
	q.demote(now)
	var starts []Start
	for q.running < q.slots {
		e, queuedAt, ok := q.next(now)
		if !ok {
			break
		}
		q.occupySlot(e.item, queuedAt, now)
		q.waiting--
		starts = append(starts, Start{
			ID:        e.item.ID,
			Workspace: e.item.Workspace,
			Class:     e.item.Class,
			Waited:    now.Sub(e.since),
			Running:   q.running,
			Waiting:   q.waiting,
		})
	}
	q.check()
	return starts
}

// Expire removes and returns the waiting batches whose deadline has passed, and the late ones that are not expected to
// start any more: they are refused at once, so that their callers can go elsewhere.
func (q *Queue) Expire(now time.Time) []Refusal {
	var refused []Refusal
	for l := range q.lanes {
		for _, e := range q.lanes[l].removeExpired(now) {
			q.waiting--
			refused = append(refused, q.refused(e, ReasonDeadlinePassed, result.NotRunDeadline, now))
		}
	}
	for _, e := range q.lanes[laneLate].removeIf(q.isHopeless(now)) {
		q.waiting--
		refused = append(refused, q.refused(e, ReasonTooLate, result.NotRunOverloaded, now))
	}
	return refused
}

// isHopeless returns a function that reports, called with each late batch in order, whether the batch is not expected to
// start by its deadline.
func (q *Queue) isHopeless(now time.Time) func(Item) bool {
	ahead := q.workWaiting(laneLate)
	left := q.pressure.shareLeft(laneLate, &q.service, q.slots, now)
	return func(item Item) bool {
		if now.Add(q.waitBehind(ahead, left)).After(item.Deadline) {
			return true
		}
		ahead += q.service.of(laneLate)
		return false
	}
}

// NextExpiry returns the earliest deadline of the waiting batches; false when none waits.
func (q *Queue) NextExpiry() (time.Time, bool) {
	var earliest time.Time
	found := false
	for l := range q.lanes {
		for _, wq := range q.lanes[l].queues {
			for _, e := range wq.entries {
				if !found || e.item.Deadline.Before(earliest) {
					earliest, found = e.item.Deadline, true
				}
			}
		}
	}
	return earliest, found
}

// Remove removes a waiting batch, which then never starts, and reports whether it was waiting.
func (q *Queue) Remove(id uint64) bool {
	for l := range q.lanes {
		lq := &q.lanes[l]
		for i, wq := range lq.queues {
			j := slices.IndexFunc(wq.entries, func(e entry) bool { return e.item.ID == id })
			if j < 0 {
				continue
			}
			lq.removeAt(i, j)
			q.waiting--
			return true
		}
	}
	return false
}

func (q *Queue) refused(e entry, reason Reason, code result.Code, now time.Time) Refusal {
	return Refusal{
		ID:         e.item.ID,
		Workspace:  e.item.Workspace,
		Class:      e.item.Class,
		Reason:     reason,
		Code:       code,
		Waited:     now.Sub(e.since),
		RetryAfter: q.retryAfter(),
	}
}

func (q *Queue) retryAfter() time.Duration {
	return max(minRetryAfter, q.Backlog())
}

func (q *Queue) check() {
	if q.waiting > q.queueLength {
		invariant.Check(false, "admission_queue_bounded", q.fields())
	}
}

func (q *Queue) fields() logrus.Fields {
	return logrus.Fields{logfield.Running: q.running, logfield.Waiting: q.waiting, logfield.Slots: q.slots}
}
