package objectstore

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"net/http"
	"net/http/httptest"
	"testing"
)

// TestTLSConfigurationIsReadForEachConnection checks that a new connection uses a certificate authority that became
// trusted after the first call.
func TestTLSConfigurationIsReadForEachConnection(t *testing.T) {
	answer := func(w http.ResponseWriter, _ *http.Request) { w.Write([]byte(`{"revision": 3}`)) }
	server := httptest.NewTLSServer(http.HandlerFunc(answer))
	defer server.Close()
	trusted := x509.NewCertPool()
	client := NewClient(Options{URL: server.URL, TLS: func() *tls.Config { return &tls.Config{RootCAs: trusted} }})
	defer client.Close()
	if _, err := client.VMs(context.Background()); err == nil {
		t.Fatal("call succeeded although the authority of the platform's certificate is not trusted")
	}
	renewed := x509.NewCertPool()
	renewed.AddCert(server.Certificate())
	trusted = renewed
	if list, err := client.VMs(context.Background()); err != nil || list.Revision != 3 {
		t.Errorf("got list %+v, error %v, want revision 3", list, err)
	}
}
