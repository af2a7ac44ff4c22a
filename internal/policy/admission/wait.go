package admission

import "time"

// expectedWait estimates the time until a new batch starts that cannot start at once: the batches ahead of it start
// first, and those of higher lanes that arrive meanwhile.
func (q *Queue) expectedWait(item Item, now time.Time) time.Duration {
	wait := q.waitBehind(q.workAhead(item, now), q.pressure.shareLeft(item.lane(), &q.service, q.slots, now))
	if item.Limit > 0 && item.Limit < q.slots {
		// The batches of the workspace share the Limit slots that it may use.
		own := q.lanes[item.lane()].lengthOf(item.Workspace) + 1
		wait = max(wait, timeForSlots(float64(own)*q.service.of(item.lane()), item.Limit))
	}
	return wait
}

// workAhead estimates the time, in seconds of one slot, that the waiting batches need that start before a new one: those of
// higher lanes, those of its own lane that come first, and those of the lanes below if its workspace is in excess.
func (q *Queue) workAhead(item Item, now time.Time) float64 {
	own := item.lane()
	work := q.workWaiting(own) + float64(q.aheadInLane(own, item.Workspace, now))*q.service.of(own)
	if own == laneTransaction || own == laneLate || !q.isInExcess(item.Workspace, now) {
		return work
	}
	return work + q.workWaiting(laneLate) - q.workWaiting(own+1)
}

// workWaiting estimates the time, in seconds of one slot, that the waiting batches of the lanes above l need.
func (q *Queue) workWaiting(l lane) float64 {
	work := 0.0
	for above := range l {
		work += float64(q.lanes[above].length) * q.service.of(above)
	}
	return work
}

// aheadInLane returns the number of batches of the lane that start before a new one of the workspace: its own, and as many
// of each other as that workspace starts meanwhile.
func (q *Queue) aheadInLane(l lane, workspace string, now time.Time) int {
	lq := &q.lanes[l]
	own := lq.lengthOf(workspace)
	weight, largest := 1.0, 0.0
	if q.shares.isOn() {
		largest = q.shares.largest(now)
		weight = q.shares.weight(workspace, largest, now)
	}
	ahead := own
	for _, wq := range lq.queues {
		if wq.workspace == workspace {
			continue
		}
		starts := own + 1
		if q.shares.isOn() {
			starts = 1 + int(float64(own)*q.shares.weight(wq.workspace, largest, now)/weight)
		}
		ahead += min(len(wq.entries), starts)
	}
	return ahead
}

// waitBehind estimates the time until a batch starts that has the given work ahead, when its class gets the given share of
// the slots. One batch has to end first.
func (q *Queue) waitBehind(work, share float64) time.Duration {
	return time.Duration(float64(q.timeFor(work+q.service.all)) / share)
}

// timeFor estimates the time in which the slots do the given work, in seconds of one slot.
func (q *Queue) timeFor(work float64) time.Duration { return timeForSlots(work, q.slots) }

// timeForSlots estimates the time in which a number of slots do the given work, in seconds of one slot.
func timeForSlots(work float64, slots int) time.Duration {
	return time.Duration(work / float64(max(1, slots)) * float64(time.Second))
}
