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
	"github.com/papayacove/papayacove/internal/policy/authority"
)

// TestMain fixes the seed and the number of runs of the property tests unless they are given: few of the drawn histories
// reach a promotion.
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

// modelTarget is one target of the model: its log is a list of commit numbers with their terms.
type modelTarget struct {
	role   authority.Role
	term   uint64
	paused uint64
	log    []api.Position
	up     bool
	// leaving targets count for acknowledgements until they are gone.
	leaving bool
}

// world is a group with one read-only look at the acknowledged commits. Steps of a promotion interleave
// with commits, crashes and cuts.
type world struct {
	now     time.Duration
	targets map[string]*modelTarget
	acked   []api.Position
	next    uint64
	// cut holds the pairs of targets that do not reach each other.
	cut map[[2]string]bool
	// unreached are the targets that the promoter does not reach.
	unreached map[string]bool
	promoter  *modelPromoter
	// proof is the authority of a daemon for the target it believes to lead.
	proofUntil time.Duration
	proofFor   string
	proofTerm  uint64
	promotions int
	reads      int
	floors     int
}

// modelPromoter carries out one promotion step by step.
type modelPromoter struct {
	old      string
	term     uint64
	replicas []string
	paused   map[string]authority.Status
	pausedAt time.Duration
	demoted  *authority.Status
	choice   Choice
}

func newWorld() *world {
	w := &world{targets: map[string]*modelTarget{}, cut: map[[2]string]bool{}, unreached: map[string]bool{}}
	for _, name := range []string{"a", "b", "c"} {
		w.targets[name] = &modelTarget{role: authority.RoleReplica, term: 1, up: true}
	}
	w.targets["a"].role = authority.RolePrimary
	return w
}

func (w *world) isCut(a, b string) bool { return w.cut[[2]string{min(a, b), max(a, b)}] }

func (w *world) status(name string) authority.Status {
	t := w.targets[name]
	s := authority.Status{Role: t.role, Term: t.term, PausedTerm: t.paused, AskedAt: w.now}
	if len(t.log) > 0 {
		s.Received = t.log[len(t.log)-1]
	}
	return s
}

// replicate sends the primary's log to the replicas that follow it, and reports whether one has it all.
func (w *world) replicate(primary string, only func(string) bool) bool {
	p := w.targets[primary]
	received := false
	for _, name := range slices.Sorted(maps.Keys(w.targets)) {
		t := w.targets[name]
		if name == primary || !t.up || t.role != authority.RoleReplica || t.paused > p.term || t.term > p.term || w.isCut(primary, name) || !only(name) {
			continue
		}
		t.term, t.log, t.paused = p.term, slices.Clone(p.log), 0
		received = true
	}
	return received
}

// commit writes at every target that believes that it leads.
func (w *world) commit(t *rapid.T) {
	lagging := rapid.SampledFrom([]string{"", "a", "b", "c"}).Draw(t, "lagging")
	for _, name := range slices.Sorted(maps.Keys(w.targets)) {
		p := w.targets[name]
		if !p.up || p.role != authority.RolePrimary {
			continue
		}
		w.next++
		position := api.Position{Term: p.term, Offset: w.next}
		p.log = append(slices.Clone(p.log), position)
		if w.replicate(name, func(replica string) bool { return replica != lagging }) {
			w.acked = append(w.acked, position)
		}
	}
}

func (w *world) canPromote(name string) bool { return w.targets[name].up && !w.unreached[name] }

// answers are the statuses that the promoter gets.
func (w *world) answers() map[string]authority.Status {
	statuses := map[string]authority.Status{}
	for _, name := range slices.Sorted(maps.Keys(w.targets)) {
		if w.canPromote(name) {
			statuses[name] = w.status(name)
		}
	}
	return statuses
}

// begin lets the promoter see the group and pause the replicas that it reaches.
func (w *world) begin(t *rapid.T) {
	w.beginAgainst(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "suspected"))
}

