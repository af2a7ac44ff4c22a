package lines_test

import (
	"testing"
	"time"
)

// entryDelay is the time after which the store carries out the first write of a new target's entry. A promotion takes
// less.
const entryDelay = 5 * time.Second

// checkKept checks that each write whose caller was told of success is in the log of the primary. What a target has
// acknowledged and no caller was told of may be gone.
func (p *processes) checkKept(attempts []attempt) {
	p.t.Helper()
	p.checkExecutions(attempts)
	for _, a := range attempts {
		if count := p.Group.CommitCount(a.id, "x"); a.code == "" && count != 1 {
			p.t.Errorf("write %s: got %d commits in the log of %s, want the one that was acknowledged", a.id, count, p.Group.Primary())
		}
	}
}

// awaitPrimaryOtherThan waits until another target leads.
func (p *processes) awaitPrimaryOtherThan(old string) {
	p.t.Helper()
	for end := time.Now().Add(waitTimeout); p.Group.Primary() == old || p.Group.Primary() == ""; time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			p.t.Fatalf("%s still leads", old)
		}
	}
}

// TestReplacedPrimaryBesideAnUnlistedReplicaLosesNothing guards against the success of commits that only a replica has
// received which no promoter knows: a primary is replaced as planned before the entry of the new target is written. The
// promoter pauses the listed replicas, and the new one lets the old primary acknowledge commits until that steps down,
// or until the promotion takes effect if the order to step down is lost.
func TestReplacedPrimaryBesideAnUnlistedReplicaLosesNothing(t *testing.T) {
	t.Parallel()
	for name, stepDownLost := range map[string]bool{"the old primary steps down": false, "the order to step down is lost": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			p := startProcesses(t)
			time.Sleep(settleTime)
			old := p.Group.Primary()
			p.Group.Target(old).SetStepDownLost(stepDownLost)
			p.checkKept(p.writeDuring(func() {
				must(t, p.ReplaceListedLate(p.Group, old, entryDelay))
				p.awaitPrimaryOtherThan(old)
			}))
			p.AwaitReleases()
		})
	}
}
