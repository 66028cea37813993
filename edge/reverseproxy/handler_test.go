package reverseproxy

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"time"

	"bergamotpin.example/bergamotpin/edge/catalog"
	"bergamotpin.example/bergamotpin/platform"
	"bergamotpin.example/bergamotpin/platform/platformtest"
)

// TestRequestIsForwardedUnchanged checks that the server gets the request as the
// caller sent it, except for the headers that only the router may set.
func TestRequestIsForwardedUnchanged(t *testing.T) {
	f := newFixture(t, 1)
	r := f.request("/safe/a%2Fb/../c?x=1&y=%20")
	r.Header.Set("X-Own", "kept")
	r.Header.Set(platform.HeaderOrganisation, "forged")
	r.Header.Set(platform.HeaderPriority, "0")
	r.Header.Set(platform.HeaderDeadline, "900")
	r.Header.Set(forgedHeader, "forged")
	f.expectStatus(f.do(r), 200)
	got := f.servers[0].Received()[0]
	if got.Method != "POST" || got.Target != "/safe/a%2Fb/../c?x=1&y=%20" || got.Host != "h.example" || got.Body != "the body" {
		t.Errorf("the server got method %s, target %s, host %s and body %q, want those that the caller sent", got.Method, got.Target, got.Host, got.Body)
	}
	for name, want := range map[string]string{
		"X-Own": "kept", platform.HeaderOrganisation: "org", platform.HeaderPriority: "1", platform.HeaderAPIKey: "",
		forgedHeader: "", platform.HeaderExpectServer: "i-0", platform.HeaderRequestID: "request-1",
	} {
		if got.Header.Get(name) != want {
			t.Errorf("the server got the header %s with the value %q, want %q", name, got.Header.Get(name), want)
		}
	}
	left, err := platform.ParseDeadline(got.Header, 0)
	if err != nil || left > 900*time.Millisecond || left < 500*time.Millisecond {
		t.Errorf("the server got the deadline %v, error %v; want 500 ms to 900 ms", left, err)
	}
}

// TestResponseIsRelayedUnchanged checks that a server's own error response goes
// to the caller with its status, body and stamp.
func TestResponseIsRelayedUnchanged(t *testing.T) {
	f := newFixture(t, 1)
	f.setBehaviour(platformtest.Behaviour{Status: 404})
	got := f.do(f.request(pathSafe))
	f.expectStatus(got, 404)
	if got.body != "body of request-1 by i-0" || got.header.Get(platform.HeaderServerStamp) != "stamp-i-0" {
		t.Errorf("got the body %q, want that of server i-0; got the header %v, want the server stamp stamp-i-0", got.body, got.header)
	}
}

// TestBadRequestIsRefused checks the status of each kind of faulty request. Two
// valid requests that resemble faulty ones must get status 200.
func TestBadRequestIsRefused(t *testing.T) {
	f := newFixture(t, 1)
	cases := map[string]struct {
		change func(r *http.Request)
		want   int
	}{
		"unknown host":  {func(r *http.Request) { r.Host = "other.example" }, 404},
		"unknown path":  {func(r *http.Request) { r.URL.Path = "/nowhere/" }, 404},
		"unknown key":   {func(r *http.Request) { r.Header.Set(platform.HeaderAPIKey, "wrong") }, 401},
		"no key":        {func(r *http.Request) { r.Header.Del(platform.HeaderAPIKey) }, 401},
		"no request ID": {func(r *http.Request) { r.Header.Del(platform.HeaderRequestID) }, 400},
		"bad deadline":  {func(r *http.Request) { r.Header.Set(platform.HeaderDeadline, "soon") }, 400},
		"long header":   {func(r *http.Request) { r.Header.Set("X-Long", strings.Repeat("x", 20000)) }, 431},
		"long body":     {func(r *http.Request) { r.Body, r.ContentLength = longBody(2000), 2000 }, 413},
		"long chunked":  {func(r *http.Request) { r.Body, r.ContentLength = longBody(2000), -1 }, 413},
		"chunked":       {func(r *http.Request) { r.Body, r.ContentLength = longBody(900), -1 }, 200},
		"public no key": {func(r *http.Request) { r.URL.Path = pathPublic; r.Header.Del(platform.HeaderAPIKey) }, 200},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			r := f.request(pathSafe)
			c.change(r)
			got := f.do(r)
			f.expectStatus(got, c.want)
			if c.want != 200 && got.body == "" {
				t.Error("got a refusal without a message, want a message in the body")
			}
		})
	}
}

