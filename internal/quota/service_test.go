package quota

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/papayacove/papayacove/api"
	"github.com/papayacove/papayacove/internal/clock"
	"github.com/papayacove/papayacove/internal/daemonregistry"
	"github.com/papayacove/papayacove/internal/engine"
	"github.com/papayacove/papayacove/internal/policy/callers"
	"github.com/papayacove/papayacove/internal/policy/quota"
	"github.com/papayacove/papayacove/internal/result"
)

var _ engine.Quota = (*Service)(nil)

// fakePeers passes requests on to the services of a test.
type fakePeers struct {
	services map[string]*Service
	calls    atomic.Int64
	// isCut is true while no request arrives.
	isCut atomic.Bool
}

func (f *fakePeers) Quota(address string, request *api.QuotaRequest, _ time.Time) (*api.QuotaReply, error) {
	f.calls.Add(1)
	if f.isCut.Load() {
		return nil, errors.New("cut off")
	}
	return f.services[address].Handle(request), nil
}

var testWindow = quota.Window{Length: time.Second, Overage: 0.1, Slack: 10}

// newServices returns services of daemons in three zones that know each other.
func newServices(t *testing.T, names ...string) (map[string]*Service, *fakePeers) {
	ctx, stop := context.WithCancel(context.Background())
	t.Cleanup(stop)
	peers := &fakePeers{services: make(map[string]*Service)}
	var daemons []engine.Daemon
	for i, name := range names {
		daemons = append(daemons, engine.Daemon{Name: name, Zone: string(rune('a' + i%3)), Address: name})
		peers.services[name] = New(Options{Name: name, Window: testWindow, Peers: peers, Registration: func() daemonregistry.Registration {
			return daemonregistry.Registration{FoundAtStart: true, FoundLendingRules: quota.LendingRules, WrittenAt: clock.SinceBoot()}
		}})
	}
	for _, s := range peers.services {
		s.SetDaemons(daemons)
		go s.Run(ctx)
	}
	return peers.services, peers
}

var testLimit = callers.Limit{RatePerS: 100, Burst: 50}

// awaitSpend spends until an operation gets its token.
func awaitSpend(t *testing.T, s *Service) {
	t.Helper()
	for until := time.Now().Add(20 * time.Second); time.Now().Before(until); time.Sleep(5 * time.Millisecond) {
		if _, err := s.Spend("w", time.Now().Add(time.Second)); err == nil {
			return
		}
	}
	t.Fatal("got no token within 20 s")
}

// TestCallersOfOneDaemonGetTheRightsOfAll lets all callers of a workspace enter at one of seven daemons, from several
// goroutines: they get tokens beyond the daemon's own part, and no more than the bound over the time of the test.
func TestCallersOfOneDaemonGetTheRightsOfAll(t *testing.T) {
	services, _ := newServices(t, "a", "b", "c", "d", "e", "f", "g")
	for _, s := range services {
		s.SetLimits(1, map[string]callers.Limit{"w": testLimit, "free": {}})
	}
	began := time.Now()
	awaitSpend(t, services["a"])
	var spent atomic.Int64
	var group sync.WaitGroup
	for range 8 {
		group.Go(func() {
			for range 400 {
				_, err := services["a"].Spend("w", time.Now().Add(time.Second))
				if err == nil {
					spent.Add(1)
					continue
				}
				var refusal *result.Error
				if !errors.As(err, &refusal) || refusal.Code != result.NotRunOverQuota || refusal.RetryAfter <= 0 {
					t.Errorf("got %v, want a refusal over the quota with the time to come back", err)
				}
				time.Sleep(2 * time.Millisecond)
			}
		})
	}
	group.Wait()
	bucket := testWindow.BucketFor(testLimit)
	own := (bucket.Depth + bucket.Rate*time.Since(began).Seconds()) / 7
	most := bucket.Depth + bucket.Rate*time.Since(began).Seconds() + 1
	if got := float64(spent.Load()); got <= own || got > most {
		t.Fatalf("got %g operations, want more than the daemon's own part of %g and at most %g", got, own, most)
	}
}

// TestUnlimitedWorkspacesAskNobody checks that neither workspaces without a limit nor daemons without any limited workspace
// cost a request.
func TestUnlimitedWorkspacesAskNobody(t *testing.T) {
	services, peers := newServices(t, "a", "b", "c")
	for _, s := range services {
		s.SetLimits(1, map[string]callers.Limit{"free": {}})
	}
	for range 100 {
		if _, err := services["a"].Spend("free", time.Now()); err != nil {
			t.Fatalf("got %v, want no limit", err)
		}
		services["a"].renew()
		services["a"].Return("free", 0)
	}
	if calls := peers.calls.Load(); calls != 0 {
		t.Fatalf("got %d requests, want none", calls)
	}
}

// TestLowerVersionDoesNotCount puts a lower version of the configuration in after a higher one.
func TestLowerVersionDoesNotCount(t *testing.T) {
	services, _ := newServices(t, "a", "b")
	services["a"].SetLimits(2, map[string]callers.Limit{"w": testLimit})
	services["a"].SetLimits(1, nil)
	if _, err := services["a"].Spend("w", time.Now()); result.CodeOf(err) != result.NotRunOverQuota {
		t.Fatalf("got %v, want the limit of version 2 in force", err)
	}
}

// TestLeavingDaemonCoordinatesNothing stops a daemon as planned: it answers that it counts nothing more, so that the others lend
// their rights elsewhere.
func TestLeavingDaemonCoordinatesNothing(t *testing.T) {
	services, _ := newServices(t, "a", "b", "c", "d", "e")
	for _, s := range services {
		s.SetLimits(1, map[string]callers.Limit{"w": testLimit})
	}
	awaitSpend(t, services["a"])
	services["b"].Leave()
	reply := services["b"].Handle(&api.QuotaRequest{Daemon: "a", Incarnation: 7, Sequence: 1, Wants: []api.QuotaWant{{Workspace: "w", Tokens: 1, Waiting: 1}}})
	if !reply.Ended || len(reply.Grants) != 0 {
		t.Fatalf("got %+v, want an answer that the coordinator has ended, without grants", reply)
	}
	awaitSpend(t, services["a"])
}

// TestCutOffDaemonRefuses cuts a daemon off from all coordinators: operations end with a refusal, and are served again
// afterwards.
func TestCutOffDaemonRefuses(t *testing.T) {
	services, peers := newServices(t, "a", "b", "c", "d", "e")
	for _, s := range services {
		s.SetLimits(1, map[string]callers.Limit{"w": testLimit})
	}
	awaitSpend(t, services["a"])
	peers.isCut.Store(true)
	refused := false
	for until := time.Now().Add(20 * time.Second); !refused && time.Now().Before(until); {
		_, err := services["d"].Spend("w", time.Now().Add(100*time.Millisecond))
		refused = result.CodeOf(err) == result.NotRunOverQuota
	}
	if !refused {
		t.Fatal("got tokens without end while no coordinator is reached")
	}
	peers.isCut.Store(false)
	awaitSpend(t, services["d"])
}
