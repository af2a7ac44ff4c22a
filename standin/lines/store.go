// Package lines is a stand-in for the platform of the line protocol: its metadata store, its targets, the order to
// promote and a caller. It never ships.
package lines

import (
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// meta and object are an object as the store writes it.
type meta struct {
	Name       string   `json:"Name"`
	Revision   uint64   `json:"Revision"`
	Created    uint64   `json:"Created"`
	Finalizers []string `json:"Finalizers"`
	Deleting   bool     `json:"Deleting"`
}

type object struct {
	Meta   meta            `json:"meta"`
	Spec   json.RawMessage `json:"spec"`
	Status json.RawMessage `json:"status"`
}

// event is one change; a tombstone stands for a removal.
type event struct {
	Object    object `json:"Object"`
	Tombstone bool   `json:"Tombstone"`
	kind      string
}

// pageSize is the number of objects in one answer to a list.
const pageSize = 3

// Store is the metadata store.
type Store struct {
	server   *http.Server
	listener net.Listener

	// Down makes every call answer 503.
	Down atomic.Bool
	// LoseAnswers carries changes out and then ends the connection.
	LoseAnswers atomic.Bool

	mu       sync.Mutex
	revision uint64
	oldest   uint64
	objects  map[string]map[string]object
	events   []event
	changed  chan struct{}
}

// NewStore starts a store on a loopback port.
func NewStore() (*Store, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &Store{listener: listener, revision: 1, objects: map[string]map[string]object{}, changed: make(chan struct{})}
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

// URL is the base URL.
func (s *Store) URL() string { return "http://" + s.listener.Addr().String() }

// Close stops the store.
func (s *Store) Close() { _ = s.server.Close() }

func (s *Store) withFaults(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.Down.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		if s.LoseAnswers.Load() && r.Method != http.MethodGet {
			next.ServeHTTP(discard{}, r)
			panic(http.ErrAbortHandler)
		}
		next.ServeHTTP(w, r)
	})
}

// discard is an answer that nobody gets.
type discard struct{}

func (discard) Header() http.Header            { return http.Header{} }
func (discard) Write(data []byte) (int, error) { return len(data), nil }
func (discard) WriteHeader(int)                {}

func answer(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value)
}

func (s *Store) serveKind(w http.ResponseWriter, r *http.Request) {
	if r.URL.Query().Has("Watch") {
		s.serveWatch(w, r)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	items, more := []object{}, false
	for _, name := range sortedNames(s.objects[r.PathValue("kind")]) {
		if name <= r.URL.Query().Get("after") {
			continue
		}
		if len(items) == pageSize {
			more = true
			break
		}
		items = append(items, s.objects[r.PathValue("kind")][name])
	}
	answer(w, http.StatusOK, map[string]any{"items": items, "HasMore": more, "AtRev": s.revision})
}

func (s *Store) serveWatch(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("Watch"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("WaitMs"))
	end := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		news, revision, changed, gone := s.newer(r.PathValue("kind"), after), s.revision, s.changed, after < s.oldest
		s.mu.Unlock()
		if gone {
			w.WriteHeader(http.StatusGone)
			return
		}
		if len(news) > 0 {
			answer(w, http.StatusOK, map[string]any{"events": news, "AtRev": revision})
			return
		}
		select {
		case <-changed:
		case <-end:
			answer(w, http.StatusOK, map[string]any{"events": []event{}, "AtRev": revision})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *Store) newer(kind string, after uint64) []event {
	var news []event
	for _, e := range s.events {
		if e.kind == kind && e.Object.Meta.Revision > after {
			news = append(news, e)
		}
	}
	return news
}

// Compact drops the history.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.oldest, s.events = s.revision, nil
}

func (s *Store) serveGet(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.objects[r.PathValue("kind")][r.PathValue("name")]
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	answer(w, http.StatusOK, o)
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
		answer(w, http.StatusConflict, o)
		return
	}
	answer(w, http.StatusOK, s.put(r.PathValue("kind"), sent.Meta.Name, sent.Spec))
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
		answer(w, http.StatusConflict, o)
	default:
		answer(w, http.StatusOK, s.put(r.PathValue("kind"), o.Meta.Name, sent.Spec))
	}
}

func (s *Store) serveDelete(w http.ResponseWriter, r *http.Request) {
	if err := s.Delete(r.PathValue("kind"), r.PathValue("name")); err != nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	answer(w, http.StatusOK, nil)
}

// put stores an object. The caller holds the lock.
func (s *Store) put(kind, name string, spec json.RawMessage) object {
	s.revision++
	o := object{Meta: meta{Name: name, Revision: s.revision}, Spec: spec}
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]object{}
	}
	s.objects[kind][name] = o
	s.note(event{Object: o, kind: kind})
	return o
}

// note tells the watches. The caller holds the lock.
func (s *Store) note(e event) {
	s.events = append(s.events, e)
	close(s.changed)
	s.changed = make(chan struct{})
}

// Put stores an object as the operator or a target does.
func (s *Store) Put(kind, name string, spec any) {
	raw, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.PutRaw(kind, name, raw)
}

// PutRaw stores an object of any content.
func (s *Store) PutRaw(kind, name string, spec json.RawMessage) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.put(kind, name, spec)
}

// Delete removes an object.
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
	s.note(event{Object: o, Tombstone: true, kind: kind})
	return nil
}
