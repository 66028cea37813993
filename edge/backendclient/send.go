package backendclient

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"bergamotpin.example/bergamotpin/engineclient"
	"bergamotpin.example/bergamotpin/outcome"
)

const (
	// maxDirectWriteBytes is the size up to which a request fits into the socket
	// buffers. A longer request is written while the response is read, because the
	// response may arrive before the server has read the whole request.
	maxDirectWriteBytes = 8 << 10
	// maxMismatchedResponses is how many responses are read to find the one that
	// belongs to the request.
	maxMismatchedResponses = 3
	// maxHeaderBytes bounds the header of a response, together with the part of the body
	// that is read with it.
	maxHeaderBytes = 64 << 10
	// maxHeaderLines bounds its lines, together with those read with it: a field takes about a
	// hundred bytes of memory beside its text.
	maxHeaderLines = 256
	// maxMismatchedBytes bounds the body of a skipped response.
	maxMismatchedBytes = 1 << 20
)

// errMismatched reports a response that does not belong to the request.
var errMismatched = errors.New("the server responded to another request")

// errNoID reports a response without a request ID on a connection that has brought another
// response. It may be a copy of an earlier one, so that what it states of the request, above all
// that it was not run, does not hold.
var errNoID = errors.New("the response states no request ID, and the connection brought another response before")

// errInvalidStatus reports a response whose status is below 100, which http.ReadResponse
// accepts and no http.ResponseWriter can pass on.
var errInvalidStatus = errors.New("the response has no valid HTTP status")

// errHeaderTooLarge reports a response whose header does not end within maxHeaderBytes and
// maxHeaderLines.
var errHeaderTooLarge = errors.New("the header of the response exceeds the size limit")

// Counters counts the connections that a Client opened and reused, and the
// responses that did not belong to their request.
type Counters struct {
	Connected, Reused, Mismatched atomic.Int64
}

// Request is a request to a backend server.
type Request struct {
	Method string
	// Path is the path with its query, as the caller sent it.
	Path   string
	Host   string
	Header http.Header
	// Body is the body in parts that are sent one after the other. They are not copied, so they
	// must stay unchanged until the response is closed.
	Body [][]byte
	// IDHeader is the name of the header that holds the request ID, and ID its
	// value. A response with another ID belongs to another request.
	IDHeader string
	ID       string
	// AtMostOnce marks a request that must not be sent twice.
	AtMostOnce bool
	// HeaderDeadline is the time by which the header of the response must have arrived.
	// Deadline is the time by which the response must have ended.
	Deadline       time.Time
	HeaderDeadline time.Time
}

// Response is a server's response. Close must be called. The body is complete only
// if reading it ends with io.EOF. A response that ends with its connection does so only after the
// whole request was written.
type Response struct {
	*http.Response
	client *Client
	key    string
	conn   *connection
	// detach makes the connection stay open when the request's context ends later. It
	// returns false if the context has ended already.
	detach func() bool
	// written is closed when the request has been written, or writing it has failed with writeErr.
	written  chan struct{}
	writeErr error
	// readDeadline is the one that SetReadDeadline has set.
	readDeadline time.Time
	// complete is set once the body has been read to the end.
	complete bool
	// idleTimeout is for how long the connection may be idle after the response.
	idleTimeout time.Duration
	// kept is set once Close pooled the connection.
	kept bool
}

// Send sends a request and returns the response once its header was read. Errors are
// of type *engineclient.SendError.
func (c *Client) Send(ctx context.Context, s Server, req Request) (*Response, error) {
	conn, err := c.acquire(ctx, s, req.AtMostOnce)
	if err != nil {
		return nil, err
	}
	if conn.reused {
		c.Counters.Reused.Add(1)
	}
	resp := &Response{client: c, key: s.Key, conn: conn, written: make(chan struct{})}
	resp.detach = context.AfterFunc(ctx, func() {
		// Closing the connection makes the server stop working on the request, and
		// ends a pending read of the response.
		_ = conn.net.Close()
	})
	if err := conn.net.SetDeadline(req.HeaderDeadline); err != nil {
		resp.Close()
		return nil, &engineclient.SendError{Reason: outcome.ServerUnreachable, NotStarted: true, Err: err}
	}
	if err := resp.write(req); err != nil {
		resp.Close()
		return nil, &engineclient.SendError{Reason: outcome.ServerUnreachable, Err: err}
	}
	if err := resp.readHeader(req); err != nil {
		resp.Close()
		return nil, &engineclient.SendError{Reason: failureReason(ctx, err), Err: err}
	}
	conn.idleTimeout = idleTimeoutFrom(resp.Header)
	resp.idleTimeout = conn.idleTimeout
	if err := resp.SetReadDeadline(req.Deadline); err != nil {
		resp.Close()
		return nil, &engineclient.SendError{Reason: failureReason(ctx, err), Err: err}
	}
	return resp, nil
}

// SetReadDeadline sets the deadline for reading the response.
func (r *Response) SetReadDeadline(t time.Time) error {
	r.readDeadline = t
	return r.conn.net.SetReadDeadline(t)
}

// failureReason returns the reason for a failure to read the response.
func failureReason(ctx context.Context, err error) outcome.Reason {
	var timeout interface{ Timeout() bool }
	switch {
	case errors.Is(ctx.Err(), context.Canceled):
		return outcome.CallerLeft
	case ctx.Err() != nil, errors.As(err, &timeout) && timeout.Timeout():
		return outcome.ServerTimeout
	}
	return outcome.StreamCut
}

