package platform

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"bergamotpin.example/bergamotpin/api"
	"bergamotpin.example/bergamotpin/standin/pipenet"
)

// address is the stand-in platform's address in the in-memory network.
const address = "10.0.0.3:80"

// withPlatform runs a test in virtual time with a stand-in platform that is
// reachable over an in-memory network.
func withPlatform(t *testing.T, opts Options, test func(t *testing.T, s *Server, c *http.Client)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		s := New(opts)
		var network pipenet.Network
		stop := network.Serve(address, s)
		transport := network.Transport()
		test(t, s, &http.Client{Transport: transport})
		s.Close()
		transport.CloseIdleConnections()
		stop()
	})
}

// openWatch opens a watch and returns a channel with its events. The channel is
// closed when the watch ends.
func openWatch(t *testing.T, c *http.Client, query string) (events <-chan api.WatchEvent, status int) {
	t.Helper()
	r, err := http.NewRequestWithContext(t.Context(), "GET", "http://"+address+"/watch?"+query, nil)
	if err != nil {
		t.Fatal(err)
	}
	resp, err := c.Do(r)
	if err != nil {
		t.Fatal(err)
	}
	out := make(chan api.WatchEvent, 100)
	go func() {
		defer close(out)
		defer resp.Body.Close()
		for scanner := bufio.NewScanner(resp.Body); scanner.Scan(); {
			var event api.WatchEvent
			if json.Unmarshal(scanner.Bytes(), &event) == nil {
				out <- event
			}
		}
	}()
	return out, resp.StatusCode
}

// eventSummary holds the fields of an event that the tests compare.
type eventSummary struct {
	Type    api.EventType
	Name    string
	Version int64
}

// receivedEvents returns the events that have arrived in the channel since the
// previous call.
func receivedEvents(events <-chan api.WatchEvent) (out []eventSummary) {
	synctest.Wait()
	for {
		select {
		case e, ok := <-events:
			if !ok {
				return out
			}
			out = append(out, eventSummary{e.Type, e.Object.Name, e.Object.Version})
		default:
			return out
		}
	}
}

// TestWatchSendsPastAndNewEvents opens a watch of routes from version 1 on. The
// watch must send the route that was written after version 1, then a delete, and
// no events of leases. The bookmark must have the version of the second
// lease.
func TestWatchSendsPastAndNewEvents(t *testing.T) {
	withPlatform(t, Options{}, func(t *testing.T, s *Server, c *http.Client) {
		call(t, s, "POST", "/objects/Route/a", `{"spec":1}`, nil)
		call(t, s, "POST", "/objects/Lease/b", `{"spec":1}`, nil)
		call(t, s, "POST", "/objects/Route/c", `{"spec":1}`, nil)
		events, _ := openWatch(t, c, "kinds=Route,ServiceClass&from=1")
		if diff := cmp.Diff([]eventSummary{{api.EventPut, "c", 3}}, receivedEvents(events)); diff != "" {
			t.Error(diff)
		}
		call(t, s, "DELETE", "/objects/Route/a?version=1", "", nil)
		if diff := cmp.Diff([]eventSummary{{api.EventDelete, "a", 4}}, receivedEvents(events)); diff != "" {
			t.Error(diff)
		}
		call(t, s, "POST", "/objects/Lease/d", `{"spec":1}`, nil)
		time.Sleep(DefaultBookmarkEvery)
		if diff := cmp.Diff([]eventSummary{{api.EventBookmark, "", 5}}, receivedEvents(events)); diff != "" {
			t.Error(diff)
		}
	})
}

// TestWatchFromBeforeHistoryFails opens watches of a history that has dropped the
// events up to version 2.
func TestWatchFromBeforeHistoryFails(t *testing.T) {
	withPlatform(t, Options{History: 3}, func(t *testing.T, s *Server, c *http.Client) {
		for i := range 5 {
			call(t, s, "POST", fmt.Sprint("/objects/Route/", i), `{"spec":1}`, nil)
		}
		var got api.ErrorResponse
		if code := call(t, s, "GET", "/watch?kinds=Route&from=1", "", &got); code != http.StatusGone || got.Code != api.CodeCompacted {
			t.Errorf("watch from version 1: got status %d and error %+v, want 410 with code compacted", code, got)
		}
		events, _ := openWatch(t, c, "kinds=Route&from=2")
		if got := receivedEvents(events); len(got) != 3 || got[0].Version != 3 {
			t.Errorf("watch from version 2: got events %+v, want 3 events from version 3 on", got)
		}
	})
}

