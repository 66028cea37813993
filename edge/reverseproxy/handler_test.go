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

func TestRequestIsPassedOnUnchanged(t *testing.T) {
	f := newFleet(t, 1)
	r := f.request("/safe/a%2Fb/../c?x=1&y=%20")
	r.Header.Set("X-Own", "kept")
	r.Header.Set(platform.HeaderOrganisation, "forged")
	r.Header.Set(platform.HeaderPriority, "0")
	r.Header.Set(platform.HeaderDeadline, "900")
	r.Header.Set(forgedHeader, "forged")
	f.expectStatus(f.do(r), 200)
	got := f.replicas[0].Received()[0]
	if got.Method != "POST" || got.Target != "/safe/a%2Fb/../c?x=1&y=%20" || got.Host != "h.example" || got.Body != "the body" {
		t.Errorf("got %s %s %s %q", got.Method, got.Target, got.Host, got.Body)
	}
	for name, want := range map[string]string{
		"X-Own": "kept", platform.HeaderOrganisation: "org", platform.HeaderPriority: "1", platform.HeaderAPIKey: "",
		forgedHeader: "", platform.HeaderExpectServer: "i-0", platform.HeaderRequestID: "request-1",
	} {
		if got.Header.Get(name) != want {
			t.Errorf("%s is %q, want %q", name, got.Header.Get(name), want)
		}
	}
	left, err := platform.Deadline(got.Header, 0)
	if err != nil || left > 900*time.Millisecond || left < 500*time.Millisecond {
		t.Errorf("the server was given %v, %v of 900 ms", left, err)
	}
}

func TestAnswerIsPassedBackUnchanged(t *testing.T) {
	f := newFleet(t, 1)
	f.behave(platformtest.Behaviour{Status: 404})
	got := f.do(f.request(pathSafe))
	f.expectStatus(got, 404)
	if got.body != "body of request-1 by i-0" || got.header.Get(platform.HeaderServerStamp) != "stamp-i-0" {
		t.Errorf("got %q, %v", got.body, got.header)
	}
}

func TestWhatIsWrongWithARequestIsTold(t *testing.T) {
	f := newFleet(t, 1)
	cases := map[string]struct {
		change func(r *http.Request)
		want   int
	}{
		"unknown host":  {func(r *http.Request) { r.Host = "other.example" }, 404},
		"unknown path":  {func(r *http.Request) { r.URL.Path = "/nowhere/" }, 404},
		"unknown key":   {func(r *http.Request) { r.Header.Set(platform.HeaderAPIKey, "wrong") }, 401},
		"no key":        {func(r *http.Request) { r.Header.Del(platform.HeaderAPIKey) }, 401},
		"no id":         {func(r *http.Request) { r.Header.Del(platform.HeaderRequestID) }, 400},
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
				t.Error("nothing says what is wrong")
			}
		})
	}
}

func longBody(n int) io.ReadCloser { return io.NopCloser(strings.NewReader(strings.Repeat("x", n))) }

func TestInstanceWithoutConfigurationTakesNothing(t *testing.T) {
	f := newFleet(t, 1)
	f.front.Catalog = catalog.New(platform.Decoder{})
	got := f.do(f.request(pathSafe))
	f.expectStatus(got, 503)
	if got.header.Get("Retry-After") == "" {
		t.Error("nothing says when to come back")
	}
}

// TestUnsafeRequestRunsOnce has servers fail in each way: only what did not run
// goes to another server.
func TestUnsafeRequestRunsOnce(t *testing.T) {
	cases := map[string]struct {
		behaviour platformtest.Behaviour
		runs      int
		status    int
	}{
		"answered":    {platformtest.Behaviour{}, 1, 200},
		"its own 500": {platformtest.Behaviour{Status: 500}, 1, 500},
		"no stamp":    {platformtest.Behaviour{NoStamp: true}, 1, 502},
		"hang":        {platformtest.Behaviour{Hang: true}, 1, 504},
		"refused":     {platformtest.Behaviour{Refuse: true}, 0, 503},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t, 3)
			f.behave(c.behaviour)
			got := f.do(f.request(pathUnsafe))
			f.expectStatus(got, c.status)
			if n := len(f.ran()); n != c.runs {
				t.Errorf("%d runs, want %d", n, c.runs)
			}
			if back := got.header.Get("Retry-After"); (c.status == 503) != (back != "") {
				t.Errorf("Retry-After is %q", back)
			}
		})
	}
}

func TestRefusedSendGoesElsewhere(t *testing.T) {
	f := newFleet(t, 3)
	f.replicas[0].SetBehaviour(platformtest.Behaviour{Refuse: true})
	f.replicas[1].SetBehaviour(platformtest.Behaviour{Refuse: true})
	for range 5 {
		f.expectStatus(f.do(f.request(pathUnsafe)), 200)
	}
	for _, id := range f.ran() {
		if id != "i-2" {
			t.Errorf("%s ran a request that it refused", id)
		}
	}
}

