package engine

import (
	"context"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/papayacove/papayacove/internal/policy/connections"
	"github.com/papayacove/papayacove/internal/result"
)

func requestOf(workspace string) connectionRequest {
	wanted := requestSoon()
	wanted.workspace = workspace
	return wanted
}

// setGrowAfter sets the time before which the pool asks its target for no further connection.
func (p *pool) setGrowAfter(at time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.growAfter = at
}

// use acquires and releases a connection for each workspace in turn.
func use(t *testing.T, p *pool, workspaces ...string) {
	t.Helper()
	for _, workspace := range workspaces {
		conn, err := p.acquire(requestOf(workspace))
		if err != nil {
			t.Fatalf("workspace %s: %v", workspace, err)
		}
		if conn.workspace != workspace {
			t.Fatalf("workspace %s: got a connection of %s", workspace, conn.workspace)
		}
		p.release(conn)
	}
}

// TestUnusedConnectionsOfOthersMakeRoom lets five workspaces in turn use a target of two connections. Before, a third was
// opened while two unused ones of others stayed open.
func TestUnusedConnectionsOfOthersMakeRoom(t *testing.T) {
	target := &fakeTarget{}
	p := target.pool(2, 2)
	use(t, p, "a", "b", "c", "d", "e", "a")
	if target.maxOpen > 2 {
		t.Errorf("got %d connections open at once, want at most 2", target.maxOpen)
	}
}

// TestFullTargetMakesRoom lets a target refuse below the share of the daemon: the statement takes the place of an unused
// connection at once, and the target is asked for more only after refusalCooldown. Before, the statement failed.
func TestFullTargetMakesRoom(t *testing.T) {
	target := &fakeTarget{limit: 3}
	p := target.pool(8, 8)
	use(t, p, "a", "b", "c", "d")
	p.setGrowAfter(time.Now().Add(time.Hour))
	use(t, p, "e", "f")
	if want := 7; target.dialed != want {
		t.Errorf("got %d connection attempts, want %d: one refused", target.dialed, want)
	}
	target.mu.Lock()
	target.limit = 8
	target.mu.Unlock()
	p.setGrowAfter(time.Time{})
	use(t, p, "g", "h")
	if target.open != 5 {
		t.Errorf("after the target accepts more: got %d connections open, want 5", target.open)
	}
}

// TestFullTargetIsTriedLessOften lets a target refuse each time that it is asked for more, as one whose other connections a
// second holder has: the time until the next try doubles up to a bound, and an accepted one ends that. Before, a holder asked
// such a target twice a second.
func TestFullTargetIsTriedLessOften(t *testing.T) {
	target := &fakeTarget{limit: 2}
	p := target.pool(8, 8)
	use(t, p, "a", "b")
	for _, want := range []time.Duration{1, 2, 4, 8, 16, 16} {
		p.setGrowAfter(time.Time{})
		before := time.Now()
		use(t, p, "c", "d", "e")
		if got := p.growAfter.Sub(before); got < want*refusalCooldown || got > want*refusalCooldown+time.Minute {
			t.Errorf("got %s until the next try, want %s", got, want*refusalCooldown)
		}
	}
	target.mu.Lock()
	target.limit = 3
	target.mu.Unlock()
	p.setGrowAfter(time.Time{})
	use(t, p, "f", "g", "h")
	if before := time.Now(); target.open != 3 || p.growAfter.Sub(before) > refusalCooldown {
		t.Errorf("after one more is accepted and the next refused: got %d open and %s until the next try, want 3 and %s", target.open, p.growAfter.Sub(before), refusalCooldown)
	}
}

// TestStandbyLeavesRoom lets a standby use a target whose holder has 12 of 20 connections: at the first refusal it falls back to
// a third of its share, so that others have room. A holder in its place keeps almost all that were accepted.
func TestStandbyLeavesRoom(t *testing.T) {
	for isFirst, want := range map[bool]int{true: 8, false: 4} {
		target := &fakeTarget{limit: 8}
		h := newTestGate(target, 20, 2)
		h.resize(h.share, isFirst)
		for i := range 9 {
			use(t, h.pool, fmt.Sprint(i))
		}
		if open := len(h.pool.idle); open != want {
			t.Errorf("first holder %t: got %d connections at a full target, want %d", isFirst, open, want)
		}
		if h.pool.keepsUsed != isFirst {
			t.Errorf("first holder %t: got unused ones kept %t", isFirst, h.pool.keepsUsed)
		}
	}
}

// TestConnectionsOfWorkspacesStayWithinTheLimit draws random acquisitions, releases, restarts of the target, refusals and
// requests without a workspace, and checks what the target sees.
func TestConnectionsOfWorkspacesStayWithinTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ceiling := rapid.IntRange(1, 6).Draw(t, "ceiling")
		target := &fakeTarget{limit: rapid.IntRange(1, 8).Draw(t, "accepted")}
		p := target.pool(ceiling, ceiling)
		var held []*pooledConnection
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			switch rapid.SampledFrom([]string{"acquire", "acquire", "release", "release", "restart"}).Draw(t, "step") {
			case "acquire":
				wanted := requestOf(rapid.SampledFrom([]string{"", "a", "b", "c", "d", "e", "f", "g"}).Draw(t, "workspace"))
				wanted.startBy, wanted.lateUntil = time.Now().Add(2*time.Millisecond), time.Now().Add(2*time.Millisecond)
				conn, err := p.acquire(wanted)
				switch {
				case err == nil && conn.workspace != wanted.workspace:
					t.Fatalf("workspace %s: got a connection of %s", wanted.workspace, conn.workspace)
				case err == nil:
					held = append(held, conn)
				case !result.CodeOf(err).IsNotRun():
					t.Fatalf("got error %v, want one that guarantees that nothing ran", err)
				}
			case "release":
				if len(held) > 0 {
					held[0].broken = rapid.Bool().Draw(t, "broken")
					p.release(held[0])
					held = held[1:]
				}
			case "restart":
				p.dropIdle()
			}
			if target.maxOpen > ceiling {
				t.Fatalf("got %d connections open at once, want at most %d", target.maxOpen, ceiling)
			}
		}
		for _, conn := range held {
			p.release(conn)
		}
		if p.inUse != 0 || p.queue.Running() != 0 {
			t.Fatalf("all returned: got %d in use and %d places taken, want none", p.inUse, p.queue.Running())
		}
	})
}

