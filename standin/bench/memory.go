package bench

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/papayacove/papayacove/api"
	"github.com/papayacove/papayacove/internal/clock"
	"github.com/papayacove/papayacove/standin/fleet"
)

const (
	// idleCallers is the number of idle connections that are opened to one daemon.
	idleCallers = 2000
	// idleDialers open them side by side.
	idleDialers = 16
	// idleSettle is the time after which the memory of the daemon is read.
	idleSettle = 2 * time.Second
	// idleBoundKB bounds the memory of an idle connection.
	idleBoundKB = 24
	// allocationStatements are run to count allocations.
	allocationStatements = 3000
	// connectionLimit is what the workspace allows for this part.
	connectionLimit = "4000"
)

// measureMemory counts the allocations of a statement and the memory of an idle caller.
func measureMemory(ctx context.Context, e *environment) error {
	r, err := e.start(ctx, zeroSite, func(o *fleet.Options) {
		o.AdjustLoad = raiseConnections
		o.Adjust = func(settings *api.Settings) { settings.Limits.MaxCallerConnections = 2 * idleCallers }
	})
	if err != nil {
		return err
	}
	defer r.Close()
	if err := e.countAllocations(ctx, r); err != nil {
		return err
	}
	return e.measureIdle(ctx, r)
}

// raiseConnections lets the workspaces use many connections.
func raiseConnections(load *fleet.PlatformLoad) error {
	for i := range load.Objects {
		if err := raiseConnection(&load.Objects[i]); err != nil {
			return fmt.Errorf("object %s: %w", load.Objects[i].Name, err)
		}
	}
	return nil
}

func raiseConnection(object *api.Object) error {
	switch object.Kind {
	case "template":
		var template api.Template
		if err := json.Unmarshal(object.Data, &template); err != nil {
			return err
		}
		for i := range template.Parameters {
			if template.Parameters[i].Name == "connections" {
				template.Parameters[i].Maximum = connectionLimit
			}
		}
		return setData(object, template)
	case "workspace":
		var workspace api.Workspace
		if err := json.Unmarshal(object.Data, &workspace); err != nil {
			return err
		}
		workspace.Values["connections"] = connectionLimit
		return setData(object, workspace)
	}
	return nil
}

func setData(object *api.Object, value any) error {
	data, err := json.Marshal(value)
	object.Data = data
	return err
}

// mallocs returns the allocations of a daemon so far.
func (r *running) mallocs(daemon string) (uint64, error) {
	var vars struct {
		Memstats struct{ Mallocs uint64 } `json:"memstats"`
	}
	err := r.Get(r.Settings(daemon).AdminAddress, "/debug/vars", &vars)
	return vars.Memstats.Mallocs, err
}

// countAllocations counts what a daemon allocates for a statement on a target that it holds. The
// background work of the daemon is counted over the same time before and taken off.
func (e *environment) countAllocations(ctx context.Context, r *running) error {
	replica, err := r.replicaPlace()
	if err != nil {
		return err
	}
	primary, err := r.primaryPlace()
	if err != nil {
		return err
	}
	for _, one := range []struct {
		name, daemon, group, statement string
	}{
		{"read.local", replica.holder, replica.group.Name, readStatement},
		{"read.forwarding", replica.forwards, replica.group.Name, readStatement},
		{"write.local", primary.holder, primary.group.Name, writeStatement},
	} {
		count, err := r.allocationsPer(ctx, one.daemon, one.group, one.statement)
		if err != nil {
			return err
		}
		e.Add(r.figure(e.part, one.name, "allocations_per_statement"), count, "1", Unbounded)
	}
	return nil
}

func (r *running) allocationsPer(ctx context.Context, daemon, group, statement string) (float64, error) {
	connection, err := connect(ctx, r.url(daemon, group, r.strict))
	if err != nil {
		return 0, err
	}
	defer closeConnection(connection)
	if err := execMany(ctx, connection, statement, warmUpRounds); err != nil {
		return 0, err
	}
	before, err := r.mallocs(daemon)
	if err != nil {
		return 0, err
	}
	began := time.Now()
	if err := execMany(ctx, connection, statement, allocationStatements); err != nil {
		return 0, err
	}
	took := time.Since(began)
	after, err := r.mallocs(daemon)
	if err != nil {
		return 0, err
	}
	_ = clock.Sleep(ctx, took)
	idle, err := r.mallocs(daemon)
	return (float64(after-before) - float64(idle-after)) / allocationStatements, err
}

func execMany(ctx context.Context, connection *pgx.Conn, statement string, count int) error {
	for range count {
		if _, err := connection.Exec(ctx, statement); err != nil {
			return err
		}
	}
	return nil
}

// measureIdle opens idle connections that have each run a read, and compares the resident memory
// of the daemon.
func (e *environment) measureIdle(ctx context.Context, r *running) error {
	daemon := r.daemonNames()[0]
	before, err := residentKB(r.Daemons[daemon].ID())
	if err != nil {
		return err
	}
	connections, err := r.openMany(ctx, daemon, idleCallers)
	defer func() {
		for _, connection := range connections {
			_ = connection.PgConn().Conn().Close()
		}
	}()
	if err != nil {
		return err
	}
	_ = clock.Sleep(ctx, idleSettle)
	after, err := residentKB(r.Daemons[daemon].ID())
	if err != nil {
		return err
	}
	e.Add(r.figure(e.part, "idle_connection"), float64(after-before)/idleCallers, "KB", AtMost(idleBoundKB))
	return nil
}

// openMany opens connections that have each run a read.
func (r *running) openMany(ctx context.Context, daemon string, count int) ([]*pgx.Conn, error) {
	url := r.url(daemon, r.Deployment.Groups[0].Name, r.strict)
	var mu sync.Mutex
	var opened []*pgx.Conn
	var failed error
	var dialers sync.WaitGroup
	for range idleDialers {
		dialers.Go(func() {
			for range count / idleDialers {
				connection, err := connect(ctx, url)
				if err == nil {
					_, err = connection.Exec(ctx, readStatement)
				}
				mu.Lock()
				if connection != nil {
					opened = append(opened, connection)
				}
				if err != nil {
					failed = err
				}
				mu.Unlock()
			}
		})
	}
	dialers.Wait()
	return opened, failed
}

// residentKB returns the resident memory of a process.
func residentKB(id int) (int64, error) {
	content, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", id))
	if err != nil {
		return 0, err
	}
	for line := range strings.Lines(string(content)) {
		if value, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			return strconv.ParseInt(strings.TrimSuffix(strings.TrimSpace(value), " kB"), 10, 64)
		}
	}
	return 0, fmt.Errorf("process %d shows no resident memory", id)
}
