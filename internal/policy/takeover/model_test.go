package takeover

import (
	"flag"
	"fmt"
	"maps"
	"os"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/papayacove/papayacove/api"
	"github.com/papayacove/papayacove/internal/policy/leadership"
)

// TestMain sets the seed and the number of runs of the property tests unless they are given as flags. The number is
// high because few of the drawn histories reach a promotion.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string][2]string{"rapid.seed": {"0", "1"}, "rapid.checks": {"100", "5000"}} {
		if flag.Lookup(name).Value.String() != value[0] {
			continue
		}
		if err := flag.Set(name, value[1]); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
	}
	os.Exit(m.Run())
}

// maxJoinDelay is the longest time after a promotion at which a target joins the new primary.
const maxJoinDelay = time.Second

// modelTarget is one target of the model. Its log is a list of the positions of its commits.
type modelTarget struct {
	role   leadership.Role
	term   uint64
	paused uint64
	log    []api.Position
	up     bool
	// leaving is true once the target has announced its shutdown; it is an acknowledging replica until it is gone.
	leaving bool
	// pauseEndsAt is the time at which the last promotion ends a pause of this target once more, because the target
	// joins the new primary then; 0 for none.
	pauseEndsAt time.Duration
}

// modelGroup is a group of three targets, together with the acknowledged commits that the checks refer to. Steps of a
// promotion interleave with commits, crashes and network partitions.
type modelGroup struct {
	now     time.Duration
	targets map[string]*modelTarget
	acked   []api.Position
	next    uint64
	// partitioned holds the pairs of targets that do not reach each other, each pair in order of the names.
	partitioned map[[2]string]bool
	// unreached are the targets that the promoter does not reach.
	unreached map[string]bool
	// keepsUnreachedPauses is true if a promotion does not end the pauses of replicas that the new primary does not reach.
	keepsUnreachedPauses bool
	promoter             *modelPromoter
	// pending is the promotion that was ordered and has not taken effect; nil for none.
	pending *pendingPromotion
	// settled is the term that the record of the promotion lock states; 0 if it is not known.
	settled uint64
	// proofFor and proofTerm are the primary that a daemon presumes and its term; proofUntil is the time at which the
	// daemon's leadership proof for it expires.
	proofUntil time.Duration
	proofFor   string
	proofTerm  uint64
	// statuses are the newest answers that the daemon has.
	statuses map[string]leadership.Status
	// termSeenAt is the time at which the daemon first saw proofTerm.
	termSeenAt time.Duration
	promotions int
	reads      int
	// chained, started and recorded count the proofs by one witness, by the statuses of all, and by the record of the
	// lock.
	chained, started, recorded int
	// samples counts the checked positions of a proved primary.
	samples int
}

// modelPromoter is the state of one promotion, which runs step by step.
type modelPromoter struct {
	old      string
	term     uint64
	replicas []string
	paused   map[string]leadership.Status
	pausedAt time.Duration
	demoted  *leadership.Status
	// steppedDownAt is the time at which demoted was set.
	steppedDownAt time.Duration
	choice        Choice
}

// pendingPromotion is an order to promote that takes effect at a time, unless the target has crashed since: an order is
// for the process that runs.
type pendingPromotion struct {
	target     string
	at         time.Duration
	crashed    bool
	takeEffect func()
}

// maxEffectDelay is the longest time from an order to promote to its effect.
const maxEffectDelay = time.Second

func newModelGroup() *modelGroup {
	g := &modelGroup{targets: map[string]*modelTarget{}, partitioned: map[[2]string]bool{}, unreached: map[string]bool{}, statuses: map[string]leadership.Status{}}
	for _, name := range []string{"a", "b", "c"} {
		g.targets[name] = &modelTarget{role: leadership.RoleReplica, term: 1, up: true}
	}
	g.targets["a"].role = leadership.RolePrimary
	return g
}

// advance lets time pass, and the ordered promotion take effect.
func (g *modelGroup) advance(d time.Duration) {
	if p := g.pending; p != nil && p.at <= g.now+d {
		d -= max(0, p.at-g.now)
		g.now = max(g.now, p.at)
		g.pending, g.settled = nil, 0
		if !p.crashed {
			p.takeEffect()
		}
	}
	g.now += d
	for _, target := range g.targets {
		if target.pauseEndsAt != 0 && target.pauseEndsAt <= g.now {
			target.paused, target.pauseEndsAt = 0, 0
		}
	}
}

