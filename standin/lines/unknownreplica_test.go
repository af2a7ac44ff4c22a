package lines_test

import (
	"strings"
	"testing"
	"time"

	"github.com/papayacove/papayacove/standin/lines"
	"github.com/papayacove/papayacove/standin/netfault"
)

// startDirect starts two daemons as processes that use the targets directly, and waits until they list all of them.
func startDirect(t *testing.T) *processes {
	t.Helper()
	programs, err := binaries()
	must(t, err)
	f, err := lines.StartFleet(lines.FleetOptions{Binaries: programs, Folder: t.TempDir(), Daemons: 2})
	must(t, err)
	t.Cleanup(f.Close)
	p := &processes{Fleet: f, t: t, callers: lines.NewCallerLog()}
	p.awaitServing(f.Daemons...)
	time.Sleep(settleTime)
	return p
}

// cutFromNews cuts a daemon off from the store and the other daemons, or ends that.
func (p *processes) cutFromNews(d *lines.Daemon, cut bool) {
	d.StoreLink.SetFaults(netfault.Faults{Partitioned: cut})
	p.CutFromDaemons(d, cut)
}

// blockReplicas sets whether the first replicas are kept from receiving records.
func (p *processes) blockReplicas(blocked bool) {
	for _, id := range []string{"b", "c"} {
		p.Group.Target(id).SetReceiveBlocked(blocked)
	}
}

// joinReplica replaces b, and returns once the new replica has joined. The release goes on until AwaitReleases.
func (p *processes) joinReplica() {
	p.Release(p.Group, []string{"b"}, 0)
	for end := time.Now().Add(waitTimeout); len(p.Group.IDs()) < 4 && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
}

// readEachWay reads an item through a daemon on each type of route, in a statement of its own and in a transaction. It
// returns the codes of the refusals by database.
func (p *processes) readEachWay(d *lines.Daemon, item string) map[string][]string {
	codes := map[string][]string{}
	for _, database := range p.Databases() {
		for _, statements := range [][]string{{"READ " + item}, {"BEGIN READ", "READ " + item, "COMMIT"}} {
			caller, err := lines.DialWithKey(d.CallerAddress, database, p.key(), p.callers)
			if err != nil {
				continue
			}
			for _, text := range statements {
				r, err := caller.Run(text)
				if err != nil || r.Code != "" {
					codes[database] = append(codes[database], r.Code)
					break
				}
			}
			caller.Close()
		}
	}
	return codes
}

// staleReads counts the reads that break the rule STALE by database, and describes the first.
func (p *processes) staleReads() (counts map[string]int, first string) {
	breaches := lines.NewRecords(p.callers, &p.Operator, p.Groups...).Stale(lines.MaxStaleness).Breaches
	counts = map[string]int{}
	for i, breach := range breaches {
		if i == 0 {
			first = breach
		}
		for _, database := range p.Databases() {
			if strings.Contains(breach, "database "+database+",") {
				counts[database]++
			}
		}
	}
	return counts, first
}

// TestReadsBesideAReplicaThatTheDaemonDoesNotKnow guards against reads without a commit that a replica acknowledged
// which has joined unknown to the daemon, while the primary does not answer that daemon alone. No zone is cut.
func TestReadsBesideAReplicaThatTheDaemonDoesNotKnow(t *testing.T) {
	t.Parallel()
	p := startDirect(t)
	reader, writer := p.Daemons[0], p.Daemons[1]
	must(t, p.run(writer, p.key(), "WRITE item old"))
	p.readEachWay(reader, "item")
	p.cutFromNews(reader, true)
	p.joinReplica()
	p.blockReplicas(true)
	must(t, p.run(writer, p.key(), "WRITE item new"))
	link := p.TargetLink("a")
	link.SetPathFaults(reader.Source, netfault.PathFaults{Partitioned: true})
	link.Reset()
	refused := 0
	for end := time.Now().Add(3 * time.Second); time.Now().Before(end); {
		for _, code := range p.readEachWay(reader, "item")[lines.StrictDatabase] {
			refused++
			if !lines.GuaranteesNoEffect(code) {
				t.Errorf("read on a primary route: got code %q, want one that says that nothing ran", code)
			}
		}
	}
	if refused == 0 {
		t.Error("got no refused read on a primary route, want some while the primary does not answer")
	}
	p.blockReplicas(false)
	link.SetPathFaults(reader.Source, netfault.PathFaults{})
	p.cutFromNews(reader, false)
	p.awaitServing(p.Daemons...)
	if codes := p.readEachWay(reader, "item"); len(codes) > 0 {
		t.Errorf("reads after the cut: got codes %v, want all served", codes)
	}
	if counts, first := p.staleReads(); len(counts) > 0 {
		t.Errorf("reads without the acknowledged commit: got %v by database, want none; the first %s", counts, first)
	}
	p.AwaitReleases()
}
