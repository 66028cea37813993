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

// callAndDecode sends a call and decodes the JSON response.
func callAndDecode[T any](c *client, method, path, body string) (out T, status int) {
	c.t.Helper()
	resp := c.send(c.t.Context(), method, path, body)
	if err := json.NewDecoder(resp.Body).Decode(&out); err != nil {
		c.t.Fatal(err)
	}
	return out, resp.StatusCode
}

// completeInBackground sends a completion request in a goroutine. The channel
// receives the time at which the response ended.
func (c *client) completeInBackground(body string, header ...string) <-chan time.Time {
	done := make(chan time.Time, 1)
	go func() {
		resp, err := c.trySend(c.t.Context(), "POST", engineapi.PathCompletions, body, header...)
		if err == nil {
			io.Copy(io.Discard, resp.Body)
		}
		done <- time.Now()
	}()
	return done
}

func TestUrgentRequestStartsBeforeEarlierOne(t *testing.T) {
	withEngine(t, Options{MaxBatch: 1}, func(c *client) {
		c.completeInBackground(streamedBody("first", 50))
		synctest.Wait()
		low := c.completeInBackground(streamedBody("low", 50), engineapi.HeaderPriority, "3")
		synctest.Wait()
		high := c.completeInBackground(streamedBody("high", 50), engineapi.HeaderPriority, "0")
		if highEnd, lowEnd := <-high, <-low; !highEnd.Before(lowEnd) {
			t.Errorf("priority 0 ended at %v, priority 3 at %v; want priority 0 first", highEnd, lowEnd)
		}
	})
}

func TestDrainFinishesAcceptedRequests(t *testing.T) {
	withEngine(t, Options{MaxBatch: 1}, func(c *client) {
		running, waiting := c.completeInBackground(streamedBody("a", 50)), c.completeInBackground(streamedBody("b", 50))
		synctest.Wait()
		c.send(c.t.Context(), "POST", engineapi.PathDrain, "")
		resp := c.send(c.t.Context(), "POST", engineapi.PathCompletions, streamedBody("c", 1), engineapi.HeaderAttempt, "c")
		if resp.StatusCode != http.StatusServiceUnavailable || resp.Header.Get(engineapi.HeaderNotStarted) != "true" {
			t.Errorf("new request during the drain: status %d, header %v; want 503 with Not-Started: true", resp.StatusCode, resp.Header)
		}
		<-running
		<-waiting
		if got := c.engine.Counters(); got.Completed != 2 || got.Refused != 1 || c.engine.Runs("c") != 0 {
			t.Errorf("counters %+v, want 2 completed, 1 refused and no run of attempt c", got)
		}
	})
}

func TestRefusalsSayNotStarted(t *testing.T) {
	withEngine(t, Options{Models: []string{"m"}, MaxBatch: 1, MaxWaiting: 1}, func(c *client) {
		c.completeInBackground(streamedBody("a", 500))
		synctest.Wait()
		c.completeInBackground(streamedBody("b", 500))
		synctest.Wait()
		for _, test := range []struct {
			body   string
			status int
		}{
			{`{`, http.StatusBadRequest},
			{`{"model":"m","messages":[]}`, http.StatusBadRequest},
			{`{"model":"other","messages":[{"role":"user","content":"x"}]}`, http.StatusNotFound},
			{streamedBody("c", 1), http.StatusServiceUnavailable},
		} {
			resp := c.send(c.t.Context(), "POST", engineapi.PathCompletions, test.body)
			if resp.StatusCode != test.status || resp.Header.Get(engineapi.HeaderNotStarted) != "true" {
				t.Errorf("refusal of %s: status %d, header %v; want the status of the test case with Not-Started: true", test.body, resp.StatusCode, resp.Header)
			}
		}
	})
}

// TestLoadReportsLag checks that a load report shows the state of one second
// ago.
func TestLoadReportsLag(t *testing.T) {
	withEngine(t, Options{ReportLag: time.Second}, func(c *client) {
		time.Sleep(2 * time.Second)
		c.completeInBackground(streamedBody("a", 1000))
		time.Sleep(500 * time.Millisecond)
		if got, _ := callAndDecode[engineapi.LoadReport](c, "GET", engineapi.PathLoad, ""); got.Running != 0 {
			t.Errorf("half a second after the start: %+v, want no running request yet", got)
		}
		time.Sleep(time.Second)
		got, _ := callAndDecode[engineapi.LoadReport](c, "GET", engineapi.PathLoad, "")
		if got.Running != 1 || time.Since(got.SampledAt) != time.Second {
			t.Errorf("1.5 seconds after the start: %+v, want 1 running request in a sample of 1 second ago", got)
		}
		c.engine.SetFaults(engineapi.EngineFaults{NoReports: true})
		if resp := c.send(c.t.Context(), "GET", engineapi.PathLoad, ""); resp.StatusCode != http.StatusServiceUnavailable {
			t.Errorf("load report with the fault NoReports: status %d, want 503", resp.StatusCode)
		}
	})
}

// bodyWithPrefix returns the body of a streamed request whose first message,
// the cacheable prefix, is the given text.
func bodyWithPrefix(prefix string) string {
	return fmt.Sprintf(`{"model":"m","stream":true,"metadata":{"answer_tokens":"1"},
		"messages":[{"role":"system","content":%q},{"role":"user","content":"q"}]}`, prefix)
}

