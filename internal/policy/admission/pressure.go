package admission

import (
	"math"
	"time"
)

// pressureTime is the time constant with which starts are forgotten that measure the pressure of a class. Trials with 2,
// 3 and 5 s let more batches wait in vain in TestLastingOverloadRefusesEarly.
const pressureTime = time.Second

// pressure measures how many batches of each class start in a second. Batches of higher classes that arrive later start
// before a waiting one, so that under lasting load it waits longer than for those that are ahead of it now.
type pressure struct {
	// starts are the numbers of starts by class, each weighted by its age.
	starts [classes]float64
	at     time.Time
}

// decay reduces the weights to the time now.
func (p *pressure) decay(now time.Time) {
	if passed := now.Sub(p.at); passed > 0 {
		factor := math.Exp(-passed.Seconds() / pressureTime.Seconds())
		for c := range p.starts {
			p.starts[c] *= factor
		}
		p.at = now
	}
}

// started records the start of a batch.
func (p *pressure) started(c Class, now time.Time) {
	p.decay(now)
	p.starts[c]++
}

// shareLeft returns the share of the slots that the classes above c leave, at least half of what MaxBypasses would
// guarantee to a single class.
func (p *pressure) shareLeft(c Class, serviceTime float64, slots int, now time.Time) float64 {
	p.decay(now)
	higher := 0.0
	for above := Class(0); above < c; above++ {
		higher += p.starts[above]
	}
	used := higher / pressureTime.Seconds() * serviceTime / float64(max(1, slots))
	return max(1-used, 0.5/(MaxBypasses+1))
}
