package admission

import (
	"cmp"
	"maps"
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

// loadKind is a kind of batches of a played load.
type loadKind struct {
	name     string
	class    Class
	priority int
	// objective is the time by which a batch should start, startLimit that by which it must start.
	objective, startLimit time.Duration
	// work is the mean time for which a batch holds its slot.
	work time.Duration
}

var (
	urgent = loadKind{"urgent", ClassStrict, 1, 150 * time.Millisecond, 560 * time.Millisecond, 18 * time.Millisecond}
	strict = loadKind{"strict", ClassStrict, 2, 250 * time.Millisecond, 560 * time.Millisecond, 18 * time.Millisecond}
	agedOk = loadKind{"aged", ClassBoundedStaleness, 2, 500 * time.Millisecond, 1400 * time.Millisecond, 18 * time.Millisecond}
)

// item returns a batch of the kind that arrives at the given time.
func (k loadKind) item(id uint64, at time.Time) *Item {
	return &Item{
		ID: id, Class: k.class, Priority: k.priority, Deadline: at.Add(k.objective), ExpectedStartBy: at.Add(k.objective * 3 / 4), LateUntil: at.Add(k.startLimit),
	}
}

// playedTime is the time for which a load is offered.
const playedTime = 20 * time.Second

// sortedKinds returns the kinds of a load in a fixed order.
func sortedKinds(perSecond map[loadKind]float64) []loadKind {
	kinds := slices.Collect(maps.Keys(perSecond))
	slices.SortFunc(kinds, func(a, b loadKind) int { return cmp.Or(a.priority-b.priority, int(a.class)-int(b.class)) })
	return kinds
}

// playLoad offers batches to a target for 20 s, in the given numbers a second by kind, and serves each for a random time
// with the mean of its kind.
func playLoad(slots int, perSecond map[loadKind]float64) map[loadKind]*loadResult {
	const length, service = playedTime, 18 * time.Millisecond
	random := rand.New(rand.NewSource(1))
	q := New(Config{Slots: slots, QueueLength: 500, ServiceTime: service})
	start := time.Unix(1_000_000, 0)
	results := map[loadKind]*loadResult{}
	type event struct {
		at      time.Time
		arrival *Item
		kind    loadKind
		served  time.Duration
	}
	var events []event
	kindOf, arrivedAt := map[uint64]loadKind{}, map[uint64]time.Time{}
	id := uint64(0)
	for _, k := range sortedKinds(perSecond) {
		results[k] = &loadResult{}
		for at := start; perSecond[k] > 0 && at.Before(start.Add(length)); {
			at = at.Add(time.Duration(random.ExpFloat64() / perSecond[k] * float64(time.Second)))
			id++
			kindOf[id], arrivedAt[id] = k, at
			events = append(events, event{at: at, arrival: k.item(id, at), kind: k})
		}
	}
	byTime := func(a, b event) int { return a.at.Compare(b.at) }
	slices.SortFunc(events, byTime)
	used := time.Duration(0)
	begin := func(id uint64, now time.Time) {
		served := time.Duration(random.ExpFloat64() * float64(kindOf[id].work))
		used += served
		end := event{at: now.Add(served), served: served}
		i, _ := slices.BinarySearchFunc(events, end, byTime)
		events = slices.Insert(events, i, end)
		r := results[kindOf[id]]
		if now.Sub(arrivedAt[id]) <= kindOf[id].objective {
			r.inTime++
		} else {
			r.late++
		}
	}
	for len(events) > 0 {
		e := events[0]
		events = events[1:]
		if e.arrival != nil {
			r := results[e.kind]
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
			results[kindOf[refused.ID]].heldInVain++
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
	results := playLoad(3, map[loadKind]float64{urgent: 40, strict: 170, agedOk: 40})
	offered, inVain := 0, 0
	for k, r := range results {
		t.Logf("%s: %+v", k.name, *r)
		offered, inVain = offered+r.offered, inVain+r.heldInVain
		if k == urgent && float64(r.inTime) < 0.98*float64(r.offered) {
			t.Errorf("urgent: got %d of %d in time, want 98 %%", r.inTime, r.offered)
		}
		if r.busy < 0.97 {
			t.Errorf("%s: got the slots used for %.2f of the time, want 0.97", k.name, r.busy)
		}
	}
	if float64(inVain) > 0.05*float64(offered) {
		t.Errorf("got %d of %d that waited in vain, want at most 5 %%", inVain, offered)
	}
}

// TestModerateLoadIsServedInTime plays a target that gets seven tenths of what it serves.
func TestModerateLoadIsServedInTime(t *testing.T) {
	for k, r := range playLoad(3, map[loadKind]float64{urgent: 20, strict: 80, agedOk: 17}) {
		if r.inTime < r.offered*98/100 || r.heldInVain > r.offered/100 {
			t.Errorf("%s: got %d of %d in time and %d that waited in vain, want 98 %% and at most 1 %%", k.name, r.inTime, r.offered, r.heldInVain)
		}
	}
}

// TestShortTargetServesByPriorityAndWork plays a primary that gets all reads of its group, because its replicas lag: short
// urgent statements, the bulk of session reads, and longer reads with an allowed age that have had another place to go.
// Together they have 1.3 times the work that the slots do. Routes above that nobody uses change nothing. The urgent ones
// are served in time; what the slots have left after them and after the starts that MaxBypasses guarantees goes to the
// session reads; and the aged ones get at least half of those starts.
func TestShortTargetServesByPriorityAndWork(t *testing.T) {
	const slots = 3
	bookings := loadKind{"bookings", ClassStrict, 1, 90 * time.Millisecond, 560 * time.Millisecond, 6 * time.Millisecond}
	checks := loadKind{"checks", ClassStrict, 2, 150 * time.Millisecond, 560 * time.Millisecond, 18 * time.Millisecond}
	boards := loadKind{"boards", ClassBoundedStaleness, 2, 300 * time.Millisecond, 1400 * time.Millisecond, 30 * time.Millisecond}
	results := playLoad(slots, map[loadKind]float64{bookings: 55, checks: 158, boards: 32})
	for k, r := range results {
		t.Logf("%s: %+v", k.name, *r)
	}
	urgent, session, aged := results[bookings], results[checks], results[boards]
	if float64(urgent.inTime) < 0.98*float64(urgent.offered) {
		t.Errorf("bookings: got %d of %d in time, want 98 %%", urgent.inTime, urgent.offered)
	}
	starts := float64(urgent.inTime + session.inTime + aged.inTime)
	guaranteed := starts / (MaxBypasses + 1)
	left := slots*playedTime.Seconds() - float64(urgent.offered)*bookings.work.Seconds() - guaranteed*boards.work.Seconds()
	if want := 0.9 * left / checks.work.Seconds(); float64(session.inTime) < want {
		t.Errorf("checks: got %d of %d in time, want %.0f, nine tenths of what the slots have left", session.inTime, session.offered, want)
	}
	if float64(aged.inTime+aged.late) < guaranteed/2 {
		t.Errorf("boards: got %d started, want at least %.0f", aged.inTime+aged.late, guaranteed/2)
	}
	if inVain := urgent.heldInVain + session.heldInVain + aged.heldInVain; float64(inVain) > 0.05*float64(urgent.offered+session.offered+aged.offered) {
		t.Errorf("got %d that waited in vain, want at most 5 %% of those offered", inVain)
	}
}
