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
	// lastReadTimeout bounds the last read of an idle session that is being stopped.
	lastReadTimeout = 50 * time.Millisecond
	// callerCheckInterval is the time between checks whether the caller of a running batch is still connected.
	callerCheckInterval = time.Second
	// shutdownGrace is the time that Close allows batches and transactions in progress to end.
	shutdownGrace = 20 * time.Second
	// statementTimeoutMargin is added to the statement timeout on the side of the caller, so that the target side
	// reports a timeout first.
	statementTimeoutMargin = 2 * time.Second
	// keepAliveIdle is the time without traffic after which TCP keep-alive probes a caller connection.
	keepAliveIdle = 30 * time.Second
	// keepAliveInterval is the time between keep-alive probes.
	keepAliveInterval = 10 * time.Second
	// keepAliveCount is the number of unanswered probes after which the connection is closed.
	keepAliveCount = 4
	// acceptRetryDelay is the time between a failed accept, for example when no file descriptor is free, and the
	// next one.
	acceptRetryDelay = 50 * time.Millisecond
	// maxRefusalsInProgress is the largest number of refusals that are sent at the same time. Connections that are
	// refused beyond it are closed without an answer.
	maxRefusalsInProgress = 64
	// lingerTimeout bounds how long a connection stays open for its caller to read the last message.
	lingerTimeout = 500 * time.Millisecond
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
	// Limits bound the resources of callers. Fields that are zero have a default.
	Limits api.LimitSettings
	// TLS is used when a caller requests it; nil disables TLS. Its GetCertificate may return a
	// certificate that was renewed while the server runs.
	TLS *tls.Config
	// RequireTLS refuses callers that start a session without TLS.
	RequireTLS bool
	// Runner runs the batches.
	Runner Runner
	// Credentials looks up the credentials of the users of workspaces.
	Credentials Credentials
	// Name is the name of the daemon, with which the session ids begin.
	Name string
	// Logger receives the log events; nil means the standard logger.
	Logger *logrus.Logger
	// ForwardCancel is called for a cancel request that matches no session of this daemon. It must
	// not block, and it may be nil.
	ForwardCancel func(processID, secretKey uint32)
}

// limits are the effective limits, with defaults applied.
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
