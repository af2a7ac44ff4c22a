// Package currency decides whether a daemon knows a configuration that is recent enough to act on.
//
// A proof is a time of the boot clock, which counts suspended time: every configuration that was acknowledged before it
// is in force here. A read of the store proves the time at which it was sent. A proof that another daemon passes on
// keeps its age. The load that this answers is that of keys withdrawn while daemons are partitioned from the store.
package currency

import "time"

// sendReserve is the part of the bound that is reserved for the way of a statement to its target.
const sendReserve = 200 * time.Millisecond

// Proof is the newest proof of a daemon. The zero value is that of a daemon without one. It is not safe for concurrent
// use.
type Proof struct {
	asOf   time.Duration
	exists bool
}

// Record takes a proof of a time of the boot clock. An older one than the known one has no effect.
func (p *Proof) Record(asOf time.Duration) {
	if !p.exists || asOf > p.asOf {
		p.asOf, p.exists = asOf, true
	}
}

// AsOf returns the time of the boot clock that is proved; false when there is none.
func (p *Proof) AsOf() (time.Duration, bool) { return p.asOf, p.exists }

// IsCurrent reports whether a statement may be sent at now if no withdrawn key may be in use later than bound after its
// withdrawal. A bound of 0 requires no proof.
func (p *Proof) IsCurrent(now, bound time.Duration) bool {
	return bound <= 0 || p.exists && now-p.asOf < bound-sendReserve
}
