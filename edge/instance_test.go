package edge

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"bergamotpin.example/bergamotpin/platform"
	"bergamotpin.example/bergamotpin/platform/platformtest"
)

// lockedBuffer is a log output that is safe for concurrent use.
type lockedBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.Write(p)
}

func (b *lockedBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.String()
}

// testInstance is a running instance with its own loopback address.
type testInstance struct {
	*Instance
	log          *lockedBuffer
	settingsPath string
	reload       chan struct{}
	stop         context.CancelFunc
	done         chan struct{}
}

const settingsTemplate = `node_name=%s
zone=dc1
listen.frontend=%s
listen.ready=%s
port_range=%d,%d
seeds=127.0.0.2:1,127.0.0.3:1
limits.memory_mb=284
bounds.drain_ms=2000
bounds.grace_s=%d
bounds.retry_ratio=0.2
bounds.retry_window_s=10
bounds.retry_slack=54
platform.address=%s
`

// freePort returns a port that nothing listens on, and that is none of those in taken, which
// were found free before and are not listened on yet.
func freePort(t *testing.T, ip string, taken ...uint16) uint16 {
	t.Helper()
	for {
		l, err := net.Listen("tcp4", ip+":0")
		if err != nil {
			t.Fatal(err)
		}
		port := l.Addr().(*net.TCPAddr).AddrPort().Port()
		_ = l.Close()
		if !slices.Contains(taken, port) {
			return port
		}
	}
}

// startInstance starts an instance that logs to a buffer.
func startInstance(t *testing.T, ip string, peerPort uint16, storeURL string, graceSeconds int) *testInstance {
	t.Helper()
	log := &lockedBuffer{}
	r := startInstanceWithLog(t, log, ip, peerPort, storeURL, graceSeconds)
	r.log = log
	return r
}

// settingsText returns the settings of an instance whose callers' and readiness ports are
// free.
func settingsText(t *testing.T, ip string, peerPort uint16, storeURL string, graceSeconds int) string {
	t.Helper()
	callerPort := freePort(t, ip, peerPort)
	callerAddress := netip.AddrPortFrom(netip.MustParseAddr(ip), callerPort)
	readyAddress := netip.AddrPortFrom(netip.MustParseAddr(ip), freePort(t, ip, peerPort, callerPort))
	return fmt.Sprintf(settingsTemplate, "edge-"+ip, callerAddress, readyAddress, peerPort, peerPort+1, graceSeconds, strings.TrimPrefix(storeURL, "http://"))
}

// startInstanceWithLog starts an instance that logs to out.
func startInstanceWithLog(t *testing.T, out io.Writer, ip string, peerPort uint16, storeURL string, graceSeconds int) *testInstance {
	t.Helper()
	return startInstanceWith(t, Options{LogOutput: out}, ip, peerPort, storeURL, graceSeconds)
}

// startInstanceWith starts an instance with the given options. It sets their SettingsPath.
func startInstanceWith(t *testing.T, o Options, ip string, peerPort uint16, storeURL string, graceSeconds int) *testInstance {
	t.Helper()
	return startInstanceFrom(t, o, settingsText(t, ip, peerPort, storeURL, graceSeconds))
}

// startInstanceFrom starts an instance with the given options and the text of its settings.
func startInstanceFrom(t *testing.T, o Options, settings string) *testInstance {
	t.Helper()
	r := &testInstance{settingsPath: writeSettings(t, settings), reload: make(chan struct{})}
	o.SettingsPath = r.settingsPath
	i, err := Start(o)
	if err != nil {
		t.Fatal(err)
	}
	r.Instance = i
	r.stop, r.done = runInstance(t, i, r.reload)
	return r
}

