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
	// body is the object to send; nil for an empty body.
	body *api.Object
	// wait is the time for which the platform may delay the answer while nothing changes.
	wait time.Duration
	// decode decodes the answer; nil discards it.
	decode func(body []byte) error
}

// do carries out a call within the deadlines of the client and of ctx, and counts it and its failure.
func (c *Client) do(ctx context.Context, k call) error {
	c.counter.add(k.kind)
	err := c.send(ctx, k)
	if err != nil {
		failures.Add(k.kind.String(), 1)
		return fmt.Errorf("platform %s %s: %w", k.kind, k.path, err)
	}
	return nil
}

// send carries out a call and maps its failures to the errors of this package.
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
	return c.transport.Send(ctx, request, func(r Response) error { return decodeAnswer(r.Status, r.Body, k) })
}

// encodeObject encodes an object as JSON. It fails with ErrTooLarge if the data exceeds MaxDataBytes.
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

// decodeAnswer decodes the answer to a call, or the failure that it reports.
func decodeAnswer(status int, body io.Reader, k call) error {
	if status < 200 || status > 299 {
		return decodeFailure(status, body, k.kind)
	}
	if k.decode == nil {
		return nil
	}
	text, err := io.ReadAll(body)
	if err == nil {
		err = k.decode(text)
	}
	if err != nil {
		return NoAnswerError(k.kind.isChange(), err)
	}
	return nil
}

// decodeFailure maps an answer whose status is not 2xx to an error. A status of 500 and above
// leaves open whether a change took effect.
func decodeFailure(status int, body io.Reader, kind callKind) error {
	var failure api.PlatformFailure
	// If the body cannot be decoded, the status alone determines the error.
	_ = json.NewDecoder(body).Decode(&failure)
	cause := fmt.Errorf("status %d: %s", status, failure.Message)
	if status >= http.StatusInternalServerError {
		return NoAnswerError(kind.isChange(), cause)
	}
	return fmt.Errorf("%w: %w", errorOf(status, failure), cause)
}
