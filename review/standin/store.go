package main

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// meta, object and event are encoded as PROTOCOL.md says.
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

type event struct {
	Object    object `json:"Object"`
	Tombstone bool   `json:"Tombstone"`
	kind      string
}

// store is the platform's metadata store. It is linearizable and loses nothing.
type store struct {
	listener net.Listener

	mu sync.Mutex
	// onWrite is called after each conditional write and each creation; nil for none.
	onWrite func(kind string, o object)
	// onWatch is called when a watch begins, with the address that it comes from; nil for none.
	onWatch  func(kind, from string)
	revision uint64
	objects  map[string]map[string]object
	events   []event
	changed  chan struct{}
}

func newStore(address string) (*store, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s := &store{listener: listener, revision: 100, objects: map[string]map[string]object{}, changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/objects/{kind}", s.serveKind)
	mux.HandleFunc("POST /v1/objects/{kind}", s.serveCreate)
	mux.HandleFunc("GET /v1/objects/{kind}/{name}", s.serveGet)
	mux.HandleFunc("PUT /v1/objects/{kind}/{name}", s.servePut)
	mux.HandleFunc("DELETE /v1/objects/{kind}/{name}", s.serveDelete)
	go func() { _ = (&http.Server{Handler: mux}).Serve(listener) }()
	return s, nil
}

func answer(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value)
}

func (s *store) serveKind(w http.ResponseWriter, r *http.Request) {
	if r.URL.Query().Has("Watch") {
		s.serveWatch(w, r)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	items := []object{}
	for _, o := range s.objects[r.PathValue("kind")] {
		items = append(items, o)
	}
	answer(w, http.StatusOK, map[string]any{"items": items, "HasMore": false, "AtRev": s.revision})
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("Watch"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("WaitMs"))
	end := time.After(time.Duration(wait) * time.Millisecond)
	s.mu.Lock()
	onWatch := s.onWatch
	s.mu.Unlock()
	if onWatch != nil {
		onWatch(r.PathValue("kind"), r.RemoteAddr)
	}
	for {
		s.mu.Lock()
		found := []event{}
		for _, e := range s.events {
			if e.kind == r.PathValue("kind") && e.Object.Meta.Revision > after {
				found = append(found, e)
			}
		}
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(found) > 0 {
			answer(w, http.StatusOK, map[string]any{"events": found, "AtRev": revision})
			return
		}
		select {
		case <-changed:
		case <-end:
			answer(w, http.StatusOK, map[string]any{"events": found, "AtRev": revision})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) serveGet(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if o, ok := s.objects[r.PathValue("kind")][r.PathValue("name")]; ok {
		answer(w, http.StatusOK, o)
		return
	}
	answer(w, http.StatusNotFound, map[string]any{})
}

func (s *store) serveCreate(w http.ResponseWriter, r *http.Request) {
	var sent object
	if json.NewDecoder(r.Body).Decode(&sent) != nil {
		answer(w, http.StatusBadRequest, map[string]any{})
		return
	}
	kind := r.PathValue("kind")
	s.mu.Lock()
	if o, ok := s.objects[kind][sent.Meta.Name]; ok {
		s.mu.Unlock()
		answer(w, http.StatusConflict, o)
		return
	}
	o := s.put(kind, sent.Meta.Name, sent.Spec)
	s.mu.Unlock()
	s.report(kind, o)
	answer(w, http.StatusOK, o)
}

func (s *store) servePut(w http.ResponseWriter, r *http.Request) {
	var sent object
	if json.NewDecoder(r.Body).Decode(&sent) != nil {
		answer(w, http.StatusBadRequest, map[string]any{})
		return
	}
	kind := r.PathValue("kind")
	s.mu.Lock()
	known, ok := s.objects[kind][r.PathValue("name")]
	if !ok {
		s.mu.Unlock()
		answer(w, http.StatusNotFound, map[string]any{})
		return
	}
	if sent.Meta.Revision != 0 && sent.Meta.Revision != known.Meta.Revision {
		s.mu.Unlock()
		answer(w, http.StatusConflict, known)
		return
	}
	o := s.put(kind, known.Meta.Name, sent.Spec)
	s.mu.Unlock()
	if sent.Meta.Revision != 0 {
		s.report(kind, o)
	}
	answer(w, http.StatusOK, o)
}

func (s *store) report(kind string, o object) {
	s.mu.Lock()
	onWrite := s.onWrite
	s.mu.Unlock()
	if onWrite != nil {
		onWrite(kind, o)
	}
}

// hook sets what is called at conditional writes and at watches.
func (s *store) hook(onWrite func(kind string, o object), onWatch func(kind, from string)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.onWrite, s.onWatch = onWrite, onWatch
}

func (s *store) serveDelete(w http.ResponseWriter, r *http.Request) {
	s.remove(r.PathValue("kind"), r.PathValue("name"))
	answer(w, http.StatusOK, map[string]any{})
}

// put stores an object under the next revision. The caller holds the lock.
func (s *store) put(kind, name string, spec json.RawMessage) object {
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]object{}
	}
	known := s.objects[kind][name]
	if slices.Equal(known.Spec, spec) {
		return known
	}
	s.revision++
	o := object{Meta: meta{Name: name, Revision: s.revision}, Spec: spec}
	s.objects[kind][name] = o
	s.addEvent(event{Object: o, kind: kind})
	return o
}

// addEvent wakes the watches. The caller holds the lock.
func (s *store) addEvent(e event) {
	s.events = append(s.events, e)
	close(s.changed)
	s.changed = make(chan struct{})
}

// write stores what the operator or a database writes.
func (s *store) write(kind, name string, spec any) {
	raw, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.put(kind, name, raw)
}

func (s *store) remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.objects[kind][name]
	if !ok {
		return
	}
	delete(s.objects[kind], name)
	s.revision++
	o.Meta.Revision = s.revision
	s.addEvent(event{Object: o, Tombstone: true, kind: kind})
}
