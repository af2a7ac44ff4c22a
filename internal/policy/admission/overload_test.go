package admission

import (
	"math/rand"
	"slices"
	"testing"
	"time"
)

// loadResult is what the callers of a played load got.
type loadResult struct {
	offered, inTime, late, refusedAtOnce, heldInVain int
	// busy is the part of the slots' time that was used.
	busy float64
}

// objectives and startLimits are the times by which batches of a class should start, and must start.
var (
	objectives  = map[Class]time.Duration{ClassUrgent: 150 * time.Millisecond, ClassStrict: 250 * time.Millisecond, ClassBoundedStaleness: 500 * time.Millisecond}
	startLimits = map[Class]time.Duration{ClassUrgent: 560 * time.Millisecond, ClassStrict: 560 * time.Millisecond, ClassBoundedStaleness: 1400 * time.Millisecond}
)

// playLoad offers batches to a target for 20 s, in the given numbers a second by class, and serves them in 18 ms on
// average.
func playLoad(slots int, perSecond map[Class]float64) map[Class]*loadResult {
	const length, service = 20 * time.Second, 18 * time.Millisecond
	random := rand.New(rand.NewSource(1))
	q := New(Config{Slots: slots, QueueLength: 500, ServiceTime: service})
	start := time.Unix(1_000_000, 0)
	results := map[Class]*loadResult{}
	type event struct {
		at      time.Time
		arrival *Item
		served  time.Duration
	}
	var events []event
	classOf, arrivedAt := map[uint64]Class{}, map[uint64]time.Time{}
	id := uint64(0)
	for _, c := range []Class{ClassUrgent, ClassStrict, ClassBoundedStaleness} {
		results[c] = &loadResult{}
		for at := start; perSecond[c] > 0 && at.Before(start.Add(length)); {
			at = at.Add(time.Duration(random.ExpFloat64() / perSecond[c] * float64(time.Second)))
			id++
			item := &Item{ID: id, Class: c, Deadline: at.Add(objectives[c]), ExpectedStartBy: at.Add(objectives[c] * 3 / 4), LateUntil: at.Add(startLimits[c])}
			classOf[id], arrivedAt[id] = c, at
			events = append(events, event{at: at, arrival: item})
		}
	}
	byTime := func(a, b event) int { return a.at.Compare(b.at) }
	slices.SortFunc(events, byTime)
	used := time.Duration(0)
	begin := func(id uint64, now time.Time) {
		served := time.Duration(random.ExpFloat64() * float64(service))
		used += served
		end := event{at: now.Add(served), served: served}
		i, _ := slices.BinarySearchFunc(events, end, byTime)
		events = slices.Insert(events, i, end)
		r := results[classOf[id]]
		if now.Sub(arrivedAt[id]) <= objectives[classOf[id]] {
			r.inTime++
		} else {
			r.late++
		}
	}
	for len(events) > 0 {
		e := events[0]
		events = events[1:]
		if e.arrival != nil {
			r := results[e.arrival.Class]
			r.offered++
			switch d := q.Offer(*e.arrival, e.at); d.Outcome {
			case Started:
				begin(e.arrival.ID, e.at)
			case Refused:
				r.refusedAtOnce++
			}
			continue
		}
		for _, s := range q.Release("", e.at, e.served) {
			begin(s.ID, e.at)
		}
		for _, refused := range q.Expire(e.at) {
			results[classOf[refused.ID]].heldInVain++
		}
	}
	for _, r := range results {
		r.busy = used.Seconds() / (length.Seconds() * float64(slots))
	}
	return results
}

// TestLastingOverloadRefusesEarly plays a target that gets half as much again as it serves for 20 s, as when the replicas
// of its group lag and all reads go to the primary. What cannot be served has to be refused when it arrives, not after it
// has waited; the urgent batches are served in time; and the slots stay busy.
func TestLastingOverloadRefusesEarly(t *testing.T) {
	results := playLoad(3, map[Class]float64{ClassUrgent: 40, ClassStrict: 170, ClassBoundedStaleness: 40})
	offered, inVain := 0, 0
	for c, r := range results {
		t.Logf("%s: %+v", c, *r)
		offered, inVain = offered+r.offered, inVain+r.heldInVain
		if c == ClassUrgent && float64(r.inTime) < 0.98*float64(r.offered) {
			t.Errorf("urgent: got %d of %d in time, want 98 %%", r.inTime, r.offered)
		}
		if r.busy < 0.97 {
			t.Errorf("%s: got the slots used for %.2f of the time, want 0.97", c, r.busy)
		}
	}
	if float64(inVain) > 0.05*float64(offered) {
		t.Errorf("got %d of %d that waited in vain, want at most 5 %%", inVain, offered)
	}
}

// TestModerateLoadIsServedInTime plays a target that gets seven tenths of what it serves.
func TestModerateLoadIsServedInTime(t *testing.T) {
	for c, r := range playLoad(3, map[Class]float64{ClassUrgent: 20, ClassStrict: 80, ClassBoundedStaleness: 17}) {
		if r.inTime < r.offered*98/100 || r.heldInVain > r.offered/100 {
			t.Errorf("%s: got %d of %d in time and %d that waited in vain, want 98 %% and at most 1 %%", c, r.inTime, r.offered, r.heldInVain)
		}
	}
}
