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

const address = "10.0.0.3:80"

// withPlatform runs the test in virtual time against a platform that can be
// called over the network in memory.
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

// watch opens a watch and yields its events until it ends.
func watch(t *testing.T, c *http.Client, query string) (events <-chan api.WatchEvent, status int) {
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
		for lines := bufio.NewScanner(resp.Body); lines.Scan(); {
			var event api.WatchEvent
			if json.Unmarshal(lines.Bytes(), &event) == nil {
				out <- event
			}
		}
	}()
	return out, resp.StatusCode
}

// line is what a test compares of an event.
type line struct {
	Type    api.EventType
	Name    string
	Version int64
}

// lines takes what has come so far.
func lines(events <-chan api.WatchEvent) (out []line) {
	synctest.Wait()
	for {
		select {
		case e, ok := <-events:
			if !ok {
				return out
			}
			out = append(out, line{e.Type, e.Object.Name, e.Object.Version})
		default:
			return out
		}
	}
}

func TestWatchReplaysAndFollows(t *testing.T) {
	withPlatform(t, Options{}, func(t *testing.T, s *Server, c *http.Client) {
		call(t, s, "POST", "/objects/Route/a", `{"spec":1}`, nil)
		call(t, s, "POST", "/objects/Lease/b", `{"spec":1}`, nil)
		call(t, s, "POST", "/objects/Route/c", `{"spec":1}`, nil)
		events, _ := watch(t, c, "kinds=Route,ServiceClass&from=1")
		if diff := cmp.Diff([]line{{api.EventPut, "c", 3}}, lines(events)); diff != "" {
			t.Error(diff)
		}
		call(t, s, "DELETE", "/objects/Route/a?version=1", "", nil)
		if diff := cmp.Diff([]line{{api.EventDelete, "a", 4}}, lines(events)); diff != "" {
			t.Error(diff)
		}
		call(t, s, "POST", "/objects/Lease/d", `{"spec":1}`, nil)
		time.Sleep(DefaultBookmarkEvery)
		if diff := cmp.Diff([]line{{api.EventBookmark, "", 5}}, lines(events)); diff != "" {
			t.Error(diff)
		}
	})
}

func TestOldWatchIsCompacted(t *testing.T) {
	withPlatform(t, Options{History: 3}, func(t *testing.T, s *Server, c *http.Client) {
		for i := range 5 {
			call(t, s, "POST", fmt.Sprint("/objects/Route/", i), `{"spec":1}`, nil)
		}
		var got api.Error
		if code := call(t, s, "GET", "/watch?kinds=Route&from=1", "", &got); code != http.StatusGone || got.Code != api.CodeCompacted {
			t.Errorf("a start before the history: %d %+v", code, got)
		}
		events, _ := watch(t, c, "kinds=Route&from=2")
		if got := lines(events); len(got) != 3 || got[0].Version != 3 {
			t.Errorf("a start at the history's edge: %+v", got)
		}
	})
}

func TestOutageCutsWatchesAndRefuses(t *testing.T) {
	withPlatform(t, Options{}, func(t *testing.T, s *Server, c *http.Client) {
		events, _ := watch(t, c, "from=0")
		synctest.Wait()
		if code := call(t, s, "POST", "/faults", `{"outage":"refuse"}`, nil); code != http.StatusOK {
			t.Errorf("switch: %d", code)
		}
		for range events { // ends when the watch is cut
		}
		if code := call(t, s, "GET", "/objects/Route", "", nil); code != http.StatusServiceUnavailable {
			t.Errorf("a read in an outage: %d", code)
		}
		s.SetFaults(Faults{})
		if code := call(t, s, "GET", "/objects/Route", "", nil); code != http.StatusOK {
			t.Errorf("a read after the outage: %d", code)
		}
	})
}

func TestHangSilencesWatches(t *testing.T) {
	withPlatform(t, Options{}, func(t *testing.T, s *Server, c *http.Client) {
		events, _ := watch(t, c, "kinds=Route&from=0")
		synctest.Wait()
		s.store.create(api.Object{Kind: api.KindRoute, Name: "a"})
		if got := lines(events); len(got) != 1 {
			t.Errorf("before the outage %+v", got)
		}
		s.SetFaults(Faults{Outage: OutageHang})
		synctest.Wait()
		s.store.create(api.Object{Kind: api.KindRoute, Name: "b"})
		time.Sleep(time.Minute)
		if got := lines(events); len(got) != 0 {
			t.Errorf("in the outage %+v", got)
		}
		s.SetFaults(Faults{})
		if got := lines(events); len(got) == 0 || got[0] != (line{api.EventPut, "b", 2}) {
			t.Errorf("after the outage %+v", got)
		}
	})
}

