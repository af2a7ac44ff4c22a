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

// headerTimeout is the time that a request's header may take.
const headerTimeout = 5 * time.Second

// Serve opens a port and serves it until ctx ends. What names the port in errors and logs.
func Serve(ctx context.Context, what, address string, handler http.Handler) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return fmt.Errorf("listen for %s: %w", what, err)
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout}
	context.AfterFunc(ctx, func() { _ = server.Close() })
	go func() {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			logrus.WithFields(logrus.Fields{logfield.Port: what, logfield.Error: err}).Error(logevent.HttpPortFailed)
		}
	}()
	return nil
}