func (w *world) beginAgainst(old string) {
	p := &modelPromoter{paused: map[string]authority.Status{}, old: old}
	for _, name := range slices.Sorted(maps.Keys(w.targets)) {
		target := w.targets[name]
		p.term = max(p.term, target.term+1, target.paused)
		if name != p.old {
			p.replicas = append(p.replicas, name)
		}
	}
	slices.Sort(p.replicas)
	w.promoter = p
}

func (w *world) pause(t *rapid.T) {
	p := w.promoter
	w.pauseOne(rapid.SampledFrom(p.replicas).Draw(t, "pause"))
}

func (w *world) pauseOne(name string) {
	p := w.promoter
	target := w.targets[name]
	if !w.canPromote(name) || target.role != authority.RoleReplica {
		return
	}
	target.paused = max(target.paused, p.term)
	p.paused[name] = w.status(name)
	p.pausedAt = w.now
}

func (w *world) stepDown() {
	p := w.promoter
	target, ok := w.targets[p.old]
	leader, _, led := authority.Leader(w.answers())
	if !ok || !w.canPromote(p.old) || target.term >= p.term || !led || leader != p.old {
		return
	}
	target.role = authority.RoleReplica
	s := w.status(p.old)
	p.demoted = &s
}

// promote carries the choice out, and checks that the chosen target has every acknowledged commit.
func (w *world) promote(t *rapid.T) {
	p := w.promoter
	p.choice = Choose(p.replicas, p.paused, p.demoted, func(name string) bool { return w.targets[name].leaving })
	if p.choice.Target == "" || w.now < p.pausedAt+authority.Term {
		return
	}
	chosen := w.targets[p.choice.Target]
	if !chosen.up || !StillPaused(p.paused, w.answers()) {
		return
	}
	w.promotions++
	for _, position := range w.acked {
		if !slices.Contains(chosen.log, position) {
			t.Fatalf("promoted %s lacks the acknowledged commit %v: log %v", p.choice.Target, position, chosen.log)
		}
	}
	var term uint64
	for _, target := range w.targets {
		term = max(term, target.term)
	}
	chosen.role, chosen.term, chosen.paused = authority.RolePrimary, term+1, 0
	for _, name := range slices.Sorted(maps.Keys(w.targets)) {
		target := w.targets[name]
		// A promotion ends the pauses; replicas that were ahead are rolled back.
		if name != p.choice.Target && target.role == authority.RoleReplica && target.up && !w.isCut(name, p.choice.Target) {
			target.term, target.paused, target.log = chosen.term, 0, slices.Clone(chosen.log)
		}
	}
	w.promoter = nil
}

// prove takes a proof for the believed primary, as a daemon would that reaches all of the targets.
func (w *world) prove(t *rapid.T) {
	statuses := map[string]authority.Status{}
	for _, name := range slices.Sorted(maps.Keys(w.targets)) {
		if w.targets[name].up && rapid.Bool().Draw(t, "answers_"+name) {
			statuses[name] = w.status(name)
		}
	}
	if leader, term, ok := authority.Leader(statuses); ok && term >= w.proofTerm {
		w.proofFor, w.proofTerm = leader, term
	}
	if at, proved := authority.ProvenAt(statuses, w.proofFor, w.proofTerm, len(w.targets)); proved {
		w.proofUntil = at + authority.Term
	}
}

// replicaFloor checks that the floor that the replicas give without the primary covers every acknowledged commit.
func (w *world) replicaFloor(t *rapid.T) {
	statuses := map[string]authority.Status{}
	for _, name := range slices.Sorted(maps.Keys(w.targets)) {
		if w.targets[name].up && rapid.Bool().Draw(t, "answers_"+name) {
			statuses[name] = w.status(name)
		}
	}
	position, _, ok := authority.ReplicaFloor(statuses, []string{"a", "b", "c"}, w.proofFor, w.proofTerm)
	if !ok || w.proofFor == "" {
		return
	}
	w.floors++
	for _, acked := range w.acked {
		if position.Compare(acked) < 0 {
			t.Fatalf("the replicas' floor %v in term %d lacks the acknowledged commit %v", position, w.proofTerm, acked)
		}
	}
}