func TestHangLastsAsLongAsTheOutage(t *testing.T) {
	withPlatform(t, Options{}, func(t *testing.T, s *Server, _ *http.Client) {
		s.SetFaults(Faults{Outage: OutageHang})
		time.AfterFunc(time.Minute, func() { s.SetFaults(Faults{}) })
		start := time.Now()
		code := call(t, s, "POST", "/objects/Route/a", `{"spec":1}`, nil)
		if code != http.StatusCreated || time.Since(start) != time.Minute {
			t.Errorf("%d after %v", code, time.Since(start))
		}
	})
}

func TestSlowAnswers(t *testing.T) {
	withPlatform(t, Options{}, func(t *testing.T, s *Server, c *http.Client) {
		s.SetFaults(Faults{Latency: api.Duration(3 * time.Second)})
		start := time.Now()
		call(t, s, "POST", "/objects/Route/a", `{"spec":1}`, nil)
		if took := time.Since(start); took != 3*time.Second {
			t.Errorf("a slow write took %v", took)
		}
		events, _ := watch(t, c, "from=0")
		if got := lines(events); len(got) != 0 || time.Since(start) != 6*time.Second {
			t.Errorf("%+v after %v", got, time.Since(start))
		}
		time.Sleep(3 * time.Second)
		if got := lines(events); len(got) == 0 || got[0].Name != "a" {
			t.Errorf("after the delay %+v", got)
		}
	})
}

func TestLostConfirmationTookEffect(t *testing.T) {
	withPlatform(t, Options{}, func(t *testing.T, s *Server, c *http.Client) {
		s.SetFaults(Faults{LoseConfirmations: 1})
		body := strings.NewReader(`{"spec":1}`)
		if _, err := c.Post("http://"+address+"/objects/Claim/a", "application/json", body); err == nil {
			t.Error("the write was confirmed")
		}
		s.SetFaults(Faults{})
		if code := call(t, s, "GET", "/objects/Claim/a", "", nil); code != http.StatusOK {
			t.Errorf("the write did not take effect: %d", code)
		}
		if got := s.Counters().LostConfirmations; got != 1 {
			t.Errorf("%d confirmations lost", got)
		}
	})
}

func TestStaleReads(t *testing.T) {
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
			t.Errorf("stale list %+v", list)
		}
		if code := call(t, s, "GET", "/objects/Route/c", "", nil); code != http.StatusNotFound {
			t.Errorf("stale get of what is new: %d", code)
		}
		time.Sleep(10 * time.Second)
		call(t, s, "GET", "/objects/Route", "", &list)
		if list.Version != 5 || len(list.Items) != 2 || list.Items[0].Version != 3 || list.Items[1].Name != "c" {
			t.Errorf("list %+v", list)
		}
	})
}

func TestRatesBoundCallsAndWatches(t *testing.T) {
	withPlatform(t, Options{ReadsPerSecond: 10, WritesPerSecond: 5}, func(t *testing.T, s *Server, c *http.Client) {
		limited := func(method, path string, calls int) (count int) {
			for range calls {
				if call(t, s, method, path, `{"spec":1}`, nil) == http.StatusTooManyRequests {
					count++
				}
			}
			return count
		}
		if got := limited("GET", "/objects/Route", 15); got != 5 {
			t.Errorf("%d of 15 reads refused", got)
		}
		if got := limited("POST", "/objects/Route/a", 15); got != 10 {
			t.Errorf("%d of 15 writes refused", got)
		}
		time.Sleep(time.Minute)
		for range 4 {
			watch(t, c, "from=0")
		}
		time.Sleep(time.Minute + 50*time.Millisecond) // just after a charge
		if got := limited("GET", "/objects/Route", 15); got != 9 {
			t.Errorf("beside four watches %d of 15 reads refused", got)
		}
	})
}

func TestListOfInstancesLags(t *testing.T) {
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
				t.Errorf("step %d: %s", i, diff)
			}
		}
	})
}

func TestClosedWatcherIsForgotten(t *testing.T) {
	withPlatform(t, Options{}, func(t *testing.T, s *Server, c *http.Client) {
		ctx, leave := context.WithCancel(t.Context())
		r, _ := http.NewRequestWithContext(ctx, "GET", "http://"+address+"/watch?from=0", nil)
		if _, err := c.Do(r); err != nil {
			t.Fatal(err)
		}
		if got := s.Counters().OpenWatches; got != 1 {
			t.Errorf("%d watches open", got)
		}
		leave()
		synctest.Wait()
		if got := s.Counters().OpenWatches; got != 0 {
			t.Errorf("%d watches open after the caller left", got)
		}
	})
}
