package platform

import (
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/papayacove/papayacove/api"
)

// maxBodyBytes leaves room for the fields around the largest data.
const maxBodyBytes = maxDataBytes + 64<<10

// maxWatchWait bounds the time that a watch may wait.
const maxWatchWait = 5 * time.Minute

// operation describes one kind of call.
type operation struct {
	// count selects the counter of the call.
	count func(*Counts) *uint64
	// changes is true for calls whose answer may be lost after they took effect.
	changes bool
	// handle carries the call out.
	handle func(*http.Request) (any, *failure)
}

// routes returns the object API.
func (s *Server) routes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/objects/{kind}", s.serve(operation{
		count:  func(c *Counts) *uint64 { return &c.List },
		handle: s.handleList,
	}))
	mux.HandleFunc("GET /v1/objects/{kind}/{name}", s.serve(operation{
		count:  func(c *Counts) *uint64 { return &c.Get },
		handle: s.handleGet,
	}))
	mux.HandleFunc("POST /v1/objects/{kind}/{name}", s.serve(operation{
		count:   func(c *Counts) *uint64 { return &c.Create },
		changes: true,
		handle:  s.handleCreate,
	}))
	mux.HandleFunc("PUT /v1/objects/{kind}/{name}", s.serve(operation{
		count:   func(c *Counts) *uint64 { return &c.Update },
		changes: true,
		handle:  s.handleUpdate,
	}))
	mux.HandleFunc("DELETE /v1/objects/{kind}/{name}", s.serve(operation{
		count:   func(c *Counts) *uint64 { return &c.Delete },
		changes: true,
		handle:  s.handleDelete,
	}))
	mux.HandleFunc("GET /v1/watch", s.serve(operation{
		count:  func(c *Counts) *uint64 { return &c.Watch },
		handle: s.handleWatch,
	}))
	mux.HandleFunc("GET /v1/vms", s.serve(operation{
		count:  func(c *Counts) *uint64 { return &c.VMs },
		handle: s.handleVMs,
	}))
	mux.HandleFunc("GET /v1/vms/watch", s.serve(operation{
		count:  func(c *Counts) *uint64 { return &c.WatchVMs },
		handle: s.handleWatchVMs,
	}))
	mux.HandleFunc("GET /v1/counts", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, s.Counts())
	})
	return mux
}

// serve wraps an operation with the faults that the knobs select.
func (s *Server) serve(op operation) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		s.passFaults(r)
		s.counter.add(op.count)
		sleep(r, s.faults.delay())
		s.passFaults(r)
		body, f := op.handle(r)
		s.passFaults(r)
		if op.changes && f == nil && s.faults.losesAnswer() {
			dropConnection()
		}
		if f != nil {
			writeJSON(w, f.status, f.body)
			return
		}
		writeJSON(w, http.StatusOK, body)
	}
}

// passFaults returns when the request may go on; otherwise it ends its connection, at
// once when the platform is down and after the caller gave up when its zone is cut off.
func (s *Server) passFaults(r *http.Request) {
	switch s.faults.reach(r.Header.Get(ZoneHeader)) {
	case reachCut:
		drain(r)
		<-r.Context().Done()
		dropConnection()
	case reachDown:
		dropConnection()
	}
}

func (s *Server) handleList(r *http.Request) (any, *failure) {
	return s.store.list(r.PathValue("kind")), nil
}

func (s *Server) handleGet(r *http.Request) (any, *failure) {
	return orFailure(s.store.get(keyOf(r)))
}

func (s *Server) handleCreate(r *http.Request) (any, *failure) {
	o, f := readObject(r)
	if f != nil {
		return nil, f
	}
	return orFailure(s.store.create(keyOf(r), o.Data))
}

func (s *Server) handleUpdate(r *http.Request) (any, *failure) {
	o, f := readObject(r)
	if f != nil {
		return nil, f
	}
	return orFailure(s.store.update(keyOf(r), o.Version, o.Data))
}

func (s *Server) handleDelete(r *http.Request) (any, *failure) {
	version, err := strconv.ParseUint(r.URL.Query().Get("version"), 10, 64)
	if err != nil {
		return nil, failInvalid
	}
	return orFailure(s.store.remove(keyOf(r), version))
}

func (s *Server) handleWatch(r *http.Request) (any, *failure) {
	after, wait, f := watchParameters(r)
	if f != nil {
		return nil, f
	}
	kinds := strings.Split(r.URL.Query().Get("kinds"), ",")
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		changes, changed, f := s.store.changesAfter(after, kinds)
		if f != nil {
			return nil, f
		}
		if len(changes.Objects) > 0 || !s.await(r, changed, timer) {
			return changes, nil
		}
	}
}

func (s *Server) handleVMs(*http.Request) (any, *failure) {
	list, _ := s.vms.get()
	return list, nil
}

func (s *Server) handleWatchVMs(r *http.Request) (any, *failure) {
	after, wait, f := watchParameters(r)
	if f != nil {
		return nil, f
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		list, changed := s.vms.get()
		if list.Revision != after || !s.await(r, changed, timer) {
			return list, nil
		}
	}
}

// await waits for a change and reports whether there was one. A change of the knobs that
// cuts the caller off ends the request.
func (s *Server) await(r *http.Request, changed <-chan struct{}, timer *time.Timer) bool {
	for {
		_, knobsChanged := s.faults.get()
		s.passFaults(r)
		select {
		case <-changed:
			return true
		case <-knobsChanged:
		case <-timer.C:
			return false
		case <-r.Context().Done():
			dropConnection()
		}
	}
}

// watchParameters returns the revision to watch from and the time to wait.
func watchParameters(r *http.Request) (uint64, time.Duration, *failure) {
	query := r.URL.Query()
	after, err := strconv.ParseUint(query.Get("after"), 10, 64)
	if err != nil {
		return 0, 0, failInvalid
	}
	waitMs, err := strconv.ParseInt(query.Get("timeout_ms"), 10, 64)
	if err != nil || waitMs < 0 {
		return 0, 0, failInvalid
	}
	wait := min(time.Duration(waitMs)*time.Millisecond, maxWatchWait)
	return after, wait, nil
}

// keyOf returns the key of the object that the path names.
func keyOf(r *http.Request) objectKey {
	return objectKey{kind: r.PathValue("kind"), name: r.PathValue("name")}
}

// readObject returns the object in the body of a request.
func readObject(r *http.Request) (api.Object, *failure) {
	var o api.Object
	body := http.MaxBytesReader(nil, r.Body, maxBodyBytes)
	err := json.NewDecoder(body).Decode(&o)
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return api.Object{}, failTooLarge
	}
	if err != nil {
		return api.Object{}, failInvalid
	}
	return o, nil
}

// orFailure keeps an object apart from the failure to get it.
func orFailure(o api.Object, f *failure) (any, *failure) {
	if f != nil {
		return nil, f
	}
	return o, nil
}
