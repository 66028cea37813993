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

// callAndDecode sends a call and returns the decoded JSON response and the status.
func callAndDecode[T any](c *client, method, path, body string) (out T, status int) {
	c.t.Helper()
	resp := c.send(c.t.Context(), method, path, body)
	if err := json.NewDecoder(resp.Body).Decode(&out); err != nil {
		c.t.Fatal(err)
	}
	return out, resp.StatusCode
}

// completeInBackground sends a completion request in a goroutine and reads the
// response. The channel receives the time at which the response ended.
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

// TestUrgentRequestStartsBeforeEarlierOne queues a request of priority 3 and then
// one of priority 0 while the batch is full.
func TestUrgentRequestStartsBeforeEarlierOne(t *testing.T) {
	withEngine(t, Options{MaxBatch: 1}, func(c *client) {
		c.completeInBackground(streamedBody("first", 50))
		synctest.Wait()
		low := c.completeInBackground(streamedBody("low", 50), engineapi.HeaderPriority, "3")
		synctest.Wait()
		high := c.completeInBackground(streamedBody("high", 50), engineapi.HeaderPriority, "0")
		if highEnd, lowEnd := <-high, <-low; !highEnd.Before(lowEnd) {
			t.Errorf("request of priority 0: ended at %v; request of priority 3: ended at %v; want priority 0 first", highEnd, lowEnd)
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
			t.Errorf("new request during the drain: got status %d and header %v, want 503 and Not-Started: true", resp.StatusCode, resp.Header)
		}
		<-running
		<-waiting
		if got := c.engine.Counters(); got.Completed != 2 || got.Refused != 1 || c.engine.Runs("c") != 0 {
			t.Errorf("got counters %+v, want 2 completed, 1 refused and 0 runs of attempt c", got)
		}
	})
}

// TestRefusalsSayNotStarted sends requests that the engine must refuse: two invalid
// ones, one for a model that is not loaded, and one while the queue is full.
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
				t.Errorf("request %s: got status %d and header %v, want the status in the list and Not-Started: true", test.body, resp.StatusCode, resp.Header)
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
			t.Errorf("half a second after the start of a request: got report %+v, want 0 running", got)
		}
		time.Sleep(time.Second)
		got, _ := callAndDecode[engineapi.LoadReport](c, "GET", engineapi.PathLoad, "")
		if got.Running != 1 || time.Since(got.SampledAt) != time.Second {
			t.Errorf("1.5 seconds after the start of a request: got report %+v, want 1 running, sampled 1 second ago", got)
		}
		c.engine.SetFaults(engineapi.EngineFaults{NoReports: true})
		if resp := c.send(c.t.Context(), "GET", engineapi.PathLoad, ""); resp.StatusCode != http.StatusServiceUnavailable {
			t.Errorf("load report with the fault NoReports: got status %d, want 503", resp.StatusCode)
		}
	})
}

// bodyWithPrefix returns the body of a streamed request whose first message has
// the given text. Engines cache this message as the prompt prefix.
func bodyWithPrefix(prefix string) string {
	return fmt.Sprintf(`{"model":"m","stream":true,"metadata":{"answer_tokens":"1"},
		"messages":[{"role":"system","content":%q},{"role":"user","content":"q"}]}`, prefix)
}

// fetchCacheEvents returns the cache events with the given number or a higher one.
// It sets their digests to 0.
func fetchCacheEvents(c *client, from int) (out []engineapi.CacheEvent) {
	resp := c.send(c.t.Context(), "GET", fmt.Sprintf("%s?from=%d", engineapi.PathCacheEvents, from), "")
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
// cache of 250 tokens, so that the third prefix evicts the first. The prefill of
// 100 tokens takes 100 ms.
func TestCachedPrefixSkipsItsPrefillUntilEvicted(t *testing.T) {
	opts := Options{CacheTokens: 250, CacheEventDelay: time.Second, PrefillTime: time.Millisecond}
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
			t.Errorf("a request took %v with an uncached prefix and %v with a cached prefix, want 100ms less with the cached prefix", cold, warm)
		}
		measure('b')
		if events := fetchCacheEvents(c, 0); len(events) != 0 {
			t.Errorf("before the event delay of 1s has passed: got cache events %+v, want none", events)
		}
		measure('c') // evicts the prefix of a
		if evicted := measure('a'); evicted != cold {
			t.Errorf("request with an evicted prefix: took %v, want %v as with an uncached prefix", evicted, cold)
		}
		time.Sleep(time.Second)
		want := []engineapi.CacheEvent{{Seq: 3, Tokens: 100, Evicted: true}, {Seq: 4, Tokens: 100}}
		if diff := cmp.Diff(want, fetchCacheEvents(c, 3)[:2]); diff != "" {
			t.Error(diff)
		}
	})
}

func TestEventLossDropsCacheEvents(t *testing.T) {
	withEngine(t, Options{CacheEventLoss: 0.5, CacheEventDelay: -1, Seed: 1}, func(c *client) {
		for i := range 40 {
			<-c.completeInBackground(bodyWithPrefix(fmt.Sprint("shared text ", i)))
		}
		events := fetchCacheEvents(c, 0)
		if len(events) < 10 || len(events) > 30 {
			t.Errorf("got %d of 40 cache events, want 10 to 30 because half of the events are lost", len(events))
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
				t.Errorf("order with an older token, engine checks tokens: got status %d and state %+v, want 409, role decode and token 5", status, got)
			}
			if !checks && (status != http.StatusOK || got.Role != "prefill") {
				t.Errorf("order with an older token, engine does not check tokens: got status %d and state %+v, want 200 and role prefill", status, got)
			}
		})
	}
}

// TestRepeatedLoadOrderLoadsOnce sends the same order three times. The model must
// be in the list of loaded models once.
func TestRepeatedLoadOrderLoadsOnce(t *testing.T) {
	withEngine(t, Options{Models: []string{"m"}, LoadTime: time.Second}, func(c *client) {
		for range 3 {
			got, _ := callAndDecode[engineapi.OrderState](c, "POST", engineapi.PathOrders, `{"kind":"load_model","model":"n","fence":1}`)
			if got.Loading != "n" {
				t.Errorf("state after the order: got %+v, want model n in Loading", got)
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

// TestEnginesShareTheRateOfTheWeightStore lets one engine, and then two engines
// together, read 11 blocks each. The store delivers one block per second after a
// burst of one block.
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
		t.Errorf("reading the weights took %v for one engine and %v for two engines together, want at least 9s for one and at least twice as long for two", one, two)
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
		t.Errorf("a request took %v without slowdown and %v with a slowdown of 3, want three times as long with the slowdown", normal, slow)
	}
}
