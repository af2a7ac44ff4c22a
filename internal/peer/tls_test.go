package peer_test

import (
	"context"
	"crypto/tls"
	"errors"
	"io"
	"path/filepath"
	"strings"
	"testing"

	"github.com/papayacove/papayacove/api"
	"github.com/papayacove/papayacove/internal/certificate"
	"github.com/papayacove/papayacove/internal/operator"
	"github.com/papayacove/papayacove/internal/peer"
	"github.com/sirupsen/logrus"
)

// heartbeatCounter answers heartbeats only and counts them.
type heartbeatCounter struct {
	peer.Handler
	calls int
}

// Heartbeat counts the call.
func (h *heartbeatCounter) Heartbeat(req *api.Heartbeat) *api.Heartbeat {
	h.calls++
	return req
}

// loadPeer creates a new certificate authority with certificates and loads those of the daemon entry-1.
func loadPeer(t *testing.T) *certificate.Store {
	t.Helper()
	directory := t.TempDir()
	command := operator.NewCommand(strings.NewReader(""), io.Discard)
	arguments := []string{"papayacovectl", "keys", "certificates", "--directory", directory, "entry-1=127.0.0.1"}
	if err := command.Run(context.Background(), arguments); err != nil {
		t.Fatal(err)
	}
	store, err := certificate.Load(api.TLSSettings{
		PeerCertificate: filepath.Join(directory, "entry-1.pem"), PeerKey: filepath.Join(directory, "entry-1.key"),
		PeerAuthority: filepath.Join(directory, "authority.pem"),
	})
	if err != nil {
		t.Fatal(err)
	}
	return store
}

func TestCallsRequireCertificateOfTheFleet(t *testing.T) {
	logrus.SetOutput(io.Discard)
	ours, theirs := loadPeer(t), loadPeer(t)
	handler := &heartbeatCounter{}
	server, err := peer.Listen("127.0.0.1:0", ours.PeerServer(func(name string) bool { return name == "entry-1" }), handler)
	if err != nil {
		t.Fatal(err)
	}
	go server.Run(t.Context())
	call := func(configuration func() *tls.Config) error {
		client := peer.NewClient(server.Address(), "", configuration)
		defer client.Close()
		_, err := client.Heartbeat(t.Context(), &api.Heartbeat{From: "entry-1"})
		return err
	}
	refused := map[string]func() *tls.Config{
		"clear text":      nil,
		"other authority": theirs.PeerClient(),
		"no certificate": func() *tls.Config {
			return &tls.Config{RootCAs: ours.PeerClient()().RootCAs}
		},
	}
	for name, configuration := range refused {
		if err := call(configuration); err == nil {
			t.Errorf("%s: call succeeded, want an error", name)
		} else if configuration != nil && !errors.Is(err, peer.ErrNotSent) {
			t.Errorf("%s: %v, want %v", name, err, peer.ErrNotSent)
		}
	}
	if handler.calls != 0 {
		t.Errorf("handler got %d refused calls, want 0", handler.calls)
	}
	if err := call(ours.PeerClient()); err != nil || handler.calls != 1 {
		t.Errorf("call with a certificate of the fleet = %v with %d handler calls, want nil with 1", err, handler.calls)
	}
}
