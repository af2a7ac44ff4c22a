package capacity

import (
	"context"
	"fmt"
	"net"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/papayacove/papayacove/api"
	"github.com/papayacove/papayacove/internal/clock"
	"github.com/papayacove/papayacove/internal/frontend"
	"github.com/papayacove/papayacove/internal/result"
)

// connectionSettle is the wait until the connections that the previous run closed have ended.
const connectionSettle = time.Second

// connectionCounts are the measured numbers of idle caller connections. Both ends of a connection are in this process,
// so the process's limit of open files bounds them.
var connectionCounts = []int{100, 1000, 9000}

// idleRunner opens sessions that have no target and refuse all batches.
type idleRunner struct{}

// Open opens a session.
func (idleRunner) Open(context.Context, frontend.Session) (frontend.SessionRunner, error) {
	return idleSession{}, nil
}

type idleSession struct{}

// Run refuses all batches.
func (idleSession) Run(context.Context, *frontend.Batch, func([]byte) error) (frontend.Outcome, error) {
	return frontend.Outcome{}, result.Errorf(result.NotRunUnreachable, "no target")
}

// Position returns no position.
func (idleSession) Position() api.Position { return api.Position{} }

// Cancel does nothing.
func (idleSession) Cancel() {}

// Close does nothing.
func (idleSession) Close() {}

// openCredentials accepts every user without a password.
type openCredentials struct{}

// Credential returns a credential with an empty verifier.
func (openCredentials) Credential(_, _, _ string) (frontend.Credential, error) {
	return frontend.Credential{MaxAge: -1}, nil
}

// measureConnections measures the memory of an idle caller connection for each of connectionCounts.
func measureConnections(ctx context.Context) ([]Result, error) {
	var results []Result
	for _, count := range connectionCounts {
		bytes, err := measureIdle(ctx, count)
		if err != nil {
			return nil, err
		}
		name := fmt.Sprintf("connection_memory_%d_idle", count)
		results = append(results, Result{name, bytes, "B"})
	}
	return results, nil
}

// measureIdle returns the bytes of heap and stacks per idle caller connection when count of them are open.
func measureIdle(ctx context.Context, count int) (float64, error) {
	ctx, cancel := context.WithCancel(ctx)
	server := frontend.NewServer(frontend.Options{
		Address: "127.0.0.1:0", Runner: idleRunner{}, Credentials: openCredentials{}, Name: "capacity",
		Limits: api.LimitSettings{MaxCallerConnections: count, MaxUnauthenticatedConnections: count},
	})
	if err := server.Init(ctx); err != nil {
		cancel()
		return 0, err
	}
	go func() { _ = server.Run(ctx) }()
	// The memory of connections that the previous run closed must be free before the memory in use is read.
	if err := clock.Sleep(ctx, connectionSettle); err != nil {
		cancel()
		return 0, err
	}
	before := memoryInUse()
	var connections []net.Conn
	defer func() {
		for _, connection := range connections {
			connection.Close()
		}
		cancel()
		_ = server.Drain(ctx)
	}()
	for range count {
		connection, err := openIdle(server.Addr().String())
		if err != nil {
			return 0, err
		}
		connections = append(connections, connection)
	}
	return float64(memoryInUse()-before) / float64(count), nil
}

// openIdle starts a session and runs one statement that needs no target.
func openIdle(address string) (net.Conn, error) {
	connection, err := net.Dial("tcp", address)
	if err != nil {
		return nil, err
	}
	frontend := pgproto3.NewFrontend(connection, connection)
	frontend.Send(&pgproto3.StartupMessage{
		ProtocolVersion: pgproto3.ProtocolVersion30,
		Parameters:      map[string]string{"user": "crew", "database": "kelani.rounds"},
	})
	frontend.Send(&pgproto3.Query{String: "SET application_name = 'idle'"})
	if err := frontend.Flush(); err != nil {
		return connection, err
	}
	for ready := 0; ready < 2; {
		message, err := frontend.Receive()
		if err != nil {
			return connection, fmt.Errorf("start session: %w", err)
		}
		if _, ok := message.(*pgproto3.ReadyForQuery); ok {
			ready++
		}
	}
	return connection, nil
}
