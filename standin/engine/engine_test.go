package engine

import (
	"fmt"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"bergamotpin.example/bergamotpin/engineapi"
	"bergamotpin.example/bergamotpin/standin/answer"
)

// completionBody returns the body of a completion request with one message of the
// given text. fields contains further JSON fields, each with a leading comma.
func completionBody(text, fields string) string {
	return fmt.Sprintf(`{"model":"m","messages":[{"role":"user","content":%q}]%s}`, text, fields)
}

// promptDigest returns the digest of the prompt in the result of completionBody
// for the same text.
func promptDigest(text string) answer.PromptDigest {
	content := []byte(fmt.Sprintf("%q", text))
	return answer.DigestOf([]engineapi.Message{{Role: "user", Content: content}})
}

// postCompletion sends a completion request and returns the whole response.
func postCompletion(e *Server, attempt, body string) *httptest.ResponseRecorder {
	r := httptest.NewRequest("POST", engineapi.PathCompletions, strings.NewReader(body))
	r.Header.Set(engineapi.HeaderAttempt, attempt)
	w := httptest.NewRecorder()
	e.ServeHTTP(w, r)
	return w
}

func TestStreamContainsWholeAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := New(Options{})
		defer e.Close()
		w := postCompletion(e, "a", completionBody("hello", `,"stream":true,"stream_options":{"include_usage":true},"metadata":{"answer_tokens":"3"}`))
		got := w.Body.String()
		for id := range 3 {
			want := fmt.Sprintf("%q", promptDigest("hello").Token(id))
			if !strings.Contains(got, want) {
				t.Errorf("the stream does not contain token %d: got %s", id, got)
			}
		}
		for _, want := range []string{"id: 1\n", `"finish_reason":"stop"`, `"completion_tokens":3`, "id: 6\ndata: [DONE]"} {
			if !strings.Contains(got, want) {
				t.Errorf("the stream does not contain %s: got %s", want, got)
			}
		}
		if c := e.Counters(); c.ComputedTokens != 3 || c.DeliveredTokens != 3 || c.Completed != 1 || c.KnownStreams != 0 {
			t.Errorf("got counters %+v, want 3 computed and 3 delivered tokens, 1 completed and 0 held", c)
		}
	})
}

func TestLargerBatchesAreSlower(t *testing.T) {
	elapsed := func(requests int) (took time.Duration) {
		synctest.Test(t, func(t *testing.T) {
			e := New(Options{})
			defer e.Close()
			start := time.Now()
			for i := range requests {
				go postCompletion(e, fmt.Sprint(i), completionBody("x", `,"metadata":{"answer_tokens":"50"}`))
			}
			synctest.Wait()
			for e.Counters().Completed < int64(requests) {
				time.Sleep(time.Millisecond)
			}
			took = time.Since(start)
		})
		return took
	}
	if one, eight := elapsed(1), elapsed(8); eight <= one || eight > 2*one {
		t.Errorf("one request took %v and eight together took %v, want longer for eight than for one, but at most twice as long", one, eight)
	}
}

func TestFullBatchReachesTokensPerSecond(t *testing.T) {
	opts := Options{MaxBatch: 8}
	withEngine(t, opts, func(c *client) {
		for range 8 {
			c.completeInBackground(streamedBody("p", 5000))
		}
		time.Sleep(10 * time.Second)
		got := float64(c.engine.Counters().ComputedTokens) / 10
		if want := opts.TokensPerSecond(); got < 0.98*want || got > want {
			t.Errorf("got %v tokens per second, want between 0.98 and 1 times TokensPerSecond, which is %v", got, want)
		}
	})
}
