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

// maxFaultsBytes is the maximum size in bytes of a body of POST /knobs.
const maxFaultsBytes = 64 << 10

// faultsRequest is the body of POST /knobs. Faults missing from the body are not changed.
type faultsRequest struct {
	*Faults
	// HalfOpen makes the open connections half-open until they are closed.
	HalfOpen bool `json:"silent"`
	// Reset closes the open connections.
	Reset bool `json:"reset"`
}

// Dump is the response of GET /dump: the columns and rows of a table.
type Dump struct {
	Columns []string `json:"columns"`
	Rows    [][]any  `json:"rows"`
}

// LogDump is the response of GET /log.
type LogDump struct {
	Status  target.Status `json:"status"`
	Entries []LogEntry    `json:"entries"`
}

// LogEntry is the position of one log record.
type LogEntry struct {
	Offset uint64 `json:"offset"`
	Term   uint64 `json:"term"`
}

// startAdmin starts the admin API, which reads and sets faults and shows status, rows and log.
func (t *Target) startAdmin() error {
	if t.options.AdminAddress == "" {
		return nil
	}
	listener, err := net.Listen("tcp", t.options.AdminAddress)
	if err != nil {
		return fmt.Errorf("listen on admin address: %w", err)
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /knobs", t.serveSetFaults)
	mux.HandleFunc("GET /knobs", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, t.Faults()) })
	mux.HandleFunc("GET /status", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, t.Status()) })
	mux.HandleFunc("GET /dump", t.serveDump)
	mux.HandleFunc("GET /log", t.serveLog)
	t.adminServer = &http.Server{Handler: mux}
	t.adminAddress = listener.Addr().String()
	t.goroutines.Go(func() { t.adminServer.Serve(listener) })
	return nil
}

// AdminAddress returns the host:port of the admin API, or an empty string if it is disabled.
func (t *Target) AdminAddress() string {
	return t.adminAddress
}

func (t *Target) serveSetFaults(w http.ResponseWriter, r *http.Request) {
	faults := t.Faults()
	request := faultsRequest{Faults: &faults}
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxFaultsBytes))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&request); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	t.SetFaults(faults)
	if request.HalfOpen {
		t.MakeHalfOpen()
	}
	if request.Reset {
		t.CloseConnections()
	}
	writeJSON(w, faults)
}

func (t *Target) serveDump(w http.ResponseWriter, r *http.Request) {
	dump, err := t.Dump(r.URL.Query().Get("table"))
	if err != nil {
		http.Error(w, err.Error(), http.StatusNotFound)
		return
	}
	writeJSON(w, dump)
}

// Dump returns the applied rows of a table in the order of their row IDs.
func (t *Target) Dump(table string) (Dump, error) {
	dump := Dump{Rows: [][]any{}}
	query := `SELECT * FROM "` + strings.ReplaceAll(table, `"`, `""`) + `" ORDER BY rowid`
	err := t.store.read(query, func(stmt *sqlite.Stmt) error {
		row := make([]any, stmt.ColumnCount())
		for i := range row {
			row[i] = columnDatum(stmt, i).jsonValue()
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

// jsonValue returns the value in the Go type that is encoded as JSON.
func (d datum) jsonValue() any {
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

// Log returns the status and the positions of all log records.
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