func TestRefusingOutageClosesWatchesAndRefusesCalls(t *testing.T) {
	withPlatform(t, Options{}, func(t *testing.T, s *Server, c *http.Client) {
		events, _ := openWatch(t, c, "from=0")
		synctest.Wait()
		if code := call(t, s, "POST", "/faults", `{"outage":"refuse"}`, nil); code != http.StatusOK {
			t.Errorf("setting the faults: got status %d, want 200", code)
		}
		for range events { // ends when the watch is closed
		}
		if code := call(t, s, "GET", "/objects/Route", "", nil); code != http.StatusServiceUnavailable {
			t.Errorf("read during the outage: status %d, want 503", code)
		}
		s.SetFaults(Faults{})
		if code := call(t, s, "GET", "/objects/Route", "", nil); code != http.StatusOK {
			t.Errorf("read after the outage: status %d, want 200", code)
		}
	})
}

func TestHangingOutageDelaysWatchEvents(t *testing.T) {
	withPlatform(t, Options{}, func(t *testing.T, s *Server, c *http.Client) {
		events, _ := openWatch(t, c, "kinds=Route&from=0")
		synctest.Wait()
		s.store.create(api.Object{Kind: api.KindRoute, Name: "a"})
		if got := receivedEvents(events); len(got) != 1 {
			t.Errorf("got events %+v before the outage, want one", got)
		}
		s.SetFaults(Faults{Outage: OutageHang})
		synctest.Wait()
		s.store.create(api.Object{Kind: api.KindRoute, Name: "b"})
		time.Sleep(time.Minute)
		if got := receivedEvents(events); len(got) != 0 {
			t.Errorf("got events %+v during the outage, want none", got)
		}
		s.SetFaults(Faults{})
		if got := receivedEvents(events); len(got) == 0 || got[0] != (eventSummary{api.EventPut, "b", 2}) {
			t.Errorf("got events %+v after the outage, want the put of b at version 2", got)
		}
	})
}

func TestWriteWaitsForEndOfHangingOutage(t *testing.T) {
	withPlatform(t, Options{}, func(t *testing.T, s *Server, _ *http.Client) {
		s.SetFaults(Faults{Outage: OutageHang})
		time.AfterFunc(time.Minute, func() { s.SetFaults(Faults{}) })
		start := time.Now()
		code := call(t, s, "POST", "/objects/Route/a", `{"spec":1}`, nil)
		if code != http.StatusCreated || time.Since(start) != time.Minute {
			t.Errorf("write during a hanging outage of 1m: got status %d after %v, want 201 after 1m", code, time.Since(start))
		}
	})
}

func TestLatencyDelaysResponsesAndEvents(t *testing.T) {
	withPlatform(t, Options{}, func(t *testing.T, s *Server, c *http.Client) {
		s.SetFaults(Faults{Latency: api.Duration(3 * time.Second)})
		start := time.Now()
		call(t, s, "POST", "/objects/Route/a", `{"spec":1}`, nil)
		if took := time.Since(start); took != 3*time.Second {
			t.Errorf("write with a latency of 3s: got a response after %v, want 3s", took)
		}
		events, _ := openWatch(t, c, "from=0")
		if got := receivedEvents(events); len(got) != 0 || time.Since(start) != 6*time.Second {
			t.Errorf("opening of the watch with a latency of 3s: got events %+v, %v after the start; want no events, 6s after the start", got, time.Since(start))
		}
		time.Sleep(3 * time.Second)
		if got := receivedEvents(events); len(got) == 0 || got[0].Name != "a" {
			t.Errorf("3s after the opening of the watch: got events %+v, want the put of a", got)
		}
	})
}

func TestWriteWithLostConfirmationTakesEffect(t *testing.T) {
	withPlatform(t, Options{}, func(t *testing.T, s *Server, c *http.Client) {
		s.SetFaults(Faults{LoseConfirmations: 1})
		body := strings.NewReader(`{"spec":1}`)
		if _, err := c.Post("http://"+address+"/objects/Claim/a", "application/json", body); err == nil {
			t.Error("write with LoseConfirmations at 1: got a confirmation, want an error")
		}
		s.SetFaults(Faults{})
		if code := call(t, s, "GET", "/objects/Claim/a", "", nil); code != http.StatusOK {
			t.Errorf("get of the written object: status %d, want 200", code)
		}
		if got := s.Counters().LostConfirmations; got != 1 {
			t.Errorf("got %d lost confirmations, want 1", got)
		}
	})
}

