package admission

import (
	"math"
	"time"
)

// pressureTime is the time constant with which starts are forgotten that measure the pressure of a lane. Trials with 2,
// 3 and 5 s let more batches wait in vain in TestLastingOverloadRefusesEarly.
const pressureTime = time.Second

// minShareLeft is the least share of the slots that a lane is taken to have left: bursts of higher lanes pass, and no lane
// waits for more than MaxBypasses of them.
const minShareLeft = 1.0 / 18

// pressure measures how many batches of each lane start in a second. Batches of higher lanes that arrive later start
// before a waiting one, so that under lasting load it waits longer than for those that are ahead of it now.
type pressure struct {
	// starts are the numbers of starts by lane, each weighted by its age.
	starts [lanes]float64
	at     time.Time
}

// decay reduces the weights to the time now.
func (p *pressure) decay(now time.Time) {
	if passed := now.Sub(p.at); passed > 0 {
		factor := math.Exp(-passed.Seconds() / pressureTime.Seconds())
		for l := range p.starts {
			p.starts[l] *= factor
		}
		p.at = now
	}
}

// started records the start of a batch.
func (p *pressure) started(l lane, now time.Time) {
	p.decay(now)
	p.starts[l]++
}

// shareLeft returns the share of the slots that the lanes above l leave, at least minShareLeft.
func (p *pressure) shareLeft(l lane, service *serviceTimes, slots int, now time.Time) float64 {
	p.decay(now)
	higher := 0.0
	for above := range l {
		higher += p.starts[above] * service.of(above)
	}
	used := higher / pressureTime.Seconds() / float64(max(1, slots))
	return max(1-used, minShareLeft)
}
