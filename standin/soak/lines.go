package soak

import (
	"context"
	"fmt"
	"math/rand"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/papayacove/papayacove/internal/clock"
	"github.com/papayacove/papayacove/standin/lines"
	"github.com/papayacove/papayacove/standin/workload"
)

const (
	// linesCallers is the number of concurrent callers.
	linesCallers = 8
	// maxSessionSteps is the largest number of steps of one session. A step is a write, a read of the own item and a
	// read of any item.
	maxSessionSteps = 30
	// settleTimeout is the time in which each daemon must serve a write before the run, and again after all faults have
	// ended.
	settleTimeout = 60 * time.Second
)

// failedWrite is a write that was not acknowledged. code is the error code of a write that must not have taken effect;
// it is empty for a write with an unknown outcome.
type failedWrite struct{ item, value, code string }

// ledger records the results that the callers got.
type ledger struct {
	history *workload.History
	mu      sync.Mutex
	// acked holds the acknowledged numbers of each item, with the times of their acknowledgement.
	acked map[string][]ackedWrite
	// notRun holds the writes that must not have taken effect.
	notRun []failedWrite
	// unknown holds the writes with an unknown outcome: they may have taken effect, or may still do so.
	unknown map[failedWrite]bool
	// lastAck is the time of the last acknowledgement of any write.
	lastAck time.Time
	// callers records the statements of the run.
	callers *lines.CallerLog
}

type ackedWrite struct {
	number int
	at     time.Time
}

// RunLines lets callers work on a fleet for a time while faults are injected as the seed draws them. It then ends all
// faults and checks the results of the callers against the log of the primary.
func RunLines(ctx context.Context, f *lines.Fleet, faults []FaultOf[*lines.Fleet], seed int64, duration time.Duration) Report {
	l := &ledger{history: workload.NewHistory(), acked: map[string][]ackedWrite{}, unknown: map[failedWrite]bool{}, callers: lines.NewCallerLog()}
	l.settle(f)
	l.lastAck = time.Now()
	working, stop := context.WithTimeout(ctx, duration)
	defer stop()
	var parts sync.WaitGroup
	windows := &faultWindows{}
	parts.Go(func() {
		injectAll(working, f, windows.record(recordDisruptions(faults)), l.history, rand.New(rand.NewSource(seed)))
	})
	for i := range linesCallers {
		parts.Go(func() { l.runCaller(working, f, i, rand.New(rand.NewSource(seed*100+int64(i)))) })
	}
	l.runDemands(working, f, seed, &parts)
	l.runSessions(working, f, f.Options.Sessions, seed, &parts)
	l.runStubborn(working, f, seed, &parts)
	parts.Wait()
	f.AwaitReleases()
	l.settle(f)
	l.checkWorkspaces(ctx, f, seed)
	report := Report{Seed: seed, History: l.history}
	l.check(f, &report)
	report.Statements = l.checkStatements(f)
	report.Served = windows.lines(f, lines.NewRecords(l.callers, &f.Operator, f.Groups...).Reads())
	return report
}

// checkStatements checks all statements of the run against the rules of statements.
func (l *ledger) checkStatements(f *lines.Fleet) *StatementBreaches {
	records := lines.NewRecords(l.callers, &f.Operator, f.Groups...)
	b := &StatementBreaches{Pinned: records.Pinned(), Route: records.Route()}
	b.Stale = records.Stale(lines.MaxStaleness)
	b.Relayed, b.Run = records.Relayed()
	work := f.Planned.Work()
	b.Unanswered, b.OtherCuts = records.Unanswered(work, f.LostBounds())
	b.EndedEarly, b.Killed = records.EndedEarly(work, f.LostBounds()), work.KilledAfterGrace()
	b.Records = append(records.All(), b.OtherCuts...)
	return b
}