// pauseLeaving pauses the leaving replicas of the presumed term, as any daemon does outside promotions.
func (g *modelGroup) pauseLeaving() {
	for _, name := range slices.Sorted(maps.Keys(g.targets)) {
		target := g.targets[name]
		if !target.leaving || !g.isReached(name) || target.role != leadership.RoleReplica || target.term != g.proofTerm {
			continue
		}
		target.paused = max(target.paused, g.proofTerm+1)
	}
}

func (g *modelGroup) isPartitioned(a, b string) bool {
	return g.partitioned[[2]string{min(a, b), max(a, b)}]
}

func (g *modelGroup) status(name string) leadership.Status {
	t := g.targets[name]
	s := leadership.Status{Role: t.role, Term: t.term, PausedTerm: t.paused, AskedAt: g.now}
	if len(t.log) > 0 {
		s.Received = t.log[len(t.log)-1]
	}
	return s
}

// replicate sends the primary's log to those of the replicas that follow it and for which only is true, and reports
// whether one has received it.
func (g *modelGroup) replicate(primary string, only func(string) bool) bool {
	p := g.targets[primary]
	received := false
	for _, name := range slices.Sorted(maps.Keys(g.targets)) {
		t := g.targets[name]
		if name == primary || !t.up || t.role != leadership.RoleReplica || t.paused > p.term || t.term > p.term || g.isPartitioned(primary, name) || !only(name) {
			continue
		}
		t.term, t.log, t.paused = p.term, slices.Clone(p.log), 0
		received = true
	}
	return received
}

// commit writes a commit at every target that has the role of primary, and acknowledges it if a replica has received it
// and the caller is told so: the daemon that sent it holds a proof. Before the next promotion is ordered, another
// daemon may hold one.
func (g *modelGroup) commit(t *rapid.T) {
	lagging := rapid.SampledFrom([]string{"", "a", "b", "c"}).Draw(t, "lagging")
	for _, name := range slices.Sorted(maps.Keys(g.targets)) {
		p := g.targets[name]
		if !p.up || p.role != leadership.RolePrimary {
			continue
		}
		g.next++
		position := api.Position{Term: p.term, Offset: g.next}
		p.log = append(slices.Clone(p.log), position)
		received := g.replicate(name, func(replica string) bool { return replica != lagging })
		if received && (g.isProved(name) || p.term == g.newestTerm() && g.pending == nil) {
			g.acked = append(g.acked, position)
		}
	}
}

// isProved reports whether the daemon has a valid leadership proof of a target in its present term.
func (g *modelGroup) isProved(name string) bool {
	return g.proofFor == name && g.proofTerm == g.targets[name].term && g.now < g.proofUntil
}

// newestTerm returns the newest term.
func (g *modelGroup) newestTerm() uint64 {
	var term uint64
	for _, target := range g.targets {
		term = max(term, target.term)
	}
	return term
}

// isReached reports whether the promoter reaches a target.
func (g *modelGroup) isReached(name string) bool { return g.targets[name].up && !g.unreached[name] }

// reachedStatuses returns the answers that a status round of the promoter gets.
func (g *modelGroup) reachedStatuses() map[string]leadership.Status {
	statuses := map[string]leadership.Status{}
	for _, name := range slices.Sorted(maps.Keys(g.targets)) {
		if g.isReached(name) {
			statuses[name] = g.status(name)
		}
	}
	return statuses
}

// begin starts a promotion against a drawn old primary; it replaces the one that was running. There is none while
// another was ordered, whose promoter holds the lock.
func (g *modelGroup) begin(t *rapid.T) {
	if g.pending == nil {
		g.beginAgainst(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "suspected"))
	}
}

func (g *modelGroup) beginAgainst(old string) {
	p := &modelPromoter{paused: map[string]leadership.Status{}, old: old}
	for _, name := range slices.Sorted(maps.Keys(g.targets)) {
		target := g.targets[name]
		p.term = max(p.term, target.term+1, target.paused)
		if name != p.old {
			p.replicas = append(p.replicas, name)
		}
	}
	slices.Sort(p.replicas)
	g.promoter = p
}

// pauseAll begins a promotion and pauses all replicas that the promoter reaches.
func (g *modelGroup) pauseAll(t *rapid.T) {
	g.begin(t)
	if g.promoter == nil {
		return
	}
	for _, name := range g.promoter.replicas {
		g.pauseOne(name)
	}
}

