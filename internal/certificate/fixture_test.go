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

// TestMain keeps the expected failures out of the output.
func TestMain(m *testing.M) {
	logrus.SetOutput(io.Discard)
	os.Exit(m.Run())
}

// makeKeys makes a directory of certificates for daemons on loopback with papayacovectl keys.
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

// settingsOf uses the files of one directory for each side.
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

// copyFile replaces a file of one directory by that of another.
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

// handshakeLimit ends a handshake that hangs.
const handshakeLimit = 10 * time.Second

// shake runs one handshake on loopback and returns the errors of both ends.
func shake(t *testing.T, server, client *tls.Config) (serverErr, clientErr error) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	done := make(chan error, 1)
	go func() { done <- accept(listener, server) }()
	dialer := &net.Dialer{Timeout: handshakeLimit}
	connection, clientErr := tls.DialWithDialer(dialer, "tcp", listener.Addr().String(), client)
	if clientErr == nil {
		connection.Close()
	}
	return <-done, clientErr
}

// accept takes one connection and returns how its handshake ended.
func accept(listener net.Listener, server *tls.Config) error {
	raw, err := listener.Accept()
	if err != nil {
		return err
	}
	defer raw.Close()
	_ = raw.SetDeadline(time.Now().Add(handshakeLimit))
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
