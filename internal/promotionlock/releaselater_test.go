package promotionlock

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/papayacove/papayacove/api"
	"github.com/papayacove/papayacove/internal/objectstore"
)

// failingStore is a memoryStore whose changes fail while failing is true.
type failingStore struct {
	*memoryStore
	failing bool
}

func (s *failingStore) Update(ctx context.Context, o api.Object) (api.Object, error) {
	s.mu.Lock()
	failing := s.failing
	s.mu.Unlock()
	if failing {
		return api.Object{}, objectstore.ErrUnavailable
	}
	return s.memoryStore.Update(ctx, o)
}

func (s *failingStore) setFailing(failing bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failing = failing
}

// TestReleaseIsRepeatedAfterAnOutage guards against a record that names a holder for good, so that no daemon learns the
// term of the promotion, after a promotion that ended while the store was down.
func TestReleaseIsRepeatedAfterAnOutage(t *testing.T) {
	ctx := t.Context()
	store := &failingStore{memoryStore: &memoryStore{}}
	locks := New(store, store.memoryStore, "a")
	if _, _, err := acquireLock(ctx, locks); err != nil {
		t.Fatal(err)
	}
	store.setFailing(true)
	locks.Release(ctx, group, 7)
	if _, err := locks.SettledTerm(ctx, group); !errors.Is(err, ErrHeld) {
		t.Fatalf("during the outage: got %v, want ErrHeld", err)
	}
	store.setFailing(false)
	for end := time.Now().Add(time.Minute); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if term, err := locks.SettledTerm(ctx, group); err == nil {
			if term != 7 {
				t.Errorf("got term %d, want 7", term)
			}
			return
		}
	}
	t.Error("the lock was not released after the outage")
}
