package soak

import (
	"context"
	"fmt"
	"math/rand"
	"strings"
	"sync"
	"time"

	"github.com/papayacove/papayacove/internal/clock"
	"github.com/papayacove/papayacove/standin/lines"
)

const (
	// longestPace is the longest pause between two statements of a caller that makes none of its own.
	longestPace = 10 * time.Millisecond
	// longestStay is the longest pause between statements of the transactions with pauses.
	longestStay = 700 * time.Millisecond
	// longestWait is the longest time between the connection and STARTUP, or from there to the first statement, of a
	// caller that connects late.
	longestWait = 1500 * time.Millisecond
	// burst is the largest number of statements that are sent at once.
	burst = 5
	// slowBytes is the size of a value that is read slowly, in parts of slowPart bytes with a pause of slowPause before
	// each.
	slowBytes = 900_000
	slowPart  = 16 << 10
	slowPause = 10 * time.Millisecond
	// lateKind is the number of the kind that opens its sessions itself, lateCallers the number of its connections at a
	// time.
	lateKind    = 5
	lateCallers = 6
)

// stubbornCaller uses each of its connections to one daemon until it is gone.
type stubbornCaller struct {
	ledger *ledger
	fleet  *lines.Fleet
	daemon *lines.Daemon
	// kind is the number of its kind.
	kind   int
	name   string
	random *rand.Rand
	// written is the number of items written so far; each write has an item of its own.
	written int
	caller  *lines.Caller
}

// stubbornKinds are the ways in which the callers use their connections. Each returns false once the connection can't
// be used.
var stubbornKinds = []func(*stubbornCaller, context.Context) bool{
	(*stubbornCaller).writeOnce, (*stubbornCaller).writeThree, (*stubbornCaller).writeWithoutEnd,
	(*stubbornCaller).writeWithPauses, (*stubbornCaller).readLong, (*stubbornCaller).connectLate,
	(*stubbornCaller).sendBurst, (*stubbornCaller).readSlowly,
}

// runStubborn adds the callers of each daemon to parts.
func (l *ledger) runStubborn(ctx context.Context, f *lines.Fleet, seed int64, parts *sync.WaitGroup) {
	for i, d := range f.Daemons {
		for j := range f.Options.Stubborn {
			kind, callers := j%len(stubbornKinds), 1
			if kind == lateKind {
				callers = lateCallers
			}
			for k := range callers {
				s := &stubbornCaller{
					ledger: l, fleet: f, daemon: d, kind: kind, name: fmt.Sprintf("%d-%d-%d", i, j, k),
					random: rand.New(rand.NewSource(seed*1_000_000 + int64(10_000*i+100*j+k))),
				}
				parts.Go(func() { s.run(ctx) })
			}
		}
	}
}

func (s *stubbornCaller) run(ctx context.Context) {
	databases := s.fleet.Databases()
	for ctx.Err() == nil {
		database := databases[s.random.Intn(len(databases))]
		caller, err := lines.Connect(s.daemon.CallerAddress, database, currentKey(s.fleet, busyWorkspace), s.ledger.callers)
		if err == nil && s.kind != lateKind {
			err = caller.Startup()
		}
		if err != nil {
			_ = clock.Sleep(ctx, 20*time.Millisecond)
			continue
		}
		s.caller = caller
		for ctx.Err() == nil && stubbornKinds[s.kind](s, ctx) {
			_ = clock.Sleep(ctx, between(s.random, 0, longestPace))
		}
		caller.Close()
	}
}

func (s *stubbornCaller) newWrite(prefix string) (string, []failedWrite) {
	s.written++
	w := failedWrite{item: fmt.Sprintf("%sstubborn-%s-%d", prefix, s.name, s.written), value: "1"}
	return "WRITE " + w.item + " " + w.value, []failedWrite{w}
}

func (s *stubbornCaller) writeOnce(context.Context) bool {
	text, writes := s.newWrite("")
	r, err := s.caller.Run(text)
	s.ledger.recordWrites(writes, r, err)
	return err == nil
}

func (s *stubbornCaller) writeThree(ctx context.Context) bool { return s.transact(ctx, 3, longestPace) }

func (s *stubbornCaller) writeWithPauses(ctx context.Context) bool {
	return s.transact(ctx, 1+s.random.Intn(6), longestStay)
}

