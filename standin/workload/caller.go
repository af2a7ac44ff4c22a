package workload

import (
	"context"
	"errors"
	"fmt"
	"math/rand"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/papayacove/papayacove/internal/clock"
	"github.com/papayacove/papayacove/internal/result"
	"github.com/papayacove/papayacove/standin/fleet"
)

const (
	// callTimeout is the longest time that a caller waits for a response.
	callTimeout = 8 * time.Second
	// thinkTime is the longest pause between two requests of a caller.
	thinkTime = 20 * time.Millisecond
	// reconnectPause is the pause after a failed attempt to connect or to run statements.
	reconnectPause = 30 * time.Millisecond
)

// Account holds the workspace, name and password of a user.
type Account struct {
	Workspace string
	User      string
	Password  string
}

// caller simulates a phone: it has at most one connection, and sometimes closes it and connects to another daemon.
type caller struct {
	fleet   *fleet.Fleet
	history *History
	account Account
	group   string
	random  *rand.Rand

	connection *pgx.Conn
	daemon     string
}

// connect opens a connection to a random daemon if none is open. After a failure it waits for reconnectPause and returns
// the error.
func (c *caller) connect(ctx context.Context) error {
	if c.connection != nil && !c.connection.IsClosed() {
		return nil
	}
	settings := c.fleet.Deployment.Settings
	c.daemon = settings[c.random.Intn(len(settings))].Name
	url := c.fleet.ConnectURL(c.daemon, c.account.Workspace, c.group, c.account.User, c.account.Password)
	dialContext, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	connection, err := pgx.Connect(dialContext, url)
	if err != nil {
		_ = clock.Sleep(ctx, reconnectPause)
		return err
	}
	c.connection = connection
	return nil
}

// disconnect closes the connection if there is one, as a phone does that changes networks.
func (c *caller) disconnect() {
	if c.connection != nil {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		_ = c.connection.Close(ctx)
		c.connection = nil
	}
}

// CrewLead is a caller that inserts entries and reads its newest acknowledged one back.
type CrewLead struct {
	caller
	number int
	next   int
	// newest is the key of the newest acknowledged entry; empty for none, and after a promotion has truncated commits that
	// the session relied on.
	newest string
}

// Run inserts and reads entries until ctx ends.
func (l *CrewLead) Run(ctx context.Context) {
	defer l.disconnect()
	for ctx.Err() == nil {
		l.step(ctx)
		_ = clock.Sleep(ctx, time.Duration(l.random.Int63n(int64(thinkTime))))
	}
}

func (l *CrewLead) step(ctx context.Context) {
	if err := l.connect(ctx); err != nil {
		return
	}
	if l.newest == "" || l.random.Intn(2) == 0 {
		l.write(ctx)
	}
	if l.random.Intn(4) == 0 {
		l.disconnect()
	}
	if l.connect(ctx) == nil {
		l.reload(ctx)
	}
}

// writeKinds is the number of equally likely ways to write. In one of them, writes have an operation key and are
// repeated until they are known to have run.
const writeKinds = 3

// errUnresolved is the error of a repeated write whose outcome is still unknown at the end of the run.
var errUnresolved = errors.New("the run ended before it was clear whether the write ran")

// retryUntilKnown repeats a write whose outcome is unknown, with its operation key, until it is acknowledged or reported
// as already run. Any other refusal of a repetition says nothing about the first attempt, so the write is repeated
// again. It returns errUnresolved if ctx ends first, and err itself if the outcome is known from it.
func (l *CrewLead) retryUntilKnown(ctx context.Context, key string, err error) error {
	if Classify(err) != Unknown {
		return err
	}
	for ctx.Err() == nil {
		l.closeAfter(err)
		if l.connect(ctx) != nil {
			continue
		}
		callContext, cancel := context.WithTimeout(ctx, callTimeout)
		err = l.insertWithKey(callContext, key)
		cancel()
		if err == nil || CodeOf(err) == result.AlreadyRan {
			return nil
		}
	}
	return errUnresolved
}

// insertWithKey inserts an entry in one statement, with the entry's key as the operation key.
func (l *CrewLead) insertWithKey(ctx context.Context, key string) error {
	if _, err := l.connection.Exec(ctx, "SET papayacove.operation_key = '"+key+"'"); err != nil {
		return notSent(err)
	}
	_, err := l.connection.Exec(ctx, "INSERT INTO cabinet_log (entry, part) VALUES ($1, 1), ($1, 2)", key)
	return err
}

