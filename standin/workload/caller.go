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
	// callTimeout is the time that a caller waits for one answer.
	callTimeout = 8 * time.Second
	// thinkTime is the longest pause between two requests of a caller.
	thinkTime = 20 * time.Millisecond
	// reconnectPause is the pause after a connection could not be opened.
	reconnectPause = 30 * time.Millisecond
)

// Account is a user of a workspace.
type Account struct {
	Workspace string
	User      string
	Password  string
}

// caller is one phone: it keeps one connection and moves to another daemon now and then.
type caller struct {
	fleet   *fleet.Fleet
	history *History
	account Account
	group   string
	random  *rand.Rand

	connection *pgx.Conn
	daemon     string
}

// connect opens a connection to some daemon when there is none.
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

// roam leaves the daemon, as a phone does that changes networks.
func (c *caller) roam() {
	if c.connection != nil {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		_ = c.connection.Close(ctx)
		c.connection = nil
	}
}

// CrewLead logs cabinets and reloads them.
type CrewLead struct {
	caller
	number int
	next   int
	newest string
}

// Run logs cabinets until ctx ends.
func (l *CrewLead) Run(ctx context.Context) {
	defer l.roam()
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
		l.roam()
	}
	if l.connect(ctx) == nil {
		l.reload(ctx)
	}
}

// keyOneIn is the share of writes that carry an operation key and are repeated until it is clear
// that they ran.
const keyOneIn = 3

// errUnsettled ends the repeats of a write whose outcome is still unknown.
var errUnsettled = errors.New("the run ended before it was clear whether the write ran")

// settleKey repeats a write with its operation key until it is acknowledged or has run before. Once
// an outcome was unknown, a later refusal says nothing about the first attempt.
func (l *CrewLead) settleKey(ctx context.Context, key string, err error) error {
	if Classify(err) != Unknown {
		return err
	}
	for ctx.Err() == nil {
		l.closeAfter(err)
		if l.connect(ctx) != nil {
			continue
		}
		callContext, cancel := context.WithTimeout(ctx, callTimeout)
		err = l.keyed(callContext, key)
		cancel()
		if err == nil || CodeOf(err) == result.AlreadyRan {
			return nil
		}
	}
	return errUnsettled
}

// keyed logs a cabinet under an operation key.
func (l *CrewLead) keyed(ctx context.Context, key string) error {
	if _, err := l.connection.Exec(ctx, "SET papayacove.operation_key = '"+key+"'"); err != nil {
		return notSent(err)
	}
	_, err := l.connection.Exec(ctx, "INSERT INTO cabinet_log (entry, part) VALUES ($1, 1), ($1, 2)", key)
	return err
}

// write logs a cabinet, in one statement or in a transaction of two.
func (l *CrewLead) write(ctx context.Context) {
	l.next++
	key := fmt.Sprintf("crew%d-%d", l.number, l.next)
	began := time.Now()
	callContext, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var err error
	switch l.random.Intn(keyOneIn) {
	case 0:
		err = l.transaction(callContext, key)
	case 1:
		err = l.settleKey(ctx, key, l.keyed(callContext, key))
	default:
		_, err = l.connection.Exec(callContext, "INSERT INTO cabinet_log (entry, part) VALUES ($1, 1), ($1, 2)", key)
	}
	if ctx.Err() != nil && err != nil {
		// The run ended while the caller waited, so it concludes nothing.
		l.history.told(l.group, key, Unknown, err, began)
		return
	}
	outcome := Classify(err)
	l.history.told(l.group, key, outcome, err, began)
	switch outcome {
	case Acknowledged:
		l.newest = key
	case Cut:
		l.newest = ""
	}
	l.closeAfter(err)
}

// transaction logs a cabinet in two statements and looks at its own work in between.
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
		l.history.Violate("mixed: transaction %s of %s sees %d of its rows", key, l.group, seen)
	}
	if _, err := transaction.Exec(ctx, "INSERT INTO cabinet_log (entry, part) VALUES ($1, 2)", key); err != nil {
		return notSent(err)
	}
	return transaction.Commit(ctx)
}

// uncommitted is the failure of a transaction whose commit was never sent.
type uncommitted struct{ error }

// SafeToRetry tells that the commit was not sent.
func (uncommitted) SafeToRetry() bool { return true }

// Unwrap returns the cause.
func (u uncommitted) Unwrap() error { return u.error }

func notSent(err error) error {
	return uncommitted{err}
}

// reload reads the newest acknowledged entry back.
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
	l.history.request()
	switch {
	case err != nil:
		if Classify(err) == Cut {
			l.newest = ""
		}
		if ctx.Err() == nil {
			l.history.Event("%s reload of %s at %s: %v", l.group, l.newest, l.daemon, err)
		}
	case echo != nonce:
		l.history.Violate("answer of another request at %s: sent %s, got %s", l.daemon, nonce, echo)
	case rows < rowsPerWrite:
		l.history.stale("stale read: %s of %s reads %d rows at %s", l.newest, l.group, rows, l.daemon)
	}
	l.closeAfter(err)
}

// closeAfter drops a connection that is of no more use.
func (c *caller) closeAfter(err error) {
	var answer *pgconn.PgError
	if err != nil && !errors.As(err, &answer) {
		c.roam()
	}
}
