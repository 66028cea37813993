package engine

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"bergamotpin.example/bergamotpin/engineapi"
	"bergamotpin.example/bergamotpin/standin/pipenet"
)

const address = "10.0.0.2:80"

// client is a caller of an engine over the network in memory.
type client struct {
	*http.Client
	engine *Server
	t      *testing.T
}

// withEngine runs the test in virtual time against one engine.
func withEngine(t *testing.T, opts Options, test func(c *client)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		e := New(opts)
		var network pipenet.Network
		stop := network.Serve(address, e)
		transport := network.Transport()
		test(&client{Client: &http.Client{Transport: transport}, engine: e, t: t})
		transport.CloseIdleConnections()
		e.Close()
		stop()
	})
}

// send sends one call with pairs of header names and values.
func (c *client) send(ctx context.Context, method, path, body string, header ...string) *http.Response {
	c.t.Helper()
	resp, err := c.try(ctx, method, path, body, header...)
	if err != nil {
		c.t.Fatal(err)
	}
	return resp
}

// try is send for a call that may get no answer.
func (c *client) try(ctx context.Context, method, path, body string, header ...string) (*http.Response, error) {
	c.t.Helper()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, strings.NewReader(body))
	if err != nil {
		c.t.Fatal(err)
	}
	for i := 0; i < len(header); i += 2 {
		r.Header.Set(header[i], header[i+1])
	}
	return c.Do(r)
}

// streamed returns the body of a streamed request for that many tokens.
func streamed(text string, tokens int) string {
	return prompt(text, fmt.Sprintf(`,"stream":true,"metadata":{"answer_tokens":"%d"}`, tokens))
}

// frame is one event as a caller reads it.
type frame struct{ ID, Content string }

// frames reads events up to the end of the connection.
func frames(body io.Reader) (out []frame, err error) {
	lines := bufio.NewScanner(body)
	var next frame
	for lines.Scan() {
		name, value, _ := strings.Cut(lines.Text(), ": ")
		switch name {
		case "id":
			next.ID = value
		case "data":
			next.Content = contentOf(value)
			out = append(out, next)
		}
	}
	return out, lines.Err()
}

// contentOf returns the text of a chunk, or the data if it is none.
func contentOf(data string) string {
	var got chunk
	if json.Unmarshal([]byte(data), &got) != nil {
		return data
	}
	if len(got.Choices) == 0 || got.Choices[0].Delta == nil {
		return ""
	}
	return got.Choices[0].Delta.Content
}

// wantFrames returns the events of a whole answer after the given one.
func wantFrames(text string, tokens, after int) []frame {
	var out []frame
	for id := after + 1; id <= tokens; id++ {
		out = append(out, frame{fmt.Sprint(id), digest(text).Token(id - 1)})
	}
	return append(out, frame{fmt.Sprint(tokens + 1), ""}, frame{fmt.Sprint(tokens + 2), doneMark})
}

func TestResumeAfterACut(t *testing.T) {
	withEngine(t, Options{}, func(c *client) {
		c.engine.SetFaults(engineapi.EngineFaults{CutAfterTokens: 4})
		resp := c.send(c.t.Context(), "POST", engineapi.PathCompletions, streamed("p", 10), engineapi.HeaderAttempt, "a", engineapi.HeaderHold, "5000")
		got, err := frames(resp.Body)
		if err == nil {
			t.Error("the cut stream ended as if it were whole")
		}
		if diff := cmp.Diff(wantFrames("p", 10, 0)[:4], got); diff != "" {
			t.Error(diff)
		}
		time.Sleep(time.Second)
		resp = c.send(c.t.Context(), "GET", engineapi.PathStreams+"a", "", "Last-Event-ID", "4")
		rest, err := frames(resp.Body)
		if diff := cmp.Diff(wantFrames("p", 10, 4), rest); err != nil || diff != "" {
			t.Error(err, diff)
		}
		if n := c.engine.Runs("a"); n != 1 {
			t.Errorf("the attempt ran %d times", n)
		}
		if got := c.engine.Counters(); got.Cut != 1 || got.Resumed != 1 || got.DeliveredTokens != 10 {
			t.Errorf("counters %+v", got)
		}
	})
}

func TestHeldStreamExpires(t *testing.T) {
	withEngine(t, Options{}, func(c *client) {
		c.engine.SetFaults(engineapi.EngineFaults{CutAfterTokens: 1})
		resp := c.send(c.t.Context(), "POST", engineapi.PathCompletions, streamed("p", 1000), engineapi.HeaderAttempt, "a", engineapi.HeaderHold, "500")
		io.Copy(io.Discard, resp.Body)
		time.Sleep(time.Second)
		if got := c.engine.Counters(); got.Cancelled != 1 || got.Held != 0 || got.Running != 0 {
			t.Errorf("counters %+v", got)
		}
		resp = c.send(c.t.Context(), "GET", engineapi.PathStreams+"a", "")
		if resp.StatusCode != http.StatusNotFound {
			t.Errorf("resume after the hold: %d", resp.StatusCode)
		}
	})
}

func TestBrokenConnectionCancels(t *testing.T) {
	withEngine(t, Options{}, func(c *client) {
		ctx, leave := context.WithCancel(c.t.Context())
		c.send(ctx, "POST", engineapi.PathCompletions, streamed("p", 1000), engineapi.HeaderAttempt, "a")
		leave()
		time.Sleep(time.Second)
		if got := c.engine.Counters(); got.Cancelled != 1 || got.Running != 0 || got.ComputedTokens > 10 {
			t.Errorf("counters %+v", got)
		}
	})
}

