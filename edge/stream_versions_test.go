package edge

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"bergamotpin.example/bergamotpin/platform"
	"bergamotpin.example/bergamotpin/platform/platformtest"
)

// versionFleet is a number of instances before two servers of each of two software versions.
type versionFleet struct {
	t         *testing.T
	store     *platformtest.Store
	port      uint16
	instances []*testInstance
	servers   []*platformtest.BackendServer
}

func newVersionFleet(t *testing.T, instances int) *versionFleet {
	t.Helper()
	f := &versionFleet{t: t, store: platformtest.NewStore(), port: freePort(t, "127.0.0.2")}
	t.Cleanup(f.store.Close)
	for n, version := range []string{"v1", "v2", "v1", "v2"} {
		s := platformtest.NewBackendServer(fmt.Sprint("i-", n), "s")
		t.Cleanup(s.Close)
		s.Version = version
		s.SetBehaviour(platformtest.Behaviour{Events: 12, EventPause: 20 * time.Millisecond})
		f.store.Put("servers", s.ID, s.Entry("ready"))
		f.servers = append(f.servers, s)
	}
	f.store.Put("config", "main", configurationText(1))
	f.start(instances)
	return f
}

// start starts instances and waits until all are ready and know each other.
func (f *versionFleet) start(instances int) {
	f.t.Helper()
	f.instances = nil
	for n := range instances {
		f.instances = append(f.instances, startInstance(f.t, fmt.Sprint("127.0.0.", n+2), f.port, f.store.URL, 1))
	}
	for _, i := range f.instances {
		await(f.t, "ready", i.isReady)
		await(f.t, "all others live", func() bool { live, _ := i.gossip.CountInstances(); return live == instances })
	}
}

// restart ends all instances and starts as many new ones. No caller is connected meanwhile.
func (f *versionFleet) restart() {
	f.t.Helper()
	var ends sync.WaitGroup
	for _, i := range f.instances {
		ends.Go(func() { i.stop(); <-i.done })
	}
	ends.Wait()
	f.start(len(f.instances))
}

// takenUpStream is a stream that its caller got the first events of, and then broke off.
type takenUpStream struct {
	id string
	// lastEvent is the ID of the last event that the caller got, and version that of the
	// servers that made its events.
	lastEvent, version string
}

// open sends a request for a resumable stream.
func (i *testInstance) open(id string, takenUp *takenUpStream) (*http.Response, error) {
	req, err := http.NewRequest(http.MethodGet, "http://"+i.settings.Load().CallersAddress.String()+platformtest.PathResumable, nil)
	if err != nil {
		return nil, err
	}
	req.Host = platformtest.Host
	req.Header.Set(platform.HeaderRequestID, id)
	if takenUp != nil {
		req.Header.Set(platform.HeaderLastEvent, takenUp.lastEvent)
		req.Header.Set(platform.HeaderResumes, takenUp.id)
	}
	return http.DefaultClient.Do(req)
}

// breakOff begins streams at the instances in turn and breaks each off after five events.
func (f *versionFleet) breakOff(count int) []takenUpStream {
	f.t.Helper()
	streams := make([]takenUpStream, count)
	var all sync.WaitGroup
	for n := range streams {
		all.Go(func() {
			streams[n] = f.breakOffOne(fmt.Sprint("stream-", n), f.instances[n%len(f.instances)])
		})
	}
	all.Wait()
	return streams
}

func (f *versionFleet) breakOffOne(id string, i *testInstance) takenUpStream {
	resp, err := i.open(id, nil)
	if err != nil {
		f.t.Error(err)
		return takenUpStream{id: id}
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		f.t.Errorf("a new stream got status %d, want 200", resp.StatusCode)
		return takenUpStream{id: id}
	}
	s := takenUpStream{id: id}
	lines := bufio.NewScanner(resp.Body)
	for s.lastEvent != "5" && lines.Scan() {
		if number, ok := strings.CutPrefix(lines.Text(), "id: "); ok {
			s.lastEvent = number
		}
		if by, ok := strings.CutPrefix(lines.Text(), "data: "); ok {
			s.version = f.versionOf(by)
		}
	}
	return s
}

// versionOf returns the version of the server that made an event.
func (f *versionFleet) versionOf(data string) string {
	for _, s := range f.servers {
		if strings.HasPrefix(data, s.ID+"-") {
			return s.Version
		}
	}
	return ""
}

// takeUps counts the streams that were taken up, by what became of them.
type takeUps struct{ wentOn, joined, refused int }

// takeUp takes up each stream at the instance after the one at which it began.
func (f *versionFleet) takeUp(streams []takenUpStream) takeUps {
	f.t.Helper()
	results := make(chan takeUps)
	for n, s := range streams {
		go func() { results <- f.takeUpOne(f.instances[(n+1)%len(f.instances)], s) }()
	}
	var sum takeUps
	for range streams {
		r := <-results
		sum.wentOn += r.wentOn
		sum.joined += r.joined
		sum.refused += r.refused
	}
	return sum
}

func (f *versionFleet) takeUpOne(i *testInstance, s takenUpStream) takeUps {
	resp, err := i.open("again-"+s.id, &s)
	if err != nil {
		f.t.Error(err)
		return takeUps{}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	_, event, _ := strings.Cut(string(body), "data: ")
	switch {
	case resp.StatusCode == http.StatusServiceUnavailable && resp.Header.Get("Retry-After") != "":
		return takeUps{refused: 1}
	case resp.StatusCode != http.StatusOK || err != nil:
		f.t.Errorf("a take-up got status %d, error %v; want 200 or 503 with Retry-After", resp.StatusCode, err)
		return takeUps{}
	case f.versionOf(event) != s.version:
		return takeUps{joined: 1}
	}
	return takeUps{wentOn: 1}
}

// expectNotJoined checks that no stream was joined, and that at least half went on.
func (f *versionFleet) expectNotJoined(got takeUps) {
	f.t.Helper()
	total := got.wentOn + got.joined + got.refused
	if got.joined > 0 || 2*got.wentOn < total {
		f.t.Errorf("of %d streams taken up %d are joined from two versions, %d went on and %d were refused; want none joined and half or more that went on",
			total, got.joined, got.wentOn, got.refused)
	}
}

const takenUpStreams = 40

// TestStreamTakenUpElsewhereGoesOnAtAnotherVersion guards against a take-up at an instance
// that does not know which software version began the stream.
func TestStreamTakenUpElsewhereGoesOnAtAnotherVersion(t *testing.T) {
	f := newVersionFleet(t, 3)
	f.expectNotJoined(f.takeUp(f.breakOff(takenUpStreams)))
}

// TestStreamRejoinedAfterRestartOfAllInstances guards against a take-up that is guessed once
// no instance remembers which software version began the stream.
func TestStreamRejoinedAfterRestartOfAllInstances(t *testing.T) {
	f := newVersionFleet(t, 3)
	streams := f.breakOff(takenUpStreams)
	f.restart()
	f.expectNotJoined(f.takeUp(streams))
}

// TestStreamRejoinedAfterItsVersionLeft guards against instances that take the only version
// that they see after a restart for the one that began all streams.
func TestStreamRejoinedAfterItsVersionLeft(t *testing.T) {
	f := newVersionFleet(t, 3)
	streams := f.breakOff(takenUpStreams)
	f.store.Delete("servers", "i-0")
	f.store.Delete("servers", "i-2")
	f.restart()
	if got := f.takeUp(streams); got.joined > 0 {
		t.Errorf("%d of %d streams taken up are joined from two versions, want none", got.joined, len(streams))
	}
}
