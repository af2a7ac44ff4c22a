// Package platform is a stand-in of the platform: its object API with versions, conditional
// updates and watches, and its lagging VM list, over HTTP and JSON.
//
// The state is held in memory. Knobs bring about the faults of the platform: outages, slow
// and lost answers, availability zones that are cut off and connections that go silent.
package platform

import (
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/papayacove/papayacove/api"
)

// ZoneHeader names the availability zone that a request comes from.
const ZoneHeader = "X-Availability-Zone"

// readHeaderTimeout bounds the time in which a request header arrives.
const readHeaderTimeout = 10 * time.Second

// Options describe a stand-in.
type Options struct {
	// Address is the host:port of the object API; empty for a free loopback port.
	Address string

	// AdminAddress is the host:port of the admin API; empty for none.
	AdminAddress string

	// Seed of the random faults.
	Seed uint64
}

// Server is one stand-in of the platform.
type Server struct {
	options  Options
	store    *store
	vms      *vmList
	faults   *faults
	counter  *callCounter
	listener *listener
	api      *http.Server
	admin    *http.Server
	adminAt  string
}

// New returns a stand-in that is not started.
func New(options Options) *Server {
	if options.Address == "" {
		options.Address = "127.0.0.1:0"
	}
	return &Server{
		options: options,
		store:   newStore(),
		vms:     newVMList(),
		faults:  newFaults(options.Seed),
		counter: &callCounter{},
	}
}

// Start listens and serves until Close.
func (s *Server) Start() error {
	inner, err := net.Listen("tcp", s.options.Address)
	if err != nil {
		return fmt.Errorf("listen for the object API: %w", err)
	}
	s.listener = newListener(inner)
	s.api = newHTTPServer(s.routes())
	go s.api.Serve(s.listener)
	if s.options.AdminAddress == "" {
		return nil
	}
	return s.startAdmin()
}

// startAdmin listens on the admin address and serves until Close.
func (s *Server) startAdmin() error {
	l, err := net.Listen("tcp", s.options.AdminAddress)
	if err != nil {
		s.Close()
		return fmt.Errorf("listen for the admin API: %w", err)
	}
	s.adminAt = l.Addr().String()
	s.admin = newHTTPServer(s.adminRoutes())
	go s.admin.Serve(l)
	return nil
}

// Close ends all connections and requests.
func (s *Server) Close() error {
	if s.admin != nil {
		s.admin.Close()
	}
	// The HTTP server does not know the listener before its goroutine runs.
	s.listener.Close()
	return s.api.Close()
}

// Address returns the host:port of the object API.
func (s *Server) Address() string {
	return s.listener.Addr().String()
}

// URL returns the base URL of the object API.
func (s *Server) URL() string {
	return "http://" + s.Address()
}

// AdminAddress returns the host:port of the admin API; empty for none.
func (s *Server) AdminAddress() string {
	return s.adminAt
}

// Knobs returns the faults in force.
func (s *Server) Knobs() Knobs {
	k, _ := s.faults.get()
	return k
}

// SetKnobs replaces the faults in force.
func (s *Server) SetKnobs(k Knobs) {
	s.faults.set(k)
}

// Silence makes the connections that are open now silent for good: what arrives on them is
// neither carried out nor answered, while new connections work.
func (s *Server) Silence() {
	s.listener.silence()
}

// Counts returns the calls by kind.
func (s *Server) Counts() Counts {
	return s.counter.get()
}

// SetVMs replaces the VM list; callers see it after the lag.
func (s *Server) SetVMs(vms []api.VM, lag time.Duration) {
	s.vms.set(vms, lag)
}

// PutObject stores an object whatever its version and returns it with its new version.
func (s *Server) PutObject(o api.Object) api.Object {
	return s.store.overwrite(o)
}

// Objects returns the objects of all kinds.
func (s *Server) Objects() api.ObjectList {
	return s.store.all()
}

// Compact drops the history: watches from an earlier revision have to list anew.
func (s *Server) Compact() {
	s.store.compact()
}

func newHTTPServer(h http.Handler) *http.Server {
	return &http.Server{Handler: h, ReadHeaderTimeout: readHeaderTimeout}
}
