package reverseproxy

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"bergamotpin.example/bergamotpin/edge/catalog"
	"bergamotpin.example/bergamotpin/platform/platformtest"
)

// newVersionFixture returns a fixture with one server for each of the given versions.
func newVersionFixture(t *testing.T, versions ...string) *fixture {
	t.Helper()
	f := newFixture(t, len(versions))
	for n, s := range f.servers {
		s.Version = versions[n]
		f.putRecord(catalog.KindServer, s.ID, s.Entry("ready"))
	}
	return f
}

// versionsIn returns the software versions that made the events of a stream, each once.
func (f *fixture) versionsIn(body string) []string {
	var versions []string
	for _, s := range f.servers {
		if strings.Contains(body, "data: "+s.ID+"-") && !strings.Contains(strings.Join(versions, " "), s.Version) {
			versions = append(versions, s.Version)
		}
	}
	return versions
}

// TestCutStreamGoesOnAtAnotherVersion guards against an answer that is joined from two
// software versions after its server broke off.
func TestCutStreamGoesOnAtAnotherVersion(t *testing.T) {
	f := newVersionFixture(t, "v1", "v2", "v2", "v2", "v1")
	f.setBehaviour(platformtest.Behaviour{Events: 5, EventPause: 10 * time.Millisecond})
	f.servers[0].SetBehaviour(platformtest.Behaviour{Events: 5, CutAfterEvents: 2, EventPause: 10 * time.Millisecond})
	resumed := 0
	for _, got := range f.doAll(40) {
		f.expectStatus(got, 200)
		if v := f.versionsIn(got.body); len(v) != 1 {
			t.Errorf("a stream has events of the versions %v, want one version: %q", v, got.body)
		}
		if strings.HasPrefix(got.body, streamBody("i-0", "i-0")) {
			resumed++
		}
	}
	if resumed == 0 {
		t.Error("no stream began at the server that cuts, so nothing was shown")
	}
}

// doAll sends requests for resumable streams at once and returns the responses.
func (f *fixture) doAll(count int) []response {
	got := make(chan response)
	for range count {
		r := f.request(pathResumable)
		go func() { got <- f.do(r) }()
	}
	responses := make([]response, count)
	for n := range responses {
		responses[n] = <-got
	}
	return responses
}

// TestSilentStreamGoesOnAtAnotherVersion guards against a further attempt beside a silent
// server that takes its place within a stream of another software version.
func TestSilentStreamGoesOnAtAnotherVersion(t *testing.T) {
	f := newVersionFixture(t, "v1", "v2")
	silent := platformtest.Behaviour{Events: 4, PauseAfterEvent: 2, EventPause: eventPatience + 600*time.Millisecond}
	f.servers[0].SetBehaviour(silent)
	f.servers[1].SetBehaviour(platformtest.Behaviour{Events: 4})
	fromSilent := 0
	for _, r := range f.doAll(8) {
		f.expectStatus(r, 200)
		if v := f.versionsIn(r.body); len(v) != 1 {
			t.Errorf("a stream has events of the versions %v, want one version: %q", v, r.body)
		}
		if strings.HasPrefix(r.body, fmt.Sprintf("id: 1\ndata: %s-1", f.servers[0].ID)) {
			fromSilent++
		}
	}
	if fromSilent == 0 {
		t.Error("no stream began at the silent server, so nothing was shown")
	}
}
