package daemonregistry

import (
	"bytes"
	"context"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/papayacove/papayacove/api"
	"github.com/papayacove/papayacove/internal/objectstore"
)

func TestUnchangedEntriesBecomeAbsent(t *testing.T) {
	r := New(nil, api.DaemonEntry{Name: "self"}, nil)
	list := func(versions ...uint64) api.ObjectList {
		names := []string{"self", "b", "c"}
		var l api.ObjectList
		for i, v := range versions {
			l.Objects = append(l.Objects, api.Object{Name: names[i], Version: v})
		}
		return l
	}
	steps := []struct {
		at   time.Duration
		list api.ObjectList
		want int
	}{
		{0, list(), 1},
		{time.Second, list(1, 2, 3), 3},
		{absentAfter, list(9, 12, 3), 3},
		{absentAfter + time.Second, list(9, 12, 3), 2},
		{absentAfter + 2*time.Second, list(9, 12, 15), 3},
		{absentAfter + 3*time.Second, list(9, 12), 2},
	}
	for _, s := range steps {
		if got := len(r.present(s.list, s.at)); got != s.want {
			t.Errorf("at %s: got %d daemons, want %d", s.at, got, s.want)
		}
	}
}

// TestReadIntervalGrowsWithEntries checks that at most 4.2 entries are read per second, and that each refresh of an
// entry is read before its daemon is absent.
func TestReadIntervalGrowsWithEntries(t *testing.T) {
	for _, entries := range []int{0, 4, 33, 100, 160} {
		readInterval := maxReadInterval(entries)
		if a := float64(entries) / readInterval.Seconds(); a > 4.2 {
			t.Errorf("%d entries read every %s: got %.1f entries per second, want at most 4.2", entries, readInterval, a)
		}
		if readInterval+refreshInterval > absentAfter {
			t.Errorf("%d entries: got read interval %s, want at most absentAfter less refreshInterval", entries, readInterval)
		}
	}
	if maxReadInterval(1000) != maxSteadyReadInterval {
		t.Errorf("1000 entries: got read interval %s, want maxSteadyReadInterval", maxReadInterval(1000))
	}
}

// TestUnreadableEntryIsCountedWithoutAddress reads an entry of another writer: its daemon counts, and holds nothing.
func TestUnreadableEntryIsCountedWithoutAddress(t *testing.T) {
	r := New(nil, api.DaemonEntry{Name: "self", Address: "10.0.0.1:1"}, nil)
	list := api.ObjectList{Objects: []api.Object{
		{Name: "b", Version: 2, Data: []byte(`{"name":"b","zone":"z","address":"10.0.0.2:1"}`)},
		{Name: "c", Version: 3, Data: []byte(`{"name":7}`)},
	}}
	present := r.present(list, 0)
	if len(present) != 3 || present[1].Address != "10.0.0.2:1" || present[2].Name != "c" || present[2].Address != "" {
		t.Errorf("got entries %+v, want self, b with its address, and c without one", present)
	}
}

// TestEntriesThatTheCopyLacksAreKept restores the store from a copy without the entry of one daemon, and with a version
// given out again to another. Without the era the daemons counted each other out, and opened more connections than the
// targets take.
func TestEntriesThatTheCopyLacksAreKept(t *testing.T) {
	r := New(nil, api.DaemonEntry{Name: "self"}, nil)
	entry := func(name string, era, version uint64) api.Object {
		return api.Object{Name: name, Era: era, Version: version, Data: []byte(`{"name":"` + name + `","address":"10.0.0.1:1"}`)}
	}
	list := func(era uint64, objects ...api.Object) api.ObjectList {
		return api.ObjectList{Era: era, Objects: objects}
	}
	r.present(list(1, entry("b", 1, 5), entry("c", 1, 6)), 0)
	restoredAt := absentAfter - time.Second
	r.present(list(1, entry("b", 1, 5), entry("c", 1, 16)), restoredAt-refreshInterval/2)
	steps := []struct {
		name string
		at   time.Duration
		list api.ObjectList
		want int
	}{
		{"the copy lacks c, and b has written under its old version", restoredAt, list(2, entry("b", 2, 5)), 3},
		{"b is not absent", restoredAt + 2*time.Second, list(2, entry("b", 2, 5)), 3},
		{"c has not come back", restoredAt + rewriteWindow(2) + missingGrace, list(2, entry("b", 2, 5)), 2},
		{"c comes back", restoredAt + rewriteWindow(2) + missingGrace + time.Second, list(2, entry("b", 2, 5), entry("c", 2, 9)), 3},
	}
	for _, s := range steps {
		if got := len(r.present(s.list, s.at)); got != s.want {
			t.Errorf("%s: got %d daemons, want %d", s.name, got, s.want)
		}
	}
}

// writeCounter is a store that counts the writes of an entry.
type writeCounter struct {
	Store
	writes chan struct{}
}

func (w *writeCounter) Update(_ context.Context, o api.Object) (api.Object, error) {
	w.writes <- struct{}{}
	return o, nil
}

func (w *writeCounter) Create(ctx context.Context, o api.Object) (api.Object, error) {
	return w.Update(ctx, o)
}

func (w *writeCounter) ListStale(context.Context, string) (api.ObjectList, error) {
	return api.ObjectList{}, nil
}

// TestOwnEntryIsWrittenAgainAfterARestore expects a second write long before the next refresh.
func TestOwnEntryIsWrittenAgainAfterARestore(t *testing.T) {
	store := &writeCounter{writes: make(chan struct{})}
	r := New(store, api.DaemonEntry{Name: "self"}, func([]api.DaemonEntry) {})
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	go r.Run(ctx)
	<-store.writes
	r.Restored()
	select {
	case <-store.writes:
	case <-time.After(refreshInterval / 2):
		t.Error("the entry was not written again")
	}
}

