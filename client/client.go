package client

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/go-faster/errors"

	"bergamotpin.example/bergamotpin/api"
)

const (
	// callTimeout limits the duration of a call other than a watch.
	callTimeout = 10 * time.Second
	// maxResponseBytes limits the size of the response to one call.
	maxResponseBytes = 64 << 20
	// maxEventBytes limits the size of one event of a watch.
	maxEventBytes = 4 * api.MaxObjectBytes
)

// ErrNotFound reports that there is no such resource.
var ErrNotFound = errors.New("client: no such resource")

// ErrInvalid reports a resource or request that failed validation.
var ErrInvalid = errors.New("client: invalid resource or request")

// ErrUncertain reports a write that may or may not have taken effect.
var ErrUncertain = errors.New("client: the write may or may not have taken effect")

// ErrUnavailable reports a call that the platform can't serve at present.
// Nothing was written.
var ErrUnavailable = errors.New("client: the platform is unavailable")

// ConflictError reports a write to a resource that has changed since it was
// read.
type ConflictError struct {
	// Current is the resource as it is now. Proposed is what the caller tried
	// to write.
	Current, Proposed api.Object
}

// Error returns the resource's name and both versions.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("conflict: %s %s is at version %d, but the write was based on version %d",
		e.Proposed.Kind, e.Proposed.Name, e.Current.SpecVersion, e.Proposed.Version)
}

// Client calls the operators' API of one instance. It is safe for concurrent
// use.
type Client struct {
	baseURL string
	token   string
	http    *http.Client
}

// New returns a client of the instance that serves its operators at address, an
// IP address and port. If token is empty, no Authorization header is sent.
func New(address, token string) *Client {
	return &Client{baseURL: "http://" + address, token: token, http: &http.Client{}}
}

// Get returns a resource.
func (c *Client) Get(ctx context.Context, kind api.Kind, name string) (api.Object, error) {
	var obj api.Object
	err := c.call(ctx, http.MethodGet, resourcePath(kind, name), nil, &obj)
	return obj, err
}

// List returns the resources of a kind.
func (c *Client) List(ctx context.Context, kind api.Kind) (api.List, error) {
	var list api.List
	err := c.call(ctx, http.MethodGet, "/api/"+url.PathEscape(string(kind)), nil, &list)
	return list, err
}

// Put writes a resource. If obj.Version is 0, it creates the resource.
// Otherwise it updates the resource, provided that obj.Version is still the
// current version. If dryRun is true, the resource is only validated.
func (c *Client) Put(ctx context.Context, obj api.Object, dryRun bool) (api.Object, error) {
	query := url.Values{"version": {strconv.FormatInt(obj.Version, 10)}}
	if dryRun {
		query.Set("dryRun", "true")
	}
	var written api.Object
	err := c.call(ctx, http.MethodPut, resourcePath(obj.Kind, obj.Name)+"?"+query.Encode(), obj.Spec, &written)
	var conflict *ConflictError
	if errors.As(err, &conflict) {
		conflict.Proposed = obj
	}
	return written, err
}

// Delete removes a resource, provided that obj.Version is still the current
// version.
func (c *Client) Delete(ctx context.Context, obj api.Object) error {
	query := url.Values{"version": {strconv.FormatInt(obj.Version, 10)}}
	err := c.call(ctx, http.MethodDelete, resourcePath(obj.Kind, obj.Name)+"?"+query.Encode(), nil, nil)
	var conflict *ConflictError
	if errors.As(err, &conflict) {
		conflict.Proposed = obj
	}
	return err
}

// Watch calls handle for each change after the version in the argument from. It
// returns when ctx ends, the stream breaks or handle returns an error.
func (c *Client) Watch(ctx context.Context, from int64, handle func(api.WatchEvent) error) error {
	resp, err := c.do(ctx, http.MethodGet, "/api/watch?from="+strconv.FormatInt(from, 10), nil)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	lines := bufio.NewScanner(resp.Body)
	lines.Buffer(nil, maxEventBytes)
	for lines.Scan() {
		var event api.WatchEvent
		if err := json.Unmarshal(lines.Bytes(), &event); err != nil {
			return errors.Wrap(err, "watch")
		}
		if err := handle(event); err != nil {
			return err
		}
	}
	return lines.Err()
}

// Explain returns the recorded explanations of the scheduling decisions for a
// request, or for all requests if request is "".
func (c *Client) Explain(ctx context.Context, request string) ([]api.Explanation, error) {
	var out []api.Explanation
	err := c.call(ctx, http.MethodGet, "/api/explain?"+url.Values{"request": {request}}.Encode(), nil, &out)
	return out, err
}

// resourcePath returns the URL path of a resource.
func resourcePath(kind api.Kind, name string) string {
	return "/api/" + url.PathEscape(string(kind)) + "/" + url.PathEscape(name)
}

// call makes a call within callTimeout. If out is not nil, it decodes the
// response into out.
func (c *Client) call(ctx context.Context, method, path string, body []byte, out any) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	resp, err := c.do(ctx, method, path, body)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if out == nil {
		return nil
	}
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxResponseBytes)).Decode(out); err != nil {
		return errors.Wrap(err, "decode response")
	}
	return nil
}

// do sends a request and returns the response. If the status of the response is
// 300 or above, it returns an error instead.
func (c *Client) do(ctx context.Context, method, path string, body []byte) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, method, c.baseURL+path, bytes.NewReader(body))
	if err != nil {
		return nil, errors.Wrap(err, "request")
	}
	if c.token != "" {
		req.Header.Set("Authorization", "Bearer "+c.token)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, errors.Wrap(err, "call")
	}
	if resp.StatusCode < http.StatusMultipleChoices {
		return resp, nil
	}
	defer resp.Body.Close()
	return nil, responseError(resp)
}

// responseError returns the error for a response whose status is not a success.
func responseError(resp *http.Response) error {
	var e api.ErrorResponse
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxResponseBytes)).Decode(&e); err != nil {
		return errors.Errorf("the operators' API returned status %s", resp.Status)
	}
	switch resp.StatusCode {
	case http.StatusConflict:
		conflict := &ConflictError{}
		if e.Current != nil {
			conflict.Current = *e.Current
		}
		return conflict
	case http.StatusNotFound:
		return errors.Wrap(ErrNotFound, e.Message)
	case http.StatusUnprocessableEntity, http.StatusBadRequest:
		return errors.Wrap(ErrInvalid, e.Message)
	case http.StatusBadGateway:
		return errors.Wrap(ErrUncertain, e.Message)
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		return errors.Wrap(ErrUnavailable, e.Message)
	default:
		return errors.New(e.Message)
	}
}
