package platform

import (
	"net/http"

	"golang.org/x/time/rate"

	"bergamotpin.example/bergamotpin/api"
	"bergamotpin.example/bergamotpin/standin/jsonhttp"
)

// limitRead returns a handler that counts a read, applies outage, rate limit and
// latency to it, and then calls next.
func (s *Server) limitRead(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		s.updateCounters(func(c *Counters) { c.Reads++ })
		if s.admit(w, r, s.readLimiter) {
			next(w, r)
		}
	}
}

// limitWrite returns a handler that counts a write, applies outage, rate limit
// and latency to it, and then calls next.
func (s *Server) limitWrite(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		s.updateCounters(func(c *Counters) { c.Writes++ })
		if s.admit(w, r, s.writeLimiter) {
			next(w, r)
		}
	}
}

// admit applies outage, rate limit and latency to a call. It returns true if the
// call must be processed. It returns false if it has written an error response,
// the caller has left or the server is closed.
func (s *Server) admit(w http.ResponseWriter, r *http.Request, limit *rate.Limiter) bool {
	if !s.passOutage(w, r) {
		return false
	}
	if !limit.Allow() {
		s.updateCounters(func(c *Counters) { c.RateLimited++ })
		w.Header().Set("Retry-After", retryAfterSeconds)
		writeError(w, http.StatusTooManyRequests, api.CodeRateLimited, "over the rate of calls")
		return false
	}
	return jsonhttp.Wait(s.Faults().Latency.Std(), r.Context().Done(), s.closed)
}

// passOutage returns true if there is no outage. During a refusing outage it
// writes an error response and returns false. During a hanging outage it waits
// for the end of the outage; if the caller leaves or the server is closed
// earlier, it returns false.
func (s *Server) passOutage(w http.ResponseWriter, r *http.Request) bool {
	for {
		faults, faultsChanged := s.currentFaults()
		switch faults.Outage {
		case OutageNone:
			return true
		case OutageHang:
			if !s.awaitFaultsChange(r, faultsChanged) {
				return false
			}
		default:
			s.updateCounters(func(c *Counters) { c.Unavailable++ })
			writeError(w, http.StatusServiceUnavailable, api.CodeUnavailable, "outage")
			return false
		}
	}
}

// awaitFaultsChange waits until the faults change. If the caller leaves or the
// server is closed earlier, it returns false.
func (s *Server) awaitFaultsChange(r *http.Request, faultsChanged <-chan struct{}) bool {
	select {
	case <-faultsChanged:
		return true
	case <-r.Context().Done():
		return false
	case <-s.closed:
		return false
	}
}

// sendConfirmation writes the response to a write that took effect. With the
// fault LoseConfirmations it may drop the connection instead.
func (s *Server) sendConfirmation(w http.ResponseWriter, status int, v any) {
	if s.drawLostConfirmation() {
		jsonhttp.DropConnection()
	}
	jsonhttp.WriteJSON(w, status, v)
}

// drawLostConfirmation decides at random whether to drop the response to a write.
// It counts the dropped responses.
func (s *Server) drawLostConfirmation() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	fraction := s.faults.LoseConfirmations
	if fraction <= 0 || s.random.Float64() >= fraction {
		return false
	}
	s.counters.LostConfirmations++
	return true
}
