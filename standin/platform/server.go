// Package platform is a stand-in for the platform: its object API with versions, conditional
// updates and watches, and its VM list, which callers see with a lag, over HTTP and JSON.
//
// The state is held in memory. The stand-in injects faults of the platform on request: outages, slow
// and lost responses, partitioned availability zones and half-open connections.
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

// readHeaderTimeout is the longest time that the servers wait for a request header.
const readHeaderTimeout = 10 * time.Second

// Options are the settings of a stand-in.
type Options struct {
	// Address is the host:port of the object API; empty for a free loopback port.
	Address string

	// AdminAddress is the host:port of the admin API; empty for none.
	AdminAddress string

	// Seed is the seed of the random faults.
	Seed uint64
}

// Server is a stand-in for the platform. After Start its methods are safe for concurrent use.
type Server struct {
	options       Options
	store         *store
	vms           *vmList
	faultInjector *faultInjector
	counter       *callCounter
	listener      *listener
	api           *http.Server
	admin         *http.Server
	adminAddress  string
}

// New returns a stand-in that has not been started.
func New(options Options) *Server {
	if options.Address == "" {
		options.Address = "127.0.0.1:0"
	}
	return &Server{
		options:       options,
		store:         newStore(),
		vms:           newVMList(),
		faultInjector: newFaultInjector(options.Seed),
		counter:       &callCounter{},
	}
}

// Start listens on both addresses and serves until Close.
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
	s.adminAddress = l.Addr().String()
	s.admin = newHTTPServer(s.adminRoutes())
	go s.admin.Serve(l)
	return nil
}

// Close stops the servers and ends all connections and requests.
func (s *Server) Close() error {
	if s.admin != nil {
		s.admin.Close()
	}
	// The HTTP server closes the listener only if the goroutine that serves it has started.
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

// AdminAddress returns the host:port of the admin API, or an empty string if there is none.
func (s *Server) AdminAddress() string {
	return s.adminAddress
}

// Faults returns the active faults.
func (s *Server) Faults() Faults {
	faults, _ := s.faultInjector.get()
	return faults
}

// SetFaults replaces the active faults.
func (s *Server) SetFaults(faults Faults) {
	s.faultInjector.set(faults)
}

// MakeHalfOpen makes the connections that are open now half-open for the rest of their life: requests that arrive on
// them are discarded, neither executed nor answered, while new connections work.
func (s *Server) MakeHalfOpen() {
	s.listener.makeHalfOpen()
}

// Counts returns the numbers of calls by kind.
func (s *Server) Counts() Counts {
	return s.counter.get()
}

// SetVMs replaces the VM list; callers see it after the lag.
func (s *Server) SetVMs(vms []api.VM, lag time.Duration) {
	s.vms.set(vms, lag)
}

// PutObject stores an object without a check of its version and returns it with its new version.
func (s *Server) PutObject(o api.Object) api.Object {
	return s.store.overwrite(o)
}

// Objects returns the objects of all kinds.
func (s *Server) Objects() api.ObjectList {
	return s.store.all()
}

// Compact discards the history of changes. A watch from an earlier revision then fails, and its caller has to list
// the objects again.
func (s *Server) Compact() {
	s.store.compact()
}

func newHTTPServer(h http.Handler) *http.Server {
	return &http.Server{Handler: h, ReadHeaderTimeout: readHeaderTimeout}
}
