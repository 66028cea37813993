package main

import (
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"bergamotpin.example/bergamotpin/platform"
	"bergamotpin.example/bergamotpin/platform/platformtest"
)

// olderBuild is the commit whose build runs beside this one. By default it is the last landing
// but this one.
var olderBuild = flag.String("older-build", "af02865", "commit whose build runs beside this one")

const (
	// fleetGrace is the grace period of the instances, in seconds, and fleetDrain the time within
	// which all of them must send nothing more to a server that leaves.
	fleetGrace = 3
	fleetDrain = 2 * time.Second
	// callerCount is the number of callers, each of which sends requests one after the other.
	callerCount = 12
	// callerTries is how often a caller tries a request, each time at the next instance.
	callerTries = 8
)

// mixedFleet is three instances on loopback addresses, each of the old or of the new build, with
// callers that send requests all the while.
type mixedFleet struct {
	t         *testing.T
	store     *platformtest.Store
	port      uint16
	binaries  map[string]string
	instances [3]*fleetInstance
	// server is the one that is ready, and joined all that ever were.
	server   *platformtest.BackendServer
	joined   []*platformtest.BackendServer
	sent     atomic.Int64
	unserved atomic.Int64
}

// fleetInstance is one process of the fleet. Its addresses are the same for each process that
// takes its place.
type fleetInstance struct {
	settings, callers, ready string
	process                  *process
}

// buildOlder builds a commit of this repository. It skips the test if the history is not there.
func buildOlder(t *testing.T, commit, binary string) {
	t.Helper()
	root, err := filepath.Abs("../..")
	if err != nil {
		t.Fatal(err)
	}
	if exec.Command("git", "-C", root, "cat-file", "-e", commit+"^{commit}").Run() != nil {
		t.Skipf("this clone lacks %s; the messages kept in edge/gossip/testdata/builds are checked all the same", commit)
	}
	tree := filepath.Join(t.TempDir(), "tree")
	runCommand(t, "git", "-C", root, "worktree", "add", "--detach", tree, commit)
	t.Cleanup(func() { _ = exec.Command("git", "-C", root, "worktree", "remove", "--force", tree).Run() })
	build := exec.Command("go", "build", "-o", binary, "./cmd/bergamotpin")
	build.Dir = tree
	if out, err := build.CombinedOutput(); err != nil {
		t.Fatalf("building %s: %v\n%s", commit, err, out)
	}
}

