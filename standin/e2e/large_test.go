package e2e

import (
	"bufio"
	"context"
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/jackc/pgx/v5"
)

const (
	kibibyte = 1 << 10
	mebibyte = 1 << 20
	// largeRow is the size of a row in bytes and largeRows the number of rows; the result has 200 MB.
	largeRow  = 10_000
	largeRows = 20_000
	// growthLimit is the number of bytes by which the resident memory of a daemon may grow for one large result.
	growthLimit = 32 * mebibyte
)

// memoryFigure returns a figure of /proc/PID/status of a daemon in bytes.
func memoryFigure(t *testing.T, daemon, figure string) int {
	t.Helper()
	file, err := os.Open(fmt.Sprintf("/proc/%d/status", shared.Daemons[daemon].PID()))
	if err != nil {
		t.Fatal(err)
	}
	defer file.Close()
	for lines := bufio.NewScanner(file); lines.Scan(); {
		if rest, ok := strings.CutPrefix(lines.Text(), figure+":"); ok {
			var size int
			if _, err := fmt.Sscanf(rest, "%d kB", &size); err != nil {
				t.Fatal(err)
			}
			return size * kibibyte
		}
	}
	t.Fatalf("found no %s in the process status of %s", figure, daemon)
	return 0
}

// resetPeak resets the peak of a daemon's resident memory to its current size.
func resetPeak(t *testing.T, daemon string) {
	t.Helper()
	path := fmt.Sprintf("/proc/%d/clear_refs", shared.Daemons[daemon].PID())
	if err := os.WriteFile(path, []byte("5"), 0); err != nil {
		t.Fatal(err)
	}
}

// TestLargeResultsUseBoundedMemory reads 200 MB from the primary through a daemon in the primary's availability zone
// (entry-1) and one in another zone (entry-2), and checks how much the resident memory of each daemon grows.
func TestLargeResultsUseBoundedMemory(t *testing.T) {
	table := createTable(t, "large", "body text")
	mustExec(t, connect(t, daemonNames()[0], group), "INSERT INTO "+table+" VALUES ('"+strings.Repeat("x", largeRow)+"')")
	for _, reader := range daemonNames()[:2] {
		t.Run(reader, func(t *testing.T) {
			conn := connect(t, reader, group)
			before := make(map[string]int)
			for _, daemon := range daemonNames() {
				resetPeak(t, daemon)
				before[daemon] = memoryFigure(t, daemon, "VmRSS")
			}
			if bytes := readLarge(t, conn, table); bytes != largeRow*largeRows {
				t.Fatalf("got %d bytes, want the size of all rows", bytes)
			}
			for _, daemon := range daemonNames() {
				growth := memoryFigure(t, daemon, "VmHWM") - before[daemon]
				t.Logf("through %s: %s grew by %.1f MB from %.1f MB", reader, daemon, float64(growth)/mebibyte, float64(before[daemon])/mebibyte)
				if growth > growthLimit {
					t.Errorf("%s grew by %d bytes, want at most the growth limit", daemon, growth)
				}
			}
		})
	}
}

// readLarge reads the large result in a transaction on the primary and returns its size.
func readLarge(t *testing.T, conn *pgx.Conn, table string) int {
	t.Helper()
	ctx := context.Background()
	tx, err := conn.Begin(ctx)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = tx.Rollback(ctx) }()
	rows, err := tx.Query(ctx, fmt.Sprintf("SELECT body FROM %s, generate_series(1, %d)", table, largeRows))
	if err != nil {
		t.Fatal(err)
	}
	defer rows.Close()
	total := 0
	for rows.Next() {
		total += len(rows.RawValues()[0])
	}
	if err := rows.Err(); err != nil {
		t.Fatal(err)
	}
	return total
}