// settle waits until each daemon has acknowledged a write to each group, and records a violation if one does not within
// settleTimeout. A group that nobody uses may be without a primary, with whose log the results are compared.
func (l *ledger) settle(f *lines.Fleet) {
	for _, d := range f.Daemons {
		for _, database := range f.Databases() {
			if strings.HasPrefix(database, lines.StrictDatabase) && !l.awaitWrite(f, d, database) {
				l.history.RecordViolation("%s serves no write to %s after all faults have ended", d.Name, database)
				return
			}
		}
	}
}

// awaitWrite writes to a database through a daemon until it is acknowledged, and reports whether it was within
// settleTimeout.
func (l *ledger) awaitWrite(f *lines.Fleet, d *lines.Daemon, database string) bool {
	for end := time.Now().Add(settleTimeout); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		caller, err := lines.DialWithKey(d.CallerAddress, database, currentKey(f, busyWorkspace), l.callers)
		if err != nil {
			continue
		}
		r, err := caller.Run("WRITE settled 1")
		caller.Close()
		if err == nil && r.Code == "" {
			return true
		}
	}
	return false
}

// runCaller runs sessions of one caller until ctx ends. No other caller writes its item.
func (l *ledger) runCaller(ctx context.Context, f *lines.Fleet, number int, random *rand.Rand) {
	item, next := fmt.Sprintf("item-%d", number), 1
	for ctx.Err() == nil {
		d := f.Daemons[random.Intn(len(f.Daemons))]
		caller, err := lines.DialWithKey(d.CallerAddress, lines.SessionDatabase, pickKey(f, busyWorkspace, random), l.callers)
		if err != nil {
			_ = clock.Sleep(ctx, 50*time.Millisecond)
			continue
		}
		own := 0
		for range maxSessionSteps {
			value := next
			next++
			acked, open := l.write(caller, item, value, random)
			if acked {
				own = value
			}
			if !open || !l.readOwn(f, caller, item, own) || !l.readOthers(f, random) || ctx.Err() != nil {
				break
			}
		}
		caller.Close()
	}
}

