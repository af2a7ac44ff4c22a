package lines

import (
	"net"
	"testing"
	"time"
)

// staleRecords returns records of one read of session 1, sent and run at times in seconds on a log that ends at a
// position.
func staleRecords(database string, position Position, sentAfter, ranAfter int) (Records, time.Time) {
	start := time.Now()
	at := func(seconds int) time.Time { return start.Add(time.Duration(seconds) * time.Second) }
	read := sent{database: database, text: "READ x", signature: "a.r.1", at: at(sentAfter), session: 1}
	return recordsOf(start, run{Execution{ID: "r", Signature: "a.r.1", Position: position, RanAt: at(ranAfter)}, read}), start
}

// addCommit adds a commit that a target acknowledged after a time in seconds to a session, whose caller got a code;
// empty for a success.
func (r *Records) addCommit(start time.Time, id string, position Position, after int, session uint64, code string) {
	at := start.Add(time.Duration(after) * time.Second)
	r.commits = append(r.commits, Commit{ID: id, Group: "group", Target: "a", Position: position, AcknowledgedAt: at})
	s := sent{session: session, text: "WRITE x 1", code: code}
	if code == "" {
		s.succeededAt = at
	}
	r.sent[id] = s
}

// TestStaleCountsCommitsUntilTheirPromotion guards against a read that is excused by a promotion after it, and against
// one that is excused by the newest promotion of several alone.
func TestStaleCountsCommitsUntilTheirPromotion(t *testing.T) {
	onTerm2, onTerm1 := Position{2, 7}, Position{1, 9}
	cases := []struct {
		name string
		// third is the position at which term 3 begins, 20 s after the start; term 2 begins after 1.5 and 10 s.
		third           Position
		commit          Position
		committed       int
		log             Position
		sent, ran       int
		database, wants string
	}{
		{"before the promotion that rolls it back", onTerm2, Position{1, 6}, 5, Position{1, 5}, 6, 7, "strict", "lacks 1.6"},
		{"the same, bounded", onTerm2, Position{1, 6}, 5, Position{1, 5}, 7, 8, "aged", "lacks 1.6"},
		{"the same, own", onTerm2, Position{1, 6}, 5, Position{1, 5}, 6, 7, "session", "lacks 1.6"},
		{"sent before the promotion that rolls it back, run after it", onTerm2, Position{1, 6}, 5, Position{1, 5}, 6, 11, "strict", ""},
		{"after the promotion that rolls it back", onTerm2, Position{1, 6}, 5, Position{2, 6}, 11, 12, "strict", ""},
		{"after both promotions", onTerm2, Position{1, 6}, 5, Position{3, 8}, 21, 22, "strict", ""},
		{"of the old primary after the promotion", onTerm2, Position{1, 6}, 11, Position{2, 6}, 12, 13, "strict", ""},
		{"of term 2, before the promotion that rolls it back", onTerm2, Position{2, 8}, 15, Position{2, 7}, 16, 17, "strict", "lacks 2.8"},
		{"of term 2, after the promotion that rolls it back", onTerm2, Position{2, 8}, 15, Position{3, 8}, 21, 22, "strict", ""},
		{"of term 2, kept by term 3", onTerm2, Position{2, 7}, 15, Position{2, 6}, 21, 22, "strict", "lacks 2.7"},
		{"of term 2, and term 3 begins without term 2", onTerm1, Position{2, 6}, 15, Position{3, 10}, 21, 22, "strict", ""},
		{"of term 2, before that", onTerm1, Position{2, 6}, 15, Position{1, 5}, 16, 17, "strict", "lacks 2.6"},
		{"rolled back by term 2, while that lasts", onTerm1, Position{1, 6}, 5, Position{2, 6}, 16, 17, "strict", ""},
		{"rolled back by term 2, and term 3 begins with it", onTerm1, Position{1, 6}, 5, Position{2, 6}, 21, 22, "strict", "lacks 1.6"},
	}
	for _, c := range cases {
		r, start := staleRecords(c.database, c.log, c.sent, c.ran)
		r.termStarts["group"][3], r.promotedAt["group"][3] = c.third, start.Add(20*time.Second)
		r.addCommit(start, "c", c.commit, c.committed, 1, "")
		checkBreaches(t, c.name, r.Stale(1500*time.Millisecond).Breaches, c.wants)
	}
}

// TestStaleCountsBothAcknowledgements guards against a commit with an unknown outcome at its caller that counts for
// nothing, and against one that is counted as acknowledged to its caller.
func TestStaleCountsBothAcknowledgements(t *testing.T) {
	cases := []struct {
		name, database string
		// told is the number of the newest commit that was acknowledged to its caller; 0 for none. Its session is 1.
		told       uint64
		breach     string
		toldBreach string
	}{
		{"unknown outcome", "strict", 0, `lacks 1.5, which a acknowledged`, ""},
		{"unknown outcome, and a told one that the log has", "strict", 4, `answer "INDOUBT"`, ""},
		{"unknown outcome, and a told one that the log lacks", "strict", 5, "lacks 1.6", "of those acknowledged to callers 1.5"},
		{"own, unknown outcome", "session", 0, "lacks 1.5", ""},
		{"own, told", "session", 5, "lacks 1.5", "of those acknowledged to callers 1.5"},
	}
	for _, c := range cases {
		r, start := staleRecords(c.database, Position{1, 4}, 6, 7)
		if c.told > 0 {
			r.addCommit(start, "told", Position{1, c.told}, 5, 1, "")
		}
		r.addCommit(start, "unknown", Position{1, max(4, c.told) + 1}, 5, 1, "INDOUBT")
		found := r.Stale(1500 * time.Millisecond)
		checkBreaches(t, c.name, found.Breaches, c.breach)
		checkBreaches(t, c.name+", told", found.Told, c.toldBreach)
	}
	r, start := staleRecords("session", Position{1, 4}, 6, 7)
	r.addCommit(start, "unknown", Position{1, 5}, 5, 2, "INDOUBT")
	checkBreaches(t, "unknown outcome of another session within the bound", r.Stale(1500*time.Millisecond).Breaches, "")
}

// TestFirstByteIsDatedWhenItIsSent guards against a read that is dated before the wait for the records, so that commits
// which were acknowledged meanwhile don't count.
func TestFirstByteIsDatedWhenItIsSent(t *testing.T) {
	near, far := net.Pipe()
	defer far.Close()
	log := NewCallerLog()
	c := &Caller{conn: near, log: log, session: callerSession{}}
	received := make(chan struct{})
	go func() { _, _ = far.Read(make([]byte, 64)); close(received) }()
	log.mu.Lock()
	done := make(chan time.Time)
	go func() { at, _ := c.send("r", "READ x"); done <- at }()
	time.Sleep(20 * time.Millisecond)
	unlocked := time.Now()
	log.mu.Unlock()
	<-received
	if at := <-done; at.Before(unlocked) || !log.sent["r"].at.Equal(at) {
		t.Errorf("got first byte at %v, recorded %v, want both the same and after %v", at, log.sent["r"].at, unlocked)
	}
}
