package admission

import "time"

// serviceTimeWeight is the weight of a new measurement in the moving averages.
const serviceTimeWeight = 0.1

// serviceTimes are the moving averages of the time that a batch holds a slot, in seconds: of all batches, and by lane, since
// the lanes carry different kinds of work.
type serviceTimes struct {
	all    float64
	byLane [lanes]float64
}

// of returns the time that a batch of the lane holds a slot; that of all batches until one of the lane is known.
func (s *serviceTimes) of(l lane) float64 {
	if s.byLane[l] > 0 {
		return s.byLane[l]
	}
	return s.all
}

// recordAny records the time of a batch of an unknown lane.
func (s *serviceTimes) recordAny(served time.Duration) {
	s.all += serviceTimeWeight * (served.Seconds() - s.all)
}

// record records the time of a batch of the lane.
func (s *serviceTimes) record(l lane, served time.Duration) {
	s.byLane[l] = s.of(l) + serviceTimeWeight*(served.Seconds()-s.of(l))
	s.recordAny(served)
}
