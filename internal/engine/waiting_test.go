package engine

import (
	"testing"
	"time"

	"github.com/papayacove/papayacove/internal/policy/connections"
	"github.com/papayacove/papayacove/internal/result"
)

// TestWaitForAConnectionEndsInTime lets statements wait for a connection until just after now, while a transaction rests on
// the only one: each wait ends. The wake-up at lateUntil must not come between the look at the time and the wait.
func TestWaitForAConnectionEndsInTime(t *testing.T) {
	target := &fakeTarget{}
	p := target.pool(1, 1)
	if _, err := p.acquire(requestOf("a")); err != nil {
		t.Fatal(err)
	}
	const waits = 20000
	ended := make(chan struct{}, waits)
	go func() {
		for i := range waits {
			wanted := requestOf("b")
			wanted.lateUntil = time.Now().Add(time.Duration(i%3000) * time.Nanosecond)
			if _, d, _ := p.decide(wanted); d.Action != connections.Await {
				t.Errorf("got action %d, want Await", d.Action)
			}
			ended <- struct{}{}
		}
	}()
	for i := range waits {
		select {
		case <-ended:
		case <-time.After(5 * time.Second):
			t.Fatalf("wait %d goes on 5 s after its lateUntil", i)
		}
	}
}

// restingGate returns a gate whose two connections have resting transactions of a and b, and which accepts no more.
func restingGate(t *testing.T, target *fakeTarget) (*gate, []*pooledConnection) {
	t.Helper()
	h := newTestGate(target, 20, 1)
	var resting []*pooledConnection
	for _, workspace := range []string{"a", "b"} {
		conn, err := h.begin(requestOf(workspace), true)
		if err != nil {
			t.Fatal(err)
		}
		h.endStatement(requestOf(workspace), time.Millisecond)
		resting = append(resting, conn)
	}
	if _, err := h.begin(requestOf("c"), false); result.CodeOf(err) != result.NotRunNoSlot {
		t.Fatalf("above the limit of the target: got %v, want NotRunNoSlot", err)
	}
	h.pool.setGrowAfter(time.Now().Add(time.Hour))
	return h, resting
}

// TestSilentTargetRefusesWhatWaitsForAConnection: setSilent says that what waits is refused at once.
func TestSilentTargetRefusesWhatWaitsForAConnection(t *testing.T) {
	h, _ := restingGate(t, &fakeTarget{limit: 2})
	began := make(chan error, 1)
	go func() {
		_, err := h.begin(requestOf("c"), false)
		began <- err
	}()
	awaitTrue(t, "the statement waits", func() bool { return h.pool.queue.Waiting() > 0 })
	h.setSilent(true)
	select {
	case err := <-began:
		if result.CodeOf(err) != result.NotRunUnreachable {
			t.Errorf("got %v, want NotRunUnreachable", err)
		}
	case <-time.After(5 * time.Second):
		t.Fatal("a statement for a silent target still waits for a connection")
	}
}
