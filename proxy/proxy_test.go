package proxy

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/goleak"

	"bergamotpin.example/bergamotpin/api"
	"bergamotpin.example/bergamotpin/config"
	"bergamotpin.example/bergamotpin/engineapi"
	"bergamotpin.example/bergamotpin/engineclient"
	"bergamotpin.example/bergamotpin/idempotency"
	"bergamotpin.example/bergamotpin/metrics"
	"bergamotpin.example/bergamotpin/objects"
	"bergamotpin.example/bergamotpin/routing"
	"bergamotpin.example/bergamotpin/scheduler"
	standin "bergamotpin.example/bergamotpin/standin/engine"
	"bergamotpin.example/bergamotpin/standin/platform"
	"bergamotpin.example/bergamotpin/standin/service"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// fixture is a proxy with stand-in backend servers behind it.
type fixture struct {
	address  string
	engines  []*standin.Server
	service  *service.Server
	platform *platform.Server
	snapshot *config.Snapshot
	local    *scheduler.Local
	proxy    *Proxy
	// writeBuffer is the size in bytes of the kernel's send buffer for callers'
	// connections; 0 keeps the default.
	writeBuffer atomic.Int64
}

func newFixture(t *testing.T, engines int) *fixture {
	t.Helper()
	f := &fixture{service: service.New(service.Options{Latency: -1})}
	servers := map[string]config.Entry[api.BackendServerSpec]{}
	addServer := func(name, model string, isService bool, h http.Handler) {
		address := strings.TrimPrefix(newServer(t, h), "http://")
		servers[name] = config.Entry[api.BackendServerSpec]{Name: name, Spec: api.BackendServerSpec{
			Address: address, DataCentre: "dc1", Models: []string{model}, Service: isService, Slots: 4,
		}}
	}
	for n := range engines {
		e := standin.New(standin.Options{TokenTime: time.Millisecond})
		t.Cleanup(e.Close)
		f.engines = append(f.engines, e)
		addServer("engine-"+string(rune('a'+n)), "loom-1", false, e)
	}
	t.Cleanup(f.service.Close)
	addServer("service", "stamp-1", true, f.service)
	f.snapshot = testSnapshot(servers)
	f.start(t)
	return f
}

// testSnapshot returns a configuration with three routes. The route "loom" leads to
// engines and is idempotent. The route "once" leads to engines and is not idempotent.
// The route "stamp" leads to a service that is not an engine.
func testSnapshot(servers map[string]config.Entry[api.BackendServerSpec]) *config.Snapshot {
	return &config.Snapshot{
		Classes: map[string]config.Entry[api.ServiceClassSpec]{
			"lookup": {Name: "lookup", Spec: api.ServiceClassSpec{Default: true}},
		},
		Organisations: map[string]config.Entry[api.OrganisationSpec]{
			"dealer": {Name: "dealer", Spec: api.OrganisationSpec{KeyHashes: []string{routing.HashKey("secret")}}},
		},
		Routes: map[string]config.Entry[api.RouteSpec]{
			"loom": {Name: "loom", Spec: api.RouteSpec{
				Versions: []api.RouteVersion{{Model: "loom-1", Weight: 1}}, Idempotent: true,
			}},
			"once": {Name: "once", Spec: api.RouteSpec{Versions: []api.RouteVersion{{Model: "loom-1", Weight: 1}}}},
			"stamp": {Name: "stamp", Spec: api.RouteSpec{
				Versions: []api.RouteVersion{{Model: "stamp-1", Weight: 1}}, Service: true,
			}},
		},
		BackendServers: servers,
	}
}

// newServer serves h on a loopback address and returns its URL.
func newServer(t testing.TB, h http.Handler) string {
	s := httptest.NewServer(h)
	t.Cleanup(s.Close)
	return s.URL
}

