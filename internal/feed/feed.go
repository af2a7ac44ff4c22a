// Package feed follows the objects of the store for one daemon, either at the store or by way of other daemons that do,
// and passes on what it learns. Who follows the store and whom to ask next is decided by package policy/watching.
//
// With the objects travels the proof up to when they are complete: a time of the boot clock, which counts suspended time.
// A call to the store proves the time at which it was sent, once its answer has been applied. Between daemons a proof is
// passed on as the time from it to the arrival of the request, so that no clock is compared with another and the way only
// makes it older.
package feed

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/papayacove/papayacove/api"
	"github.com/papayacove/papayacove/internal/clock"
	"github.com/papayacove/papayacove/internal/objectstore"
	"github.com/papayacove/papayacove/internal/policy/watching"
)

// Peers asks other daemons.
type Peers interface {
	// Feed sends a request to the daemon at an address. The request may be held for its wait.
	Feed(ctx context.Context, address string, request *api.FeedRequest) (*api.FeedReply, error)
}

// Options describe a Feed.
type Options struct {
	// Name is the name of this daemon.
	Name  string
	Store objectstore.Source
	Peers Peers
	// ApplyWithin, RevokeWithin and StoreTimeout are those of watching.Bounds.
	ApplyWithin  time.Duration
	RevokeWithin time.Duration
	StoreTimeout time.Duration
	// Now reads the boot clock; nil means clock.SinceBoot. Random returns a random time below the given one; nil means
	// that of the system.
	Now    func() time.Duration
	Random func(time.Duration) time.Duration
}

// KindOptions describe how one kind is followed.
type KindOptions struct {
	Kind string
	// Interval is the time between two watches at the store.
	Interval time.Duration
	// MaxRetryDelay bounds the time between two attempts while no source answers.
	MaxRetryDelay time.Duration
	// HoldsKeys is true if the objects hold keys that are withdrawn within Options.RevokeWithin.
	HoldsKeys bool
	// Apply is called with each object that is new or changed, one call at a time. While the newest version of an object
	// has failed, there is no proof.
	Apply func(api.Object) error
	// PassOn returns what other daemons get of an object; nil if they get it as it is. An object for which it fails is not
	// passed on, and they read it from the store. It may be called with what it has returned.
	PassOn func(api.Object) (api.Object, error)
	// OnProof is called with the time of the boot clock up to which all changes are applied; nil if it is not needed.
	OnProof func(asOf time.Duration)
	// OnFailure is called with the time of a failure to follow, here or at the daemon that was asked; nil if it is not
	// needed.
	OnFailure func(at time.Duration)
	// OnRestore is called when the store was restored from a copy, before Apply gets what the copy holds; nil if it is not
	// needed.
	OnRestore func()
}

// Feed follows kinds of objects. Its methods may be called concurrently.
type Feed struct {
	options Options
	ctx     context.Context
	close   context.CancelFunc

	mu        sync.Mutex
	daemons   []watching.Daemon
	followers map[string]*follower
}

// New returns a feed that follows nothing yet.
func New(options Options) *Feed {
	if options.Now == nil {
		options.Now = clock.SinceBoot
	}
	if options.Random == nil {
		options.Random = rand.N[time.Duration]
	}
	ctx, cancel := context.WithCancel(context.Background())
	return &Feed{options: options, ctx: ctx, close: cancel, followers: make(map[string]*follower)}
}

// SetDaemons sets the daemons of the deployment, this one included.
func (f *Feed) SetDaemons(daemons []watching.Daemon) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.daemons = daemons
	for _, follower := range f.followers {
		f.assign(follower)
	}
}

// assign tells a follower whom to ask. The caller holds the lock.
func (f *Feed) assign(follower *follower) {
	follower.assign(watching.Assign(f.options.Name, f.daemons, f.options.RevokeWithin > 0))
}

// Follow follows one kind until ctx ends, and returns the error of ctx.
func (f *Feed) Follow(ctx context.Context, options KindOptions) error {
	follower := newFollower(f.options, options)
	f.mu.Lock()
	f.followers[options.Kind] = follower
	f.assign(follower)
	f.mu.Unlock()
	return follower.run(ctx)
}

// Feed answers the request of another daemon.
func (f *Feed) Feed(request *api.FeedRequest) *api.FeedReply {
	f.mu.Lock()
	follower, ok := f.followers[request.Kind]
	f.mu.Unlock()
	if !ok || f.ctx.Err() != nil {
		return &api.FeedReply{Outcome: outcomeUnknown}
	}
	answers.Add(request.Kind, 1)
	return follower.hub.answer(f.ctx, request)
}

// Leave makes other daemons go elsewhere. This daemon goes on following.
func (f *Feed) Leave() {
	f.close()
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, follower := range f.followers {
		follower.hub.stopServing()
	}
}
