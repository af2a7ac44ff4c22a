package certificate_test

import (
	"bytes"
	"context"
	"crypto/tls"
	"io"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/papayacove/papayacove/api"
	"github.com/papayacove/papayacove/internal/certificate"
	"github.com/papayacove/papayacove/internal/operator"
	"github.com/sirupsen/logrus"
)

// TestMain discards the log, since the tests provoke failures that are logged.
func TestMain(m *testing.M) {
	logrus.SetOutput(io.Discard)
	os.Exit(m.Run())
}

// makeKeys creates certificates for daemons on loopback with "papayacovectl keys" and returns their directory.
func makeKeys(t *testing.T, daemons ...string) string {
	t.Helper()
	directory := t.TempDir()
	arguments := []string{"papayacovectl", "keys", "certificates", "--directory", directory}
	for _, name := range daemons {
		arguments = append(arguments, name+"=127.0.0.1")
	}
	if err := operator.NewCommand(strings.NewReader(""), io.Discard).Run(context.Background(), arguments); err != nil {
		t.Fatal(err)
	}
	return directory
}

// settingsOf returns settings of a daemon that take all files from one directory.
func settingsOf(directory, daemon string) api.TLSSettings {
	file := func(name string) string { return filepath.Join(directory, name) }
	return api.TLSSettings{
		CallerCertificate: file("caller.pem"), CallerKey: file("caller.key"),
		PeerCertificate: file(daemon + ".pem"), PeerKey: file(daemon + ".key"), PeerAuthority: file("authority.pem"),
		TargetAuthority: file("authority.pem"), PlatformAuthority: file("authority.pem"),
	}
}

func loadStore(t *testing.T, directory, daemon string) *certificate.Store {
	t.Helper()
	store, err := certificate.Load(settingsOf(directory, daemon))
	if err != nil {
		t.Fatal(err)
	}
	return store
}

// copyFile replaces a file in the directory to by the file of the same name in the directory from.
func copyFile(t *testing.T, from, to, name string) {
	t.Helper()
	content, err := os.ReadFile(filepath.Join(from, name))
	if err != nil {
		t.Fatal(err)
	}
	writeKeyFile(t, to, name, content)
}

func writeKeyFile(t *testing.T, directory, name string, content []byte) {
	t.Helper()
	if err := os.WriteFile(filepath.Join(directory, name), content, 0o600); err != nil {
		t.Fatal(err)
	}
}

// handshakeTimeout bounds one handshake.
const handshakeTimeout = 10 * time.Second

// handshake runs one TLS handshake on loopback and returns the errors of both ends.
func handshake(t *testing.T, server, client *tls.Config) (serverErr, clientErr error) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	done := make(chan error, 1)
	go func() { done <- accept(listener, server) }()
	dialer := &net.Dialer{Timeout: handshakeTimeout}
	connection, clientErr := tls.DialWithDialer(dialer, "tcp", listener.Addr().String(), client)
	if clientErr == nil {
		connection.Close()
	}
	return <-done, clientErr
}

// accept accepts one connection and returns the error of its handshake.
func accept(listener net.Listener, server *tls.Config) error {
	raw, err := listener.Accept()
	if err != nil {
		return err
	}
	defer raw.Close()
	_ = raw.SetDeadline(time.Now().Add(handshakeTimeout))
	return tls.Server(raw, server).Handshake()
}

// captureLog returns what is logged until the test ends.
func captureLog(t *testing.T) *bytes.Buffer {
	t.Helper()
	var log bytes.Buffer
	logrus.SetOutput(&log)
	t.Cleanup(func() { logrus.SetOutput(io.Discard) })
	return &log
}