// TestAddressThatAnotherServerHas has an entry point at a server of another
// name, which must run nothing.
func TestAddressThatAnotherServerHas(t *testing.T) {
	f := newFleet(t, 2)
	f.write(catalog.KindServer, "i-old", f.replicas[0].Entry("ready"))
	f.write(catalog.KindServer, "i-0", f.replicas[0].Entry("draining"))
	for range 6 {
		f.expectStatus(f.do(f.request(pathUnsafe)), 200)
	}
	if slices.Contains(f.ran(), "i-0") {
		t.Error("a server ran what was meant for another")
	}
}

// TestSafeRequestUsesItsServers counts the servers that a failing request runs
// on.
func TestSafeRequestUsesItsServers(t *testing.T) {
	f := newFleet(t, 4)
	f.behave(platformtest.Behaviour{Status: 500})
	got := f.do(f.request(pathSafe))
	f.expectStatus(got, 500)
	if got.header.Get(platform.HeaderServerStamp) == "" {
		t.Error("the server's own failure lost its signature")
	}
	if n := len(f.ran()); n != 2 {
		t.Errorf("%d runs, the route allows 2", n)
	}
	f.replicas[0].SetBehaviour(platformtest.Behaviour{})
	f.replicas[1].SetBehaviour(platformtest.Behaviour{})
	f.replicas[2].SetBehaviour(platformtest.Behaviour{})
	for range 5 {
		f.expectStatus(f.do(f.request(pathSafe)), 200)
	}
}

func TestHangingServerIsLeftForAnother(t *testing.T) {
	f := newFleet(t, 2)
	f.replicas[0].SetBehaviour(platformtest.Behaviour{Hang: true})
	for range 4 {
		began := time.Now()
		f.expectStatus(f.do(f.request(pathSafe)), 200)
		if took := time.Since(began); took > time.Second {
			t.Errorf("took %v", took)
		}
	}
}

// TestRevokedKeyStopsARequestThatIsTriedAgain revokes the key while the first
// server holds the request.
func TestRevokedKeyStopsARequestThatIsTriedAgain(t *testing.T) {
	f := newFleet(t, 2)
	f.behave(platformtest.Behaviour{Status: 500, Delay: 150 * time.Millisecond})
	time.AfterFunc(50*time.Millisecond, func() { f.configure(2, "another") })
	f.expectStatus(f.do(f.request(pathSafe)), 500)
	if n := len(f.ran()); n != 1 {
		t.Errorf("%d runs, the second came after the key was gone", n)
	}
	f.expectStatus(f.do(f.request(pathSafe)), 401)
}

func TestNoServerIsToldAtOnce(t *testing.T) {
	f := newFleet(t, 1)
	f.write(catalog.KindServer, "i-0", f.replicas[0].Entry("draining"))
	began := time.Now()
	got := f.do(f.request(pathSafe))
	f.expectStatus(got, 503)
	if got.header.Get("Retry-After") == "" || time.Since(began) > 200*time.Millisecond {
		t.Errorf("after %v: %v", time.Since(began), got.header)
	}
}

func TestUnreadBodyDoesNotEndTheConnectionUnanswered(t *testing.T) {
	f := newFleet(t, 1)
	conn, err := net.Dial("tcp", strings.TrimPrefix(f.url, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	// Half of the stated body comes, then nothing.
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
	if resp.StatusCode != http.StatusRequestTimeout || len(f.ran()) != 0 {
		t.Errorf("got %d, ran %v", resp.StatusCode, f.ran())
	}
}

// TestMetricsTellOfAnswers reads the metrics' text after answers on time and
// late.
func TestMetricsTellOfAnswers(t *testing.T) {
	f := newFleet(t, 1)
	f.behave(platformtest.Behaviour{Events: 2})
	f.expectStatus(f.do(f.request(pathStream)), 200)
	f.behave(platformtest.Behaviour{Events: 2, EventPause: 300 * time.Millisecond})
	f.expectStatus(f.do(f.request(pathStream)), 200)
	deadline := time.Now().Add(5 * time.Second)
	for {
		w := httptest.NewRecorder()
		f.front.Metrics.Handler().ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/metrics", nil))
		text := w.Body.String()
		met := strings.Contains(text, `target="met"} 1`)
		missed := strings.Contains(text, `target="missed"} 1`)
		first := strings.Contains(text, "first_token_count")
		if met && missed && first {
			return
		}
		if time.Now().After(deadline) {
			t.Fatalf("met %v, missed %v, first token %v in:\n%s", met, missed, first, text)
		}
		time.Sleep(50 * time.Millisecond)
	}
}
