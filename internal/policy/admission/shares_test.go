package admission

import (
	"cmp"
	"container/heap"
	"fmt"
	"math/rand"
	"slices"
	"testing"
	"time"
)

// workspaceLoad is what one workspace asks of a played target.
type workspaceLoad struct {
	name string
	kind loadKind
	// perSecond is its usual load, and factor the multiple of it that it asks after warmUp.
	perSecond, factor float64
}

// served is what one workspace got after warmUp.
type served struct{ offered, inTime, late, refused int }

func (s served) part() float64 { return float64(s.inTime) / float64(max(1, s.offered)) }

const (
	warmUp    = 60 * time.Second
	hotPeriod = 15 * time.Second
)

// ending is the end of a batch that runs.
type ending struct {
	at    time.Time
	item  Item
	lasts time.Duration
}

type endings []ending

func (e endings) Len() int           { return len(e) }
func (e endings) Less(i, j int) bool { return e[i].at.Before(e[j].at) }
func (e endings) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *endings) Push(x any)        { *e = append(*e, x.(ending)) }
func (e *endings) Pop() any          { x := (*e)[len(*e)-1]; *e = (*e)[:len(*e)-1]; return x }

// playedSeeds is the number of times that a load is played, since a few seconds of one vary.
const playedSeeds = 5

// playShares offers the loads to a target of 3 slots and returns what each workspace got after warmUp, of all seeds together.
func playShares(byUsualLoad bool, loads []workspaceLoad) map[string]served {
	results := map[string]served{}
	for seed := range int64(playedSeeds) {
		playSharesOnce(seed, byUsualLoad, loads, results)
	}
	return results
}

// playSharesOnce plays the loads with one seed and adds what each workspace got to the results.
func playSharesOnce(seed int64, byUsualLoad bool, loads []workspaceLoad, results map[string]served) {
	random := rand.New(rand.NewSource(seed))
	q := New(Config{Slots: 3, QueueLength: 500, ServiceTime: 18 * time.Millisecond, ByUsualLoad: byUsualLoad})
	start := time.Unix(1_000_000, 0)
	warm := start.Add(warmUp)
	kinds, items, arrived := map[uint64]loadKind{}, map[uint64]Item{}, map[uint64]time.Time{}
	count := func(id uint64, change func(*served)) {
		if arrived[id].After(warm) {
			s := results[items[id].Workspace]
			change(&s)
			results[items[id].Workspace] = s
		}
	}
	var running endings
	begin := func(id uint64, now time.Time) {
		lasts := time.Duration(random.ExpFloat64() * float64(kinds[id].work))
		heap.Push(&running, ending{now.Add(lasts), items[id], lasts})
		inTime := now.Sub(arrived[id]) <= kinds[id].objective
		count(id, func(s *served) {
			if inTime {
				s.inTime++
			} else {
				s.late++
			}
		})
	}
	endUntil := func(now time.Time) {
		for len(running) > 0 && !running[0].at.After(now) {
			e := heap.Pop(&running).(ending)
			for _, s := range q.End(e.item, e.at, e.lasts) {
				begin(s.ID, e.at)
			}
			for _, r := range q.Expire(e.at) {
				count(r.ID, func(s *served) { s.refused++ })
			}
		}
	}
	id := uint64(0)
	for now := start; now.Before(warm.Add(hotPeriod)); {
		rates, total := make([]float64, len(loads)), 0.0
		for i, l := range loads {
			rates[i] = l.perSecond
			if now.After(warm) {
				rates[i] *= l.factor
			}
			total += rates[i]
		}
		now = now.Add(time.Duration(random.ExpFloat64() / total * float64(time.Second)))
		endUntil(now)
		drawn, pick := random.Float64()*total, 0
		for ; pick < len(loads)-1 && drawn >= rates[pick]; pick++ {
			drawn -= rates[pick]
		}
		id++
		item := loads[pick].kind.item(id, now)
		item.Workspace = loads[pick].name
		kinds[id], items[id], arrived[id] = loads[pick].kind, *item, now
		count(id, func(s *served) { s.offered++ })
		d := q.Offer(*item, now)
		if d.Displaced != nil {
			count(d.Displaced.ID, func(s *served) { s.refused++ })
		}
		switch d.Outcome {
		case Started:
			begin(id, now)
		case Refused:
			count(id, func(s *served) { s.refused++ })
		}
	}
}

