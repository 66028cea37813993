package chaos

import (
	"context"
	"io"
	"net/http"
	"sync/atomic"
	"time"
)

// overdue counts the requests that were given up although their callers had
// waited for RecoveryTimeout. The load gives up what is open RecoveryTimeout after the last
// arrival; a caller who came back late had less, and is not counted.
type overdue struct {
	next  http.RoundTripper
	count atomic.Int64
}

// RoundTrip passes the request on.
func (o *overdue) RoundTrip(r *http.Request) (*http.Response, error) {
	w := &wait{owner: o, ctx: r.Context(), since: time.Now()}
	resp, err := o.next.RoundTrip(r)
	if err != nil {
		w.broke()
		return nil, err
	}
	w.ReadCloser = resp.Body
	resp.Body = w
	return resp, nil
}

// wait is one request's wait, and the body of its answer.
type wait struct {
	io.ReadCloser
	owner   *overdue
	ctx     context.Context
	since   time.Time
	counted bool
}

// Read reads from the answer.
func (w *wait) Read(p []byte) (int, error) {
	n, err := w.ReadCloser.Read(p)
	if err != nil && err != io.EOF {
		w.broke()
	}
	return n, err
}

// broke counts the request if it was given up.
func (w *wait) broke() {
	if w.counted || w.ctx.Err() == nil || time.Since(w.since) < RecoveryTimeout {
		return
	}
	w.counted = true
	w.owner.count.Add(1)
}
