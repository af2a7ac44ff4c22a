// Package httpserver serves the HTTP ports of a daemon.
package httpserver

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/papayacove/papayacove/internal/logevent"
	"github.com/papayacove/papayacove/internal/logfield"
)

// headerTimeout is the time within which the header of a request must be received.
const headerTimeout = 5 * time.Second

// Serve listens on address and serves HTTP there in the background until ctx ends. It fails only when it cannot listen.
// The purpose identifies the port in errors and logs.
func Serve(ctx context.Context, purpose, address string, handler http.Handler) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return fmt.Errorf("listen for %s: %w", purpose, err)
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout}
	context.AfterFunc(ctx, func() { _ = server.Close() })
	go func() {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			logrus.WithFields(logrus.Fields{logfield.Port: purpose, logfield.Error: err}).Error(logevent.HTTPPortFailed)
		}
	}()
	return nil
}
