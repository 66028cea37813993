package engine

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"bergamotpin.example/bergamotpin/engineapi"
)

// decode sends a call and decodes its answer.
func decode[T any](c *client, method, path, body string) (out T, status int) {
	c.t.Helper()
	resp := c.send(c.t.Context(), method, path, body)
	if err := json.NewDecoder(resp.Body).Decode(&out); err != nil {
		c.t.Fatal(err)
	}
	return out, resp.StatusCode
}

// background sends a completion on its own goroutine and tells when its answer
// ended.
func (c *client) background(body string, header ...string) <-chan time.Time {
	done := make(chan time.Time, 1)
	go func() {
		resp, err := c.try(c.t.Context(), "POST", engineapi.PathCompletions, body, header...)
		if err == nil {
			io.Copy(io.Discard, resp.Body)
		}
		done <- time.Now()
	}()
	return done
}

func TestPriorityGoesBeforeArrival(t *testing.T) {
	withEngine(t, Options{MaxBatch: 1}, func(c *client) {
		c.background(streamed("first", 50))
		synctest.Wait()
		low := c.background(streamed("low", 50), engineapi.HeaderPriority, "3")
		synctest.Wait()
		high := c.background(streamed("high", 50), engineapi.HeaderPriority, "0")
		if at, after := <-high, <-low; !at.Before(after) {
			t.Errorf("priority 0 ended at %v, priority 3 at %v", at, after)
		}
	})
}

func TestDrainFinishesWhatRuns(t *testing.T) {
	withEngine(t, Options{MaxBatch: 1}, func(c *client) {
		running, waiting := c.background(streamed("a", 50)), c.background(streamed("b", 50))
		synctest.Wait()
		c.send(c.t.Context(), "POST", engineapi.PathDrain, "")
		resp := c.send(c.t.Context(), "POST", engineapi.PathCompletions, streamed("c", 1), engineapi.HeaderAttempt, "c")
		if resp.StatusCode != http.StatusServiceUnavailable || resp.Header.Get(engineapi.HeaderNotStarted) != "true" {
			t.Errorf("new work while draining: %d %v", resp.StatusCode, resp.Header)
		}
		<-running
		<-waiting
		if got := c.engine.Counters(); got.Completed != 2 || got.Refused != 1 || c.engine.Runs("c") != 0 {
			t.Errorf("counters %+v", got)
		}
	})
}

func TestRefusalsSayThatNothingRan(t *testing.T) {
	withEngine(t, Options{Models: []string{"m"}, MaxBatch: 1, MaxWaiting: 1}, func(c *client) {
		c.background(streamed("a", 500))
		synctest.Wait()
		c.background(streamed("b", 500))
		synctest.Wait()
		for _, test := range []struct {
			body   string
			status int
		}{
			{`{`, http.StatusBadRequest},
			{`{"model":"m","messages":[]}`, http.StatusBadRequest},
			{`{"model":"other","messages":[{"role":"user","content":"x"}]}`, http.StatusNotFound},
			{streamed("c", 1), http.StatusServiceUnavailable},
		} {
			resp := c.send(c.t.Context(), "POST", engineapi.PathCompletions, test.body)
			if resp.StatusCode != test.status || resp.Header.Get(engineapi.HeaderNotStarted) != "true" {
				t.Errorf("%s: %d %v", test.body, resp.StatusCode, resp.Header)
			}
		}
	})
}

func TestLoadReportsLag(t *testing.T) {
	withEngine(t, Options{ReportLag: time.Second}, func(c *client) {
		time.Sleep(2 * time.Second)
		c.background(streamed("a", 1000))
		time.Sleep(500 * time.Millisecond)
		if got, _ := decode[engineapi.LoadReport](c, "GET", engineapi.PathLoad, ""); got.Running != 0 {
			t.Errorf("half a second after the start: %+v", got)
		}
		time.Sleep(time.Second)
		got, _ := decode[engineapi.LoadReport](c, "GET", engineapi.PathLoad, "")
		if got.Running != 1 || time.Since(got.SampledAt) != time.Second {
			t.Errorf("later: %+v", got)
		}
		c.engine.SetFaults(engineapi.EngineFaults{NoReports: true})
		if resp := c.send(c.t.Context(), "GET", engineapi.PathLoad, ""); resp.StatusCode != http.StatusServiceUnavailable {
			t.Errorf("without reports: %d", resp.StatusCode)
		}
	})
}

// withPrefix returns a streamed request whose first message is shared.
func withPrefix(shared string) string {
	return fmt.Sprintf(`{"model":"m","stream":true,"metadata":{"answer_tokens":"1"},
		"messages":[{"role":"system","content":%q},{"role":"user","content":"q"}]}`, shared)
}

