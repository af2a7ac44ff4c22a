package gate

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/papayacove/papayacove/api"
	"github.com/papayacove/papayacove/internal/target"
)

// preparedLimit is the largest number of prepared statements that are kept on one connection.
const preparedLimit = 256

// slot is one connection to a target with the session state that the target keeps for it.
type slot struct {
	connection *target.Slot
	address    string
	// workspace is the workspace of the last batch; empty before the first batch.
	workspace string
	lastUsed  time.Time
	// broken is true when the connection must be closed instead of being used again.
	broken bool
	// cancelled is true once a cancel request was sent; it is guarded by the gate.
	cancelled bool
	// prepared holds the names of the prepared statements, appliedSettings the settings of the session.
	prepared        map[string]struct{}
	appliedSettings map[string]string
}

func newSlot(connection *target.Slot, address string) *slot {
	return &slot{
		connection:      connection,
		address:         address,
		lastUsed:        time.Now(),
		prepared:        make(map[string]struct{}),
		appliedSettings: make(map[string]string),
	}
}

// isFresh reports whether the connection was used within checkAfter, so that it needs no check.
func (s *slot) isFresh() bool {
	return time.Since(s.lastUsed) < checkAfter
}

// switchWorkspace assigns the connection to a workspace, and reports whether the session state of another workspace
// must be discarded at the target first.
func (s *slot) switchWorkspace(workspace string) bool {
	previous := s.workspace
	s.workspace = workspace
	if previous == "" || previous == workspace {
		return false
	}
	clear(s.prepared)
	s.appliedSettings = make(map[string]string)
	return true
}

// check sends a Sync and reports whether the target answered in time.
func (s *slot) check(timeout time.Duration) bool {
	_ = s.connection.Conn.SetDeadline(time.Now().Add(timeout))
	defer func() { _ = s.connection.Conn.SetDeadline(time.Time{}) }()
	sync, _ := (&pgproto3.Sync{}).Encode(nil)
	if s.connection.WriteRaw(sync) != nil || s.connection.Flush() != nil {
		return false
	}
	for {
		kind, _, err := s.connection.ReadRaw()
		if err != nil {
			return false
		}
		if kind == messageReadyForQuery {
			s.lastUsed = time.Now()
			return true
		}
	}
}

// clearInterrupt removes the read deadline of an interrupted batch and marks the connection as broken: the cancel
// request may arrive late, and must not cancel a batch of another session.
func (s *slot) clearInterrupt() {
	_ = s.connection.Conn.SetReadDeadline(time.Time{})
	s.broken = true
}

func (s *slot) close() {
	_ = s.connection.Close()
}

// settingsQuery returns the SQL that replaces all settings by the wanted ones.
func settingsQuery(wanted map[string]string) string {
	var b strings.Builder
	b.WriteString("RESET ALL")
	names := slices.Sorted(maps.Keys(wanted))
	for _, name := range names {
		// set_config accepts a list, such as the value of search_path, in the form that SHOW prints.
		b.WriteString("; SELECT set_config(")
		b.WriteString(quoteText(name))
		b.WriteString(", ")
		b.WriteString(quoteText(wanted[name]))
		b.WriteString(", false)")
	}
	return b.String()
}

func settingsMap(settings []api.SessionSetting) map[string]string {
	wanted := make(map[string]string, len(settings))
	for _, setting := range settings {
		wanted[setting.Name] = setting.Value
	}
	return wanted
}

// quoteText quotes a literal. It leaves a backslash as it is, which conformingStrings makes an ordinary character.
func quoteText(text string) string {
	return "'" + strings.ReplaceAll(text, "'", "''") + "'"
}