func longBody(n int) io.ReadCloser { return io.NopCloser(strings.NewReader(strings.Repeat("x", n))) }

// TestInstanceWithoutConfigurationRefuses checks that an instance that has just
// started refuses a request, and tells the caller to send it again later.
func TestInstanceWithoutConfigurationRefuses(t *testing.T) {
	f := newFixture(t, 1)
	f.handler.Catalog = catalog.New(platform.Decoder{})
	got := f.do(f.request(pathSafe))
	f.expectStatus(got, 503)
	if got.header.Get("Retry-After") == "" {
		t.Error("got a refusal without a Retry-After header, want the header")
	}
}

// TestUnsafeRequestRunsOnce checks for each kind of failure that an unsafe
// request is sent to another server only if the first server did not run it.
func TestUnsafeRequestRunsOnce(t *testing.T) {
	cases := map[string]struct {
		behaviour platformtest.Behaviour
		runs      int
		status    int
	}{
		"answered":     {platformtest.Behaviour{}, 1, 200},
		"server error": {platformtest.Behaviour{Status: 500}, 1, 500},
		"no stamp":     {platformtest.Behaviour{NoStamp: true}, 1, 502},
		"hang":         {platformtest.Behaviour{Hang: true}, 1, 504},
		"refused":      {platformtest.Behaviour{Refuse: true}, 0, 503},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, 3)
			f.setBehaviour(c.behaviour)
			got := f.do(f.request(pathUnsafe))
			f.expectStatus(got, c.status)
			if n := len(f.serversThatRan()); n != c.runs {
				t.Errorf("got %d runs, want %d", n, c.runs)
			}
			if retryAfter := got.header.Get("Retry-After"); (c.status == 503) != (retryAfter != "") {
				t.Errorf("got the Retry-After header %q; want one with status 503, and none with any other status", retryAfter)
			}
		})
	}
}

// TestRefusedAttemptGoesToAnotherServer lets two of three servers refuse: even a
// request that must not run twice may then be sent to the third.
func TestRefusedAttemptGoesToAnotherServer(t *testing.T) {
	f := newFixture(t, 3)
	f.servers[0].SetBehaviour(platformtest.Behaviour{Refuse: true})
	f.servers[1].SetBehaviour(platformtest.Behaviour{Refuse: true})
	for range 5 {
		f.expectStatus(f.do(f.request(pathUnsafe)), 200)
	}
	for _, id := range f.serversThatRan() {
		if id != "i-2" {
			t.Errorf("server %s ran a request, want only i-2", id)
		}
	}
}

// TestReusedAddressRunsNothing registers server i-old under the address of server
// i-0. Server i-0 must not run requests that are meant for i-old.
func TestReusedAddressRunsNothing(t *testing.T) {
	f := newFixture(t, 2)
	f.putRecord(catalog.KindServer, "i-old", f.servers[0].Entry("ready"))
	f.putRecord(catalog.KindServer, "i-0", f.servers[0].Entry("draining"))
	for range 6 {
		f.expectStatus(f.do(f.request(pathUnsafe)), 200)
	}
	if slices.Contains(f.serversThatRan(), "i-0") {
		t.Error("server i-0 ran a request that was meant for i-old, want none")
	}
}

// TestSafeRequestIsRetriedUpToMaxServers checks that a failing request runs at
// no more servers than its route allows, and that the last error response goes
// to the caller.
func TestSafeRequestIsRetriedUpToMaxServers(t *testing.T) {
	f := newFixture(t, 4)
	f.setBehaviour(platformtest.Behaviour{Status: 500})
	got := f.do(f.request(pathSafe))
	f.expectStatus(got, 500)
	if got.header.Get(platform.HeaderServerStamp) == "" {
		t.Error("got the server's error response without the server's stamp, want it with the stamp")
	}
	if n := len(f.serversThatRan()); n != 2 {
		t.Errorf("got %d runs, want the 2 that the route allows", n)
	}
	f.servers[0].SetBehaviour(platformtest.Behaviour{})
	f.servers[1].SetBehaviour(platformtest.Behaviour{})
	f.servers[2].SetBehaviour(platformtest.Behaviour{})
	for range 5 {
		f.expectStatus(f.do(f.request(pathSafe)), 200)
	}
}

