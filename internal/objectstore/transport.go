package objectstore

import (
	"bytes"
	"context"
	"crypto/tls"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync/atomic"
	"time"

	"github.com/papayacove/papayacove/internal/dialer"
)

// DefaultTimeout is the deadline of a call, without the time that a watch waits.
const DefaultTimeout = 2 * time.Second

// idleTimeout is the time after which an unused connection is closed.
const idleTimeout = 30 * time.Second

// maxIdleConnections bounds the unused connections of a client.
const maxIdleConnections = 4

// maxAnswerBytes bounds an answer; a list of a kind holds many objects.
const maxAnswerBytes = 256 << 20

// maxDrainBytes is the rest of an answer that is read so that its connection can be reused.
const maxDrainBytes = 64 << 10

// Transport sends the HTTP calls of an object store.
//
// Each call has a deadline. A connection whose call timed out is closed and all idle connections with
// it, because a connection may have gone silent for good while new ones work.
type Transport struct {
	base    atomic.Pointer[string]
	timeout time.Duration
	http    *http.Client
}

// Request is one call.
type Request struct {
	Method string
	// Path is escaped and includes the query.
	Path   string
	Header http.Header
	// Body is nil for none.
	Body []byte
	// Wait is the time that the store may hold the call back.
	Wait time.Duration
	// Change is true when the call may change an object.
	Change bool
}

// NewTransport returns a transport; it connects with the first call.
func NewTransport(options Options) *Transport {
	timeout := options.Timeout
	if timeout <= 0 {
		timeout = DefaultTimeout
	}
	t := &Transport{
		timeout: timeout,
		http:    &http.Client{Transport: newHTTPTransport(options), CheckRedirect: refuseRedirect},
	}
	t.SetURL(options.URL)
	return t
}

// SetURL changes the base URL of later calls.
func (t *Transport) SetURL(baseURL string) {
	base := strings.TrimRight(baseURL, "/")
	t.base.Store(&base)
}

// newHTTPTransport returns a transport that speaks HTTP/1.1 only: closing the connection of a
// call that timed out then ends no other call.
func newHTTPTransport(options Options) *http.Transport {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	dial := dialer.New(options.LocalAddress)
	transport := &http.Transport{
		DialContext:         dial.DialContext,
		Protocols:           protocols,
		MaxIdleConns:        maxIdleConnections,
		MaxIdleConnsPerHost: maxIdleConnections,
		IdleConnTimeout:     idleTimeout,
	}
	if options.TLS != nil {
		transport.DialTLSContext = func(ctx context.Context, network, address string) (net.Conn, error) {
			return (&tls.Dialer{NetDialer: dial, Config: options.TLS()}).DialContext(ctx, network, address)
		}
	}
	return transport
}

// refuseRedirect keeps a change from being sent more than once.
func refuseRedirect(*http.Request, []*http.Request) error {
	return http.ErrUseLastResponse
}

// Close closes the unused connections.
func (t *Transport) Close() {
	t.http.CloseIdleConnections()
}

// Send carries a call out within the deadline of the transport and of ctx, and gives the status and the body
// of its answer to read. A missing answer is ErrUnavailable, with ErrOutcomeUnknown when the call
// may have changed something. The error of read is returned as it is.
func (t *Transport) Send(ctx context.Context, r Request, read func(status int, body io.Reader) error) error {
	ctx, cancel := context.WithTimeout(ctx, r.Wait+t.timeout)
	defer cancel()
	var connected atomic.Bool
	traced := httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	request, err := t.newRequest(traced, r)
	if err != nil {
		return err
	}
	response, err := t.http.Do(request)
	if err != nil {
		t.dropIdleAfterTimeout(err)
		return Unanswered(r.Change && connected.Load(), err)
	}
	defer response.Body.Close()
	body := io.LimitReader(response.Body, maxAnswerBytes)
	if err := read(response.StatusCode, body); err != nil {
		t.dropIdleAfterTimeout(err)
		return err
	}
	_, _ = io.CopyN(io.Discard, body, maxDrainBytes)
	return nil
}

func (t *Transport) newRequest(ctx context.Context, r Request) (*http.Request, error) {
	var body io.Reader
	if r.Body != nil {
		body = bytes.NewReader(r.Body)
	}
	request, err := http.NewRequestWithContext(ctx, r.Method, *t.base.Load()+r.Path, body)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrInvalid, err)
	}
	if r.Header != nil {
		request.Header = r.Header
	}
	request.Header.Set("Content-Type", "application/json")
	return request, nil
}

// Unanswered wraps the cause of a missing answer. A change that may have been sent has an unknown
// outcome; any other call certainly had no effect.
func Unanswered(mayHaveChanged bool, cause error) error {
	if mayHaveChanged {
		return fmt.Errorf("%w: %w: %w", ErrUnavailable, ErrOutcomeUnknown, cause)
	}
	return fmt.Errorf("%w: %w", ErrUnavailable, cause)
}

// dropIdleAfterTimeout closes the unused connections after a timeout: they may have gone
// silent together with the one that timed out, which net/http closes itself.
func (t *Transport) dropIdleAfterTimeout(err error) {
	if dialer.IsTimeout(err) {
		t.http.CloseIdleConnections()
	}
}
