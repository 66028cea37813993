// Package objectstest connects an HTTP client to a handler in the same process.
//
// It uses no socket, so that it works under testing/synctest, where time is
// virtual. A handler that panics with http.ErrAbortHandler drops the connection,
// as in a real server.
package objectstest

import (
	"bytes"
	"io"
	"net/http"
	"net/http/httptrace"
	"sync"

	"github.com/go-faster/errors"
)

// errDropped reports that the handler aborted before it finished its response.
var errDropped = errors.New("objectstest: connection dropped")

// Transport passes each request to Handler. It is safe for concurrent use.
type Transport struct {
	Handler http.Handler
	// Intercept, if set, gets each request before the handler. If it returns an
	// error, the request fails as if no connection could be made.
	Intercept func(*http.Request) error
}

// Client returns an HTTP client that uses the transport.
func (t *Transport) Client() *http.Client { return &http.Client{Transport: t} }

// RoundTrip passes one request to the handler. It returns when the handler has sent
// the response header, or when the request's context ends.
func (t *Transport) RoundTrip(req *http.Request) (*http.Response, error) {
	if t.Intercept != nil {
		if err := t.Intercept(req); err != nil {
			return nil, err
		}
	}
	if trace := httptrace.ContextClientTrace(req.Context()); trace != nil && trace.GotConn != nil {
		trace.GotConn(httptrace.GotConnInfo{})
	}
	body, err := readBody(req)
	if err != nil {
		return nil, err
	}
	handlerReq := req.Clone(req.Context())
	handlerReq.RequestURI = req.URL.RequestURI()
	handlerReq.Body = io.NopCloser(bytes.NewReader(body))
	w := newResponseWriter()
	go w.serve(t.Handler, handlerReq)
	select {
	case <-w.headerSent:
		return w.response(req)
	case <-req.Context().Done():
		return nil, req.Context().Err()
	}
}

func readBody(req *http.Request) ([]byte, error) {
	if req.Body == nil {
		return nil, nil
	}
	defer req.Body.Close()
	return io.ReadAll(req.Body)
}

// responseWriter is the http.ResponseWriter of one request. The body reaches the
// client through a pipe.
type responseWriter struct {
	header     http.Header
	headerOnce sync.Once
	headerSent chan struct{}
	status     int // 0 if the handler aborted before it sent a header
	reader     *io.PipeReader
	pipe       *io.PipeWriter
}

func newResponseWriter() *responseWriter {
	r, p := io.Pipe()
	return &responseWriter{header: make(http.Header), headerSent: make(chan struct{}), reader: r, pipe: p}
}

// serve runs the handler and ends the response body when the handler returns or
// aborts, or when the request's context ends.
func (w *responseWriter) serve(h http.Handler, req *http.Request) {
	done := make(chan struct{})
	defer close(done)
	go func() {
		select {
		case <-req.Context().Done():
			w.pipe.CloseWithError(req.Context().Err())
		case <-done:
		}
	}()
	defer func() {
		switch cause := recover(); cause {
		case nil:
			w.sendHeader(http.StatusOK)
			w.pipe.Close()
		case http.ErrAbortHandler:
			w.sendHeader(0)
			w.pipe.CloseWithError(errDropped)
		default:
			panic(cause)
		}
	}()
	h.ServeHTTP(w, req)
}

// sendHeader sets the status and lets RoundTrip return. Only the first call counts.
func (w *responseWriter) sendHeader(status int) {
	w.headerOnce.Do(func() {
		w.status = status
		close(w.headerSent)
	})
}

func (w *responseWriter) response(req *http.Request) (*http.Response, error) {
	if w.status == 0 {
		return nil, errDropped
	}
	return &http.Response{
		Status:     http.StatusText(w.status),
		StatusCode: w.status,
		Proto:      "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		Header:  w.header.Clone(),
		Body:    w.reader,
		Request: req,
	}, nil
}

// Header returns the response header.
func (w *responseWriter) Header() http.Header { return w.header }

// WriteHeader sends the response header with the given status.
func (w *responseWriter) WriteHeader(status int) { w.sendHeader(status) }

// Write passes p to the client. It returns when the client has read all of it.
func (w *responseWriter) Write(p []byte) (int, error) {
	w.sendHeader(http.StatusOK)
	return w.pipe.Write(p)
}

// FlushError does nothing, because Write does not buffer.
func (w *responseWriter) FlushError() error { return nil }