// pause pauses a drawn replica, if the promoter reaches it.
func (g *modelGroup) pause(t *rapid.T) {
	p := g.promoter
	if len(p.replicas) > 0 {
		g.pauseOne(rapid.SampledFrom(p.replicas).Draw(t, "pause"))
	}
}

func (g *modelGroup) pauseOne(name string) {
	p := g.promoter
	target := g.targets[name]
	if !g.isReached(name) || target.role != leadership.RoleReplica {
		return
	}
	target.paused = max(target.paused, p.term)
	p.paused[name] = g.status(name)
	p.pausedAt = g.now
}

// stepDown demotes the old primary, if the promoter reaches it and it still leads.
func (g *modelGroup) stepDown() {
	p := g.promoter
	target, ok := g.targets[p.old]
	leader, _, led := leadership.Leader(g.reachedStatuses())
	if !ok || !g.isReached(p.old) || target.term >= p.term || !led || leader != p.old {
		return
	}
	target.role = leadership.RoleReplica
	s := g.status(p.old)
	p.demoted, p.steppedDownAt = &s, g.now
}

// promote promotes the chosen target once the leadership proofs have expired, and checks that it has every acknowledged
// commit.
func (g *modelGroup) promote(t rapid.TB, joinsAfter time.Duration) {
	if !g.choose() {
		return
	}
	g.takeEffect(t, g.promoter.choice.Target, joinsAfter)
	g.promoter = nil
}

// choose chooses the target and reports whether it may be promoted now.
func (g *modelGroup) choose() bool {
	p := g.promoter
	p.choice = Choose(p.replicas, p.paused, p.demoted, func(name string) bool { return g.targets[name].leaving })
	if p.choice.Target == "" || g.now < EarliestOrder(p.pausedAt, p.steppedDownAt) {
		return false
	}
	return g.targets[p.choice.Target].up && StillPaused(p.paused, g.reachedStatuses())
}

// takeEffect makes a target the primary, and checks that it has every acknowledged commit.
func (g *modelGroup) takeEffect(t rapid.TB, name string, joinsAfter time.Duration) {
	chosen := g.targets[name]
	g.promotions++
	for _, position := range g.acked {
		if !slices.Contains(chosen.log, position) {
			t.Fatalf("promoted %s without the acknowledged commit %v: got log %v", name, position, chosen.log)
		}
	}
	var term uint64
	for _, target := range g.targets {
		term = max(term, target.term)
	}
	chosen.role, chosen.term, chosen.paused = leadership.RolePrimary, term+1, 0
	for _, other := range slices.Sorted(maps.Keys(g.targets)) {
		target := g.targets[other]
		if other != name && target.role == leadership.RoleReplica && target.up && !g.keepsUnreachedPauses {
			// The platform ends the pauses of all replicas, also of those that the new primary does not reach.
			target.paused = 0
		}
		// Those that it reaches follow it, and their logs are truncated if they were ahead.
		if other != name && target.role == leadership.RoleReplica && target.up && !g.isPartitioned(other, name) {
			target.term, target.paused, target.log = chosen.term, 0, slices.Clone(chosen.log)
			target.pauseEndsAt = g.now + joinsAfter
		}
	}
}

// order orders the promotion of the chosen target once the leadership proofs have expired.
func (g *modelGroup) order(t rapid.TB, joinsAfter, effectAfter time.Duration, provesIt bool) {
	if !g.choose() {
		return
	}
	name := g.promoter.choice.Target
	g.promoter = nil
	g.pending = &pendingPromotion{target: name, at: g.now + effectAfter, takeEffect: func() {
		g.takeEffect(t, name, joinsAfter)
		g.settled = g.targets[name].term
		if provesIt {
			g.proveByPromotion(name)
		}
	}}
	g.advance(0)
}

// proveByPromotion lets the daemon that promoted a target see it lead while it holds the lock.
func (g *modelGroup) proveByPromotion(name string) {
	g.statuses[name] = g.status(name)
	g.updatePrimary()
	if g.proofFor == name {
		g.proofUntil = g.now + leadership.ProofValidity
	}
}

// giveUp ends a promotion that has not ordered anything, and resumes the replicas that it has paused.
func (g *modelGroup) giveUp() {
	for name := range g.promoter.paused {
		if g.isReached(name) {
			g.targets[name].paused = 0
		}
	}
	g.promoter = nil
}