// fetchCacheEvents returns the cache events from the given number on, without
// their digests.
func fetchCacheEvents(c *client, from int) (out []engineapi.CacheEvent) {
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

// TestCachedPrefixSkipsItsPrefillUntilEvicted uses prefixes of 100 tokens in a
// cache of 250, so that the third prefix evicts the first. A prefill of 100
// tokens takes 100 ms.
func TestCachedPrefixSkipsItsPrefillUntilEvicted(t *testing.T) {
	opts := Options{CacheTokens: 250, EventDelay: time.Second, PrefillTime: time.Millisecond}
	withEngine(t, opts, func(c *client) {
		measure := func(fill byte) time.Duration {
			start := time.Now()
			text := make([]byte, 400) // 100 tokens
			for i := range text {
				text[i] = fill
			}
			return (<-c.completeInBackground(bodyWithPrefix(string(text)))).Sub(start)
		}
		cold := measure('a')
		if warm := measure('a'); cold-warm != 100*time.Millisecond {
			t.Errorf("request with uncached prefix took %v, with cached prefix %v; want 100ms less", cold, warm)
		}
		measure('b')
		if events := fetchCacheEvents(c, 0); len(events) != 0 {
			t.Errorf("cache events before their delay of 1s: %+v, want none", events)
		}
		measure('c') // evicts the prefix of a
		if evicted := measure('a'); evicted != cold {
			t.Errorf("request with evicted prefix took %v, want %v as with an uncached prefix", evicted, cold)
		}
		time.Sleep(time.Second)
		want := []engineapi.CacheEvent{{Seq: 3, Tokens: 100, Evicted: true}, {Seq: 4, Tokens: 100}}
		if diff := cmp.Diff(want, fetchCacheEvents(c, 3)[:2]); diff != "" {
			t.Error(diff)
		}
	})
}

func TestEventLossDropsCacheEvents(t *testing.T) {
	withEngine(t, Options{EventLoss: 0.5, EventDelay: -1, Seed: 1}, func(c *client) {
		for i := range 40 {
			<-c.completeInBackground(bodyWithPrefix(fmt.Sprint("shared text ", i)))
		}
		events := fetchCacheEvents(c, 0)
		if len(events) < 10 || len(events) > 30 {
			t.Errorf("%d of 40 cache events arrived, want 10 to 30 with a loss of one half", len(events))
		}
	})
}

func TestOldFencingTokenIsRefusedIfChecked(t *testing.T) {
	for _, checks := range []bool{true, false} {
		opts := Options{Models: []string{"m"}, ChecksFencing: checks, LoadTime: time.Second}
		withEngine(t, opts, func(c *client) {
			callAndDecode[engineapi.OrderState](c, "POST", engineapi.PathOrders, `{"kind":"set_role","role":"decode","fence":5}`)
			got, status := callAndDecode[engineapi.OrderState](c, "POST", engineapi.PathOrders, `{"kind":"set_role","role":"prefill","fence":4}`)
			if checks && (status != http.StatusConflict || got.Role != "decode" || got.FencingToken != 5) {
				t.Errorf("older fencing token at an engine that checks: status %d, state %+v; want 409 with role decode and token 5", status, got)
			}
			if !checks && (status != http.StatusOK || got.Role != "prefill") {
				t.Errorf("older fencing token at an engine that does not check: status %d, state %+v; want 200 with role prefill", status, got)
			}
		})
	}
}

func TestRepeatedLoadOrderLoadsOnce(t *testing.T) {
	withEngine(t, Options{Models: []string{"m"}, LoadTime: time.Second}, func(c *client) {
		for range 3 {
			got, _ := callAndDecode[engineapi.OrderState](c, "POST", engineapi.PathOrders, `{"kind":"load_model","model":"n","fence":1}`)
			if got.Loading != "n" {
				t.Errorf("state after the order %+v, want n as loading", got)
			}
		}
		time.Sleep(2 * time.Second)
		got, _ := callAndDecode[engineapi.OrderState](c, "GET", engineapi.PathOrders, "")
		want := engineapi.OrderState{Models: []string{"m", "n"}, Adapters: []string{}, FencingToken: 1}
		if diff := cmp.Diff(want, got); diff != "" {
			t.Error(diff)
		}
	})
}

// TestEnginesShareTheRateOfTheWeightStore reads 11 blocks for each engine at one
// block per second. The store allows a burst of one block.
func TestEnginesShareTheRateOfTheWeightStore(t *testing.T) {
	elapsed := func(engines int) (took time.Duration) {
		synctest.Test(t, func(t *testing.T) {
			store := NewWeightStore(weightBlockBytes) // bytes per second
			start := time.Now()
			done := make(chan error)
			for range engines {
				go func() { done <- store.Read(t.Context(), 11*weightBlockBytes) }()
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
		t.Errorf("reading the weights took one engine %v, two engines together %v; want at least 9s, and twice the time for two", one, two)
	}
}

func TestSlowdownMultipliesTimes(t *testing.T) {
	measure := func(slowdown float64) (out time.Duration) {
		withEngine(t, Options{}, func(c *client) {
			c.engine.SetFaults(engineapi.EngineFaults{Slowdown: slowdown})
			start := time.Now()
			out = (<-c.completeInBackground(streamedBody("p", 20))).Sub(start)
		})
		return out
	}
	if normal, slow := measure(0), measure(3); slow != 3*normal {
		t.Errorf("request took %v normally and %v with a slowdown of 3, want three times as long", normal, slow)
	}
}
