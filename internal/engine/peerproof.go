package engine

import (
	"sync"
	"time"

	"github.com/papayacove/papayacove/api"
	"github.com/papayacove/papayacove/internal/clock"
	"github.com/papayacove/papayacove/internal/policy/leadership"
)

const (
	// peerProofInterval is the least time between two questions to the other daemons for their leadership proofs.
	peerProofInterval = 100 * time.Millisecond
	// peerProofTimeout bounds one question.
	peerProofTimeout = 200 * time.Millisecond
)

// peerProofs is the state of the questions to the other daemons for their leadership proofs of one group.
type peerProofs struct {
	// running is true during a question, and endedAt the time of the boot clock at which the last one ended.
	running bool
	endedAt time.Duration
}

// proofOf returns the term and the age of the leadership proof of a target, or 0 when there is no valid one.
func (g *group) proofOf(name string) (term uint64, age time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := clock.SinceBoot()
	if g.primary != name || g.provenUntil <= now {
		return 0, 0
	}
	return g.term, now - (g.provenUntil - leadership.ProofValidity)
}

// requestPeerProof asks the other holders of the primary for their leadership proof in the background, and reads the
// record of the promotion lock if they have none: a holder that has just started cannot start a chain of proofs from
// the targets, while those that have served in its place have one. A daemon that is no holder gets proofs with the
// replies of the holder. The caller holds the lock.
func (g *group) requestPeerProof() {
	now, p := clock.SinceBoot(), &g.peerProofs
	addresses := g.otherHolders(now)
	if len(addresses) == 0 {
		g.requestRecord()
		return
	}
	if p.running || p.endedAt != 0 && now-p.endedAt < peerProofInterval {
		return
	}
	p.running = true
	m := g.members[g.primary]
	g.inBackground(func() { g.proveByPeers(m, addresses) })
}

// otherHolders returns the addresses of the other daemons that may hold the primary, if this one holds it and it
// answers. The caller holds the lock.
func (g *group) otherHolders(now time.Duration) []string {
	m := g.members[g.primary]
	if m == nil || m.gate == nil || !g.mayUseHolders(m) || g.isPrimaryUnresponsive(now) {
		return nil
	}
	var addresses []string
	for _, h := range g.holderOrder(m) {
		if !h.isSelf && !g.peers.isAvoided(h.address) {
			addresses = append(addresses, h.address)
		}
	}
	return addresses
}

// proveByPeers records the leadership proofs that the daemons at the addresses have of the primary.
func (g *group) proveByPeers(m *member, addresses []string) {
	var pending sync.WaitGroup
	for _, address := range addresses {
		pending.Go(func() { g.askPeerProof(m, address) })
	}
	pending.Wait()
	g.mu.Lock()
	defer g.mu.Unlock()
	now := clock.SinceBoot()
	g.peerProofs = peerProofs{endedAt: now}
	if g.provenUntil <= now {
		g.requestRecord()
	}
}

// askPeerProof asks one daemon for its leadership proof. It is dated from before the request, so that it is no older
// than recorded.
func (g *group) askPeerProof(m *member, address string) {
	request := &api.RelayStatusRequest{Group: g.name, Target: m.name, ProofOnly: true}
	askedAt := clock.SinceBoot()
	reply, err := g.relays.Status(address, request, time.Now().Add(peerProofTimeout))
	if err != nil {
		g.peers.avoid(address, peerAvoidance, err)
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.recordPeerProof(m, address, reply.ProofTerm, askedAt-time.Duration(reply.ProofAgeUs)*time.Microsecond)
}

// proof returns the leadership proof that this daemon has of a target. It makes no call to the target.
func (s *RelaySession) proof(request *api.RelayStatusRequest) *api.RelayStatusReply {
	g, refused := s.engine.knownGroup(request.Group)
	if refused != nil {
		return &api.RelayStatusReply{Reason: refused.Error()}
	}
	term, age := g.proofOf(request.Target)
	return &api.RelayStatusReply{Held: true, ProofTerm: term, ProofAgeUs: age.Microseconds()}
}