// basis returns what a daemon knows that has known all targets of the model for long.
func (g *modelGroup) basis() leadership.Basis {
	return leadership.Basis{
		Members: slices.Sorted(maps.Keys(g.targets)), IsChained: g.now < g.proofUntil, IsComplete: true, NeedsReplica: true,
	}
}

// prove lets a daemon obtain a leadership proof for the primary it presumes, from the answers of some targets.
func (g *modelGroup) prove(t *rapid.T) {
	for _, name := range slices.Sorted(maps.Keys(g.targets)) {
		if g.targets[name].up && rapid.Bool().Draw(t, "answers_"+name) {
			g.statuses[name] = g.status(name)
		}
	}
	g.updatePrimary()
	g.applyProof(g.basis())
}

// proveByAll lets a daemon ask all targets.
func (g *modelGroup) proveByAll() {
	for name, target := range g.targets {
		if target.up {
			g.statuses[name] = g.status(name)
		}
	}
	g.updatePrimary()
	g.applyProof(g.basis())
}

// updatePrimary does what a daemon does after status calls.
func (g *modelGroup) updatePrimary() {
	leader, term, ok := leadership.Leader(g.statuses)
	if !ok {
		leader, term = "", g.proofTerm
	}
	if term != g.proofTerm {
		g.proofUntil, g.termSeenAt = 0, g.now
	}
	g.proofFor, g.proofTerm = leader, term
}

// applyProof records the proof that follows from the statuses.
func (g *modelGroup) applyProof(basis leadership.Basis) {
	proof, proved := leadership.ProvenAt(g.statuses, g.proofFor, g.proofTerm, basis)
	if !proved || proof.At+leadership.ProofValidity <= g.proofUntil {
		return
	}
	if basis.IsChained {
		g.chained++
	} else {
		g.started++
	}
	g.proofUntil = proof.At + leadership.ProofValidity
}

// proveByRecord lets a daemon read the record of the promotion lock.
func (g *modelGroup) proveByRecord() {
	if g.promoter != nil || g.pending != nil || g.settled == 0 {
		return
	}
	proof, proved := leadership.ProvenByRecord(g.statuses[g.proofFor], g.proofFor, g.proofTerm, g.settled, g.now)
	if proved && proof.At+leadership.ProofValidity > g.proofUntil {
		g.proofUntil = proof.At + leadership.ProofValidity
		g.recorded++
	}
}

// checkSample checks that a position which the presumed primary reports within a leadership proof covers every
// acknowledged commit: reads with an allowed age that begin later must not fall behind it.
func (g *modelGroup) checkSample(t *rapid.T) {
	// An answer of this time is one of this round then.
	g.advance(time.Millisecond)
	g.prove(t)
	own := g.statuses[g.proofFor]
	if own.Role != leadership.RolePrimary || own.Term != g.proofTerm || own.AskedAt != g.now || g.now >= g.proofUntil {
		return
	}
	g.samples++
	for _, acked := range g.acked {
		if own.Received.Compare(acked) < 0 {
			t.Fatalf("position of the proved primary: got %v in term %d, want at least the acknowledged commit %v",
				own.Received, g.proofTerm, acked)
		}
	}
}

// read checks that a read at a primary with a valid leadership proof sees every acknowledged commit.
func (g *modelGroup) read(t *rapid.T) {
	target, ok := g.targets[g.proofFor]
	if !ok || g.now >= g.proofUntil || !target.up || target.term != g.proofTerm {
		return
	}
	g.reads++
	for _, position := range g.acked {
		if !slices.Contains(target.log, position) {
			t.Fatalf("read at %s in term %d: acknowledged commit %v is missing", g.proofFor, g.proofTerm, position)
		}
	}
}

// drawDelay draws a time of whole milliseconds.
func drawDelay(t *rapid.T, most time.Duration, label string) time.Duration {
	return time.Duration(rapid.IntRange(0, int(most/time.Millisecond)).Draw(t, label)) * time.Millisecond
}

// drawOrder orders the promotion with drawn delays.
func (g *modelGroup) drawOrder(t *rapid.T) {
	joinsAfter, effectAfter := drawDelay(t, maxJoinDelay, "joins_after"), drawDelay(t, maxEffectDelay, "effect_after")
	g.order(t, joinsAfter, effectAfter, rapid.Bool().Draw(t, "is_promoter"))
}

