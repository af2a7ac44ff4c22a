// Package lines is a stand-in for the platform of the line protocol: its metadata store, its targets and the service
// that promotes them. It also has a caller and a fleet for tests. It is never shipped.
package lines

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// meta is the metadata of an object as the store encodes it.
type meta struct {
	Name       string   `json:"Name"`
	Revision   uint64   `json:"Revision"`
	Created    uint64   `json:"Created"`
	Finalizers []string `json:"Finalizers"`
	Deleting   bool     `json:"Deleting"`
}

// object is an object as the store encodes it.
type object struct {
	Meta meta            `json:"meta"`
	Spec json.RawMessage `json:"spec"`
}

// event is one change of an object. A tombstone is the removal of an object.
type event struct {
	Object    object
	Tombstone bool
	kind      string
	at        time.Time
}

// pageSize is the largest number of objects in one response to a list call.
const pageSize = 3

// Store is the metadata store. Its methods are safe for concurrent use.
type Store struct {
	server   *http.Server
	listener net.Listener

	// Down makes every call fail with status 503.
	Down atomic.Bool
	// LoseResponses makes the store execute each change and then end the connection without a response.
	LoseResponses atomic.Bool
	// DelayChanges makes the store end the connection of each change without a response, and execute the change
	// changeDelay later if its condition still holds.
	DelayChanges atomic.Bool

	// turnedAway holds the faults of the calls from single source IP addresses, of type Treatment.
	turnedAway sync.Map
	// watchDelays holds the times after which watches from single source IP addresses learn of changes.
	watchDelays sync.Map
	// substitutes replaces texts in the objects that daemons write, such as addresses by those of relays.
	substitutes sync.Map

	// lastConditionalWriter is the source IP address of the last change under a condition that was executed, or of the last
	// object created; a string.
	lastConditionalWriter atomic.Value

	// era rises with each restore. Every response names it.
	era atomic.Uint64
	// OddEra replaces the era that responses name, by none if the text is empty; nil for no replacement.
	OddEra atomic.Pointer[string]

	mu       sync.Mutex
	revision uint64
	// copies are earlier states, oldest first.
	copies []storeCopy
	// compactedRevision is the earliest revision from which changes can still be watched.
	compactedRevision uint64
	// objects are the objects by kind and name.
	objects map[string]map[string]object
	// events are the changes after compactedRevision.
	events []event
	// changed is closed and replaced at each change.
	changed chan struct{}
}

// storeCopy is the state of the store at a time.
type storeCopy struct {
	at       time.Time
	revision uint64
	objects  map[string]map[string]object
}

const (
	// eraHeader names the era in each response.
	eraHeader = "Store-Era"
	// changeDelay is the time after which a delayed change is executed.
	changeDelay = 2 * time.Second
	// watchDelayStep is the time between two looks of a delayed watch at the changes.
	watchDelayStep = 20 * time.Millisecond
	// maxCopyAge is the longest time for which earlier states are kept.
	maxCopyAge = 10 * time.Second
)

// NewStore starts a store on a loopback port.
func NewStore() (*Store, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &Store{listener: listener, revision: 1, objects: map[string]map[string]object{}, changed: make(chan struct{})}
	s.era.Store(1)
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/objects/{kind}", s.serveKind)
	mux.HandleFunc("POST /v1/objects/{kind}", s.serveCreate)
	mux.HandleFunc("GET /v1/objects/{kind}/{name}", s.serveGet)
	mux.HandleFunc("PUT /v1/objects/{kind}/{name}", s.servePut)
	mux.HandleFunc("DELETE /v1/objects/{kind}/{name}", s.serveDelete)
	s.server = &http.Server{Handler: s.withFaults(mux)}
	go func() { _ = s.server.Serve(listener) }()
	return s, nil
}

// URL returns the base URL.
func (s *Store) URL() string { return "http://" + s.listener.Addr().String() }

// Close stops the store.
func (s *Store) Close() { _ = s.server.Close() }

func (s *Store) withFaults(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w = &eraWriter{ResponseWriter: w, store: s}
		if s.refuse(w, r) {
			return
		}
		if s.DelayChanges.Load() && r.Method != http.MethodGet {
			s.delay(next, r)
			panic(http.ErrAbortHandler)
		}
		if s.LoseResponses.Load() && r.Method != http.MethodGet {
			next.ServeHTTP(discardResponse{}, r)
			panic(http.ErrAbortHandler)
		}
		next.ServeHTTP(w, r)
	})
}

// eraWriter adds the era to a response when its status is written.
type eraWriter struct {
	http.ResponseWriter
	store *Store
}