// cacheEvents reads the events from a number on.
func cacheEvents(c *client, from int) (out []engineapi.CacheEvent) {
	resp := c.send(c.t.Context(), "GET", fmt.Sprintf("%s?from=%d", engineapi.PathCache, from), "")
	for in := json.NewDecoder(resp.Body); ; {
		var event engineapi.CacheEvent
		if in.Decode(&event) != nil {
			return out
		}
		event.Prefix = 0
		out = append(out, event)
	}
}

func TestPrefixCache(t *testing.T) {
	opts := Options{CacheTokens: 250, EventDelay: time.Second, PrefillTime: time.Millisecond}
	withEngine(t, opts, func(c *client) {
		took := func(shared byte) time.Duration {
			start := time.Now()
			text := make([]byte, 400) // 100 tokens
			for i := range text {
				text[i] = shared
			}
			return (<-c.background(withPrefix(string(text)))).Sub(start)
		}
		cold := took('a')
		if warm := took('a'); cold-warm != 100*time.Millisecond {
			t.Errorf("cold %v, warm %v", cold, warm)
		}
		took('b')
		if events := cacheEvents(c, 0); len(events) != 0 {
			t.Errorf("events came before their delay: %+v", events)
		}
		took('c') // evicts a
		if again := took('a'); again != cold {
			t.Errorf("after the eviction %v, want %v", again, cold)
		}
		time.Sleep(time.Second)
		want := []engineapi.CacheEvent{{Seq: 3, Tokens: 100, Evicted: true}, {Seq: 4, Tokens: 100}}
		if diff := cmp.Diff(want, cacheEvents(c, 3)[:2]); diff != "" {
			t.Error(diff)
		}
	})
}

func TestCacheEventsHaveGaps(t *testing.T) {
	withEngine(t, Options{EventLoss: 0.5, EventDelay: -1, Seed: 1}, func(c *client) {
		for i := range 40 {
			<-c.background(withPrefix(fmt.Sprint("shared text ", i)))
		}
		events := cacheEvents(c, 0)
		if len(events) < 10 || len(events) > 30 {
			t.Errorf("%d of 40 events came", len(events))
		}
	})
}

func TestOrdersWithFencing(t *testing.T) {
	for _, checks := range []bool{true, false} {
		opts := Options{Models: []string{"m"}, ChecksFencing: checks, LoadTime: time.Second}
		withEngine(t, opts, func(c *client) {
			decode[engineapi.OrderState](c, "POST", engineapi.PathOrders, `{"kind":"set_role","role":"decode","fence":5}`)
			got, status := decode[engineapi.OrderState](c, "POST", engineapi.PathOrders, `{"kind":"set_role","role":"prefill","fence":4}`)
			if checks && (status != http.StatusConflict || got.Role != "decode" || got.FencingToken != 5) {
				t.Errorf("an old order at a checking engine: %d %+v", status, got)
			}
			if !checks && (status != http.StatusOK || got.Role != "prefill") {
				t.Errorf("an old order at another engine: %d %+v", status, got)
			}
		})
	}
}

func TestRepeatedLoadsHappenOnce(t *testing.T) {
	withEngine(t, Options{Models: []string{"m"}, LoadTime: time.Second}, func(c *client) {
		for range 3 {
			got, _ := decode[engineapi.OrderState](c, "POST", engineapi.PathOrders, `{"kind":"load_model","model":"n","fence":1}`)
			if got.Loading != "n" {
				t.Errorf("state %+v", got)
			}
		}
		time.Sleep(2 * time.Second)
		got, _ := decode[engineapi.OrderState](c, "GET", engineapi.PathOrders, "")
		want := engineapi.OrderState{Models: []string{"m", "n"}, Adapters: []string{}, FencingToken: 1}
		if diff := cmp.Diff(want, got); diff != "" {
			t.Error(diff)
		}
	})
}

func TestEnginesShareTheWeightStore(t *testing.T) {
	elapsed := func(engines int) (took time.Duration) {
		synctest.Test(t, func(t *testing.T) {
			store := NewWeightStore(weightBlock) // bytes a second
			start := time.Now()
			done := make(chan error)
			for range engines {
				go func() { done <- store.Read(t.Context(), 11*weightBlock) }()
			}
			for range engines {
				if err := <-done; err != nil {
					t.Error(err)
				}
			}
			took = time.Since(start)
		})
		return took
	}
	if one, two := elapsed(1), elapsed(2); one < 9*time.Second || two < 2*one {
		t.Errorf("one engine took %v, two together %v", one, two)
	}
}

func TestSlowdownMultipliesTimes(t *testing.T) {
	took := func(slowdown float64) (out time.Duration) {
		withEngine(t, Options{}, func(c *client) {
			c.engine.SetFaults(engineapi.EngineFaults{Slowdown: slowdown})
			start := time.Now()
			out = (<-c.background(streamed("p", 20))).Sub(start)
		})
		return out
	}
	if normal, slow := took(0), took(3); slow != 3*normal {
		t.Errorf("normal %v, slow %v", normal, slow)
	}
}
