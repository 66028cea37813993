package service

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

func post(s *Server, key string) *httptest.ResponseRecorder {
	r := httptest.NewRequest("POST", "/issue", strings.NewReader("body"))
	r.Header.Set(HeaderIdempotencyKey, key)
	w := httptest.NewRecorder()
	s.ServeHTTP(w, r)
	return w
}

func TestCountsRunsByKey(t *testing.T) {
	s := New(Options{Name: "certificates", Latency: -1})
	defer s.Close()
	post(s, "a")
	post(s, "a")
	if w := post(s, "b"); w.Code != http.StatusOK || !strings.Contains(w.Body.String(), DigestOf([]byte("body"))) {
		t.Errorf("answer %d %s", w.Code, w.Body)
	}
	got := s.Counters()
	if s.Runs("a") != 2 || s.Runs("b") != 1 || got.RepeatedKeys != 1 || got.Runs != 3 || got.Running != 0 {
		t.Errorf("counters %+v", got)
	}
}

func TestRefusalDoesNotRun(t *testing.T) {
	s := New(Options{Latency: -1})
	defer s.Close()
	s.SetFaults(Faults{Refuse: 1})
	if w := post(s, "a"); w.Header().Get("Not-Started") != "true" || s.Runs("a") != 0 {
		t.Errorf("refusal %v, %d runs", w.Header(), s.Runs("a"))
	}
}

func TestCrashBeforeAndAfterRun(t *testing.T) {
	s := New(Options{Latency: -1})
	defer s.Close()
	s.SetFaults(Faults{CrashBeforeRun: 1})
	expectDrop(t, s, "before")
	s.SetFaults(Faults{CrashAfterRun: 1})
	expectDrop(t, s, "after")
	if s.Runs("before") != 0 || s.Runs("after") != 1 {
		t.Errorf("runs %+v", s.Counters().ByKey)
	}
}

// expectDrop expects the call to end without an answer.
func expectDrop(t *testing.T, s *Server, key string) {
	t.Helper()
	defer func() {
		if recover() != http.ErrAbortHandler {
			t.Errorf("%s: the connection was not dropped", key)
		}
	}()
	post(s, key)
}

func TestDrainAndBoundRefuse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := New(Options{Latency: time.Second, MaxRunning: 1})
		defer s.Close()
		s.SetFaults(Faults{Slowdown: 3})
		first := make(chan *httptest.ResponseRecorder)
		start := time.Now()
		go func() { first <- post(s, "a") }()
		synctest.Wait()
		if w := post(s, "b"); w.Code != http.StatusServiceUnavailable || s.Runs("b") != 0 {
			t.Errorf("beyond the bound: %d", w.Code)
		}
		s.Drain()
		if w := <-first; w.Code != http.StatusOK || time.Since(start) != 3*time.Second {
			t.Errorf("a run under a drain: %d after %v", w.Code, time.Since(start))
		}
		if w := post(s, "c"); w.Header().Get("Not-Started") != "true" || s.Runs("c") != 0 {
			t.Errorf("a call after the drain: %d %v", w.Code, w.Header())
		}
	})
}
