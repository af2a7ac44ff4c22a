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
	// readLag is the time by which replicas apply late.
	readLag = 50 * time.Millisecond
	// behindLag is the lag of a replica that is minutes behind.
	behindLag = 3 * time.Minute
	// readTime is the time in which one mix of reads is measured.
	readTime = 3 * time.Second
	// mixPause is the time between two mixes.
	mixPause = 300 * time.Millisecond
	// readersPerDaemon is the number of callers at each daemon.
	readersPerDaemon = 2
	// readerThinkTime is the longest pause between two requests of a caller.
	readerThinkTime = 20 * time.Millisecond
	// Bounds of the shares of reads that replicas serve, in percent.
	strictSharePercent = 95
	agedSharePercent   = 100

	ownWrite = "INSERT INTO clock (name, value) VALUES ($1, $2) ON CONFLICT (name) DO UPDATE SET value = excluded.value"
	ownRead  = "SELECT value FROM clock WHERE name = $1"
)

// readsPerWrite is the mix of a deployment.
var readsPerWrite = map[string]int{"kelani": 10, "lichtbild": 30}

// measureReads measures the share of reads that replicas serve while callers write too.
func measureReads(ctx context.Context, e *environment) error {
	for _, at := range allSites {
		r, err := e.start(ctx, at, func(o *fleet.Options) { o.Lag = readLag })
		if err != nil {
			return err
		}
		err = e.measureSiteReads(ctx, r)
		r.Close()
		if err != nil {
			return fmt.Errorf("%s: %w", at.name, err)
		}
	}
	return nil
}

func (e *environment) measureSiteReads(ctx context.Context, r *running) error {
	strict, err := e.measureMix(ctx, r, "strict", r.strict, AtLeast(strictSharePercent))
	if err != nil {
		return err
	}
	simulate(e, r, "lag_50ms", strict.trace, readLag)
	if _, err := e.measureMix(ctx, r, "aged", r.aged, AtLeast(agedSharePercent)); err != nil {
		return err
	}
	if err := r.leaveBehind(); err != nil {
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

// leaveBehind makes one replica of the group that is read apply minutes late.
func (r *running) leaveBehind() error {
	group := r.Deployment.Groups[0]
	primary := soak.PrimaryOf(r.Fleet, group)
	for _, spec := range group.Targets {
		if spec.Name != primary {
			return r.Post(r.TargetAdmin(spec.Name), "/knobs", map[string]int64{"lag_ms": behindLag.Milliseconds()})
		}
	}
	return nil
}

// mix is what a mix of reads and writes showed.
type mix struct {
	mu     sync.Mutex
	took   *latencies
	stale  int
	failed int
	trace  []tracedRead
}

// tracedRead is the time of a read since the last write of its session.
type tracedRead struct {
	sinceWrite time.Duration
}

// measureMix lets callers of an account read. Strict callers write in between and check that they
// read what they wrote; the writes of the others come from a strict caller beside them.
func (e *environment) measureMix(ctx context.Context, r *running, name string, account workload.Account, bound Bound) (*mix, error) {
	group := r.Deployment.Groups[0].Name
	beside := r.startWriters(ctx, group, r.daemonNames()[:1])
	defer beside.stop()
	if _, err := beside.awaitAll(ctx, time.Now(), gapLimit); err != nil {
		return nil, err
	}
	// Reads of the mix before, whose callers have gone, may still wait for a replica.
	_ = clock.Sleep(ctx, mixPause)
	before := r.readCounts()
	m := &mix{took: newLatencies()}
	working, stop := context.WithTimeout(ctx, readTime)
	defer stop()
	var callers sync.WaitGroup
	for i, daemon := range r.daemonNames() {
		for j := range readersPerDaemon {
			one := &reader{
				mix: m, url: r.url(daemon, group, account), key: fmt.Sprintf("%s-%d-%d", name, i, j),
				random: rand.New(rand.NewSource(int64(i*readersPerDaemon + j))),
			}
			if account == r.strict {
				one.readsPerWrite = readsPerWrite[r.site.deployment]
			}
			callers.Go(func() { one.run(working) })
		}
	}
	callers.Wait()
	after := r.readCounts()
	replica, primary := after.replica-before.replica, after.primary-before.primary
	e.Add(r.figure(e.part, name, "replica_share"), 100*float64(replica)/float64(max(replica+primary, 1)), "%", bound)
	e.Add(r.figure(e.part, name, "reads"), float64(m.took.count()), "1", Unbounded)
	e.Add(r.figure(e.part, name, "stale_reads"), float64(m.stale), "1", AtMost(0))
	e.Add(r.figure(e.part, name, "failed_reads"), float64(m.failed), "1", AtMost(0))
	e.AddDuration(r.figure(e.part, name, "read_p50"), m.took.at(50), Unbounded)
	e.AddDuration(r.figure(e.part, name, "read_p99"), m.took.at(99), Unbounded)
	return m, nil
}

// readCounts are the reads that the daemons routed to replicas and to primaries.
type readCounts struct {
	replica int64
	primary int64
}

func (r *running) readCounts() readCounts {
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

// reader is one caller of a mix.
type reader struct {
	mix           *mix
	url           string
	key           string
	random        *rand.Rand
	readsPerWrite int

	written int64
	wroteAt time.Time
}

func (o *reader) run(ctx context.Context) {
	connection, err := connect(ctx, o.url)
	if err != nil {
		o.mix.fail()
		return
	}
	defer closeConnection(connection)
	for ctx.Err() == nil {
		if o.readsPerWrite > 0 && (o.written == 0 || o.random.Intn(o.readsPerWrite) == 0) {
			o.write(ctx, connection)
		} else {
			o.read(ctx, connection)
		}
		_ = clock.Sleep(ctx, time.Duration(o.random.Int63n(int64(readerThinkTime))))
	}
}

func (o *reader) write(ctx context.Context, connection *pgx.Conn) {
	if _, err := connection.Exec(ctx, ownWrite, o.key, o.written+1); err == nil {
		o.written++
		o.wroteAt = time.Now()
	}
}

func (o *reader) read(ctx context.Context, connection *pgx.Conn) {
	key := o.key
	if o.readsPerWrite == 0 {
		key = "clock"
	}
	began := time.Now()
	var value int64
	err := connection.QueryRow(ctx, ownRead, key).Scan(&value)
	switch {
	case ctx.Err() != nil:
	case err != nil && o.written == 0 && o.readsPerWrite > 0:
	case err != nil:
		o.mix.fail()
	default:
		o.mix.note(time.Since(began), began.Sub(o.wroteAt), value < o.written)
	}
}

func (m *mix) fail() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.failed++
}

func (m *mix) note(took, sinceWrite time.Duration, isStale bool) {
	m.took.record(took)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.trace = append(m.trace, tracedRead{sinceWrite: sinceWrite})
	if isStale {
		m.stale++
	}
}
