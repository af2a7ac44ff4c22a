package operator

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"fmt"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"time"

	"github.com/papayacove/papayacove/internal/result"
)

const (
	keyFileMode        = 0o600
	certificateMode    = 0o644
	keyDirectoryMode   = 0o700
	serialNumberBits   = 127
	certificateBegin   = -time.Hour
	certificateBlock   = "CERTIFICATE"
	privateKeyBlock    = "PRIVATE KEY"
	authorityName      = "authority"
	callerName         = "caller"
	certificateFileEnd = ".pem"
	keyFileEnd         = ".key"
)

// signer is a certificate with its key.
type signer struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
}

// keyMaker writes certificates and keys for tests into a directory.
type keyMaker struct {
	directory string
	lifetime  time.Duration
	now       time.Time
}

// host is a daemon with the IP address that its certificate is for.
type host struct {
	name    string
	address net.IP
}

// makeAll writes an authority, a certificate for callers to check that covers all hosts, and a
// certificate for each daemon. It refuses to replace a file.
func (m *keyMaker) makeAll(hosts []host) error {
	if err := os.MkdirAll(m.directory, keyDirectoryMode); err != nil {
		return fmt.Errorf("make directory: %w", err)
	}
	authority, err := m.make(authorityName, nil, nil)
	if err != nil {
		return err
	}
	var addresses []net.IP
	for _, h := range hosts {
		addresses = append(addresses, h.address)
		if _, err := m.make(h.name, []net.IP{h.address}, authority); err != nil {
			return err
		}
	}
	_, err = m.make(callerName, addresses, authority)
	return err
}

// make writes one certificate and its key. Without a parent it is an authority.
func (m *keyMaker) make(name string, addresses []net.IP, parent *signer) (*signer, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, fmt.Errorf("generate key: %w", err)
	}
	certificate, err := m.template(name, addresses, parent == nil)
	if err != nil {
		return nil, err
	}
	made := &signer{certificate: certificate, key: key}
	if parent == nil {
		parent = made
	}
	encoded, err := x509.CreateCertificate(rand.Reader, certificate, parent.certificate, key.Public(), parent.key)
	if err != nil {
		return nil, fmt.Errorf("sign certificate: %w", err)
	}
	return made, m.write(name, encoded, key)
}

func (m *keyMaker) template(name string, addresses []net.IP, isAuthority bool) (*x509.Certificate, error) {
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialNumberBits))
	if err != nil {
		return nil, fmt.Errorf("draw serial number: %w", err)
	}
	certificate := &x509.Certificate{
		SerialNumber:          serial,
		Subject:               pkix.Name{CommonName: name},
		NotBefore:             m.now.Add(certificateBegin),
		NotAfter:              m.now.Add(m.lifetime),
		KeyUsage:              x509.KeyUsageDigitalSignature,
		ExtKeyUsage:           []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
		IPAddresses:           addresses,
		DNSNames:              []string{name},
		BasicConstraintsValid: true,
		IsCA:                  isAuthority,
	}
	if isAuthority {
		certificate.KeyUsage = x509.KeyUsageCertSign
		certificate.ExtKeyUsage = nil
		certificate.DNSNames = nil
	}
	return certificate, nil
}

func (m *keyMaker) write(name string, certificate []byte, key *ecdsa.PrivateKey) error {
	encodedKey, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return fmt.Errorf("encode key: %w", err)
	}
	if err := m.writeBlock(name+keyFileEnd, privateKeyBlock, encodedKey, keyFileMode); err != nil {
		return err
	}
	return m.writeBlock(name+certificateFileEnd, certificateBlock, certificate, certificateMode)
}

func (m *keyMaker) writeBlock(name, block string, content []byte, mode os.FileMode) error {
	path := filepath.Join(m.directory, name)
	file, err := os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_EXCL, mode)
	if err != nil {
		return fmt.Errorf("write %s: %w", name, err)
	}
	if err := pem.Encode(file, &pem.Block{Type: block, Bytes: content}); err != nil {
		_ = file.Close()
		return fmt.Errorf("write %s: %w", name, err)
	}
	if err := file.Close(); err != nil {
		return fmt.Errorf("write %s: %w", name, err)
	}
	return nil
}

// parseHost reads NAME=IP.
func parseHost(name, address string) (host, error) {
	ip := net.ParseIP(address)
	if ip == nil || name == authorityName || name == callerName {
		return host{}, result.Errorf(result.ObjectInvalid, "%s=%s: want NAME=IP, with a name other than %s and %s",
			name, address, authorityName, callerName)
	}
	return host{name: name, address: ip}, nil
}