// read checks that a read at the proved primary sees every acknowledged commit.
func (w *world) read(t *rapid.T) {
	target, ok := w.targets[w.proofFor]
	if !ok || w.now >= w.proofUntil || !target.up || target.term != w.proofTerm {
		return
	}
	w.reads++
	for _, position := range w.acked {
		if !slices.Contains(target.log, position) {
			t.Fatalf("a read at %s in term %d misses the acknowledged commit %v", w.proofFor, w.proofTerm, position)
		}
	}
}

// TestPromotionKeepsAcknowledgedCommits interleaves commits, crashes, cuts, pauses, promotions and reads. Nothing
// asks for the status after a write: the acknowledgement of the target is enough.
func TestPromotionKeepsAcknowledgedCommits(t *testing.T) {
	promotions, reads, floors := 0, 0, 0
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld()
		defer func() { promotions, reads, floors = promotions+w.promotions, reads+w.reads, floors+w.floors }()
		names := []string{"a", "b", "c"}
		t.Repeat(map[string]func(*rapid.T){
			"commit": w.commit,
			"time":   func(t *rapid.T) { w.now += time.Duration(rapid.IntRange(1, 600).Draw(t, "ms")) * time.Millisecond },
			"cut": func(t *rapid.T) {
				a, b := rapid.SampledFrom(names).Draw(t, "a"), rapid.SampledFrom(names).Draw(t, "b")
				w.cut[[2]string{min(a, b), max(a, b)}] = rapid.Bool().Draw(t, "cut")
			},
			"unreached": func(t *rapid.T) {
				w.unreached[rapid.SampledFrom(names).Draw(t, "target")] = rapid.Bool().Draw(t, "unreached")
			},
			"crash": func(t *rapid.T) { w.targets[rapid.SampledFrom(names).Draw(t, "target")].up = false },
			"leave": func(t *rapid.T) { w.targets[rapid.SampledFrom(names).Draw(t, "target")].leaving = true },
			"return": func(t *rapid.T) {
				name := rapid.SampledFrom(names).Draw(t, "target")
				target := w.targets[name]
				if target.up {
					return
				}
				// It comes back with its log, and as a replica if another target leads a later term.
				target.up = true
				target.paused = 0
				for other, o := range w.targets {
					if other != name && o.term > target.term {
						target.role = authority.RoleReplica
					}
				}
			},
			"begin": func(t *rapid.T) { w.begin(t) },
			"pause": func(t *rapid.T) {
				if w.promoter != nil {
					w.pause(t)
				}
			},
			"pause all": func(t *rapid.T) {
				w.begin(t)
				for _, name := range w.promoter.replicas {
					w.pauseOne(name)
				}
			},
			"planned replacement": func(t *rapid.T) {
				w.prove(t)
				leader, _, ok := authority.Leader(w.answers())
				if !ok {
					return
				}
				w.beginAgainst(leader)
				for _, name := range w.promoter.replicas {
					w.pauseOne(name)
				}
				w.stepDown()
			},
			"wait": func(*rapid.T) { w.now += authority.Term },
			"step down": func(t *rapid.T) {
				if w.promoter != nil {
					w.stepDown()
				}
			},
			"promote": func(t *rapid.T) {
				if w.promoter != nil {
					w.promote(t)
				}
			},
			"prove": w.prove,
			"floor": w.replicaFloor,
			"read":  w.read,
		})
	})
	if promotions == 0 || reads == 0 || floors == 0 {
		t.Errorf("%d promotions, %d proved reads, %d floors: the model tests nothing", promotions, reads, floors)
	}
	t.Logf("%d promotions, %d proved reads, %d floors", promotions, reads, floors)
}