// write sends the request. It returns before a request of more than
// maxDirectWriteBytes is written, so that the response can be read meanwhile.
func (r *Response) write(req Request) error {
	head := encodeHead(req)
	if len(head)+bodyBytes(req.Body) <= maxDirectWriteBytes {
		defer close(r.written)
		for _, part := range req.Body {
			head = append(head, part...)
		}
		_, err := r.conn.net.Write(head)
		return err
	}
	message := append(net.Buffers{head}, req.Body...)
	go func() {
		defer close(r.written)
		_, r.writeErr = message.WriteTo(r.conn.net)
	}()
	return nil
}

// bodyBytes returns the length of a body.
func bodyBytes(parts [][]byte) int {
	n := 0
	for _, part := range parts {
		n += len(part)
	}
	return n
}

// encodeHead returns the head of the request in the form in which HTTP/1.1 sends it. There is room
// for a short body behind it.
func encodeHead(req Request) []byte {
	var b bytes.Buffer
	length := bodyBytes(req.Body)
	b.Grow(min(length, maxDirectWriteBytes) + 1024)
	b.WriteString(req.Method + " " + req.Path + " HTTP/1.1\r\nHost: " + req.Host + "\r\n")
	// Writing to a bytes.Buffer never fails.
	_ = req.Header.Write(&b)
	if length > 0 || req.Method != http.MethodGet && req.Method != http.MethodHead {
		b.WriteString("Content-Length: " + strconv.Itoa(length) + "\r\n")
	}
	b.WriteString("\r\n")
	return b.Bytes()
}

// readHeader reads the header of the response, skipping responses to other requests.
func (r *Response) readHeader(req Request) error {
	httpRequest := &http.Request{Method: req.Method}
	for range maxMismatchedResponses {
		r.conn.limit.beginHeader()
		resp, err := http.ReadResponse(r.conn.reader, httpRequest)
		r.conn.limit.endHeader()
		if err != nil {
			return err
		}
		if resp.StatusCode < http.StatusContinue {
			return errInvalidStatus
		}
		if resp.StatusCode/100 == 1 {
			continue
		}
		answered := r.conn.answered
		r.conn.answered = true
		id := resp.Header.Get(req.IDHeader)
		failedWithoutID := id == "" && resp.StatusCode/100 != 2
		switch {
		case failedWithoutID && answered:
			r.client.Counters.Mismatched.Add(1)
			return errNoID
		case id == req.ID, failedWithoutID:
			// Without an ID, it is the first response on the connection, so no copy of another.
			r.Response = resp
			return nil
		}
		r.client.Counters.Mismatched.Add(1)
		if err := discardBody(resp); err != nil {
			return err
		}
	}
	return errMismatched
}

// discardBody reads the body of a response that belongs to another request. It fails if
// the connection can't be used for further responses.
func discardBody(resp *http.Response) error {
	if resp.Close {
		return errMismatched
	}
	n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxMismatchedBytes))
	if err == nil && n == maxMismatchedBytes {
		err = errMismatched
	}
	return err
}

// Read reads from the body of the response.
func (r *Response) Read(p []byte) (int, error) {
	n, err := r.Body.Read(p)
	if err != io.EOF {
		return n, err
	}
	if err := r.checkEnd(); err != nil {
		return n, err
	}
	r.complete = true
	return n, io.EOF
}

// checkEnd returns an error if the end of the connection, which ends the response, may be a reset.
// The operating system reports a reset once: if a write of the rest of the request got it, the read
// sees a regular end.
func (r *Response) checkEnd() error {
	if r.Body == http.NoBody || r.ContentLength >= 0 || len(r.TransferEncoding) > 0 {
		return nil
	}
	timeout := time.NewTimer(time.Until(r.readDeadline))
	defer timeout.Stop()
	select {
	case <-r.written:
	case <-timeout.C:
		if !r.isWritten() {
			return errors.Wrap(os.ErrDeadlineExceeded, "the response ended while the request was being written")
		}
	}
	if r.writeErr == nil {
		return nil
	}
	return errors.Wrap(r.writeErr, "the connection ended while the request was being written")
}

// Close ends the use of the connection. The connection is pooled if the response was
// read to the end and the server keeps the connection open.
func (r *Response) Close() {
	detached := r.detach()
	reusable := detached && r.complete && !r.Response.Close && r.isWritten() && r.conn.reader.Buffered() == 0
	if reusable && r.conn.net.SetDeadline(time.Time{}) == nil {
		r.kept = true
		r.client.putIdle(r.key, r.conn)
		return
	}
	r.client.closeConnection(r.key, r.conn)
}

// ConnectionKept returns for how long the connection is kept for other requests after Close
// was called, or zero if it is not kept.
func (r *Response) ConnectionKept() time.Duration {
	if !r.kept {
		return 0
	}
	return r.idleTimeout
}

// isWritten reports whether the whole request was written. A server may respond before
// the request was written. If the connection were reused at that point, the server would
// read the rest of this request as the start of the next one.
func (r *Response) isWritten() bool {
	select {
	case <-r.written:
		return true
	default:
		return false
	}
}
