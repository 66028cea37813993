package reverseproxy

import (
	"bufio"
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"bergamotpin.example/bergamotpin/platform"
	"bergamotpin.example/bergamotpin/platform/platformtest"
)

// TestStreamIsRelayedEventByEvent checks that each event is passed on before the
// next one arrives.
func TestStreamIsRelayedEventByEvent(t *testing.T) {
	f := newFixture(t, 1)
	f.setBehaviour(platformtest.Behaviour{Events: 4, EventPause: 100 * time.Millisecond})
	resp, err := http.DefaultClient.Do(f.request(pathStream))
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	began := time.Now()
	lines := bufio.NewScanner(resp.Body)
	if !lines.Scan() || lines.Text() != "id: 1" {
		t.Fatalf("the first line is %q, want id: 1", lines.Text())
	}
	if took := time.Since(began); took > 90*time.Millisecond {
		t.Errorf("the first event arrived after %v, want at most 90 ms because the second event is sent after 100 ms", took)
	}
	further := 0
	for lines.Scan() {
		further++
	}
	if further != 3*4-1 || lines.Err() != nil {
		t.Errorf("got %d further lines, error %v; want 11 lines and no error", further, lines.Err())
	}
}

// streamBody returns the body of a stream with one event from each of the given
// servers, in this order.
func streamBody(servers ...string) string {
	var b strings.Builder
	for n, id := range servers {
		fmt.Fprintf(&b, "id: %d\ndata: %s-%d\n\n", n+1, id, n+1)
	}
	return b.String()
}

// TestStreamResumesAtAnotherServer checks that a stream that is cut at one server
// continues at the other without a lost or duplicate event, and that a stream
// that is cut at both servers does not look complete.
func TestStreamResumesAtAnotherServer(t *testing.T) {
	f := newFixture(t, 2)
	f.setBehaviour(platformtest.Behaviour{Events: 5, CutAfterEvents: 2})
	first := f.do(f.request(pathResumable))
	if first.err == nil {
		t.Errorf("got the body %q without an error, want an error because every server cut the stream", first.body)
	}
	f = newFixture(t, 2)
	f.servers[0].SetBehaviour(platformtest.Behaviour{Events: 5, CutAfterEvents: 2})
	f.servers[1].SetBehaviour(platformtest.Behaviour{Events: 5})
	resumed := false
	for range 6 {
		got := f.do(f.request(pathResumable))
		f.expectStatus(got, 200)
		switch got.body {
		case streamBody("i-1", "i-1", "i-1", "i-1", "i-1"):
		case streamBody("i-0", "i-0", "i-1", "i-1", "i-1"):
			resumed = true
			if got.header.Get(platform.HeaderServerStamp) != "stamp-i-0" {
				t.Errorf("the response has the stamp %q, want stamp-i-0 because i-0 began the stream", got.header.Get(platform.HeaderServerStamp))
			}
		default:
			t.Errorf("got the body %q, want 5 events from i-1, or 2 from i-0 and 3 from i-1", got.body)
		}
	}
	if !resumed {
		t.Error("none of the 6 streams resumed at another server, want at least one")
	}
}

// TestNonResumableStreamIsAborted checks that a stream that must not be resumed
// is sent to one server only, and that the caller notices the cut.
func TestNonResumableStreamIsAborted(t *testing.T) {
	f := newFixture(t, 2)
	f.setBehaviour(platformtest.Behaviour{Events: 5, CutAfterEvents: 2})
	got := f.do(f.request(pathStream))
	if got.err == nil {
		t.Errorf("got the body %q without an error, want an error because the stream was aborted", got.body)
	}
	if got.body != streamBody(f.serversThatRan()[0], f.serversThatRan()[0]) {
		t.Errorf("got the body %q, want two whole events and nothing after them", got.body)
	}
	if n := len(f.serversThatRan()); n != 1 {
		t.Errorf("got %d runs, want 1", n)
	}
}

// TestServerIsCancelledWhenCallerLeaves checks that a server stops working on a
// request at most 400 ms after the caller left.
func TestServerIsCancelledWhenCallerLeaves(t *testing.T) {
	for name, b := range map[string]platformtest.Behaviour{
		"before the response": {Hang: true},
		"inside a stream":     {Events: 1000, EventPause: 10 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, 1)
			f.setBehaviour(b)
			ctx, cancel := context.WithTimeout(context.Background(), 150*time.Millisecond)
			defer cancel()
			got := f.do(f.request(pathStream).WithContext(ctx))
			if got.err == nil {
				t.Fatalf("got the response %+v for the cancelled request, want an error", got)
			}
			left := time.Now()
			for f.servers[0].Cancelled() == 0 && time.Since(left) < 2*time.Second {
				time.Sleep(time.Millisecond)
			}
			if took := time.Since(left); took > 400*time.Millisecond {
				t.Errorf("the server kept working for %v after the caller left, want at most 400 ms", took)
			}
		})
	}
}

// TestResponseKeepsRouteTimeout has a server exceed the route's timeout: in one
// case it sends no response, in the other case it is still sending events. The
// caller must get a response or an error in time.
func TestResponseKeepsRouteTimeout(t *testing.T) {
	for name, b := range map[string]platformtest.Behaviour{
		"nothing": {Hang: true}, "stream": {Events: 100, EventPause: 50 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, 1)
			f.setBehaviour(b)
			began := time.Now()
			got := f.do(f.request(pathStream))
			if took := time.Since(began); took > 1900*time.Millisecond {
				t.Errorf("the response took %v, want at most 1.9 s because the route's timeout is 1.5 s", took)
			}
			if got.err == nil && got.status != 504 {
				t.Errorf("got %+v, want an error or status 504", got)
			}
		})
	}
}