// WriteHeader writes the status.
func (w *eraWriter) WriteHeader(status int) {
	era := strconv.FormatUint(w.store.era.Load(), 10)
	if odd := w.store.OddEra.Load(); odd != nil {
		era = *odd
	}
	if era != "" {
		w.Header().Set(eraHeader, era)
	}
	w.ResponseWriter.WriteHeader(status)
}

// delay executes a change after changeDelay.
func (s *Store) delay(next http.Handler, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	late := r.Clone(context.Background())
	late.Body = io.NopCloser(bytes.NewReader(body))
	time.AfterFunc(changeDelay, func() { next.ServeHTTP(discardResponse{}, late) })
}

// Restore brings the store back from a copy of the given age, or from its oldest one: changes since are gone, and
// revisions are given out again.
func (s *Store) Restore(age time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	wanted := time.Now().Add(-age)
	chosen := storeCopy{revision: 1, objects: map[string]map[string]object{}}
	for _, c := range s.copies {
		if c.at.After(wanted) {
			break
		}
		chosen = c
	}
	s.era.Add(1)
	s.revision, s.objects = chosen.revision, copyObjects(chosen.objects)
	s.events, s.compactedRevision = nil, chosen.revision
	s.copies = slices.DeleteFunc(s.copies, func(c storeCopy) bool { return c.revision > chosen.revision })
	close(s.changed)
	s.changed = make(chan struct{})
}

// keepCopy keeps the present state. The caller holds s.mu.
func (s *Store) keepCopy() {
	now := time.Now()
	for len(s.copies) > 1 && now.Sub(s.copies[1].at) > maxCopyAge {
		s.copies = s.copies[1:]
	}
	s.copies = append(s.copies, storeCopy{at: now, revision: s.revision, objects: copyObjects(s.objects)})
}

func copyObjects(objects map[string]map[string]object) map[string]map[string]object {
	copied := make(map[string]map[string]object, len(objects))
	for kind, named := range objects {
		copied[kind] = maps.Clone(named)
	}
	return copied
}

// discardResponse is a response writer that discards the response.
type discardResponse struct{}

func (discardResponse) Header() http.Header            { return http.Header{} }
func (discardResponse) Write(data []byte) (int, error) { return len(data), nil }
func (discardResponse) WriteHeader(int)                {}

func writeJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value)
}

// appendObject appends the encoding of an object. Its spec is appended as it was stored, whatever it is.
func appendObject(text []byte, o object) []byte {
	encodedMeta, err := json.Marshal(o.Meta)
	if err != nil {
		panic(err)
	}
	text = append(append(text, `{"meta":`...), encodedMeta...)
	text = append(append(text, `,"spec":`...), o.Spec...)
	return append(text, `,"status":null}`...)
}

// writeObject writes an object as a response.
func writeObject(w http.ResponseWriter, status int, o object) {
	writeRaw(w, status, appendObject(nil, o))
}

func writeRaw(w http.ResponseWriter, status int, text []byte) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(text)
}

// writeList writes encoded objects or events as a response, under the name of their list.
func writeList(w http.ResponseWriter, name string, list [][]byte, hasMore bool, revision uint64) {
	text := fmt.Appendf(nil, `{%q:[`, name)
	text = append(text, bytes.Join(list, []byte(","))...)
	writeRaw(w, http.StatusOK, fmt.Appendf(text, `],"HasMore":%t,"AtRev":%d}`, hasMore, revision))
}

func (s *Store) serveKind(w http.ResponseWriter, r *http.Request) {
	if r.URL.Query().Has("Watch") {
		s.serveWatch(w, r)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var items [][]byte
	more := false
	for _, name := range sortedNames(s.objects[r.PathValue("kind")]) {
		if name <= r.URL.Query().Get("after") {
			continue
		}
		if len(items) == pageSize {
			more = true
			break
		}
		items = append(items, appendObject(nil, s.objects[r.PathValue("kind")][name]))
	}
	writeList(w, "items", items, more, s.revision)
}

func (s *Store) serveWatch(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("Watch"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("WaitMs"))
	end := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		delay := s.watchDelay(r)
		newEvents, revision := s.eventsAfter(r.PathValue("kind"), after, delay)
		changed, gone := s.changed, after < s.compactedRevision || after > s.revision
		s.mu.Unlock()
		var later <-chan time.Time
		if delay > 0 {
			later = time.After(watchDelayStep)
		}
		if gone {
			w.WriteHeader(http.StatusGone)
			return
		}
		if len(newEvents) > 0 {
			writeList(w, "events", newEvents, false, revision)
			return
		}
		select {
		case <-changed:
			if s.refuse(w, r) {
				return
			}
		case <-later:
		case <-end:
			writeList(w, "events", nil, false, revision)
			return
		case <-r.Context().Done():
			return
		}
	}
}

