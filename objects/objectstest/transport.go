// Package objectstest serves an HTTP client by a handler in the same process.
//
// No socket is involved, so that it works under testing/synctest, where time
// is virtual. A handler that aborts drops the connection, as a server does.
package objectstest

import (
	"bytes"
	"io"
	"net/http"
	"net/http/httptrace"
	"sync"

	"github.com/go-faster/errors"
)

// errDropped reports that the handler aborted before it answered.
var errDropped = errors.New("objectstest: connection dropped")

// Transport carries each request to Handler. It is safe for concurrent use.
type Transport struct {
	Handler http.Handler
	// Intercept, if set, sees each request before the handler. An error of it
	// stands for a connection that could not be made.
	Intercept func(*http.Request) error
}

// Client returns an HTTP client that uses the transport.
func (t *Transport) Client() *http.Client { return &http.Client{Transport: t} }

// RoundTrip serves one request. It returns after the answer's head, or at the
// end of the request's context.
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
	served := req.Clone(req.Context())
	served.RequestURI = req.URL.RequestURI()
	served.Body = io.NopCloser(bytes.NewReader(body))
	w := newWriter()
	go w.serve(t.Handler, served)
	select {
	case <-w.headed:
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

// writer is the handler's side of one exchange.
type writer struct {
	header http.Header
	once   sync.Once
	headed chan struct{}
	status int // 0 if the handler aborted first
	reader *io.PipeReader
	pipe   *io.PipeWriter
}

func newWriter() *writer {
	r, p := io.Pipe()
	return &writer{header: make(http.Header), headed: make(chan struct{}), reader: r, pipe: p}
}

func (w *writer) serve(h http.Handler, req *http.Request) {
	stop := make(chan struct{})
	defer close(stop)
	go func() {
		select {
		case <-req.Context().Done():
			w.pipe.CloseWithError(req.Context().Err())
		case <-stop:
		}
	}()
	defer func() {
		switch cause := recover(); cause {
		case nil:
			w.head(http.StatusOK)
			w.pipe.Close()
		case http.ErrAbortHandler:
			w.head(0)
			w.pipe.CloseWithError(errDropped)
		default:
			panic(cause)
		}
	}()
	h.ServeHTTP(w, req)
}

func (w *writer) head(status int) {
	w.once.Do(func() {
		w.status = status
		close(w.headed)
	})
}

func (w *writer) response(req *http.Request) (*http.Response, error) {
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

// Header returns the answer's header.
func (w *writer) Header() http.Header { return w.header }

// WriteHeader sends the answer's head.
func (w *writer) WriteHeader(status int) { w.head(status) }

// Write returns after the client read p.
func (w *writer) Write(p []byte) (int, error) {
	w.head(http.StatusOK)
	return w.pipe.Write(p)
}

// FlushError does nothing: each write reaches the client at once.
func (w *writer) FlushError() error { return nil }
