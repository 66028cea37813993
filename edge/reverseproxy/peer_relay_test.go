package reverseproxy

import (
	"bufio"
	"context"
	"log/slog"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	"bergamotpin.example/bergamotpin/edge/backendclient"
	"bergamotpin.example/bergamotpin/edge/gossip"
	"bergamotpin.example/bergamotpin/edge/reachability"
	"bergamotpin.example/bergamotpin/platform"
	"bergamotpin.example/bergamotpin/platform/platformtest"
)

// cutOff has the fixture's instance reach no server, and know the given instances.
func (f *fixture) cutOff(peers ...*fixture) {
	f.t.Helper()
	m := reachability.New(reachability.Options{
		Servers: func() []backendclient.Server { return make([]backendclient.Server, 1) },
		Connect: func(context.Context, backendclient.Server) bool { return false }, OnChange: func() {}, Log: slog.New(slog.DiscardHandler),
	})
	f.t.Cleanup(m.Close)
	m.Suspect()
	if !m.Verdict(context.Background()) {
		f.t.Fatal("the instance is not cut off")
	}
	f.handler.PeerRelay.Reach = m
	f.handler.PeerRelay.Relays = func() []gossip.Relay {
		var relays []gossip.Relay
		for _, p := range peers {
			relays = append(relays, gossip.Relay{Name: p.url, Callers: netip.MustParseAddrPort(strings.TrimPrefix(p.url, "http://"))})
		}
		return relays
	}
}

// newRelayPair returns an instance that reaches no server, and one with a server to which it
// hands requests on.
func newRelayPair(t *testing.T, b platformtest.Behaviour) (cut, peer *fixture) {
	t.Helper()
	cut, peer = newFixture(t, 1), newFixture(t, 1)
	peer.setBehaviour(b)
	cut.cutOff(peer)
	return cut, peer
}

// TestRelayedRequestIsUnchanged guards against a server that sees a relayed request other than
// as its caller sent it, and against a caller that sees another answer than the server's.
func TestRelayedRequestIsUnchanged(t *testing.T) {
	cut, peer := newRelayPair(t, platformtest.Behaviour{Events: 3})
	for _, path := range []string{pathSafe, pathUnsafe, pathStream, pathResumable} {
		r := cut.request(path + "x?y=1%2F2")
		r.Header.Set("X-Mine", "kept")
		r.Header.Set(platform.HeaderDeadline, "900")
		got := cut.do(r)
		cut.expectStatus(got, 200)
		all := peer.servers[0].Received()
		seen := all[len(all)-1]
		if seen.Target != path+"x?y=1%2F2" || seen.Method != http.MethodPost || seen.Body != "the body" || seen.Host != "h.example" || seen.Header.Get("X-Mine") != "kept" {
			t.Errorf("the server got %+v, want what the caller sent", seen)
		}
		if seen.Header.Get(platform.HeaderRequestID) != r.Header.Get(platform.HeaderRequestID) || seen.Header.Get(platform.HeaderOrganisation) != "org" {
			t.Errorf("the server got the header %v, want the caller's ID and organisation", seen.Header)
		}
		if seen.Header.Get(platform.HeaderAPIKey) != "" || seen.Header.Get(platform.HeaderRelayed) != "" {
			t.Errorf("the server got the header %v, want neither the key nor the mark", seen.Header)
		}
		if got.header.Get(platform.HeaderServerStamp) != "stamp-i-0" || got.body != streamBody("i-0", "i-0", "i-0") {
			t.Errorf("the caller got %+v, want the server's answer", got)
		}
	}
	if n := len(cut.serversThatRan()); n > 0 {
		t.Errorf("%d requests ran at a server of the instance that reaches none", n)
	}
}

