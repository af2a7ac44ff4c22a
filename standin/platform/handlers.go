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

// maxBodyBytes is the largest request body in bytes. It leaves room for the other fields of an object whose data has
// the largest size.
const maxBodyBytes = maxDataBytes + 64<<10

// maxWatchWait is the longest time that a watch waits, whatever timeout the caller asks for.
const maxWatchWait = 5 * time.Minute

// operation describes one kind of call.
type operation struct {
	// count selects the count of this kind.
	count func(*Counts) *uint64
	// mutates is true for calls that change objects. Their response may be lost after they took effect.
	mutates bool
	// handle executes the call and returns the response body or a failure.
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
		mutates: true,
		handle:  s.handleCreate,
	}))
	mux.HandleFunc("PUT /v1/objects/{kind}/{name}", s.serve(operation{
		count:   func(c *Counts) *uint64 { return &c.Update },
		mutates: true,
		handle:  s.handleUpdate,
	}))
	mux.HandleFunc("DELETE /v1/objects/{kind}/{name}", s.serve(operation{
		count:   func(c *Counts) *uint64 { return &c.Delete },
		mutates: true,
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

// serve returns the handler of an operation, which applies the active faults.
func (s *Server) serve(op operation) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		s.requireReachable(r)
		s.counter.add(op.count)
		sleep(r, s.faultInjector.delay())
		s.requireReachable(r)
		body, f := op.handle(r)
		s.requireReachable(r)
		if op.mutates && f == nil && s.faultInjector.losesResponse() {
			dropConnection()
		}
		if f != nil {
			writeJSON(w, f.status, f.body)
			return
		}
		writeJSON(w, http.StatusOK, body)
	}
}

// requireReachable returns if the request may proceed. Otherwise it ends the connection of the request: immediately
// if the platform is down, and when the caller has closed the connection if its availability zone is partitioned.
func (s *Server) requireReachable(r *http.Request) {
	switch s.faultInjector.classify(r.Header.Get(ZoneHeader)) {
	case zonePartitioned:
		drainBody(r)
		<-r.Context().Done()
		dropConnection()
	case platformDown:
		dropConnection()
	}
}

func (s *Server) handleList(r *http.Request) (any, *failure) {
	return s.store.list(r.PathValue("kind")), nil
}

func (s *Server) handleGet(r *http.Request) (any, *failure) {
	return objectOrFailure(s.store.get(keyOf(r)))
}

func (s *Server) handleCreate(r *http.Request) (any, *failure) {
	o, f := readObject(r)
	if f != nil {
		return nil, f
	}
	return objectOrFailure(s.store.create(keyOf(r), o.Data))
}

func (s *Server) handleUpdate(r *http.Request) (any, *failure) {
	o, f := readObject(r)
	if f != nil {
		return nil, f
	}
	return objectOrFailure(s.store.update(keyOf(r), o.Version, o.Data))
}

func (s *Server) handleDelete(r *http.Request) (any, *failure) {
	version, err := strconv.ParseUint(r.URL.Query().Get("version"), 10, 64)
	if err != nil {
		return nil, failInvalid
	}
	return objectOrFailure(s.store.remove(keyOf(r), version))
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

// await waits for a change and reports whether there was one before the timer expired. The request ends without a
// response if the active faults change and no longer let it reach the platform, or if the caller closes the
// connection.
func (s *Server) await(r *http.Request, changed <-chan struct{}, timer *time.Timer) bool {
	for {
		_, faultsChanged := s.faultInjector.get()
		s.requireReachable(r)
		select {
		case <-changed:
			return true
		case <-faultsChanged:
		case <-timer.C:
			return false
		case <-r.Context().Done():
			dropConnection()
		}
	}
}

// watchParameters returns the revision after which a watch begins and the longest time that it waits.
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

// keyOf returns the key of the object that the path of a request names.
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

// objectOrFailure returns a result of the store in the form that operation.handle returns. The body is nil in case of
// a failure.
func objectOrFailure(o api.Object, f *failure) (any, *failure) {
	if f != nil {
		return nil, f
	}
	return o, nil
}
