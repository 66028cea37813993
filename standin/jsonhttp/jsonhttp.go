// Package jsonhttp holds the HTTP helpers that the stand-ins share.
package jsonhttp

import (
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/go-faster/errors"
)

// ErrTooLarge reports a body over the bound.
var ErrTooLarge = errors.New("jsonhttp: body too large")

// WriteJSON writes v with the status. A broken connection is not reported: the
// caller notices it.
func WriteJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

// ReadBody reads the request's body of at most limit bytes. It fails with
// ErrTooLarge beyond that.
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

// DecodeJSON reads a JSON body of at most limit bytes into v and refuses unknown
// fields.
func DecodeJSON(r *http.Request, limit int64, v any) error {
	dec := json.NewDecoder(io.LimitReader(r.Body, limit))
	dec.DisallowUnknownFields()
	if err := dec.Decode(v); err != nil {
		return errors.Wrap(err, "decode")
	}
	return nil
}

// DropConnection ends the handler and closes the connection without an answer. It uses
// the abort that net/http documents for this purpose and does not return.
func DropConnection() {
	panic(http.ErrAbortHandler)
}

// Wait blocks for d. It reports false if one of the channels closed first.
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