// TestRelayedStreamComesEventByEvent guards against a stream that is held back until it is whole.
func TestRelayedStreamComesEventByEvent(t *testing.T) {
	cut, _ := newRelayPair(t, platformtest.Behaviour{Events: 3, EventPause: 200 * time.Millisecond})
	resp, err := http.DefaultClient.Do(cut.request(pathStream))
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	began := time.Now()
	if lines := bufio.NewScanner(resp.Body); !lines.Scan() || time.Since(began) > 150*time.Millisecond {
		t.Errorf("the first event took %v, want it before the second one is made", time.Since(began))
	}
}

// TestRelayedRefusalIsUnchanged guards against a refusal that loses its promise or its time to
// return on the way, on a new connection and on a kept one.
func TestRelayedRefusalIsUnchanged(t *testing.T) {
	cut, peer := newRelayPair(t, platformtest.Behaviour{})
	peer.overloadServers()
	for range 2 {
		r := cut.request(pathStream)
		r.Header.Set(platform.HeaderTokenCount, "17000,100")
		got := cut.do(r)
		cut.expectStatus(got, 503)
		if got.header.Get("Retry-After") == "" || !strings.HasPrefix(got.body, "infeasible") {
			t.Errorf("the caller got %+v, want the other instance's refusal", got)
		}
	}
}

// TestRequestIsRelayedOnce guards against requests that go round between instances that reach
// no server, or that are held back there.
func TestRequestIsRelayedOnce(t *testing.T) {
	first, second := newFixture(t, 0), newFixture(t, 0)
	first.cutOff(second)
	second.cutOff(first)
	began := time.Now()
	got := first.do(first.request(pathSafe))
	first.expectStatus(got, 503)
	if took := time.Since(began); took > 300*time.Millisecond || got.header.Get("Retry-After") == "" {
		t.Errorf("refused after %v with the header %v, want at once and with a time to return", took, got.header)
	}
}

// TestRelayThatBreaksIsNotRefused guards against "not run" for a request that another instance
// got, and against a second run of it.
func TestRelayThatBreaksIsNotRefused(t *testing.T) {
	cut, peer := newRelayPair(t, platformtest.Behaviour{Delay: time.Second})
	other := newFixture(t, 1)
	cut.cutOff(peer, other)
	got := make(chan response)
	go func() { got <- cut.do(cut.request(pathUnsafe)) }()
	for len(peer.serversThatRan()) == 0 {
		time.Sleep(time.Millisecond)
	}
	peer.breakConnections()
	cut.expectStatus(<-got, 502)
	if n := len(other.serversThatRan()); n > 0 {
		t.Errorf("the request ran %d times at another instance's server, want none", n)
	}
}

// TestServerOfRelayedRequestIsCancelled guards against servers that work on for a caller who
// has left the instance that handed the request on.
func TestServerOfRelayedRequestIsCancelled(t *testing.T) {
	cut, peer := newRelayPair(t, platformtest.Behaviour{Hang: true})
	ctx, cancel := context.WithTimeout(context.Background(), 150*time.Millisecond)
	defer cancel()
	if got := cut.do(cut.request(pathStream).WithContext(ctx)); got.err == nil {
		t.Fatalf("got the response %+v for the cancelled request, want an error", got)
	}
	left := time.Now()
	for peer.servers[0].Cancelled() == 0 && time.Since(left) < 2*time.Second {
		time.Sleep(time.Millisecond)
	}
	if took := time.Since(left); took > 400*time.Millisecond {
		t.Errorf("the server worked on for %v after the caller had left, want at most 400 ms", took)
	}
}

// TestCutRelayedStreamDoesNotLookComplete guards against half a stream that ends like a whole
// one because the instance that served it ended it so.
func TestCutRelayedStreamDoesNotLookComplete(t *testing.T) {
	cut, _ := newRelayPair(t, platformtest.Behaviour{Events: 5, CutAfterEvents: 2})
	if got := cut.do(cut.request(pathStream)); got.err == nil {
		t.Errorf("got the body %q without an error, want an error", got.body)
	}
}
