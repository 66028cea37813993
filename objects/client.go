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

const (
	defaultCallTimeout = 2 * time.Second
	defaultWatchIdle   = 30 * time.Second
	defaultRetryAfter  = time.Second
	dialTimeout        = time.Second
	idleConnTimeout    = 90 * time.Second
	maxIdleConns       = 128
	// maxObjectAnswerBytes leaves room for the envelope and for JSON escapes.
	maxObjectAnswerBytes = 4 * api.MaxObjectBytes
	maxListAnswerBytes   = 64 << 20
	maxErrorAnswerBytes  = maxObjectAnswerBytes
)

// Options sets up a Client. The zero value of a field takes its default.
type Options struct {
	// BaseURL is the platform's address, such as "http://10.0.0.1:8080".
	BaseURL string
	// HTTPClient carries the calls. It must not follow redirects of writes. Nil
	// means NewHTTPClient(nil).
	HTTPClient *http.Client
	// CallTimeout bounds each call but a watch.
	CallTimeout time.Duration
	// WatchIdleTimeout ends a watch on which no line came for that long.
	WatchIdleTimeout time.Duration
}

// Counters counts the calls of a Client by how they ended.
type Counters struct {
	Calls, Watches, Conflicts, RateLimited, Unavailable, Uncertain atomic.Int64
}

// Client calls the object API.
type Client struct {
	// Counters may be read at any time.
	Counters Counters

	base      string
	http      *http.Client
	timeout   time.Duration
	watchIdle time.Duration
}

// New returns a client. It makes no call.
func New(o Options) *Client {
	c := &Client{
		base:      strings.TrimSuffix(o.BaseURL, "/"),
		http:      o.HTTPClient,
		timeout:   o.CallTimeout,
		watchIdle: o.WatchIdleTimeout,
	}
	if c.http == nil {
		c.http = NewHTTPClient(nil)
	}
	if c.timeout <= 0 {
		c.timeout = defaultCallTimeout
	}
	if c.watchIdle <= 0 {
		c.watchIdle = defaultWatchIdle
	}
	return c
}

// DialFunc makes a connection, as net.Dialer.DialContext does.
type DialFunc = func(ctx context.Context, network, address string) (net.Conn, error)

// NewHTTPClient returns a client that follows no redirect, uses no proxy and
// keeps enough connections for all calls of an instance, so that none has to be
// made for each. A nil dial connects over TCP.
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

func refuseRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// Get returns an object. The answer may be older than the last write.
func (c *Client) Get(ctx context.Context, kind api.Kind, name string) (api.Object, error) {
	var obj api.Object
	err := c.do(ctx, call{method: http.MethodGet, path: objectPath(kind, name), limit: maxObjectAnswerBytes}, &obj)
	return obj, err
}

// List returns all objects of a kind. The answer may be older than the last
// write.
func (c *Client) List(ctx context.Context, kind api.Kind) (api.List, error) {
	var list api.List
	path := api.PathObjects + url.PathEscape(string(kind))
	err := c.do(ctx, call{method: http.MethodGet, path: path, limit: maxListAnswerBytes}, &list)
	return list, err
}

// Create stores obj if no object of its kind and name exists, and returns it
// with its versions. Otherwise it fails with ErrConflict.
func (c *Client) Create(ctx context.Context, obj api.Object) (api.Object, error) {
	return c.write(ctx, http.MethodPost, objectPath(obj.Kind, obj.Name), obj)
}

// Update replaces the object if its version is still obj.Version, and returns
// it with its new versions. Otherwise it fails with ErrConflict.
func (c *Client) Update(ctx context.Context, obj api.Object) (api.Object, error) {
	return c.write(ctx, http.MethodPut, versionedPath(obj.Kind, obj.Name, obj.Version), obj)
}

// Delete removes the object if it has the given version. Otherwise it fails
// with ErrConflict.
func (c *Client) Delete(ctx context.Context, kind api.Kind, name string, version int64) error {
	return c.do(ctx, call{method: http.MethodDelete, path: versionedPath(kind, name, version), limit: maxObjectAnswerBytes}, nil)
}

// Instances returns the platform's list of instances, which lags.
func (c *Client) Instances(ctx context.Context) ([]api.ListedInstance, error) {
	var list []api.ListedInstance
	err := c.do(ctx, call{method: http.MethodGet, path: api.PathInstances, limit: maxListAnswerBytes}, &list)
	return list, err
}

// Register puts an instance's own entry into the platform's list.
func (c *Client) Register(ctx context.Context, inst api.ListedInstance) error {
	body, err := json.Marshal(inst)
	if err != nil {
		return errors.Wrap(err, "encode")
	}
	path := api.PathInstances + "/" + url.PathEscape(inst.Name)
	return c.do(ctx, call{method: http.MethodPut, path: path, body: body, limit: maxObjectAnswerBytes}, nil)
}

func (c *Client) write(ctx context.Context, method, path string, obj api.Object) (api.Object, error) {
	body, err := json.Marshal(obj)
	if err != nil {
		return api.Object{}, errors.Wrap(err, "encode")
	}
	var written api.Object
	err = c.do(ctx, call{method: method, path: path, body: body, limit: maxObjectAnswerBytes}, &written)
	return written, err
}

// call is one request and the bound of its answer.
type call struct {
	method string
	path   string
	body   []byte
	limit  int64
}

func (k call) isWrite() bool { return k.method != http.MethodGet }

// do sends the call and decodes a successful answer into out, unless out is
// nil.
func (c *Client) do(ctx context.Context, k call, out any) error {
	c.Counters.Calls.Add(1)
	err := c.roundTrip(ctx, k, out)
	c.count(err)
	return err
}

func (c *Client) roundTrip(ctx context.Context, k call, out any) error {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	req, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), k.method, c.base+k.path, bytes.NewReader(k.body))
	if err != nil {
		return errors.Wrap(ErrInvalid, err.Error())
	}
	if k.body != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return lostAnswer(k.isWrite() && connected.Load(), err)
	}
	defer resp.Body.Close()
	if resp.StatusCode/100 != 2 {
		return answerError(resp, k.isWrite())
	}
	return decodeAnswer(resp.Body, k, out)
}

func decodeAnswer(body io.Reader, k call, out any) error {
	raw, err := readBounded(body, k.limit)
	if err != nil {
		return lostAnswer(k.isWrite(), err)
	}
	if out == nil {
		return nil
	}
	if err := json.Unmarshal(raw, out); err != nil {
		return lostAnswer(k.isWrite(), err)
	}
	return nil
}

// lostAnswer names a call without a readable answer. Only a write that was
// sent can have taken effect.
func lostAnswer(sentWrite bool, cause error) error {
	if sentWrite {
		return errors.Wrap(ErrUncertain, cause.Error())
	}
	return errors.Wrap(ErrUnavailable, cause.Error())
}

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

// answerError turns a failed answer into a named error.
func answerError(resp *http.Response, isWrite bool) error {
	raw, _ := readBounded(resp.Body, maxErrorAnswerBytes)
	var body api.Error
	// A body that does not decode leaves only the status to go by.
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
	notDone := body.Code == api.CodeUnavailable
	return lostAnswer(isWrite && !notDone, errors.Errorf("status %d: %s", resp.StatusCode, body.Message))
}

// retryAfter reads the standard header, in seconds.
func retryAfter(resp *http.Response) time.Duration {
	seconds, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
	if err != nil || seconds <= 0 {
		return defaultRetryAfter
	}
	return time.Duration(seconds * float64(time.Second))
}

func (c *Client) count(err error) {
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
