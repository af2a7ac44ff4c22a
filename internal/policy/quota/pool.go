package quota

import (
	"maps"
	"time"
)

// advanceStep is the least time between two additions of the lent weights.
const advanceStep = 10 * time.Millisecond

// right is the weight of one daemon in one lane, which counts until a time of the boot clock.
type right struct {
	weight float64
	until  time.Duration
	// stamp is the time of the message that the daemon echoed.
	stamp time.Duration
}

// rights fills the buckets of the workspaces with the weights of daemons.
type rights struct {
	lanes [Lanes]map[string]right
	// most is the largest sum of the weights of each lane that counts.
	most [Lanes]float64
	// weight is the sum of the weights, and credit its integral over time in seconds, both at time at.
	weight float64
	credit float64
	at     time.Duration
	stocks map[string]*stock
}

// stock is the number of tokens of one workspace that are not granted.
type stock struct {
	tokens float64
	bucket Bucket
	// credit is that of the rights up to which the bucket is filled.
	credit float64
	// granted holds what daemons may still spend.
	granted map[sender]granted
}

// sender is one start of a daemon.
type sender struct {
	daemon      string
	incarnation uint64
}

// granted is what one daemon holds of a workspace, at most, until a time of the boot clock.
type granted struct {
	tokens float64
	until  time.Duration
}

func newRights() *rights {
	r := &rights{stocks: make(map[string]*stock)}
	for i := range r.lanes {
		r.lanes[i], r.most[i] = make(map[string]right), 1.0/Lanes
	}
	return r
}

// set lends the right of a daemon in a lane; a weight of 0 takes it away.
func (r *rights) set(lane int, daemon string, lent right, now time.Duration) {
	known, ok := r.lanes[lane][daemon]
	if ok && known.weight == lent.weight && known.until > now && lent.until >= known.until {
		r.lanes[lane][daemon] = lent
		return
	}
	r.integrate(now)
	r.reweigh(now)
	if lent.weight <= 0 || lent.until <= now {
		delete(r.lanes[lane], daemon)
	} else {
		r.lanes[lane][daemon] = lent
	}
	r.reweigh(now)
}

// advance adds the weights up to now to the credit.
func (r *rights) advance(now time.Duration) {
	if now-r.at < advanceStep {
		return
	}
	r.integrate(now)
	r.reweigh(now)
}

// integrate adds the weights from r.at to now to the credit.
func (r *rights) integrate(now time.Duration) {
	if now <= r.at {
		return
	}
	for i, lane := range r.lanes {
		var sum float64
		for _, lent := range lane {
			sum += lent.weight * max(0, min(lent.until, now)-r.at).Seconds()
		}
		r.credit += min(sum, (now-r.at).Seconds()*r.most[i])
	}
	r.at = now
}

// reweigh sums the weights that count at now. All stocks are settled at each change, so that none keeps more than its
// weight allowed at any time.
func (r *rights) reweigh(now time.Duration) {
	var weight float64
	for i, lane := range r.lanes {
		var sum float64
		for daemon, lent := range lane {
			if lent.until <= now {
				delete(lane, daemon)
				continue
			}
			sum += lent.weight
		}
		weight += min(sum, r.most[i])
	}
	if weight == r.weight {
		return
	}
	lower := min(weight, r.weight)
	for _, s := range r.stocks {
		s.settle(r.credit, lower, now)
	}
	r.weight = weight
}

// addUnused adds a weight that filled no bucket for a time to the credit.
func (r *rights) addUnused(weight float64, unused time.Duration) {
	r.credit += weight * unused.Seconds()
}

// setMost sets the largest sum of the weights of each lane that counts.
func (r *rights) setMost(most [Lanes]float64, now time.Duration) {
	r.integrate(now)
	r.most = most
	r.reweigh(now)
}

// setBuckets sets the buckets of all limited workspaces. The stock of a new one is empty.
func (r *rights) setBuckets(buckets map[string]Bucket, now time.Duration) {
	r.integrate(now)
	r.reweigh(now)
	maps.DeleteFunc(r.stocks, func(workspace string, _ *stock) bool {
		_, ok := buckets[workspace]
		return !ok
	})
	for workspace, bucket := range buckets {
		s, ok := r.stocks[workspace]
		if !ok {
			s = &stock{credit: r.credit}
			r.stocks[workspace] = s
		}
		s.settle(r.credit, r.weight, now)
		s.bucket = bucket
		s.limit(r.weight, now)
	}
}

// stockOf returns the settled stock of a workspace; nil if the workspace has no limit.
func (r *rights) stockOf(workspace string, now time.Duration) *stock {
	r.advance(now)
	s, ok := r.stocks[workspace]
	if !ok {
		return nil
	}
	s.settle(r.credit, r.weight, now)
	return s
}

// settle fills the stock up to the credit, as far as its depth leaves room beside the tokens that daemons hold.
func (s *stock) settle(credit, weight float64, now time.Duration) {
	s.tokens += s.bucket.Rate * max(0, credit-s.credit)
	s.credit = credit
	s.limit(weight, now)
}

func (s *stock) limit(weight float64, now time.Duration) {
	held := 0.0
	for daemon, g := range s.granted {
		if g.until <= now {
			delete(s.granted, daemon)
			continue
		}
		held += g.tokens
	}
	s.tokens = max(0, min(s.tokens, s.bucket.Depth*weight-held))
}

// report takes in what a daemon holds and gives back of what it was granted.
func (s *stock) report(from sender, held, returned float64) {
	g, ok := s.granted[from]
	if !ok {
		return
	}
	held = min(held, g.tokens)
	s.tokens += min(returned, g.tokens-held)
	g.tokens = held
	s.granted[from] = g
}

// grant takes tokens out of the stock for a daemon.
func (s *stock) grant(to sender, tokens float64, until time.Duration) {
	if s.granted == nil {
		s.granted = make(map[sender]granted)
	}
	s.tokens -= tokens
	s.granted[to] = granted{tokens: s.granted[to].tokens + tokens, until: until}
}
