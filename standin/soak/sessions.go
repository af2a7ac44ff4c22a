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
	// maxStatements is the largest number of statements in a transaction.
	maxStatements = 12
	// longestThought is the longest pause between two statements of a transaction, below the limit of idle ones.
	longestThought = 2600 * time.Millisecond
	// longestRest is the longest pause between two operations of a session.
	longestRest = time.Second
	// briefOneIn sets how many sessions serve a single operation.
	briefOneIn = 10
	// leaveOneIn, rollbackOneIn and readOneIn set how many transactions end without COMMIT or ROLLBACK, roll back, and only read.
	leaveOneIn    = 25
	rollbackOneIn = 8
	readOneIn     = 3
)

// sessionCaller opens sessions one after the other, most of them until the daemon ends them.
type sessionCaller struct {
	ledger *ledger
	fleet  *lines.Fleet
	number int
	random *rand.Rand
	// written is the number of items written so far; each write has an item of its own.
	written int
	caller  *lines.Caller
	// prepared are the shapes that the current session has prepared, by name.
	prepared map[string]string
}

// runSessions adds a number of callers with long sessions to parts.
func (l *ledger) runSessions(ctx context.Context, f *lines.Fleet, number int, seed int64, parts *sync.WaitGroup) {
	for i := range number {
		s := &sessionCaller{ledger: l, fleet: f, number: i, random: rand.New(rand.NewSource(seed*10_000 + int64(i)))}
		parts.Go(func() { s.run(ctx) })
	}
}

func (s *sessionCaller) run(ctx context.Context) {
	databases := s.fleet.Databases()
	for ctx.Err() == nil {
		d, database := s.fleet.Daemons[s.random.Intn(len(s.fleet.Daemons))], databases[s.random.Intn(len(databases))]
		caller, err := lines.DialWithKey(d.CallerAddress, database, currentKey(s.fleet, busyWorkspace), s.ledger.callers)
		if err != nil {
			_ = clock.Sleep(ctx, 100*time.Millisecond)
			continue
		}
		s.caller, s.prepared = caller, map[string]string{}
		brief := s.random.Intn(briefOneIn) == 0
		for ctx.Err() == nil && s.operate(ctx) && !brief {
			_ = clock.Sleep(ctx, between(s.random, 0, longestRest))
		}
		caller.Close()
	}
}

// operate runs one operation and reports whether the session can go on.
func (s *sessionCaller) operate(ctx context.Context) bool {
	switch s.random.Intn(8) {
	case 0:
		return s.succeeds(fmt.Sprintf("SET %s %d", []string{"zone", "role"}[s.random.Intn(2)], s.random.Intn(100)))
	case 1:
		return s.prepare()
	case 2, 3:
		text, write := s.statement(false)
		r, err := s.caller.Run(text)
		s.ledger.recordWrites(write, r, err)
		return err == nil && r.State == "I"
	}
	return s.transact(ctx)
}

func (s *sessionCaller) succeeds(text string) bool {
	r, err := s.caller.Run(text)
	return err == nil && r.Code == ""
}

// prepare prepares a statement or closes one. Sessions use the same few names.
func (s *sessionCaller) prepare() bool {
	name, shape := []string{"s1", "s2", "s3"}[s.random.Intn(3)], fmt.Sprintf("%s q%d", []string{"READ", "WRITE"}[s.random.Intn(2)], s.random.Intn(20))
	if _, ok := s.prepared[name]; ok {
		delete(s.prepared, name)
		return s.succeeds("CLOSE " + name)
	}
	s.prepared[name] = shape
	return s.succeeds("PARSE " + name + " " + shape)
}

// statement draws a read or a write, prepared or not, and returns what it writes.
func (s *sessionCaller) statement(readOnly bool) (string, []failedWrite) {
	for _, name := range []string{"s1", "s2", "s3"} {
		if shape, ok := s.prepared[name]; ok && s.random.Intn(3) == 0 {
			if strings.HasPrefix(shape, "READ") {
				return "EXECUTE " + name + " " + s.anyItem(), nil
			}
			if !readOnly {
				w := s.newWrite()
				return "EXECUTE " + name + " " + w.item + " " + w.value, []failedWrite{w}
			}
		}
	}
	if readOnly || s.random.Intn(2) == 0 {
		return "READ " + s.anyItem(), nil
	}
	w := s.newWrite()
	return "WRITE " + w.item + " " + w.value, []failedWrite{w}
}

func (s *sessionCaller) newWrite() failedWrite {
	s.written++
	return failedWrite{item: fmt.Sprintf("session-%d-%d", s.number, s.written), value: "1"}
}

func (s *sessionCaller) anyItem() string {
	return fmt.Sprintf("session-%d-%d", s.number, 1+s.random.Intn(s.written+1))
}

// transact runs a transaction with pauses between its statements, and reports whether the session can go on.
func (s *sessionCaller) transact(ctx context.Context) bool {
	readOnly := s.random.Intn(readOneIn) == 0
	begin := "BEGIN"
	if readOnly {
		begin = "BEGIN READ"
	}
	if r, err := s.caller.Run(begin); err != nil || r.Code != "" {
		return err == nil && r.State == "I"
	}
	var writes []failedWrite
	// Without a COMMIT that was sent, no write may remain.
	unasked := lines.Result{Code: "ABORTED"}
	for range 1 + s.random.Intn(maxStatements) {
		text, write := s.statement(readOnly)
		writes = append(writes, write...)
		if r, err := s.caller.Run(text); err != nil || r.Code != "" {
			s.ledger.recordWrites(writes, unasked, nil)
			return err == nil && r.State != "T" && s.endFailed(r.State)
		}
		s.think(ctx)
	}
	switch {
	case s.random.Intn(leaveOneIn) == 0:
		s.ledger.recordWrites(writes, unasked, nil)
		return false
	case s.random.Intn(rollbackOneIn) == 0:
		r, err := s.caller.Run("ROLLBACK")
		s.ledger.recordWrites(writes, unasked, nil)
		return err == nil && r.State == "I"
	}
	r, err := s.caller.Run("COMMIT")
	s.ledger.recordWrites(writes, r, err)
	return err == nil && r.State == "I"
}

// endFailed rolls a failed transaction back if it is still open.
func (s *sessionCaller) endFailed(state string) bool {
	if state == "I" {
		return true
	}
	r, err := s.caller.Run("ROLLBACK")
	return err == nil && r.State == "I"
}

// think pauses between two statements of a transaction: mostly briefly, at times for nearly as long as transactions may idle.
func (s *sessionCaller) think(ctx context.Context) {
	longest := longestThought
	if s.random.Intn(3) > 0 {
		longest /= 10
	}
	_ = clock.Sleep(ctx, between(s.random, 0, longest))
}

// recordWrites records the result of writes that were committed together.
func (l *ledger) recordWrites(writes []failedWrite, r lines.Result, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, w := range writes {
		l.history.Requests++
		switch {
		case err != nil || r.Code != "" && !lines.GuaranteesNoEffect(r.Code):
			l.history.Unknown++
			l.unknown[w] = true
		case r.Code == "":
			l.acked[w.item] = append(l.acked[w.item], ackedWrite{1, time.Now()})
			l.history.Acked++
		default:
			l.history.NotRun++
			l.notRun = append(l.notRun, failedWrite{w.item, w.value, r.Code})
		}
	}
}