// write inserts an entry in one of three ways, and records the outcome: in a transaction, in one statement with an
// operation key, or in one statement without.
func (l *CrewLead) write(ctx context.Context) {
	l.next++
	key := fmt.Sprintf("crew%d-%d", l.number, l.next)
	began := time.Now()
	callContext, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var err error
	switch l.random.Intn(writeKinds) {
	case 0:
		err = l.transaction(callContext, key)
	case 1:
		err = l.retryUntilKnown(ctx, key, l.insertWithKey(callContext, key))
	default:
		_, err = l.connection.Exec(callContext, "INSERT INTO cabinet_log (entry, part) VALUES ($1, 1), ($1, 2)", key)
	}
	if ctx.Err() != nil && err != nil {
		// The end of the run cancelled the request, so the outcome is unknown whatever the error says.
		l.history.recordWrite(l.group, key, Unknown, err, began)
		return
	}
	outcome := Classify(err)
	l.history.recordWrite(l.group, key, outcome, err, began)
	switch outcome {
	case Acknowledged:
		l.newest = key
	case Truncated:
		l.newest = ""
	}
	l.closeAfter(err)
}

// transaction inserts an entry in a transaction of two statements, and checks in between that it sees its own first row.
func (l *CrewLead) transaction(ctx context.Context, key string) error {
	transaction, err := l.connection.Begin(ctx)
	if err != nil {
		return notSent(err)
	}
	defer func() { _ = transaction.Rollback(ctx) }()
	if _, err := transaction.Exec(ctx, "INSERT INTO cabinet_log (entry, part) VALUES ($1, 1)", key); err != nil {
		return notSent(err)
	}
	var seen int
	if err := transaction.QueryRow(ctx, "SELECT count(*) FROM cabinet_log WHERE entry = $1", key).Scan(&seen); err != nil {
		return notSent(err)
	}
	if seen != 1 {
		l.history.RecordViolation("mixed: transaction %s of %s sees %d of its rows", key, l.group, seen)
	}
	if _, err := transaction.Exec(ctx, "INSERT INTO cabinet_log (entry, part) VALUES ($1, 2)", key); err != nil {
		return notSent(err)
	}
	return transaction.Commit(ctx)
}

// uncommitted is an error that came before the commit of a transaction, or a write, was sent.
type uncommitted struct{ error }

// SafeToRetry reports true, since the commit or write was not sent. pgconn.SafeToRetry calls it.
func (uncommitted) SafeToRetry() bool { return true }

func (u uncommitted) Unwrap() error { return u.error }

// notSent marks an error as one that came before the commit or write was sent.
func notSent(err error) error {
	return uncommitted{err}
}

// reload reads the newest acknowledged entry back. It records a stale read if rows of it are missing, and a violation if
// the response belongs to another request, which a random text in the query shows.
func (l *CrewLead) reload(ctx context.Context) {
	if l.newest == "" {
		return
	}
	callContext, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	nonce := fmt.Sprintf("%d-%d", l.number, l.random.Int63())
	var rows int
	var echo string
	err := l.connection.QueryRow(callContext, "SELECT count(*), $2::text FROM cabinet_log WHERE entry = $1", l.newest, nonce).Scan(&rows, &echo)
	l.history.countRequest()
	switch {
	case err != nil:
		if Classify(err) == Truncated {
			l.newest = ""
		}
		if ctx.Err() == nil {
			l.history.RecordEvent("%s reload of %s at %s: %v", l.group, l.newest, l.daemon, err)
		}
	case echo != nonce:
		l.history.RecordViolation("answer of another request at %s: sent %s, got %s", l.daemon, nonce, echo)
	case rows < rowsPerWrite:
		l.history.recordStaleRead("stale read: %s of %s reads %d rows at %s", l.newest, l.group, rows, l.daemon)
	}
	l.closeAfter(err)
}

// closeAfter closes the connection after an error that is not an error response: the connection cannot be used any more.
func (c *caller) closeAfter(err error) {
	var pgError *pgconn.PgError
	if err != nil && !errors.As(err, &pgError) {
		c.disconnect()
	}
}
