package promotionlock

import (
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/papayacove/papayacove/api"
	"github.com/papayacove/papayacove/internal/clock"
	"github.com/papayacove/papayacove/internal/objectstore"
	"github.com/papayacove/papayacove/internal/policy/takeover"
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

const group = "g"

// memoryStore is an object store of one object, which reports its own era.
type memoryStore struct {
	mu      sync.Mutex
	version uint64
	data    json.RawMessage
	era     uint64
	// eraSince is the time of the first answer of the era.
	eraSince time.Duration
	// loseAnswers is the number of the next changes that take effect without an answer.
	loseAnswers int
	// beforeCall is called before each call, with its method; nil for nothing.
	beforeCall func(method string)
}

func (s *memoryStore) Known() (uint64, time.Duration) { return s.era, s.eraSince }

func (s *memoryStore) call(method string) {
	if s.beforeCall != nil {
		s.beforeCall(method)
	}
}

func (s *memoryStore) Get(context.Context, string, string) (api.Object, error) {
	s.call("get")
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.data == nil {
		return api.Object{Era: s.era}, objectstore.ErrNotFound
	}
	return api.Object{Kind: Kind, Name: group, Version: s.version, Era: s.era, Data: s.data}, nil
}

func (s *memoryStore) Create(_ context.Context, o api.Object) (api.Object, error) {
	s.call("create")
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.data != nil {
		return api.Object{}, objectstore.ErrExists
	}
	return s.store(o)
}

func (s *memoryStore) Update(_ context.Context, o api.Object) (api.Object, error) {
	s.call("update")
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.version != o.Version || s.data == nil {
		return api.Object{}, objectstore.ErrConflict
	}
	return s.store(o)
}

func (s *memoryStore) store(o api.Object) (api.Object, error) {
	s.version += 7
	s.data = o.Data
	o.Version, o.Era = s.version, s.era
	if s.loseAnswers > 0 {
		s.loseAnswers--
		return api.Object{}, objectstore.NoAnswerError(true, errors.New("connection lost"))
	}
	return o, nil
}

// TestOneHolderAtATimeWithRisingTokens guards against two daemons that order promotions at the same time, and against a
// later holder whose orders a target would refuse for a lower token.
func TestOneHolderAtATimeWithRisingTokens(t *testing.T) {
	store := &memoryStore{}
	first, second := New(store, store, "daemon-1"), New(store, store, "daemon-2")
	ctx := context.Background()
	token, until, err := acquireLock(ctx, first)
	if err != nil || until <= clock.SinceBoot() {
		t.Fatal(token, until, err)
	}
	if _, _, err := acquireLock(ctx, second); !errors.Is(err, ErrHeld) {
		t.Errorf("while another daemon holds the lock: got %v, want ErrHeld", err)
	}
	first.Release(ctx, group, takeover.NothingOrdered)
	later, _, err := acquireLock(ctx, second)
	if err != nil || later <= token {
		t.Errorf("after the release: got token %d after %d, %v, want a higher one", later, token, err)
	}
}

// TestLockIsAcquiredAlthoughStoreAnswerIsLost guards against a daemon that takes its own update for that of another
// holder, because it has not received the answer to it.
func TestLockIsAcquiredAlthoughStoreAnswerIsLost(t *testing.T) {
	store := &memoryStore{loseAnswers: 1}
	lock := New(store, store, "daemon-1")
	token, _, err := acquireLock(context.Background(), lock)
	if err != nil || token != store.version {
		t.Errorf("got token %d with version %d, %v, want the version as token", token, store.version, err)
	}
}

// TestLostHolderIsReplacedAfterTakeoverDelay lets a holder disappear.
func TestLostHolderIsReplacedAfterTakeoverDelay(t *testing.T) {
	store := &memoryStore{}
	lost, next := New(store, store, "daemon-1"), New(store, store, "daemon-2")
	now := time.Minute
	lost.now = func() time.Duration { return now }
	next.now = lost.now
	ctx := context.Background()
	token, _, err := acquireLock(ctx, lost)
	if err != nil {
		t.Fatal(err)
	}
	if _, _, err := acquireLock(ctx, next); !errors.Is(err, ErrHeld) {
		t.Fatal(err)
	}
	now += Validity
	if _, _, err := acquireLock(ctx, next); !errors.Is(err, ErrHeld) {
		t.Errorf("while the holder's last order may be in transit: got %v, want ErrHeld", err)
	}
	now += takeoverDelay - Validity
	later, _, err := acquireLock(ctx, next)
	if err != nil || later <= token {
		t.Errorf("got token %d after %d, %v, want a higher one", later, token, err)
	}
}

// TestRestartedHolderWaitsForItsLastOrder starts the holder again: an order with the lower token of its earlier start, held up on
// its way, must not arrive after one with the higher token.
func TestRestartedHolderWaitsForItsLastOrder(t *testing.T) {
	store := &memoryStore{}
	now := time.Minute
	clockOf := func() time.Duration { return now }
	earlier, restarted := New(store, store, "daemon-1"), New(store, store, "daemon-1")
	earlier.now, restarted.now = clockOf, clockOf
	ctx := context.Background()
	token, _, err := acquireLock(ctx, earlier)
	if err != nil {
		t.Fatal(err)
	}
	if later, _, err := acquireLock(ctx, restarted); !errors.Is(err, ErrHeld) {
		t.Errorf("right after the restart: got token %d, %v, want ErrHeld", later, err)
	}
	now += takeoverDelay
	later, _, err := acquireLock(ctx, restarted)
	if err != nil || later <= token {
		t.Errorf("after the takeover delay: got token %d after %d, %v, want a higher one", later, token, err)
	}
	if again, _, err := acquireLock(ctx, restarted); err != nil || again <= later {
		t.Errorf("while it holds the lock: got token %d after %d, %v, want a higher one", again, later, err)
	}
}

// TestRestoredStoreGivesTheLockToNobodyAtOnce restores a copy from before a daemon acquired the lock. The record then
// says that the lock is free, and versions are given out again.
func TestRestoredStoreGivesTheLockToNobodyAtOnce(t *testing.T) {
	now := time.Minute
	store := &memoryStore{era: 1, eraSince: time.Second}
	holder, other := New(store, store, "daemon-1"), New(store, store, "daemon-2")
	holder.now = func() time.Duration { return now }
	other.now = holder.now
	ctx := context.Background()
	if _, _, err := acquireLock(ctx, other); err != nil {
		t.Fatal(err)
	}
	other.Release(ctx, group, takeover.NothingOrdered)
	version, data := store.version, store.data
	token, until, err := acquireLock(ctx, holder)
	if err != nil {
		t.Fatal(err)
	}
	now += time.Second
	store.version, store.data, store.era, store.eraSince = version, data, 2, now
	if _, _, err := acquireLock(ctx, other); !errors.Is(err, ErrHeld) {
		t.Errorf("right after the restore: got %v, want ErrHeld because the holder may act until %s", err, until)
	}
	now += takeoverDelay
	later, _, err := acquireLock(ctx, other)
	if err != nil || later <= token || now <= until {
		t.Errorf("after the takeover delay: got token %d after %d, %v, want a higher one", later, token, err)
	}
	// The version of the new hold is that of the old one: a late release of the old holder must not free the lock.
	if store.version != token&(1<<versionBits-1) {
		t.Fatalf("got version %d, want that of the lost hold", store.version)
	}
	before := string(store.data)
	holder.Release(ctx, group, takeover.NothingOrdered)
	if string(store.data) != before {
		t.Error("the holder of the earlier era has released the lock of the later one")
	}
}

// TestRestoreBetweenReadAndWriteFailsTheAcquisition restores the store while a daemon acquires the lock: what it read
// does not hold any more.
func TestRestoreBetweenReadAndWriteFailsTheAcquisition(t *testing.T) {
	now := time.Minute
	store := &memoryStore{era: 1, eraSince: time.Second}
	lock := New(store, store, "daemon-1")
	lock.now = func() time.Duration { return now }
	store.beforeCall = func(method string) {
		if method == "create" {
			store.era, store.eraSince = 2, now
		}
	}
	if token, _, err := acquireLock(context.Background(), lock); !errors.Is(err, ErrHeld) {
		t.Errorf("got token %d, %v, want ErrHeld", token, err)
	}
}

// TestRecordStatesTheTermOfTheLastPromotion guards against a term that is out of date: one of a lock that is held or
// was not released, of an earlier era of the store, or of a record that an older daemon wrote.
func TestRecordStatesTheTermOfTheLastPromotion(t *testing.T) {
	store := &memoryStore{era: 1, eraSince: time.Second}
	now := time.Minute
	first, second := New(store, store, "daemon-1"), New(store, store, "daemon-2")
	first.now = func() time.Duration { return now }
	second.now = first.now
	ctx := t.Context()
	acquire := func(l *Locks) {
		t.Helper()
		if _, _, err := acquireLock(ctx, l); err != nil {
			t.Fatal(err)
		}
	}
	check := func(when string, want uint64, wantErr error) {
		t.Helper()
		if term, err := second.SettledTerm(ctx, group); term != want || !errors.Is(err, wantErr) {
			t.Errorf("%s: got term %d, %v, want %d, %v", when, term, err, want, wantErr)
		}
	}
	check("no promotion yet", 0, ErrNotSettled)
	acquire(first)
	check("held", 0, ErrHeld)
	first.Release(ctx, group, 7)
	check("after a promotion", 7, nil)
	acquire(second)
	second.Release(ctx, group, takeover.NothingOrdered)
	check("after one that was given up", 7, nil)
	acquire(first)
	first.Release(ctx, group, 0)
	check("after an order of unknown outcome", 0, ErrNotSettled)
	acquire(second)
	second.Release(ctx, group, takeover.NothingOrdered)
	check("after another that was given up", 0, ErrNotSettled)
	acquire(first)
	first.Release(ctx, group, 8)
	acquire(first)
	if _, _, err := acquireLock(ctx, second); !errors.Is(err, ErrHeld) {
		t.Fatal(err)
	}
	now += takeoverDelay
	acquire(second)
	second.Release(ctx, group, takeover.NothingOrdered)
	check("taken over from a holder that has not released", 0, ErrNotSettled)
	acquire(first)
	first.Release(ctx, group, 9)
	store.era, store.eraSince = 2, now
	check("of an earlier era", 0, ErrNotSettled)
	now += takeoverDelay
	acquire(first)
	first.Release(ctx, group, takeover.NothingOrdered)
	check("given up in the later era", 0, ErrNotSettled)
	store.data = json.RawMessage(`{"holder":"","era":2}`)
	check("of an older daemon", 0, ErrNotSettled)
	store.data = json.RawMessage(`{"holder":"","era":2,"term":"9"}`)
	check("that cannot be read", 0, ErrHeld)
	store.data, store.version = nil, 0
	check("none in a store that was restored", 0, ErrNotSettled)
	store.era = 0
	check("none in a store that never was", takeover.NothingOrdered, nil)
}

// TestUnknownTermIsSettledOnceNoOrderIsUnderWay guards against a record that never states a term, and against one that
// states it while an order of the last holder may still take effect.
func TestUnknownTermIsSettledOnceNoOrderIsUnderWay(t *testing.T) {
	store := &memoryStore{era: 1, eraSince: time.Second}
	now := time.Minute
	first, second := New(store, store, "daemon-1"), New(store, store, "daemon-2")
	first.now = func() time.Duration { return now }
	second.now = first.now
	ctx := t.Context()
	settle := func(term uint64, ok bool) error {
		return second.Settle(ctx, group, func() (uint64, bool) { return term, ok })
	}
	if err := settle(1, true); !errors.Is(err, ErrNotSettled) {
		t.Errorf("at once: got %v, want ErrNotSettled", err)
	}
	now += takeoverDelay
	if err := settle(1, true); err != nil {
		t.Errorf("after the takeover delay: got %v, want nil", err)
	}
	if term, err := first.SettledTerm(ctx, group); term != 1 || err != nil {
		t.Errorf("got term %d, %v, want 1", term, err)
	}
	if err := settle(9, true); err != nil {
		t.Errorf("when it is settled: got %v, want nil", err)
	}
	if term, err := first.SettledTerm(ctx, group); term != 1 || err != nil {
		t.Errorf("when it is settled: got term %d, %v, want the same", term, err)
	}
	if _, _, err := acquireLock(ctx, first); err != nil {
		t.Fatal(err)
	}
	first.Release(ctx, group, 0)
	if err := settle(2, true); !errors.Is(err, ErrNotSettled) {
		t.Errorf("right after an order of unknown outcome: got %v, want ErrNotSettled", err)
	}
	now += takeoverDelay
	if err := settle(2, false); !errors.Is(err, ErrNotSettled) {
		t.Errorf("without a proof: got %v, want ErrNotSettled", err)
	}
	if _, err := first.SettledTerm(ctx, group); !errors.Is(err, ErrNotSettled) {
		t.Errorf("without a proof: got %v, want ErrNotSettled", err)
	}
}

// TestTermIsNotSettledOverAnotherHold guards against a record that states the term before an order of unknown outcome:
// another daemon took and released the lock between the look at the record and the hold.
func TestTermIsNotSettledOverAnotherHold(t *testing.T) {
	store := &memoryStore{era: 1, eraSince: time.Second}
	now := time.Minute
	first, second := New(store, store, "daemon-1"), New(store, store, "daemon-2")
	first.now = func() time.Duration { return now }
	second.now = first.now
	ctx := t.Context()
	prove := func() (uint64, bool) { return 1, true }
	if err := second.Settle(ctx, group, prove); !errors.Is(err, ErrNotSettled) {
		t.Fatalf("at once: got %v, want ErrNotSettled", err)
	}
	now += takeoverDelay
	reads := 0
	store.beforeCall = func(method string) {
		if method != "get" {
			return
		}
		if reads++; reads == 2 {
			store.beforeCall = nil
			if _, _, err := acquireLock(ctx, first); err != nil {
				t.Errorf("the other daemon: got %v, want the lock", err)
			}
			first.Release(ctx, group, 0)
		}
	}
	if err := second.Settle(ctx, group, prove); !errors.Is(err, ErrNotSettled) {
		t.Errorf("after another hold: got %v, want ErrNotSettled", err)
	}
	if term, err := first.SettledTerm(ctx, group); !errors.Is(err, ErrNotSettled) {
		t.Errorf("after another hold: got term %d, %v, want ErrNotSettled", term, err)
	}
}

// TestWaitForAHoldBeginsWithTheFirstLook guards against a group without a primary for longer than the hold of a daemon
// that has ended, because the wait began with the first attempt to acquire the lock.
func TestWaitForAHoldBeginsWithTheFirstLook(t *testing.T) {
	for _, looks := range []bool{true, false} {
		now := time.Minute
		store := &memoryStore{}
		holder, other := New(store, store, "daemon-1"), New(store, store, "daemon-2")
		holder.now = func() time.Duration { return now }
		other.now = holder.now
		ctx := context.Background()
		if _, _, err := acquireLock(ctx, holder); err != nil {
			t.Fatal(err)
		}
		if looks {
			if err := other.Observe(ctx, group); err != nil {
				t.Fatal(err)
			}
		}
		now += takeoverDelay
		if _, _, err := acquireLock(ctx, other); (err == nil) != looks {
			t.Errorf("looked at %s before: got %v after %s, want the lock only if the wait began then", takeoverDelay, err, takeoverDelay)
		}
	}
	now := time.Minute
	store := &memoryStore{}
	holder, other := New(store, store, "daemon-1"), New(store, store, "daemon-2")
	holder.now = func() time.Duration { return now }
	other.now = holder.now
	ctx := context.Background()
	if err := other.Observe(ctx, group); err != nil {
		t.Fatal(err)
	}
	now += takeoverDelay
	if _, _, err := acquireLock(ctx, holder); err != nil {
		t.Fatal(err)
	}
	if _, _, err := acquireLock(ctx, other); !errors.Is(err, ErrHeld) {
		t.Errorf("acquired after the look: got %v, want %v", err, ErrHeld)
	}
}

// acquireLock acquires the lock without a known primary to replace.
func acquireLock(ctx context.Context, l *Locks) (token uint64, until time.Duration, err error) {
	hold, err := l.Acquire(ctx, group, takeover.OldPrimary{})
	return hold.Token, hold.Until, err
}

// TestRecordStatesTheOldPrimary guards against a daemon that has just started and takes the old primary, which has
// stepped down and ended, for a lost replica: the primary that a promotion replaces is known to later holders, until
// another one is replaced.
func TestRecordStatesTheOldPrimary(t *testing.T) {
	store := &memoryStore{}
	ctx, old := context.Background(), takeover.OldPrimary{Name: "a", Term: 3}
	for i, c := range []struct{ given, want takeover.OldPrimary }{
		{takeover.OldPrimary{}, takeover.OldPrimary{}}, {old, old}, {takeover.OldPrimary{}, old}, {takeover.OldPrimary{}, old},
		{takeover.OldPrimary{Name: "b", Term: 4}, takeover.OldPrimary{Name: "b", Term: 4}},
	} {
		locks := New(store, store, fmt.Sprintf("daemon-%d", i))
		hold, err := locks.Acquire(ctx, group, c.given)
		if err != nil || hold.Old != c.want {
			t.Errorf("hold %d for %+v: got %+v, %v, want the old primary %+v", i, c.given, hold.Old, err, c.want)
		}
		locks.Release(ctx, group, takeover.NothingOrdered)
	}
}
