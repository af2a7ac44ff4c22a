package daemon

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/papayacove/papayacove/api"
	"github.com/papayacove/papayacove/internal/objectstore"
)

// contactPause is the time for which the platform counts as not reached after a failed call.
const contactPause = 2 * time.Second

// contact calls the platform for the failover and knows whether calls succeed.
type contact struct {
	client     *objectstore.Client
	reached    atomic.Bool
	lastFailed atomic.Int64
}

func newContact(client *objectstore.Client) *contact {
	return &contact{client: client}
}

// note takes in the outcome of a call.
func (c *contact) note(err error) {
	if err != nil && errors.Is(err, objectstore.ErrUnavailable) {
		c.lastFailed.Store(time.Now().UnixNano())
		c.reached.Store(false)
		return
	}
	if err == nil {
		c.reached.Store(true)
	}
}

// isReached reports whether calls succeed. A failure counts for a while, so that the control of a
// failover does not come back at once to a daemon whose calls fail now and then.
func (c *contact) isReached() bool {
	return c.reached.Load() && time.Since(time.Unix(0, c.lastFailed.Load())) > contactPause
}

// Get returns an object of the platform.
func (c *contact) Get(ctx context.Context, kind, name string) (api.Object, error) {
	object, err := c.client.Get(ctx, kind, name)
	c.note(err)
	return object, err
}

// Create stores a new object.
func (c *contact) Create(ctx context.Context, o api.Object) (api.Object, error) {
	stored, err := c.client.Create(ctx, o)
	c.note(err)
	return stored, err
}

// Update replaces an object of the same version.
func (c *contact) Update(ctx context.Context, o api.Object) (api.Object, error) {
	stored, err := c.client.Update(ctx, o)
	c.note(err)
	return stored, err
}