// entryStore holds the entry of one daemon and counts the calls.
type entryStore struct {
	Store
	exists bool
	calls  int
}

func (s *entryStore) Create(_ context.Context, o api.Object) (api.Object, error) {
	s.calls++
	if s.exists {
		return api.Object{}, objectstore.ErrExists
	}
	s.exists = true
	return o, nil
}

func (s *entryStore) Update(_ context.Context, o api.Object) (api.Object, error) {
	s.calls++
	if !s.exists {
		return api.Object{}, objectstore.ErrNotFound
	}
	return o, nil
}

// TestOwnEntryIsWrittenInOneCall guards against a daemon that updates the entry that it has to create, at its first start,
// and expects the write to succeed whatever is stored.
func TestOwnEntryIsWrittenInOneCall(t *testing.T) {
	tests := []struct {
		name         string
		exists, read bool
		calls        int
	}{
		{"first start", false, false, 1},
		{"start again", true, true, 1},
		{"entry that a stale list lacks", true, false, 2},
		{"entry that was removed after the list", false, true, 2},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			store := &entryStore{exists: test.exists}
			r := New(store, api.DaemonEntry{Name: "self"}, nil)
			if test.read {
				r.observe(api.ObjectList{Objects: []api.Object{{Name: "self"}}}, 0)
			}
			if err := r.write(t.Context()); err != nil || store.calls != test.calls {
				t.Errorf("got %d calls, %v, want %d", store.calls, err, test.calls)
			}
			if err := r.write(t.Context()); err != nil || store.calls != test.calls+1 {
				t.Errorf("got %d calls with the next write, %v, want %d", store.calls, err, test.calls+1)
			}
		})
	}
}

// oddEntries are entries of a daemon b that no daemon writes.
var oddEntries = map[string]string{
	"deep":                    strings.Repeat("[", 20_000) + strings.Repeat("]", 20_000),
	"deep field":              `{"name":"b","zone":` + strings.Repeat("[", 20_000) + strings.Repeat("]", 20_000) + `}`,
	"capacity beyond 64 bits": `{"name":"b","address":"10.0.0.9:1","capacity":99999999999999999999}`,
	"capacity too large":      `{"name":"b","address":"10.0.0.9:1","capacity":9000000000000000000}`,
	"negative capacity":       `{"name":"b","address":"10.0.0.9:1","capacity":-1}`,
	"port too large":          `{"name":"b","address":"10.0.0.9:65536"}`,
	"port 0":                  `{"name":"b","address":"10.0.0.9:0"}`,
	"negative port":           `{"name":"b","address":"10.0.0.9:-1"}`,
	"port no number":          `{"name":"b","address":"10.0.0.9:http"}`,
	"no host":                 `{"name":"b","address":":1"}`,
	"any host":                `{"name":"b","address":"0.0.0.0:1"}`,
	"blank in the host":       `{"name":"b","address":"a b:1"}`,
	"beat no number":          `{"name":"b","address":"10.0.0.9:1","beat":1e999}`,
	"name of another":         `{"name":"self","address":"10.0.0.9:1"}`,
	"null":                    `null`, "nothing": ``, "no object": `7`,
}

// TestOddEntryHoldsNothing guards against targets that are held by a daemon that does not exist: an odd entry with a
// large capacity would get them all, and statements would be sent to an address where nobody listens. It is logged
// once.
func TestOddEntryHoldsNothing(t *testing.T) {
	for name, data := range oddEntries {
		r := New(nil, api.DaemonEntry{Name: "self", Address: "10.0.0.1:1"}, nil)
		var output bytes.Buffer
		before := logrus.StandardLogger().Out
		logrus.SetOutput(&output)
		for i := range 3 {
			list := api.ObjectList{Objects: []api.Object{
				{Name: "b", Version: uint64(i + 1), Data: []byte(data)}, {Name: "c", Version: 1, Data: []byte(`{"name":"c","address":"10.0.0.3:1","capacity":800}`)},
			}}
			present := r.present(list, time.Duration(i)*time.Second)
			if len(present) != 3 || present[1] != (api.DaemonEntry{Name: "b"}) || present[2].Address != "10.0.0.3:1" {
				t.Errorf("%s: got %+v, want b without an address and capacity beside c", name, present)
			}
		}
		logrus.SetOutput(before)
		if lines := strings.Count(output.String(), "roster_entry_unreadable"); lines != 1 || !strings.Contains(output.String(), "object=b") {
			t.Errorf("%s: got %d log lines %.300q, want one with the name", name, lines, output.String())
		}
	}
}

// FuzzEntry reads arbitrary entries: nothing panics, and a daemon that holds targets can be reached and weighed.
func FuzzEntry(f *testing.F) {
	f.Add([]byte(`{"name":"b","zone":"z","address":"10.0.0.3:1","beat":1,"capacity":800,"lending_rules":1,"left":false}`))
	for _, data := range oddEntries {
		f.Add([]byte(data[:min(len(data), 1000)]))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		r := New(nil, api.DaemonEntry{Name: "self"}, nil)
		for _, entry := range r.present(api.ObjectList{Objects: []api.Object{{Name: "b", Version: 1, Data: data}}}, 0)[1:] {
			if entry.Name != "b" || entry.Capacity < 0 || entry.Capacity > maxCapacity || entry.Address != "" && !isAddress(entry.Address) {
				t.Fatalf("%q: got %+v", data, entry)
			}
		}
	})
}
