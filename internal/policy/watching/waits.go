package watching

import "time"

const (
	// revokePercent is the part of the bound of withdrawn keys, in percent, for which a watch at the store is held open. A
	// proof that a reader uses is at most twice that old, and travel: it dates from when the watch before the running one
	// was sent. Two thirds of the bound are left to bridge a silence of the store.
	revokePercent = 24
	// minStoreWait is the least time of a watch at the store where keys are not withdrawn within a bound.
	minStoreWait = 500 * time.Millisecond
	// maxPeerWait bounds the time for which another daemon holds a request.
	maxPeerWait = 2 * time.Second
	// staleMargin is the time beyond two watches after which the proof of a watcher counts as old.
	staleMargin = 500 * time.Millisecond
)

// Bounds are the bounds of the deployment.
type Bounds struct {
	// ApplyWithin bounds the time until a configuration is in force.
	ApplyWithin time.Duration
	// RevokeWithin bounds the use of withdrawn keys; 0 for no bound, or for objects that hold no keys.
	RevokeWithin time.Duration
	// StoreTimeout bounds a call to the store, without its wait.
	StoreTimeout time.Duration
}

// Waits are the times for which requests are held open while nothing changes.
type Waits struct {
	// Store is for watches at the store.
	Store time.Duration
	// Peer is for requests to other daemons.
	Peer time.Duration
	// StaleAfter is the age at which the proof of a watcher counts as old.
	StaleAfter time.Duration
}

// DecideWaits decides the waits of a daemon. Where others depend on its watches, a watch that gets no answer must end
// early enough that they learn of a configuration elsewhere within the bound: a watch takes at most two fifths of it, and
// the call's time-out follows, after which its readers are told at once.
func DecideWaits(b Bounds, role Role) Waits {
	store := b.ApplyWithin - b.StoreTimeout
	if role != RoleDirect {
		store = b.ApplyWithin * 2 / 5
	}
	store = max(minStoreWait, store)
	if b.RevokeWithin > 0 {
		store = min(store, b.RevokeWithin*revokePercent/100)
	}
	return Waits{Store: store, Peer: min(store, maxPeerWait), StaleAfter: 2*store + staleMargin}
}

// ProofOffset returns the time from a proof to the arrival of the request that asks for it, both on the clock of the
// daemon that answers.
func ProofOffset(arrived, proof time.Duration) time.Duration { return arrived - proof }

// DateProof returns the date of a proof on the clock of the daemon that asked, which sent the request at sent and received
// the answer at received. The request arrived after it was sent, so the date is not later than the true one.
func DateProof(sent, received, offset time.Duration) time.Duration {
	return min(sent-offset, received)
}
