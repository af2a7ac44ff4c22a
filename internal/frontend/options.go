package frontend

import (
	"crypto/tls"
	"time"

	"github.com/papayacove/papayacove/api"
	"github.com/sirupsen/logrus"
)

const (
	// startupTimeout bounds TLS, authentication and the opening of a session.
	startupTimeout = 15 * time.Second
	// writeTimeout bounds how long a caller may leave an answer unread.
	writeTimeout = 30 * time.Second
	// lastReadTimeout is the time in which an idle session that is being stopped is still read from.
	lastReadTimeout = 50 * time.Millisecond
	// callerCheckInterval is the time between looks at whether the caller of a batch is still there.
	callerCheckInterval = time.Second
	// shutdownGrace is the time that Close leaves to batches and transactions in progress.
	shutdownGrace = 20 * time.Second
	// statementTimeoutMargin lets the target side report a timeout before the caller side does.
	statementTimeoutMargin = 2 * time.Second
	// keepAliveIdle is the silence after which a caller connection is probed.
	keepAliveIdle = 30 * time.Second
	// keepAliveInterval is the time between probes.
	keepAliveInterval = 10 * time.Second
	// keepAliveCount is the number of unanswered probes that end a connection.
	keepAliveCount = 4
	// acceptRetryDelay is waited after a failed accept, such as one without a file descriptor.
	acceptRetryDelay = 50 * time.Millisecond
	// maxRefusalsInProgress bounds the refusals that are being sent.
	maxRefusalsInProgress = 64
	// refusalLinger is the time that a refused caller has to read the answer.
	refusalLinger = 500 * time.Millisecond
)

const (
	defaultMaxCallerConnections          = 10_000
	defaultMaxUnauthenticatedConnections = 256
	defaultMaxMessageBytes               = 16 << 20
	defaultStatementTimeout              = 30 * time.Second
	defaultIdleTransactionTimeout        = 60 * time.Second
)

// Options configure a Server.
type Options struct {
	// Address is the host:port to listen on.
	Address string
	// Limits bound what callers may use; zero fields take a default.
	Limits api.LimitSettings
	// TLS is used when a caller asks for it; nil switches TLS off. Its GetCertificate may
	// return a certificate that was renewed while the server runs.
	TLS *tls.Config
	// RequireTLS refuses callers that start a session in the clear.
	RequireTLS bool
	// Runner runs the batches.
	Runner Runner
	// Directory looks up workspaces, groups and users.
	Directory Directory
	// Name of the daemon; it starts the session ids.
	Name string
	// Logger takes the events; nil uses the standard logger.
	Logger *logrus.Logger
	// ForeignCancel is called for a cancel request that fits no session of this daemon;
	// it may be nil. It must not block.
	ForeignCancel func(processID, secretKey uint32)
}

// limits are the bounds in the units in which they are used.
type limits struct {
	callers         int
	unauthenticated int
	messageBytes    int
	statement       time.Duration
	idleTransaction time.Duration
}

func limitsOf(settings api.LimitSettings) limits {
	return limits{
		callers:         orDefault(settings.MaxCallerConnections, defaultMaxCallerConnections),
		unauthenticated: orDefault(settings.MaxUnauthenticatedConnections, defaultMaxUnauthenticatedConnections),
		messageBytes:    orDefault(settings.MaxMessageBytes, defaultMaxMessageBytes),
		statement:       durationOrDefault(settings.StatementTimeoutMs, defaultStatementTimeout),
		idleTransaction: durationOrDefault(settings.IdleTransactionTimeoutMs, defaultIdleTransactionTimeout),
	}
}

func orDefault(value, fallback int) int {
	if value <= 0 {
		return fallback
	}
	return value
}

func durationOrDefault(milliseconds int64, fallback time.Duration) time.Duration {
	if milliseconds <= 0 {
		return fallback
	}
	return time.Duration(milliseconds) * time.Millisecond
}
