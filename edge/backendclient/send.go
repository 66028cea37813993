package backendclient

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"bergamotpin.example/bergamotpin/engineclient"
	"bergamotpin.example/bergamotpin/outcome"
)

const (
	// directWriteBytes is what fits into the network's buffers: a longer
	// request is written beside the reading of its answer, which may come
	// before the server has read it all.
	directWriteBytes = 8 << 10
	// maxForeignAnswers is how many answers to other requests are read past.
	maxForeignAnswers = 3
	// maxForeignBytes bounds the body of one of these.
	maxForeignBytes = 1 << 20
)

// errForeign reports an answer that is not the request's.
var errForeign = errors.New("the server answered another request")

// Counters counts what a Client did.
type Counters struct {
	Connected, Reused, Mismatched atomic.Int64
}

// Request is one request as it goes to a server.
type Request struct {
	Method string
	// Path is the path with its query, as the caller sent it.
	Path   string
	Host   string
	Header http.Header
	Body   []byte
	// IDHeader is the header that holds the request's id, and ID the id. An
	// answer with another one is not this request's.
	IDHeader string
	ID       string
	// AtMostOnce marks a request that may not be sent twice.
	AtMostOnce bool
	// Deadline is when the answer's end must have come, and HeaderDeadline when its head
	// must.
	Deadline       time.Time
	HeaderDeadline time.Time
}

// Response is a server's answer. Close must be called. Its body is read whole
// only if reading it ends with io.EOF.
type Response struct {
	*http.Response
	client *Client
	key    string
	conn   *connection
	stop   func() bool
	// written is closed when the request has been written.
	written chan struct{}
	whole   bool
}

// Send sends a request and returns the head of its answer. It fails with
// *engine.SendError.
func (c *Client) Send(ctx context.Context, s Server, r Request) (*Response, error) {
	conn, err := c.take(ctx, s, r.AtMostOnce)
	if err != nil {
		return nil, err
	}
	if conn.used {
		c.Counters.Reused.Add(1)
	}
	a := &Response{client: c, key: s.Key, conn: conn, written: make(chan struct{})}
	a.stop = context.AfterFunc(ctx, func() {
		// Closing stops the server's work and the reader of its answer.
		_ = conn.net.Close()
	})
	if err := conn.net.SetDeadline(r.HeaderDeadline); err != nil {
		a.Close()
		return nil, &engineclient.SendError{Reason: outcome.ServerUnreachable, NotStarted: true, Err: err}
	}
	if err := a.write(r); err != nil {
		a.Close()
		return nil, &engineclient.SendError{Reason: outcome.ServerUnreachable, Err: err}
	}
	if err := a.readHead(r); err != nil {
		a.Close()
		return nil, &engineclient.SendError{Reason: readFailure(ctx, err), Err: err}
	}
	conn.keep = keepFor(a.Header)
	if err := a.SetReadDeadline(r.Deadline); err != nil {
		a.Close()
		return nil, &engineclient.SendError{Reason: readFailure(ctx, err), Err: err}
	}
	return a, nil
}

// SetReadDeadline sets until when the next bytes of the answer are waited for.
func (a *Response) SetReadDeadline(t time.Time) error { return a.conn.net.SetReadDeadline(t) }

func readFailure(ctx context.Context, err error) outcome.Reason {
	var timeout interface{ Timeout() bool }
	switch {
	case errors.Is(ctx.Err(), context.Canceled):
		return outcome.CallerLeft
	case ctx.Err() != nil, errors.As(err, &timeout) && timeout.Timeout():
		return outcome.ServerTimeout
	}
	return outcome.StreamCut
}

// write sends the request, a long one beside the reading of the answer.
func (a *Response) write(r Request) error {
	message := encode(r)
	if len(message) <= directWriteBytes {
		defer close(a.written)
		_, err := a.conn.net.Write(message)
		return err
	}
	go func() {
		defer close(a.written)
		// A write that fails shows at the reader, or the answer is already there.
		_, _ = a.conn.net.Write(message)
	}()
	return nil
}

func encode(r Request) []byte {
	var b bytes.Buffer
	b.Grow(len(r.Body) + 1024)
	b.WriteString(r.Method + " " + r.Path + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	// Writing to a buffer never fails.
	_ = r.Header.Write(&b)
	if len(r.Body) > 0 || r.Method != http.MethodGet && r.Method != http.MethodHead {
		b.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	b.WriteString("\r\n")
	b.Write(r.Body)
	return b.Bytes()
}

// readHead reads the head of the request's own answer.
func (a *Response) readHead(r Request) error {
	asked := &http.Request{Method: r.Method}
	for range maxForeignAnswers {
		resp, err := http.ReadResponse(a.conn.reader, asked)
		if err != nil {
			return err
		}
		if resp.StatusCode/100 == 1 {
			continue
		}
		id := resp.Header.Get(r.IDHeader)
		if id == r.ID || id == "" && resp.StatusCode/100 != 2 {
			a.Response = resp
			return nil
		}
		a.client.Counters.Mismatched.Add(1)
		if err := skip(resp); err != nil {
			return err
		}
	}
	return errForeign
}

// skip reads past an answer to another request.
func skip(resp *http.Response) error {
	if resp.Close {
		return errForeign
	}
	n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxForeignBytes))
	if err == nil && n == maxForeignBytes {
		err = errForeign
	}
	return err
}

// Read reads the body.
func (a *Response) Read(p []byte) (int, error) {
	n, err := a.Body.Read(p)
	if err == io.EOF {
		a.whole = true
	}
	return n, err
}

// Close ends the exchange. The connection is kept if the answer was read whole
// and the server goes on to use it.
func (a *Response) Close() {
	stopped := a.stop()
	reusable := stopped && a.whole && !a.Response.Close && a.isWritten() && a.conn.reader.Buffered() == 0
	if reusable && a.conn.net.SetDeadline(time.Time{}) == nil {
		a.client.keep(a.key, a.conn)
		return
	}
	a.client.drop(a.key, a.conn)
}

// isWritten reports whether the whole request was written. A server may answer
// before, and would read the rest as the next request.
func (a *Response) isWritten() bool {
	select {
	case <-a.written:
		return true
	default:
		return false
	}
}
