package objects

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"bergamotpin.example/bergamotpin/api"
)

// Defaults and limits of a client.
const (
	defaultCallTimeout      = 2 * time.Second
	defaultWatchIdleTimeout = 30 * time.Second
	defaultRetryAfter       = time.Second
	dialTimeout             = time.Second
	idleConnTimeout         = 90 * time.Second
	maxIdleConns            = 128
	// maxObjectResponseBytes bounds a response with one object. It is larger than
	// api.MaxObjectBytes, so that there is room for the object's other fields, such
	// as its status, and for JSON escapes.
	maxObjectResponseBytes = 4 * api.MaxObjectBytes
	maxListResponseBytes   = 64 << 20
	maxErrorResponseBytes  = maxObjectResponseBytes
)

// Options configures a Client. BaseURL is required. Every other field has a
// default. The default replaces a zero value.
type Options struct {
	// BaseURL is the URL of the platform, such as "http://10.0.0.1:8080".
	BaseURL string
	// HTTPClient sends the calls. It must not follow redirects of calls that write.
	// The default is NewHTTPClient(nil).
	HTTPClient *http.Client
	// CallTimeout bounds each call except a watch. The default is 2 s.
	CallTimeout time.Duration
	// WatchIdleTimeout bounds the time that a watch waits for the next line of its
	// response. A line holds an event or is empty; both kinds count. The default is
	// 30 s.
	WatchIdleTimeout time.Duration
}

// Counters counts calls (Calls) and watches (Watches). The other fields count the
// failures of calls and watches by error.
type Counters struct {
	Calls, Watches, Conflicts, RateLimited, Unavailable, Uncertain atomic.Int64
	// Unreadable counts objects in lists and events of watches that can't be read.
	Unreadable atomic.Int64
}

// Client calls the object API. It is safe for concurrent use.
type Client struct {
	// Counters may be read at any time.
	Counters Counters

	baseURL          string
	http             *http.Client
	timeout          time.Duration
	watchIdleTimeout time.Duration
}

// New returns a client without making a call.
func New(o Options) *Client {
	c := &Client{
		baseURL:          strings.TrimSuffix(o.BaseURL, "/"),
		http:             o.HTTPClient,
		timeout:          o.CallTimeout,
		watchIdleTimeout: o.WatchIdleTimeout,
	}
	if c.http == nil {
		c.http = NewHTTPClient(nil)
	}
	if c.timeout <= 0 {
		c.timeout = defaultCallTimeout
	}
	if c.watchIdleTimeout <= 0 {
		c.watchIdleTimeout = defaultWatchIdleTimeout
	}
	return c
}

// DialFunc opens a connection, like net.Dialer.DialContext.
type DialFunc = func(ctx context.Context, network, address string) (net.Conn, error)

// NewHTTPClient returns a client that follows no redirect and uses no proxy. It
// keeps enough idle connections for an instance's parallel calls, so that calls
// reuse connections. If dial is nil, the client connects over TCP.
func NewHTTPClient(dial DialFunc) *http.Client {
	if dial == nil {
		dial = (&net.Dialer{Timeout: dialTimeout}).DialContext
	}
	transport := &http.Transport{
		DialContext:         dial,
		MaxIdleConnsPerHost: maxIdleConns,
		IdleConnTimeout:     idleConnTimeout,
	}
	return &http.Client{Transport: transport, CheckRedirect: refuseRedirect}
}

// refuseRedirect makes an HTTP client return a redirect as the response.
func refuseRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// Get returns an object, or ErrNotFound. The result may be older than the last
// write.
func (c *Client) Get(ctx context.Context, kind api.Kind, name string) (api.Object, error) {
	var obj api.Object
	err := c.do(ctx, apiCall{method: http.MethodGet, path: objectPath(kind, name), maxResponseBytes: maxObjectResponseBytes}, &obj)
	return obj, err
}

