package proxy

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"bergamotpin.example/bergamotpin/idempotency"
	"bergamotpin.example/bergamotpin/outcome"
	"bergamotpin.example/bergamotpin/scheduler"
)

// TestOwnFailureOfServerIsNoPromise guards against a server's own 503, 429, 421 or 408 after a run that tells a caller
// that its request did not run, or is kept as the answer to its idempotency key.
func TestOwnFailureOfServerIsNoPromise(t *testing.T) {
	for name, r := range map[string]struct{ server, path, body string }{
		"service":             {"service", "/v1/services/stamp/issue", "{}"},
		"stream":              {"engine-a", "/v1/chat/completions", chatBody("once", true, 20)},
		"whole answer":        {"engine-a", "/v1/chat/completions", chatBody("once", false, 20)},
		"answer of two texts": {"engine-a", "/v1/chat/completions", strings.Replace(chatBody("once", false, 20), "{", `{"n":2,`, 1)},
	} {
		for _, status := range []int{408, 421, 429, 503} {
			t.Run(fmt.Sprint(name, "/", status), func(t *testing.T) {
				f := newFixture(t, 1)
				f.answerFrom(t, r.server, fmt.Sprintf("HTTP/1.1 %d No\r\nRetry-After: 1\r\nContent-Length: 7\r\n\r\nno room", status))
				s := newScriptedScheduler(grant(r.server, 1))
				s.onFailure = func(s *scriptedScheduler) {
					s.decisions <- scheduler.Decision{Kind: scheduler.Refused, Reason: outcome.ServerError}
				}
				f.proxy.Scheduler = s
				resp, body := f.post(t, r.path, r.body, nil)
				if resp.StatusCode != http.StatusBadGateway || resp.Header.Get(HeaderRun) != "unknown" || strings.Contains(body, "no room") {
					t.Errorf("the caller got status %d, header %v, body %q; want 502 and that the request may have run", resp.StatusCode, resp.Header, body)
				}
				if len(s.failures) != 1 || s.failures[0].NotStarted {
					t.Errorf("the scheduler got the failures %+v, want one of a request that may have started", s.failures)
				}
			})
		}
	}
}

// TestStoredFailureIsNoPromise guards against the same for a failure that an earlier version stored.
func TestStoredFailureIsNoPromise(t *testing.T) {
	f := newFixture(t, 1)
	w := httptest.NewRecorder()
	f.proxy.replay(w, &request{}, &idempotency.Outcome{Status: http.StatusServiceUnavailable, Body: []byte("no room")}, false)
	if w.Code != http.StatusBadGateway || w.Header().Get(HeaderRun) != "unknown" {
		t.Errorf("got status %d and header %v, want 502 and that the request may have run", w.Code, w.Header())
	}
}
