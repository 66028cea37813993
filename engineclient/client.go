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
	// dialTimeout is the time limit for opening a connection.
	dialTimeout = time.Second
	// idleConnTimeout is how long an unused connection is kept open.
	idleConnTimeout = 90 * time.Second
	// maxIdlePerServer is the largest number of unused connections that are kept
	// open to each server, for polls.
	maxIdlePerServer = 4
	// cancelTimeout is the time limit of a cancel request.
	cancelTimeout = 2 * time.Second
	// maxHeaderBytes bounds the header of a response. Small fields take about fourteen
	// times their bytes of memory.
	maxHeaderBytes = 16 << 10
	// maxErrorBodyBytes is the number of bytes read from the body of an error
	// response. Further bytes are ignored.
	maxErrorBodyBytes = 64 << 10
)

// SendError reports a request that could not be sent or got no response, or an
// error response that does not blame the request itself.
type SendError struct {
	Reason outcome.Reason
	// NotStarted is true if the server certainly did not start the request.
	NotStarted bool
	// Status is the HTTP status of the response, or 0 without a response.
	Status int
	// Err is the cause, or nil if Status says all.
	Err error
}

// Error returns the reason, followed by the cause or by the HTTP status.
func (e *SendError) Error() string {
	if e.Err != nil {
		return e.Reason.String() + ": " + e.Err.Error()
	}
	return e.Reason.String() + ": status " + strconv.Itoa(e.Status)
}

// Unwrap returns the cause, or nil if the HTTP status is all that is known.
func (e *SendError) Unwrap() error { return e.Err }

// ResponseError is an error response that blames the request itself, for example
// for a prompt that is too long. The response is passed on to the caller.
type ResponseError struct {
	Status      int
	ContentType string
	Body        []byte
}

// Error names the HTTP status of the response.
func (e *ResponseError) Error() string { return "backend server answered " + strconv.Itoa(e.Status) }

// Request is one HTTP request to a backend server.
type Request struct {
	Method string
	// Address is the server's IP address and port.
	Address string
	// Path is the URL path, including the query.
	Path   string
	Header http.Header
	Body   []byte
}

// Client sends requests to backend servers. It is safe for concurrent use.
type Client struct {
	// A response names no request, so that a late copy of one can't be told from the answer to
	// the next request on its connection. sends uses a connection for one request only; polls
	// keeps connections, because a wrong answer to a poll does no harm.
	sends, polls *http.Transport
}

// NewClient returns a client that connects with dial, or over TCP if dial is
// nil.
func NewClient(dial DialFunc) *Client {
	if dial == nil {
		dial = dialTCP
	}
	transport := func() *http.Transport {
		return &http.Transport{
			DialContext:            dial,
			MaxIdleConnsPerHost:    maxIdlePerServer,
			IdleConnTimeout:        idleConnTimeout,
			DisableCompression:     true,
			MaxResponseHeaderBytes: maxHeaderBytes,
		}
	}
	c := &Client{sends: transport(), polls: transport()}
	c.sends.DisableKeepAlives = true
	return c
}

// Close closes the idle connections.
func (c *Client) Close() { c.polls.CloseIdleConnections() }

// Do sends the request once, over a connection of its own, and returns the
// response as soon as the response's header has arrived. If there is no response,
// Do returns a *SendError, also for a status below 200, which is no final one.
// The caller closes the response's body. A body that ends
// with its connection is complete only if the whole request was written before.
func (c *Client) Do(ctx context.Context, r Request) (*http.Response, error) {
	return roundTrip(ctx, c.sends, r)
}

// Poll is like Do, but may use a connection that has carried another poll. The
// response may be a copy of that one's.
func (c *Client) Poll(ctx context.Context, r Request) (*http.Response, error) {
	return roundTrip(ctx, c.polls, r)
}

func roundTrip(ctx context.Context, transport *http.Transport, r Request) (*http.Response, error) {
	connected := false
	upload := &upload{ended: make(chan struct{})}
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn:      func(httptrace.GotConnInfo) { connected = true },
		WroteRequest: upload.end,
	})
	req, err := http.NewRequestWithContext(ctx, r.Method, "http://"+r.Address+r.Path, nonRewindableBody(r.Body))
	if err != nil {
		return nil, &SendError{Reason: outcome.BadRequest, NotStarted: true, Err: err}
	}
	if len(r.Body) > 0 {
		req.ContentLength = int64(len(r.Body))
	}
	for name, values := range r.Header {
		req.Header[name] = values
	}
	resp, err := transport.RoundTrip(req)
	if err != nil {
		return nil, &SendError{Reason: outcome.ServerUnreachable, NotStarted: !connected, Err: err}
	}
	if resp.StatusCode < http.StatusOK {
		// No http.ResponseWriter can pass such a status on as a final one. The error of closing is
		// of no interest: the connection is not used again.
		_ = resp.Body.Close()
		return nil, &SendError{Reason: outcome.ServerError, Status: resp.StatusCode}
	}
	if resp.Body != http.NoBody && resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 {
		resp.Body = &undelimitedBody{ReadCloser: resp.Body, ctx: ctx, upload: upload}
	}
	return resp, nil
}

// nonRewindableBody hides the body's type, so that net/http can't rewind the
// body and send the request a second time.
func nonRewindableBody(body []byte) io.ReadCloser {
	return struct{ io.ReadCloser }{io.NopCloser(bytes.NewReader(body))}
}

// checkStatus returns nil for status 200. For any other status it closes the
// response and returns a *ResponseError or a *SendError.
func checkStatus(resp *http.Response) error {
	if resp.StatusCode == http.StatusOK {
		return nil
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxErrorBodyBytes))
	if isRequestError(resp.StatusCode) {
		return &ResponseError{Status: resp.StatusCode, ContentType: resp.Header.Get("Content-Type"), Body: body}
	}
	if MayRetryElsewhere(resp) {
		return &SendError{Reason: outcome.ServerRefused, NotStarted: true, Status: resp.StatusCode, Err: err}
	}
	return &SendError{Reason: outcome.ServerError, Status: resp.StatusCode, Err: err}
}

// MayRetryElsewhere reports whether the server stated that it did not start the
// request, and the request itself is not to blame. Another server may then be
// able to process it.
func MayRetryElsewhere(resp *http.Response) bool {
	return resp.Header.Get(engineapi.HeaderNotStarted) == "true" && !isRequestError(resp.StatusCode)
}

// isRequestError reports whether a status blames the request itself and not the
// server.
func isRequestError(status int) bool {
	return status >= 400 && status < 500 && !outcome.PromisesNotRun(status)
}

// Cancel asks the server at the address to cancel an attempt. If the call fails,
// the server still cancels the attempt, but later: when the attempt's stream has
// been without a connection for the time in engineapi.HeaderHold.
func (c *Client) Cancel(ctx context.Context, address, attempt string) error {
	ctx, cancel := context.WithTimeout(ctx, cancelTimeout)
	defer cancel()
	resp, err := c.Do(ctx, Request{Method: http.MethodDelete, Address: address, Path: engineapi.PathStreams + attempt})
	if err != nil {
		return err
	}
	return resp.Body.Close()
}