// transact writes in a transaction, and reports whether the connection can be used.
func (s *stubbornCaller) transact(ctx context.Context, statements int, pause time.Duration) bool {
	if r, err := s.caller.Run("BEGIN"); err != nil || r.State != "T" {
		return err == nil
	}
	writes, open, err := s.writeIn(ctx, statements, pause)
	if err != nil || !open {
		return err == nil && s.rollBack()
	}
	r, err := s.caller.Run("COMMIT")
	s.ledger.recordWrites(writes, r, err)
	return err == nil
}

// writeWithoutEnd writes in one transaction until it fails, and never commits.
func (s *stubbornCaller) writeWithoutEnd(ctx context.Context) bool {
	if r, err := s.caller.Run("BEGIN"); err != nil || r.State != "T" {
		return err == nil
	}
	for ctx.Err() == nil {
		writes, open, err := s.writeIn(ctx, 1, longestPace)
		if err != nil || !open {
			return err == nil && s.rollBack()
		}
		s.ledger.recordWrites(writes, unasked, nil)
	}
	return false
}

// unasked is the result of a write whose COMMIT was not sent: it may not remain.
var unasked = lines.Result{Code: "ABORTED"}

// writeIn writes in a transaction with pauses, and reports whether the transaction is still open. Otherwise no write
// may remain.
func (s *stubbornCaller) writeIn(ctx context.Context, statements int, pause time.Duration) ([]failedWrite, bool, error) {
	var writes []failedWrite
	for range statements {
		text, one := s.newWrite("")
		writes = append(writes, one...)
		r, err := s.caller.Run(text)
		if err != nil || r.Code != "" {
			s.ledger.recordWrites(writes, unasked, nil)
			return nil, false, err
		}
		_ = clock.Sleep(ctx, between(s.random, 0, pause))
	}
	return writes, true, nil
}

// rollBack ends a failed transaction, and reports whether the connection can be used.
func (s *stubbornCaller) rollBack() bool {
	_, err := s.caller.Run("ROLLBACK")
	return err == nil
}

// readLong reads or writes an item for which targets take long.
func (s *stubbornCaller) readLong(context.Context) bool {
	if s.random.Intn(3) > 0 {
		_, err := s.caller.Run("READ " + lines.SlowItem + "stubborn")
		return err == nil
	}
	text, writes := s.newWrite(lines.SlowItem)
	r, err := s.caller.Run(text)
	s.ledger.recordWrites(writes, r, err)
	return err == nil
}

// connectLate waits before STARTUP or before the first statement, sends a few statements and connects anew. At a daemon
// that is being stopped, it waits up to the end of the grace period. A third of the connections read slowly instead.
func (s *stubbornCaller) connectLate(ctx context.Context) bool {
	wait := between(s.random, 0, longestWait)
	if left := s.daemon.GraceLeft(); left > 0 {
		wait = between(s.random, 0, left)
	}
	early := s.random.Intn(2) == 0
	if !early {
		_ = clock.Sleep(ctx, wait)
	}
	if s.caller.Startup() != nil {
		return false
	}
	if early {
		_ = clock.Sleep(ctx, wait)
	}
	if s.random.Intn(3) == 0 {
		s.readSlowly(ctx)
		return false
	}
	for range 3 {
		if !s.writeOnce(ctx) {
			break
		}
	}
	return false
}

// sendBurst sends several writes at once after a rest in which the session may be closed.
func (s *stubbornCaller) sendBurst(ctx context.Context) bool {
	_ = clock.Sleep(ctx, between(s.random, 0, longestStay))
	var texts []string
	var writes [][]failedWrite
	for range 1 + s.random.Intn(burst) {
		text, one := s.newWrite("")
		texts, writes = append(texts, text), append(writes, one)
	}
	results, err := s.caller.RunAll(texts)
	for i, r := range results {
		s.ledger.recordWrites(writes[i], r, nil)
	}
	for _, unanswered := range writes[len(results):] {
		s.ledger.recordWrites(unanswered, lines.Result{}, err)
	}
	return err == nil
}

// readSlowly reads a large value in small parts.
func (s *stubbornCaller) readSlowly(context.Context) bool {
	item := "large-" + s.name
	s.caller.ReadSlowly(slowPart, slowPause)
	if r, err := s.caller.Run("READ " + item); err != nil || r.Code != "" || len(r.Rows) == 1 && r.Rows[0] != "" {
		return err == nil
	}
	_, err := s.caller.Run("WRITE " + item + " " + strings.Repeat("x", slowBytes))
	return err == nil
}
