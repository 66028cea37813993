package reverseproxy

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"bergamotpin.example/bergamotpin/edge/backendclient"
	"bergamotpin.example/bergamotpin/edge/balancer"
	"bergamotpin.example/bergamotpin/edge/catalog"
	"bergamotpin.example/bergamotpin/edge/crashguard"
	"bergamotpin.example/bergamotpin/edge/gossip"
	"bergamotpin.example/bergamotpin/edge/hedging"
	"bergamotpin.example/bergamotpin/edge/reachability"
	"bergamotpin.example/bergamotpin/edge/serverlimit"
	"bergamotpin.example/bergamotpin/edge/serverstate"
	"bergamotpin.example/bergamotpin/edge/streamorigin"
	"bergamotpin.example/bergamotpin/memoryaccount"
	"bergamotpin.example/bergamotpin/metrics"
	"bergamotpin.example/bergamotpin/platform"
	"bergamotpin.example/bergamotpin/platform/platformtest"
)

// forgedHeader is a header that a caller must not set.
const forgedHeader = platform.HeaderHold

// fixture is a Handler with backend servers behind it.
type fixture struct {
	t            testing.TB
	url          string
	catalog      *catalog.Catalog
	handler      *Handler
	callers      *httptest.Server
	servers      []*platformtest.BackendServer
	revision     int64
	requestCount int
}

// The paths of the fixture's routes. streamTimeoutMs is the timeout of the route
// pathStream, in milliseconds.
const (
	pathSafe        = platformtest.PathSafe
	pathUnsafe      = platformtest.PathUnsafe
	pathStream      = platformtest.PathStream
	pathResumable   = platformtest.PathResumable
	pathPublic      = platformtest.PathPublic
	streamTimeoutMs = 1500
)

func newFixture(t testing.TB, serverCount int) *fixture {
	t.Helper()
	f := &fixture{t: t, catalog: catalog.New(platform.Decoder{}), revision: 1}
	m := metrics.New("test", "dc1")
	t.Cleanup(func() { _ = m.Close() })
	retries := platform.RetryLimits{Ratio: 0.2, Allowance: 54, Window: 10 * time.Second}
	discard := slog.New(slog.DiscardHandler)
	states := serverstate.New(discard, func() int { return 1 })
	limits := serverlimit.New(serverlimit.Options{Name: "test", View: func() serverlimit.View {
		return serverlimit.View{Live: []string{"test"}, Complete: true}
	}})
	f.handler = New(Options{
		Catalog: f.catalog, Selector: NewServerSelector(balancer.Options{DataCentre: "dc1", Seed: 1}, retries, limits, states),
		Client: backendclient.NewClient(nil), Metrics: m,
		Crashes: crashguard.New(crashguard.Options{Instances: func() int { return 1 }}), Successes: discard, Failures: discard,
		Limits:  limits,
		Origins: newOrigins(t),
		States:  states,
		Hedging: hedging.New(hedging.Limits{}),
		PeerRelay: PeerRelay{
			Reach:  newReach(t),
			Relays: func() []gossip.Relay { return nil },
			Client: backendclient.NewClient(nil),
		},
		Memory: memoryaccount.New(smallestInstanceBytes/8, 100*time.Millisecond),
	})
	t.Cleanup(f.handler.Close)
	server := httptest.NewServer(f.handler)
	t.Cleanup(server.Close)
	f.url, f.callers = server.URL, server
	for n := range serverCount {
		s := platformtest.NewBackendServer(fmt.Sprintf("i-%d", n), "s")
		t.Cleanup(s.Close)
		f.servers = append(f.servers, s)
		f.putRecord(catalog.KindServer, s.ID, s.Entry("ready"))
	}
	f.configure(1, "key")
	return f
}

// newReach returns a monitor without servers, so that nothing is ever cut off.
func newReach(t testing.TB) *reachability.Monitor {
	t.Helper()
	m := reachability.New(reachability.Options{
		Servers: func() []backendclient.Server { return nil },
		Connect: func(context.Context, backendclient.Server) bool { return true }, OnChange: func() {}, Log: slog.New(slog.DiscardHandler),
	})
	t.Cleanup(m.Close)
	return m
}

// newOrigins returns a ledger over a store of its own.
func newOrigins(t testing.TB) *streamorigin.Ledger {
	t.Helper()
	store := platformtest.NewStore()
	t.Cleanup(store.Close)
	origins := streamorigin.New(streamorigin.Options{
		Process: "test", Store: &platform.MetadataStore{BaseURL: store.URL, HTTP: http.DefaultClient},
		FirstStart: true, IsWatcher: func() bool { return true }, WriteInterval: func() time.Duration { return time.Millisecond },
		OnListed: func() {}, Log: slog.New(slog.DiscardHandler),
	})
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go origins.Run(ctx)
	return origins
}

func (f *fixture) putRecord(kind catalog.RecordKind, name, spec string) {
	f.revision++
	f.catalog.Merge([]catalog.Record{{Kind: kind, Name: name, Revision: f.revision, Spec: []byte(spec)}}, time.Now())
}

// configure replaces the configuration. Only requests with the given API key are
// accepted then, except on the public route.
func (f *fixture) configure(version int, key string) {
	f.putRecord(catalog.KindConfiguration, "main", platformtest.Configuration(version, streamTimeoutMs, key))
}

// breakConnections closes the connections of all callers.
func (f *fixture) breakConnections() { f.callers.CloseClientConnections() }

// setBehaviour sets the behaviour of all backend servers.
func (f *fixture) setBehaviour(b platformtest.Behaviour) {
	for _, s := range f.servers {
		s.SetBehaviour(b)
	}
}

// serversThatRan lists the IDs of the servers that ran a request, once for each
// run.
func (f *fixture) serversThatRan() []string {
	var ids []string
	for _, s := range f.servers {
		for _, got := range s.Received() {
			if got.Ran {
				ids = append(ids, s.ID)
			}
		}
	}
	return ids
}

// request returns a valid request for the path, with a new request ID.
func (f *fixture) request(path string) *http.Request {
	f.requestCount++
	r, err := http.NewRequest(http.MethodPost, f.url+path, strings.NewReader("the body"))
	if err != nil {
		f.t.Fatal(err)
	}
	r.Host = "h.example"
	r.Header.Set(platform.HeaderRequestID, fmt.Sprint("request-", f.requestCount))
	r.Header.Set(platform.HeaderAPIKey, "key")
	return r
}

type response struct {
	status int
	header http.Header
	body   string
	err    error
}

// do sends a request and reads the whole response.
func (f *fixture) do(r *http.Request) response {
	f.t.Helper()
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return response{err: err}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return response{resp.StatusCode, resp.Header, string(body), err}
}

func (f *fixture) expectStatus(got response, want int) {
	f.t.Helper()
	if got.err != nil || got.status != want {
		f.t.Errorf("got status %d, error %v, body %q; want status %d", got.status, got.err, got.body, want)
	}
}
