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
	// prepareTimeout is the time in which the tables must be there.
	prepareTimeout = 15 * time.Second
	// settleTimeout is the time in which a fleet must serve writes again after the last failure.
	settleTimeout = 15 * time.Second
)

// tables are the tables of each group.
const tables = `CREATE TABLE IF NOT EXISTS cabinet_log (entry text NOT NULL, part bigint NOT NULL);
CREATE INDEX IF NOT EXISTS cabinet_log_entry ON cabinet_log (entry);
CREATE TABLE IF NOT EXISTS clock (name text PRIMARY KEY, value bigint NOT NULL);
INSERT INTO clock (name, value) VALUES ('clock', 0) ON CONFLICT DO NOTHING`

// Options describe the work.
type Options struct {
	// Strict and Aged are the accounts of crew leads and of supervisors.
	Strict Account
	Aged   Account
	// MaxAge is the age that reads of the Aged account accept.
	MaxAge time.Duration
	// Leads and Supervisors are the numbers of callers for each group.
	Leads       int
	Supervisors int
	Seed        int64
}

// Accounts returns the accounts of a deployment of the examples.
func Accounts(deployment string) (strict, aged Account, maxAge time.Duration) {
	if deployment == "lichtbild" {
		return Account{"lichtbild", "member", "member"}, Account{"lichtbild", "agent", "agent"}, 2 * time.Second
	}
	return Account{"kelani", "crew", "crew"}, Account{"kelani", "map", "map"}, 5 * time.Second
}

// Workload is the work of all callers of a deployment.
type Workload struct {
	fleet       *fleet.Fleet
	options     Options
	History     *History
	leads       []*CrewLead
	supervisors []*Supervisor
	clocks      []*clockWriter
}

// New prepares the callers of all groups.
func New(f *fleet.Fleet, options Options) *Workload {
	w := &Workload{fleet: f, options: options, History: NewHistory()}
	for _, group := range f.Deployment.Groups {
		w.addGroup(group.Name)
	}
	return w
}

func (w *Workload) addGroup(group string) {
	ticking := &clockWriter{caller: w.newCaller(w.options.Strict, group)}
	w.clocks = append(w.clocks, ticking)
	for range w.options.Leads {
		w.leads = append(w.leads, &CrewLead{caller: w.newCaller(w.options.Strict, group), number: len(w.leads) + 1})
	}
	for range w.options.Supervisors {
		w.supervisors = append(w.supervisors, &Supervisor{
			caller: w.newCaller(w.options.Aged, group), clock: ticking, maxAge: w.options.MaxAge,
		})
	}
}

func (w *Workload) newCaller(account Account, group string) caller {
	seed := w.options.Seed*1000 + int64(len(w.leads)+len(w.supervisors)+len(w.clocks))
	return caller{fleet: w.fleet, history: w.History, account: account, group: group, random: rand.New(rand.NewSource(seed))}
}

// Prepare creates the tables through the daemons.
func (w *Workload) Prepare(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, prepareTimeout)
	defer cancel()
	for _, group := range w.fleet.Deployment.Groups {
		if err := w.untilDone(ctx, group.Name, tables); err != nil {
			return fmt.Errorf("prepare %s: %w", group.Name, err)
		}
	}
	return nil
}

// untilDone repeats statements that may run more than once until they are acknowledged.
func (w *Workload) untilDone(ctx context.Context, group, statements string) error {
	for {
		err := w.once(ctx, group, statements)
		if err == nil || ctx.Err() != nil {
			return err
		}
		_ = clock.Sleep(ctx, reconnectPause)
	}
}

func (w *Workload) once(ctx context.Context, group, statements string) error {
	var firstErr error
	for _, settings := range w.fleet.Deployment.Settings {
		url := w.fleet.ConnectURL(settings.Name, w.options.Strict.Workspace, group, w.options.Strict.User, w.options.Strict.Password)
		connection, err := pgx.Connect(ctx, url)
		if err != nil {
			firstErr = err
			continue
		}
		_, err = connection.PgConn().Exec(ctx, statements).ReadAll()
		_ = connection.Close(ctx)
		return err
	}
	return firstErr
}

// Run lets all callers work until ctx ends.
func (w *Workload) Run(ctx context.Context) {
	var callers sync.WaitGroup
	start := func(run func(context.Context)) {
		callers.Add(1)
		go func() {
			defer callers.Done()
			run(ctx)
		}()
	}
	for _, ticking := range w.clocks {
		start(ticking.run)
	}
	for _, lead := range w.leads {
		start(lead.Run)
	}
	for _, supervisor := range w.supervisors {
		start(supervisor.Run)
	}
	callers.Wait()
}

// Settle waits until each group acknowledges a write again.
func (w *Workload) Settle(ctx context.Context) error {
	for _, group := range w.fleet.Deployment.Groups {
		if err := w.SettleGroup(ctx, group.Name); err != nil {
			return err
		}
	}
	return nil
}

// SettleGroup waits until a group acknowledges a write again.
func (w *Workload) SettleGroup(ctx context.Context, group string) error {
	ctx, cancel := context.WithTimeout(ctx, settleTimeout)
	defer cancel()
	if err := w.untilDone(ctx, group, "UPDATE clock SET value = value WHERE name = 'clock'"); err != nil {
		return fmt.Errorf("group %s serves no write: %w", group, err)
	}
	return nil
}

// Check reads the rows of all groups at their primaries and compares them with what callers were told.
func (w *Workload) Check(ctx context.Context) (Verdict, error) {
	total := Verdict{}
	for _, group := range w.fleet.Deployment.Groups {
		rows, err := w.settledRows(ctx, group.Name)
		if err != nil {
			return total, fmt.Errorf("rows of %s: %w", group.Name, err)
		}
		verdict := w.History.Compare(group.Name, rows)
		total.Lost += verdict.Lost
		total.Duplicated += verdict.Duplicated
		total.Mixed += verdict.Mixed
		total.FalseNot += verdict.FalseNot
		total.Details = append(total.Details, verdict.Details...)
	}
	return total, nil
}

// settledRows reads the rows as soon as the group serves a transaction again, within the time in
// which it must.
func (w *Workload) settledRows(ctx context.Context, group string) (map[string]int, error) {
	ctx, cancel := context.WithTimeout(ctx, settleTimeout)
	defer cancel()
	for {
		rows, err := w.rows(ctx, group)
		if err == nil || ctx.Err() != nil {
			return rows, err
		}
		w.History.Fault("rows of %s not read yet: %v", group, err)
		_ = clock.Sleep(ctx, reconnectPause)
	}
}

// rows counts the rows of a group by entry, with a write-access transaction, so that the primary answers.
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

// MapReads returns how many reads with an allowed age were served and refused.
func (w *Workload) MapReads() (served, refused int) {
	for _, supervisor := range w.supervisors {
		served += supervisor.Served
		refused += supervisor.Refused
	}
	return served, refused
}
