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

// preparedLimit is the number of prepared statements that are kept on one connection.
const preparedLimit = 256

// slot is one connection to a target with the state that the target keeps for it.
type slot struct {
	connection *target.Slot
	address    string
	// workspace is that of the last batch; empty before the first.
	workspace string
	lastUsed  time.Time
	broken    bool
	// cancelled is true once a cancel request was sent; it is guarded by the gate.
	cancelled bool
	prepared  map[string]struct{}
	applied   map[string]string
}

func newSlot(connection *target.Slot, address string) *slot {
	return &slot{
		connection: connection,
		address:    address,
		lastUsed:   time.Now(),
		prepared:   make(map[string]struct{}),
		applied:    make(map[string]string),
	}
}

// isFresh reports whether the connection was used so lately that it needs no check.
func (s *slot) isFresh() bool {
	return time.Since(s.lastUsed) < checkAfter
}

// enter prepares the connection for a batch of a workspace, and reports whether what another
// workspace left behind must be discarded first.
func (s *slot) enter(workspace string) bool {
	previous := s.workspace
	s.workspace = workspace
	if previous == "" || previous == workspace {
		return false
	}
	clear(s.prepared)
	s.applied = make(map[string]string)
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

// endInterrupt ends the deadline of an interrupted batch. The cancel request may still be on its
// way, so that the connection serves no other session.
func (s *slot) endInterrupt() {
	_ = s.connection.Conn.SetReadDeadline(time.Time{})
	s.broken = true
}

func (s *slot) close() {
	_ = s.connection.Close()
}

// settingsQuery is the SQL that replaces all settings by the wanted ones.
func settingsQuery(wanted map[string]string) string {
	var b strings.Builder
	b.WriteString("RESET ALL")
	names := slices.Sorted(maps.Keys(wanted))
	for _, name := range names {
		// set_config takes a list, such as that of search_path, as SHOW prints it.
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

// quoteText quotes a literal; a backslash stands for itself by conformingStrings.
func quoteText(text string) string {
	return "'" + strings.ReplaceAll(text, "'", "''") + "'"
}
