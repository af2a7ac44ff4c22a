package gate

import (
	"sync"
	"time"

	"github.com/papayacove/papayacove/api"
)

// releaseRetention is the time for which a release is kept.
const releaseRetention = time.Minute

// releases holds the last batch that each session has released, that is, abandoned with all batches before it. It is
// safe for concurrent use.
type releases struct {
	mu    sync.Mutex
	marks map[string]releaseMark
}

// releaseMark is the release with the highest sequence number of a session, and the time of the newest release.
type releaseMark struct {
	sequence uint64
	at       time.Time
}

func newReleases() *releases {
	return &releases{marks: make(map[string]releaseMark)}
}

// record adds a release of the batches of a session up to sequence.
func (r *releases) record(session string, sequence uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.marks[session] = releaseMark{sequence: max(sequence, r.marks[session].sequence), at: time.Now()}
}

// covers reports whether the session has released the batch.
func (r *releases) covers(req *api.ExecuteRequest) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	mark, ok := r.marks[req.SessionID]
	return ok && req.Sequence <= mark.sequence
}

// expire removes the releases that are older than releaseRetention.
func (r *releases) expire() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for session, mark := range r.marks {
		if time.Since(mark.at) > releaseRetention {
			delete(r.marks, session)
		}
	}
}