// start starts the proxy with the fixture's configuration.
func (f *fixture) start(t testing.TB) {
	t.Helper()
	index := routing.NewIndex(f.snapshot)
	f.local = scheduler.NewLocal(scheduler.LocalOptions{DataCentre: "dc1"})
	t.Cleanup(f.local.Close)
	f.local.Configure(f.snapshot)
	client := engineclient.NewClient(nil)
	t.Cleanup(client.Close)
	f.platform = platform.New(platform.Options{})
	t.Cleanup(f.platform.Close)
	store := objects.New(objects.Options{BaseURL: newServer(t, f.platform)})
	claims := idempotency.New(idempotency.Options{Store: store})
	t.Cleanup(claims.Close)
	m := metrics.New("a", "dc1")
	t.Cleanup(func() { _ = m.Close() })
	f.proxy = New(Options{
		Index:     func() *routing.Index { return index },
		Scheduler: f.local,
		Engine:    client,
		Claims:    claims,
		InFlight:  NewInFlight(),
		Metrics:   m,
		Limits: Limits{
			BodyBytes: 1 << 16, ResponseBytes: 1 << 20, HeaderBytes: 4096,
			BodyTimeout: 200 * time.Millisecond, StallTimeout: 2 * time.Second, CallerTimeout: 5 * time.Second,
		},
		Ready:   func() bool { return true },
		Leaving: func() bool { return false },
	})
	server := httptest.NewUnstartedServer(f.proxy.Handler())
	server.Config.ConnState = func(conn net.Conn, state http.ConnState) {
		if tcp, ok := conn.(*net.TCPConn); ok && state == http.StateNew && f.writeBuffer.Load() > 0 {
			_ = tcp.SetWriteBuffer(int(f.writeBuffer.Load()))
		}
	}
	server.Start()
	t.Cleanup(func() {
		server.Close()
		f.proxy.WaitBackground()
		http.DefaultClient.CloseIdleConnections()
	})
	f.address = server.URL
}

