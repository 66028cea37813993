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

// address is the engine's address in the in-memory network.
const address = "10.0.0.2:80"

// client calls an engine over an in-memory network.
type client struct {
	*http.Client
	engine *Server
	t      *testing.T
}

// withEngine runs a test in virtual time with one engine.
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

// send sends one call and returns the response. header lists the names and values
// of headers in turn.
func (c *client) send(ctx context.Context, method, path, body string, header ...string) *http.Response {
	c.t.Helper()
	resp, err := c.trySend(ctx, method, path, body, header...)
	if err != nil {
		c.t.Fatal(err)
	}
	return resp
}

// trySend sends one call like send, but returns the error of a failed call.
func (c *client) trySend(ctx context.Context, method, path, body string, header ...string) (*http.Response, error) {
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

// streamedBody returns the body of a streamed request with an answer of the
// given number of tokens.
func streamedBody(text string, tokens int) string {
	return completionBody(text, fmt.Sprintf(`,"stream":true,"metadata":{"answer_tokens":"%d"}`, tokens))
}

// receivedFrame is the number and the text of a frame that the test received.
type receivedFrame struct{ ID, Content string }

// readFrames reads frames until the connection ends. It returns an error if the
// connection was dropped.
func readFrames(body io.Reader) (out []receivedFrame, err error) {
	lines := bufio.NewScanner(body)
	var next receivedFrame
	for lines.Scan() {
		name, value, _ := strings.Cut(lines.Text(), ": ")
		switch name {
		case "id":
			next.ID = value
		case "data":
			next.Content = frameContent(value)
			out = append(out, next)
		}
	}
	return out, lines.Err()
}

// frameContent returns the text of a chunk, or data unchanged if it is not a
// chunk.
func frameContent(data string) string {
	var got chunk
	if json.Unmarshal([]byte(data), &got) != nil {
		return data
	}
	if len(got.Choices) == 0 || got.Choices[0].Delta == nil {
		return ""
	}
	return got.Choices[0].Delta.Content
}

// wantFrames returns the frames of the answer to a prompt. tokens is the length of
// the answer. skipped is the number of frames that are left out at the start.
func wantFrames(text string, tokens, skipped int) []receivedFrame {
	var out []receivedFrame
	for id := skipped + 1; id <= tokens; id++ {
		out = append(out, receivedFrame{fmt.Sprint(id), promptDigest(text).Token(id - 1)})
	}
	return append(out, receivedFrame{fmt.Sprint(tokens + 1), ""}, receivedFrame{fmt.Sprint(tokens + 2), doneData})
}

// TestCutStreamResumesAfterLastFrame resumes a stream whose connection was cut.
// The stream must continue after the last frame that the caller received, and the
// request must not run again.
func TestCutStreamResumesAfterLastFrame(t *testing.T) {
	withEngine(t, Options{}, func(c *client) {
		c.engine.SetFaults(engineapi.EngineFaults{CutAfterTokens: 4})
		resp := c.send(c.t.Context(), "POST", engineapi.PathCompletions, streamedBody("p", 10), engineapi.HeaderAttempt, "a", engineapi.HeaderHold, "5000")
		got, err := readFrames(resp.Body)
		if err == nil {
			t.Error("cut stream: got no error, want the error of a dropped connection")
		}
		if diff := cmp.Diff(wantFrames("p", 10, 0)[:4], got); diff != "" {
			t.Error(diff)
		}
		time.Sleep(time.Second)
		resp = c.send(c.t.Context(), "GET", engineapi.PathStreams+"a", "", "Last-Event-ID", "4")
		rest, err := readFrames(resp.Body)
		if diff := cmp.Diff(wantFrames("p", 10, 4), rest); err != nil || diff != "" {
			t.Error(err, diff)
		}
		if n := c.engine.Runs("a"); n != 1 {
			t.Errorf("got %d runs of attempt a, want 1", n)
		}
		if got := c.engine.Counters(); got.Cut != 1 || got.Resumed != 1 || got.DeliveredTokens != 10 {
			t.Errorf("got counters %+v, want 1 cut, 1 resumed and 10 delivered tokens", got)
		}
	})
}

func TestHeldStreamIsCancelledAfterHoldTime(t *testing.T) {
	withEngine(t, Options{}, func(c *client) {
		c.engine.SetFaults(engineapi.EngineFaults{CutAfterTokens: 1})
		resp := c.send(c.t.Context(), "POST", engineapi.PathCompletions, streamedBody("p", 1000), engineapi.HeaderAttempt, "a", engineapi.HeaderHold, "500")
		io.Copy(io.Discard, resp.Body)
		time.Sleep(time.Second)
		if got := c.engine.Counters(); got.Cancelled != 1 || got.KnownStreams != 0 || got.Running != 0 {
			t.Errorf("after the hold time: got counters %+v, want 1 cancelled, 0 held and 0 running", got)
		}
		resp = c.send(c.t.Context(), "GET", engineapi.PathStreams+"a", "")
		if resp.StatusCode != http.StatusNotFound {
			t.Errorf("resume after the hold time: got status %d, want 404", resp.StatusCode)
		}
	})
}

func TestBrokenConnectionCancelsStreamWithoutHold(t *testing.T) {
	withEngine(t, Options{}, func(c *client) {
		ctx, leave := context.WithCancel(c.t.Context())
		c.send(ctx, "POST", engineapi.PathCompletions, streamedBody("p", 1000), engineapi.HeaderAttempt, "a")
		leave()
		time.Sleep(time.Second)
		if got := c.engine.Counters(); got.Cancelled != 1 || got.Running != 0 || got.ComputedTokens > 10 {
			t.Errorf("after the caller left: got counters %+v, want 1 cancelled, 0 running and at most 10 computed tokens", got)
		}
	})
}

func TestDeleteCancelsWaitingAndRunningStreams(t *testing.T) {
	withEngine(t, Options{MaxBatch: 1}, func(c *client) {
		running := c.send(c.t.Context(), "POST", engineapi.PathCompletions, streamedBody("p", 1000), engineapi.HeaderAttempt, "a", engineapi.HeaderHold, "9000")
		waiting := make(chan *http.Response)
		go func() {
			waiting <- c.send(c.t.Context(), "POST", engineapi.PathCompletions, streamedBody("q", 1000), engineapi.HeaderAttempt, "b")
		}()
		synctest.Wait()
		if resp := c.send(c.t.Context(), "DELETE", engineapi.PathStreams+"b", ""); resp.Header.Get(engineapi.HeaderNotStarted) != "true" {
			t.Errorf("cancel of a waiting stream: got header %v, want Not-Started: true", resp.Header)
		}
		if resp := <-waiting; resp.StatusCode != http.StatusServiceUnavailable || resp.Header.Get(engineapi.HeaderNotStarted) != "true" {
			t.Errorf("response to a request that was cancelled while it waited: got status %d, want 503 and the header Not-Started: true", resp.StatusCode)
		}
		if resp := c.send(c.t.Context(), "DELETE", engineapi.PathStreams+"a", ""); resp.Header.Get(engineapi.HeaderNotStarted) != "" {
			t.Errorf("cancel of a running stream: got header %v, want no Not-Started", resp.Header)
		}
		if _, err := readFrames(running.Body); err == nil {
			t.Error("cancelled stream: got no error, want the error of a dropped connection")
		}
		if c.engine.Runs("a") != 1 || c.engine.Runs("b") != 0 {
			t.Errorf("got %d runs of attempt a, want 1; got %d runs of attempt b, want 0", c.engine.Runs("a"), c.engine.Runs("b"))
		}
	})
}

// TestContinuationStartsAfterTheGivenText continues an answer of which the caller
// has 4 tokens. max_tokens must limit only the new tokens.
func TestContinuationStartsAfterTheGivenText(t *testing.T) {
	withEngine(t, Options{}, func(c *client) {
		delivered := promptDigest("p").Text(0, 4)
		body := fmt.Sprintf(`{"model":"m","stream":true,"max_tokens":6,"metadata":{"answer_tokens":"30"},"continue_final_message":true,
			"messages":[{"role":"user","content":"p"},{"role":"assistant","content":%q}]}`, delivered)
		got, err := readFrames(c.send(c.t.Context(), "POST", engineapi.PathCompletions, body).Body)
		var text strings.Builder
		for _, f := range got[:len(got)-1] {
			text.WriteString(f.Content)
		}
		if want := promptDigest("p").Text(4, 10); err != nil || text.String() != want || got[0].ID != "1" {
			t.Errorf("got text %q from frame %s on, want %q from frame 1 on", text.String(), got[0].ID, want)
		}
		if got := c.engine.Counters(); got.Mismatched != 0 || c.engine.PromptRuns(promptDigest("p")) != 1 {
			t.Errorf("got counters %+v, want 0 mismatched requests and 1 run of the prompt", got)
		}
	})
}

// TestDuplicateAndLateFramesAreSent reads an answer of 2 tokens, which has 4
// frames. The engine must send each frame twice, and each but the last once more
// after the next frame.
func TestDuplicateAndLateFramesAreSent(t *testing.T) {
	withEngine(t, Options{}, func(c *client) {
		c.engine.SetFaults(engineapi.EngineFaults{DuplicateFrames: true, LateFrames: true})
		got, _ := readFrames(c.send(c.t.Context(), "POST", engineapi.PathCompletions, streamedBody("p", 2)).Body)
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

func TestCrashedStreamCannotBeResumed(t *testing.T) {
	withEngine(t, Options{}, func(c *client) {
		c.engine.SetFaults(engineapi.EngineFaults{CrashAfterTokens: 3})
		resp := c.send(c.t.Context(), "POST", engineapi.PathCompletions, streamedBody("p", 10), engineapi.HeaderAttempt, "a", engineapi.HeaderHold, "5000")
		got, err := readFrames(resp.Body)
		if diff := cmp.Diff(wantFrames("p", 10, 0)[:3], got); err == nil || diff != "" {
			t.Error(err, diff)
		}
		if resp := c.send(c.t.Context(), "GET", engineapi.PathStreams+"a", ""); resp.StatusCode != http.StatusNotFound {
			t.Errorf("resume after the crash: got status %d, want 404", resp.StatusCode)
		}
	})
}

func TestFrozenEngineComputesNothingAndThenContinues(t *testing.T) {
	withEngine(t, Options{}, func(c *client) {
		resp := c.send(c.t.Context(), "POST", engineapi.PathCompletions, streamedBody("p", 100), engineapi.HeaderAttempt, "a")
		c.engine.SetFaults(engineapi.EngineFaults{Frozen: true})
		time.Sleep(time.Minute)
		if got := c.engine.Counters(); got.ComputedTokens > 2 {
			t.Errorf("while frozen: got counters %+v, want at most 2 computed tokens", got)
		}
		c.engine.SetFaults(engineapi.EngineFaults{})
		got, err := readFrames(resp.Body)
		if diff := cmp.Diff(wantFrames("p", 100, 0), got); err != nil || diff != "" {
			t.Error(err, diff)
		}
	})
}

func TestKnownAttemptIsRefused(t *testing.T) {
	withEngine(t, Options{}, func(c *client) {
		for _, want := range []int{http.StatusOK, http.StatusConflict} {
			resp := c.send(c.t.Context(), "POST", engineapi.PathCompletions, streamedBody("p", 3), engineapi.HeaderAttempt, "a")
			io.Copy(io.Discard, resp.Body)
			if resp.StatusCode != want || resp.Header.Get(engineapi.HeaderNotStarted) != "" {
				t.Errorf("got status %d, want %d; got header %v, want no Not-Started", resp.StatusCode, want, resp.Header)
			}
		}
		if c.engine.Runs("a") != 1 {
			t.Errorf("got %d runs of attempt a, want 1", c.engine.Runs("a"))
		}
	})
}
