package limitstest

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"bergamotpin.example/bergamotpin/platform"
	"bergamotpin.example/bergamotpin/platform/platformtest"
)

const (
	// memoryMB and maxDescriptors are what the settings allow the process.
	memoryMB       = 96
	maxDescriptors = 600
	// maxBodyBytes and maxHeaderBytes are the operator's limits.
	maxBodyBytes   = 1 << 20
	maxHeaderBytes = 16 << 10
	// waitTimeout is the longest time that a test waits for something that normally takes
	// much less than a second.
	waitTimeout = 60 * time.Second
	// instanceIP, crowdIP and callerIP are the addresses of the process, of the crowd and of
	// the ordinary caller.
	instanceIP = "127.0.0.61"
	crowdIP    = "127.0.0.62"
	callerIP   = "127.0.0.63"
)

// binary is the path of the program. TestMain builds it.
var binary string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "limitstest")
	if err != nil {
		panic(err)
	}
	binary = filepath.Join(dir, "bergamotpin")
	if out, err := exec.Command("go", "build", "-o", binary, "../cmd/bergamotpin").CombinedOutput(); err != nil {
		panic(fmt.Sprintf("building the program: %v\n%s", err, out))
	}
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

// instance is one entry instance that runs as a process, with a metadata store and a backend
// server in the test's own process.
type instance struct {
	cmd            *exec.Cmd
	callers, ready string
	log            bytes.Buffer
	// ended is closed when the process has ended.
	ended chan struct{}
}

// startInstance starts an instance whose backend server answers as the handler does.
func startInstance(t testing.TB, backend http.HandlerFunc) *instance {
	t.Helper()
	store := platformtest.NewStore()
	t.Cleanup(store.Close)
	server := startBackend(t, backend)
	store.Put("config", "main", platformtest.LimitsConfiguration(maxHeaderBytes, maxBodyBytes))
	store.Put("servers", backendID, fmt.Sprintf(`{"service":"s","address":%q,"zone":"dc1","version":"v1","slots":400,"state":"ready","seq":1,"born":1}`, server))
	i := &instance{callers: unusedAddress(t), ready: unusedAddress(t), ended: make(chan struct{})}
	_, peers, _ := net.SplitHostPort(unusedAddress(t))
	settings := filepath.Join(t.TempDir(), "settings.conf")
	text := fmt.Sprintf("node_name=edge-1\nzone=dc1\nlisten.frontend=%s\nlisten.ready=%s\nport_range=%s,%s\nseeds=%s:1\nlimits.memory_mb=%d\nlimits.max_fds=%d\nbounds.grace_s=3\nplatform.address=%s\n",
		i.callers, i.ready, peers, peers, instanceIP, memoryMB, maxDescriptors, strings.TrimPrefix(store.URL, "http://"))
	if err := os.WriteFile(settings, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	i.start(t, settings)
	return i
}

// start starts the process and waits until it is ready.
func (i *instance) start(t testing.TB, settings string) {
	t.Helper()
	i.cmd = exec.Command(binary, "edge", "--settings", settings)
	i.cmd.Stdout, i.cmd.Stderr = io.Discard, &i.log
	if err := i.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	go func() {
		_ = i.cmd.Wait()
		close(i.ended)
	}()
	t.Cleanup(func() {
		_ = i.cmd.Process.Kill()
		<-i.ended
		if t.Failed() {
			t.Logf("standard error of the process:\n%s", i.log.Bytes())
		}
	})
	for end := time.Now().Add(waitTimeout); !i.isReady(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("the process is not ready after %v", waitTimeout)
		}
	}
}

func (i *instance) isReady() bool {
	resp, err := http.Get("http://" + i.ready + platform.PathReady)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func unusedAddress(t testing.TB) string {
	t.Helper()
	l, err := net.Listen("tcp4", instanceIP+":0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

// backendID is the ID of the backend server.
const backendID = "i-1"

// startBackend starts a backend server and returns its address.
func startBackend(t testing.TB, respond http.HandlerFunc) string {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		w.Header().Set(platform.HeaderRequestID, r.Header.Get(platform.HeaderRequestID))
		w.Header().Set(platform.HeaderServerStamp, "stamp-"+backendID)
		respond(w, r)
	})}
	go func() { _ = server.Serve(l) }()
	t.Cleanup(func() { _ = server.Close() })
	return l.Addr().String()
}

// respondShort is the handler of a backend server with short responses.
func respondShort(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "done") }

// checkHolds checks that the process lives and stays within its limits, and that an ordinary
// request is answered.
func (i *instance) checkHolds(t testing.TB) {
	t.Helper()
	descriptors := i.descriptors(t)
	answered := i.ordinaryRequestAnswered()
	peakMB := i.peakMemoryMB(t)
	t.Logf("peak of resident memory %d MB, %d descriptors, ordinary request answered: %v", peakMB, descriptors, answered)
	select {
	case <-i.ended:
		t.Error("the process has ended")
	default:
	}
	if peakMB > memoryMB {
		t.Errorf("the peak of resident memory is %d MB, want at most %d", peakMB, memoryMB)
	}
	if descriptors > maxDescriptors {
		t.Errorf("%d descriptors are open, want at most %d", descriptors, maxDescriptors)
	}
	if !answered {
		t.Errorf("an ordinary request was not answered with status 200 within %v", waitTimeout)
	}
}

// peakMemoryMB returns the largest resident memory that the process has had, rounded up.
func (i *instance) peakMemoryMB(t testing.TB) int {
	t.Helper()
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", i.cmd.Process.Pid))
	if err != nil {
		t.Fatal(err)
	}
	for line := range strings.Lines(string(raw)) {
		if rest, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			kb, err := strconv.Atoi(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(rest), "kB")))
			if err != nil {
				t.Fatal(err)
			}
			return (kb + 1023) / 1024
		}
	}
	t.Fatal("the process states no peak of resident memory")
	return 0
}

func (i *instance) descriptors(t testing.TB) int {
	t.Helper()
	open, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", i.cmd.Process.Pid))
	if err != nil {
		t.Fatal(err)
	}
	return len(open)
}

// ordinaryRequestAnswered sends a small request from another address than the crowd's and from
// another organisation. It tries again after a refusal, until waitTimeout.
func (i *instance) ordinaryRequestAnswered() bool {
	dialer := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(callerIP)}}
	client := &http.Client{Transport: &http.Transport{DialContext: dialer.DialContext, DisableKeepAlives: true}, Timeout: waitTimeout / 4}
	for end, n := time.Now().Add(waitTimeout), 1; time.Now().Before(end); n++ {
		req, err := http.NewRequest(http.MethodPost, "http://"+i.callers+"/order/1", strings.NewReader("one order"))
		if err != nil {
			return false
		}
		req.Host = "h.example"
		req.Header.Set(platform.HeaderRequestID, fmt.Sprint("ordinary-", n))
		req.Header.Set(platform.HeaderAPIKey, "key-of-calm")
		req.Header.Set(platform.HeaderDeadline, "5000")
		if resp, err := client.Do(req); err == nil {
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return true
			}
		}
		time.Sleep(200 * time.Millisecond)
	}
	return false
}