// restart takes a target down, or brings one back with its log, as a replica if another target has a later term.
func (g *modelGroup) restart(name string, up bool) {
	target := g.targets[name]
	if up == target.up {
		return
	}
	target.up = up
	if !up {
		if g.pending != nil && g.pending.target == name {
			g.pending.crashed = true
		}
		return
	}
	target.paused, target.pauseEndsAt = 0, 0
	for other, o := range g.targets {
		if other != name && o.term > target.term {
			target.role = leadership.RoleReplica
		}
	}
}

// TestPromotionKeepsAcknowledgedCommits interleaves commits, crashes, partitions, pauses, promotions that take effect
// some time after the order, and a daemon that reads and passes commits on within a chain of leadership proofs. It
// guards against a promotion, and against reads at an old primary, that miss an acknowledged commit.
func TestPromotionKeepsAcknowledgedCommits(t *testing.T) {
	promotions, reads, samples, chained, started, recorded := 0, 0, 0, 0, 0, 0
	rapid.Check(t, func(t *rapid.T) {
		g := newModelGroup()
		defer func() {
			promotions, reads, samples = promotions+g.promotions, reads+g.reads, samples+g.samples
			chained, started, recorded = chained+g.chained, started+g.started, recorded+g.recorded
		}()
		names := []string{"a", "b", "c"}
		drawName := func(t *rapid.T, label string) string { return rapid.SampledFrom(names).Draw(t, label) }
		t.Repeat(map[string]func(*rapid.T){
			"commit": g.commit,
			"time":   func(t *rapid.T) { g.advance(time.Duration(rapid.IntRange(1, 600).Draw(t, "ms")) * time.Millisecond) },
			"cut": func(t *rapid.T) {
				a, b := drawName(t, "a"), drawName(t, "b")
				g.partitioned[[2]string{min(a, b), max(a, b)}] = rapid.Bool().Draw(t, "cut")
			},
			"unreached": func(t *rapid.T) { g.unreached[drawName(t, "target")] = rapid.Bool().Draw(t, "unreached") },
			"crash":     func(t *rapid.T) { g.restart(drawName(t, "target"), false) },
			"return":    func(t *rapid.T) { g.restart(drawName(t, "target"), true) },
			"leave":     func(t *rapid.T) { g.targets[drawName(t, "target")].leaving = true },
			"begin":     g.begin,
			"pause": func(t *rapid.T) {
				if g.promoter != nil {
					g.pause(t)
				}
			},
			"pause all": g.pauseAll,
			// A promotion as a whole, so that runs reach the states after one.
			"takeover": func(t *rapid.T) {
				g.pauseAll(t)
				g.advance(leadership.ProofValidity)
				if g.promoter != nil {
					g.drawOrder(t)
				}
			},
			// The same with all that a daemon does beside it.
			"takeover beside proofs": func(t *rapid.T) {
				g.proveByAll()
				g.pauseAll(t)
				g.advance(drawDelay(t, leadership.ProofValidity, "until_proof"))
				g.prove(t)
				g.advance(leadership.ProofValidity)
				if g.promoter != nil {
					g.drawOrder(t)
				}
				g.restart(drawName(t, "restarted"), false)
				g.advance(drawDelay(t, maxEffectDelay, "down_for"))
				for _, name := range names {
					g.restart(name, true)
				}
				g.commit(t)
				g.prove(t)
				g.advance(drawDelay(t, maxEffectDelay, "until_read"))
				g.prove(t)
				g.proveByRecord()
				g.commit(t)
				g.read(t)
			},
			"planned replacement": func(t *rapid.T) {
				g.prove(t)
				leader, _, ok := leadership.Leader(g.reachedStatuses())
				if !ok || g.pending != nil {
					return
				}
				g.beginAgainst(leader)
				for _, name := range g.promoter.replicas {
					g.pauseOne(name)
				}
				g.stepDown()
			},
			"give up": func(*rapid.T) {
				if g.promoter != nil {
					g.giveUp()
				}
			},
			"wait":   func(*rapid.T) { g.advance(leadership.ProofValidity) },
			"settle": func(*rapid.T) { g.advance(PromotionSettleTime) },
			"pause leaving": func(t *rapid.T) {
				g.prove(t)
				g.pauseLeaving()
			},
			"step down": func(t *rapid.T) {
				if g.promoter != nil {
					g.stepDown()
				}
			},
			"promote": func(t *rapid.T) {
				if g.promoter != nil {
					g.drawOrder(t)
				}
			},
			"prove":        g.prove,
			"prove by all": func(*rapid.T) { g.proveByAll() },
			"keep the chain": func(t *rapid.T) {
				for range rapid.IntRange(1, 6).Draw(t, "rounds") {
					g.prove(t)
					g.advance(drawDelay(t, leadership.ProofValidity, "round"))
				}
			},
			"read the record": func(t *rapid.T) {
				g.prove(t)
				g.proveByRecord()
			},
			"floor": g.checkSample,
			"read":  g.read,
		})
	})
	for what, count := range map[string]int{
		"promotions": promotions, "reads at a proved primary": reads, "positions of a proved primary": samples,
		"proofs in a chain": chained, "starts of a chain": started, "proofs by the record": recorded,
	} {
		if count == 0 {
			t.Errorf("got no %s, want some", what)
		}
		t.Logf("%d %s", count, what)
	}
}

