package engine

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"pgregory.net/rapid"

	"github.com/papayacove/papayacove/internal/policy/admission"
	"github.com/papayacove/papayacove/internal/result"
)

// TestMain fixes the seed of the property tests unless one is given.
func TestMain(m *testing.M) {
	flag.Parse()
	logrus.SetOutput(io.Discard)
	if flag.Lookup("rapid.seed").Value.String() == "0" {
		if err := flag.Set("rapid.seed", "1"); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
	}
	os.Exit(m.Run())
}

// fakeTarget counts connections and refuses those above a limit.
type fakeTarget struct {
	mu      sync.Mutex
	limit   int
	open    int
	maxOpen int
	dialed  int
	err     error
	// exchange answers commands. If it is nil, each command succeeds.
	exchange func(*fakeConnection, Command) (Reply, error)
	// closed is called when a connection is closed; nil for nothing.
	closed func(*fakeConnection)
}

func (f *fakeTarget) Dial(context.Context, Target, string) (Connection, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.dialed++
	if f.err != nil {
		return nil, f.err
	}
	if f.limit > 0 && f.open >= f.limit {
		return nil, &TargetFailure{Kind: FailureTooManyConnections, Code: "TOOMANY"}
	}
	f.open++
	f.maxOpen = max(f.maxOpen, f.open)
	return &fakeConnection{target: f}, nil
}

type fakeConnection struct {
	target *fakeTarget
	once   sync.Once
}

func (c *fakeConnection) Exchange(_ time.Time, commands ...Command) ([]Reply, error) {
	var replies []Reply
	for _, command := range commands {
		reply, err := Reply{Signature: "s", Position: firstCommit}, error(nil)
		if c.target.exchange != nil {
			reply, err = c.target.exchange(c, command)
		}
		if err != nil {
			return nil, err
		}
		replies = append(replies, reply)
	}
	return replies, nil
}

func (c *fakeConnection) IsClosedByPeer() bool { return false }

func (c *fakeConnection) Abort() error { return c.Close() }

func (c *fakeConnection) Close() error {
	c.once.Do(func() {
		if c.target.closed != nil {
			c.target.closed(c)
		}
		c.target.mu.Lock()
		defer c.target.mu.Unlock()
		c.target.open--
	})
	return nil
}

func (f *fakeTarget) pool(guaranteed, ceiling int) *pool {
	return newPool(f, func() Target { return Target{Name: "a"} }, connectionShare{guaranteed: guaranteed, ceiling: ceiling})
}

func requestSoon() connectionRequest {
	now := time.Now()
	return connectionRequest{class: admission.ClassStrict, startBy: now.Add(10 * time.Second), lateUntil: now.Add(20 * time.Second)}
}

// TestPoolNeverHoldsMoreThanItsCeiling draws random sequences of acquisitions, releases, broken connections and busy
// answers.
func TestPoolNeverHoldsMoreThanItsCeiling(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		target := &fakeTarget{}
		share := rapid.IntRange(1, 4).Draw(t, "share")
		ceiling := rapid.IntRange(share, 8).Draw(t, "ceiling")
		p := target.pool(share, ceiling)
		var held []*pooledConnection
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			switch rapid.SampledFrom([]string{"acquire", "release", "break", "busy"}).Draw(t, "step") {
			case "acquire":
				wanted := requestSoon()
				wanted.startBy, wanted.lateUntil = time.Now().Add(time.Millisecond), time.Now().Add(time.Millisecond)
				if conn, err := p.acquire(wanted); err == nil {
					held = append(held, conn)
				} else if !result.CodeOf(err).IsNotRun() {
					t.Fatalf("got error %v, want one that guarantees that nothing ran", err)
				}
			case "release", "break":
				if len(held) > 0 {
					held[0].broken = rapid.Bool().Draw(t, "broken")
					p.release(held[0])
					held = held[1:]
				}
			case "busy":
				p.shrink(0)
			}
			if len(held) > ceiling {
				t.Fatalf("got %d connections in use, want at most the ceiling of %d", len(held), ceiling)
			}
		}
	})
}

