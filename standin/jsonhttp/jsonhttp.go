// Package jsonhttp provides HTTP helpers for the stand-ins.
package jsonhttp

import (
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/go-faster/errors"
)

// ErrTooLarge reports a request body over the size limit. The stand-ins send its
// text in responses, so it keeps the former name of this package.
var ErrTooLarge = errors.New("reply: body too large")

// WriteJSON writes a response with v as its JSON body. Write errors are ignored,
// because the client notices the broken connection itself.
func WriteJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

// ReadBody reads a request body of at most limit bytes. It returns ErrTooLarge
// if the body is longer.
func ReadBody(r *http.Request, limit int64) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(r.Body, limit+1))
	if err != nil {
		return nil, errors.Wrap(err, "read body")
	}
	if int64(len(body)) > limit {
		return nil, ErrTooLarge
	}
	return body, nil
}

// DecodeJSON decodes a JSON request body into v. It returns an error if the
// body has unknown fields or does not end within limit bytes.
func DecodeJSON(r *http.Request, limit int64, v any) error {
	dec := json.NewDecoder(io.LimitReader(r.Body, limit))
	dec.DisallowUnknownFields()
	if err := dec.Decode(v); err != nil {
		return errors.Wrap(err, "decode")
	}
	return nil
}

// DropConnection aborts the handler and closes the connection without
// completing the response. It panics with http.ErrAbortHandler, which net/http
// provides for this purpose, and does not return.
func DropConnection() {
	panic(http.ErrAbortHandler)
}

// Wait waits for d and returns true. It returns false if one of the channels is
// closed first.
func Wait(d time.Duration, caller, server <-chan struct{}) bool {
	if d <= 0 {
		return true
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-caller:
		return false
	case <-server:
		return false
	}
}