// eventsAfter returns the encoded changes of a kind after a revision that are older than a delay, and the revision of
// the store at that time, not below the given one.
func (s *Store) eventsAfter(kind string, after uint64, delay time.Duration) ([][]byte, uint64) {
	var newEvents [][]byte
	known, until := s.revision, time.Now().Add(-delay)
	for i, e := range s.events {
		if delay > 0 && e.at.After(until) {
			known = after
			if i > 0 {
				known = max(after, s.events[i-1].Object.Meta.Revision)
			}
			break
		}
		if e.kind == kind && e.Object.Meta.Revision > after {
			text := appendObject([]byte(`{"Object":`), e.Object)
			newEvents = append(newEvents, fmt.Appendf(text, `,"Tombstone":%t}`, e.Tombstone))
		}
	}
	return newEvents, known
}

// DelayWatches makes the watches from a source IP address learn of changes after a delay; 0 ends that. Lists are not
// delayed.
func (s *Store) DelayWatches(source string, delay time.Duration) { s.watchDelays.Store(source, delay) }

func (s *Store) watchDelay(r *http.Request) time.Duration {
	source, _, _ := net.SplitHostPort(r.RemoteAddr)
	delay, _ := s.watchDelays.Load(source)
	d, _ := delay.(time.Duration)
	return d
}

// Compact discards the history of changes. Watches from an earlier revision then fail with status 410.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.compactedRevision, s.events = s.revision, nil
}

func (s *Store) serveGet(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.objects[r.PathValue("kind")][r.PathValue("name")]
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	writeObject(w, http.StatusOK, o)
}

func (s *Store) serveCreate(w http.ResponseWriter, r *http.Request) {
	var sent object
	if err := json.NewDecoder(r.Body).Decode(&sent); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if o, ok := s.objects[r.PathValue("kind")][sent.Meta.Name]; ok {
		writeObject(w, http.StatusConflict, o)
		return
	}
	s.recordConditionalWriter(r)
	writeObject(w, http.StatusOK, s.put(r.PathValue("kind"), sent.Meta.Name, s.substitute(sent.Spec)))
}

func (s *Store) servePut(w http.ResponseWriter, r *http.Request) {
	var sent object
	if err := json.NewDecoder(r.Body).Decode(&sent); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.objects[r.PathValue("kind")][r.PathValue("name")]
	switch {
	case !ok:
		w.WriteHeader(http.StatusNotFound)
	case sent.Meta.Revision != 0 && sent.Meta.Revision != o.Meta.Revision:
		writeObject(w, http.StatusConflict, o)
	default:
		if sent.Meta.Revision != 0 {
			s.recordConditionalWriter(r)
		}
		writeObject(w, http.StatusOK, s.put(r.PathValue("kind"), o.Meta.Name, s.substitute(sent.Spec)))
	}
}

func (s *Store) recordConditionalWriter(r *http.Request) {
	if source, _, err := net.SplitHostPort(r.RemoteAddr); err == nil {
		s.lastConditionalWriter.Store(source)
	}
}

// Has reports whether there is an object.
func (s *Store) Has(kind, name string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, ok := s.objects[kind][name]
	return ok
}

// Count returns the number of objects of a kind.
func (s *Store) Count(kind string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.objects[kind])
}

func (s *Store) serveDelete(w http.ResponseWriter, r *http.Request) {
	if err := s.Delete(r.PathValue("kind"), r.PathValue("name")); err != nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	writeJSON(w, http.StatusOK, nil)
}

// put stores an object under the next revision. The caller holds s.mu.
func (s *Store) put(kind, name string, spec json.RawMessage) object {
	s.revision++
	o := object{Meta: meta{Name: name, Revision: s.revision}, Spec: spec}
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]object{}
	}
	s.objects[kind][name] = o
	s.addEvent(event{Object: o, kind: kind})
	return o
}

// addEvent adds a change to the history and wakes the waiting watches. The caller holds s.mu.
func (s *Store) addEvent(e event) {
	e.at = time.Now()
	s.events = append(s.events, e)
	s.keepCopy()
	close(s.changed)
	s.changed = make(chan struct{})
}

// Put stores an object, encoded as JSON, without a check of its revision, as the operator and targets do.
func (s *Store) Put(kind, name string, spec any) {
	raw, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.PutRaw(kind, name, raw)
}

// PutRaw stores an object with any spec, valid or not.
func (s *Store) PutRaw(kind, name string, spec json.RawMessage) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.put(kind, name, spec)
}

// Delete removes an object. It fails if the object doesn't exist.
func (s *Store) Delete(kind, name string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.objects[kind][name]
	if !ok {
		return errors.New("no such object")
	}
	delete(s.objects[kind], name)
	s.revision++
	o.Meta.Revision = s.revision
	s.addEvent(event{Object: o, Tombstone: true, kind: kind})
	return nil
}
