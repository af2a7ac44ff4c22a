package platform

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/papayacove/papayacove/api"
)

// VMUpdate is the body of POST /vms, which replaces the VM list of the stand-in.
type VMUpdate struct {
	// LagMs is the time in milliseconds until callers see the new list.
	LagMs int64 `json:"lag_ms"`

	// VMs is the new list.
	VMs []api.VM `json:"vms"`
}

// faultsUpdate is the body of POST /knobs. A field that is left out keeps its value.
type faultsUpdate struct {
	Faults

	// Silent makes the connections that are open now half-open for the rest of their life.
	Silent bool `json:"silent"`
}

// adminRoutes returns the admin API.
func (s *Server) adminRoutes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /knobs", s.adminGetFaults)
	mux.HandleFunc("POST /knobs", s.adminSetFaults)
	mux.HandleFunc("GET /vms", s.adminGetVMs)
	mux.HandleFunc("POST /vms", s.adminSetVMs)
	mux.HandleFunc("GET /objects", s.adminGetObjects)
	mux.HandleFunc("POST /objects", s.adminPutObjects)
	mux.HandleFunc("POST /compact", s.adminCompact)
	mux.HandleFunc("GET /counts", s.adminGetCounts)
	return mux
}

func (s *Server) adminGetFaults(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, s.Faults())
}

func (s *Server) adminSetFaults(w http.ResponseWriter, r *http.Request) {
	update := faultsUpdate{Faults: s.Faults()}
	if !readJSON(w, r, &update) {
		return
	}
	s.SetFaults(update.Faults)
	if update.Silent {
		s.MakeHalfOpen()
	}
	writeJSON(w, http.StatusOK, s.Faults())
}

func (s *Server) adminGetVMs(w http.ResponseWriter, _ *http.Request) {
	list, _ := s.vms.get()
	writeJSON(w, http.StatusOK, list)
}

func (s *Server) adminSetVMs(w http.ResponseWriter, r *http.Request) {
	var update VMUpdate
	if !readJSON(w, r, &update) {
		return
	}
	s.SetVMs(update.VMs, time.Duration(update.LagMs)*time.Millisecond)
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) adminGetObjects(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, s.Objects())
}

func (s *Server) adminPutObjects(w http.ResponseWriter, r *http.Request) {
	var objects []api.Object
	if !readJSON(w, r, &objects) {
		return
	}
	for _, o := range objects {
		s.PutObject(o)
	}
	writeJSON(w, http.StatusOK, s.Objects())
}

func (s *Server) adminCompact(w http.ResponseWriter, _ *http.Request) {
	s.Compact()
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) adminGetCounts(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, s.Counts())
}

// readJSON decodes the body of a request and reports whether it is valid JSON of the expected type. If not, it
// responds with status 400.
func readJSON(w http.ResponseWriter, r *http.Request, into any) bool {
	if err := json.NewDecoder(r.Body).Decode(into); err != nil {
		writeJSON(w, http.StatusBadRequest, api.PlatformFailure{Code: "invalid", Message: err.Error()})
		return false
	}
	return true
}
