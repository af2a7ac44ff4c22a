package target

import (
	"context"
	"crypto/tls"
	"fmt"
	"io"
	"net"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/papayacove/papayacove/internal/dialer"
)

// defaultDialTimeout bounds connection set-up when Options.DialTimeout is not positive.
const defaultDialTimeout = 2 * time.Second

// Options configure how a connection to a target is set up.
type Options struct {
	User     string
	Password string
	Database string
	// ApplicationName is shown in the session lists of the target. It is not sent when empty.
	ApplicationName string
	// TLS returns the TLS configuration and is called for each connection. When it is nil,
	// connections are not encrypted.
	TLS func() *tls.Config
	// DialTimeout bounds connection set-up including authentication; 0 means 2 s.
	DialTimeout time.Duration
	// LocalAddress is the source IP address of connections. When it is empty, the operating system
	// chooses one.
	LocalAddress string
}

// link is an authenticated connection with the values that the target reported during start-up.
type link struct {
	conn       net.Conn
	wire       wire
	processID  uint32
	secretKey  uint32
	parameters map[string]string
}

// dial sets up and authenticates a connection. Network failures wrap ErrUnreachable.
func dial(ctx context.Context, address string, options Options, parameters map[string]string) (*link, error) {
	timeout := options.DialTimeout
	if timeout <= 0 {
		timeout = defaultDialTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	conn, err := connect(ctx, address, options)
	if err != nil {
		return nil, fmt.Errorf("%w: %s: %w", ErrUnreachable, address, err)
	}
	l := &link{conn: conn, wire: newWire(conn), parameters: make(map[string]string)}
	release := bindDeadline(ctx, conn)
	err = l.startUp(options, parameters)
	release()
	if err != nil {
		conn.Close()
		return nil, fmt.Errorf("start up %s: %w", address, err)
	}
	return l, nil
}

func connect(ctx context.Context, address string, options Options) (net.Conn, error) {
	conn, err := dialer.New(options.LocalAddress).DialContext(ctx, "tcp", address)
	if err != nil || options.TLS == nil {
		return conn, err
	}
	release := bindDeadline(ctx, conn)
	defer release()
	encrypted, err := startTLS(ctx, conn, address, options.TLS())
	if err != nil {
		conn.Close()
		return nil, err
	}
	return encrypted, nil
}

func startTLS(ctx context.Context, conn net.Conn, address string, tlsConfig *tls.Config) (net.Conn, error) {
	request, err := (&pgproto3.SSLRequest{}).Encode(nil)
	if err != nil {
		return nil, fmt.Errorf("encode TLS request: %w", err)
	}
	if _, err := conn.Write(request); err != nil {
		return nil, fmt.Errorf("send TLS request: %w", err)
	}
	var answer [1]byte
	if _, err := io.ReadFull(conn, answer[:]); err != nil {
		return nil, fmt.Errorf("read TLS answer: %w", err)
	}
	if answer[0] != 'S' {
		return nil, fmt.Errorf("target does not offer TLS")
	}
	encrypted := tls.Client(conn, withServerName(tlsConfig, address))
	if err := encrypted.HandshakeContext(ctx); err != nil {
		return nil, fmt.Errorf("TLS handshake: %w", err)
	}
	return encrypted, nil
}

func withServerName(config *tls.Config, address string) *tls.Config {
	if config.ServerName != "" || config.InsecureSkipVerify {
		return config
	}
	config = config.Clone()
	if host, _, err := net.SplitHostPort(address); err == nil {
		config.ServerName = host
	}
	return config
}

// bindDeadline makes reads and writes of conn fail once ctx ends. The returned function removes the
// deadline.
func bindDeadline(ctx context.Context, conn net.Conn) (release func()) {
	deadline, _ := ctx.Deadline()
	conn.SetDeadline(deadline)
	done := make(chan struct{})
	stop := context.AfterFunc(ctx, func() {
		conn.SetDeadline(time.Unix(1, 0))
		close(done)
	})
	return func() {
		// Wait for a cancellation in progress, so that it cannot interrupt the next use of the connection.
		if !stop() {
			<-done
		}
		conn.SetDeadline(time.Time{})
	}
}
