package database

import (
	"flag"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"pgregory.net/rapid"

	"github.com/papayacove/papayacove/api"
	"github.com/papayacove/papayacove/internal/target"
)

// groupScenarios is the number of random scenarios that are run.
const groupScenarios = 20

// confirmationTimeout bounds the wait of a write for a replica.
const confirmationTimeout = 30 * time.Millisecond

// groupScenario drives a group through writes, partitions and failovers, as gates and controllers do.
type groupScenario struct {
	t       *testing.T
	targets []*Target
	primary int
	term    uint64
	nextID  int64
	// confirmed holds the IDs of the writes that a majority of the targets has received.
	confirmed []int64
}

func newGroupScenario(t *testing.T) *groupScenario {
	first, second, third := startGroup(t)
	g := &groupScenario{t: t, targets: []*Target{first, second, third}, term: 1}
	g.exec("CREATE TABLE t (id bigint PRIMARY KEY, r double precision)")
	for _, s := range g.targets {
		awaitApplied(t, s, first)
	}
	return g
}

// exec runs a statement on the primary.
func (g *groupScenario) exec(sql string, args ...any) error {
	ctx := testContext(g.t)
	conn, err := pgx.Connect(ctx, "postgres://tester@"+g.targets[g.primary].Address()+"/rounds?sslmode=disable")
	if err != nil {
		return err
	}
	defer conn.Close(ctx)
	_, err = conn.Exec(ctx, sql, args...)
	return err
}

// write inserts a row and, like a gate, waits until one replica has received it. It waits for each
// replica up to confirmationTimeout; a write that neither has received by then is not confirmed.
func (g *groupScenario) write() {
	g.nextID++
	if err := g.exec("INSERT INTO t (id, r) VALUES ($1, random())", g.nextID); err != nil {
		g.t.Fatalf("write on the primary: %v", err)
	}
	position := g.targets[g.primary].Status().LogPosition()
	for i, s := range g.targets {
		if i == g.primary {
			continue
		}
		s.waitUntil(confirmationTimeout, func() bool { return hasRecord(s.Status(), position) })
		if hasRecord(s.Status(), position) {
			g.confirmed = append(g.confirmed, g.nextID)
			return
		}
	}
}

// hasRecord reports whether status is that of a target that has received the record at position and is
// still at the term of that record.
func hasRecord(status target.Status, position api.Position) bool {
	return status.Term == position.Term && status.LogTerm == position.Term && status.Received >= position.Offset
}

// partition blocks the streams between target i and the others.
func (g *groupScenario) partition(i int) {
	g.targets[i].SetFaults(Faults{PartitionedFrom: []string{"a", "b", "c"}})
}

// heal clears all faults of target i.
func (g *groupScenario) heal(i int) {
	g.targets[i].SetFaults(Faults{})
}

// failOver fences all targets but leftOut, promotes the one with the highest log position and makes the
// other one follow it.
func (g *groupScenario) failOver(leftOut int) {
	g.term++
	best, follower := -1, -1
	for i, s := range g.targets {
		if i == leftOut {
			continue
		}
		if _, err := s.Fence(g.term); err != nil {
			g.t.Fatalf("fence: %v", err)
		}
		follower = i
		if best < 0 || s.Status().LogPosition().Compare(g.targets[best].Status().LogPosition()) > 0 {
			best = i
		}
	}
	if follower == best {
		follower = 3 - best - leftOut
	}
	if _, err := g.targets[best].Promote(g.term); err != nil {
		g.t.Fatalf("promote: %v", err)
	}
	g.primary = best
	g.follow(follower)
}

// follow makes target i stream from the primary, unless it is the primary.
func (g *groupScenario) follow(i int) {
	if i == g.primary {
		return
	}
	if _, err := g.targets[i].Follow(g.term, g.targets[g.primary].Address()); err != nil {
		g.t.Fatalf("follow: %v", err)
	}
}

// finish heals the group and checks that all targets end up with the same rows, among them all confirmed writes.
func (g *groupScenario) finish() {
	for i := range g.targets {
		g.heal(i)
		g.follow(i)
	}
	primary := g.targets[g.primary]
	want, err := primary.Dump("t")
	if err != nil {
		g.t.Fatal(err)
	}
	var ids []int64
	for _, row := range want.Rows {
		ids = append(ids, row[0].(int64))
	}
	for _, id := range g.confirmed {
		if !slices.Contains(ids, id) {
			g.t.Fatalf("confirmed write %d is lost: got rows %v", id, ids)
		}
	}
	for _, s := range g.targets {
		awaitApplied(g.t, s, primary)
		got, err := s.Dump("t")
		if err != nil || !equalJSON(g.t, got, want) {
			g.t.Fatalf("rows of target %s: got %v, %v, want %v", s.options.Name, got, err, want)
		}
	}
}

// setRapidFlag sets a flag of the package rapid until the test ends.
func setRapidFlag(t *testing.T, name, value string) {
	t.Helper()
	old := flag.Lookup(name).Value.String()
	if err := flag.Set(name, value); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { flag.Set(name, old) })
}

// Writes that one replica has received survive every failover that fences a majority, and after
// healing all targets have the same rows.
func TestConfirmedWritesSurviveFailovers(t *testing.T) {
	setRapidFlag(t, "rapid.checks", strconv.Itoa(groupScenarios))
	rapid.Check(t, func(r *rapid.T) {
		g := newGroupScenario(t)
		for range rapid.IntRange(5, 25).Draw(r, "steps") {
			i := rapid.IntRange(0, len(g.targets)-1).Draw(r, "target")
			switch rapid.SampledFrom([]string{"write", "write", "write", "cut", "heal", "follow", "fail over", "lose primary"}).Draw(r, "step") {
			case "write":
				g.write()
			case "cut":
				g.partition(i)
			case "heal":
				g.heal(i)
			case "follow":
				g.follow(i)
			case "fail over":
				g.failOver(i)
			case "lose primary":
				g.failOver(g.primary)
			}
		}
		g.finish()
		for _, s := range g.targets {
			s.Close()
		}
	})
}
