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

// fixture is a proxy before stand-in backend servers.
type fixture struct {
	address  string
	engines  []*standin.Server
	service  *service.Server
	platform *platform.Server
	snapshot *config.Snapshot
	local    *scheduler.Local
	proxy    *Proxy
	// writeBuffer is the size of the kernel's buffer towards callers, in bytes.
	// Zero leaves it as it is.
	writeBuffer atomic.Int64
}

func newFixture(t *testing.T, engines int) *fixture {
	t.Helper()
	f := &fixture{service: service.New(service.Options{Latency: -1})}
	servers := map[string]config.Entry[api.BackendServerSpec]{}
	add := func(name, model string, isService bool, h http.Handler) {
		address := strings.TrimPrefix(newServer(t, h), "http://")
		servers[name] = config.Entry[api.BackendServerSpec]{Name: name, Spec: api.BackendServerSpec{
			Address: address, DataCentre: "dc1", Models: []string{model}, Service: isService, Slots: 4,
		}}
	}
	for n := range engines {
		e := standin.New(standin.Options{TokenTime: time.Millisecond})
		t.Cleanup(e.Close)
		f.engines = append(f.engines, e)
		add("engine-"+string(rune('a'+n)), "loom-1", false, e)
	}
	t.Cleanup(f.service.Close)
	add("service", "stamp-1", true, f.service)
	f.snapshot = testSnapshot(servers)
	f.start(t)
	return f
}

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

// newServer serves h on loopback and returns its address with the scheme.
func newServer(t testing.TB, h http.Handler) string {
	s := httptest.NewServer(h)
	t.Cleanup(s.Close)
	return s.URL
}

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
			BodyBytes: 1 << 16, AnswerBytes: 1 << 20, HeaderBytes: 4096,
			BodyTimeout: 200 * time.Millisecond, StallTimeout: 2 * time.Second, CallerTimeout: 5 * time.Second,
		},
		Ready:   func() bool { return true },
		Leaving: func() bool { return false },
	})
	server := httptest.NewUnstartedServer(f.proxy.Handler())
	server.Config.ConnState = func(c net.Conn, state http.ConnState) {
		if tcp, ok := c.(*net.TCPConn); ok && state == http.StateNew && f.writeBuffer.Load() > 0 {
			_ = tcp.SetWriteBuffer(int(f.writeBuffer.Load()))
		}
	}
	server.Start()
	t.Cleanup(func() {
		server.Close()
		f.proxy.Wait()
		http.DefaultClient.CloseIdleConnections()
	})
	f.address = server.URL
}

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

func prompted(model string, stream bool, tokens int) string {
	raw, _ := json.Marshal(map[string]any{
		"model": model, "stream": stream, "max_tokens": tokens, "metadata": map[string]string{"answer_tokens": strconv.Itoa(tokens)},
		"messages": []map[string]string{{"role": "user", "content": "What is a kilim?"}},
	})
	return string(raw)
}

// answerText returns the text of a streamed or whole answer.
func answerText(t *testing.T, body string) string {
	t.Helper()
	var out strings.Builder
	for line := range strings.Lines(body) {
		data := strings.TrimPrefix(strings.TrimSpace(line), "data: ")
		if data == "" || data == "[DONE]" {
			continue
		}
		var c struct {
			Choices []struct {
				Delta, Message struct{ Content string }
			}
		}
		if err := json.Unmarshal([]byte(data), &c); err != nil {
			t.Fatalf("%v in %q", err, data)
		}
		for _, choice := range c.Choices {
			out.WriteString(choice.Delta.Content + choice.Message.Content)
		}
	}
	return out.String()
}

func TestBadInputIsRefusedClearly(t *testing.T) {
	f := newFixture(t, 1)
	good := prompted("loom", false, 2)
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
		{"unknown model", "/v1/chat/completions", prompted("silk", false, 2), nil, 404, "unknown_model"},
		{"unknown class", "/v1/chat/completions", good, map[string]string{HeaderClass: "gold"}, 400, "unknown_class"},
		{"bad key", "/v1/chat/completions", good, map[string]string{"Authorization": "Bearer x"}, 401, "unauthorised"},
		{"header over the limit", "/v1/chat/completions", good, map[string]string{"X-Long": strings.Repeat("x", 5000)}, 431, "header_too_large"},
		{"bad deadline", "/v1/chat/completions", good, map[string]string{HeaderDeadline: "soon"}, 400, "bad_request"},
		{"unknown path", "/v1/embeddings", good, nil, 400, "bad_request"},
		{"unknown service", "/v1/services/loom/x", good, nil, 404, "unknown_model"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			resp, body := f.post(t, tt.path, tt.body, tt.header)
			var got errorBody
			if err := json.Unmarshal([]byte(body), &got); err != nil {
				t.Fatalf("%v in %q", err, body)
			}
			if resp.StatusCode != tt.status || got.Error.Reason != tt.reason || got.Error.Run != "no" {
				t.Errorf("got status %d, %+v", resp.StatusCode, got.Error)
			}
			if resp.Header.Get(HeaderRun) != "no" || resp.Header.Get("Retry-After") != "" {
				t.Errorf("got header %v", resp.Header)
			}
		})
	}
}