// The kinds of batches of the three lanes that a target carries.
var (
	filings = loadKind{"filings", ClassStrict, 1, 110 * time.Millisecond, 560 * time.Millisecond, 6 * time.Millisecond}
	checks  = loadKind{"checks", ClassStrict, 2, 190 * time.Millisecond, 560 * time.Millisecond, 18 * time.Millisecond}
	lookups = loadKind{"lookups", ClassBoundedStaleness, 2, 750 * time.Millisecond, 1400 * time.Millisecond, 30 * time.Millisecond}
)

// zipfLoads returns the loads of 30 workspaces in all three lanes, with the given number of checks per second together. The
// workspace hot asks factor times its usual after warmUp.
func zipfLoads(perSecond float64, hot int, factor float64, hotKinds ...loadKind) []workspaceLoad {
	const workspaces = 30
	total := 0.0
	for i := range workspaces {
		total += 1 / float64(i+1)
	}
	var loads []workspaceLoad
	for i := range workspaces {
		for kind, part := range map[loadKind]float64{filings: 0.2, checks: 1, lookups: 0.35} {
			l := workspaceLoad{fmt.Sprint(i), kind, perSecond * part / float64(i+1) / total, 1}
			for _, k := range hotKinds {
				if i == hot && k == kind {
					l.factor = factor
				}
			}
			loads = append(loads, l)
		}
	}
	return sortedLoads(loads)
}

// othersServed returns the part of the batches served in time of all workspaces but one, together and the least.
func othersServed(results map[string]served, but string) (all, worst float64) {
	var sum served
	worst = 1
	for name, s := range results {
		if name != but {
			sum.offered, sum.inTime = sum.offered+s.offered, sum.inTime+s.inTime
			if s.offered >= 30*playedSeeds {
				worst = min(worst, s.part())
			}
		}
	}
	return sum.part(), worst
}

// TestHotWorkspaceTakesNoRoomOfOthers plays 30 workspaces that use three quarters of a target, of which one asks 7.5 times
// its usual after a minute, in all lanes, or in the urgent one alone. The others are served as before; its excess waits and is refused;
// and it gets at least its usual and what the others leave.
func TestHotWorkspaceTakesNoRoomOfOthers(t *testing.T) {
	const hot = 1
	cases := []struct {
		name  string
		kinds []loadKind
		// factor is chosen so that the excess alone is more than what the others leave.
		factor float64
	}{
		{"in all lanes", []loadKind{filings, checks, lookups}, 7.5},
		{"in the urgent lane", []loadKind{filings}, 75},
	}
	for _, c := range cases {
		loads := zipfLoads(72, hot, c.factor, c.kinds...)
		alike, shared := playShares(false, loads), playShares(true, loads)
		alikeAll, alikeWorst := othersServed(alike, "1")
		all, worst := othersServed(shared, "1")
		t.Logf("%s: others in time %.3f (worst workspace %.3f), hot %+v; round-robin %.3f (%.3f), hot %+v", c.name, all, worst, shared["1"], alikeAll, alikeWorst, alike["1"])
		if all < 0.96 {
			t.Errorf("%s: got %.3f of the others in time, want 0.96", c.name, all)
		}
		if usual := float64(shared["1"].offered) / c.factor; float64(shared["1"].inTime+shared["1"].late) < usual {
			t.Errorf("%s: got %d of the hot workspace served, want at least its usual %.0f", c.name, shared["1"].inTime+shared["1"].late, usual)
		}
	}
}

// TestShortTargetIsSharedByUsualLoad plays a target that gets 1.3 times what it serves, from each workspace in proportion to
// its usual load: the large ones get their part of it too, whereas by turns they get what the small ones leave.
func TestShortTargetIsSharedByUsualLoad(t *testing.T) {
	loads := zipfLoads(95, 0, 1)
	for i := range loads {
		loads[i].factor = 1.3
	}
	alike, shared := playShares(false, loads), playShares(true, loads)
	all, _ := othersServed(shared, "")
	alikeAll, _ := othersServed(alike, "")
	t.Logf("in time %.3f, largest workspace %.3f; round-robin %.3f, %.3f", all, shared["0"].part(), alikeAll, alike["0"].part())
	if shared["0"].part() < 0.92*all {
		t.Errorf("got %.3f of the largest workspace in time, want 0.92 of the %.3f of all", shared["0"].part(), all)
	}
	if all < 0.95*alikeAll {
		t.Errorf("got %.3f in time, want no less than the %.3f by turns", all, alikeAll)
	}
}

