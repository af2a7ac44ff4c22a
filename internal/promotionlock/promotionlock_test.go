package promotionlock

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"os"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/papayacove/papayacove/api"
	"github.com/papayacove/papayacove/internal/clock"
	"github.com/papayacove/papayacove/internal/objectstore"
)

func TestMain(m *testing.M) {
	logrus.SetOutput(io.Discard)
	os.Exit(m.Run())
}

// memoryStore is an object store of one object.
type memoryStore struct {
	mu      sync.Mutex
	version uint64
	data    json.RawMessage
	// loseAnswers is the number of the next changes that take effect without an answer.
	loseAnswers int
}

func (s *memoryStore) Get(context.Context, string, string) (api.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.version == 0 {
		return api.Object{}, objectstore.ErrNotFound
	}
	return api.Object{Kind: Kind, Name: Name, Version: s.version, Data: s.data}, nil
}

func (s *memoryStore) Create(_ context.Context, o api.Object) (api.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.version != 0 {
		return api.Object{}, objectstore.ErrExists
	}
	return s.store(o)
}

func (s *memoryStore) Update(_ context.Context, o api.Object) (api.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.version != o.Version {
		return api.Object{}, objectstore.ErrConflict
	}
	return s.store(o)
}

func (s *memoryStore) store(o api.Object) (api.Object, error) {
	s.version += 7
	s.data = o.Data
	o.Version = s.version
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
	first, second := New(store, "daemon-1"), New(store, "daemon-2")
	ctx := context.Background()
	token, until, err := first.Acquire(ctx)
	if err != nil || until <= clock.SinceBoot() {
		t.Fatal(token, until, err)
	}
	if again, _, err := first.Acquire(ctx); err != nil || again != token {
		t.Errorf("second promotion of the holder: got token %d, %v, want the token of the first", again, err)
	}
	if _, _, err := second.Acquire(ctx); !errors.Is(err, ErrHeld) {
		t.Errorf("while another daemon holds the lock: got %v, want ErrHeld", err)
	}
	first.Release(ctx)
	if _, _, err := second.Acquire(ctx); !errors.Is(err, ErrHeld) {
		t.Errorf("while another promotion uses the lock: got %v, want ErrHeld", err)
	}
	first.Release(ctx)
	later, _, err := second.Acquire(ctx)
	if err != nil || later <= token {
		t.Errorf("after the release: got token %d after %d, %v, want a higher one", later, token, err)
	}
}

// TestLockIsAcquiredAlthoughStoreAnswerIsLost guards against a daemon that takes its own update for that of another
// holder, because it has not received the answer to it.
func TestLockIsAcquiredAlthoughStoreAnswerIsLost(t *testing.T) {
	store := &memoryStore{loseAnswers: 1}
	lock := New(store, "daemon-1")
	token, _, err := lock.Acquire(context.Background())
	if err != nil || token != store.version {
		t.Errorf("got token %d with version %d, %v, want the version as token", token, store.version, err)
	}
}

// TestLostHolderIsReplacedAfterTakeoverDelay moves the time of the first observation back instead of waiting.
func TestLostHolderIsReplacedAfterTakeoverDelay(t *testing.T) {
	store := &memoryStore{}
	lost, next := New(store, "daemon-1"), New(store, "daemon-2")
	ctx := context.Background()
	token, _, err := lost.Acquire(ctx)
	if err != nil {
		t.Fatal(err)
	}
	if _, _, err := next.Acquire(ctx); !errors.Is(err, ErrHeld) {
		t.Fatal(err)
	}
	next.observedAt -= Validity
	if _, _, err := next.Acquire(ctx); !errors.Is(err, ErrHeld) {
		t.Errorf("while the holder's last order may be in transit: got %v, want ErrHeld", err)
	}
	next.observedAt -= takeoverDelay - Validity + time.Millisecond
	later, _, err := next.Acquire(ctx)
	if err != nil || later <= token {
		t.Errorf("got token %d after %d, %v, want a higher one", later, token, err)
	}
}
