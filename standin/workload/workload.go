package workload

import (
	"context"
	"fmt"
	"math/rand"
	"sync"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/papayacove/papayacove/internal/clock"
	"github.com/papayacove/papayacove/standin/fleet"
)

const (
	// prepareTimeout is the time in which the tables of all groups must be created.
	prepareTimeout = 15 * time.Second
	// settleTimeout is the time in which a group must serve writes again after the last fault.
	settleTimeout = 15 * time.Second
)

// tables is the SQL text that creates the tables of a group. It can run more than once.
const tables = `CREATE TABLE IF NOT EXISTS cabinet_log (entry text NOT NULL, part bigint NOT NULL);
CREATE INDEX IF NOT EXISTS cabinet_log_entry ON cabinet_log (entry);
CREATE TABLE IF NOT EXISTS clock (name text PRIMARY KEY, value bigint NOT NULL);
INSERT INTO clock (name, value) VALUES ('clock', 0) ON CONFLICT DO NOTHING`

// Options configure a workload.
type Options struct {
	// Strict is the account of the crew leads, whose reads must not be stale. Aged is that of the supervisors, whose reads
	// accept data up to a maximum age.
	Strict Account
	Aged   Account
	// MaxAge is the maximum age of data that reads of the Aged account accept.
	MaxAge time.Duration
	// CrewLeads and Supervisors are the numbers of callers of each kind per group.
	CrewLeads   int
	Supervisors int
	// Seed determines the random choices of the callers.
	Seed int64
}

// Accounts returns the accounts of an example deployment, and the maximum age that reads of the aged one accept.
func Accounts(deployment string) (strict, aged Account, maxAge time.Duration) {
	if deployment == "lichtbild" {
		return Account{"lichtbild", "member", "member"}, Account{"lichtbild", "agent", "agent"}, 2 * time.Second
	}
	return Account{"kelani", "crew", "crew"}, Account{"kelani", "map", "map"}, 5 * time.Second
}

// Workload holds the callers of all groups of a deployment.
type Workload struct {
	fleet       *fleet.Fleet
	options     Options
	History     *History
	leads       []*CrewLead
	supervisors []*Supervisor
	clocks      []*clockWriter
}

// New returns a workload with callers for all groups of a fleet. They do not connect before Run.
func New(f *fleet.Fleet, options Options) *Workload {
	w := &Workload{fleet: f, options: options, History: NewHistory()}
	for _, group := range f.Deployment.Groups {
		w.addGroup(group.Name)
	}
	return w
}

func (w *Workload) addGroup(group string) {
	writer := &clockWriter{caller: w.newCaller(w.options.Strict, group)}
	w.clocks = append(w.clocks, writer)
	for range w.options.CrewLeads {
		w.leads = append(w.leads, &CrewLead{caller: w.newCaller(w.options.Strict, group), number: len(w.leads) + 1})
	}
	for range w.options.Supervisors {
		w.supervisors = append(w.supervisors, &Supervisor{
			caller: w.newCaller(w.options.Aged, group), clock: writer, maxAge: w.options.MaxAge,
		})
	}
}

func (w *Workload) newCaller(account Account, group string) caller {
	seed := w.options.Seed*1000 + int64(len(w.leads)+len(w.supervisors)+len(w.clocks))
	return caller{fleet: w.fleet, history: w.History, account: account, group: group, random: rand.New(rand.NewSource(seed))}
}

// Prepare creates the tables of all groups through the daemons, within prepareTimeout.
func (w *Workload) Prepare(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, prepareTimeout)
	defer cancel()
	for _, group := range w.fleet.Deployment.Groups {
		if err := w.retryUntilAcknowledged(ctx, group.Name, tables); err != nil {
			return fmt.Errorf("prepare %s: %w", group.Name, err)
		}
	}
	return nil
}

// retryUntilAcknowledged repeats statements until they are acknowledged or ctx ends. They may run more than once.
func (w *Workload) retryUntilAcknowledged(ctx context.Context, group, statements string) error {
	for {
		err := w.execute(ctx, group, statements)
		if err == nil || ctx.Err() != nil {
			return err
		}
		_ = clock.Sleep(ctx, reconnectPause)
	}
}

