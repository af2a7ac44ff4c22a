package feed

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/papayacove/papayacove/api"
	"github.com/papayacove/papayacove/internal/logevent"
	"github.com/papayacove/papayacove/internal/logfield"
	"github.com/papayacove/papayacove/internal/policy/watching"
)

const (
	// maxHeld bounds the requests of one kind that are held at the same time.
	maxHeld = 512
	// maxHold bounds the time for which a request is held, whatever it asks for.
	maxHold = 5 * time.Second
	// maxReplyBytes bounds the objects of one reply: those of twenty readers take a second on a link of 10 Mbit/s. Who
	// needs more asks the store.
	maxReplyBytes = 64 << 10
	// maxHistoryBytes and maxHistoryBatches bound the changes that are kept for daemons that lag.
	maxHistoryBytes   = 512 << 10
	maxHistoryBatches = 256
	// proofStep is the time by which a proof must be newer than that of a daemon to be passed on to it for its own sake. It
	// is longer than travel differs between two requests.
	proofStep = 100 * time.Millisecond
	// objectOverheadBytes is added to the data and the name of an object in the bounds above.
	objectOverheadBytes = 64
)

// The outcomes of a reply.
const (
	outcomeOK      = "ok"
	outcomeBehind  = "behind"
	outcomeGone    = "gone"
	outcomeLarge   = "large"
	outcomeUnknown = "unknown"
)

// batch holds the changes of one answer, after which the revision is upTo.
type batch struct {
	upTo    uint64
	objects []api.Object
	bytes   int
}

// hub holds what a daemon knows of one kind, and answers other daemons while this one follows the store. It is safe for
// concurrent use.
type hub struct {
	// wakesOnProof is true if a held request is also answered when there is a newer proof.
	wakesOnProof bool
	now          func() time.Duration
	// passOn is that of KindOptions.
	passOn func(api.Object) (api.Object, error)

	mu            sync.Mutex
	known         bool
	era, revision uint64
	objects       map[string]api.Object
	// withheld has the versions of the objects that are not passed on. Of these only the name is kept.
	withheld map[string]uint64
	// batches are the changes after the revision historyFrom, oldest first.
	batches      []batch
	historyFrom  uint64
	historyBytes int
	// proof is the time of the boot clock up to which the objects are complete.
	proof    time.Duration
	hasProof bool
	// failedAt is the time of the last failure to follow the kind.
	failedAt time.Duration
	// serves is true while this daemon follows the store.
	serves bool
	held   int
	// changed is closed and replaced at each event that requests wait for.
	changed chan struct{}
}

func newHub(wakesOnProof bool, now func() time.Duration, passOn func(api.Object) (api.Object, error)) *hub {
	return &hub{
		wakesOnProof: wakesOnProof, now: now, passOn: passOn, failedAt: now(), objects: make(map[string]api.Object),
		withheld: make(map[string]uint64), changed: make(chan struct{}),
	}
}

// apply takes objects that are new or changed, as objectstore.FollowSource delivers them.
func (h *hub) apply(list api.ObjectList) {
	h.mu.Lock()
	defer h.mu.Unlock()
	passed, withheld := h.toPass(list.Objects)
	list.Objects = passed
	if !h.known || list.Era != h.era {
		h.objects = make(map[string]api.Object, len(list.Objects))
		h.withheld = make(map[string]uint64)
		h.batches, h.historyBytes, h.historyFrom = nil, 0, list.Revision
	} else {
		h.remember(list)
	}
	for _, o := range list.Objects {
		delete(h.withheld, o.Name)
		if o.Deleted {
			delete(h.objects, o.Name)
			continue
		}
		h.objects[o.Name] = o
	}
	maps.Copy(h.withheld, withheld)
	h.known, h.era, h.revision = true, list.Era, list.Revision
	h.wake()
}

// toPass returns the objects as other daemons get them, and the versions of those that they do not get.
func (h *hub) toPass(objects []api.Object) (passed []api.Object, withheld map[string]uint64) {
	if h.passOn == nil {
		return objects, nil
	}
	withheld = make(map[string]uint64)
	for _, o := range objects {
		if o.Deleted {
			passed = append(passed, o)
			continue
		}
		p, err := h.passOn(o)
		if err != nil {
			withheld[o.Name] = o.Version
			p = api.Object{Kind: o.Kind, Name: o.Name, Version: o.Version, Era: o.Era}
			logrus.WithFields(logrus.Fields{
				logfield.Kind: o.Kind, logfield.Object: o.Name, logfield.Version: o.Version, logfield.Error: err,
			}).Warn(logevent.FeedObjectWithheld)
		}
		passed = append(passed, p)
	}
	return passed, withheld
}

// isWithheld reports whether one of the objects is not passed on. The caller holds the lock.
func (h *hub) isWithheld(objects []api.Object) bool {
	return slices.ContainsFunc(objects, func(o api.Object) bool {
		version, ok := h.withheld[o.Name]
		return ok && version == o.Version && !o.Deleted
	})
}

// remember adds the changes to the history. The caller holds the lock.
func (h *hub) remember(list api.ObjectList) {
	b := batch{upTo: list.Revision, objects: list.Objects, bytes: sizeOf(list.Objects)}
	h.batches = append(h.batches, b)
	h.historyBytes += b.bytes
	for len(h.batches) > maxHistoryBatches || h.historyBytes > maxHistoryBytes {
		h.historyFrom = h.batches[0].upTo
		h.historyBytes -= h.batches[0].bytes
		h.batches = h.batches[1:]
	}
}

