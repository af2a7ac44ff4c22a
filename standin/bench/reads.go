package bench

import (
	"context"
	"fmt"
	"math/rand"
	"sync"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/papayacove/papayacove/internal/clock"
	"github.com/papayacove/papayacove/standin/fleet"
	"github.com/papayacove/papayacove/standin/soak"
	"github.com/papayacove/papayacove/standin/workload"
)

const (
	// readLag is the delay between a commit and its application on a replica in this part.
	readLag = 50 * time.Millisecond
	// behindLag is the delay of the one replica that is made to lag by minutes.
	behindLag = 3 * time.Minute
	// mixDuration is how long one mix of reads and writes is measured.
	mixDuration = 3 * time.Second
	// mixPause is the pause before the counters are read at the start of a mix.
	mixPause = 300 * time.Millisecond
	// readersPerDaemon is the number of callers of each daemon.
	readersPerDaemon = 2
	// readerThinkTime is the longest pause between two requests of a caller.
	readerThinkTime = 20 * time.Millisecond
	// strictSharePercent and agedSharePercent are the least percentages of the reads of an account that replicas serve.
	strictSharePercent = 95
	agedSharePercent   = 100

	// ownWriteStatement and ownReadStatement write and read the row that only one session writes.
	ownWriteStatement = "INSERT INTO clock (name, value) VALUES ($1, $2) ON CONFLICT (name) DO UPDATE SET value = excluded.value"
	ownReadStatement  = "SELECT value FROM clock WHERE name = $1"
)

// readsPerWrite is the average number of requests of a strict caller in which one is a write, by deployment.
var readsPerWrite = map[string]int{"kelani": 10, "lichtbild": 30}

// measureReads measures the share of reads that replicas serve while there are writes too, first with all replicas
// at readLag and then with one replica at behindLag.
func measureReads(ctx context.Context, e *environment) error {
	for _, s := range allSites {
		r, err := e.start(ctx, s, func(o *fleet.Options) { o.Lag = readLag })
		if err != nil {
			return err
		}
		err = e.measureSiteReads(ctx, r)
		r.Close()
		if err != nil {
			return fmt.Errorf("%s: %w", s.name, err)
		}
	}
	return nil
}

func (e *environment) measureSiteReads(ctx context.Context, r *runningFleet) error {
	strict, err := e.measureMix(ctx, r, "strict", r.strict, AtLeast(strictSharePercent))
	if err != nil {
		return err
	}
	simulate(e, r, "lag_50ms", strict.trace, readLag)
	if _, err := e.measureMix(ctx, r, "aged", r.aged, AtLeast(agedSharePercent)); err != nil {
		return err
	}
	if err := r.delayOneReplica(); err != nil {
		return err
	}
	behind, err := e.measureMix(ctx, r, "strict_one_behind", r.strict, Unbounded)
	if err != nil {
		return err
	}
	simulate(e, r, "one_behind", behind.trace, behindLag)
	_, err = e.measureMix(ctx, r, "aged_one_behind", r.aged, AtLeast(agedSharePercent))
	return err
}

// delayOneReplica makes one replica of the measured group apply the log with a delay of behindLag.
func (r *runningFleet) delayOneReplica() error {
	group := r.Deployment.Groups[0]
	primary := soak.PrimaryOf(r.Fleet, group)
	for _, spec := range group.Targets {
		if spec.Name != primary {
			return r.Post(r.TargetAdmin(spec.Name), "/knobs", map[string]int64{"lag_ms": behindLag.Milliseconds()})
		}
	}
	return nil
}

// mix has the results of a mix of reads and writes. stale counts the reads that did not see the last write of their
// session.
type mix struct {
	mu        sync.Mutex
	latencies *latencies
	stale     int
	failed    int
	trace     []tracedRead
}

// tracedRead is a read as the simulated policies need it: with the time since the last write of its session.
type tracedRead struct {
	sinceWrite time.Duration
}

