package proxy

import (
	"net/http"
	"strings"
	"testing"

	"bergamotpin.example/bergamotpin/api"
	"bergamotpin.example/bergamotpin/standin/platform"
	"bergamotpin.example/bergamotpin/standin/service"
)

// callService sends a request with an idempotency key to the fixture's service,
// and waits until the request's outcome is stored.
func (f *fixture) callService(t *testing.T, key, body string) (*http.Response, string) {
	t.Helper()
	resp, responseBody := f.post(t, "/v1/services/stamp/issue", body, map[string]string{HeaderIdempotencyKey: key})
	f.proxy.WaitBackground()
	return resp, responseBody
}

// A caller's retry with the same key must get the first response and must not run
// again.
func TestRetryWithTheSameKeyIsReplayed(t *testing.T) {
	f := newFixture(t, 0)
	_, first := f.callService(t, "k", "{}")
	resp, second := f.callService(t, "k", "{}")
	if resp.StatusCode != 200 || resp.Header.Get(HeaderReplayed) != "true" || second != first {
		t.Errorf("retry: got status %d, body %q; want status 200, the header Bergamotpin-Replayed and the first body %q", resp.StatusCode, second, first)
	}
	if runs := f.service.Runs("k"); runs != 1 {
		t.Errorf("the request ran %d times, want once", runs)
	}
}

// A streamed completion with a key must run once. A second request with the key
// must get the same answer.
func TestCompletionWithAKeyRunsOnceAndIsReplayed(t *testing.T) {
	f := newFixture(t, 1)
	key := map[string]string{HeaderIdempotencyKey: "k"}
	_, first := f.post(t, "/v1/chat/completions", chatBody("once", true, 6), key)
	f.proxy.WaitBackground()
	_, second := f.post(t, "/v1/chat/completions", chatBody("once", true, 6), key)
	if got, want := answerText(t, second), answerText(t, first); got != want || want == "" {
		t.Errorf("got the replayed answer %q, want the first answer %q, which must have text", got, want)
	}
	if started := f.engines[0].Counters().Started; started != 1 {
		t.Errorf("the engine started the request %d times, want once", started)
	}
}

// The response to a streamed request with tools is not stored. A second request
// with the same key must be refused; it must not get an empty response.
func TestResponseThatIsNotStoredIsNotReplayed(t *testing.T) {
	f := newFixture(t, 1)
	key := map[string]string{HeaderIdempotencyKey: "k"}
	body := strings.Replace(chatBody("once", true, 6), `"stream"`, `"tools":[{}],"stream"`, 1)
	f.post(t, "/v1/chat/completions", body, key)
	f.proxy.WaitBackground()
	resp, responseBody := f.post(t, "/v1/chat/completions", body, key)
	if resp.StatusCode != 409 || !strings.Contains(responseBody, `"reason":"key_completed"`) {
		t.Errorf("retry: got status %d, body %s; want status 409 and the reason key_completed", resp.StatusCode, responseBody)
	}
}

// If a key was used before with another body, the request must be refused. It must
// not get the response of the earlier request.
func TestKeyOfAnotherRequestIsRefused(t *testing.T) {
	f := newFixture(t, 0)
	f.callService(t, "k", "{}")
	resp, _ := f.callService(t, "k", `{"other":true}`)
	if resp.StatusCode != 422 || resp.Header.Get(HeaderRun) != "no" {
		t.Errorf("got status %d, want 422; got header %v, want the header Bergamotpin-Run to be no", resp.StatusCode, resp.Header)
	}
}

// While the platform is down, a key can't be claimed. The request must then be
// refused and not run. After the outage the same key must be usable.
func TestPlatformOutageRefusesRequestsWithKeys(t *testing.T) {
	f := newFixture(t, 0)
	f.platform.SetFaults(platform.Faults{Outage: platform.OutageRefuse})
	resp, _ := f.callService(t, "k", "{}")
	if resp.StatusCode != 503 || resp.Header.Get(HeaderRun) != "no" || resp.Header.Get("Retry-After") == "" {
		t.Errorf("got status %d, want 503; got header %v, want the header Bergamotpin-Run to be no and a Retry-After", resp.StatusCode, resp.Header)
	}
	if runs := f.service.Runs("k"); runs != 0 {
		t.Errorf("the request ran %d times, want 0", runs)
	}
	f.platform.SetFaults(platform.Faults{})
	if resp, _ = f.callService(t, "k", "{}"); resp.StatusCode != 200 {
		t.Errorf("request after the outage: got status %d, want 200", resp.StatusCode)
	}
}

// The service crashes after it ran the request, so the outcome is unknown. A
// second request with the same key must not run.
func TestUnknownOutcomeIsNotRetried(t *testing.T) {
	f := newFixture(t, 0)
	f.service.SetFaults(service.Faults{CrashAfterRun: 1})
	if resp, _ := f.callService(t, "k", "{}"); resp.StatusCode != 502 {
		t.Errorf("first request: got status %d, want 502", resp.StatusCode)
	}
	f.service.SetFaults(service.Faults{})
	resp, _ := f.callService(t, "k", "{}")
	if resp.StatusCode != 409 || resp.Header.Get(HeaderRun) != "unknown" {
		t.Errorf("retry: got status %d, want 409; got header %v, want the header Bergamotpin-Run to be unknown", resp.StatusCode, resp.Header)
	}
	if runs := f.service.Runs("k"); runs != 1 {
		t.Errorf("the request ran %d times, want once", runs)
	}
}

// A request that the service refused did not run, so a second request with the
// same key must run.
func TestRefusedRequestReleasesItsKey(t *testing.T) {
	f := newFixture(t, 0)
	f.service.SetFaults(service.Faults{Refuse: 1})
	if resp, _ := f.callService(t, "k", "{}"); resp.Header.Get(HeaderRun) != "no" {
		t.Errorf("first request: got header %v, want the header Bergamotpin-Run to be no", resp.Header)
	}
	f.service.SetFaults(service.Faults{})
	if resp, _ := f.callService(t, "k", "{}"); resp.StatusCode != 200 {
		t.Errorf("retry: got status %d, want 200", resp.StatusCode)
	}
}

// The platform carries out writes but loses about half of the confirmations.
// Three requests with the same key must still run at most once.
func TestLostConfirmationOfAClaimRunsOnce(t *testing.T) {
	f := newFixture(t, 0)
	f.platform.SetFaults(platform.Faults{LoseConfirmations: 0.5, Latency: api.Duration(0)})
	for range 3 {
		f.callService(t, "k", "{}")
	}
	if runs := f.service.Runs("k"); runs > 1 {
		t.Errorf("the request ran %d times, want at most once", runs)
	}
}
