package quota

import (
	"math/rand"
	"testing"
	"time"
)

// TestAZoneThatIsCutOffTakesOnlyItsRightsAlong cuts one of three zones off while all workspaces send 0.7 of their limits to
// 36 daemons, and has the callers of the zone enter at the others two seconds later. The others have two thirds of the
// rights, which suffice until then: callers there get what they send, also in the seconds in which loans to coordinators
// in the cut zone have not ended yet.
func TestAZoneThatIsCutOffTakesOnlyItsRightsAlong(t *testing.T) {
	const cutAt, until = warmUp, warmUp + 5*time.Second
	l := newLoad(3, 36, rand.New(rand.NewSource(1)))
	s := newLendingScheme(l, rand.New(rand.NewSource(2)))
	random := rand.New(rand.NewSource(3))
	sent, refused := 0, 0
	for now := time.Duration(0); now < until; now += stepTime {
		if now == cutAt {
			s.cut(zoneName(0, 3))
		}
		s.step(stepTime)
		for _, name := range l.names {
			for range poisson(0.7*l.limits[name].RatePerS*stepTime.Seconds(), random) {
				d := l.entries[name][random.Intn(len(l.entries[name]))]
				if now >= cutAt && zoneName(d, 3) == zoneName(0, 3) {
					if now < cutAt+moveTime {
						continue
					}
					d++
				}
				isCounted := now >= cutAt
				s.offer(d, name, func(ok bool) {
					if isCounted {
						sent++
						if !ok {
							refused++
						}
					}
				})
			}
		}
	}
	if refused > 0 || sent == 0 {
		t.Errorf("got %d of %d operations refused after the zone was cut off, want none", refused, sent)
	}
}

// TestRestartOfAllServesFromTheRightsOfItsTime restarts 36 daemons within 200 ms while all workspaces send 0.6 of their limits.
// The buckets start empty, but the rights count from when the last daemon that could have used them has started, also those
// that are lent some hundred milliseconds later: in the first two seconds callers get what a bucket for each lane would
// give them that starts empty at the start of the last daemon, but for 4 % of what they send.
func TestRestartOfAllServesFromTheRightsOfItsTime(t *testing.T) {
	const restartAt, startWithin, length = warmUp, 200 * time.Millisecond, 2 * time.Second
	l := newLoad(3, 36, rand.New(rand.NewSource(1)))
	s := newLendingScheme(l, rand.New(rand.NewSource(2)))
	random := rand.New(rand.NewSource(3))
	startAt := make([]time.Duration, l.daemons)
	ideal := make(map[string]*[Lanes]bucketAt)
	for _, name := range l.names {
		ideal[name] = &[Lanes]bucketAt{}
		for lane := range Lanes {
			ideal[name][lane].at = restartAt + startWithin
		}
	}
	for d := range startAt {
		startAt[d] = restartAt + time.Duration(random.Int63n(int64(startWithin)))
	}
	sent, refused, owedTo := 0, 0, 0
	for now := time.Duration(0); now < restartAt+length; now += stepTime {
		for d, at := range startAt {
			if now == restartAt {
				s.freeze(d, at-now)
			}
			if now-stepTime < at && at <= now {
				s.restart(d)
			}
		}
		s.step(stepTime)
		for _, name := range l.names {
			for range poisson(0.6*l.limits[name].RatePerS*stepTime.Seconds(), random) {
				d := l.entries[name][random.Intn(len(l.entries[name]))]
				if now >= restartAt && now < startAt[d] {
					continue
				}
				isCounted := now >= restartAt+startWithin
				if isCounted {
					sent++
					bucket := l.window.BucketFor(l.limits[name])
					for lane := range Lanes {
						if ideal[name][lane].take(Bucket{bucket.Rate / Lanes, bucket.Depth / Lanes}, now) {
							owedTo++
							break
						}
					}
				}
				s.offer(d, name, func(ok bool) {
					if isCounted && !ok {
						refused++
					}
				})
			}
		}
	}
	if most := sent - owedTo + sent/25; refused > most {
		t.Errorf("got %d of %d operations refused after the restart, want at most %d: buckets that nobody waits for refuse %d", refused, sent, most, sent-owedTo)
	}
}
