package quota

import (
	"maps"
	"slices"
	"time"
)

// lanesOf returns the lane of each daemon, given the zones: the zones are distributed over the lanes, and the daemons where
// there are fewer zones than lanes. Daemons that are not listed for a while keep their lanes, and so do the others.
func lanesOf(zoneOf map[string]string) map[string]int {
	zones := slices.Compact(slices.Sorted(maps.Values(zoneOf)))
	lanes := make(map[string]int, len(zoneOf))
	for i, name := range slices.Sorted(maps.Keys(zoneOf)) {
		lanes[name] = i % Lanes
		if len(zones) >= Lanes {
			lanes[name] = slices.Index(zones, zoneOf[name]) % Lanes
		}
	}
	return lanes
}

// fractionsOf returns the part of its rights that a daemon lends in each lane: all in its own lane, so that they stay in its
// zone, unless they are more than a lane counts.
func fractionsOf(weight float64, home int) [Lanes]float64 {
	var fractions [Lanes]float64
	for i := range fractions {
		if weight > 1.0/Lanes {
			fractions[i] = 1.0 / Lanes
		} else if i == home {
			fractions[i] = 1
		}
	}
	return fractions
}

// setFractions moves rights between lanes. Those that grow start when the loans of those that shrink have ended.
func (l *lending) setFractions(fractions [Lanes]float64, now time.Duration) {
	if fractions == l.fractions {
		return
	}
	freeAt := now
	for i, s := range l.shares {
		if fractions[i] < l.fractions[i] {
			freeAt = max(freeAt, s.startAt, s.freeAt, s.until)
		}
	}
	for i := range l.shares {
		s := &l.shares[i]
		if fractions[i] <= l.fractions[i] || l.fractions == [Lanes]float64{} {
			continue
		}
		s.freeAt, s.owns = max(s.freeAt, freeAt), false
		l.setOwn(i, 0, now)
	}
	l.fractions = fractions
}

// weightOf returns the weight of the rights of one lane.
func (l *lending) weightOf(i int) float64 { return l.weight * l.fractions[i] }
