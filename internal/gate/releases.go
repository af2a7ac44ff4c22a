package gate

import (
	"sync"
	"time"

	"github.com/papayacove/papayacove/api"
)

// releaseMemory is the time for which a release is remembered.
const releaseMemory = time.Minute

// releases remembers up to which batch sessions have given up.
type releases struct {
	mu    sync.Mutex
	marks map[string]releaseMark
}

// releaseMark is the last release of a session.
type releaseMark struct {
	sequence uint64
	at       time.Time
}

func newReleases() *releases {
	return &releases{marks: make(map[string]releaseMark)}
}

// note takes in a release.
func (r *releases) note(session string, sequence uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.marks[session] = releaseMark{sequence: max(sequence, r.marks[session].sequence), at: time.Now()}
}

// covers reports whether the session has given the batch up.
func (r *releases) covers(req *api.ExecuteRequest) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	mark, ok := r.marks[req.SessionID]
	return ok && req.Sequence <= mark.sequence
}

// expire forgets old releases.
func (r *releases) expire() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for session, mark := range r.marks {
		if time.Since(mark.at) > releaseMemory {
			delete(r.marks, session)
		}
	}
}