func TestCancelByDelete(t *testing.T) {
	withEngine(t, Options{MaxBatch: 1}, func(c *client) {
		running := c.send(c.t.Context(), "POST", engineapi.PathCompletions, streamed("p", 1000), engineapi.HeaderAttempt, "a", engineapi.HeaderHold, "9000")
		waiting := make(chan *http.Response)
		go func() {
			waiting <- c.send(c.t.Context(), "POST", engineapi.PathCompletions, streamed("q", 1000), engineapi.HeaderAttempt, "b")
		}()
		synctest.Wait()
		if resp := c.send(c.t.Context(), "DELETE", engineapi.PathStreams+"b", ""); resp.Header.Get(engineapi.HeaderNotStarted) != "true" {
			t.Errorf("cancel of a waiting stream: %v", resp.Header)
		}
		if resp := <-waiting; resp.StatusCode != http.StatusServiceUnavailable || resp.Header.Get(engineapi.HeaderNotStarted) != "true" {
			t.Errorf("answer to a stream that was cancelled while it waited: %d", resp.StatusCode)
		}
		if resp := c.send(c.t.Context(), "DELETE", engineapi.PathStreams+"a", ""); resp.Header.Get(engineapi.HeaderNotStarted) != "" {
			t.Errorf("cancel of a running stream: %v", resp.Header)
		}
		if _, err := frames(running.Body); err == nil {
			t.Error("a cancelled stream ended as if it were whole")
		}
		if c.engine.Runs("a") != 1 || c.engine.Runs("b") != 0 {
			t.Errorf("runs %d and %d", c.engine.Runs("a"), c.engine.Runs("b"))
		}
	})
}

func TestContinuationGoesOnWhereTheTextEnds(t *testing.T) {
	withEngine(t, Options{}, func(c *client) {
		delivered := digest("p").Text(0, 4)
		body := fmt.Sprintf(`{"model":"m","stream":true,"max_tokens":6,"metadata":{"answer_tokens":"30"},"continue_final_message":true,
			"messages":[{"role":"user","content":"p"},{"role":"assistant","content":%q}]}`, delivered)
		got, err := frames(c.send(c.t.Context(), "POST", engineapi.PathCompletions, body).Body)
		var text strings.Builder
		for _, f := range got[:len(got)-1] {
			text.WriteString(f.Content)
		}
		if want := digest("p").Text(4, 10); err != nil || text.String() != want || got[0].ID != "1" {
			t.Errorf("got %q from id %s, want %q", text.String(), got[0].ID, want)
		}
		if got := c.engine.Counters(); got.Mismatched != 0 || c.engine.PromptRuns(digest("p")) != 1 {
			t.Errorf("counters %+v", got)
		}
	})
}

func TestDoubledAndLateFrames(t *testing.T) {
	withEngine(t, Options{}, func(c *client) {
		c.engine.SetFaults(engineapi.EngineFaults{DoubleFrames: true, LateFrames: true})
		got, _ := frames(c.send(c.t.Context(), "POST", engineapi.PathCompletions, streamed("p", 2)).Body)
		var ids []string
		for _, f := range got {
			ids = append(ids, f.ID)
		}
		want := []string{"1", "1", "2", "2", "1", "3", "3", "2", "4", "4", "3"}
		if diff := cmp.Diff(want, ids); diff != "" {
			t.Error(diff)
		}
	})
}

func TestCrashMidStream(t *testing.T) {
	withEngine(t, Options{}, func(c *client) {
		c.engine.SetFaults(engineapi.EngineFaults{CrashAfterTokens: 3})
		resp := c.send(c.t.Context(), "POST", engineapi.PathCompletions, streamed("p", 10), engineapi.HeaderAttempt, "a", engineapi.HeaderHold, "5000")
		got, err := frames(resp.Body)
		if diff := cmp.Diff(wantFrames("p", 10, 0)[:3], got); err == nil || diff != "" {
			t.Error(err, diff)
		}
		if resp := c.send(c.t.Context(), "GET", engineapi.PathStreams+"a", ""); resp.StatusCode != http.StatusNotFound {
			t.Errorf("resume after a crash: %d", resp.StatusCode)
		}
	})
}

func TestFreezeStopsAndGoesOn(t *testing.T) {
	withEngine(t, Options{}, func(c *client) {
		resp := c.send(c.t.Context(), "POST", engineapi.PathCompletions, streamed("p", 100), engineapi.HeaderAttempt, "a")
		c.engine.SetFaults(engineapi.EngineFaults{Frozen: true})
		time.Sleep(time.Minute)
		if got := c.engine.Counters(); got.ComputedTokens > 2 {
			t.Errorf("counters while frozen %+v", got)
		}
		c.engine.SetFaults(engineapi.EngineFaults{})
		got, err := frames(resp.Body)
		if diff := cmp.Diff(wantFrames("p", 100, 0), got); err != nil || diff != "" {
			t.Error(err, diff)
		}
	})
}

func TestKnownAttemptIsNotRunAgain(t *testing.T) {
	withEngine(t, Options{}, func(c *client) {
		for _, want := range []int{http.StatusOK, http.StatusConflict} {
			resp := c.send(c.t.Context(), "POST", engineapi.PathCompletions, streamed("p", 3), engineapi.HeaderAttempt, "a")
			io.Copy(io.Discard, resp.Body)
			if resp.StatusCode != want || resp.Header.Get(engineapi.HeaderNotStarted) != "" {
				t.Errorf("status %d, want %d, %v", resp.StatusCode, want, resp.Header)
			}
		}
		if c.engine.Runs("a") != 1 {
			t.Errorf("the attempt ran %d times", c.engine.Runs("a"))
		}
	})
}
