package quota

import (
	"math/rand"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/papayacove/papayacove/internal/policy/placement"
)

// checkWindows fails the test if in any window more operations were sent than the depth and the rate allow.
func checkWindows(t interface{ Fatalf(string, ...any) }, workspace string, spent []time.Duration, bucket Bucket) {
	lowest, lowestAt := 0.0, time.Duration(0)
	for i, at := range spent {
		// The operations in (spent[j], at] are i-j; the largest i - j - rate x (at - spent[j]) is that of the lowest j.
		below := float64(i) - bucket.Rate*at.Seconds()
		if i == 0 || below < lowest {
			lowest, lowestAt = below, at
		}
		if over := below - lowest + 1 - bucket.Depth; over > 1e-6 {
			t.Fatalf("%s: got %.2f operations more than %+v allows from %s to %s", workspace, over, bucket, lowestAt, at)
		}
	}
}

// TestNoWindowExceedsTheBucket plays daemons under any loss, delay and doubling of messages, partitions, freezes, restarts
// and changes of the coordinators, the lanes and the rules of lending, and checks that the operations sent in any window
// stay within one bucket. By turns callers ask for more than the limit and for nothing.
func TestNoWindowExceedsTheBucket(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		random := rand.New(rand.NewSource(rapid.Int64().Draw(t, "seed")))
		lossPercent := rapid.IntRange(0, 60).Draw(t, "loss")
		slowPercent := rapid.IntRange(0, 60).Draw(t, "slow")
		disturbPercent := rapid.IntRange(0, 20).Draw(t, "disturbances")
		w := newWorld(3, rapid.IntRange(1, 9).Draw(t, "daemons"), func(from, to *player) []time.Duration {
			if from.side != to.side || random.Intn(100) < lossPercent {
				return nil
			}
			delay := time.Duration(random.Intn(20)) * time.Millisecond
			if random.Intn(100) < slowPercent {
				delay = time.Duration(random.Intn(6000)) * time.Millisecond
			}
			return []time.Duration{delay, delay + time.Duration(random.Intn(3000))*time.Millisecond}[:1+random.Intn(2)]
		}, random)
		// The depth is small beside what the rate gives while tokens or loans last, so that rights that count twice show.
		buckets := map[string]Bucket{"w1": {Rate: 200, Depth: 30}, "w2": {Rate: 20, Depth: 4}}
		spent := make(map[string][]time.Duration)
		fleet := func(p *player, present int) {
			f := NewFleet(p.name)
			for _, d := range w.daemons {
				f.Observe(append(f.members, placement.Member{Name: d.name, Zone: d.zone}), 0)
			}
			// The weight stays that of all daemons; the coordinators are those that are seen.
			weight := f.Weight(Registration{IsListed: true}, 0)
			f.members = f.members[:present]
			p.purse.SetFleet(weight, len(w.daemons), (f.Home()+p.laneOffset)%Lanes, f.Orders(), p.clock(w))
			p.coordinator.SetLaneWeights(f.LaneWeights(), p.clock(w))
		}
		for _, p := range w.daemons {
			w.setBuckets(p, buckets)
			fleet(p, len(w.daemons))
		}
		isBusy := true
		for range 900 {
			w.step(10 * time.Millisecond)
			if random.Intn(100) == 0 {
				isBusy = !isBusy
			}
			for _, p := range w.daemons {
				for range 6 {
					if w.now < p.frozenUntil || !isBusy {
						break
					}
					workspace := []string{"w1", "w2"}[random.Intn(2)]
					w.spend(p, waitingOperation{workspace: workspace, until: w.now + 150*time.Millisecond, done: func(ok bool) {
						if ok {
							spent[workspace] = append(spent[workspace], w.now)
						}
					}})
				}
			}
			if random.Intn(1000) >= disturbPercent {
				continue
			}
			p := w.daemons[random.Intn(len(w.daemons))]
			switch random.Intn(6) {
			case 0:
				p.frozenUntil = w.now + time.Duration(random.Intn(8000))*time.Millisecond
			case 1:
				w.start(p, random)
				if random.Intn(2) == 0 {
					// A version with other rules starts.
					p.laneOffset = random.Intn(Lanes)
					p.purse.SetEarlierRules(LendingRules+1, nil)
				}
				w.setBuckets(p, buckets)
				fleet(p, len(w.daemons))
			case 2:
				p.side = random.Intn(2)
			case 3:
				fleet(p, 1+random.Intn(len(w.daemons)))
			case 5:
				p.coordinator.End(p.clock(w))
			case 4:
				p.laneOffset = random.Intn(Lanes)
				fleet(p, len(w.daemons))
			}
		}
		for workspace, times := range spent {
			checkWindows(t, workspace, times, buckets[workspace])
		}
	})
}