// List returns all objects of a kind, but for those that can't be read. The result may be older
// than the last write.
func (c *Client) List(ctx context.Context, kind api.Kind) (api.List, error) {
	var list api.List
	path := api.PathObjects + url.PathEscape(string(kind))
	call := apiCall{method: http.MethodGet, path: path, maxResponseBytes: maxListResponseBytes}
	call.decode = func(raw []byte) error {
		unreadable, err := decodeList(raw, &list)
		c.Counters.Unreadable.Add(int64(unreadable))
		return err
	}
	err := c.do(ctx, call, nil)
	return list, err
}

// Create stores obj as a new object and returns it with its versions. It fails with
// ErrConflict if an object of the same kind and name exists.
func (c *Client) Create(ctx context.Context, obj api.Object) (api.Object, error) {
	return c.write(ctx, http.MethodPost, objectPath(obj.Kind, obj.Name), obj)
}

// Update replaces an object and returns it with its new versions. It fails with
// ErrConflict if the stored object's version is not obj.Version.
func (c *Client) Update(ctx context.Context, obj api.Object) (api.Object, error) {
	return c.write(ctx, http.MethodPut, versionedPath(obj.Kind, obj.Name, obj.Version), obj)
}

// Delete deletes an object. It fails with ErrConflict if the object's version is
// not the given one.
func (c *Client) Delete(ctx context.Context, kind api.Kind, name string, version int64) error {
	return c.do(ctx, apiCall{method: http.MethodDelete, path: versionedPath(kind, name, version), maxResponseBytes: maxObjectResponseBytes}, nil)
}

// Instances returns the platform's list of instances, which may be out of date.
func (c *Client) Instances(ctx context.Context) ([]api.ListedInstance, error) {
	var list []api.ListedInstance
	err := c.do(ctx, apiCall{method: http.MethodGet, path: api.PathInstances, maxResponseBytes: maxListResponseBytes}, &list)
	return list, err
}

// Register creates or replaces an instance's entry in the platform's list of
// instances.
func (c *Client) Register(ctx context.Context, inst api.ListedInstance) error {
	body, err := json.Marshal(inst)
	if err != nil {
		return errors.Wrap(err, "encode")
	}
	path := api.PathInstances + "/" + url.PathEscape(inst.Name)
	return c.do(ctx, apiCall{method: http.MethodPut, path: path, body: body, maxResponseBytes: maxObjectResponseBytes}, nil)
}

func (c *Client) write(ctx context.Context, method, path string, obj api.Object) (api.Object, error) {
	body, err := json.Marshal(obj)
	if err != nil {
		return api.Object{}, errors.Wrap(err, "encode")
	}
	var written api.Object
	err = c.do(ctx, apiCall{method: method, path: path, body: body, maxResponseBytes: maxObjectResponseBytes}, &written)
	return written, err
}

// apiCall is one request to the object API. If the request has no body, body is
// nil. If decode is set, it decodes the response instead of encoding/json.
type apiCall struct {
	method           string
	path             string
	body             []byte
	maxResponseBytes int64
	decode           func(raw []byte) error
}

func (c apiCall) isWrite() bool { return c.method != http.MethodGet }

// do sends the call, decodes a successful response into out, unless out is nil,
// and counts the call.
func (c *Client) do(ctx context.Context, call apiCall, out any) error {
	c.Counters.Calls.Add(1)
	err := c.send(ctx, call, out)
	c.countError(err)
	return err
}

// send sends the call and decodes the response. A write that failed without a
// connection can't have reached the platform, so it is not uncertain.
func (c *Client) send(ctx context.Context, call apiCall, out any) error {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	var gotConn atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { gotConn.Store(true) }}
	req, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), call.method, c.baseURL+call.path, bytes.NewReader(call.body))
	if err != nil {
		return errors.Wrap(ErrInvalid, err.Error())
	}
	if call.body != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return noResponseError(call.isWrite() && gotConn.Load(), err)
	}
	defer resp.Body.Close()
	if resp.StatusCode/100 != 2 {
		return responseError(resp, call.isWrite())
	}
	return decodeResponse(resp.Body, call, out)
}

