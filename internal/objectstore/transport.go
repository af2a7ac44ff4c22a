package objectstore

import (
	"bytes"
	"context"
	"crypto/tls"
	"errors"
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

// DefaultTimeout is the deadline of a call, not counting the time that a watch waits.
const DefaultTimeout = 2 * time.Second

// idleTimeout is the time after which an idle connection is closed.
const idleTimeout = 30 * time.Second

// maxIdleConnections is the maximum number of idle connections of a client.
const maxIdleConnections = 4

// maxAnswerBytes is the maximum size of an answer. It is large because the list of a kind can hold many objects.
const maxAnswerBytes = 256 << 20

// maxDrainBytes is the maximum size of the rest of an answer that is read so that its connection can be reused.
const maxDrainBytes = 64 << 10

// Transport sends the HTTP calls of an object store.
//
// Each call has a deadline. When a call times out, its connection and all idle connections are closed,
// because existing connections may be half-open while new ones work. A closed connection is reset, so that a request that
// has not arrived is not delivered later.
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
	// Body is the content to send; nil for an empty body.
	Body []byte
	// Wait is the time for which the store may delay the answer while nothing changes.
	Wait time.Duration
	// Change is true if the call may change an object.
	Change bool
}

// Response is the answer to a Request.
type Response struct {
	Status int
	Header http.Header
	Body   io.Reader
}

// NewTransport returns a transport, which connects at its first call.
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

// SetURL sets the base URL of later calls. It is safe for concurrent use.
func (t *Transport) SetURL(baseURL string) {
	base := strings.TrimRight(baseURL, "/")
	t.base.Store(&base)
}

// newHTTPTransport returns a transport that uses HTTP/1.1 only: a connection then carries one call
// at a time, and closing the connection of a call that timed out ends no other call.
func newHTTPTransport(options Options) *http.Transport {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	dial := dialer.New(options.LocalAddress)
	transport := &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			return resetAtClose(dial.DialContext(ctx, network, address))
		},
		Protocols:           protocols,
		MaxIdleConns:        maxIdleConnections,
		MaxIdleConnsPerHost: maxIdleConnections,
		IdleConnTimeout:     idleTimeout,
	}
	if options.TLS != nil {
		transport.DialTLSContext = func(ctx context.Context, network, address string) (net.Conn, error) {
			return resetAtClose((&tls.Dialer{NetDialer: dial, Config: options.TLS()}).DialContext(ctx, network, address))
		}
	}
	return transport
}

// resetAtClose makes the close of a new connection reset it, also the close by net/http after a timeout. Otherwise the
// kernel goes on sending a request that a partition holds up, and it is carried out after it.
func resetAtClose(conn net.Conn, err error) (net.Conn, error) {
	if err != nil {
		return nil, err
	}
	stream := conn
	if encrypted, ok := conn.(*tls.Conn); ok {
		stream = encrypted.NetConn()
	}
	if tcp, ok := stream.(*net.TCPConn); ok {
		if err := tcp.SetLinger(0); err != nil {
			return nil, errors.Join(err, conn.Close())
		}
	}
	return conn, nil
}

// refuseRedirect stops the client from following redirects, so that a change is sent only once.
func refuseRedirect(*http.Request, []*http.Request) error {
	return http.ErrUseLastResponse
}

// Close closes the idle connections.
func (t *Transport) Close() {
	t.http.CloseIdleConnections()
}

// Send carries out a call within the deadlines of the transport and of ctx, and passes its answer to read. If no answer arrives it fails with ErrUnavailable, and also with ErrOutcomeUnknown if
// the call may have changed an object. The error of read is returned unchanged.
func (t *Transport) Send(ctx context.Context, r Request, read func(Response) error) error {
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
		return NoAnswerError(r.Change && connected.Load(), err)
	}
	defer response.Body.Close()
	body := io.LimitReader(response.Body, maxAnswerBytes)
	if err := read(Response{response.StatusCode, response.Header, body}); err != nil {
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

// NoAnswerError returns an error for a call without an answer, or with one that leaves its outcome open. It wraps
// ErrUnavailable and the cause. If the call may have changed an object, the error also wraps ErrOutcomeUnknown; any
// other call certainly had no effect.
func NoAnswerError(mayHaveChanged bool, cause error) error {
	if mayHaveChanged {
		return fmt.Errorf("%w: %w: %w", ErrUnavailable, ErrOutcomeUnknown, cause)
	}
	return fmt.Errorf("%w: %w", ErrUnavailable, cause)
}

// dropIdleAfterTimeout closes the idle connections after a timeout: they may be half-open like the
// connection that timed out, which net/http closes itself.
func (t *Transport) dropIdleAfterTimeout(err error) {
	if dialer.IsTimeout(err) {
		t.http.CloseIdleConnections()
	}
}
