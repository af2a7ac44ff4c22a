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
	keyFileMode            = 0o600
	certificateFileMode    = 0o644
	keyDirectoryMode       = 0o700
	serialNumberBits       = 127
	certificateStartOffset = -time.Hour
	certificateBlockType   = "CERTIFICATE"
	privateKeyBlockType    = "PRIVATE KEY"
	authorityName          = "authority"
	callerName             = "caller"
	certificateExtension   = ".pem"
	keyExtension           = ".key"
)

// signer is a certificate with its private key.
type signer struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
}

// certificateIssuer writes certificates and private keys for tests into a directory.
type certificateIssuer struct {
	directory string
	lifetime  time.Duration
	now       time.Time
}

// daemonIP is a daemon with the IP address that its certificate is valid for.
type daemonIP struct {
	name    string
	address net.IP
}

// issueAll writes a certificate authority, a certificate for each daemon, and one certificate that
// is presented to callers and covers the addresses of all daemons. It fails if a file exists.
func (c *certificateIssuer) issueAll(daemons []daemonIP) error {
	if err := os.MkdirAll(c.directory, keyDirectoryMode); err != nil {
		return fmt.Errorf("create directory: %w", err)
	}
	authority, err := c.issue(authorityName, nil, nil)
	if err != nil {
		return err
	}
	var addresses []net.IP
	for _, d := range daemons {
		addresses = append(addresses, d.address)
		if _, err := c.issue(d.name, []net.IP{d.address}, authority); err != nil {
			return err
		}
	}
	_, err = c.issue(callerName, addresses, authority)
	return err
}

// issue writes one certificate, signed by parent, and its private key. Without a parent, the certificate is that of a
// self-signed authority.
func (c *certificateIssuer) issue(name string, addresses []net.IP, parent *signer) (*signer, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, fmt.Errorf("generate key: %w", err)
	}
	certificate, err := c.certificateTemplate(name, addresses, parent == nil)
	if err != nil {
		return nil, err
	}
	issued := &signer{certificate: certificate, key: key}
	if parent == nil {
		parent = issued
	}
	encoded, err := x509.CreateCertificate(rand.Reader, certificate, parent.certificate, key.Public(), parent.key)
	if err != nil {
		return nil, fmt.Errorf("sign certificate: %w", err)
	}
	return issued, c.write(name, encoded, key)
}

func (c *certificateIssuer) certificateTemplate(name string, addresses []net.IP, isAuthority bool) (*x509.Certificate, error) {
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialNumberBits))
	if err != nil {
		return nil, fmt.Errorf("generate serial number: %w", err)
	}
	certificate := &x509.Certificate{
		SerialNumber:          serial,
		Subject:               pkix.Name{CommonName: name},
		NotBefore:             c.now.Add(certificateStartOffset),
		NotAfter:              c.now.Add(c.lifetime),
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

func (c *certificateIssuer) write(name string, certificate []byte, key *ecdsa.PrivateKey) error {
	encodedKey, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return fmt.Errorf("encode key: %w", err)
	}
	if err := c.writeBlock(name+keyExtension, privateKeyBlockType, encodedKey, keyFileMode); err != nil {
		return err
	}
	return c.writeBlock(name+certificateExtension, certificateBlockType, certificate, certificateFileMode)
}

func (c *certificateIssuer) writeBlock(name, block string, content []byte, mode os.FileMode) error {
	path := filepath.Join(c.directory, name)
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

// parseDaemonIP parses the two sides of NAME=IP. The names of the other certificates are reserved.
func parseDaemonIP(name, address string) (daemonIP, error) {
	ip := net.ParseIP(address)
	if ip == nil || name == authorityName || name == callerName {
		return daemonIP{}, result.Errorf(result.ObjectInvalid, "%s=%s: want NAME=IP, with a name other than %s and %s",
			name, address, authorityName, callerName)
	}
	return daemonIP{name: name, address: ip}, nil
}
