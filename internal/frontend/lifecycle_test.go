package frontend

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/jackc/pgx/v5/pgproto3"
)

func expectShutdown(t *testing.T, c *client) {
	t.Helper()
	failed, ok := c.receive().(*pgproto3.ErrorResponse)
	if !ok || failed.Code != sqlStateAdminShutdown || failed.Severity != severityFatal {
		t.Errorf("answer = %+v, want a fatal error with code %s", failed, sqlStateAdminShutdown)
	}
}

func TestDrainWaitsForBatchesAndTransactions(t *testing.T) {
	runner := newFakeRunner()
	server := startServer(t, runner, nil)
	idle, inBlock, busy := dial(t, server, nil), dial(t, server, nil), dial(t, server, nil)
	starting := dialRaw(t, server)
	inBlock.query("BEGIN")
	runner.mutex.Lock()
	runner.hold = make(chan struct{})
	runner.mutex.Unlock()
	busy.send(&pgproto3.Query{String: "INSERT INTO t VALUES (1)"})
	<-runner.running
	drained := make(chan error, 1)
	go func() { drained <- server.Drain(context.Background()) }()
	expectShutdown(t, idle)
	expectShutdown(t, starting)
	close(runner.hold)
	if got := busy.answers(); got != "columns row:row done:INSERT ready:I" {
		t.Errorf("answers = %q, want one row", got)
	}
	expectShutdown(t, busy)
	if got := inBlock.query("COMMIT"); got != "columns done:COMMIT ready:I" {
		t.Errorf("answers = %q, want a commit", got)
	}
	expectShutdown(t, inBlock)
	if err := <-drained; err != nil {
		t.Error(err)
	}
	if got := runner.closedSessions(); got != 3 {
		t.Errorf("got %d closed sessions, want 3", got)
	}
}

func TestDrainEndsSessionsAfterGracePeriod(t *testing.T) {
	runner := newFakeRunner()
	server := startServer(t, runner, nil)
	inBlock, busy := dial(t, server, nil), dial(t, server, nil)
	inBlock.query("BEGIN")
	runner.mutex.Lock()
	runner.hold = make(chan struct{})
	runner.mutex.Unlock()
	busy.send(&pgproto3.Query{String: "INSERT INTO t VALUES (1)"})
	<-runner.running
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	if err := server.Drain(ctx); !errors.Is(err, context.Canceled) {
		t.Errorf("Drain = %v, want canceled", err)
	}
	expectShutdown(t, inBlock)
	if got := describe(busy.receive()); got != "error:08007" {
		t.Errorf("answer = %q, want error:08007", got)
	}
}

func TestCancelReachesOnlyTheMatchingSession(t *testing.T) {
	runner := newFakeRunner()
	runner.hold = make(chan struct{})
	forwarded := make(chan uint32, 1)
	server := startServer(t, runner, func(o *Options) {
		o.ForwardCancel = func(processID, _ uint32) { forwarded <- processID }
	})
	c := dial(t, server, nil)
	c.send(&pgproto3.Query{String: "SELECT 1"})
	<-runner.running
	wrong := append([]byte(nil), c.key.SecretKey...)
	wrong[0]++
	dialRaw(t, server).send(&pgproto3.CancelRequest{ProcessID: c.key.ProcessID, SecretKey: wrong})
	if got := <-forwarded; got != c.key.ProcessID {
		t.Errorf("forwarded cancel request has process id %d, want %d", got, c.key.ProcessID)
	}
	dialRaw(t, server).send(&pgproto3.CancelRequest{ProcessID: c.key.ProcessID, SecretKey: c.key.SecretKey})
	<-runner.cancelled
	close(runner.hold)
	if got := c.answers(); got != "columns row:row done:SELECT ready:I" {
		t.Errorf("answers = %q, want one row", got)
	}
}

func TestTooManyConnections(t *testing.T) {
	server := startServer(t, newFakeRunner(), func(o *Options) {
		o.Limits.MaxCallerConnections = 1
		o.Limits.MaxUnauthenticatedConnections = 2
	})
	first := dial(t, server, nil)
	second := dialRaw(t, server)
	second.startUp(nil)
	if got := describe(skipAuthentication(second)); got != "error:53300" {
		t.Errorf("answer = %q, want error:53300", got)
	}
	waitFor(t, func() bool { return server.unauthenticated.Load() == 0 })
	dialRaw(t, server)
	dialRaw(t, server)
	waitFor(t, func() bool { return server.unauthenticated.Load() == 2 })
	if got := describe(dialRaw(t, server).receive()); got != "error:53300" {
		t.Errorf("answer = %q, want error:53300", got)
	}
	first.expectQuery("SELECT 1", "columns row:row done:SELECT ready:I")
	first.send(&pgproto3.Terminate{})
	waitFor(t, func() bool { return server.sessions.get(first.key.ProcessID) == nil })
}

func skipAuthentication(c *client) pgproto3.BackendMessage {
	for {
		message := c.receive()
		if _, ok := message.(*pgproto3.AuthenticationOk); !ok {
			return message
		}
	}
}

// TestDrainAnswersEveryBatchThatRan drains a server under load. It guards against batches that run while the
// server stops but are not answered, which a caller could not distinguish from ones that did not run.
func TestDrainAnswersEveryBatchThatRan(t *testing.T) {
	const callers, requestsBeforeDrain = 16, 400
	runner := newFakeRunner()
	server := startServer(t, runner, nil)
	var answered atomic.Int64
	group := sync.WaitGroup{}
	for range callers {
		c := dial(t, server, nil)
		group.Go(func() {
			for c.insert() {
				answered.Add(1)
			}
		})
	}
	waitFor(t, func() bool { return answered.Load() >= requestsBeforeDrain })
	if err := server.Drain(context.Background()); err != nil {
		t.Error(err)
	}
	group.Wait()
	if ran := len(runner.recorded()); int64(ran) != answered.Load() {
		t.Errorf("%d batches ran and %d were answered, want equal numbers", ran, answered.Load())
	}
}

// insert runs one statement and reports whether the complete answer arrived.
func (c *client) insert() bool {
	c.Send(&pgproto3.Query{String: "INSERT INTO t VALUES (1)"})
	if c.Flush() != nil {
		return false
	}
	for {
		message, err := c.Receive()
		if err != nil {
			return false
		}
		if _, isReady := message.(*pgproto3.ReadyForQuery); isReady {
			return true
		}
	}
}
