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
	// idleCallers is the number of idle caller connections that are opened to one daemon.
	idleCallers = 2000
	// idleDialers is the number of goroutines that open them in parallel.
	idleDialers = 16
	// idleSettle is the wait before the memory of the daemon is read, after all connections are open.
	idleSettle = 2 * time.Second
	// idleBoundKB bounds the resident memory of the daemon per idle connection, in KB.
	idleBoundKB = 24
	// allocationStatements is the number of statements over which allocations are averaged.
	allocationStatements = 3000
	// connectionLimit is the number of connections that the workspaces allow in this part.
	connectionLimit = "4000"
)

// measureMemory measures the heap allocations of a daemon per statement and its memory per idle caller connection.
func measureMemory(ctx context.Context, e *environment) error {
	r, err := e.start(ctx, zeroSite, func(o *fleet.Options) {
		o.AdjustLoad = raiseConnectionLimits
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

// raiseConnectionLimits lets all workspaces of a platform use connectionLimit connections.
func raiseConnectionLimits(load *fleet.PlatformLoad) error {
	for i := range load.Objects {
		if err := raiseConnectionLimit(&load.Objects[i]); err != nil {
			return fmt.Errorf("object %s: %w", load.Objects[i].Name, err)
		}
	}
	return nil
}

// raiseConnectionLimit sets the limit in a template or a workspace and leaves other objects as they are.
func raiseConnectionLimit(object *api.Object) error {
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

// setData stores value as the JSON document of an object.
func setData(object *api.Object, value any) error {
	data, err := json.Marshal(value)
	object.Data = data
	return err
}

// allocationsSoFar returns the number of heap allocations of a daemon since its start.
func (r *runningFleet) allocationsSoFar(daemon string) (uint64, error) {
	var vars struct {
		Memstats struct{ Mallocs uint64 } `json:"memstats"`
	}
	err := r.Get(r.Settings(daemon).AdminAddress, "/debug/vars", &vars)
	return vars.Memstats.Mallocs, err
}

// countAllocations measures the heap allocations of a daemon for a statement on a target that the daemon holds, and
// for a read that it forwards to the holder.
func (e *environment) countAllocations(ctx context.Context, r *runningFleet) error {
	replica, err := r.findReplica()
	if err != nil {
		return err
	}
	primary, err := r.findPrimary()
	if err != nil {
		return err
	}
	for _, load := range []struct {
		name, daemon, group, statement string
	}{
		{"read.local", replica.holder, replica.group.Name, readStatement},
		{"read.forwarding", replica.forwarder, replica.group.Name, readStatement},
		{"write.local", primary.holder, primary.group.Name, writeStatement},
	} {
		count, err := r.allocationsPerStatement(ctx, load.daemon, load.group, load.statement)
		if err != nil {
			return err
		}
		e.Add(r.figure(e.part, load.name, "allocations_per_statement"), count, "1", Unbounded)
	}
	return nil
}

// allocationsPerStatement returns the heap allocations of a daemon per statement. The allocations of the daemon's
// background work are counted over an idle time of the same length afterwards and subtracted.
func (r *runningFleet) allocationsPerStatement(ctx context.Context, daemon, group, statement string) (float64, error) {
	connection, err := connect(ctx, r.url(daemon, group, r.strict))
	if err != nil {
		return 0, err
	}
	defer closeConnection(connection)
	if err := execMany(ctx, connection, statement, warmUpRounds); err != nil {
		return 0, err
	}
	before, err := r.allocationsSoFar(daemon)
	if err != nil {
		return 0, err
	}
	began := time.Now()
	if err := execMany(ctx, connection, statement, allocationStatements); err != nil {
		return 0, err
	}
	took := time.Since(began)
	after, err := r.allocationsSoFar(daemon)
	if err != nil {
		return 0, err
	}
	_ = clock.Sleep(ctx, took)
	idle, err := r.allocationsSoFar(daemon)
	return (float64(after-before) - float64(idle-after)) / allocationStatements, err
}

// execMany runs a statement count times, one after the other.
func execMany(ctx context.Context, connection *pgx.Conn, statement string, count int) error {
	for range count {
		if _, err := connection.Exec(ctx, statement); err != nil {
			return err
		}
	}
	return nil
}

// measureIdle opens idle connections that have each run a read, and measures by how much the resident memory of the
// daemon grows per connection.
func (e *environment) measureIdle(ctx context.Context, r *runningFleet) error {
	daemon := r.daemonNames()[0]
	before, err := residentKB(r.Daemons[daemon].PID())
	if err != nil {
		return err
	}
	connections, err := r.openIdleConnections(ctx, daemon, idleCallers)
	defer func() {
		for _, connection := range connections {
			_ = connection.PgConn().Conn().Close()
		}
	}()
	if err != nil {
		return err
	}
	_ = clock.Sleep(ctx, idleSettle)
	after, err := residentKB(r.Daemons[daemon].PID())
	if err != nil {
		return err
	}
	e.Add(r.figure(e.part, "idle_connection"), float64(after-before)/idleCallers, "KB", AtMost(idleBoundKB))
	return nil
}

// openIdleConnections opens connections that have each run a read.
func (r *runningFleet) openIdleConnections(ctx context.Context, daemon string, count int) ([]*pgx.Conn, error) {
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

// residentKB returns the resident memory of a process in KB.
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
	return 0, fmt.Errorf("process %d: no VmRSS line in its status", id)
}