// TestExpectedWaitFollowsTheWorkAhead lets statements of 6, 18 and 30 ms alternate, and offers one of the urgent lane behind
// ten others of it, and one of the lowest lane behind ten of its own. With one average of all, both waits are the same.
func TestExpectedWaitFollowsTheWorkAhead(t *testing.T) {
	for _, k := range []loadKind{filings, lookups} {
		q := New(Config{Slots: 1, QueueLength: 100, ServiceTime: 18 * time.Millisecond})
		for i := range 300 {
			kind := []loadKind{filings, checks, lookups}[i%3]
			q.Offer(*kind.item(uint64(i), at(10*i)), at(10*i))
			q.End(*kind.item(uint64(i), at(10*i)), at(10*i), kind.work)
		}
		now := at(60_000)
		for i := range 11 {
			item := k.item(uint64(1000+i), now)
			item.Deadline, item.ExpectedStartBy = now.Add(time.Minute), now.Add(time.Minute)
			q.Offer(*item, now)
		}
		last := k.item(2000, now)
		last.Deadline, last.ExpectedStartBy = now.Add(time.Minute), now.Add(time.Minute)
		d := q.Offer(*last, now)
		low, high := 10*k.work, 10*k.work+25*time.Millisecond
		if d.ExpectedWait < low || d.ExpectedWait > high {
			t.Errorf("%s: got an expected wait of %s behind ten of %s, want %s to %s", k.name, d.ExpectedWait, k.work, low, high)
		}
		if backlog := q.Backlog(); backlog < 10*k.work || backlog > 12*k.work {
			t.Errorf("%s: got a backlog of %s for eleven of %s", k.name, backlog, k.work)
		}
	}
}

// sortedLoads returns the loads in a fixed order.
func sortedLoads(loads []workspaceLoad) []workspaceLoad {
	slices.SortFunc(loads, func(a, b workspaceLoad) int {
		return cmp.Or(cmp.Compare(a.perSecond, b.perSecond), cmp.Compare(a.name, b.name))
	})
	return loads
}

// TestExcessEnds lets a workspace use the slot for 10 s that others leave it, far beyond its usual, and then others keep the slot
// busy: the workspace waits, and its next batch starts within 3 s, in the lane above and in the one below the others.
func TestExcessEnds(t *testing.T) {
	for _, kind := range []loadKind{filings, lookups} {
		q := New(Config{Slots: 1, QueueLength: 500, ByUsualLoad: true})
		id := uint64(0)
		offer := func(workspace string, kind loadKind, now time.Time) uint64 {
			id++
			q.Offer(Item{ID: id, Workspace: workspace, Class: kind.class, Priority: kind.priority, Deadline: now.Add(time.Hour)}, now)
			return id
		}
		// Each batch takes 10 ms. For a minute the others use nine parts of ten.
		runs, now := "", start
		step := func() (started []uint64) {
			now = now.Add(10 * time.Millisecond)
			for _, s := range q.End(Item{Workspace: runs, Class: ClassStrict, Priority: 2}, now, 10*time.Millisecond) {
				runs, started = s.Workspace, append(started, s.ID)
			}
			return started
		}
		runs = "hot"
		offer("hot", checks, now)
		for i := range 6000 {
			workspace := fmt.Sprint("other-", i%3)
			if i%10 == 0 {
				workspace = "hot"
			}
			offer(workspace, checks, now)
			step()
		}
		for range 1000 {
			offer("hot", checks, now)
			step()
		}
		if !q.isInExcess("hot", now) {
			t.Fatal("after 10 s of the whole slot: got no excess, want one")
		}
		began, waiting := now, offer("hot", kind, now)
		for started := false; !started; {
			for w := range 3 {
				offer(fmt.Sprint("other-", w), checks, now)
			}
			for _, s := range step() {
				started = started || s == waiting
			}
			if now.Sub(began) > 3*time.Second {
				t.Fatalf("%s: got no start of the workspace in 3 s", kind.name)
			}
		}
		if now.Sub(began) < 500*time.Millisecond && kind == filings {
			t.Errorf("%s: got a start after %s while others waited, want the excess to wait", kind.name, now.Sub(began))
		}
	}
}
