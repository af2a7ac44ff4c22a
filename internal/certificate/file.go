package certificate

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"os"
	"sync/atomic"
	"time"
)

// source is content that is read from one or more files.
type source interface {
	// key returns the key of the setting that names the files.
	key() string
	// paths returns the files to poll.
	paths() []string
	// load reads the files and makes their content current; on an error the previous content stays.
	load() error
}

// keyPair is a certificate with its private key.
type keyPair struct {
	setting         string
	certificateFile string
	keyFile         string
	current         atomic.Pointer[tls.Certificate]
}

func (p *keyPair) key() string { return p.setting }

func (p *keyPair) paths() []string { return []string{p.certificateFile, p.keyFile} }

func (p *keyPair) load() error {
	loaded, err := tls.LoadX509KeyPair(p.certificateFile, p.keyFile)
	if err != nil {
		return err
	}
	if err := checkValidity(loaded.Leaf, time.Now()); err != nil {
		return err
	}
	p.current.Store(&loaded)
	return nil
}

// checkValidity returns an error for a certificate that has expired or is not valid yet, which no other end accepts.
func checkValidity(leaf *x509.Certificate, now time.Time) error {
	if now.After(leaf.NotAfter) {
		return fmt.Errorf("the certificate expired at %s", leaf.NotAfter.Format(time.RFC3339))
	}
	if now.Before(leaf.NotBefore) {
		return fmt.Errorf("the certificate is not valid before %s", leaf.NotBefore.Format(time.RFC3339))
	}
	return nil
}

// authority is a pool of certificates of certificate authorities.
type authority struct {
	setting string
	file    string
	current atomic.Pointer[x509.CertPool]
}

func (a *authority) key() string { return a.setting }

func (a *authority) paths() []string { return []string{a.file} }

func (a *authority) load() error {
	content, err := os.ReadFile(a.file)
	if err != nil {
		return err
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(content) {
		return errors.New("the file holds no certificate in PEM form")
	}
	a.current.Store(pool)
	return nil
}
