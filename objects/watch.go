package objects

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"bergamotpin.example/bergamotpin/api"
)

// Watch calls handle, in order, for each event on objects of the given kinds. It
// starts after the version in the argument from. If the platform ends the stream,
// Watch returns nil. If handle fails, Watch returns the error of handle. If the
// platform no longer keeps all events after the start version, Watch returns
// ErrCompacted. If the stream breaks or brings no line for WatchIdleTimeout, Watch
// returns ErrUnavailable. If ctx ends, Watch returns the error of ctx. If the
// platform refuses the call, Watch returns the error for the response.
func (c *Client) Watch(ctx context.Context, kinds []api.Kind, from int64, handle func(api.WatchEvent) error) error {
	c.Counters.Watches.Add(1)
	err := c.watch(ctx, kinds, from, handle)
	c.countError(err)
	return err
}

func (c *Client) watch(parent context.Context, kinds []api.Kind, from int64, handle func(api.WatchEvent) error) error {
	ctx, cancel := context.WithCancel(parent)
	defer cancel()
	idleTimer := time.AfterFunc(c.watchIdleTimeout, cancel)
	defer idleTimer.Stop()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.baseURL+watchPath(kinds, from), nil)
	if err != nil {
		return errors.Wrap(ErrInvalid, err.Error())
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return watchError(parent, err)
	}
	defer resp.Body.Close()
	if resp.StatusCode/100 != 2 {
		return responseError(resp, false)
	}
	resetIdleTimer := func() { idleTimer.Reset(c.watchIdleTimeout) }
	return c.readEvents(parent, resp.Body, resetIdleTimer, handle)
}

// readEvents calls handle for each event of a newline-delimited stream until the
// stream ends or handle fails. It calls resetIdleTimer for each line. An empty line
// holds no event but also resets the timer. An event whose object can't be read is counted and
// left out.
func (c *Client) readEvents(ctx context.Context, r io.Reader, resetIdleTimer func(), handle func(api.WatchEvent) error) error {
	lines := bufio.NewScanner(r)
	lines.Buffer(make([]byte, 0, 4096), maxObjectResponseBytes)
	for lines.Scan() {
		resetIdleTimer()
		if len(lines.Bytes()) == 0 {
			continue
		}
		event, err := decodeEvent(bytes.Clone(lines.Bytes()))
		if err != nil && event.Type == "" {
			return errors.Wrap(ErrUnavailable, err.Error())
		}
		if err != nil {
			c.Counters.Unreadable.Add(1)
			continue
		}
		if err := handle(event); err != nil {
			return err
		}
	}
	if err := lines.Err(); err != nil {
		return watchError(ctx, err)
	}
	return ctx.Err()
}

// If ctx has ended, watchError returns the error of ctx. Otherwise it returns
// ErrUnavailable with the cause.
func watchError(ctx context.Context, cause error) error {
	if err := ctx.Err(); err != nil {
		return err
	}
	return errors.Wrap(ErrUnavailable, cause.Error())
}

func watchPath(kinds []api.Kind, from int64) string {
	names := make([]string, len(kinds))
	for i, k := range kinds {
		names[i] = url.QueryEscape(string(k))
	}
	return api.PathWatch + "?kinds=" + strings.Join(names, ",") + "&from=" + strconv.FormatInt(from, 10)
}