// confirm records that what is known is complete up to the time proof, and whether the store itself has said so.
func (h *hub) confirm(proof time.Duration, hasProof, byStore bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	isNewer := hasProof && (!h.hasProof || proof > h.proof)
	if isNewer {
		h.proof, h.hasProof = proof, true
	}
	stops := h.serves && !byStore
	h.serves = byStore
	if stops || isNewer && h.wakesOnProof {
		h.wake()
	}
}

// fail records a failure to follow the kind at a time.
func (h *hub) fail(at time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.failedAt = max(h.failedAt, at)
}

// stopServing makes all requests fail at once until the next confirm.
func (h *hub) stopServing() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.serves {
		h.serves = false
		h.wake()
	}
}

// wake wakes all held requests. The caller holds the lock.
func (h *hub) wake() {
	close(h.changed)
	h.changed = make(chan struct{})
}

// answer answers a request, which it holds while there is nothing to say and ctx has not ended.
func (h *hub) answer(ctx context.Context, request *api.FeedRequest) *api.FeedReply {
	arrived := h.now()
	ctx, cancel := context.WithTimeout(ctx, min(max(0, time.Duration(request.WaitMs)*time.Millisecond), maxHold))
	defer cancel()
	isHeld := false
	h.mu.Lock()
	defer h.mu.Unlock()
	for {
		outcome, objects := h.look(request)
		isNews := len(objects) > 0 || outcome == outcomeOK && (request.List || request.Era != h.era || request.After != h.revision)
		isNews = isNews || outcome != outcomeOK && outcome != outcomeBehind
		isNews = isNews || outcome != outcomeUnknown && h.hasNewerProof(arrived, request)
		if isNews || ctx.Err() != nil || !isHeld && h.held >= maxHeld {
			if isHeld {
				h.held--
			}
			return h.reply(arrived, outcome, objects)
		}
		if !isHeld {
			isHeld = true
			h.held++
		}
		changed := h.changed
		h.mu.Unlock()
		select {
		case <-changed:
		case <-ctx.Done():
		}
		h.mu.Lock()
	}
}

// hasNewerProof reports whether the proof alone is worth an answer. The caller holds the lock.
func (h *hub) hasNewerProof(arrived time.Duration, request *api.FeedRequest) bool {
	if !h.wakesOnProof || !h.hasProof {
		return false
	}
	age := time.Duration(request.ProofAgeUs) * time.Microsecond
	return request.ProofAgeUs < 0 || request.ProofAgeUs > maxProofAge.Microseconds() || h.proof >= arrived-age+proofStep
}

// look returns the answer to a request at present. The caller holds the lock.
func (h *hub) look(request *api.FeedRequest) (outcome string, objects []api.Object) {
	switch {
	case !h.serves || !h.known:
		return outcomeUnknown, nil
	case request.Era > h.era || request.Era == h.era && request.After > h.revision:
		return outcomeBehind, nil
	case request.List:
		for _, o := range h.objects {
			objects = append(objects, o)
		}
	case request.Era < h.era:
		// The era alone tells the other daemon to list again.
		return outcomeOK, nil
	case request.After < h.historyFrom:
		return outcomeGone, nil
	default:
		objects = h.changesAfter(request.After)
	}
	if sizeOf(objects) > maxReplyBytes || h.isWithheld(objects) {
		return outcomeLarge, nil
	}
	return outcomeOK, objects
}

// changesAfter returns the newest change of each object that changed after the revision, oldest first. The caller holds
// the lock.
func (h *hub) changesAfter(after uint64) []api.Object {
	var changes []api.Object
	seen := make(map[string]bool)
	for i := len(h.batches) - 1; i >= 0 && h.batches[i].upTo > after; i-- {
		for j := len(h.batches[i].objects) - 1; j >= 0; j-- {
			if o := h.batches[i].objects[j]; !seen[o.Name] {
				seen[o.Name] = true
				changes = append(changes, o)
			}
		}
	}
	for i, j := 0, len(changes)-1; i < j; i, j = i+1, j-1 {
		changes[i], changes[j] = changes[j], changes[i]
	}
	return changes
}

// reply builds a reply. The caller holds the lock.
func (h *hub) reply(arrived time.Duration, outcome string, objects []api.Object) *api.FeedReply {
	reply := &api.FeedReply{Outcome: outcome, Objects: objects, Era: h.era, Revision: h.revision}
	reply.SettledMs = max(0, (h.now() - h.failedAt).Milliseconds())
	if h.hasProof {
		reply.HasProof = true
		reply.ProofOffsetUs = ceilMicroseconds(watching.ProofOffset(arrived, h.proof))
	}
	return reply
}

// ceilMicroseconds rounds up, so that a proof gets no younger on its way.
func ceilMicroseconds(d time.Duration) int64 {
	us := d.Microseconds()
	if time.Duration(us)*time.Microsecond < d {
		us++
	}
	return us
}

func sizeOf(objects []api.Object) int {
	size := 0
	for _, o := range objects {
		size += len(o.Data) + len(o.Name) + objectOverheadBytes
	}
	return size
}
