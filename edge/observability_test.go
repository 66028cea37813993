package edge

import (
	"context"
	"fmt"
	"io"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"bergamotpin.example/bergamotpin/platform/platformtest"
)

// unreadPipe returns the write end of a pipe that nobody reads. Writes block once the
// pipe is full, like those to the standard output of a process whose reader hangs.
func unreadPipe(t *testing.T) *os.File {
	t.Helper()
	reader, writer, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = reader.Close()
		_ = writer.Close()
	})
	return writer
}

// TestBlockedLogReaderDoesNotDelayRequests sends so many requests that their log
// lines overflow the buffer while nothing reads the log. Each request must get its
// response without waiting for the reader.
func TestBlockedLogReaderDoesNotDelayRequests(t *testing.T) {
	const senders, requestsPerSender = 8, 250
	const maxDuration = 500 * time.Millisecond
	store, server := newPlatform(t)
	server.SetBehaviour(platformtest.Behaviour{Events: 1})
	store.Put("config", "main", configurationText(1))
	i := startInstanceWithLog(t, unreadPipe(t), "127.0.0.2", freePort(t, "127.0.0.2"), store.URL, 3)
	await(t, "ready", i.isReady)
	var wait sync.WaitGroup
	for sender := range senders {
		wait.Go(func() {
			for n := range requestsPerSender {
				startTime := time.Now()
				resp, err := i.send(t, fmt.Sprint(sender, "-", n))
				if err != nil || resp.StatusCode != 200 {
					t.Errorf("got %+v, error %v, want status 200", resp, err)
					return
				}
				_, err = io.Copy(io.Discard, resp.Body)
				_ = resp.Body.Close()
				if elapsed := time.Since(startTime); err != nil || elapsed > maxDuration {
					t.Errorf("a request took %v, error %v, want at most 500 ms and no error", elapsed, err)
				}
			}
		})
	}
	wait.Wait()
	if i.Instance.log.Dropped() == [3]int64{} {
		t.Error("no log line was dropped, so the test did not block the log")
	}
}

// TestMetricsOfRequestsPeersAndRetryBudgets checks the metrics in the text format
// that operators read.
func TestMetricsOfRequestsPeersAndRetryBudgets(t *testing.T) {
	store, server := newPlatform(t)
	server.SetBehaviour(platformtest.Behaviour{Events: 3})
	store.Put("config", "main", configurationText(7))
	port := freePort(t, "127.0.0.2")
	i := startInstance(t, "127.0.0.2", port, store.URL, 3)
	other := startInstance(t, "127.0.0.3", port, store.URL, 3)
	await(t, "both ready", func() bool { return i.isReady() && other.isReady() })
	resp, err := i.send(t, "one")
	if err != nil {
		t.Fatal(err)
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	for _, want := range []string{
		`bergamotpin_configuration_version{data_centre="dc1",instance="edge-127.0.0.2"} 7`,
		`bergamotpin_peers{data_centre="dc1",instance="edge-127.0.0.2",state="live"} 1`,
		`bergamotpin_retries_left{data_centre="dc1",instance="edge-127.0.0.2",service="s"} 23`,
		`bergamotpin_event_gap_count{class="stream-3",data_centre="dc1",instance="edge-127.0.0.2"} 2`,
		`bergamotpin_first_token_count{class="stream-3",data_centre="dc1",instance="edge-127.0.0.2"} 1`,
		`bergamotpin_whole_answer_count{class="stream-3",data_centre="dc1",instance="edge-127.0.0.2"} 1`,
		`bergamotpin_configuration_age_ms{`,
		`bergamotpin_requests_open{`,
		`bergamotpin_store_calls{call="list"`,
	} {
		text := ""
		ok := within(15*time.Second, func() bool {
			text = scrape(i.Instance)
			return strings.Contains(text, want)
		})
		if !ok {
			t.Errorf("%s is missing in the metrics:\n%s", want, text)
		}
	}
}

// scrape returns the instance's metrics in the Prometheus text format.
func scrape(i *Instance) string {
	w := httptest.NewRecorder()
	i.metrics.Handler().ServeHTTP(w, httptest.NewRequest("GET", "/metrics", nil))
	return w.Body.String()
}

// TestHealthChangeOfFailingServerIsLogged has a backend server respond with errors
// until the instance considers it failing.
func TestHealthChangeOfFailingServerIsLogged(t *testing.T) {
	store, server := newPlatform(t)
	server.SetBehaviour(platformtest.Behaviour{Status: 500})
	store.Put("config", "main", configurationText(1))
	i := startInstance(t, "127.0.0.2", freePort(t, "127.0.0.2"), store.URL, 3)
	await(t, "ready", i.isReady)
	for n := range 5 {
		resp, err := i.send(t, fmt.Sprint("failed-", n))
		if err != nil {
			t.Fatal(err)
		}
		_ = resp.Body.Close()
	}
	await(t, "log line for the health change", func() bool {
		return strings.Contains(i.log.String(), `"msg":"server health changed","server":"i-1","was":"trusted","is":"failing"`)
	})
}

// within waits until a condition becomes true. It returns false if that takes longer
// than limit.
func within(limit time.Duration, condition func() bool) bool {
	deadline := time.Now().Add(limit)
	for time.Now().Before(deadline) {
		if condition() {
			return true
		}
		time.Sleep(10 * time.Millisecond)
	}
	return false
}

// writeSettings writes a settings file and returns its path.
func writeSettings(t *testing.T, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "settings.conf")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// runInstance runs an instance until the test ends or stop is called.
func runInstance(t *testing.T, i *Instance, reload <-chan struct{}) (stop context.CancelFunc, done chan struct{}) {
	ctx, cancel := context.WithCancel(context.Background())
	done = make(chan struct{})
	go func() {
		defer close(done)
		if err := i.Run(ctx, reload); err != nil {
			t.Error(err)
		}
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return cancel, done
}
