package edge

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"bergamotpin.example/bergamotpin/platform"
	"bergamotpin.example/bergamotpin/platform/platformtest"
)

const (
	// crashingBlock is the prefix block under which the servers of crashingFleet end.
	crashingBlock = "bad0:50"
	// crashingBody is the body of requests under which they end.
	crashingBody = "bad"
	// restartDelay is how long the port of a server that ended refuses connections.
	restartDelay = time.Second
)

// crashingFleet is a number of servers that end under crashingBlock and come back under
// new IDs.
type crashingFleet struct {
	t     *testing.T
	store *platformtest.Store

	mu      sync.Mutex
	stopped bool
	started int
	ended   int
	current map[string]*platformtest.BackendServer
	runs    []*platformtest.BackendServer
	tasks   sync.WaitGroup
}

func newCrashingFleet(t *testing.T, store *platformtest.Store, size int) *crashingFleet {
	f := &crashingFleet{t: t, store: store, current: make(map[string]*platformtest.BackendServer)}
	for range size {
		f.started++
		f.use(platformtest.NewBackendServer(fmt.Sprint("i-", f.started), "s"))
	}
	t.Cleanup(f.close)
	return f
}

// use registers a server and watches for its end. The caller holds mu, except at the start.
func (f *crashingFleet) use(s *platformtest.BackendServer) {
	s.SetBehaviour(platformtest.Behaviour{Events: 3, EventPause: 10 * time.Millisecond, CrashOnBlock: crashingBlock, CrashOnBody: crashingBody})
	f.current[s.Address] = s
	f.runs = append(f.runs, s)
	f.store.Put("servers", s.ID, s.Entry("ready"))
	f.tasks.Go(func() { f.restart(s) })
}

// restart starts a server anew after its end. The entry of the ended one stays for as long.
func (f *crashingFleet) restart(s *platformtest.BackendServer) {
	<-s.Crashed()
	time.Sleep(restartDelay)
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.stopped {
		return
	}
	f.ended++
	f.started++
	f.store.Delete("servers", s.ID)
	next, err := s.Restart(fmt.Sprint("i-", f.started))
	if err != nil {
		f.t.Errorf("restart: %v", err)
		return
	}
	f.use(next)
}

// bad returns the number of requests with crashingBlock that reached servers.
func (f *crashingFleet) bad() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, s := range f.runs {
		for _, r := range s.Received() {
			if r.Ran && strings.Contains(r.Header.Get(platform.HeaderPrefixBlocks), crashingBlock) {
				n++
			}
		}
	}
	return n
}

func (f *crashingFleet) close() {
	f.mu.Lock()
	f.stopped = true
	f.mu.Unlock()
	for _, s := range f.current {
		s.Crash()
	}
	f.tasks.Wait()
	for _, s := range f.runs {
		s.Close()
	}
}

// sendPrompt sends a request for a stream whose prompt holds the given prefix blocks, and
// returns the status of the response, or 0 if it was broken off.
func (r *testInstance) sendPrompt(id, blocks string) int {
	return r.roundTrip(testRequest{path: platformtest.PathStream, id: id, blocks: blocks}).status
}

// crashPlay is what became of requests that crash servers, and of sound ones beside them.
type crashPlay struct {
	// statuses are those of the bad requests, in the order in which they were sent.
	statuses      []int
	sound, served int
}

// playCrashes starts three instances and sends them bad requests in turn, one each badInterval,
// beside sound ones.
func playCrashes(t *testing.T, store *platformtest.Store, badRequests int, badInterval time.Duration, sendBad, sendSound func(i *testInstance, n int) int) crashPlay {
	t.Helper()
	store.Put("config", "main", configurationText(1))
	port := freePort(t, "127.0.0.2")
	var instances []*testInstance
	for _, ip := range []string{"127.0.0.2", "127.0.0.3", "127.0.0.4"} {
		instances = append(instances, startInstance(t, ip, port, store.URL, 1))
	}
	for _, i := range instances {
		await(t, "ready", i.isReady)
	}
	p := crashPlay{statuses: make([]int, badRequests)}
	stop := make(chan struct{})
	var wait sync.WaitGroup
	wait.Go(func() {
		for n := 0; ; n++ {
			select {
			case <-stop:
				return
			case <-time.After(20 * time.Millisecond):
			}
			p.sound++
			if sendSound(instances[n%len(instances)], n) == http.StatusOK {
				p.served++
			}
		}
	})
	time.Sleep(time.Second)
	for n := range badRequests {
		wait.Go(func() { p.statuses[n] = sendBad(instances[n%len(instances)], n) })
		time.Sleep(badInterval)
	}
	close(stop)
	wait.Wait()
	return p
}

// expectServed fails the test if the last bad request was not refused, or if fewer than nine
// tenths of the sound ones were served.
func (p crashPlay) expectServed(t *testing.T) {
	t.Helper()
	if last := p.statuses[len(p.statuses)-1]; last != http.StatusServiceUnavailable {
		t.Errorf("the last bad request got status %d, want 503", last)
	}
	if 10*p.served < 9*p.sound {
		t.Errorf("%d of %d sound requests were served, want nine tenths", p.served, p.sound)
	}
}

// TestPromptPartThatCrashesServersIsWithheld guards against prompts of one kind that end
// servers one after the other, as each instance and each request meets them anew.
func TestPromptPartThatCrashesServersIsWithheld(t *testing.T) {
	const (
		badRequests = 20
		badInterval = 400 * time.Millisecond
		// maxBad is the number of crashes and of further sends that the rules allow.
		maxBad = 5 + 3
	)
	store := platformtest.NewStore()
	t.Cleanup(store.Close)
	fleet := newCrashingFleet(t, store, 6)
	play := playCrashes(t, store, badRequests, badInterval, func(i *testInstance, n int) int {
		return i.sendPrompt(fmt.Sprint("bad-", n), fmt.Sprintf("f1:100,%s,%x:7", crashingBlock, 0x20000+n))
	}, func(i *testInstance, n int) int {
		return i.sendPrompt(fmt.Sprint("sound-", n), fmt.Sprintf("f1:100,%x:10,%x:7", 0x100+n%3, 0x10000+n))
	})
	if got := fleet.bad(); got > maxBad {
		t.Errorf("%d requests with the part reached servers, want at most %d; their statuses: %v", got, maxBad, play.statuses)
	}
	play.expectServed(t)
}