// newTestGate returns the gate of a target with the given limits.
func newTestGate(target *fakeTarget, maxConnections, slots int) *gate {
	g := newTestEngine(target).groups["g"]
	g.setTarget(Target{Name: "held", Group: "g", Slots: slots, Zone: "z"})
	g.mu.Lock()
	g.limits.MaxConnections = maxConnections
	m := g.members["held"]
	g.mu.Unlock()
	return g.gateOf(m)
}

// TestRestingTransactionsOfOneWorkspaceLeaveRoom lets a workspace open transactions that rest until it is refused: another
// one still begins its own. Before, one workspace could have all connections.
func TestRestingTransactionsOfOneWorkspaceLeaveRoom(t *testing.T) {
	h := newTestGate(&fakeTarget{}, 20, 2)
	begin := func(workspace string) error {
		wanted := requestOf(workspace)
		wanted.startBy, wanted.lateUntil = time.Now().Add(20*time.Millisecond), time.Now().Add(20*time.Millisecond)
		_, err := h.begin(wanted, true)
		if err == nil {
			h.endStatement(wanted, time.Millisecond)
		}
		return err
	}
	begun := 0
	for begin("greedy") == nil {
		begun++
	}
	if want := connections.MaxTransactions(h.transactions.Slots()); begun != want {
		t.Errorf("got %d transactions of one workspace, want %d", begun, want)
	}
	if err := begin("other"); err != nil {
		t.Errorf("another workspace: got %v, want a transaction", err)
	}
}

// TestWaitForConnectionHoldsNoSlot lets a statement wait for a connection while transactions rest on all of them: the
// statement slot stays free for what runs on those. Before, the waiting statement held it.
func TestWaitForConnectionHoldsNoSlot(t *testing.T) {
	h, resting := restingGate(t, &fakeTarget{limit: 2})
	began := make(chan error, 1)
	go func() {
		_, err := h.begin(requestOf("c"), false)
		began <- err
	}()
	for h.pool.queue.Waiting() == 0 {
		time.Sleep(time.Millisecond)
	}
	if running := h.statements.Running(); running != 0 {
		t.Errorf("got %d statement slots taken while a statement waits for a connection, want 0", running)
	}
	h.pool.release(resting[0])
	if err := <-began; err != nil {
		t.Errorf("after a connection came free: got %v, want a start", err)
	}
	if running := h.statements.Running(); running != 1 {
		t.Errorf("got %d statement slots taken by the started statement, want 1", running)
	}
}

// heldDialer opens connections only once released.
type heldDialer struct {
	*fakeTarget
	began, released chan struct{}
}

func (d *heldDialer) Dial(ctx context.Context, target Target, workspace string) (Connection, error) {
	d.began <- struct{}{}
	<-d.released
	return d.fakeTarget.Dial(ctx, target, workspace)
}

// TestSeveralConnectionsOpenAtOnce lets three workspaces need a connection at once: all are opened at the same time. Before,
// each waited for the one before it.
func TestSeveralConnectionsOpenAtOnce(t *testing.T) {
	const together = 3
	dialer := &heldDialer{fakeTarget: &fakeTarget{}, began: make(chan struct{}, together), released: make(chan struct{})}
	p := newPool(dialer, func() Target { return Target{Name: "a"} }, connectionShare{guaranteed: together, ceiling: together})
	ended := make(chan error, together)
	for i := range together {
		go func() {
			conn, err := p.acquire(requestOf(fmt.Sprint(i)))
			if err == nil {
				p.release(conn)
			}
			ended <- err
		}()
	}
	for range together {
		select {
		case <-dialer.began:
		case <-time.After(5 * time.Second):
			t.Fatal("fewer connections are being opened than are needed")
		}
	}
	close(dialer.released)
	for range together {
		if err := <-ended; err != nil {
			t.Error(err)
		}
	}
}

// TestPoolLogsWithoutTheLockOfItsGroup evicts connections and is refused some while it may log it. The entry of the target is read under
// the lock of the group, which is held while a pool is resized: a pool that reads it under its own lock could stop its group for good.
func TestPoolLogsWithoutTheLockOfItsGroup(t *testing.T) {
	target := &fakeTarget{limit: 2}
	var p *pool
	p = newPool(target, func() Target {
		if !p.mu.TryLock() {
			t.Error("the entry of the target was read while the lock of the pool was held")
			return Target{Name: "a"}
		}
		p.mu.Unlock()
		return Target{Name: "a"}
	}, connectionShare{guaranteed: 4, ceiling: 4})
	// Lines of another second end the count of those of this one.
	limiter.Allow("", time.Time{})
	use(t, p, "a", "b", "c", "d")
}
