package certificate_test

import (
	"crypto/tls"
	"errors"
	"strings"
	"testing"

	"github.com/papayacove/papayacove/api"
	"github.com/papayacove/papayacove/internal/certificate"
	"github.com/papayacove/papayacove/internal/result"
)

func everyName(string) bool { return true }

func isEntry(name string) bool { return strings.HasPrefix(name, "entry-") }

func TestHandshakesWithGeneratedCertificates(t *testing.T) {
	directory := makeKeys(t, "entry-1", "entry-2")
	first, second := loadStore(t, directory, "entry-1"), loadStore(t, directory, "entry-2")
	cases := map[string][2]*tls.Config{
		"peer":     {first.PeerServer(isEntry), second.PeerClient()()},
		"caller":   {first.Callers(), first.Targets()()},
		"platform": {first.Callers(), first.Platform()()},
	}
	for name, ends := range cases {
		if serverErr, clientErr := handshake(t, ends[0], ends[1]); serverErr != nil || clientErr != nil {
			t.Errorf("%s: got errors %v of the server and %v of the client, want none", name, serverErr, clientErr)
		}
	}
}

func TestOtherAuthoritiesAreRefused(t *testing.T) {
	ours := loadStore(t, makeKeys(t, "entry-1"), "entry-1")
	theirs := loadStore(t, makeKeys(t, "entry-1"), "entry-1")
	if serverErr, _ := handshake(t, ours.PeerServer(everyName), theirs.PeerClient()()); serverErr == nil {
		t.Error("server accepted a daemon of another authority, want an error")
	}
	if _, clientErr := handshake(t, theirs.PeerServer(everyName), ours.PeerClient()()); clientErr == nil {
		t.Error("client accepted a daemon of another authority, want an error")
	}
	if _, clientErr := handshake(t, theirs.Callers(), ours.Targets()()); clientErr == nil {
		t.Error("client accepted a target of another authority, want an error")
	}
	anonymous := ours.Targets()()
	if serverErr, _ := handshake(t, ours.PeerServer(everyName), anonymous); serverErr == nil {
		t.Error("server accepted a peer without a certificate, want an error")
	}
}

func TestPeerCertificateMustNameADaemon(t *testing.T) {
	directory := makeKeys(t, "entry-1")
	settings := settingsOf(directory, "entry-1")
	server := loadStore(t, directory, "entry-1").PeerServer(isEntry)
	// The certificate for caller connections is signed by the same authority, but names no daemon.
	settings.PeerCertificate, settings.PeerKey = settings.CallerCertificate, settings.CallerKey
	outsider, err := certificate.Load(settings)
	if err != nil {
		t.Fatal(err)
	}
	if serverErr, _ := handshake(t, server, outsider.PeerClient()()); !errors.Is(serverErr, certificate.ErrUnknownDaemon) {
		t.Errorf("server = %v, want %v", serverErr, certificate.ErrUnknownDaemon)
	}
}

func TestReloadTakesEffectOnNewConnections(t *testing.T) {
	directory, renewed := makeKeys(t, "entry-1"), makeKeys(t, "entry-1")
	store, other := loadStore(t, directory, "entry-1"), loadStore(t, renewed, "entry-1")
	server, callers := store.PeerServer(everyName), store.Callers()
	if serverErr, _ := handshake(t, server, other.PeerClient()()); serverErr == nil {
		t.Fatal("server accepted the renewed authority before the reload, want an error")
	}
	for _, name := range []string{"authority.pem", "entry-1.pem", "entry-1.key", "caller.pem", "caller.key"} {
		copyFile(t, renewed, directory, name)
	}
	store.Reload()
	if serverErr, clientErr := handshake(t, server, other.PeerClient()()); serverErr != nil || clientErr != nil {
		t.Errorf("peers after the reload: got errors %v of the server and %v of the client, want none", serverErr, clientErr)
	}
	if _, clientErr := handshake(t, callers, other.Targets()()); clientErr != nil {
		t.Errorf("callers after the reload: got error %v, want none", clientErr)
	}
	if _, clientErr := handshake(t, other.Callers(), store.Platform()()); clientErr != nil {
		t.Errorf("platform after the reload: got error %v, want none", clientErr)
	}
}

func TestInvalidFileKeepsPreviousContent(t *testing.T) {
	directory, renewed := makeKeys(t, "entry-1"), makeKeys(t, "entry-1")
	store := loadStore(t, directory, "entry-1")
	log := captureLog(t)
	// A certificate whose key has not been replaced yet, and a truncated authority file.
	copyFile(t, renewed, directory, "caller.pem")
	writeKeyFile(t, directory, "authority.pem", []byte("-----BEGIN CERT"))
	store.Reload()
	store.Reload()
	if serverErr, clientErr := handshake(t, store.Callers(), store.Targets()()); serverErr != nil || clientErr != nil {
		t.Errorf("previous content: got errors %v of the server and %v of the client, want none", serverErr, clientErr)
	}
	for _, key := range []string{"tls.caller_certificate", "tls.peer_authority", "tls.target_authority"} {
		if strings.Count(log.String(), key) != 1 {
			t.Errorf("log, want %s named exactly once, got:\n%s", key, log)
		}
	}
	copyFile(t, renewed, directory, "caller.key")
	copyFile(t, renewed, directory, "authority.pem")
	store.Reload()
	if serverErr, clientErr := handshake(t, store.Callers(), store.Targets()()); serverErr != nil || clientErr != nil {
		t.Errorf("repaired content: got errors %v of the server and %v of the client, want none", serverErr, clientErr)
	}
}

func TestLoad(t *testing.T) {
	directory := makeKeys(t, "entry-1")
	settings := settingsOf(directory, "entry-1")
	settings.PeerKey = settings.CallerKey
	_, err := certificate.Load(settings)
	if result.CodeOf(err) != result.SettingsInvalid || !strings.Contains(err.Error(), "tls.peer_certificate") {
		t.Errorf("Load with the key of another certificate = %v, want settings_invalid for tls.peer_certificate", err)
	}
	off, err := certificate.Load(api.TLSSettings{})
	if err != nil {
		t.Fatal(err)
	}
	if off.Callers() != nil || off.PeerServer(everyName) != nil || off.PeerClient() != nil || off.Targets() != nil || off.Platform() != nil {
		t.Error("got a TLS configuration for empty settings, want nil")
	}
}
