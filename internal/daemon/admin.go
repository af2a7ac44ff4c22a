package daemon

import (
	"cmp"
	"context"
	"encoding/json"
	"expvar"
	"fmt"
	"net/http"
	"slices"
	"strconv"

	"github.com/papayacove/papayacove/api"
	"github.com/papayacove/papayacove/internal/httpserver"
	"github.com/papayacove/papayacove/internal/logevent"
	"github.com/papayacove/papayacove/internal/logfield"
	"github.com/papayacove/papayacove/internal/telemetry"
	"github.com/sirupsen/logrus"
)

// Version is the version of the program.
const Version = "0.1.0"

// serveAdmin serves health, readiness, metrics, status and decisions at the admin address until ctx ends.
func (d *Daemon) serveAdmin(ctx context.Context) error {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { fmt.Fprintln(w, "ok") })
	mux.HandleFunc("GET /readyz", d.serveReady)
	mux.HandleFunc("GET /status", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, d.status()) })
	mux.HandleFunc("GET /decisions", d.serveDecisions)
	mux.Handle("GET /debug/vars", expvar.Handler())
	return httpserver.Serve(ctx, "operators", d.settings.AdminAddress, mux)
}

// serveReady reports to the load balancer whether to route callers to this daemon.
func (d *Daemon) serveReady(w http.ResponseWriter, _ *http.Request) {
	switch {
	case d.members.IsLeaving():
		http.Error(w, "leaving", http.StatusServiceUnavailable)
	case d.catalog.Revision() == 0:
		http.Error(w, "no configuration yet", http.StatusServiceUnavailable)
	default:
		fmt.Fprintln(w, "ready")
	}
}

func (d *Daemon) serveDecisions(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	limit, _ := strconv.Atoi(query.Get("limit"))
	filter := telemetry.Filter{Group: query.Get("group"), Session: query.Get("session"), Event: query.Get("kind"), Limit: limit}
	writeJSON(w, api.DecisionList{Decisions: d.recorder.Decisions(filter)})
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(value); err != nil {
		logrus.WithField(logfield.Error, err).Warn(logevent.AdminAnswerFailed)
	}
}

// status returns the state of the daemon, with targets and groups ordered by name.
func (d *Daemon) status() api.DaemonStatus {
	status := api.DaemonStatus{
		Name: d.settings.Name, Zone: d.settings.Zone, Version: Version, Leaving: d.members.IsLeaving(),
		ConfigRevision: d.catalog.Revision(), PlatformReached: d.platformAccess.isReached(),
		Members: d.members.Statuses(), Targets: []api.HeldTargetStatus{}, Groups: d.terms.All(),
		PlatformCalls: d.platformCalls(), Counters: counterValues(), ConfigProblems: []string{},
	}
	for _, refused := range d.catalog.Statuses() {
		status.ConfigProblems = append(status.ConfigProblems, refused.String())
	}
	for _, held := range d.gates.Gates() {
		status.Targets = append(status.Targets, held.Status())
	}
	slices.SortFunc(status.Targets, func(a, b api.HeldTargetStatus) int { return cmp.Compare(a.Target, b.Target) })
	slices.SortFunc(status.Groups, func(a, b api.GroupTerm) int { return cmp.Compare(a.Group, b.Group) })
	return status
}

func (d *Daemon) platformCalls() []api.Counter {
	counts := d.platform.Counts()
	return []api.Counter{
		{Name: "create", Value: int64(counts.Create)},
		{Name: "delete", Value: int64(counts.Delete)},
		{Name: "get", Value: int64(counts.Get)},
		{Name: "list", Value: int64(counts.List)},
		{Name: "update", Value: int64(counts.Update)},
		{Name: "vms", Value: int64(counts.VMs)},
		{Name: "watch", Value: int64(counts.Watch)},
		{Name: "watch_vms", Value: int64(counts.WatchVMs)},
	}
}

// counterValues returns the integer entries of all expvar maps, each named MAP.ENTRY.
func counterValues() []api.Counter {
	counters := []api.Counter{}
	expvar.Do(func(variable expvar.KeyValue) {
		group, ok := variable.Value.(*expvar.Map)
		if !ok {
			return
		}
		group.Do(func(entry expvar.KeyValue) {
			if value, ok := entry.Value.(*expvar.Int); ok {
				counters = append(counters, api.Counter{Name: variable.Key + "." + entry.Key, Value: value.Value()})
			}
		})
	})
	return counters
}
