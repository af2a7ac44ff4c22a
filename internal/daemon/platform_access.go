package daemon

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/papayacove/papayacove/api"
	"github.com/papayacove/papayacove/internal/objectstore"
)

// reachedDelay is the time after a failed call during which the platform is reported as not reached.
const reachedDelay = 2 * time.Second

// platformAccess calls the platform for the failover and records whether its calls and those of the followers succeed.
type platformAccess struct {
	client     *objectstore.Client
	reached    atomic.Bool
	lastFailed atomic.Int64
}

func newPlatformAccess(client *objectstore.Client) *platformAccess {
	return &platformAccess{client: client}
}

// recordOutcome records the outcome of a call. Errors other than objectstore.ErrUnavailable change nothing.
func (c *platformAccess) recordOutcome(err error) {
	if err != nil && errors.Is(err, objectstore.ErrUnavailable) {
		c.lastFailed.Store(time.Now().UnixNano())
		c.reached.Store(false)
		return
	}
	if err == nil {
		c.reached.Store(true)
	}
}

// isReached reports whether a call has succeeded since the last one that failed, and none has failed within
// reachedDelay. The delay keeps a daemon whose calls fail intermittently from regaining control of a failover at once.
func (c *platformAccess) isReached() bool {
	return c.reached.Load() && time.Since(time.Unix(0, c.lastFailed.Load())) > reachedDelay
}

// Get returns an object of the platform.
func (c *platformAccess) Get(ctx context.Context, kind, name string) (api.Object, error) {
	object, err := c.client.Get(ctx, kind, name)
	c.recordOutcome(err)
	return object, err
}

// Create stores a new object.
func (c *platformAccess) Create(ctx context.Context, o api.Object) (api.Object, error) {
	stored, err := c.client.Create(ctx, o)
	c.recordOutcome(err)
	return stored, err
}

// Update replaces an object of the same version.
func (c *platformAccess) Update(ctx context.Context, o api.Object) (api.Object, error) {
	stored, err := c.client.Update(ctx, o)
	c.recordOutcome(err)
	return stored, err
}
