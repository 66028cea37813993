package engineclient

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"time"

	"bergamotpin.example/bergamotpin/engineapi"
	"bergamotpin.example/bergamotpin/outcome"
)

const (
	// dialTimeout bounds the time until a connection stands.
	dialTimeout = time.Second
	// idleConnTimeout is how long an unused connection is kept.
	idleConnTimeout = 90 * time.Second
	// maxIdlePerHost bounds the unused connections to one server.
	maxIdlePerHost = 256
	// cancelTimeout bounds a cancel call.
	cancelTimeout = 2 * time.Second
	// errorBodyBytes bounds the body of a server's error answer.
	errorBodyBytes = 64 << 10
)

// SendError reports a request that got no usable answer.
type SendError struct {
	Reason outcome.Reason
	// NotStarted says that the server did not start the request.
	NotStarted bool
	// Status is the server's status, or 0 without an answer.
	Status int
	Err    error
}

// Error describes the failure.
func (e *SendError) Error() string {
	if e.Err != nil {
		return e.Reason.String() + ": " + e.Err.Error()
	}
	return e.Reason.String() + ": status " + strconv.Itoa(e.Status)
}

// Unwrap returns the cause.
func (e *SendError) Unwrap() error { return e.Err }

// ResponseError is an error answer that the server gave to the request itself,
// such as a prompt that is too long. It is passed on to the caller.
type ResponseError struct {
	Status      int
	ContentType string
	Body        []byte
}

// Error describes the answer.
func (e *ResponseError) Error() string { return "backend server answered " + strconv.Itoa(e.Status) }

// Request is one attempt.
type Request struct {
	Method string
	// Address is the server's IP number and port.
	Address string
	// Path is the path with its query.
	Path   string
	Header http.Header
	Body   []byte
}

// Client sends requests. It is safe for concurrent use.
type Client struct {
	transport *http.Transport
}

// NewClient returns a client that uses dial to connect, or TCP if dial is nil.
func NewClient(dial DialFunc) *Client {
	if dial == nil {
		dial = dialTCP
	}
	return &Client{transport: &http.Transport{
		DialContext:         dial,
		MaxIdleConnsPerHost: maxIdlePerHost,
		IdleConnTimeout:     idleConnTimeout,
		DisableCompression:  true,
	}}
}

// Close drops the idle connections.
func (c *Client) Close() { c.transport.CloseIdleConnections() }

// Do sends the request once and returns the answer's head. It returns
// *SendError if there is none. The caller closes the body.
func (c *Client) Do(ctx context.Context, r Request) (*http.Response, error) {
	connected := false
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected = true },
	})
	req, err := http.NewRequestWithContext(ctx, r.Method, "http://"+r.Address+r.Path, onceBody(r.Body))
	if err != nil {
		return nil, &SendError{Reason: outcome.BadRequest, NotStarted: true, Err: err}
	}
	if len(r.Body) > 0 {
		req.ContentLength = int64(len(r.Body))
	}
	for name, values := range r.Header {
		req.Header[name] = values
	}
	resp, err := c.transport.RoundTrip(req)
	if err != nil {
		return nil, &SendError{Reason: outcome.ServerUnreachable, NotStarted: !connected, Err: err}
	}
	return resp, nil
}

// onceBody hides the body's type, so that net/http can't rewind it and send
// the request again.
func onceBody(body []byte) io.ReadCloser {
	return struct{ io.ReadCloser }{io.NopCloser(bytes.NewReader(body))}
}

// checkStatus turns an answer other than 200 into an error and closes it.
func checkStatus(resp *http.Response) error {
	if resp.StatusCode == http.StatusOK {
		return nil
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, errorBodyBytes))
	if isAnswer(resp.StatusCode) {
		return &ResponseError{Status: resp.StatusCode, ContentType: resp.Header.Get("Content-Type"), Body: body}
	}
	if MayRetryElsewhere(resp) {
		return &SendError{Reason: outcome.ServerRefused, NotStarted: true, Status: resp.StatusCode, Err: err}
	}
	return &SendError{Reason: outcome.ServerError, Status: resp.StatusCode, Err: err}
}

// MayRetryElsewhere tells whether the server stated that it ran nothing and that the
// request itself is not at fault: another server may take it.
func MayRetryElsewhere(resp *http.Response) bool {
	return resp.Header.Get(engineapi.HeaderNotStarted) == "true" && !isAnswer(resp.StatusCode)
}

// isAnswer tells a verdict on the request from a failure of the server.
func isAnswer(status int) bool {
	return status >= 400 && status < 500 && status != http.StatusTooManyRequests && status != http.StatusRequestTimeout
}

// Cancel ends an attempt at the server. A failure is returned and harmless:
// the server drops the stream after its hold time.
func (c *Client) Cancel(ctx context.Context, address, attempt string) error {
	ctx, cancel := context.WithTimeout(ctx, cancelTimeout)
	defer cancel()
	resp, err := c.Do(ctx, Request{Method: http.MethodDelete, Address: address, Path: engineapi.PathStreams + attempt})
	if err != nil {
		return err
	}
	return resp.Body.Close()
}
