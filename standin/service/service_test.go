package service

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

// postCall sends a call with an idempotency key and returns the response.
func postCall(s *Server, key string) *httptest.ResponseRecorder {
	r := httptest.NewRequest("POST", "/issue", strings.NewReader("body"))
	r.Header.Set(HeaderIdempotencyKey, key)
	w := httptest.NewRecorder()
	s.ServeHTTP(w, r)
	return w
}

func TestCountsRunsByKey(t *testing.T) {
	s := New(Options{Name: "certificates", Latency: -1})
	defer s.Close()
	postCall(s, "a")
	postCall(s, "a")
	if w := postCall(s, "b"); w.Code != http.StatusOK || !strings.Contains(w.Body.String(), DigestOf([]byte("body"))) {
		t.Errorf("got response %d %s, want status 200 and the digest of the body", w.Code, w.Body)
	}
	got := s.Counters()
	if s.Runs("a") != 2 || s.Runs("b") != 1 || got.RepeatedKeys != 1 || got.Runs != 3 || got.Running != 0 {
		t.Errorf("got counters %+v, want 3 runs (2 of key a, 1 of key b), 1 repeated key and no running call", got)
	}
}

func TestRefusedCallDoesNotRun(t *testing.T) {
	s := New(Options{Latency: -1})
	defer s.Close()
	s.SetFaults(Faults{Refuse: 1})
	if w := postCall(s, "a"); w.Header().Get("Not-Started") != "true" || s.Runs("a") != 0 {
		t.Errorf("refused call: got header %v and %d runs, want Not-Started: true and 0 runs", w.Header(), s.Runs("a"))
	}
}

func TestOnlyCrashAfterRunCountsAsRun(t *testing.T) {
	s := New(Options{Latency: -1})
	defer s.Close()
	s.SetFaults(Faults{CrashBeforeRun: 1})
	expectDroppedConnection(t, s, "before")
	s.SetFaults(Faults{CrashAfterRun: 1})
	expectDroppedConnection(t, s, "after")
	if s.Runs("before") != 0 || s.Runs("after") != 1 {
		t.Errorf("got runs by key %+v, want no run of key before and 1 run of key after", s.Counters().ByKey)
	}
}

// expectDroppedConnection sends a call and checks that its connection is
// dropped without a response.
func expectDroppedConnection(t *testing.T, s *Server, key string) {
	t.Helper()
	defer func() {
		if recover() != http.ErrAbortHandler {
			t.Errorf("call with key %s: the connection was not dropped, want it dropped", key)
		}
	}()
	postCall(s, key)
}

// TestDrainAndRunLimitRefuseCalls starts a call of 3 seconds. Meanwhile it sends
// a call beyond the limit of running calls and a call during a drain.
func TestDrainAndRunLimitRefuseCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := New(Options{Latency: time.Second, MaxRunning: 1})
		defer s.Close()
		s.SetFaults(Faults{Slowdown: 3})
		first := make(chan *httptest.ResponseRecorder)
		start := time.Now()
		go func() { first <- postCall(s, "a") }()
		synctest.Wait()
		if w := postCall(s, "b"); w.Code != http.StatusServiceUnavailable || s.Runs("b") != 0 {
			t.Errorf("second call with a limit of 1 running call: got status %d, want 503 and no run", w.Code)
		}
		s.Drain()
		if w := <-first; w.Code != http.StatusOK || time.Since(start) != 3*time.Second {
			t.Errorf("call that was running when the drain began: got status %d after %v, want 200 after 3s", w.Code, time.Since(start))
		}
		if w := postCall(s, "c"); w.Header().Get("Not-Started") != "true" || s.Runs("c") != 0 {
			t.Errorf("call after the drain began: got status %d and header %v, want Not-Started: true and no run", w.Code, w.Header())
		}
	})
}
