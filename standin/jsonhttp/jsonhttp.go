// Package jsonhttp provides HTTP helpers for the stand-ins.
package jsonhttp

import (
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/go-faster/errors"
)

// ErrTooLarge reports a request body over the size limit. Its text begins with a
// former name of this package, because the stand-ins send the text in responses.
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

// DecodeJSON decodes a JSON request body into v. It returns an error if the JSON
// value has unknown fields or is longer than limit bytes.
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

// Wait waits for the duration d and returns true. If one of the channels is
// closed earlier, Wait returns false at once. The channels signal that the caller
// left and that the server was closed.
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
