package objectstore

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/papayacove/papayacove/api"
)

// zoneHeader names the availability zone that a request comes from.
const zoneHeader = "X-Availability-Zone"

// call is one request to the platform.
type call struct {
	kind   callKind
	method string
	// path is escaped and includes the query.
	path string
	// body is the object to send; nil for none.
	body *api.Object
	// wait is the time that the platform may hold the call back.
	wait time.Duration
	// answer takes the decoded answer; nil to ignore it.
	answer any
}

// do carries a call out within the deadline of the client and of ctx.
func (c *Client) do(ctx context.Context, k call) error {
	c.counter.add(k.kind)
	err := c.send(ctx, k)
	if err != nil {
		failures.Add(k.kind.String(), 1)
		return fmt.Errorf("platform %s %s: %w", k.kind, k.path, err)
	}
	return nil
}

// send carries a call out and maps its failures.
func (c *Client) send(ctx context.Context, k call) error {
	var body []byte
	if k.body != nil {
		encoded, err := encodeObject(*k.body)
		if err != nil {
			return err
		}
		body = encoded
	}
	request := Request{
		Method: k.method, Path: k.path, Header: http.Header{zoneHeader: {c.zone}}, Body: body, Wait: k.wait,
		Change: k.kind.isChange(),
	}
	return c.transport.Send(ctx, request, func(status int, body io.Reader) error { return readAnswer(status, body, k) })
}

// encodeObject checks the size of an object and encodes it.
func encodeObject(o api.Object) ([]byte, error) {
	if len(o.Data) > MaxDataBytes {
		return nil, fmt.Errorf("%w: %d bytes of data", ErrTooLarge, len(o.Data))
	}
	encoded, err := json.Marshal(o)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrInvalid, err)
	}
	return encoded, nil
}

// readAnswer decodes an answer or the failure in it.
func readAnswer(status int, body io.Reader, k call) error {
	if status < 200 || status > 299 {
		return readFailure(status, body, k.kind)
	}
	if k.answer == nil {
		return nil
	}
	if err := json.NewDecoder(body).Decode(k.answer); err != nil {
		return Unanswered(k.kind.isChange(), err)
	}
	return nil
}

// readFailure maps an answer whose status is not 2xx. A status of 500 and above does not tell
// whether the change took effect.
func readFailure(status int, body io.Reader, kind callKind) error {
	var failure api.PlatformFailure
	// A body that is not a failure leaves only the status to go by.
	_ = json.NewDecoder(body).Decode(&failure)
	cause := fmt.Errorf("status %d: %s", status, failure.Message)
	if status >= http.StatusInternalServerError {
		return Unanswered(kind.isChange(), cause)
	}
	return fmt.Errorf("%w: %w", errorOf(status, failure), cause)
}
