package security

import (
	"testing"

	"github.com/jackc/pgx/v5"
)

// BenchmarkWorkspaceSwitch compares writes of one workspace with alternating writes of two workspaces,
// for which a target connection has to switch between the workspaces.
func BenchmarkWorkspaceSwitch(b *testing.B) {
	sessions := []*pgx.Conn{connect(b, daemonName(0), "kelani"), connect(b, daemonName(0), "north")}
	mustExec(b, sessions[0], "CREATE TABLE IF NOT EXISTS switched (id int PRIMARY KEY)")
	mustExec(b, sessions[0], "INSERT INTO switched VALUES (1) ON CONFLICT DO NOTHING")
	for name, count := range map[string]int{"one": 1, "two": 2} {
		b.Run(name, func(b *testing.B) {
			for i := range b.N {
				mustExec(b, sessions[i%count], "UPDATE switched SET id = 1 WHERE id = $1", 1)
			}
		})
	}
}
