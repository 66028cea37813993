package operatorapi

import (
	"encoding/json"
	"io"
	"net/http"

	"github.com/go-faster/errors"

	"bergamotpin.example/bergamotpin/api"
	"bergamotpin.example/bergamotpin/objects"
)

// writeResult responds with v, or with the failure if err is not nil.
func writeResult(w http.ResponseWriter, v any, err error) {
	if err != nil {
		writeFailure(w, err)
		return
	}
	writeJSON(w, http.StatusOK, v)
}

// writeFailure responds with the status and the error code that belong to an
// error of the platform's object API.
func writeFailure(w http.ResponseWriter, err error) {
	var conflict *objects.ConflictError
	var limited *objects.RateLimitedError
	switch {
	case errors.As(err, &conflict):
		writeError(w, http.StatusConflict, api.ErrorResponse{Code: api.CodeConflict, Message: "the resource was changed meanwhile", Current: conflict.Current})
	case errors.Is(err, objects.ErrNotFound):
		writeError(w, http.StatusNotFound, api.ErrorResponse{Code: api.CodeNotFound, Message: "no such resource"})
	case errors.Is(err, objects.ErrCompacted):
		writeError(w, http.StatusGone, api.ErrorResponse{Code: api.CodeCompacted, Message: "the version is too old to watch from"})
	case errors.As(err, &limited):
		w.Header().Set("Retry-After", "1")
		writeError(w, http.StatusTooManyRequests, api.ErrorResponse{Code: api.CodeRateLimited, Message: "the platform takes no more calls now"})
	case errors.Is(err, objects.ErrUncertain):
		writeError(w, http.StatusBadGateway, api.ErrorResponse{Code: "uncertain", Message: "the platform did not answer: the write may have taken effect, read it before writing again"})
	default:
		w.Header().Set("Retry-After", "5")
		writeError(w, http.StatusServiceUnavailable, api.ErrorResponse{Code: api.CodeUnavailable, Message: err.Error()})
	}
}

func writeError(w http.ResponseWriter, status int, e api.ErrorResponse) { writeJSON(w, status, e) }

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// A write error means that the operator has disconnected.
	_ = json.NewEncoder(w).Encode(v)
}

func writeText(w http.ResponseWriter, status int, text string) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	w.WriteHeader(status)
	// A write error means that the operator has disconnected.
	_, _ = io.WriteString(w, text)
}
