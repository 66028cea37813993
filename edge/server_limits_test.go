package edge

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"bergamotpin.example/bergamotpin/platform/platformtest"
)

const (
	// limitNoticeTime is how long the instances may take to learn of a limit, and limitWindow
	// the span in which requests are counted.
	limitNoticeTime = 3 * time.Second
	limitWindow     = 4 * time.Second
)

// maxInWindow is the number of requests that a server may get in a limitWindow.
func maxInWindow(limit float64) float64 { return 1.5*limitWindow.Seconds()*limit + 5 }

// mostInWindow returns the largest number of requests that the server received in some
// limitWindow that began after the given time.
func mostInWindow(s *platformtest.BackendServer, from time.Time) int {
	var times []time.Time
	for _, r := range s.Received() {
		if r.At.After(from) {
			times = append(times, r.At)
		}
	}
	slices.SortFunc(times, time.Time.Compare)
	most, first := 0, 0
	for last, end := range times {
		for end.Sub(times[first]) > limitWindow {
			first++
		}
		most = max(most, last-first+1)
	}
	return most
}

// limitedFleet is a number of instances before a number of servers.
type limitedFleet struct {
	t         *testing.T
	instances []*testInstance
	servers   []*platformtest.BackendServer
}

// newLimitedFleet starts the instances and the servers. slots, if given, is the number of each
// server's slots.
func newLimitedFleet(t *testing.T, instances, servers int, slots ...int) *limitedFleet {
	t.Helper()
	store := platformtest.NewStore()
	t.Cleanup(store.Close)
	f := &limitedFleet{t: t}
	for n := range servers {
		s := platformtest.NewBackendServer(fmt.Sprint("i-", n), "s")
		t.Cleanup(s.Close)
		if len(slots) > 0 {
			s.Slots = slots[0]
		}
		store.Put("servers", s.ID, s.Entry("ready"))
		f.servers = append(f.servers, s)
	}
	store.Put("config", "main", configurationText(1))
	port := freePort(t, "127.0.0.2")
	for n := range instances {
		f.instances = append(f.instances, startInstance(t, fmt.Sprint("127.0.0.", n+2), port, store.URL, 1))
	}
	for _, i := range f.instances {
		await(t, "ready", i.isReady)
		await(t, "all others live", func() bool { live, _ := i.gossip.CountInstances(); return live == instances })
	}
	return f
}

// name has a server name a limit in its answers, or none if the text is empty.
func (f *limitedFleet) name(server int, limit string) {
	f.servers[server].SetBehaviour(platformtest.Behaviour{Events: 3, EventPause: 80 * time.Millisecond, Delay: 50 * time.Millisecond, ServerLimit: limit})
}

// limitedAnswer is a response to a request of limitedFleet.load.
type limitedAnswer struct {
	path string
	testResponse
}

// load sends requests of all kinds to all instances until ctx ends, one each interval.
func (f *limitedFleet) load(ctx context.Context, interval time.Duration) []limitedAnswer {
	var mu sync.Mutex
	var answers []limitedAnswer
	var wait sync.WaitGroup
	paths := []string{platformtest.PathSafe, platformtest.PathUnsafe, platformtest.PathStream, platformtest.PathResumable}
	for n := 0; ctx.Err() == nil; n++ {
		path, i := paths[n%len(paths)], f.instances[n/len(paths)%len(f.instances)]
		wait.Go(func() {
			a := limitedAnswer{path, i.roundTrip(testRequest{path: path, id: fmt.Sprint("load-", n)})}
			mu.Lock()
			defer mu.Unlock()
			answers = append(answers, a)
		})
		time.Sleep(interval)
	}
	wait.Wait()
	return answers
}

// TestServerThatNamedLimitGetsMoreFromAllInstances guards against a limit that no instance
// keeps, or that each keeps by itself, while other servers have room.
func TestServerThatNamedLimitGetsMoreFromAllInstances(t *testing.T) {
	const limit = 1.8
	f := newLimitedFleet(t, 7, 4)
	for n := range f.servers {
		f.name(n, "")
	}
	f.name(0, fmt.Sprint(limit))
	named := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), limitNoticeTime+2*limitWindow)
	defer cancel()
	answers := f.load(ctx, 10*time.Millisecond)
	if got := mostInWindow(f.servers[0], named.Add(limitNoticeTime)); float64(got) > maxInWindow(limit) {
		t.Errorf("the server got %d requests in 4 s, want at most %v", got, maxInWindow(limit))
	}
	served := 0
	for _, a := range answers {
		if a.status == http.StatusOK {
			served++
		}
	}
	if served != len(answers) {
		t.Errorf("%d of %d requests were served, want all, since other servers have room", served, len(answers))
	}
}

// TestServerLimitIsLogged checks that the log tells which server names a limit, and when the
// limit ends.
func TestServerLimitIsLogged(t *testing.T) {
	store, server := newPlatform(t)
	store.Put("config", "main", configurationText(1))
	i := startInstance(t, "127.0.0.2", freePort(t, "127.0.0.2"), store.URL, 3)
	await(t, "ready", i.isReady)
	for _, step := range []struct{ limit, want string }{
		{"50", `"server":"i-1","was_limited":false,"was_per_s":0,"is_limited":true,"is_per_s":50`},
		{"several", `"msg":"server limit unreadable"`},
		{"", `"server":"i-1","was_limited":true,"was_per_s":50,"is_limited":false,"is_per_s":0`},
	} {
		server.SetBehaviour(platformtest.Behaviour{ServerLimit: step.limit, Events: 1})
		await(t, "served", func() bool { return i.sendPrompt("request", "") == http.StatusOK })
		await(t, "log line "+step.want, func() bool { return strings.Contains(i.log.String(), step.want) })
	}
}

// TestRequestsBeyondAllLimitsAreRefusedAtOnce guards against requests that wait, or are sent
// all the same, when all servers of a service name limits.
func TestRequestsBeyondAllLimitsAreRefusedAtOnce(t *testing.T) {
	const limit = 2
	f := newLimitedFleet(t, 3, 2)
	for n := range f.servers {
		f.name(n, fmt.Sprint(limit))
	}
	named := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), limitNoticeTime+limitWindow)
	defer cancel()
	served := 0
	for _, a := range f.load(ctx, 20*time.Millisecond) {
		switch {
		case a.status == http.StatusOK:
			served++
		case a.status != http.StatusServiceUnavailable || a.retryAfter == "" || a.took > 200*time.Millisecond:
			t.Errorf("%s: got status %d after %v, Retry-After %q; want 200, or 503 with Retry-After at once", a.path, a.status, a.took, a.retryAfter)
		}
	}
	for _, s := range f.servers {
		if got := mostInWindow(s, named.Add(limitNoticeTime)); float64(got) > maxInWindow(limit) {
			t.Errorf("%s got %d requests in 4 s, want at most %v", s.ID, got, maxInWindow(limit))
		}
	}
	if want := int(limit * limitWindow.Seconds()); served < want {
		t.Errorf("%d requests were served, want at least %d, half of what the servers take in 4 s", served, want)
	}
}
