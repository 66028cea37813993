package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// record is the file in which a case writes what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: file, start: time.Now()}, nil
}

// line writes a line with the time since the start and pairs of names and values.
func (r *record) line(what string, pairs ...any) {
	var b strings.Builder
	fmt.Fprintf(&b, "%8.3f %s", time.Since(r.start).Seconds(), what)
	for n := 0; n+1 < len(pairs); n += 2 {
		fmt.Fprintf(&b, " %v=%v", pairs[n], pairs[n+1])
	}
	b.WriteByte('\n')
	r.mu.Lock()
	defer r.mu.Unlock()
	// The error is ignored: the record is for readers only.
	_, _ = r.file.WriteString(b.String())
}

// say writes a line to the record and to the standard output.
func (r *record) say(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	fmt.Println(text)
	r.line("-- " + text)
}

// entry is one entry instance: a process of the project, started by the command of the deploy
// file.
type entry struct {
	name, callers, ready string
	settings             string
	process              *exec.Cmd
}

// fleet is a small deployment: a store, replicas and entry instances.
type fleet struct {
	dir      string
	record   *record
	store    *store
	entries  []*entry
	replicas []*replica
}

const (
	entryIP   = "127.0.21.%d"
	replicaIP = "127.0.22.1"
	storeIP   = "127.0.23.1"
)

// newFleet starts a store and prepares the settings of count entry instances.
func newFleet(rec *record, count int) (*fleet, error) {
	dir, err := os.MkdirTemp("", "bergamotpin-review")
	if err != nil {
		return nil, err
	}
	f := &fleet{dir: dir, record: rec}
	running.Store(f)
	if f.store, err = startStore(storeIP); err != nil {
		return nil, err
	}
	var seeds []string
	for n := range min(count, 3) {
		seeds = append(seeds, fmt.Sprintf(entryIP+":8229", n+1))
	}
	port, err := freePort(fmt.Sprintf(entryIP, 1))
	if err != nil {
		return nil, err
	}
	for n := range count {
		ip := fmt.Sprintf(entryIP, n+1)
		var ports [3]int
		for i := range ports {
			if ports[i], err = freePort(ip); err != nil {
				return nil, err
			}
		}
		e := &entry{
			name: fmt.Sprintf("edge-zone-a-%d", n+1), callers: fmt.Sprintf("%s:%d", ip, ports[0]), ready: fmt.Sprintf("%s:%d", ip, ports[1]),
			settings: filepath.Join(dir, fmt.Sprintf("settings-%d.conf", n+1)),
		}
		text := fmt.Sprintf(settingsText, e.name, ip, e.callers, e.ready, ip, ports[2], port, port+15, strings.Join(seeds, ","), f.store.address)
		if err := os.WriteFile(e.settings, []byte(text), 0o600); err != nil {
			return nil, err
		}
		f.entries = append(f.entries, e)
	}
	return f, nil
}

// settingsText is the settings file of a small site's machine, as `fleetbench wire` prints it.
const settingsText = `node_name=%s
role=router
machine_class=edge
serves=edge,control
ip=%s
zone=zone-a
region=region-a
zones.zone-a=region-a
listen.frontend=%s
listen.ready=%s
listen.control=%s:%d
port_range=%d,%d
seeds=%s
bootstrap=true
in_tolerance=false
limits.cpu_quota=0.4
limits.cores=1
limits.memory_mb=284
limits.max_fds=4100
limits.link_mbps=1000.0
limits.disk_mb=0
discovery=platform
entry=vip
heartbeat_ms=1200
contracts=base,drain,config,cost,retry,recover,engine,stream,tenants,platform
fault_tolerance.machines=2
fault_tolerance.zones=1
fault_tolerance.regions=0
bounds.seed_lag_s=3
bounds.reuse_after_s=2
bounds.contact_ms=3000
bounds.ack_ms=4000
bounds.catch_up_s=4
bounds.drain_ms=2000
bounds.grace_s=8
bounds.loss_slack_ms=200
bounds.config_apply_ms=2000
bounds.rollback_slack_ms=250
bounds.partition_max_ms=5000
bounds.strict_revoke=false
bounds.revoke_ms=5000
bounds.retry_ratio=0.2
bounds.retry_window_s=10
bounds.retry_slack=54
bounds.recover_s=12
bounds.event_lag_ms=120
bounds.retry_after_s=10
platform.address=%s
platform.form=objects
platform.writes_per_s=400
platform.reads_per_s=2000
platform.history_s=20
platform.value_bytes=1048576
platform.ttl_min_ms=1000
`

func freePort(ip string) (int, error) {
	l, err := net.Listen("tcp4", ip+":0")
	if err != nil {
		return 0, err
	}
	defer func() { _ = l.Close() }()
	return l.Addr().(*net.TCPAddr).Port, nil
}

// addReplica starts a replica.
func (f *fleet) addReplica(id, service string, slots int, answer func(http.ResponseWriter, *http.Request)) (*replica, error) {
	r, err := startReplica(f.store, f.record, replicaIP, id, service, slots, answer)
	if err == nil {
		f.replicas = append(f.replicas, r)
	}
	return r, err
}

// start starts the entry instances and waits until all are ready.
func (f *fleet) start() error {
	for _, e := range f.entries {
		if err := e.start(f); err != nil {
			return err
		}
	}
	for _, e := range f.entries {
		if err := e.awaitReady(); err != nil {
			return err
		}
	}
	return nil
}

// start starts a process by the command of the deploy file. It writes its log into the fleet's
// directory.
func (e *entry) start(f *fleet) error {
	log, err := os.Create(filepath.Join(f.dir, e.name+".log"))
	if err != nil {
		return err
	}
	e.process = exec.Command("target/bergamotpin", "edge", "--metrics-port", "9464")
	e.process.Env = []string{"PATH=" + os.Getenv("PATH"), "BERGAMOTPIN_NODE_FILE=" + e.settings}
	e.process.Stdout, e.process.Stderr = log, log
	return e.process.Start()
}

func (e *entry) awaitReady() error {
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		resp, err := http.Get("http://" + e.ready + "/v1/readyz")
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("%s did not become ready", e.name)
}

// running is the fleet of this process.
var running atomic.Pointer[fleet]

// endAll ends the processes of the fleet, if there is one.
func endAll() {
	if f := running.Load(); f != nil {
		f.end()
	}
}

// end kills the entry instances and removes the temporary directory.
func (f *fleet) end() {
	for _, e := range f.entries {
		if e.process != nil && e.process.Process != nil {
			_ = e.process.Process.Kill()
			_ = e.process.Wait()
		}
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(f.dir)
		return
	}
	fmt.Println("kept", f.dir)
}