// isReady reports whether the instance passes the readiness check.
func (r *testInstance) isReady() bool {
	resp, err := http.Get("http://" + r.settings.Load().ReadyAddress.String() + platform.PathReady)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// send sends a request for a stream with the given request ID.
func (r *testInstance) send(t *testing.T, id string) (*http.Response, error) {
	t.Helper()
	req, err := http.NewRequest(http.MethodGet, "http://"+r.settings.Load().CallersAddress.String()+platformtest.PathStream, nil)
	if err != nil {
		t.Fatal(err)
	}
	req.Host = platformtest.Host
	req.Header.Set(platform.HeaderRequestID, id)
	return http.DefaultClient.Do(req)
}

// testRequest is a request of a test. A request with a body is a POST.
type testRequest struct{ path, id, body, blocks string }

// testResponse is a response, or one that was broken off if its status is 0.
type testResponse struct {
	status     int
	retryAfter string
	took       time.Duration
}

// roundTrip sends a request and reads the whole response.
func (r *testInstance) roundTrip(request testRequest) testResponse {
	began := time.Now()
	// A POST, since net/http's client repeats a GET by itself if its kept connection closes without
	// an answer.
	req, err := http.NewRequest(http.MethodPost, "http://"+r.settings.Load().CallersAddress.String()+request.path, strings.NewReader(request.body))
	if err != nil {
		return testResponse{}
	}
	req.Host = platformtest.Host
	req.Header.Set(platform.HeaderRequestID, request.id)
	if request.blocks != "" {
		req.Header.Set(platform.HeaderPrefixBlocks, request.blocks)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return testResponse{}
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return testResponse{}
	}
	return testResponse{resp.StatusCode, resp.Header.Get("Retry-After"), time.Since(began)}
}

// await waits until a condition becomes true. It ends the test after 15 s.
func await(t *testing.T, label string, condition func() bool) {
	t.Helper()
	deadline := time.Now().Add(15 * time.Second)
	for !condition() {
		if time.Now().After(deadline) {
			t.Fatalf("%s: not reached within 15 s", label)
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// configurationText returns a configuration of the given version, with a stream timeout
// of nine seconds.
func configurationText(version int) string { return platformtest.Configuration(version, 9000) }

// newPlatform starts a metadata store and a backend server that is registered in it.
func newPlatform(t *testing.T) (*platformtest.Store, *platformtest.BackendServer) {
	t.Helper()
	store := platformtest.NewStore()
	t.Cleanup(store.Close)
	server := platformtest.NewBackendServer("i-1", "s")
	t.Cleanup(server.Close)
	store.Put("servers", "i-1", server.Entry("ready"))
	return store, server
}

// TestReadyOnceConfigurationIsKnown checks that an instance refuses requests and fails the
// readiness check until it gets a configuration.
func TestReadyOnceConfigurationIsKnown(t *testing.T) {
	store, server := newPlatform(t)
	server.SetBehaviour(platformtest.Behaviour{Events: 2})
	i := startInstance(t, "127.0.0.2", freePort(t, "127.0.0.2"), store.URL, 3)
	time.Sleep(100 * time.Millisecond)
	if i.isReady() {
		t.Error("the instance is ready without a configuration, want it not ready")
	}
	resp, err := i.send(t, "early")
	if err != nil || resp.StatusCode != http.StatusServiceUnavailable || resp.Header.Get("Retry-After") == "" {
		t.Errorf("request without a configuration: got %+v, error %v, want status 503 with Retry-After", resp, err)
	}
	store.Put("config", "main", configurationText(1))
	await(t, "ready", i.isReady)
	resp, err = i.send(t, "first")
	if err != nil || resp.StatusCode != http.StatusOK {
		t.Fatalf("request with a configuration: got %+v, error %v, want status 200", resp, err)
	}
	_ = resp.Body.Close()
}

// TestStartWithoutStoreGetsConfigurationFromPeer starts a second instance while the
// metadata store rejects all calls. The instance must become ready with the
// configuration of the first one.
func TestStartWithoutStoreGetsConfigurationFromPeer(t *testing.T) {
	store, _ := newPlatform(t)
	store.Put("config", "main", configurationText(1))
	port := freePort(t, "127.0.0.2")
	first := startInstance(t, "127.0.0.2", port, store.URL, 3)
	await(t, "the first instance is ready", first.isReady)
	store.FailWith(http.StatusServiceUnavailable)
	second := startInstance(t, "127.0.0.3", port, store.URL, 3)
	await(t, "the second instance is ready", second.isReady)
}

// TestAllInstancesLosePowerAtOnce guards against state that only running instances hold: all
// stop right after a change was acknowledged, and new ones start while the store is down.
func TestAllInstancesLosePowerAtOnce(t *testing.T) {
	store, server := newPlatform(t)
	server.SetBehaviour(platformtest.Behaviour{Events: 2})
	store.Put("config", "main", configurationText(1))
	port := freePort(t, "127.0.0.2")
	addresses := []string{"127.0.0.2", "127.0.0.3"}
	var before []*testInstance
	for _, ip := range addresses {
		before = append(before, startInstance(t, ip, port, store.URL, 1))
	}
	for _, i := range before {
		await(t, "ready before", i.isReady)
		i.stop()
	}
	for _, i := range before {
		<-i.done
	}
	store.Put("config", "main", configurationText(2))
	store.FailWith(http.StatusServiceUnavailable)
	var after []*testInstance
	for _, ip := range addresses {
		after = append(after, startInstance(t, ip, port, store.URL, 3))
	}
	time.Sleep(300 * time.Millisecond)
	for _, i := range after {
		if i.isReady() {
			t.Error("an instance is ready although nobody could tell it the configuration")
		}
	}
	store.FailWith(0)
	for _, i := range after {
		await(t, "ready after", i.isReady)
		if got := i.catalog.Snapshot().Version; got != 2 {
			t.Errorf("got version %d in force, want 2, the last one acknowledged", got)
		}
		resp, err := i.send(t, "after")
		if err != nil || resp.StatusCode != http.StatusOK {
			t.Fatalf("request after the loss: got %+v, error %v, want status 200", resp, err)
		}
		_ = resp.Body.Close()
	}
}

// TestShutdownFinishesOpenRequests stops an instance while it serves a stream. The
// stream must not be cut, and a request that arrives shortly after the stop must be
// served.
func TestShutdownFinishesOpenRequests(t *testing.T) {
	store, server := newPlatform(t)
	server.SetBehaviour(platformtest.Behaviour{Events: 30, EventPause: 100 * time.Millisecond})
	store.Put("config", "main", configurationText(1))
	i := startInstance(t, "127.0.0.2", freePort(t, "127.0.0.2"), store.URL, 6)
	await(t, "ready", i.isReady)
	resp, err := i.send(t, "open")
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	i.stop()
	await(t, "no longer ready", func() bool { return !i.isReady() })
	late, err := i.send(t, "late")
	if err != nil || late.StatusCode != http.StatusOK || !late.Close {
		t.Errorf("request shortly after the stop: got %+v, error %v; want status 200 and a response that closes the connection", late, err)
	} else {
		_ = late.Body.Close()
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil || !strings.Contains(string(body), "id: 30\n") {
		t.Errorf("the open stream was cut: got error %v after %d bytes, want all events up to ID 30", err, len(body))
	}
	select {
	case <-i.done:
	case <-time.After(8 * time.Second):
		t.Error("the instance did not stop within 8 s of the end of the stream")
	}
}

// TestSettingsAreReloaded changes the settings file. A valid change must take effect, with
// or without a signal, and an invalid one must be logged and change nothing.
func TestSettingsAreReloaded(t *testing.T) {
	store, _ := newPlatform(t)
	i := startInstance(t, "127.0.0.2", freePort(t, "127.0.0.2"), store.URL, 3)
	raw, err := os.ReadFile(i.settingsPath)
	if err != nil {
		t.Fatal(err)
	}
	change := func(from, to string) {
		if err := os.WriteFile(i.settingsPath, bytes.Replace(raw, []byte(from), []byte(to), 1), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	change("grace_s=3", "grace_s=5")
	i.reload <- struct{}{}
	await(t, "the new grace period", func() bool { return i.settings.Load().StopGrace == 5*time.Second })
	change("grace_s=3", "grace_s=wrong")
	await(t, "the log line for the invalid file", func() bool {
		return strings.Contains(i.log.String(), `"msg":"settings not reloaded; keeping the current ones"`)
	})
	if i.settings.Load().StopGrace != 5*time.Second {
		t.Error("an invalid file changed the settings, want them unchanged")
	}
	// Without a signal, the periodic check of the file finds the change.
	change("grace_s=3", "grace_s=4")
	await(t, "the new grace period without a signal", func() bool { return i.settings.Load().StopGrace == 4*time.Second })
}

// TestTakenMetricsPortDoesNotPreventStart configures the port of the readiness check
// as metrics port. The instance must start without serving metrics, and log that.
func TestTakenMetricsPortDoesNotPreventStart(t *testing.T) {
	ip := "127.0.0.4"
	readyPort := freePort(t, ip)
	callerPort := freePort(t, ip, readyPort)
	peerPort := freePort(t, ip, readyPort, callerPort)
	readyAddress := netip.AddrPortFrom(netip.MustParseAddr(ip), readyPort)
	callerAddress := netip.AddrPortFrom(netip.MustParseAddr(ip), callerPort)
	path := writeSettings(t, fmt.Sprintf(settingsTemplate, "edge", callerAddress, readyAddress, peerPort, peerPort+1, 3, "127.0.0.1:1"))
	log := &lockedBuffer{}
	i, err := Start(Options{SettingsPath: path, LogOutput: log, MetricsPort: readyAddress.Port()})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	if err := i.Run(ctx, nil); err != nil {
		t.Error(err)
	}
	if !strings.Contains(log.String(), `"msg":"metrics not served"`) {
		t.Errorf("the failure to serve metrics was not logged; got the log %s", log.String())
	}
}

// TestInvalidSettingsPreventStart starts an instance with an address that can't be
// parsed. The error must name the line and the key.
func TestInvalidSettingsPreventStart(t *testing.T) {
	path := writeSettings(t, "node_name=x\nzone=z\nlisten.frontend=nowhere\n")
	_, err := Start(Options{SettingsPath: path, LogOutput: io.Discard})
	if err == nil || !strings.Contains(err.Error(), "line 3: listen.frontend") {
		t.Errorf("got the error %v, want an error about listen.frontend in line 3", err)
	}
}

// TestEveryLogLineParses causes log lines of several kinds, some with the details of an
// error, and checks that each is valid JSON.
func TestEveryLogLineParses(t *testing.T) {
	store, server := newPlatform(t)
	server.SetBehaviour(platformtest.Behaviour{Events: 3, CutAfterEvents: 1})
	store.Put("config", "main", configurationText(1))
	store.Put("servers", "i-2", `{"service":1}`)
	i := startInstance(t, "127.0.0.2", freePort(t, "127.0.0.2"), store.URL, 3)
	await(t, "ready", i.isReady)
	resp, err := i.send(t, "broken")
	if err != nil {
		t.Fatal(err)
	}
	if _, err := io.ReadAll(resp.Body); err == nil {
		t.Error("the truncated stream was read without an error, want an error")
	}
	i.stop()
	<-i.done
	logged := make(map[string]bool)
	lines := bufio.NewScanner(strings.NewReader(i.log.String()))
	for lines.Scan() {
		var entry struct{ Msg, Request string }
		if err := json.Unmarshal(lines.Bytes(), &entry); err != nil {
			t.Errorf("invalid JSON line: %v: %q", err, lines.Text())
		}
		logged[entry.Msg] = true
	}
	for _, msg := range []string{"start", "catalog changed", "attempt failed", "broken off", "leaving", "left", "stop"} {
		if !logged[msg] {
			t.Errorf("the log has no line with the message %q, want at least one", msg)
		}
	}
}
