package certificate

import (
	"crypto/tls"
	"errors"
	"fmt"
	"slices"
)

// ErrNotOfFleet marks a certificate of the peer authority that belongs to no daemon of the fleet.
var ErrNotOfFleet = errors.New("the certificate names no daemon of the fleet")

// Client returns the configuration of one new connection, with the newest authorities.
type Client func() *tls.Config

// Callers returns the configuration for caller connections; nil without a certificate.
func (s *Store) Callers() *tls.Config {
	if s.caller == nil {
		return nil
	}
	return &tls.Config{MinVersion: tls.VersionTLS12, GetCertificate: s.caller.show}
}

// PeerServer returns the configuration for connections from other daemons; nil without a
// certificate. A daemon is admitted when the peer authority signed its certificate and isMember
// knows one of the DNS names in it.
func (s *Store) PeerServer(isMember func(name string) bool) *tls.Config {
	if s.peer == nil {
		return nil
	}
	verify := func(state tls.ConnectionState) error { return checkMember(state, isMember) }
	newest := func(*tls.ClientHelloInfo) (*tls.Config, error) {
		return &tls.Config{
			MinVersion:     tls.VersionTLS13,
			GetCertificate: s.peer.show,
			ClientAuth:     tls.RequireAndVerifyClientCert,
			ClientCAs:      s.peerAuthority.current.Load(),
			// A resumed session would not be checked against a renewed authority.
			SessionTicketsDisabled: true,
			VerifyConnection:       verify,
		}, nil
	}
	return &tls.Config{MinVersion: tls.VersionTLS13, GetConfigForClient: newest, GetCertificate: s.peer.show}
}

// PeerClient returns the configuration for connections to other daemons; nil without a certificate.
// The certificate of the other daemon must be for the IP address that is dialled.
func (s *Store) PeerClient() Client {
	if s.peer == nil {
		return nil
	}
	return func() *tls.Config {
		return &tls.Config{
			MinVersion:           tls.VersionTLS13,
			RootCAs:              s.peerAuthority.current.Load(),
			GetClientCertificate: s.peer.showToServer,
		}
	}
}

// Targets returns the configuration for connections to targets; nil without an authority.
func (s *Store) Targets() Client {
	return s.targetAuthority.client()
}

// Platform returns the configuration for calls to the platform; nil without an authority.
func (s *Store) Platform() Client {
	return s.platformAuthority.client()
}

func (a *authority) client() Client {
	if a == nil {
		return nil
	}
	return func() *tls.Config {
		return &tls.Config{MinVersion: tls.VersionTLS12, RootCAs: a.current.Load()}
	}
}

func (p *pair) show(*tls.ClientHelloInfo) (*tls.Certificate, error) {
	return p.current.Load(), nil
}

func (p *pair) showToServer(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
	return p.current.Load(), nil
}

// checkMember refuses certificates that the authority signed for others than daemons, such as the
// one that is shown to callers.
func checkMember(state tls.ConnectionState, isMember func(name string) bool) error {
	names := state.PeerCertificates[0].DNSNames
	if slices.ContainsFunc(names, isMember) {
		return nil
	}
	return fmt.Errorf("%w: %q", ErrNotOfFleet, names)
}