// write writes a number, in a single statement or in a transaction. It reports whether the write was acknowledged, and
// whether the session can go on.
func (l *ledger) write(caller *lines.Caller, item string, value int, random *rand.Rand) (acked, open bool) {
	text := fmt.Sprintf("WRITE %s %d", item, value)
	statements := []string{text}
	if random.Intn(3) == 0 {
		statements = []string{"BEGIN", "READ " + item, text, "COMMIT"}
	}
	var r lines.Result
	var err error
	for _, statement := range statements {
		if r, err = caller.Run(statement); err != nil || r.Code != "" {
			break
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.history.Requests++
	switch {
	case err != nil:
		l.history.Cut++
		l.unknown[failedWrite{item: item, value: strconv.Itoa(value)}] = true
		return false, false
	case r.Code == "":
		now := time.Now()
		l.acked[item] = append(l.acked[item], ackedWrite{value, now})
		l.history.Acked++
		l.history.LongestGap = max(l.history.LongestGap, now.Sub(l.lastAck))
		l.lastAck = now
		return true, true
	case lines.GuaranteesNoEffect(r.Code):
		l.history.NotRun++
		l.notRun = append(l.notRun, failedWrite{item, strconv.Itoa(value), r.Code})
	default:
		l.history.Unknown++
		l.unknown[failedWrite{item: item, value: strconv.Itoa(value)}] = true
	}
	return false, r.State == "I"
}

// readOwn reads the session's own item, which must be at least as new as the session's last acknowledged write. It
// reports whether the session can go on.
func (l *ledger) readOwn(f *lines.Fleet, caller *lines.Caller, item string, own int) bool {
	r, err := caller.Run("READ " + item)
	if err != nil {
		return false
	}
	if number, ok := parseNumber(r); ok && number < own && !l.isAppliedLate(f, item, number, own) {
		l.recordStaleRead("the session read %d of %s, older than its own write %d", number, item, own)
	}
	return r.State == "I"
}

// readOthers reads an item of any caller through any daemon, in a new session with strict reads or with a maximum age.
// It always returns true.
func (l *ledger) readOthers(f *lines.Fleet, random *rand.Rand) bool {
	item := fmt.Sprintf("item-%d", random.Intn(linesCallers))
	database, age := lines.StrictDatabase, time.Duration(0)
	if random.Intn(2) == 0 {
		database, age = lines.BoundedStalenessDatabase, lines.MaxStaleness
	}
	began := time.Now()
	want := l.ackedBefore(item, began.Add(-age))
	caller, err := lines.DialWithKey(f.Daemons[random.Intn(len(f.Daemons))].CallerAddress, database, pickKey(f, busyWorkspace, random), l.callers)
	if err != nil {
		return true
	}
	defer caller.Close()
	r, err := caller.Run("READ " + item)
	if err != nil {
		return true
	}
	if number, ok := parseNumber(r); ok && number < want && !l.isAppliedLate(f, item, number, want) {
		l.recordStaleRead("a read of %s on %s returned %d, but %d was acknowledged more than %s before", item, database, number, want, age)
	}
	return true
}

// isAppliedLate reports whether an older write took effect after a newer one. This happens to a write with an unknown
// outcome if its target was unresponsive and executed it afterwards. The log of the primary shows the order.
func (l *ledger) isAppliedLate(f *lines.Fleet, item string, older, newer int) bool {
	l.mu.Lock()
	unknown := l.unknown[failedWrite{item: item, value: strconv.Itoa(older)}]
	l.mu.Unlock()
	return unknown && f.Group.IsWrittenAfter(item, strconv.Itoa(older), strconv.Itoa(newer))
}

// parseNumber returns the number that a READ has returned, 0 for an item that was never written. It returns false for an
// error or anything else.
func parseNumber(r lines.Result) (int, bool) {
	if r.Code != "" || len(r.Rows) != 1 {
		return 0, false
	}
	if r.Rows[0] == "" {
		return 0, true
	}
	number, err := strconv.Atoi(r.Rows[0])
	return number, err == nil
}

// ackedBefore returns the newest number of an item that was acknowledged before a time.
func (l *ledger) ackedBefore(item string, at time.Time) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	newest := 0
	for _, w := range l.acked[item] {
		if w.at.Before(at) {
			newest = max(newest, w.number)
		}
	}
	return newest
}

// recordStaleRead records a violation by a read that was older than its caller may see.
func (l *ledger) recordStaleRead(format string, arguments ...any) {
	l.history.RecordViolation(format, arguments...)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.history.StaleReads++
}

// check compares the results that callers got with the log of the primary. It also checks that the fencing tokens of
// the promotion orders of each group never fall, and that no two holders used the same token in a row.
func (l *ledger) check(f *lines.Fleet, report *Report) {
	counts := f.CommitCounts()
	for item, writes := range l.acked {
		for _, w := range writes {
			switch count := counts[lines.Write{Item: item, Value: strconv.Itoa(w.number)}]; {
			case count == 0:
				report.Verdict.Lost++
				report.Verdict.Details = append(report.Verdict.Details, fmt.Sprintf("%s = %d was acknowledged and is lost", item, w.number))
			case count > 1:
				report.Verdict.Duplicated++
			}
		}
	}
	for _, failed := range l.notRun {
		if counts[lines.Write{Item: failed.item, Value: failed.value}] > 0 {
			report.Verdict.FalseNotRun++
			report.Verdict.Details = append(report.Verdict.Details, fmt.Sprintf("%s = %s got %s, which promises that it did not run, and is in the log", failed.item, failed.value, failed.code))
		}
	}
	last := map[string]lines.PromotionOrder{}
	for _, order := range f.Provider.Orders() {
		before, ok := last[order.Group]
		last[order.Group] = order
		if !ok {
			continue
		}
		if order.Token < before.Token || order.Holder != before.Holder && order.Token == before.Token {
			l.history.RecordViolation("promotion order %+v with a stale fencing token after %+v", order, before)
		}
	}
}
