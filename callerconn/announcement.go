package callerconn

import "net/http"

// AnnounceClose returns a handler like next whose responses say Connection: close if
// AnnounceFromNowOn or CloseWhenIdle was called before their header is written. The caller then sends its next
// request on another connection. The responses of next support http.ResponseController, but
// no other optional interface.
func (t *Tracker) AnnounceClose(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		next.ServeHTTP(&announcingWriter{ResponseWriter: w, tracker: t}, r)
	})
}

// announcingWriter sets the Connection field directly before the header is written.
type announcingWriter struct {
	http.ResponseWriter
	tracker     *Tracker
	wroteHeader bool
}

// WriteHeader implements http.ResponseWriter.
func (w *announcingWriter) WriteHeader(status int) {
	w.announce(status)
	w.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (w *announcingWriter) Write(p []byte) (int, error) {
	w.announce(http.StatusOK)
	return w.ResponseWriter.Write(p)
}

// Unwrap is used by http.ResponseController.
func (w *announcingWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

func (w *announcingWriter) announce(status int) {
	if w.wroteHeader {
		return
	}
	// A header with a status below 200 is not the response's.
	w.wroteHeader = status >= http.StatusOK
	if w.wroteHeader && w.tracker.isAnnouncing() {
		w.Header().Set("Connection", "close")
	}
}
