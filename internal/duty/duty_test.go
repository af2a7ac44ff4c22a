package duty

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

// memory is an object store of one object.
type memory struct {
	mu      sync.Mutex
	version uint64
	data    json.RawMessage
	// loseAnswers is the number of changes that are done and not answered.
	loseAnswers int
}

func (m *memory) Get(context.Context, string, string) (api.Object, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.version == 0 {
		return api.Object{}, objectstore.ErrNotFound
	}
	return api.Object{Kind: Kind, Name: Name, Version: m.version, Data: m.data}, nil
}

func (m *memory) Create(_ context.Context, o api.Object) (api.Object, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.version != 0 {
		return api.Object{}, objectstore.ErrExists
	}
	return m.store(o)
}

func (m *memory) Update(_ context.Context, o api.Object) (api.Object, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.version != o.Version {
		return api.Object{}, objectstore.ErrConflict
	}
	return m.store(o)
}

func (m *memory) store(o api.Object) (api.Object, error) {
	m.version += 7
	m.data = o.Data
	o.Version = m.version
	if m.loseAnswers > 0 {
		m.loseAnswers--
		return api.Object{}, objectstore.Unanswered(true, errors.New("connection lost"))
	}
	return o, nil
}

func TestOneHolderAtATimeWithRisingTokens(t *testing.T) {
	store := &memory{}
	first, second := New(store, "daemon-1"), New(store, "daemon-2")
	ctx := context.Background()
	token, until, err := first.Acquire(ctx)
	if err != nil || until <= clock.Boot() {
		t.Fatal(token, until, err)
	}
	if again, _, err := first.Acquire(ctx); err != nil || again != token {
		t.Errorf("a second promotion of the holder: token %d, %v", again, err)
	}
	if _, _, err := second.Acquire(ctx); !errors.Is(err, ErrHeld) {
		t.Errorf("while another holds the duty: %v", err)
	}
	first.Release(ctx)
	if _, _, err := second.Acquire(ctx); !errors.Is(err, ErrHeld) {
		t.Errorf("while another promotion uses the duty: %v", err)
	}
	first.Release(ctx)
	later, _, err := second.Acquire(ctx)
	if err != nil || later <= token {
		t.Errorf("after the release: token %d after %d, %v", later, token, err)
	}
}

func TestLostAnswerOfTheStoreStillTakesTheDuty(t *testing.T) {
	store := &memory{loseAnswers: 1}
	d := New(store, "daemon-1")
	token, _, err := d.Acquire(context.Background())
	if err != nil || token != store.version {
		t.Errorf("token %d, version %d, %v", token, store.version, err)
	}
}

// TestHolderThatIsGoneIsReplacedAfterItsTime moves the time of the first sighting back instead of waiting.
func TestHolderThatIsGoneIsReplacedAfterItsTime(t *testing.T) {
	store := &memory{}
	gone, next := New(store, "daemon-1"), New(store, "daemon-2")
	ctx := context.Background()
	token, _, err := gone.Acquire(ctx)
	if err != nil {
		t.Fatal(err)
	}
	if _, _, err := next.Acquire(ctx); !errors.Is(err, ErrHeld) {
		t.Fatal(err)
	}
	next.seenAt -= Validity
	if _, _, err := next.Acquire(ctx); !errors.Is(err, ErrHeld) {
		t.Errorf("while the holder's last order may be on its way: %v", err)
	}
	next.seenAt -= takeOverAfter - Validity + time.Millisecond
	later, _, err := next.Acquire(ctx)
	if err != nil || later <= token {
		t.Errorf("token %d after %d, %v", later, token, err)
	}
}