// TestRequestLeavesHangingServer checks that a request goes to another server in
// time if its first server sends no response.
func TestRequestLeavesHangingServer(t *testing.T) {
	f := newFixture(t, 2)
	f.servers[0].SetBehaviour(platformtest.Behaviour{Hang: true})
	for range 4 {
		began := time.Now()
		f.expectStatus(f.do(f.request(pathSafe)), 200)
		if took := time.Since(began); took > time.Second {
			t.Errorf("the response took %v, want at most 1 s", took)
		}
	}
}

// TestRevokedKeyStopsRetry revokes the caller's API key while the first server
// works on the request. The request must not be sent to another server.
func TestRevokedKeyStopsRetry(t *testing.T) {
	f := newFixture(t, 2)
	f.setBehaviour(platformtest.Behaviour{Status: 500, Delay: 150 * time.Millisecond})
	time.AfterFunc(50*time.Millisecond, func() { f.configure(2, "another") })
	f.expectStatus(f.do(f.request(pathSafe)), 500)
	if n := len(f.serversThatRan()); n != 1 {
		t.Errorf("got %d runs, want 1 because the key was revoked before the retry", n)
	}
	f.expectStatus(f.do(f.request(pathSafe)), 401)
}

// TestRequestWithoutServerIsRefusedAtOnce checks that a request does not wait for a
// server if the only server is draining.
func TestRequestWithoutServerIsRefusedAtOnce(t *testing.T) {
	f := newFixture(t, 1)
	f.putRecord(catalog.KindServer, "i-0", f.servers[0].Entry("draining"))
	began := time.Now()
	got := f.do(f.request(pathSafe))
	f.expectStatus(got, 503)
	if got.header.Get("Retry-After") == "" || time.Since(began) > 200*time.Millisecond {
		t.Errorf("got the refusal after %v, want at most 200 ms; got the header %v, want a Retry-After header", time.Since(began), got.header)
	}
}

// TestIncompleteBodyIsAnswered checks that a caller whose body stops arriving
// gets a response, and that no server runs the request.
func TestIncompleteBodyIsAnswered(t *testing.T) {
	f := newFixture(t, 1)
	conn, err := net.Dial("tcp", strings.TrimPrefix(f.url, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	// Send less of the body than Content-Length states, and then nothing more.
	_, err = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: h.example\r\n%s: half\r\n%s: key\r\n%s: 300\r\nContent-Length: 100\r\n\r\nhalf",
		pathUnsafe, platform.HeaderRequestID, platform.HeaderAPIKey, platform.HeaderDeadline)
	if err != nil {
		t.Fatal(err)
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusRequestTimeout || len(f.serversThatRan()) != 0 {
		t.Errorf("got status %d, want 408; servers that ran the request: %v, want none", resp.StatusCode, f.serversThatRan())
	}
}

// TestMetricsCountResponses reads the exposed metrics after one response that
// met its targets and one that missed them.
func TestMetricsCountResponses(t *testing.T) {
	f := newFixture(t, 1)
	f.setBehaviour(platformtest.Behaviour{Events: 2})
	f.expectStatus(f.do(f.request(pathStream)), 200)
	f.setBehaviour(platformtest.Behaviour{Events: 2, EventPause: 300 * time.Millisecond})
	f.expectStatus(f.do(f.request(pathStream)), 200)
	deadline := time.Now().Add(5 * time.Second)
	for {
		w := httptest.NewRecorder()
		f.handler.Metrics.Handler().ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/metrics", nil))
		text := w.Body.String()
		met := strings.Contains(text, `target="met"} 1`)
		missed := strings.Contains(text, `target="missed"} 1`)
		first := strings.Contains(text, "first_token_count")
		if met && missed && first {
			return
		}
		if time.Now().After(deadline) {
			t.Fatalf("got target met %v, target missed %v, first token %v; want all three true within 5 s; metrics:\n%s", met, missed, first, text)
		}
		time.Sleep(50 * time.Millisecond)
	}
}
