package engine

import (
	"testing"
	"time"

	"github.com/papayacove/papayacove/api"
	"github.com/papayacove/papayacove/internal/clock"
	"github.com/papayacove/papayacove/internal/policy/leadership"
	"github.com/papayacove/papayacove/internal/policy/primaryposition"
)

// TestLateReplyOfAReplicaIsNoSampleOfThePrimary receives the reply to a read that a replica got before it was promoted: commits
// that the old primary acknowledged before the read may be missing at its position.
func TestLateReplyOfAReplicaIsNoSampleOfThePrimary(t *testing.T) {
	g := newTestGroup(&fakeTarget{})
	g.samples = primaryposition.Samples{}
	now := clock.SinceBoot()
	asked := now - time.Millisecond
	g.applyStatusRound(map[string]leadership.Status{"b": leads(2, 14, now)}, now)
	g.recordRelayed(g.members["b"], "holder", &api.RelayReply{Group: "g", Target: "b", ProofTerm: 2, ProofChained: true}, now)
	if g.primary != "b" || g.provenUntil <= now {
		t.Fatalf("got primary %q with a leadership proof for %s, want b with a valid proof", g.primary, g.provenUntil-now)
	}
	g.recordReply(g.members["b"], Reply{Position: api.Position{Term: 1, Offset: 5}}, asked)
	if position, ok := g.samples.Oldest(asked, 0); ok {
		t.Errorf("got %v as the position of the primary before it led, want none", position)
	}
	asked = clock.SinceBoot()
	g.recordReply(g.members["b"], Reply{Position: api.Position{Term: 2, Offset: 14}}, asked)
	if position, ok := g.samples.Oldest(asked, 0); !ok || position.Offset != 14 {
		t.Errorf("got %v, known %t for a read at the primary, want offset 14", position, ok)
	}
}