// TestPausedLeavingReplicaIsWaitedFor replays a planned replacement whose old primary leaves as a replica: it is paused
// right after the promotion, joins the new primary later and receives again. A promoter that does not reach it must not
// promote another replica without its commits. Later pauses do not help: the promotion itself ends them.
func TestPausedLeavingReplicaIsWaitedFor(t *testing.T) {
	g := newModelGroup()
	g.targets["a"].leaving = true
	g.beginAgainst("a")
	g.pauseOne("b")
	g.pauseOne("c")
	g.stepDown()
	g.advance(leadership.ProofValidity)
	g.promote(t, maxJoinDelay)
	if g.promotions != 1 || g.targets["b"].role != leadership.RolePrimary {
		t.Fatalf("planned replacement: got %d promotions, want b promoted", g.promotions)
	}
	g.proofFor, g.proofTerm, g.termSeenAt = "b", g.targets["b"].term, g.now
	g.pauseLeaving()
	g.advance(maxJoinDelay)
	// b and the leaving a are cut off from c and from the promoter; a alone receives the commit.
	g.partitioned[[2]string{"b", "c"}], g.partitioned[[2]string{"a", "c"}] = true, true
	g.unreached["a"], g.unreached["b"] = true, true
	position := api.Position{Term: g.proofTerm, Offset: 1}
	g.targets["b"].log = append(g.targets["b"].log, position)
	if !g.replicate("b", func(string) bool { return true }) {
		t.Fatal("the leaving replica receives nothing, want the commit")
	}
	g.acked = append(g.acked, position)
	g.beginAgainst("b")
	g.pauseOne("c")
	g.advance(leadership.ProofValidity)
	g.promote(t, 0)
	if g.promotions != 1 {
		t.Errorf("got %d promotions, want none beside the planned one while the leaving replica may hold the commit", g.promotions)
	}
}

// TestLeavingReplicaIsPausedAgain covers when the pause of a leaving replica is ordered again.
func TestLeavingReplicaIsPausedAgain(t *testing.T) {
	const seen = 10 * time.Second
	settled := seen + PromotionSettleTime
	cases := []struct {
		name         string
		status       leadership.Status
		now          time.Duration
		settled, due bool
	}{
		{"not paused", replicaStatus(2, 0, 5, settled), settled, false, true},
		{"paused before the promotion settled", replicaStatus(2, 3, 5, seen), seen, false, false},
		{"the same, half a second later", replicaStatus(2, 3, 5, seen), seen + LeavingRecheckInterval/2, false, true},
		{"paused after it settled", replicaStatus(2, 3, 5, settled), settled, true, false},
		{"the same, after the recheck interval", replicaStatus(2, 3, 5, settled), settled + LeavingRecheckInterval, true, true},
		{"follows an older term", replicaStatus(1, 3, 5, settled), settled + LeavingRecheckInterval, false, false},
	}
	for _, c := range cases {
		if got := isPauseSettled(c.status, 2, seen); got != c.settled {
			t.Errorf("%s: got settled %t, want %t", c.name, got, c.settled)
		}
		if got := NeedsPause(c.status, 2, seen, c.now); got != c.due {
			t.Errorf("%s: got pause due %t, want %t", c.name, got, c.due)
		}
	}
}
