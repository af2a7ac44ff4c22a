// Package objectstore is the client of the platform's object API and VM list.
//
// Client uses the API of docs/PLATFORM.md, which lists the assumptions about the platform. Transport
// and FollowSource also serve object stores with another API.
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

// MaxDataBytes is the largest size of object data that the platform stores, in bytes.
const MaxDataBytes = 1 << 20

// Options describe a client.
type Options struct {
	// URL is the base of the object API, such as https://platform.example:443.
	URL string

	// Zone is the availability zone of the caller.
	Zone string

	// Timeout is the deadline of a call, not counting the time that a watch waits; 0 means
	// DefaultTimeout.
	Timeout time.Duration

	// LocalAddress is the source IP address of connections; if it is empty, the system chooses one.
	LocalAddress string

	// TLS returns the configuration of each new connection to an https URL; nil means the default.
	TLS func() *tls.Config
}

// Client calls the platform. It is safe for concurrent use.
type Client struct {
	transport *Transport
	zone      string
	counter   callCounter
	// unreadable logs the objects and VMs that lists held and that were left out.
	unreadable UnreadableLog
}

// NewClient returns a client, which connects at its first call.
func NewClient(options Options) *Client {
	return &Client{transport: NewTransport(options), zone: options.Zone}
}

// Close closes the idle connections.
func (c *Client) Close() {
	c.transport.Close()
}

// Counts returns the numbers of calls so far by kind.
func (c *Client) Counts() Counts {
	return c.counter.get()
}

// Get returns an object. It fails with ErrNotFound if the object does not exist.
func (c *Client) Get(ctx context.Context, kind, name string) (api.Object, error) {
	var o api.Object
	err := c.do(ctx, call{
		kind:   callGet,
		method: http.MethodGet,
		path:   objectPath(kind, name),
		decode: decodeInto(&o),
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
		decode: func(body []byte) error { return c.decodeList(body, &list) },
	})
	return list, err
}

// Create stores a new object and returns it with its version. It fails with ErrExists if an
// object of that name exists, and with ErrOutcomeUnknown if the answer was lost.
func (c *Client) Create(ctx context.Context, o api.Object) (api.Object, error) {
	var stored api.Object
	err := c.do(ctx, call{
		kind:   callCreate,
		method: http.MethodPost,
		path:   objectPath(o.Kind, o.Name),
		body:   &o,
		decode: decodeInto(&stored),
	})
	return stored, err
}

// Update replaces the data of an object if the stored version is o.Version, and returns the
// stored object. Otherwise it fails with ErrConflict or ErrNotFound; it fails with
// ErrOutcomeUnknown if the answer was lost.
func (c *Client) Update(ctx context.Context, o api.Object) (api.Object, error) {
	var stored api.Object
	err := c.do(ctx, call{
		kind:   callUpdate,
		method: http.MethodPut,
		path:   objectPath(o.Kind, o.Name),
		body:   &o,
		decode: decodeInto(&stored),
	})
	return stored, err
}

// Delete removes an object if the stored version is the given one. Otherwise it fails with
// ErrConflict or ErrNotFound; it fails with ErrOutcomeUnknown if the answer was lost.
func (c *Client) Delete(ctx context.Context, kind, name string, version uint64) error {
	query := url.Values{"version": {strconv.FormatUint(version, 10)}}
	return c.do(ctx, call{
		kind:   callDelete,
		method: http.MethodDelete,
		path:   objectPath(kind, name) + "?" + query.Encode(),
	})
}

// Watch waits for changes to objects of the kinds after a revision and returns the changed
// objects with the revision up to which they are complete. If nothing changes within wait, it
// returns no objects. It fails with ErrCompacted if the platform no longer has the history
// after the revision.
func (c *Client) Watch(ctx context.Context, after uint64, wait time.Duration, kinds ...string) (api.ObjectList, error) {
	query := watchQuery(after, wait)
	query.Set("kinds", strings.Join(kinds, ","))
	var list api.ObjectList
	err := c.do(ctx, call{
		kind:   callWatch,
		method: http.MethodGet,
		path:   "/v1/watch?" + query.Encode(),
		wait:   wait,
		decode: func(body []byte) error { return c.decodeList(body, &list) },
	})
	return list, err
}

// VMs returns the list of live and leaving VMs, which lags behind their actual state.
func (c *Client) VMs(ctx context.Context) (api.VMList, error) {
	var list api.VMList
	err := c.do(ctx, call{
		kind:   callVMs,
		method: http.MethodGet,
		path:   "/v1/vms",
		decode: func(body []byte) error { return c.decodeVMs(body, &list) },
	})
	return list, err
}

// WatchVMs waits until the revision of the VM list differs from after, at most for wait, and
// returns the whole list.
func (c *Client) WatchVMs(ctx context.Context, after uint64, wait time.Duration) (api.VMList, error) {
	var list api.VMList
	err := c.do(ctx, call{
		kind:   callWatchVMs,
		method: http.MethodGet,
		path:   "/v1/vms/watch?" + watchQuery(after, wait).Encode(),
		wait:   wait,
		decode: func(body []byte) error { return c.decodeVMs(body, &list) },
	})
	return list, err
}

// decodeInto returns a function that decodes an answer with one object.
func decodeInto(o *api.Object) func(body []byte) error {
	return func(body []byte) (err error) {
		*o, err = decodeObject(body)
		return err
	}
}

// objectPath returns the path of an object.
func objectPath(kind, name string) string {
	return "/v1/objects/" + url.PathEscape(kind) + "/" + url.PathEscape(name)
}

// watchQuery returns the query parameters that all watches share.
func watchQuery(after uint64, wait time.Duration) url.Values {
	return url.Values{
		"after":      {strconv.FormatUint(after, 10)},
		"timeout_ms": {strconv.FormatInt(wait.Milliseconds(), 10)},
	}
}
