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

// completionBody returns the body of a completion request with one message.
// fields are further JSON fields, each with a leading comma.
func completionBody(text, fields string) string {
	return fmt.Sprintf(`{"model":"m","messages":[{"role":"user","content":%q}]%s}`, text, fields)
}

// promptDigest returns the digest of the prompt that completionBody makes from
// the text.
func promptDigest(text string) answer.Digest {
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
				t.Errorf("token %d is missing in %s", id, got)
			}
		}
		for _, want := range []string{"id: 1\n", `"finish_reason":"stop"`, `"completion_tokens":3`, "id: 6\ndata: [DONE]"} {
			if !strings.Contains(got, want) {
				t.Errorf("%s is missing in %s", want, got)
			}
		}
		if c := e.Counters(); c.ComputedTokens != 3 || c.DeliveredTokens != 3 || c.Completed != 1 || c.Held != 0 {
			t.Errorf("counters %+v, want 3 computed and 3 delivered tokens, 1 completed and no held stream", c)
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
		t.Errorf("one request took %v, eight together %v; want more than one alone, at most twice as much", one, eight)
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
			t.Errorf("%v tokens per second, want at most TokensPerSecond = %v and at least 0.98 of it", got, want)
		}
	})
}
