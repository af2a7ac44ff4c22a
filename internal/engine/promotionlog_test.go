package engine

import (
	"context"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	logtest "github.com/sirupsen/logrus/hooks/test"

	"github.com/papayacove/papayacove/internal/clock"
	"github.com/papayacove/papayacove/internal/logevent"
	"github.com/papayacove/papayacove/internal/logfield"
	"github.com/papayacove/papayacove/internal/telemetry"
)

// failingPromoter answers orders with the errors, one after the other.
type failingPromoter struct{ errs []error }

func (p *failingPromoter) Promote(context.Context, string, string, uint64) error {
	err := p.errs[0]
	p.errs = p.errs[1:]
	return err
}

// TestUnknownOrderAndResumeAreLogged guards against an order that takes effect after a resume, without a line of
// either.
func TestUnknownOrderAndResumeAreLogged(t *testing.T) {
	hook := logtest.NewGlobal()
	defer logrus.StandardLogger().ReplaceHooks(make(logrus.LevelHooks))
	target := &fakeTarget{}
	promoter := &failingPromoter{[]error{errNoAnswer, ErrTargetDown}}
	e := New(Options{Name: "daemon-0", Zone: "z", Dialer: target, Promoter: promoter})
	defer e.Close()
	g := newTestGroup(target)
	g.proofLog.limiter = telemetry.NewLimiter()
	p := &promotion{
		engine: e, group: g, old: "a", term: 2, token: 7, lockedUntil: clock.SinceBoot() + time.Hour,
		toResume: map[string]*member{"b": g.members["b"], "c": g.members["c"]},
	}
	if outcome := p.orderPromotion("b"); outcome != orderUnknown {
		t.Fatalf("got the outcome %d, want %d for unknown", outcome, orderUnknown)
	}
	p.abort()
	for event, want := range map[string]struct {
		level  logrus.Level
		fields map[string]string
	}{
		logevent.PromotionOutcomeUnknown: {logrus.WarnLevel, map[string]string{
			logfield.Target: "b", logfield.Error: errNoAnswer.Error(),
		}},
		logevent.ReplicasResumed: {logrus.InfoLevel, map[string]string{
			logfield.Targets: "[b c]", logfield.Answered: "2", logfield.Paused: "0",
		}},
	} {
		lines := logged(hook, event)
		if len(lines) != 1 {
			t.Fatalf("got %d lines of %s, want 1", len(lines), event)
		}
		if lines[0].Level != want.level {
			t.Errorf("%s: got level %s, want %s", event, lines[0].Level, want.level)
		}
		checkFields(t, event, lines[0], want.fields)
		checkFields(t, event, lines[0], map[string]string{
			logfield.Daemon: "daemon-0", logfield.Token: "7", logfield.Term: "2",
		})
		if left, ok := lines[0].Data[logfield.LockLeft].(time.Duration); !ok || left <= 0 {
			t.Errorf("%s: got lock_left %v, want the time for which the lock is held", event, lines[0].Data[logfield.LockLeft])
		}
	}
}