// TestStaleReadsReturnPastState reads the state of 5 seconds ago. The first reads
// come right after an update, a delete and a create, and must not show them. The
// last read comes 10 seconds later and must show them.
func TestStaleReadsReturnPastState(t *testing.T) {
	withPlatform(t, Options{}, func(t *testing.T, s *Server, _ *http.Client) {
		call(t, s, "POST", "/objects/Route/a", `{"spec":1}`, nil)
		call(t, s, "POST", "/objects/Route/b", `{"spec":1}`, nil)
		time.Sleep(10 * time.Second)
		call(t, s, "PUT", "/objects/Route/a?version=1", `{"spec":2}`, nil)
		call(t, s, "DELETE", "/objects/Route/b?version=2", "", nil)
		call(t, s, "POST", "/objects/Route/c", `{"spec":1}`, nil)
		s.SetFaults(Faults{StaleReads: api.Duration(5 * time.Second)})
		var list api.List
		call(t, s, "GET", "/objects/Route", "", &list)
		if list.Version != 2 || len(list.Items) != 2 || list.Items[0].Version != 1 || list.Items[1].Name != "b" {
			t.Errorf("list right after the writes: got %+v, want version 2 with a at version 1, and b", list)
		}
		if code := call(t, s, "GET", "/objects/Route/c", "", nil); code != http.StatusNotFound {
			t.Errorf("get of c right after its create: got status %d, want 404", code)
		}
		time.Sleep(10 * time.Second)
		call(t, s, "GET", "/objects/Route", "", &list)
		if list.Version != 5 || len(list.Items) != 2 || list.Items[0].Version != 3 || list.Items[1].Name != "c" {
			t.Errorf("list 10s after the writes: got %+v, want version 5 with a at version 3, and c", list)
		}
	})
}

// TestRateLimitCountsCallsAndOpenWatches sends 15 calls at once, of which the
// burst allows 10 reads or 5 writes. Later, four open watches use 4 of the 10
// reads per second, so that 6 of 15 reads are allowed.
func TestRateLimitCountsCallsAndOpenWatches(t *testing.T) {
	withPlatform(t, Options{ReadsPerSecond: 10, WritesPerSecond: 5}, func(t *testing.T, s *Server, c *http.Client) {
		countLimited := func(method, path string, calls int) (count int) {
			for range calls {
				if call(t, s, method, path, `{"spec":1}`, nil) == http.StatusTooManyRequests {
					count++
				}
			}
			return count
		}
		if got := countLimited("GET", "/objects/Route", 15); got != 5 {
			t.Errorf("without open watches: got %d of 15 reads refused, want 5", got)
		}
		if got := countLimited("POST", "/objects/Route/a", 15); got != 10 {
			t.Errorf("got %d of 15 writes refused, want 10", got)
		}
		time.Sleep(time.Minute)
		for range 4 {
			openWatch(t, c, "from=0")
		}
		time.Sleep(time.Minute + 50*time.Millisecond) // just after a read was charged
		if got := countLimited("GET", "/objects/Route", 15); got != 9 {
			t.Errorf("with four open watches: got %d of 15 reads refused, want 9", got)
		}
	})
}

// TestInstanceListLagsAndExpires has several steps. Each step makes a call, waits
// and then reads the list. The list must show the state of 5 seconds ago. After
// the last step instance b must be missing, because its entry was not renewed
// within 20 seconds.
func TestInstanceListLagsAndExpires(t *testing.T) {
	withPlatform(t, Options{InstanceLag: 5 * time.Second, InstanceTTL: 20 * time.Second}, func(t *testing.T, s *Server, _ *http.Client) {
		names := func() (out []string) {
			var list []api.ListedInstance
			call(t, s, "GET", "/instances", "", &list)
			for _, instance := range list {
				out = append(out, instance.Name+" "+string(instance.State))
			}
			return out
		}
		steps := []struct {
			method, path, body string
			wait               time.Duration
			want               []string
		}{
			{"PUT", "/instances/a", `{"address":"10.0.0.1:1","dataCentre":"d"}`, 4 * time.Second, nil},
			{"PUT", "/instances/b", `{"state":"leaving"}`, 2 * time.Second, []string{"a live"}},
			{"PUT", "/instances/a", `{}`, 4 * time.Second, []string{"a live", "b leaving"}},
			{"DELETE", "/instances/a", ``, 6 * time.Second, []string{"b leaving"}},
			{"PUT", "/instances/c", `{}`, 14 * time.Second, []string{"c live"}},
		}
		for i, step := range steps {
			call(t, s, step.method, step.path, step.body, nil)
			time.Sleep(step.wait)
			if diff := cmp.Diff(step.want, names()); diff != "" {
				t.Errorf("instances after step %d: (-want +got)\n%s", i, diff)
			}
		}
	})
}

func TestClosedWatchIsNotCounted(t *testing.T) {
	withPlatform(t, Options{}, func(t *testing.T, s *Server, c *http.Client) {
		ctx, leave := context.WithCancel(t.Context())
		r, _ := http.NewRequestWithContext(ctx, "GET", "http://"+address+"/watch?from=0", nil)
		if _, err := c.Do(r); err != nil {
			t.Fatal(err)
		}
		if got := s.Counters().OpenWatches; got != 1 {
			t.Errorf("got %d open watches while the caller reads, want 1", got)
		}
		leave()
		synctest.Wait()
		if got := s.Counters().OpenWatches; got != 0 {
			t.Errorf("got %d open watches after the caller left, want 0", got)
		}
	})
}
