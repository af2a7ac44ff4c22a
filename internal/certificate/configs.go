package certificate

import (
	"crypto/tls"
	"errors"
	"fmt"
	"slices"
)

// ErrUnknownDaemon is returned for a certificate that the peer authority signed but that names no daemon of the fleet.
var ErrUnknownDaemon = errors.New("the certificate names no daemon of the fleet")

// ClientConfig returns the TLS configuration of one new client connection, with the current certificates and
// authorities.
type ClientConfig func() *tls.Config

// Callers returns the configuration for caller connections, or nil if no certificate is set.
func (s *Store) Callers() *tls.Config {
	if s.caller == nil {
		return nil
	}
	return &tls.Config{MinVersion: tls.VersionTLS12, GetCertificate: s.caller.forServer}
}

// PeerServer returns the configuration for connections from other daemons, or nil if no certificate
// is set. A daemon is accepted if the peer authority signed its certificate and isMember is true for
// one of the DNS names in it.
func (s *Store) PeerServer(isMember func(name string) bool) *tls.Config {
	if s.peer == nil {
		return nil
	}
	verify := func(state tls.ConnectionState) error { return checkMember(state, isMember) }
	newest := func(*tls.ClientHelloInfo) (*tls.Config, error) {
		return &tls.Config{
			MinVersion:     tls.VersionTLS13,
			GetCertificate: s.peer.forServer,
			ClientAuth:     tls.RequireAndVerifyClientCert,
			ClientCAs:      s.peerAuthority.current.Load(),
			// A resumed session would not be checked against a renewed authority.
			SessionTicketsDisabled: true,
			VerifyConnection:       verify,
		}, nil
	}
	return &tls.Config{MinVersion: tls.VersionTLS13, GetConfigForClient: newest, GetCertificate: s.peer.forServer}
}

// PeerClient returns the configuration for connections to other daemons, or nil if no certificate is
// set. The certificate of the other daemon must be valid for the IP address that is dialed.
func (s *Store) PeerClient() ClientConfig {
	if s.peer == nil {
		return nil
	}
	return func() *tls.Config {
		return &tls.Config{
			MinVersion:           tls.VersionTLS13,
			RootCAs:              s.peerAuthority.current.Load(),
			GetClientCertificate: s.peer.forClient,
		}
	}
}

// Targets returns the configuration for connections to targets, or nil if no authority is set.
func (s *Store) Targets() ClientConfig {
	return s.targetAuthority.client()
}

// Platform returns the configuration for calls to the platform, or nil if no authority is set.
func (s *Store) Platform() ClientConfig {
	return s.platformAuthority.client()
}

func (a *authority) client() ClientConfig {
	if a == nil {
		return nil
	}
	return func() *tls.Config {
		return &tls.Config{MinVersion: tls.VersionTLS12, RootCAs: a.current.Load()}
	}
}

func (p *keyPair) forServer(*tls.ClientHelloInfo) (*tls.Certificate, error) {
	return p.current.Load(), nil
}

func (p *keyPair) forClient(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
	return p.current.Load(), nil
}

// checkMember returns ErrUnknownDaemon if isMember is false for all DNS names of the certificate. The authority may
// have signed certificates for other uses, such as the one for caller connections.
func checkMember(state tls.ConnectionState, isMember func(name string) bool) error {
	names := state.PeerCertificates[0].DNSNames
	if slices.ContainsFunc(names, isMember) {
		return nil
	}
	return fmt.Errorf("%w: %q", ErrUnknownDaemon, names)
}
