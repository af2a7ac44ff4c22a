package feed

import (
	"expvar"
	"time"

	"github.com/papayacove/papayacove/internal/clock"
	"github.com/papayacove/papayacove/internal/policy/watching"
)

// Metrics of all feeds in the process; the kinds are few.
var (
	// storeCalls counts the calls to the store by call and kind.
	storeCalls = expvar.NewMap("feed_store_calls")
	// peerCalls counts the requests to other daemons, and answers those of other daemons, by kind.
	peerCalls = expvar.NewMap("feed_calls")
	answers   = expvar.NewMap("feed_answers")
	// failures counts the failures of sources by reason, and switches the changes of source by the tier changed to.
	failures = expvar.NewMap("feed_source_failures")
	switches = expvar.NewMap("feed_source_switches")
	// sources holds the tier of the source in use by kind.
	sources = expvar.NewMap("feed_source")
	// proofs holds the age of the proof in milliseconds by kind.
	proofs = expvar.NewMap("feed_proof_age_ms")
)

func setSource(kind string, tier watching.Tier) {
	name := new(expvar.String)
	name.Set(tier.String())
	sources.Set(kind, name)
}

// setProof publishes the age of a proof at the time it is read.
func setProof(kind string, asOf time.Duration) {
	proofs.Set(kind, expvar.Func(func() any { return (clock.SinceBoot() - asOf).Milliseconds() }))
}