func decodeResponse(body io.Reader, call apiCall, out any) error {
	raw, err := readBounded(body, call.maxResponseBytes)
	if err != nil {
		return noResponseError(call.isWrite(), err)
	}
	switch {
	case call.decode != nil:
		err = call.decode(raw)
	case out != nil:
		err = json.Unmarshal(raw, out)
	}
	if err != nil {
		return noResponseError(call.isWrite(), err)
	}
	return nil
}

// noResponseError returns the error of a call without a readable response. A write
// that was sent may have taken effect, so its error is ErrUncertain. The error of
// any other call is ErrUnavailable.
func noResponseError(sentWrite bool, cause error) error {
	if sentWrite {
		return errors.Wrap(ErrUncertain, cause.Error())
	}
	return errors.Wrap(ErrUnavailable, cause.Error())
}

// readBounded reads r to its end. It fails if r holds more than limit bytes. The
// operators' API passes the text of this error on, so the text must not change.
func readBounded(r io.Reader, limit int64) ([]byte, error) {
	raw, err := io.ReadAll(io.LimitReader(r, limit+1))
	if err != nil {
		return nil, err
	}
	if int64(len(raw)) > limit {
		return nil, errors.Errorf("answer above %d bytes", limit)
	}
	return raw, nil
}

// responseError returns the error for a response with a status other than 2xx. If
// the status of the response to a write is none of the known ones, the write is
// uncertain, unless the platform's error code says that the call was not executed.
func responseError(resp *http.Response, isWrite bool) error {
	raw, _ := readBounded(resp.Body, maxErrorResponseBytes)
	var body api.ErrorResponse
	// If the body does not decode, the status alone determines the error.
	_ = json.Unmarshal(raw, &body)
	switch resp.StatusCode {
	case http.StatusNotFound:
		return ErrNotFound
	case http.StatusConflict:
		return &ConflictError{Current: body.Current}
	case http.StatusGone:
		return ErrCompacted
	case http.StatusTooManyRequests:
		return &RateLimitedError{RetryAfter: retryAfter(resp)}
	case http.StatusBadRequest, http.StatusRequestEntityTooLarge, http.StatusUnprocessableEntity:
		return errors.Wrap(ErrInvalid, body.Message)
	}
	notExecuted := body.Code == api.CodeUnavailable
	return noResponseError(isWrite && !notExecuted, errors.Errorf("status %d: %s", resp.StatusCode, body.Message))
}

// retryAfter returns the duration in the Retry-After header. The header holds
// seconds. If the header is missing or invalid, retryAfter returns
// defaultRetryAfter.
func retryAfter(resp *http.Response) time.Duration {
	seconds, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
	if err != nil || seconds <= 0 {
		return defaultRetryAfter
	}
	return time.Duration(seconds * float64(time.Second))
}

// countError counts a failed call or watch by its error. It ignores nil and errors
// that have no counter.
func (c *Client) countError(err error) {
	switch {
	case errors.Is(err, ErrConflict):
		c.Counters.Conflicts.Add(1)
	case errors.Is(err, ErrRateLimited):
		c.Counters.RateLimited.Add(1)
	case errors.Is(err, ErrUnavailable):
		c.Counters.Unavailable.Add(1)
	case errors.Is(err, ErrUncertain):
		c.Counters.Uncertain.Add(1)
	}
}

func objectPath(kind api.Kind, name string) string {
	return api.PathObjects + url.PathEscape(string(kind)) + "/" + url.PathEscape(name)
}

func versionedPath(kind api.Kind, name string, version int64) string {
	return objectPath(kind, name) + "?version=" + strconv.FormatInt(version, 10)
}
