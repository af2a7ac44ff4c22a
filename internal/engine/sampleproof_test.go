package engine

import (
	"context"
	"testing"
	"time"

	"github.com/papayacove/papayacove/api"
	"github.com/papayacove/papayacove/internal/clock"
	"github.com/papayacove/papayacove/internal/policy/leadership"
	"github.com/papayacove/papayacove/internal/policy/primaryposition"
)

// hasSample reports whether the group has any position of its primary.
func (g *group) hasSample() bool {
	_, ok := g.samples.Oldest(0, 0)
	return ok
}

// TestPositionOutsideTheProofIsNoSample guards against reads with an allowed age that lack commits of the next primary:
// the old one answered after its last leadership proof had ended.
func TestPositionOutsideTheProofIsNoSample(t *testing.T) {
	for provenFor, want := range map[time.Duration]bool{-time.Millisecond: false, time.Minute: true} {
		g, asked := newUnprovedGroup()
		g.samples, g.provenUntil = primaryposition.Samples{}, asked+provenFor
		reply := Reply{Position: api.Position{Term: 1, Offset: 10}}
		if g.recordReply(g.members["a"], reply, asked); g.hasSample() != want {
			t.Errorf("reply to a statement of %s before the end of the proof: got a sample %t, want %t", provenFor, g.hasSample(), want)
		}
	}
	for age, want := range map[time.Duration]bool{0: true, leadership.ProofValidity + time.Millisecond: false} {
		g, asked := newUnprovedGroup()
		g.samples = primaryposition.Samples{}
		statuses := map[string]leadership.Status{"a": leads(1, 10, asked), "b": follows(1, 10, asked-age), "c": follows(1, 10, asked-age)}
		if g.applyStatusRound(statuses, asked); g.hasSample() != want {
			t.Errorf("status within a proof of %s before: got a sample %t, want %t", age, g.hasSample(), want)
		}
	}
}

// slowRecord is a promotion lock whose record is read while the status of the primary is renewed.
type slowRecord struct {
	settledLock
	group *group
	began time.Duration
}

func (*slowRecord) Observe(context.Context, string) error { return nil }

func (l *slowRecord) SettledTerm(context.Context, string) (uint64, error) {
	l.began = clock.SinceBoot()
	time.Sleep(time.Millisecond)
	l.group.mu.Lock()
	defer l.group.mu.Unlock()
	l.group.statuses["a"] = leads(1, 10, clock.SinceBoot())
	return 1, nil
}

// TestProofByTheRecordIsDatedFromBeforeTheRead guards against a proof that ends after a promotion which was begun
// during the read.
func TestProofByTheRecordIsDatedFromBeforeTheRead(t *testing.T) {
	g, _ := newUnprovedGroup()
	lock := &slowRecord{group: g}
	g.promotionLock = lock
	g.proveByRecord()
	if until := lock.began + leadership.ProofValidity; g.provenUntil <= lock.began || g.provenUntil > until {
		t.Errorf("got a proof until %s, want one that ends by %s", g.provenUntil, until)
	}
}
