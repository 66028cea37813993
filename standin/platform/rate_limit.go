package platform

import (
	"net/http"

	"golang.org/x/time/rate"

	"bergamotpin.example/bergamotpin/api"
	"bergamotpin.example/bergamotpin/standin/jsonhttp"
)

// read counts, limits and delays a read, and applies an outage to it.
func (s *Server) read(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		s.count(func(c *Counters) { c.Reads++ })
		if s.pass(w, r, s.reads) {
			next(w, r)
		}
	}
}

// write counts, limits and delays a write, and applies an outage to it.
func (s *Server) write(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		s.count(func(c *Counters) { c.Writes++ })
		if s.pass(w, r, s.writes) {
			next(w, r)
		}
	}
}

// pass reports whether the call may go on. Otherwise it has been answered or
// its caller left.
func (s *Server) pass(w http.ResponseWriter, r *http.Request, limit *rate.Limiter) bool {
	if !s.available(w, r) {
		return false
	}
	if !limit.Allow() {
		s.count(func(c *Counters) { c.Limited++ })
		w.Header().Set("Retry-After", retryAfter)
		fail(w, http.StatusTooManyRequests, api.CodeRateLimited, "over the rate of calls")
		return false
	}
	return jsonhttp.Wait(s.Faults().Latency.Std(), r.Context().Done(), s.closed)
}

// available applies an outage: it refuses the call, or holds it until the
// outage ends.
func (s *Server) available(w http.ResponseWriter, r *http.Request) bool {
	for {
		faults, switched := s.faultsAndSwitch()
		switch faults.Outage {
		case OutageNone:
			return true
		case OutageHang:
			if !s.hang(r, switched) {
				return false
			}
		default:
			s.count(func(c *Counters) { c.Unavailable++ })
			fail(w, http.StatusServiceUnavailable, api.CodeUnavailable, "outage")
			return false
		}
	}
}

// hang waits for the faults to change. It reports false if the caller left or
// the server closed.
func (s *Server) hang(r *http.Request, switched <-chan struct{}) bool {
	select {
	case <-switched:
		return true
	case <-r.Context().Done():
		return false
	case <-s.closed:
		return false
	}
}

// confirm answers a write that took effect, or drops the connection if the
// fault says so.
func (s *Server) confirm(w http.ResponseWriter, status int, v any) {
	if s.losesConfirmation() {
		jsonhttp.DropConnection()
	}
	jsonhttp.WriteJSON(w, status, v)
}

func (s *Server) losesConfirmation() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	share := s.faults.LoseConfirmations
	if share <= 0 || s.random.Float64() >= share {
		return false
	}
	s.counters.LostConfirmations++
	return true
}
