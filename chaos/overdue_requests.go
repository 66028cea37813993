package chaos

import (
	"context"
	"io"
	"net/http"
	"sync/atomic"
	"time"
)

// overdueCounter is a transport that counts overdue requests. A request is
// overdue if it is cancelled RecoveryTimeout or longer after it was sent. The
// load generator cancels all open requests RecoveryTimeout after the last
// arrival. A returning caller may send its request later than the last arrival;
// this request is then cancelled too early to be overdue.
type overdueCounter struct {
	next  http.RoundTripper
	count atomic.Int64
}

// RoundTrip sends the request with the next transport and tracks it until its
// response has been read.
func (c *overdueCounter) RoundTrip(r *http.Request) (*http.Response, error) {
	tracked := &trackedRequest{counter: c, ctx: r.Context(), sentAt: time.Now()}
	resp, err := c.next.RoundTrip(r)
	if err != nil {
		tracked.countIfOverdue()
		return nil, err
	}
	tracked.ReadCloser = resp.Body
	resp.Body = tracked
	return resp, nil
}

// trackedRequest tracks one request and wraps the body of its response.
type trackedRequest struct {
	io.ReadCloser
	counter    *overdueCounter
	ctx        context.Context
	sentAt     time.Time
	wasCounted bool
}

// Read reads from the response body. If the read fails with an error other than
// io.EOF, Read counts the request if it is overdue.
func (t *trackedRequest) Read(p []byte) (int, error) {
	n, err := t.ReadCloser.Read(p)
	if err != nil && err != io.EOF {
		t.countIfOverdue()
	}
	return n, err
}

// countIfOverdue counts the request if it is overdue. Further calls don't count
// the request again.
func (t *trackedRequest) countIfOverdue() {
	if t.wasCounted || t.ctx.Err() == nil || time.Since(t.sentAt) < RecoveryTimeout {
		return
	}
	t.wasCounted = true
	t.counter.count.Add(1)
}