// TestPoolBorrowsUntilTheTargetRefuses requests more connections than the pool's guaranteed share.
func TestPoolBorrowsUntilTheTargetRefuses(t *testing.T) {
	target := &fakeTarget{limit: 4}
	p := target.pool(2, 8)
	var held []*pooledConnection
	for range 4 {
		conn, err := p.acquire(requestSoon())
		if err != nil {
			t.Fatal(err)
		}
		held = append(held, conn)
	}
	if _, err := p.acquire(requestSoon()); result.CodeOf(err) != result.NotRunNoSlot {
		t.Fatalf("acquire above the limit of the target: got %v, want NotRunNoSlot", err)
	}
	granted := make(chan error, 1)
	go func() {
		conn, err := p.acquire(requestSoon())
		if err == nil {
			p.release(conn)
		}
		granted <- err
	}()
	p.release(held[0])
	if err := <-granted; err != nil {
		t.Errorf("acquire after a release: got %v, want success", err)
	}
}

func TestPoolRefusesAtOnceWhatCannotStart(t *testing.T) {
	target := &fakeTarget{}
	p := target.pool(1, 1)
	if _, err := p.acquire(requestSoon()); err != nil {
		t.Fatal(err)
	}
	expired := connectionRequest{class: admission.ClassStrict, startBy: time.Now().Add(time.Microsecond), lateUntil: time.Now().Add(time.Microsecond)}
	var refused *result.Error
	if _, err := p.acquire(expired); !errors.As(err, &refused) || refused.RetryAfter <= 0 {
		t.Errorf("got error %v, want a refusal with a retry time", err)
	}
}

func TestPoolOpensNothingAtAnAvoidedTarget(t *testing.T) {
	target := &fakeTarget{err: errors.New("unreachable")}
	p := target.pool(2, 2)
	wanted := requestSoon()
	wanted.openOnly = true
	if _, err := p.acquire(wanted); result.CodeOf(err) != result.NotRunUnreachable || target.dialed != 0 {
		t.Errorf("got error %v after %d connection attempts, want NotRunUnreachable after none", err, target.dialed)
	}
}

func TestClosedPoolRefusesItsWaiters(t *testing.T) {
	target := &fakeTarget{}
	p := target.pool(1, 1)
	if _, err := p.acquire(requestSoon()); err != nil {
		t.Fatal(err)
	}
	refused := make(chan error, 1)
	go func() {
		_, err := p.acquire(requestSoon())
		refused <- err
	}()
	for p.load() < 2 {
		time.Sleep(time.Millisecond)
	}
	p.close()
	if err := <-refused; result.CodeOf(err) != result.NotRunTargetLeaving {
		t.Errorf("waiting for a target that has left: got %v, want NotRunTargetLeaving", err)
	}
}

// TestScarceConnectionsAreReturned lets three daemons use a target with one connection in turn: each must close the
// connection soon after its use.
func TestScarceConnectionsAreReturned(t *testing.T) {
	target := &fakeTarget{limit: 1}
	limits := GroupLimits{MaxConnections: 1}
	for range 3 {
		p := newPool(target, func() Target { return Target{Name: "a"} }, divideConnections(limits, 3))
		var conn *pooledConnection
		for end := time.Now().Add(10 * time.Second); conn == nil; time.Sleep(time.Millisecond) {
			if conn, _ = p.acquire(requestSoon()); conn == nil && time.Now().After(end) {
				t.Fatal("the previous daemon keeps the only connection")
			}
		}
		p.release(conn)
	}
}

// TestDivideConnections divides the connections of a target among daemons.
func TestDivideConnections(t *testing.T) {
	cases := []struct {
		connections, daemons int
		want                 connectionShare
	}{
		{0, 5, connectionShare{guaranteed: defaultConnectionShare, ceiling: defaultConnectionShare}},
		{60, 10, connectionShare{guaranteed: 5, ceiling: 30}},
		{60, 30, connectionShare{guaranteed: 1, ceiling: 30}},
		{60, 31, connectionShare{guaranteed: 1, ceiling: 30, idleTimeout: scarceIdleTimeout}},
		{60, 300, connectionShare{guaranteed: 1, ceiling: 30, idleTimeout: scarceIdleTimeout}},
		{1, 1, connectionShare{guaranteed: 1, ceiling: 1, idleTimeout: scarceIdleTimeout}},
	}
	for _, c := range cases {
		if got := divideConnections(GroupLimits{MaxConnections: c.connections}, c.daemons); got != c.want {
			t.Errorf("%d connections, %d daemons: got %+v, want %+v", c.connections, c.daemons, got, c.want)
		}
	}
}
