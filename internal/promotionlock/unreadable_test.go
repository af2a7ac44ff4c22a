package promotionlock

import (
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/papayacove/papayacove/internal/objectstore"
)

// TestRecordThatCannotBeReadIsAHold guards against two daemons that order promotions at the same time, and against a
// group that is left without promotions: another writer replaces the record of a holder by something that cannot be
// read. It counts as held for as long as a hold lasts, and is then replaced.
func TestRecordThatCannotBeReadIsAHold(t *testing.T) {
	deep := strings.Repeat("[", 20_000) + strings.Repeat("]", 20_000)
	for _, data := range []string{
		deep, `{"holder":` + deep + `}`, `{"holder":7,"era":0}`, `{"holder":"","era":1e999}`, `{"holder":"","era":-1}`,
		`{"holder":"","era":"0"}`, `{}`, `null`, `7`, `"x"`, `{"holder":""}`,
		`{"era":0}`, `{"holder":"","era":0,"change_id":7}`, `{"holder":null,"era":0}`, `nope`,
	} {
		store := &memoryStore{}
		now := time.Minute
		holder, other := New(store, store, "daemon-1"), New(store, store, "daemon-2")
		holder.now, other.now = func() time.Duration { return now }, func() time.Duration { return now }
		token, _, err := acquireLock(t.Context(), holder)
		if err != nil {
			t.Fatal(err)
		}
		store.version++
		store.data = []byte(data)
		if data == `{"holder":"","era":0,"change_id":7}` {
			// It says that the lock is free; only its changes cannot be read.
			if _, _, err := acquireLock(t.Context(), other); err != nil {
				t.Errorf("%s: got error %v, want the lock", data, err)
			}
			continue
		}
		for _, wait := range []time.Duration{0, Validity} {
			now += wait
			if _, _, err := acquireLock(t.Context(), other); !errors.Is(err, ErrHeld) {
				t.Errorf("%.40s, %s after it was seen: got error %v, want %v", data, wait, err, ErrHeld)
			}
		}
		now += takeoverDelay - Validity
		later, _, err := acquireLock(t.Context(), other)
		if err != nil || later <= token {
			t.Errorf("%.40s, when no hold can last any more: got token %d after %d, error %v, want a higher one", data, later, token, err)
		}
	}
}

// TestUpdateReplacesWhatCannotBeRead guards against an object that can never be changed again once another writer has
// stored something without a history of changes.
func TestUpdateReplacesWhatCannotBeRead(t *testing.T) {
	store := &memoryStore{version: 3, data: []byte(`{"recent_changes":7}`)}
	record, err := store.Get(t.Context(), Kind, group)
	if err != nil {
		t.Fatal(err)
	}
	record.Data = []byte(`{"holder":"daemon-1","era":0}`)
	applied, err := objectstore.Apply(t.Context(), store, record, "change-1")
	if err != nil || applied.Outcome != objectstore.OutcomeDone || !strings.Contains(string(store.data), "daemon-1") {
		t.Errorf("got %+v, error %v, stored %s, want the change done", applied, err, store.data)
	}
}