func TestSlowBodyTimesOut(t *testing.T) {
	f := newFixture(t, 1)
	conn, err := net.Dial("tcp", strings.TrimPrefix(f.address, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	head := "POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer secret\r\nContent-Length: 1000\r\n\r\n"
	if _, err := io.WriteString(conn, head); err != nil {
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
	answer := make([]byte, 4096)
	n, err := conn.Read(answer)
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.HasPrefix(answer[:n], []byte("HTTP/1.1 408 ")) {
		t.Errorf("got %q", answer[:n])
	}
}

func TestStreamedAndWholeAnswersAgree(t *testing.T) {
	f := newFixture(t, 1)
	_, streamed := f.post(t, "/v1/chat/completions", prompted("loom", true, 12), nil)
	_, whole := f.post(t, "/v1/chat/completions", prompted("loom", false, 12), nil)
	want := answerText(t, streamed)
	if got := answerText(t, whole); got != want || len(strings.Fields(got)) != 12 {
		t.Errorf("whole %q, streamed %q", got, want)
	}
	if !strings.HasSuffix(streamed, "data: [DONE]\n\n") {
		t.Error("the stream has no end")
	}
}

// wantAnswer sends a request under faults and compares its text.
func (f *fixture) wantAnswer(t *testing.T, stream bool, faults engineapi.EngineFaults) {
	t.Helper()
	_, clean := f.post(t, "/v1/chat/completions", prompted("loom", true, 20), nil)
	want := answerText(t, clean)
	f.engines[0].SetFaults(faults)
	resp, body := f.post(t, "/v1/chat/completions", prompted("loom", stream, 20), nil)
	if got := answerText(t, body); resp.StatusCode != 200 || got != want {
		t.Errorf("status %d\ngot  %q\nwant %q", resp.StatusCode, got, want)
	}
}

func TestCutStreamIsResumed(t *testing.T) {
	f := newFixture(t, 1)
	f.wantAnswer(t, true, engineapi.EngineFaults{CutAfterTokens: 5})
	if runs := f.engines[0].Counters(); runs.Cancelled != 0 {
		t.Errorf("a resumed stream was cancelled: %+v", runs)
	}
}

func TestDoubledFramesAreDropped(t *testing.T) {
	newFixture(t, 1).wantAnswer(t, true, engineapi.EngineFaults{DoubleFrames: true})
}

func TestLateFramesAreDropped(t *testing.T) {
	newFixture(t, 1).wantAnswer(t, true, engineapi.EngineFaults{LateFrames: true})
}

// Each engine crashes once in the middle: the answer goes on at the other one.
func TestCrashedStreamContinuesElsewhere(t *testing.T) {
	for _, stream := range []bool{true, false} {
		f := newFixture(t, 2)
		_, clean := f.post(t, "/v1/chat/completions", prompted("loom", true, 20), nil)
		want := answerText(t, clean)
		for _, e := range f.engines {
			e.SetFaults(engineapi.EngineFaults{CrashAfterTokens: 12})
		}
		resp, body := f.post(t, "/v1/chat/completions", prompted("loom", stream, 20), nil)
		if got := answerText(t, body); resp.StatusCode != 200 || got != want {
			t.Errorf("stream %v: status %d\ngot  %q\nwant %q", stream, resp.StatusCode, got, want)
		}
	}
}

// A crash leaves it unknown how far a request came that is not idempotent. It
// must not run at the other engine.
func TestNonIdempotentRequestRunsOnce(t *testing.T) {
	f := newFixture(t, 2)
	for _, e := range f.engines {
		e.SetFaults(engineapi.EngineFaults{CrashAfterTokens: 3})
	}
	resp, body := f.post(t, "/v1/chat/completions", prompted("once", false, 20), nil)
	if resp.StatusCode != 502 || resp.Header.Get(HeaderRun) != "unknown" {
		t.Errorf("status %d, header %v, %s", resp.StatusCode, resp.Header, body)
	}
	started := f.engines[0].Counters().Started + f.engines[1].Counters().Started
	if started != 1 {
		t.Errorf("the request started %d times", started)
	}
}

// net/http repeats a request with an idempotency key by itself if a kept
// connection breaks, unless it can't rewind the body.
func TestServiceCallIsSentOnce(t *testing.T) {
	f := newFixture(t, 0)
	if resp, body := f.post(t, "/v1/services/stamp/issue", "{}", nil); resp.StatusCode != 200 {
		t.Fatalf("warm-up: %d %s", resp.StatusCode, body)
	}
	f.service.SetFaults(service.Faults{CrashAfterRun: 1})
	for key, body := range map[string]string{"certificate-1": "{}", "certificate-2": ""} {
		resp, _ := f.post(t, "/v1/services/stamp/issue", body, map[string]string{HeaderIdempotencyKey: key})
		if resp.StatusCode != 502 || resp.Header.Get(HeaderRun) != "unknown" {
			t.Errorf("status %d, header %v", resp.StatusCode, resp.Header)
		}
		if runs := f.service.Runs(key); runs != 1 {
			t.Errorf("one call with body %q ran %d times", body, runs)
		}
	}
}

func TestCallerWhoLeavesIsCancelledAtTheEngine(t *testing.T) {
	f := newFixture(t, 1)
	ctx, leave := context.WithCancel(context.Background())
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, f.address+"/v1/chat/completions", strings.NewReader(prompted("loom", true, 5000)))
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
	leave()
	_ = resp.Body.Close()
	for f.engines[0].Counters().Running > 0 {
		time.Sleep(time.Millisecond)
	}
	if c := f.engines[0].Counters(); c.Cancelled != 1 {
		t.Errorf("got %+v", c)
	}
}

func TestDeadlineEndsTheRequestAtOnce(t *testing.T) {
	f := newFixture(t, 1)
	resp, body := f.post(t, "/v1/chat/completions", prompted("loom", false, 5000), map[string]string{HeaderDeadline: "50"})
	if resp.StatusCode != 504 || !strings.Contains(body, `"reason":"deadline_passed"`) || resp.Header.Get("Retry-After") == "" {
		t.Errorf("status %d, %s", resp.StatusCode, body)
	}
}

// An engine's verdict on the request itself is the caller's answer. It was once
// taken for a server that turns requests away, and tried again until the
// attempts were spent.
func TestEnginesVerdictIsPassedOn(t *testing.T) {
	f := newFixture(t, 2)
	body := `{"model":"loom","metadata":{"answer_tokens":7},"messages":[{"role":"user","content":"x"}]}`
	resp, answer := f.post(t, "/v1/chat/completions", body, nil)
	if resp.StatusCode != 400 || strings.Contains(answer, "bergamotpin") {
		t.Errorf("status %d, %s", resp.StatusCode, answer)
	}
}

// A caller that stops reading must not hold its engine for ever.
func TestCallerWhoStopsReadingIsLeft(t *testing.T) {
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
	body := prompted("loom", true, 100_000)
	head := "POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer secret\r\nContent-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n"
	if _, err := io.WriteString(conn, head+body); err != nil {
		t.Fatal(err)
	}
	for f.engines[0].Counters().Started == 0 || f.proxy.InFlight.Count("engine-a") > 0 {
		time.Sleep(10 * time.Millisecond)
	}
	f.proxy.Wait()
	if c := f.engines[0].Counters(); c.Cancelled != 1 {
		t.Errorf("got %+v", c)
	}
}

// The bound of one request's writes must not end the next one on the same
// connection.
func TestWriteBoundEndsWithItsRequest(t *testing.T) {
	f := newFixture(t, 1)
	f.proxy.Limits.CallerTimeout = 100 * time.Millisecond
	if resp, _ := f.post(t, "/v1/chat/completions", prompted("loom", true, 2), nil); resp.StatusCode != 200 {
		t.Fatalf("status %d", resp.StatusCode)
	}
	time.Sleep(150 * time.Millisecond)
	if resp, _ := f.post(t, "/v1/chat/completions", "{", nil); resp.StatusCode != 400 {
		t.Errorf("status %d", resp.StatusCode)
	}
}
