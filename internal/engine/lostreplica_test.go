package engine

import (
	"context"
	"maps"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/papayacove/papayacove/api"
	"github.com/papayacove/papayacove/internal/clock"
	"github.com/papayacove/papayacove/internal/policy/leadership"
	"github.com/papayacove/papayacove/internal/policy/takeover"
)

// TestPrimaryThatLeadsIsNotReplacedByLess guards against the loss of acknowledged commits of a primary that is well:
// its only other replica is gone with them, and the one that is left does not hear it. However long that lasts, the
// primary has its log; only one that does not answer is replaced in the end.
func TestPrimaryThatLeadsIsNotReplacedByLess(t *testing.T) {
	g := newTestGroup(&fakeTarget{})
	g.mu.Lock()
	g.lostReplicas.MarkLost("c", g.statuses["c"], api.Position{}, clock.SinceBoot()-takeover.LostReplicaTimeout)
	g.mu.Unlock()
	for _, leads := range []bool{true, false} {
		p := &promotion{group: g, old: "a", oldStillLeads: leads, members: map[string]*member{"a": nil, "b": nil}}
		if names := p.replicas(); slices.Contains(names, "c") != leads || !slices.Contains(names, "b") || slices.Contains(names, "a") {
			t.Errorf("old primary leads %t: got replicas %v, want b, and c if it leads", leads, names)
		}
	}
}

// lossLog is a registry of lost replicas. Each call fails while failures is above 0.
type lossLog struct {
	mu       sync.Mutex
	failures int
	losses   map[string]api.LostReplica
}

func (l *lossLog) fail() error {
	if l.failures > 0 {
		l.failures--
		return errNoAnswer
	}
	return nil
}

func (l *lossLog) Record(_ context.Context, loss api.LostReplica) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	err := l.fail()
	if err == nil {
		l.losses[loss.Replica] = loss
	}
	return err
}

func (l *lossLog) Forget(_ context.Context, _, replica string) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	err := l.fail()
	if err == nil {
		delete(l.losses, replica)
	}
	return err
}

func (l *lossLog) List(context.Context) ([]api.LostReplica, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Collect(maps.Values(l.losses)), l.fail()
}

// heldLock is a promotion lock that another daemon holds.
type heldLock struct{}

func (heldLock) Acquire(context.Context, string, takeover.OldPrimary) (takeover.Hold, error) {
	return takeover.Hold{}, errNoAnswer
}

func (heldLock) Release(context.Context, string, uint64) {}

func (heldLock) Observe(context.Context, string) error { return nil }

func (heldLock) SettledTerm(context.Context, string) (uint64, error) { return 0, errNoAnswer }

// TestLossesFromBeforeTheStartAreKnown guards against a daemon that promotes a replica without the commits that one had
// which was lost before the daemon started: until the registry has answered, the targets are not complete, and then its
// losses block as those that the daemon has seen, those of a group that no configuration has had so far as well.
func TestLossesFromBeforeTheStartAreKnown(t *testing.T) {
	registry := &lossLog{failures: 2, losses: map[string]api.LostReplica{
		"c": {Group: "g", Replica: "c", WasPaused: true, Position: api.Position{Term: 1, Offset: 14}}, "d": {Group: "later", Replica: "d"}, "b": {Group: "g", Replica: "b"},
	}}
	e := New(Options{Zone: "z", Dialer: &fakeTarget{}, DrainTimeout: time.Hour, LossRegistry: registry, PromotionLock: heldLock{}})
	defer e.Close()
	e.Configure(Configuration{Version: 1, Groups: map[string]GroupLimits{"g": {SyncReplicas: 1}}})
	e.SetTarget(Target{Name: "b", Group: "g"})
	e.directoryFailed.Store(int64(clock.SinceBoot() - removalGrace))
	if e.isDirectorySettled() {
		t.Error("got the targets complete before the registry has answered, want them incomplete")
	}
	awaitTrue(t, "the registry to answer", e.isDirectorySettled)
	e.Configure(Configuration{Version: 2, Groups: map[string]GroupLimits{"g": {SyncReplicas: 1}, "later": {SyncReplicas: 1}}})
	for group, want := range map[string]string{"g": "c", "later": "d"} {
		g := e.groups[group]
		g.mu.Lock()
		if got := g.lostReplicas.Blocking(clock.SinceBoot()); !slices.Equal(got, []string{want}) {
			t.Errorf("group %s: got %v lost, want %s", group, got, want)
		}
		g.mu.Unlock()
	}
	awaitTrue(t, "the end of the record of a replica that is back", func() bool {
		registry.mu.Lock()
		defer registry.mu.Unlock()
		return len(registry.losses) == 2
	})
}

// TestLossesAreRegisteredUntilTheyEnd loses a replica while the registry fails: the loss is recorded nevertheless, and
// forgotten once another replica has its log. A daemon that does not judge the primary leaves both to the others,
// and takes them over when they have gone.
func TestLossesAreRegisteredUntilTheyEnd(t *testing.T) {
	for _, judges := range []bool{true, false} {
		registry := &lossLog{failures: 2, losses: make(map[string]api.LostReplica)}
		g := newTestGroup(&fakeTarget{})
		g.losses = registry
		if !judges {
			g.judgeRank, g.zones = 5, 1
		}
		go g.keepLosses(t.Context())
		g.scheduleRemoval("c")
		removed := func() bool { return !g.hasMember("c") }
		awaitTrue(t, "the removal of c", removed)
		count := func() int {
			registry.mu.Lock()
			defer registry.mu.Unlock()
			return len(registry.losses)
		}
		if !judges {
			time.Sleep(lossRetryDelay)
			if count() != 0 {
				t.Error("got a record of a daemon that does not judge, want none")
			}
			g.setLimits(g.limits, daemonsNamed(1))
			awaitTrue(t, "c is recorded once the daemon judges", func() bool { return count() == 1 })
			continue
		}
		awaitTrue(t, "the record of c", func() bool { return count() == 1 })
		now := clock.SinceBoot()
		g.applyStatusRound(map[string]leadership.Status{"a": leads(1, 12, now), "b": follows(1, 12, now)}, now)
		awaitTrue(t, "the end of the record of c", func() bool { return count() == 0 })
	}
}
