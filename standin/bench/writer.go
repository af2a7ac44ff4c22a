package bench

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/papayacove/papayacove/internal/clock"
)

const (
	// writerPause is the pause of a writer after a failed request, and the time between two checks of awaitAll.
	writerPause = 5 * time.Millisecond
	// writerTimeout limits each attempt to connect and each request.
	writerTimeout = 8 * time.Second
)

// call is one request of a writer and its outcome; err is nil for an acknowledged write.
type call struct {
	began time.Time
	ended time.Time
	err   error
	// sent is false if the request was not sent because no connection could be opened.
	sent bool
}

// writer is a caller that writes to a group through one daemon, one request after the other.
type writer struct {
	daemon string
	url    string

	mu    sync.Mutex
	calls []call
}

// writers is a set of callers that write to one group.
type writers struct {
	all    []*writer
	cancel context.CancelFunc
	done   sync.WaitGroup
}

// startWriters starts a writer for each element of daemons, which may name a daemon more than once.
func (r *runningFleet) startWriters(ctx context.Context, group string, daemons []string) *writers {
	ctx, cancel := context.WithCancel(ctx)
	w := &writers{cancel: cancel}
	for _, daemon := range daemons {
		caller := &writer{daemon: daemon, url: r.url(daemon, group, r.strict)}
		w.all = append(w.all, caller)
		w.done.Go(func() { caller.run(ctx) })
	}
	return w
}

// stop ends the writers and waits until they have ended. Their calls can still be read. It may be called twice.
func (w *writers) stop() {
	w.cancel()
	w.done.Wait()
}

// run writes until ctx ends and connects again when the connection is lost. A request that ctx interrupts is not
// recorded.
func (w *writer) run(ctx context.Context) {
	var connection *pgx.Conn
	defer func() { closeConnection(connection) }()
	for ctx.Err() == nil {
		began := time.Now()
		var err error
		sent := false
		if connection == nil || connection.IsClosed() {
			connection, err = connect(ctx, w.url)
		}
		if err == nil {
			sent = true
			err = write(ctx, connection)
		}
		if ctx.Err() != nil {
			return
		}
		w.record(call{began: began, ended: time.Now(), err: err, sent: sent})
		if err != nil {
			_ = clock.Sleep(ctx, writerPause)
		}
	}
}

// connect opens a connection within writerTimeout.
func connect(ctx context.Context, url string) (*pgx.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, writerTimeout)
	defer cancel()
	return pgx.Connect(ctx, url)
}

// write runs the write statement within writerTimeout.
func write(ctx context.Context, connection *pgx.Conn) error {
	ctx, cancel := context.WithTimeout(ctx, writerTimeout)
	defer cancel()
	_, err := connection.Exec(ctx, writeStatement)
	return err
}

// closeConnection closes a connection, which may be nil, and waits at most one second for that.
func closeConnection(connection *pgx.Conn) {
	if connection == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	_ = connection.Close(ctx)
}

func (w *writer) record(c call) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.calls = append(w.calls, c)
}

// history returns a copy of the calls so far.
func (w *writer) history() []call {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]call(nil), w.calls...)
}

// firstSuccess returns the time of the writer's first acknowledgement after the given time, if there is one.
func (w *writer) firstSuccess(after time.Time) (time.Time, bool) {
	for _, c := range w.history() {
		if c.err == nil && c.ended.After(after) {
			return c.ended, true
		}
	}
	return time.Time{}, false
}

// longestStall returns the longest time in which no write of the writer was acknowledged, from the given time to its
// last acknowledgement, or 0 if there is none after the given time.
func (w *writer) longestStall(after time.Time) time.Duration {
	last := after
	longest := time.Duration(0)
	for _, c := range w.history() {
		if c.err != nil || c.ended.Before(after) {
			continue
		}
		longest = max(longest, c.ended.Sub(last))
		last = c.ended
	}
	return longest
}

// awaitAll waits until each writer has had a write acknowledged after a time, and returns the times of these first
// acknowledgements. After limit it returns those so far and errNoSuccessfulWrite.
func (w *writers) awaitAll(ctx context.Context, after time.Time, limit time.Duration) ([]time.Time, error) {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	for {
		var times []time.Time
		for _, caller := range w.all {
			if at, ok := caller.firstSuccess(after); ok {
				times = append(times, at)
			}
		}
		if len(times) == len(w.all) {
			return times, nil
		}
		if clock.Sleep(ctx, writerPause) != nil {
			return times, errNoSuccessfulWrite
		}
	}
}

// errNoSuccessfulWrite is returned when some writer has no acknowledged write within the time limit.
var errNoSuccessfulWrite = errors.New("not all writers had a write acknowledged in time")

// isShutdown reports whether a daemon refused a request or closed a connection because of a planned stop.
func isShutdown(err error) bool {
	var answer *pgconn.PgError
	return errors.As(err, &answer) && answer.Code == shutdownState
}

// shutdownState is the SQLSTATE with which a planned stop ends a connection between two requests.
const shutdownState = "57P01"