// measureMix lets callers of an account read for mixDuration. Strict callers also write, each its own row, and check
// that they read what they wrote. Aged callers only read; a strict writer in the background writes the row that they
// read.
func (e *environment) measureMix(ctx context.Context, r *runningFleet, name string, account workload.Account, bound Bound) (*mix, error) {
	group := r.Deployment.Groups[0].Name
	background := r.startWriters(ctx, group, r.daemonNames()[:1])
	defer background.stop()
	if _, err := background.awaitAll(ctx, time.Now(), gapTimeout); err != nil {
		return nil, err
	}
	// Reads of the previous mix may still wait for a replica after their callers have closed their connections, and
	// would be counted in this mix.
	_ = clock.Sleep(ctx, mixPause)
	before := r.readCounts()
	m := &mix{latencies: newLatencies()}
	working, stop := context.WithTimeout(ctx, mixDuration)
	defer stop()
	var callers sync.WaitGroup
	for i, daemon := range r.daemonNames() {
		for j := range readersPerDaemon {
			caller := &reader{
				mix: m, url: r.url(daemon, group, account), key: fmt.Sprintf("%s-%d-%d", name, i, j),
				random: rand.New(rand.NewSource(int64(i*readersPerDaemon + j))),
			}
			if account == r.strict {
				caller.readsPerWrite = readsPerWrite[r.site.deployment]
			}
			callers.Go(func() { caller.run(working) })
		}
	}
	callers.Wait()
	after := r.readCounts()
	replica, primary := after.replica-before.replica, after.primary-before.primary
	e.Add(r.figure(e.part, name, "replica_share"), 100*float64(replica)/float64(max(replica+primary, 1)), "%", bound)
	e.Add(r.figure(e.part, name, "reads"), float64(m.latencies.count()), "1", Unbounded)
	e.Add(r.figure(e.part, name, "stale_reads"), float64(m.stale), "1", AtMost(0))
	e.Add(r.figure(e.part, name, "failed_reads"), float64(m.failed), "1", AtMost(0))
	e.AddDuration(r.figure(e.part, name, "read_p50"), m.latencies.percentile(50), Unbounded)
	e.AddDuration(r.figure(e.part, name, "read_p99"), m.latencies.percentile(99), Unbounded)
	return m, nil
}

// readCounts has the numbers of reads that the daemons have routed to replicas and to primaries.
type readCounts struct {
	replica int64
	primary int64
}

// readCounts returns the sums over all daemons. Daemons that do not answer are left out.
func (r *runningFleet) readCounts() readCounts {
	var counts readCounts
	for _, daemon := range r.daemonNames() {
		status, err := r.Status(daemon)
		if err != nil {
			continue
		}
		for _, counter := range status.Counters {
			switch counter.Name {
			case "router.reads_replica":
				counts.replica += counter.Value
			case "router.reads_primary":
				counts.primary += counter.Value
			}
		}
	}
	return counts
}

// reader is one caller of a mix. If readsPerWrite is not 0, it also writes, about once in that many requests.
type reader struct {
	mix           *mix
	url           string
	key           string
	random        *rand.Rand
	readsPerWrite int

	// written is the last value that was written to the row of the session; 0 before the first write.
	written int64
	wroteAt time.Time
}

// run reads and writes over one connection until ctx ends.
func (r *reader) run(ctx context.Context) {
	connection, err := connect(ctx, r.url)
	if err != nil {
		r.mix.recordFailure()
		return
	}
	defer closeConnection(connection)
	for ctx.Err() == nil {
		if r.readsPerWrite > 0 && (r.written == 0 || r.random.Intn(r.readsPerWrite) == 0) {
			r.write(ctx, connection)
		} else {
			r.read(ctx, connection)
		}
		_ = clock.Sleep(ctx, time.Duration(r.random.Int63n(int64(readerThinkTime))))
	}
}

func (r *reader) write(ctx context.Context, connection *pgx.Conn) {
	if _, err := connection.Exec(ctx, ownWriteStatement, r.key, r.written+1); err == nil {
		r.written++
		r.wroteAt = time.Now()
	}
}

func (r *reader) read(ctx context.Context, connection *pgx.Conn) {
	key := r.key
	if r.readsPerWrite == 0 {
		key = "clock"
	}
	began := time.Now()
	var value int64
	err := connection.QueryRow(ctx, ownReadStatement, key).Scan(&value)
	switch {
	case ctx.Err() != nil:
	case err != nil && r.written == 0 && r.readsPerWrite > 0:
	case err != nil:
		r.mix.recordFailure()
	default:
		r.mix.record(time.Since(began), began.Sub(r.wroteAt), value < r.written)
	}
}

func (m *mix) recordFailure() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.failed++
}

func (m *mix) record(took, sinceWrite time.Duration, isStale bool) {
	m.latencies.record(took)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.trace = append(m.trace, tracedRead{sinceWrite: sinceWrite})
	if isStale {
		m.stale++
	}
}
