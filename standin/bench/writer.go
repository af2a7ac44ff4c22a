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
	// writerPause is the pause of a writer after a failure.
	writerPause = 5 * time.Millisecond
	// writerTimeout is the time that a writer waits for one answer.
	writerTimeout = 8 * time.Second
)

// call is one request of a writer and its answer.
type call struct {
	began time.Time
	ended time.Time
	err   error
	// sent is false when no connection could be opened.
	sent bool
}

// writer is a caller that writes to a group through one daemon, one request after the other.
type writer struct {
	daemon string
	url    string

	mu    sync.Mutex
	calls []call
}

// writers are callers of one group, one at each of some daemons.
type writers struct {
	all    []*writer
	cancel context.CancelFunc
	done   sync.WaitGroup
}

// startWriters starts a writer at each of the daemons.
func (r *running) startWriters(ctx context.Context, group string, daemons []string) *writers {
	ctx, cancel := context.WithCancel(ctx)
	w := &writers{cancel: cancel}
	for _, daemon := range daemons {
		one := &writer{daemon: daemon, url: r.url(daemon, group, r.strict)}
		w.all = append(w.all, one)
		w.done.Go(func() { one.run(ctx) })
	}
	return w
}

// stop ends the writers; their calls can be read afterwards.
func (w *writers) stop() {
	w.cancel()
	w.done.Wait()
}

// run writes until ctx ends.
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
		w.note(call{began: began, ended: time.Now(), err: err, sent: sent})
		if err != nil {
			_ = clock.Sleep(ctx, writerPause)
		}
	}
}

func connect(ctx context.Context, url string) (*pgx.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, writerTimeout)
	defer cancel()
	return pgx.Connect(ctx, url)
}

func write(ctx context.Context, connection *pgx.Conn) error {
	ctx, cancel := context.WithTimeout(ctx, writerTimeout)
	defer cancel()
	_, err := connection.Exec(ctx, writeStatement)
	return err
}

func closeConnection(connection *pgx.Conn) {
	if connection == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	_ = connection.Close(ctx)
}

func (w *writer) note(c call) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.calls = append(w.calls, c)
}

func (w *writer) history() []call {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]call(nil), w.calls...)
}

// firstSuccess returns when the first request that began after a time was acknowledged.
func (w *writer) firstSuccess(after time.Time) (time.Time, bool) {
	for _, c := range w.history() {
		if c.err == nil && c.ended.After(after) {
			return c.ended, true
		}
	}
	return time.Time{}, false
}

// longestStall returns the longest time between two acknowledgements of the writer after a time.
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

// awaitAll waits until each writer has been acknowledged after a time, and returns when that was.
func (w *writers) awaitAll(ctx context.Context, after time.Time, limit time.Duration) ([]time.Time, error) {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	for {
		var times []time.Time
		for _, one := range w.all {
			if at, ok := one.firstSuccess(after); ok {
				times = append(times, at)
			}
		}
		if len(times) == len(w.all) {
			return times, nil
		}
		if clock.Sleep(ctx, writerPause) != nil {
			return times, errNoWrites
		}
	}
}

// errNoWrites is returned when writes do not come back.
var errNoWrites = errors.New("writes did not come back in time")

// isShutdown reports whether a caller was told between requests that its daemon stops.
func isShutdown(err error) bool {
	var answer *pgconn.PgError
	return errors.As(err, &answer) && answer.Code == shutdownState
}

// shutdownState is the SQLSTATE of a connection that a planned stop ends.
const shutdownState = "57P01"
