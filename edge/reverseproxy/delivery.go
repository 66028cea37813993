package reverseproxy

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"os"
	"syscall"
	"time"

	"github.com/go-faster/errors"

	"bergamotpin.example/bergamotpin/outcome"
)

// flushResponse sends what was written of a response to the caller. It makes an error
// visible that net/http would drop if it sent the bytes after the handler's end.
func flushResponse(w http.ResponseWriter) error {
	err := http.NewResponseController(w).Flush()
	if errors.Is(err, http.ErrNotSupported) {
		// Only response writers in tests can't flush.
		return nil
	}
	return err
}

// writeErrorEnd returns how a caller's connection ended, from the error of a write to it.
func writeErrorEnd(err error) outcome.ConnectionEnd {
	switch {
	case errors.Is(err, net.ErrClosed):
		// A write fails so only if this process has closed the connection.
		return outcome.ClosedByInstance
	case errors.Is(err, os.ErrDeadlineExceeded):
		return outcome.NotReadByCaller
	case errors.Is(err, syscall.EPIPE), errors.Is(err, syscall.ECONNRESET):
		return outcome.ClosedByCaller
	}
	return outcome.OtherEnd
}

// connectionEnd returns how the connection of a request ended whose context was
// cancelled. net/http cancels it after any error of the connection, also if this process
// closed the connection itself. writeErr is the error of the last write to the caller, or
// nil if none failed.
func connectionEnd(w http.ResponseWriter, writeErr error, writeDeadline time.Time) outcome.ConnectionEnd {
	// The deadline is the one that is set already: only the error is of interest, which
	// says whether this process has closed the connection.
	if err := http.NewResponseController(w).SetWriteDeadline(writeDeadline); errors.Is(err, net.ErrClosed) {
		return outcome.ClosedByInstance
	}
	if writeErr != nil {
		return writeErrorEnd(writeErr)
	}
	return outcome.ClosedByCaller
}

// recordUndelivered counts and logs a complete response that could not be written to the
// caller. It does nothing if err is nil.
func (h *Handler) recordUndelivered(req *request, status int, err error) {
	if err == nil {
		return
	}
	end := writeErrorEnd(err)
	h.Metrics.CountUndelivered(end)
	h.Failures.Log(context.Background(), undeliveredLevel(end), "response not delivered", "request", req.id, "status", status,
		"connection", end.String(), "detail", err.Error(), "sends", req.sends, "elapsed_ms", time.Since(req.arrived).Milliseconds())
}

// undeliveredLevel returns the level of the log line of a response that was not
// delivered. A caller that leaves is no trouble of this instance.
func undeliveredLevel(end outcome.ConnectionEnd) slog.Level {
	if end == outcome.ClosedByCaller {
		return slog.LevelInfo
	}
	return slog.LevelWarn
}