func newMixedFleet(t *testing.T) *mixedFleet {
	t.Helper()
	dir := t.TempDir()
	f := &mixedFleet{t: t, store: platformtest.NewStore(), binaries: map[string]string{"old": filepath.Join(dir, "old"), "new": filepath.Join(dir, "new")}}
	t.Cleanup(f.store.Close)
	buildOlder(t, *olderBuild, f.binaries["old"])
	runCommand(t, "go", "build", "-o", f.binaries["new"], ".")
	f.store.Put("config", "main", platformtest.Configuration(1, 2000))
	f.port = unusedPort(t, "127.0.0.41")
	for n := range f.instances {
		ip := fmt.Sprint("127.0.0.", 41+n)
		i := &fleetInstance{
			settings: filepath.Join(dir, ip), callers: net.JoinHostPort(ip, fmt.Sprint(unusedPort(t, ip))), ready: net.JoinHostPort(ip, fmt.Sprint(unusedPort(t, ip))),
		}
		text := fmt.Sprintf("node_name=edge-%s\nzone=dc1\nlisten.frontend=%s\nlisten.ready=%s\nport_range=%d,%d\nseeds=127.0.0.41:1,127.0.0.42:1,127.0.0.43:1\n"+
			"limits.memory_mb=284\nbounds.drain_ms=%d\nbounds.grace_s=%d\nbounds.retry_ratio=0.2\nbounds.retry_window_s=10\nbounds.retry_slack=54\nplatform.address=%s\n",
			ip, i.callers, i.ready, f.port, f.port+1, fleetDrain.Milliseconds(), fleetGrace, strings.TrimPrefix(f.store.URL, "http://"))
		if err := os.WriteFile(i.settings, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		f.instances[n] = i
	}
	return f
}

func unusedPort(t *testing.T, ip string) uint16 {
	t.Helper()
	l, err := net.Listen("tcp4", ip+":0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().(*net.TCPAddr).AddrPort().Port()
}

// start starts a process of a build and waits until it is ready.
func (f *mixedFleet) start(i *fleetInstance, build string) {
	f.t.Helper()
	var out io.Reader
	i.process, out = startProcess(f.t, f.binaries[build], "edge", "--settings", i.settings)
	go func() { _, _ = io.Copy(io.Discard, out) }()
	for end := time.Now().Add(waitTimeout); !i.isReady(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			f.t.Fatalf("an instance of the %s build was not ready within %v", build, waitTimeout)
		}
	}
}

func (i *fleetInstance) isReady() bool {
	resp, err := http.Get("http://" + i.ready + platform.PathReady)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// replaceAll replaces the processes one after the other. The second one is killed, as if its
// machine had lost power.
func (f *mixedFleet) replaceAll(build string) {
	f.t.Helper()
	for n, i := range f.instances {
		if n == 1 {
			i.process.kill(f.t)
		} else {
			_ = i.process.cmd.Process.Signal(syscall.SIGTERM)
			_ = i.process.cmd.Wait()
		}
		f.start(i, build)
		f.replaceServer(fmt.Sprint("i-", build, "-", n))
	}
}

// replaceServer has a new server take the place of the one before, which must get nothing once the
// time for it has passed.
func (f *mixedFleet) replaceServer(id string) {
	f.t.Helper()
	old := f.server
	f.join(id)
	f.store.Put("servers", old.ID, old.Entry("draining"))
	time.Sleep(fleetDrain)
	drained := len(old.Received())
	time.Sleep(300 * time.Millisecond)
	if late := len(old.Received()) - drained; late > 0 {
		f.t.Errorf("%d requests reached server %s later than %v after it was leaving", late, old.ID, fleetDrain)
	}
	f.store.Delete("servers", old.ID)
}

// join starts and registers a server.
func (f *mixedFleet) join(id string) {
	f.server = platformtest.NewBackendServer(id, "s")
	f.t.Cleanup(f.server.Close)
	f.server.SetBehaviour(platformtest.Behaviour{Events: 6, EventPause: 10 * time.Millisecond})
	f.store.Put("servers", id, f.server.Entry("ready"))
	f.joined = append(f.joined, f.server)
}

// call sends one request after the other until stop is closed. Each try is one at the next
// instance, with an ID of its own.
func (f *mixedFleet) call(caller int, stop <-chan struct{}) {
	paths := []string{platformtest.PathSafe, platformtest.PathUnsafe, platformtest.PathResumable}
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(20 * time.Millisecond):
		}
		path := paths[n%len(paths)]
		f.sent.Add(1)
		served := false
		for try := 0; try < callerTries && !served; try++ {
			i := f.instances[(caller+n+try)%len(f.instances)]
			served = f.try(i, path, fmt.Sprintf("%d-%d-%d", caller, n, try))
			if !served {
				time.Sleep(50 * time.Millisecond)
			}
		}
		if !served {
			f.unserved.Add(1)
		}
	}
}

// try sends a request once, on a connection of its own, and reports whether it was answered whole.
func (f *mixedFleet) try(i *fleetInstance, path, id string) bool {
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 4 * time.Second}
	req, err := http.NewRequest(http.MethodGet, "http://"+i.callers+path, nil)
	if err != nil {
		return false
	}
	req.Host = platformtest.Host
	req.Header.Set(platform.HeaderRequestID, id)
	resp, err := client.Do(req)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	_, err = io.ReadAll(resp.Body)
	return err == nil && resp.StatusCode == http.StatusOK
}

// runTwice counts the requests that may not be repeated and ran more than once.
func (f *mixedFleet) runTwice() int {
	runs := make(map[string]int)
	twice := 0
	for _, s := range f.joined {
		for _, r := range s.Received() {
			if !r.Ran || !strings.HasPrefix(r.Target, platformtest.PathUnsafe) {
				continue
			}
			id := r.Header.Get(platform.HeaderRequestID)
			runs[id]++
			if runs[id] == 2 {
				twice++
			}
		}
	}
	return twice
}

// TestOldAndNewBuildsSideBySide guards against builds that can't run beside each other while the
// machines are replaced: it goes from the old one to the new one and back, under load, with a kill
// and a server that leaves at each step.
func TestOldAndNewBuildsSideBySide(t *testing.T) {
	f := newMixedFleet(t)
	f.join("i-first")
	for _, i := range f.instances {
		f.start(i, "old")
	}
	stop := make(chan struct{})
	var callers sync.WaitGroup
	for n := range callerCount {
		callers.Go(func() { f.call(n, stop) })
	}
	f.replaceAll("new")
	f.replaceAll("old")
	close(stop)
	callers.Wait()
	t.Logf("%s: %d requests, %d unserved", *olderBuild, f.sent.Load(), f.unserved.Load())
	if f.sent.Load() < 500 || f.unserved.Load() > 0 {
		t.Errorf("%d of %d requests were not served at any instance, want none of 500 or more", f.unserved.Load(), f.sent.Load())
	}
	if twice := f.runTwice(); twice > 0 {
		t.Errorf("%d requests that may not be repeated ran more than once", twice)
	}
}
