package proxy

import (
	"net/http"
	"strings"
	"testing"

	"bergamotpin.example/bergamotpin/api"
	"bergamotpin.example/bergamotpin/standin/platform"
	"bergamotpin.example/bergamotpin/standin/service"
)

// issue calls the plain service with a key.
func (f *fixture) issue(t *testing.T, key, body string) (*http.Response, string) {
	t.Helper()
	resp, answer := f.post(t, "/v1/services/stamp/issue", body, map[string]string{HeaderIdempotencyKey: key})
	f.proxy.Wait()
	return resp, answer
}

func TestRepeatWithTheSameKeyIsReplayed(t *testing.T) {
	f := newFixture(t, 0)
	_, first := f.issue(t, "k", "{}")
	resp, second := f.issue(t, "k", "{}")
	if resp.StatusCode != 200 || resp.Header.Get(HeaderReplayed) != "true" || second != first {
		t.Errorf("status %d, %q after %q", resp.StatusCode, second, first)
	}
	if runs := f.service.Runs("k"); runs != 1 {
		t.Errorf("ran %d times", runs)
	}
}

func TestCompletionWithAKeyRunsOnceAndIsReplayed(t *testing.T) {
	f := newFixture(t, 1)
	key := map[string]string{HeaderIdempotencyKey: "k"}
	_, first := f.post(t, "/v1/chat/completions", prompted("once", true, 6), key)
	f.proxy.Wait()
	_, second := f.post(t, "/v1/chat/completions", prompted("once", true, 6), key)
	if got, want := answerText(t, second), answerText(t, first); got != want || want == "" {
		t.Errorf("got %q, want %q", got, want)
	}
	if started := f.engines[0].Counters().Started; started != 1 {
		t.Errorf("started %d times", started)
	}
}

// An answer without a body is an answer; one that can't be kept is not.
func TestWhatCanNotBeKeptIsNotReplayed(t *testing.T) {
	f := newFixture(t, 1)
	key := map[string]string{HeaderIdempotencyKey: "k"}
	body := strings.Replace(prompted("once", true, 6), `"stream"`, `"tools":[{}],"stream"`, 1)
	f.post(t, "/v1/chat/completions", body, key)
	f.proxy.Wait()
	resp, answer := f.post(t, "/v1/chat/completions", body, key)
	if resp.StatusCode != 409 || !strings.Contains(answer, `"reason":"key_completed"`) {
		t.Errorf("status %d, %s", resp.StatusCode, answer)
	}
}

func TestKeyOfAnotherRequestIsAConflict(t *testing.T) {
	f := newFixture(t, 0)
	f.issue(t, "k", "{}")
	resp, _ := f.issue(t, "k", `{"other":true}`)
	if resp.StatusCode != 422 || resp.Header.Get(HeaderRun) != "no" {
		t.Errorf("status %d, header %v", resp.StatusCode, resp.Header)
	}
}

func TestNoClaimWhileThePlatformIsDown(t *testing.T) {
	f := newFixture(t, 0)
	f.platform.SetFaults(platform.Faults{Outage: platform.OutageRefuse})
	resp, _ := f.issue(t, "k", "{}")
	if resp.StatusCode != 503 || resp.Header.Get(HeaderRun) != "no" || resp.Header.Get("Retry-After") == "" {
		t.Errorf("status %d, header %v", resp.StatusCode, resp.Header)
	}
	if runs := f.service.Runs("k"); runs != 0 {
		t.Errorf("ran %d times", runs)
	}
	f.platform.SetFaults(platform.Faults{})
	if resp, _ = f.issue(t, "k", "{}"); resp.StatusCode != 200 {
		t.Errorf("after the outage: status %d", resp.StatusCode)
	}
}

func TestUnknownOutcomeIsNotRunAgain(t *testing.T) {
	f := newFixture(t, 0)
	f.service.SetFaults(service.Faults{CrashAfterRun: 1})
	if resp, _ := f.issue(t, "k", "{}"); resp.StatusCode != 502 {
		t.Errorf("status %d", resp.StatusCode)
	}
	f.service.SetFaults(service.Faults{})
	resp, _ := f.issue(t, "k", "{}")
	if resp.StatusCode != 409 || resp.Header.Get(HeaderRun) != "unknown" {
		t.Errorf("repeat: status %d, header %v", resp.StatusCode, resp.Header)
	}
	if runs := f.service.Runs("k"); runs != 1 {
		t.Errorf("ran %d times", runs)
	}
}

func TestRefusedRequestGivesItsKeyFree(t *testing.T) {
	f := newFixture(t, 0)
	f.service.SetFaults(service.Faults{Refuse: 1})
	if resp, _ := f.issue(t, "k", "{}"); resp.Header.Get(HeaderRun) != "no" {
		t.Errorf("header %v", resp.Header)
	}
	f.service.SetFaults(service.Faults{})
	if resp, _ := f.issue(t, "k", "{}"); resp.StatusCode != 200 {
		t.Errorf("repeat: status %d", resp.StatusCode)
	}
}

func TestLostConfirmationOfAClaimRunsOnce(t *testing.T) {
	f := newFixture(t, 0)
	f.platform.SetFaults(platform.Faults{LoseConfirmations: 0.5, Latency: api.Duration(0)})
	for range 3 {
		f.issue(t, "k", "{}")
	}
	if runs := f.service.Runs("k"); runs > 1 {
		t.Errorf("ran %d times", runs)
	}
}
