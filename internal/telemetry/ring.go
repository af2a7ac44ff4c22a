package telemetry

import (
	"slices"
	"sync"

	"github.com/sirupsen/logrus"
)

// record is an event as it was logged. Its fields are formatted only when decisions are queried.
type record struct {
	timeNs int64
	event  string
	data   logrus.Fields
}

// ring is a ring buffer of the newest records. It is safe for concurrent use.
type ring struct {
	mu      sync.Mutex
	records []record
	next    int
}

func newRing(size int) *ring {
	return &ring{records: make([]record, 0, size)}
}

func (r *ring) add(kept record) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.records) < cap(r.records) {
		r.records = append(r.records, kept)
		return
	}
	r.records[r.next] = kept
	r.next = (r.next + 1) % len(r.records)
}

// ordered returns the records, oldest first.
func (r *ring) ordered() []record {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append(slices.Clone(r.records[r.next:]), r.records[:r.next]...)
}
