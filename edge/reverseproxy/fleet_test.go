package reverseproxy

import (
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
	"bergamotpin.example/bergamotpin/metrics"
	"bergamotpin.example/bergamotpin/platform"
	"bergamotpin.example/bergamotpin/platform/platformtest"
)

// forgedHeader is one that only the system may set.
const forgedHeader = platform.HeaderHold

// fleet is a front before replicas.
type fleet struct {
	t        testing.TB
	url      string
	table    *catalog.Catalog
	front    *Handler
	replicas []*platformtest.BackendServer
	revision int64
	ids      int
}

// The paths of the fleet's routes, and the time of a stream that may not resume.
const (
	pathSafe      = platformtest.PathSafe
	pathUnsafe    = platformtest.PathUnsafe
	pathStream    = platformtest.PathStream
	pathResumable = platformtest.PathResumable
	pathPublic    = platformtest.PathPublic
	streamMs      = 1500
)

func newFleet(t testing.TB, replicas int) *fleet {
	t.Helper()
	f := &fleet{t: t, table: catalog.New(platform.Decoder{}), revision: 1}
	m := metrics.New("test", "dc1")
	t.Cleanup(func() { _ = m.Close() })
	retries := platform.RetryLimits{Ratio: 0.2, Allowance: 54, Window: 10 * time.Second}
	quiet := slog.New(slog.DiscardHandler)
	f.front = New(Options{
		Catalog: f.table, Selector: NewServerSelector(balancer.Options{DataCentre: "dc1", Seed: 1}, retries),
		Client: backendclient.NewClient(nil), Metrics: m, Successes: quiet, Failures: quiet,
		Stopping: func() bool { return false },
	})
	server := httptest.NewServer(f.front)
	t.Cleanup(server.Close)
	f.url = server.URL
	for n := range replicas {
		r := platformtest.NewBackendServer(fmt.Sprintf("i-%d", n), "s")
		t.Cleanup(r.Close)
		f.replicas = append(f.replicas, r)
		f.write(catalog.KindServer, r.ID, r.Entry("ready"))
	}
	f.configure(1, "key")
	return f
}

func (f *fleet) write(kind catalog.Kind, name, spec string) {
	f.revision++
	f.table.Merge([]catalog.Record{{Kind: kind, Name: name, Revision: f.revision, Spec: []byte(spec)}}, time.Now())
}

func (f *fleet) configure(version int, key string) {
	f.write(catalog.KindConfiguration, "main", platformtest.Configuration(version, streamMs, key))
}

func (f *fleet) behave(b platformtest.Behaviour) {
	for _, r := range f.replicas {
		r.SetBehaviour(b)
	}
}

// ran lists the replicas that ran something, once for each run.
func (f *fleet) ran() []string {
	var out []string
	for _, r := range f.replicas {
		for _, got := range r.Received() {
			if got.Ran {
				out = append(out, r.ID)
			}
		}
	}
	return out
}

func (f *fleet) request(path string) *http.Request {
	f.ids++
	r, err := http.NewRequest(http.MethodPost, f.url+path, strings.NewReader("the body"))
	if err != nil {
		f.t.Fatal(err)
	}
	r.Host = "h.example"
	r.Header.Set(platform.HeaderRequestID, fmt.Sprint("request-", f.ids))
	r.Header.Set(platform.HeaderAPIKey, "key")
	return r
}

type reply struct {
	status int
	header http.Header
	body   string
	err    error
}

func (f *fleet) do(r *http.Request) reply {
	f.t.Helper()
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return reply{err: err}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return reply{resp.StatusCode, resp.Header, string(body), err}
}

func (f *fleet) expectStatus(got reply, want int) {
	f.t.Helper()
	if got.err != nil || got.status != want {
		f.t.Errorf("got status %d, %v, %q, want %d", got.status, got.err, got.body, want)
	}
}
