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
	"strings"
	"sync"
	"testing"
	"time"

	"bergamotpin.example/bergamotpin/platform"
	"bergamotpin.example/bergamotpin/platform/platformtest"
)

// lockedBuffer takes log lines.
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

// running is one instance on a loopback address of its own.
type running struct {
	*Instance
	log    *lockedBuffer
	path   string
	reload chan struct{}
	stop   context.CancelFunc
	done   chan struct{}
}

const settingsText = `node_name=%s
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

// freePort returns a port that nothing listens on.
func freePort(t *testing.T, ip string) uint16 {
	t.Helper()
	l, err := net.Listen("tcp4", ip+":0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().(*net.TCPAddr).AddrPort().Port()
}

func startInstance(t *testing.T, ip string, peerPort uint16, storeURL string, graceSeconds int) *running {
	t.Helper()
	log := &lockedBuffer{}
	r := startInstanceTo(t, log, ip, peerPort, storeURL, graceSeconds)
	r.log = log
	return r
}

// startInstanceTo starts an instance that logs to out.
func startInstanceTo(t *testing.T, out io.Writer, ip string, peerPort uint16, storeURL string, graceSeconds int) *running {
	t.Helper()
	callers := netip.AddrPortFrom(netip.MustParseAddr(ip), freePort(t, ip))
	ready := netip.AddrPortFrom(netip.MustParseAddr(ip), freePort(t, ip))
	text := fmt.Sprintf(settingsText, "edge-"+ip, callers, ready, peerPort, peerPort+1, graceSeconds, strings.TrimPrefix(storeURL, "http://"))
	r := &running{path: writeSettings(t, text), reload: make(chan struct{})}
	i, err := Start(Options{SettingsPath: r.path, LogOutput: out})
	if err != nil {
		t.Fatal(err)
	}
	r.Instance = i
	r.stop, r.done = run(t, i, r.reload)
	return r
}

func (r *running) isReady() bool {
	resp, err := http.Get("http://" + r.settings.Load().Ready.String() + platform.PathReady)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (r *running) send(t *testing.T, id string) (*http.Response, error) {
	t.Helper()
	req, err := http.NewRequest(http.MethodGet, "http://"+r.settings.Load().Callers.String()+platformtest.PathStream, nil)
	if err != nil {
		t.Fatal(err)
	}
	req.Host = platformtest.Host
	req.Header.Set(platform.HeaderRequestID, id)
	return http.DefaultClient.Do(req)
}

func await(t *testing.T, what string, holds func() bool) {
	t.Helper()
	deadline := time.Now().Add(15 * time.Second)
	for !holds() {
		if time.Now().After(deadline) {
			t.Fatalf("%s: not within 15 s", what)
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// configurationText is a configuration whose streams may take nine seconds.
func configurationText(version int) string { return platformtest.Configuration(version, 9000) }

func newPlatform(t *testing.T) (*platformtest.Store, *platformtest.BackendServer) {
	t.Helper()
	store := platformtest.NewStore()
	t.Cleanup(store.Close)
	replica := platformtest.NewBackendServer("i-1", "s")
	t.Cleanup(replica.Close)
	store.Put("servers", "i-1", replica.Entry("ready"))
	return store, replica
}

func TestInstanceIsReadyOnceItKnowsAConfiguration(t *testing.T) {
	store, replica := newPlatform(t)
	replica.SetBehaviour(platformtest.Behaviour{Events: 2})
	i := startInstance(t, "127.0.0.2", freePort(t, "127.0.0.2"), store.URL, 3)
	time.Sleep(100 * time.Millisecond)
	if i.isReady() {
		t.Error("ready without a configuration")
	}
	resp, err := i.send(t, "early")
	if err != nil || resp.StatusCode != http.StatusServiceUnavailable || resp.Header.Get("Retry-After") == "" {
		t.Errorf("got %+v, %v", resp, err)
	}
	store.Put("config", "main", configurationText(1))
	await(t, "ready", i.isReady)
	resp, err = i.send(t, "first")
	if err != nil || resp.StatusCode != http.StatusOK {
		t.Fatalf("got %+v, %v", resp, err)
	}
	_ = resp.Body.Close()
}

// TestStartWithoutAStoreTakesTheConfigurationOfAPeer starts an instance while
// the store turns everybody away.
func TestStartWithoutAStoreTakesTheConfigurationOfAPeer(t *testing.T) {
	store, _ := newPlatform(t)
	store.Put("config", "main", configurationText(1))
	port := freePort(t, "127.0.0.2")
	first := startInstance(t, "127.0.0.2", port, store.URL, 3)
	await(t, "the first instance is ready", first.isReady)
	store.FailWith(http.StatusServiceUnavailable)
	second := startInstance(t, "127.0.0.3", port, store.URL, 3)
	await(t, "the second instance is ready", second.isReady)
}

// TestStopFinishesWhatIsOpen stops an instance inside a stream.
func TestStopFinishesWhatIsOpen(t *testing.T) {
	store, replica := newPlatform(t)
	replica.SetBehaviour(platformtest.Behaviour{Events: 30, EventPause: 100 * time.Millisecond})
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
		t.Errorf("a request that was sent before the platform knew: %+v, %v", late, err)
	} else {
		_ = late.Body.Close()
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil || !strings.Contains(string(body), "id: 30\n") {
		t.Errorf("the open stream was cut: %v after %d bytes", err, len(body))
	}
	select {
	case <-i.done:
	case <-time.After(8 * time.Second):
		t.Error("the instance did not end")
	}
}

func TestSettingsAreReadAgain(t *testing.T) {
	store, _ := newPlatform(t)
	i := startInstance(t, "127.0.0.2", freePort(t, "127.0.0.2"), store.URL, 3)
	raw, err := os.ReadFile(i.path)
	if err != nil {
		t.Fatal(err)
	}
	change := func(from, to string) {
		if err := os.WriteFile(i.path, bytes.Replace(raw, []byte(from), []byte(to), 1), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	change("grace_s=3", "grace_s=5")
	i.reload <- struct{}{}
	await(t, "the new grace", func() bool { return i.settings.Load().StopGrace == 5*time.Second })
	change("grace_s=3", "grace_s=wrong")
	await(t, "word of the bad file", func() bool { return strings.Contains(i.log.String(), `"msg":"settings kept"`) })
	if i.settings.Load().StopGrace != 5*time.Second {
		t.Error("a bad file changed the settings")
	}
	// Without a signal too.
	change("grace_s=3", "grace_s=4")
	await(t, "the new grace without a signal", func() bool { return i.settings.Load().StopGrace == 4*time.Second })
}

// TestTakenMetricsPortStopsNothing gives the port of the ready address.
func TestTakenMetricsPortStopsNothing(t *testing.T) {
	ip := "127.0.0.4"
	ready := netip.AddrPortFrom(netip.MustParseAddr(ip), freePort(t, ip))
	callers := netip.AddrPortFrom(netip.MustParseAddr(ip), freePort(t, ip))
	peers := freePort(t, ip)
	path := writeSettings(t, fmt.Sprintf(settingsText, "edge", callers, ready, peers, peers+1, 3, "127.0.0.1:1"))
	log := &lockedBuffer{}
	i, err := Start(Options{SettingsPath: path, LogOutput: log, MetricsPort: ready.Port()})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	if err := i.Run(ctx, nil); err != nil {
		t.Error(err)
	}
	if !strings.Contains(log.String(), `"msg":"metrics not served"`) {
		t.Errorf("nothing tells of it: %s", log.String())
	}
}

func TestBadSettingsStartNothing(t *testing.T) {
	path := writeSettings(t, "node_name=x\nzone=z\nlisten.frontend=nowhere\n")
	_, err := Start(Options{SettingsPath: path, LogOutput: io.Discard})
	if err == nil || !strings.Contains(err.Error(), "line 3: listen.frontend") {
		t.Errorf("got %v", err)
	}
}

func TestEveryLogLineParses(t *testing.T) {
	store, replica := newPlatform(t)
	replica.SetBehaviour(platformtest.Behaviour{Events: 3, BreakAfter: 1})
	store.Put("config", "main", configurationText(1))
	store.Put("servers", "i-2", `{"service":1}`)
	i := startInstance(t, "127.0.0.2", freePort(t, "127.0.0.2"), store.URL, 3)
	await(t, "ready", i.isReady)
	resp, err := i.send(t, "broken")
	if err != nil {
		t.Fatal(err)
	}
	if _, err := io.ReadAll(resp.Body); err == nil {
		t.Error("a stream that broke off looks complete")
	}
	i.stop()
	<-i.done
	seen := make(map[string]bool)
	lines := bufio.NewScanner(strings.NewReader(i.log.String()))
	for lines.Scan() {
		var entry struct{ Msg, Request string }
		if err := json.Unmarshal(lines.Bytes(), &entry); err != nil {
			t.Errorf("%v: %q", err, lines.Text())
		}
		seen[entry.Msg] = true
	}
	for _, msg := range []string{"start", "directory changed", "attempt failed", "broken off", "leaving", "left", "stop"} {
		if !seen[msg] {
			t.Errorf("no line %q", msg)
		}
	}
}
