package primaryposition

import (
	"math/rand"
	"testing"
	"time"

	"github.com/papayacove/papayacove/api"
)

// lagAt is the lag of a played replica: 150 ms and a little for most of the time, up to 900 ms for 2 s of every 10.
func lagAt(now time.Duration, random *rand.Rand) time.Duration {
	if now%(10*time.Second) > 8*time.Second {
		return time.Duration(500+random.Intn(400)) * time.Millisecond
	}
	return time.Duration(100+random.Intn(100)) * time.Millisecond
}

// playCommits lets sessions read their own commits at a replica once the given time has passed since, and returns the part
// that found the replica behind, and the part that was kept from it though it had the commit.
func playCommits(expected func(l *Lags, now time.Duration) time.Duration) (behind, kept float64) {
	random := rand.New(rand.NewSource(1))
	var l Lags
	const reads = 20000
	for i := range reads {
		now := time.Duration(i) * 5 * time.Millisecond
		lag := lagAt(now, random)
		if i%4 == 0 {
			l.Add(lag, now)
		}
		age := time.Duration(random.Intn(1000)) * time.Millisecond
		tried, has := age >= expected(&l, now), age >= lag
		if tried && !has {
			behind++
		}
		if !tried && has {
			kept++
		}
	}
	return behind / reads, kept / reads
}

// TestWaitForOwnCommitFollowsTheLags plays a replica whose lag varies from 100 to 900 ms: by its observed lags few reads find it
// behind and few are kept from it. With 50 ms for all, a fifth and more are refused; with the longest lag, half are kept.
func TestWaitForOwnCommitFollowsTheLags(t *testing.T) {
	observed := func(l *Lags, now time.Duration) time.Duration {
		lag, _ := l.Expected(now)
		return lag
	}
	constant := func(lag time.Duration) func(*Lags, time.Duration) time.Duration {
		return func(*Lags, time.Duration) time.Duration { return lag }
	}
	behind, kept := playCommits(observed)
	short, _ := playCommits(constant(50 * time.Millisecond))
	_, long := playCommits(constant(900 * time.Millisecond))
	t.Logf("observed: %.3f behind, %.3f kept; 50 ms: %.3f behind; 900 ms: %.3f kept", behind, kept, short, long)
	if behind > 0.05 || kept > 0.1 {
		t.Errorf("got %.3f that found the replica behind and %.3f that were kept from it, want at most 0.05 and 0.1", behind, kept)
	}
	if short < 0.15 || long < 0.4 {
		t.Errorf("played load: got %.3f behind with 50 ms and %.3f kept with 900 ms, want a load that a constant does not fit", short, long)
	}
}

// TestFewLagsAreNoDistribution covers a replica of which little is known, and one that was not heard of for a while.
func TestFewLagsAreNoDistribution(t *testing.T) {
	var l Lags
	for i := range leastLags {
		if _, known := l.Expected(0); known {
			t.Errorf("after %d lags: got an expected one, want none", i)
		}
		l.Add(100*time.Millisecond, 0)
	}
	if lag, known := l.Expected(0); !known || lag != 100*time.Millisecond {
		t.Errorf("after %d lags of 100 ms: got %s %t, want 100 ms", leastLags, lag, known)
	}
	if _, known := l.Expected(lagValidity); known {
		t.Error("after the time for which lags count: got an expected one, want none")
	}
	l.Add(time.Second, 0)
	if lag, _ := l.Expected(0); lag != time.Second {
		t.Errorf("after a lag of 1 s: got %s, want 1 s", lag)
	}
}

// TestLagsEndWithTheEpisode lets a replica fall 6 s behind and catch up: 3 s later at most it is expected to be as usual. By
// lags of 10 s its reads went to the primary for as long.
func TestLagsEndWithTheEpisode(t *testing.T) {
	var l Lags
	for now := time.Duration(0); now < 6*time.Second; now += 200 * time.Millisecond {
		l.Add(now, now)
	}
	for now := 6 * time.Second; now < 9*time.Second; now += 300 * time.Millisecond {
		l.Add(100*time.Millisecond, now)
	}
	if lag, known := l.Expected(9 * time.Second); !known || lag > 100*time.Millisecond {
		t.Errorf("3 s after the replica caught up: got a lag of %s, known %t, want 100 ms", lag, known)
	}
}

// TestLagOfAReplicaThatHasAll takes the age of the newest sample, and nothing when that is old.
func TestLagOfAReplicaThatHasAll(t *testing.T) {
	var s Samples
	position := api.Position{Term: 1, Offset: 5}
	if _, known := s.LagOf(position, time.Second); known {
		t.Error("without samples: got a lag, want none")
	}
	s.Add(time.Second, position, Source{})
	if lag, known := s.LagOf(position, time.Second+40*time.Millisecond); !known || lag != 40*time.Millisecond {
		t.Errorf("40 ms after the sample: got %s %t, want 40 ms", lag, known)
	}
	if _, known := s.LagOf(position, 2*time.Second); known {
		t.Error("1 s after the sample: got a lag, want none")
	}
}
