package objects

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"bergamotpin.example/bergamotpin/api"
)

// Watch hands each event after version from to handle, in order. It returns
// nil when the platform ends the stream, the error of handle, ErrCompacted if
// the platform no longer keeps that version, ErrUnavailable if the stream
// broke or was silent for WatchIdleTimeout, or the error of ctx.
func (c *Client) Watch(ctx context.Context, kinds []api.Kind, from int64, handle func(api.WatchEvent) error) error {
	c.Counters.Watches.Add(1)
	err := c.watch(ctx, kinds, from, handle)
	c.count(err)
	return err
}

func (c *Client) watch(parent context.Context, kinds []api.Kind, from int64, handle func(api.WatchEvent) error) error {
	ctx, cancel := context.WithCancel(parent)
	defer cancel()
	idle := time.AfterFunc(c.watchIdle, cancel)
	defer idle.Stop()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.base+watchPath(kinds, from), nil)
	if err != nil {
		return errors.Wrap(ErrInvalid, err.Error())
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return watchError(parent, err)
	}
	defer resp.Body.Close()
	if resp.StatusCode/100 != 2 {
		return answerError(resp, false)
	}
	touch := func() { idle.Reset(c.watchIdle) }
	return readEvents(parent, resp.Body, touch, handle)
}

// readEvents reads newline-delimited events until the stream ends.
func readEvents(ctx context.Context, r io.Reader, touch func(), handle func(api.WatchEvent) error) error {
	lines := bufio.NewScanner(r)
	lines.Buffer(make([]byte, 0, 4096), maxObjectAnswerBytes)
	for lines.Scan() {
		touch()
		if len(lines.Bytes()) == 0 {
			continue
		}
		var event api.WatchEvent
		if err := json.Unmarshal(lines.Bytes(), &event); err != nil {
			return errors.Wrap(ErrUnavailable, err.Error())
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