// execute runs statements through the first daemon that accepts a connection.
func (w *Workload) execute(ctx context.Context, group, statements string) error {
	var connectErr error
	for _, settings := range w.fleet.Deployment.Settings {
		url := w.fleet.ConnectURL(settings.Name, w.options.Strict.Workspace, group, w.options.Strict.User, w.options.Strict.Password)
		connection, err := pgx.Connect(ctx, url)
		if err != nil {
			connectErr = err
			continue
		}
		_, err = connection.PgConn().Exec(ctx, statements).ReadAll()
		_ = connection.Close(ctx)
		return err
	}
	return connectErr
}

// Run runs all callers until ctx ends, and returns when they have stopped.
func (w *Workload) Run(ctx context.Context) {
	var callers sync.WaitGroup
	start := func(run func(context.Context)) {
		callers.Add(1)
		go func() {
			defer callers.Done()
			run(ctx)
		}()
	}
	for _, writer := range w.clocks {
		start(writer.run)
	}
	for _, lead := range w.leads {
		start(lead.Run)
	}
	for _, supervisor := range w.supervisors {
		start(supervisor.Run)
	}
	callers.Wait()
}

// Settle waits until each group acknowledges a write, up to settleTimeout for each.
func (w *Workload) Settle(ctx context.Context) error {
	for _, group := range w.fleet.Deployment.Groups {
		if err := w.SettleGroup(ctx, group.Name); err != nil {
			return err
		}
	}
	return nil
}

// SettleGroup waits up to settleTimeout until a group acknowledges a write.
func (w *Workload) SettleGroup(ctx context.Context, group string) error {
	ctx, cancel := context.WithTimeout(ctx, settleTimeout)
	defer cancel()
	if err := w.retryUntilAcknowledged(ctx, group, "UPDATE clock SET value = value WHERE name = 'clock'"); err != nil {
		return fmt.Errorf("group %s serves no write: %w", group, err)
	}
	return nil
}

// Check reads the rows of all groups at their primaries and compares them with the outcomes that the callers got.
func (w *Workload) Check(ctx context.Context) (Verdict, error) {
	total := Verdict{}
	for _, group := range w.fleet.Deployment.Groups {
		rows, err := w.awaitRows(ctx, group.Name)
		if err != nil {
			return total, fmt.Errorf("rows of %s: %w", group.Name, err)
		}
		verdict := w.History.Compare(group.Name, rows)
		total.Lost += verdict.Lost
		total.Duplicated += verdict.Duplicated
		total.Mixed += verdict.Mixed
		total.FalseNotRun += verdict.FalseNotRun
		total.Details = append(total.Details, verdict.Details...)
	}
	return total, nil
}

// awaitRows repeats reading the rows of a group until it succeeds, up to settleTimeout: a group may still be unable to
// serve a transaction.
func (w *Workload) awaitRows(ctx context.Context, group string) (map[string]int, error) {
	ctx, cancel := context.WithTimeout(ctx, settleTimeout)
	defer cancel()
	for {
		rows, err := w.rows(ctx, group)
		if err == nil || ctx.Err() != nil {
			return rows, err
		}
		w.History.RecordFault("rows of %s not read yet: %v", group, err)
		_ = clock.Sleep(ctx, reconnectPause)
	}
}

// rows counts the rows of a group by entry. It reads in a transaction with write access, which runs on the primary.
func (w *Workload) rows(ctx context.Context, group string) (map[string]int, error) {
	settings := w.fleet.Deployment.Settings
	var connection *pgx.Conn
	var err error
	for _, daemon := range settings {
		url := w.fleet.ConnectURL(daemon.Name, w.options.Strict.Workspace, group, w.options.Strict.User, w.options.Strict.Password)
		if connection, err = pgx.Connect(ctx, url); err == nil {
			break
		}
	}
	if err != nil {
		return nil, err
	}
	defer connection.Close(ctx)
	transaction, err := connection.Begin(ctx)
	if err != nil {
		return nil, err
	}
	defer func() { _ = transaction.Rollback(ctx) }()
	found, err := transaction.Query(ctx, "SELECT entry, part FROM cabinet_log")
	if err != nil {
		return nil, err
	}
	defer found.Close()
	rows := make(map[string]int)
	for found.Next() {
		var entry string
		var part int64
		if err := found.Scan(&entry, &part); err != nil {
			return nil, err
		}
		rows[entry]++
	}
	return rows, found.Err()
}

// MapReads returns the numbers of reads with a maximum age that returned data and that did not. Call it after Run has
// returned.
func (w *Workload) MapReads() (served, refused int) {
	for _, supervisor := range w.supervisors {
		served += supervisor.Served
		refused += supervisor.Refused
	}
	return served, refused
}
