package database

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strings"

	"zombiezen.com/go/sqlite"

	"github.com/papayacove/papayacove/internal/target"
)

// maxKnobsBytes is the size of the largest body of /knobs.
const maxKnobsBytes = 64 << 10

// knobsRequest is the body of POST /knobs. Faults that are left out stay as they are.
type knobsRequest struct {
	*Knobs
	// Silent makes the open connections silent for good.
	Silent bool `json:"silent"`
	// Reset closes the open connections.
	Reset bool `json:"reset"`
}

// Dump is the answer of GET /dump.
type Dump struct {
	Columns []string `json:"columns"`
	Rows    [][]any  `json:"rows"`
}

// LogDump is the answer of GET /log.
type LogDump struct {
	Status  target.Status `json:"status"`
	Entries []LogEntry    `json:"entries"`
}

// LogEntry is the place of one log record.
type LogEntry struct {
	Offset uint64 `json:"offset"`
	Term   uint64 `json:"term"`
}

// startAdmin serves the knobs.
func (t *Target) startAdmin() error {
	if t.options.AdminAddress == "" {
		return nil
	}
	listener, err := net.Listen("tcp", t.options.AdminAddress)
	if err != nil {
		return fmt.Errorf("listen for knobs: %w", err)
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /knobs", t.serveSetKnobs)
	mux.HandleFunc("GET /knobs", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, t.Knobs()) })
	mux.HandleFunc("GET /status", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, t.Status()) })
	mux.HandleFunc("GET /dump", t.serveDump)
	mux.HandleFunc("GET /log", t.serveLog)
	t.admin = &http.Server{Handler: mux}
	t.adminAddress = listener.Addr().String()
	t.wait.Go(func() { t.admin.Serve(listener) })
	return nil
}

// AdminAddress returns the host:port of the knobs; empty when there are none.
func (t *Target) AdminAddress() string {
	return t.adminAddress
}

func (t *Target) serveSetKnobs(w http.ResponseWriter, r *http.Request) {
	knobs := t.Knobs()
	request := knobsRequest{Knobs: &knobs}
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxKnobsBytes))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&request); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	t.SetKnobs(knobs)
	if request.Silent {
		t.Silence()
	}
	if request.Reset {
		t.Reset()
	}
	writeJSON(w, knobs)
}

func (t *Target) serveDump(w http.ResponseWriter, r *http.Request) {
	dump, err := t.Dump(r.URL.Query().Get("table"))
	if err != nil {
		http.Error(w, err.Error(), http.StatusNotFound)
		return
	}
	writeJSON(w, dump)
}

// Dump returns the applied rows of a table in the order of their row ids.
func (t *Target) Dump(table string) (Dump, error) {
	dump := Dump{Rows: [][]any{}}
	query := `SELECT * FROM "` + strings.ReplaceAll(table, `"`, `""`) + `" ORDER BY rowid`
	err := t.store.read(query, func(stmt *sqlite.Stmt) error {
		row := make([]any, stmt.ColumnCount())
		for i := range row {
			row[i] = columnDatum(stmt, i).plain()
		}
		dump.Rows = append(dump.Rows, row)
		dump.Columns = columnNames(stmt)
		return nil
	})
	return dump, err
}

func columnNames(stmt *sqlite.Stmt) []string {
	names := make([]string, stmt.ColumnCount())
	for i := range names {
		names[i] = stmt.ColumnName(i)
	}
	return names
}

// plain returns the value as JSON writes it.
func (d datum) plain() any {
	switch d.Kind {
	case datumInt:
		return d.Int
	case datumFloat:
		return d.Float
	case datumText:
		return d.Text
	case datumBlob:
		return d.Blob
	default:
		return nil
	}
}

func (t *Target) serveLog(w http.ResponseWriter, _ *http.Request) {
	dump, err := t.Log()
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	writeJSON(w, dump)
}

// Log returns the status and the places of all log records.
func (t *Target) Log() (LogDump, error) {
	dump := LogDump{Status: t.Status(), Entries: []LogEntry{}}
	err := t.store.read("SELECT log_offset, term FROM standin_log ORDER BY log_offset", func(stmt *sqlite.Stmt) error {
		dump.Entries = append(dump.Entries, LogEntry{uint64(stmt.ColumnInt64(0)), uint64(stmt.ColumnInt64(1))})
		return nil
	})
	return dump, err
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(value)
}
