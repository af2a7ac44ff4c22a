package engine

import (
	"testing"
	"time"

	"github.com/papayacove/papayacove/api"
	"github.com/papayacove/papayacove/internal/clock"
	"github.com/papayacove/papayacove/internal/policy/primaryposition"
)

// TestReadersLeaveOutReplicasThatAreFarBehind covers replicas that apply seconds late while the primary is short: a read is
// not sent to one that cannot serve it in time, as each read was before, which was then refused for that reason and not
// for the queue of the primary. One that has not been heard of for a while is asked again, since it may have caught up.
func TestReadersLeaveOutReplicasThatAreFarBehind(t *testing.T) {
	at := func(offset uint64) api.Position { return api.Position{Term: 1, Offset: offset} }
	cases := []struct {
		name string
		// lag is the age of the replica's log, heard the time since the replica answered.
		lag, heard, within time.Duration
		want               bool
	}{
		{"seconds behind", 4 * time.Second, 100 * time.Millisecond, 500 * time.Millisecond, false},
		{"seconds behind, and the read can wait", 4 * time.Second, 100 * time.Millisecond, 5 * time.Second, true},
		{"a moment behind", 200 * time.Millisecond, 100 * time.Millisecond, 500 * time.Millisecond, true},
		{"not heard of for over a third of its lag", 4 * time.Second, 1500 * time.Millisecond, 500 * time.Millisecond, true},
	}
	for _, c := range cases {
		e := newReaderEngine(&fakeTarget{})
		g := e.groups["g"]
		g.setTarget(Target{Name: "replica", Group: "g", Slots: 2, Zone: "z"})
		now := clock.SinceBoot()
		m := g.members["replica"]
		g.samples = primaryposition.Samples{}
		m.applied, m.appliedAt = at(1), now-c.heard
		g.samples.Add(m.appliedAt-c.lag-100*time.Millisecond, at(1), primaryposition.Source{})
		g.samples.Add(m.appliedAt-c.lag, at(2), primaryposition.Source{})
		g.samples.Add(now-time.Millisecond, at(9), primaryposition.Source{})
		found := false
		for _, reader := range g.readers(readRequest{minPosition: at(9), within: c.within}) {
			found = found || reader == m
		}
		if found != c.want {
			t.Errorf("%s: got the replica among the readers %t, want %t", c.name, found, c.want)
		}
	}
}

// TestOwnCommitWaitsForTheLagOfTheReplica lets a session read 100 ms after its commit: a replica that is usually 300 ms
// behind comes after the primary, one that is usually 20 ms behind before it. With a constant of 50 ms both came first.
func TestOwnCommitWaitsForTheLagOfTheReplica(t *testing.T) {
	for lag, want := range map[time.Duration]bool{20 * time.Millisecond: true, 300 * time.Millisecond: false} {
		e := newReaderEngine(&fakeTarget{})
		g := e.groups["g"]
		g.setTarget(Target{Name: "replica", Group: "g", Slots: 2, Zone: "z"})
		now := clock.SinceBoot()
		m := g.members["replica"]
		// The primary passed the commit 400 ms ago, as far as this daemon knows, and the replica was last heard of before.
		g.samples = primaryposition.Samples{}
		for range 20 {
			m.lags.Add(lag, now)
		}
		m.applied, m.appliedAt = api.Position{Term: 1, Offset: 1}, now-time.Second
		readers := g.readers(readRequest{minPosition: api.Position{Term: 1, Offset: 2}, committedAt: now - 100*time.Millisecond, within: time.Second})
		if first := readers[0] == m; first != want {
			t.Errorf("lag of %s: got the replica first %t, want %t", lag, first, want)
		}
	}
}
