package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"github.com/papayacove/papayacove/api"
)

// zoneHeader names the availability zone that a request comes from.
const zoneHeader = "X-Availability-Zone"

// maxAnswerBytes bounds an answer; a list of a kind holds many objects.
const maxAnswerBytes = 256 << 20

// maxDrainBytes is the rest of an answer that is read so that its connection can be reused.
const maxDrainBytes = 64 << 10

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
	ctx, cancel := context.WithTimeout(ctx, k.wait+c.timeout)
	defer cancel()
	var connected atomic.Bool
	traced := httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	request, err := c.newRequest(traced, k)
	if err != nil {
		return err
	}
	response, err := c.http.Do(request)
	if err != nil {
		c.dropIdleAfterTimeout(err)
		return unavailable(k.kind, connected.Load(), err)
	}
	defer response.Body.Close()
	if err := readAnswer(response, k); err != nil {
		c.dropIdleAfterTimeout(err)
		return err
	}
	return nil
}

// newRequest encodes a call.
func (c *Client) newRequest(ctx context.Context, k call) (*http.Request, error) {
	var body io.Reader
	if k.body != nil {
		encoded, err := encodeObject(*k.body)
		if err != nil {
			return nil, err
		}
		body = bytes.NewReader(encoded)
	}
	request, err := http.NewRequestWithContext(ctx, k.method, c.base+k.path, body)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrInvalid, err)
	}
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set(zoneHeader, c.zone)
	return request, nil
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
func readAnswer(response *http.Response, k call) error {
	body := io.LimitReader(response.Body, maxAnswerBytes)
	if response.StatusCode < 200 || response.StatusCode > 299 {
		return readFailure(response.StatusCode, body, k.kind)
	}
	if k.answer == nil {
		return nil
	}
	if err := json.NewDecoder(body).Decode(k.answer); err != nil {
		return unavailable(k.kind, true, err)
	}
	_, _ = io.CopyN(io.Discard, body, maxDrainBytes)
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
		return unavailable(kind, true, cause)
	}
	return fmt.Errorf("%w: %w", errorOf(status, failure), cause)
}

// unavailable wraps the cause of a missing answer. A change that may have been sent has an
// unknown outcome; a call that got no connection certainly had no effect.
func unavailable(kind callKind, sent bool, cause error) error {
	if kind.isChange() && sent {
		return fmt.Errorf("%w: %w: %w", ErrUnavailable, ErrOutcomeUnknown, cause)
	}
	return fmt.Errorf("%w: %w", ErrUnavailable, cause)
}

// dropIdleAfterTimeout closes the unused connections after a timeout: they may have gone
// silent together with the one that timed out, which net/http closes itself.
func (c *Client) dropIdleAfterTimeout(err error) {
	var timeout net.Error
	if errors.As(err, &timeout) && timeout.Timeout() {
		c.http.CloseIdleConnections()
	}
}