// post sends a request to the proxy and returns the response with its body.
func (f *fixture) post(t *testing.T, path, body string, header map[string]string) (*http.Response, string) {
	t.Helper()
	req, err := http.NewRequest(http.MethodPost, f.address+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer secret")
	for name, value := range header {
		req.Header.Set(name, value)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return resp, string(raw)
}

// chatBody returns a completion request whose answer has the given number of tokens.
func chatBody(model string, stream bool, tokens int) string {
	raw, _ := json.Marshal(map[string]any{
		"model": model, "stream": stream, "max_tokens": tokens, "metadata": map[string]string{"answer_tokens": strconv.Itoa(tokens)},
		"messages": []map[string]string{{"role": "user", "content": "What is a kilim?"}},
	})
	return string(raw)
}

// answerText returns the answer's text from a streamed or whole response body.
func answerText(t *testing.T, body string) string {
	t.Helper()
	var text strings.Builder
	for line := range strings.Lines(body) {
		data := strings.TrimPrefix(strings.TrimSpace(line), "data: ")
		if data == "" || data == "[DONE]" {
			continue
		}
		var chunk struct {
			Choices []struct {
				Delta, Message struct{ Content string }
			}
		}
		if err := json.Unmarshal([]byte(data), &chunk); err != nil {
			t.Fatalf("invalid JSON: %v in %q", err, data)
		}
		for _, choice := range chunk.Choices {
			text.WriteString(choice.Delta.Content + choice.Message.Content)
		}
	}
	return text.String()
}

// A request with a fault must be refused before it runs, with the status and reason
// of its fault and without a Retry-After time.
func TestBadInputIsRefused(t *testing.T) {
	f := newFixture(t, 1)
	validBody := chatBody("loom", false, 2)
	tests := []struct {
		name, path, body string
		header           map[string]string
		status           int
		reason           string
	}{
		{"body over the limit", "/v1/chat/completions", strings.Repeat("x", 1<<16+1), nil, 413, "body_too_large"},
		{"broken JSON", "/v1/chat/completions", `{"model":`, nil, 400, "bad_request"},
		{"no messages", "/v1/chat/completions", `{"model":"loom"}`, nil, 400, "bad_request"},
		{"wrong type", "/v1/chat/completions", `{"model":"loom","messages":"hi"}`, nil, 400, "bad_request"},
		{"unknown model", "/v1/chat/completions", chatBody("silk", false, 2), nil, 404, "unknown_model"},
		{"unknown class", "/v1/chat/completions", validBody, map[string]string{HeaderClass: "gold"}, 400, "unknown_class"},
		{"bad key", "/v1/chat/completions", validBody, map[string]string{"Authorization": "Bearer x"}, 401, "unauthorised"},
		{"header over the limit", "/v1/chat/completions", validBody, map[string]string{"X-Long": strings.Repeat("x", 5000)}, 431, "header_too_large"},
		{"bad deadline", "/v1/chat/completions", validBody, map[string]string{HeaderDeadline: "soon"}, 400, "bad_request"},
		{"unknown path", "/v1/embeddings", validBody, nil, 400, "bad_request"},
		{"unknown service", "/v1/services/loom/x", validBody, nil, 404, "unknown_model"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			resp, body := f.post(t, tt.path, tt.body, tt.header)
			var got errorBody
			if err := json.Unmarshal([]byte(body), &got); err != nil {
				t.Fatalf("invalid JSON: %v in %q", err, body)
			}
			if resp.StatusCode != tt.status || got.Error.Reason != tt.reason || got.Error.Run != "no" {
				t.Errorf("got status %d, error %+v; want the status and the reason of the test case, and the field run with the value no", resp.StatusCode, got.Error)
			}
			if resp.Header.Get(HeaderRun) != "no" || resp.Header.Get("Retry-After") != "" {
				t.Errorf("got header %v, want the header Bergamotpin-Run to be no and no Retry-After", resp.Header)
			}
		})
	}
}

// A caller that sends its body one byte at a time must be refused when the body
// timeout of 200 ms has passed.
func TestSlowBodyTimesOut(t *testing.T) {
	f := newFixture(t, 1)
	conn, err := net.Dial("tcp", strings.TrimPrefix(f.address, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	requestHeader := "POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer secret\r\nContent-Length: 1000\r\n\r\n"
	if _, err := io.WriteString(conn, requestHeader); err != nil {
		t.Fatal(err)
	}
	go func() {
		for range 1000 {
			if _, err := conn.Write([]byte{' '}); err != nil {
				return
			}
			time.Sleep(10 * time.Millisecond)
		}
	}()
	responseBody := make([]byte, 4096)
	n, err := conn.Read(responseBody)
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.HasPrefix(responseBody[:n], []byte("HTTP/1.1 408 ")) {
		t.Errorf("got the response %q, want one with status 408", responseBody[:n])
	}
}

// The same request must get the same text whether it asks for a stream or not.
func TestStreamedAndWholeAnswersAreEqual(t *testing.T) {
	f := newFixture(t, 1)
	_, streamed := f.post(t, "/v1/chat/completions", chatBody("loom", true, 12), nil)
	_, whole := f.post(t, "/v1/chat/completions", chatBody("loom", false, 12), nil)
	want := answerText(t, streamed)
	if got := answerText(t, whole); got != want || len(strings.Fields(got)) != 12 {
		t.Errorf("got the whole answer %q, want 12 words and the same text as the streamed answer %q", got, want)
	}
	if !strings.HasSuffix(streamed, "data: [DONE]\n\n") {
		t.Error("the stream does not end with the frame [DONE]")
	}
}

// expectSameAnswer checks that a request gets the same text with the given
// faults as without them.
func (f *fixture) expectSameAnswer(t *testing.T, stream bool, faults engineapi.EngineFaults) {
	t.Helper()
	_, undisturbed := f.post(t, "/v1/chat/completions", chatBody("loom", true, 20), nil)
	want := answerText(t, undisturbed)
	f.engines[0].SetFaults(faults)
	resp, body := f.post(t, "/v1/chat/completions", chatBody("loom", stream, 20), nil)
	if got := answerText(t, body); resp.StatusCode != 200 || got != want {
		t.Errorf("got status %d, want 200\ngot the answer  %q\nwant the answer %q", resp.StatusCode, got, want)
	}
}

// The connection of a stream breaks after 5 tokens. The stream must be resumed at
// the same engine, without a new run.
func TestCutStreamIsResumed(t *testing.T) {
	f := newFixture(t, 1)
	f.expectSameAnswer(t, true, engineapi.EngineFaults{CutAfterTokens: 5})
	if counters := f.engines[0].Counters(); counters.Cancelled != 0 {
		t.Errorf("the engine counted %+v, want no cancelled request because the stream was resumed", counters)
	}
}

// An engine that sends each frame twice must not double the answer's text.
func TestDuplicateFramesAreDropped(t *testing.T) {
	newFixture(t, 1).expectSameAnswer(t, true, engineapi.EngineFaults{DuplicateFrames: true})
}

// An engine sends each frame again after the frame that follows it. The answer's
// text must not change.
func TestLateFramesAreDropped(t *testing.T) {
	newFixture(t, 1).expectSameAnswer(t, true, engineapi.EngineFaults{LateFrames: true})
}

// If an engine crashes in the middle of the answer, the answer must continue at the
// other engine. Both engines have the fault, because either may be chosen first.
func TestCrashedStreamContinuesAtAnotherServer(t *testing.T) {
	for _, stream := range []bool{true, false} {
		f := newFixture(t, 2)
		_, undisturbed := f.post(t, "/v1/chat/completions", chatBody("loom", true, 20), nil)
		want := answerText(t, undisturbed)
		for _, e := range f.engines {
			e.SetFaults(engineapi.EngineFaults{CrashAfterTokens: 12})
		}
		resp, body := f.post(t, "/v1/chat/completions", chatBody("loom", stream, 20), nil)
		if got := answerText(t, body); resp.StatusCode != 200 || got != want {
			t.Errorf("stream %v: got status %d, want 200\ngot the answer  %q\nwant the answer %q", stream, resp.StatusCode, got, want)
		}
	}
}

// After an engine crashed, it is unknown how far its request ran. A request that is
// not idempotent must not run at the other engine then.
func TestNonIdempotentRequestRunsOnce(t *testing.T) {
	f := newFixture(t, 2)
	for _, e := range f.engines {
		e.SetFaults(engineapi.EngineFaults{CrashAfterTokens: 3})
	}
	resp, body := f.post(t, "/v1/chat/completions", chatBody("once", false, 20), nil)
	if resp.StatusCode != 502 || resp.Header.Get(HeaderRun) != "unknown" {
		t.Errorf("got status %d, want 502; got header %v, want the header Bergamotpin-Run to be unknown; body %s", resp.StatusCode, resp.Header, body)
	}
	started := f.engines[0].Counters().Started + f.engines[1].Counters().Started
	if started != 1 {
		t.Errorf("the request started %d times, want once", started)
	}
}

// If a reused connection breaks, the transport of net/http retries a request that
// has an idempotency key, unless the transport can't rewind the body. Such a retry
// would run the request twice.
func TestServiceRequestIsSentOnce(t *testing.T) {
	f := newFixture(t, 0)
	if resp, body := f.post(t, "/v1/services/stamp/issue", "{}", nil); resp.StatusCode != 200 {
		t.Fatalf("first request: got status %d, want 200; body %s", resp.StatusCode, body)
	}
	f.service.SetFaults(service.Faults{CrashAfterRun: 1})
	for key, body := range map[string]string{"certificate-1": "{}", "certificate-2": ""} {
		resp, _ := f.post(t, "/v1/services/stamp/issue", body, map[string]string{HeaderIdempotencyKey: key})
		if resp.StatusCode != 502 || resp.Header.Get(HeaderRun) != "unknown" {
			t.Errorf("got status %d, want 502; got header %v, want the header Bergamotpin-Run to be unknown", resp.StatusCode, resp.Header)
		}
		if runs := f.service.Runs(key); runs != 1 {
			t.Errorf("the request with body %q ran %d times, want once", body, runs)
		}
	}
}

// If a caller leaves during a stream, the request must be cancelled at the engine.
func TestRequestOfLeavingCallerIsCancelledAtTheEngine(t *testing.T) {
	f := newFixture(t, 1)
	ctx, cancel := context.WithCancel(context.Background())
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, f.address+"/v1/chat/completions", strings.NewReader(chatBody("loom", true, 5000)))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer secret")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := io.ReadFull(resp.Body, make([]byte, 100)); err != nil {
		t.Fatal(err)
	}
	cancel()
	_ = resp.Body.Close()
	for f.engines[0].Counters().Running > 0 {
		time.Sleep(time.Millisecond)
	}
	if counters := f.engines[0].Counters(); counters.Cancelled != 1 {
		t.Errorf("the engine counted %+v, want one cancelled request", counters)
	}
}

// A request must end with status 504 when the caller's deadline of 50 ms has passed,
// although its answer would take far longer.
func TestDeadlineEndsTheRequest(t *testing.T) {
	f := newFixture(t, 1)
	resp, body := f.post(t, "/v1/chat/completions", chatBody("loom", false, 5000), map[string]string{HeaderDeadline: "50"})
	if resp.StatusCode != 504 || !strings.Contains(body, `"reason":"deadline_passed"`) || resp.Header.Get("Retry-After") == "" {
		t.Errorf("got status %d, body %s; want status 504, the reason deadline_passed and a Retry-After header", resp.StatusCode, body)
	}
}

// An engine's error response about the request itself must go to the caller. An
// earlier version took this response for the refusal of a busy server, and retried
// the request until its attempts were spent.
func TestErrorResponseOfEngineIsPassedOn(t *testing.T) {
	f := newFixture(t, 2)
	body := `{"model":"loom","metadata":{"answer_tokens":7},"messages":[{"role":"user","content":"x"}]}`
	resp, responseBody := f.post(t, "/v1/chat/completions", body, nil)
	if resp.StatusCode != 400 || strings.Contains(responseBody, "bergamotpin") {
		t.Errorf("got status %d, body %s; want status 400 and the engine's own body", resp.StatusCode, responseBody)
	}
}

// If a caller stops reading its stream, the request must be cancelled at the engine
// after CallerTimeout.
func TestRequestOfStalledCallerIsCancelled(t *testing.T) {
	f := newFixture(t, 1)
	f.writeBuffer.Store(4096)
	f.proxy.Limits.CallerTimeout = 200 * time.Millisecond
	conn, err := net.Dial("tcp", strings.TrimPrefix(f.address, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	if err := conn.(*net.TCPConn).SetReadBuffer(4096); err != nil {
		t.Fatal(err)
	}
	body := chatBody("loom", true, 100_000)
	requestHeader := "POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer secret\r\nContent-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n"
	if _, err := io.WriteString(conn, requestHeader+body); err != nil {
		t.Fatal(err)
	}
	for f.engines[0].Counters().Started == 0 || f.proxy.InFlight.Count("engine-a") > 0 {
		time.Sleep(10 * time.Millisecond)
	}
	f.proxy.WaitBackground()
	if counters := f.engines[0].Counters(); counters.Cancelled != 1 {
		t.Errorf("the engine counted %+v, want one cancelled request", counters)
	}
}

// The write deadline of one request must not affect the next request on the
// same connection.
func TestWriteDeadlineEndsWithItsRequest(t *testing.T) {
	f := newFixture(t, 1)
	f.proxy.Limits.CallerTimeout = 100 * time.Millisecond
	if resp, _ := f.post(t, "/v1/chat/completions", chatBody("loom", true, 2), nil); resp.StatusCode != 200 {
		t.Fatalf("first request: got status %d, want 200", resp.StatusCode)
	}
	time.Sleep(150 * time.Millisecond)
	if resp, _ := f.post(t, "/v1/chat/completions", "{", nil); resp.StatusCode != 400 {
		t.Errorf("second request: got status %d, want 400", resp.StatusCode)
	}
}
