// Package objectstore is the client of the platform's object API and VM list.
//
// Client speaks the API of docs/PLATFORM.md, which lists what is assumed of it. Transport and
// FollowSource serve object stores that spell their calls otherwise.
package objectstore

import (
	"context"
	"crypto/tls"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/papayacove/papayacove/api"
)

// The kinds of objects.
const (
	KindTemplate  = "template"
	KindWorkspace = "workspace"
	KindGroup     = "group"
	KindTerm      = "term"
)

// MaxDataBytes is the largest object data that the platform keeps.
const MaxDataBytes = 1 << 20

// Options describe a client.
type Options struct {
	// URL is the base of the object API, such as https://platform.example:443.
	URL string

	// Zone is the availability zone of the caller.
	Zone string

	// Timeout is the deadline of a call, without the time that a watch waits; 0 for
	// DefaultTimeout.
	Timeout time.Duration

	// LocalAddress is the IP number that connections come from; empty leaves it open.
	LocalAddress string

	// TLS gives the configuration of each new connection to an https URL; nil for the default.
	TLS func() *tls.Config
}

// Client calls the platform. It is safe for concurrent use.
type Client struct {
	transport *Transport
	zone      string
	counter   callCounter
}

// NewClient returns a client; it connects with the first call.
func NewClient(options Options) *Client {
	return &Client{transport: NewTransport(options), zone: options.Zone}
}

// Close closes the unused connections.
func (c *Client) Close() {
	c.transport.Close()
}

// Counts returns the calls so far by kind.
func (c *Client) Counts() Counts {
	return c.counter.get()
}

// Get returns an object, or ErrNotFound.
func (c *Client) Get(ctx context.Context, kind, name string) (api.Object, error) {
	var o api.Object
	err := c.do(ctx, call{
		kind:   callGet,
		method: http.MethodGet,
		path:   objectPath(kind, name),
		answer: &o,
	})
	return o, err
}

// List returns the objects of a kind and the revision up to which the list is complete.
func (c *Client) List(ctx context.Context, kind string) (api.ObjectList, error) {
	var list api.ObjectList
	err := c.do(ctx, call{
		kind:   callList,
		method: http.MethodGet,
		path:   "/v1/objects/" + url.PathEscape(kind),
		answer: &list,
	})
	return list, err
}

// Create stores a new object and returns it with its version. It fails with ErrExists when
// there is one of the name, and with ErrOutcomeUnknown when the answer was lost.
func (c *Client) Create(ctx context.Context, o api.Object) (api.Object, error) {
	var stored api.Object
	err := c.do(ctx, call{
		kind:   callCreate,
		method: http.MethodPost,
		path:   objectPath(o.Kind, o.Name),
		body:   &o,
		answer: &stored,
	})
	return stored, err
}

// Update replaces the data of an object if the stored version is o.Version, and returns the
// stored object. It fails with ErrConflict or ErrNotFound otherwise, and with
// ErrOutcomeUnknown when the answer was lost.
func (c *Client) Update(ctx context.Context, o api.Object) (api.Object, error) {
	var stored api.Object
	err := c.do(ctx, call{
		kind:   callUpdate,
		method: http.MethodPut,
		path:   objectPath(o.Kind, o.Name),
		body:   &o,
		answer: &stored,
	})
	return stored, err
}

// Delete removes an object if the stored version is the given one. It fails with
// ErrConflict or ErrNotFound otherwise, and with ErrOutcomeUnknown when the answer was lost.
func (c *Client) Delete(ctx context.Context, kind, name string, version uint64) error {
	query := url.Values{"version": {strconv.FormatUint(version, 10)}}
	return c.do(ctx, call{
		kind:   callDelete,
		method: http.MethodDelete,
		path:   objectPath(kind, name) + "?" + query.Encode(),
	})
}

// Watch waits for changes of the kinds after a revision and returns the changed objects with
// the revision up to which they are complete. After the given time it returns none. It fails
// with ErrCompacted when the history after the revision is gone.
func (c *Client) Watch(ctx context.Context, after uint64, wait time.Duration, kinds ...string) (api.ObjectList, error) {
	query := watchQuery(after, wait)
	query.Set("kinds", strings.Join(kinds, ","))
	var list api.ObjectList
	err := c.do(ctx, call{
		kind:   callWatch,
		method: http.MethodGet,
		path:   "/v1/watch?" + query.Encode(),
		wait:   wait,
		answer: &list,
	})
	return list, err
}

// VMs returns the lagging list of live and leaving VMs.
func (c *Client) VMs(ctx context.Context) (api.VMList, error) {
	var list api.VMList
	err := c.do(ctx, call{
		kind:   callVMs,
		method: http.MethodGet,
		path:   "/v1/vms",
		answer: &list,
	})
	return list, err
}

// WatchVMs waits until the VM list has another revision than the given one, at most for the
// given time, and returns the whole list.
func (c *Client) WatchVMs(ctx context.Context, after uint64, wait time.Duration) (api.VMList, error) {
	var list api.VMList
	err := c.do(ctx, call{
		kind:   callWatchVMs,
		method: http.MethodGet,
		path:   "/v1/vms/watch?" + watchQuery(after, wait).Encode(),
		wait:   wait,
		answer: &list,
	})
	return list, err
}

// objectPath returns the path of an object.
func objectPath(kind, name string) string {
	return "/v1/objects/" + url.PathEscape(kind) + "/" + url.PathEscape(name)
}

// watchQuery returns the parameters that all watches share.
func watchQuery(after uint64, wait time.Duration) url.Values {
	return url.Values{
		"after":      {strconv.FormatUint(after, 10)},
		"timeout_ms": {strconv.FormatInt(wait.Milliseconds(), 10)},
	}
}
