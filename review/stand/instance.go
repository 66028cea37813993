package stand

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"
)

// readyTimeout is how long a started instance may take until it is ready.
const readyTimeout = 10 * time.Second

// Instance is an entry instance that runs as a process of its own, with the command of the
// deploy file.
type Instance struct {
	Name string
	// Callers and Ready are the addresses for requests and for the readiness check.
	Callers, Ready string
	cmd            *exec.Cmd
	settings       string
	log            *os.File
	// ended is closed when the process has ended.
	ended chan struct{}
}

// Fleet starts instances in a temporary folder.
type Fleet struct {
	Dir       string
	Store     string
	Instances []*Instance
}

// freePort returns a port that is free at all addresses for TCP.
func freePort(ips []string) (int, error) {
	for range 200 {
		l, err := net.Listen("tcp4", net.JoinHostPort(ips[0], "0"))
		if err != nil {
			return 0, err
		}
		port := l.Addr().(*net.TCPAddr).Port
		_ = l.Close()
		free := true
		for _, ip := range ips {
			other, err := net.Listen("tcp4", net.JoinHostPort(ip, strconv.Itoa(port)))
			if err != nil {
				free = false
				break
			}
			_ = other.Close()
		}
		if free {
			return port, nil
		}
	}
	return 0, errors.New("no free port")
}

// settingsText is the settings file of a machine of a small deployment.
const settingsText = `node_name=%s
role=router
machine_class=edge
serves=edge,control
ip=%s
zone=%s
region=ro-central
listen.frontend=%s:%d
listen.ready=%s:%d
listen.control=%s:%d
port_range=%d,%d
seeds=%s
bootstrap=true
limits.cpu_quota=0.4
limits.cores=1
limits.memory_mb=284
limits.max_fds=4100
limits.link_mbps=1000.0
heartbeat_ms=1200
contracts=base,drain,config,cost,retry,recover,engine,stream,tenants,platform
bounds.contact_ms=3000
bounds.drain_ms=2000
bounds.grace_s=8
bounds.loss_slack_ms=200
bounds.config_apply_ms=2000
bounds.rollback_slack_ms=250
bounds.retry_ratio=0.2
bounds.retry_window_s=10
bounds.retry_slack=54
bounds.recover_s=12
platform.address=%s
platform.form=objects
platform.writes_per_s=400
platform.reads_per_s=2000
platform.history_s=20
platform.value_bytes=1048576
`

// StartFleet starts count instances and waits until all are ready.
func StartFleet(store string, count int) (*Fleet, error) {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	f := &Fleet{Dir: dir, Store: store}
	var ips, seeds []string
	for n := range count {
		ips = append(ips, fmt.Sprint("127.0.0.", 11+n))
	}
	var ports [4]int
	for n := range ports {
		if ports[n], err = freePort(ips); err != nil {
			return f, err
		}
	}
	for _, ip := range ips[:min(count, 3)] {
		seeds = append(seeds, net.JoinHostPort(ip, strconv.Itoa(ports[2])))
	}
	for n, ip := range ips {
		zone := "ro-central-" + string(rune('a'+n%4))
		i := &Instance{
			Name:     fmt.Sprintf("edge-%s-%d", zone, n/4+1),
			Callers:  net.JoinHostPort(ip, strconv.Itoa(ports[0])),
			Ready:    net.JoinHostPort(ip, strconv.Itoa(ports[1])),
			settings: filepath.Join(dir, ip+".conf"),
		}
		text := fmt.Sprintf(settingsText, i.Name, ip, zone, ip, ports[0], ip, ports[1], ip, ports[2], ports[3], ports[3]+15, strings.Join(seeds, ","), store)
		if err := os.WriteFile(i.settings, []byte(text), 0o600); err != nil {
			return f, err
		}
		f.Instances = append(f.Instances, i)
		if err := i.Start(); err != nil {
			return f, err
		}
	}
	for _, i := range f.Instances {
		if err := i.AwaitReady(); err != nil {
			return f, err
		}
	}
	return f, nil
}

// Start starts the instance's process.
func (i *Instance) Start() error {
	log, err := os.OpenFile(i.settings+".log", os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return err
	}
	i.log = log
	i.cmd = exec.Command("target/bergamotpin", "edge", "--metrics-port", "9464")
	i.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "BERGAMOTPIN_NODE_FILE=" + i.settings}
	i.cmd.Stdout, i.cmd.Stderr = log, log
	if err := i.cmd.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	i.ended = ended
	go func(cmd *exec.Cmd) {
		_ = cmd.Wait()
		close(ended)
	}(i.cmd)
	return nil
}

// AwaitReady waits until the instance says that it is ready.
func (i *Instance) AwaitReady() error {
	for end := time.Now().Add(readyTimeout); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		resp, err := http.Get("http://" + i.Ready + "/v1/readyz")
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return nil
		}
	}
	return errors.Errorf("%s is not ready after %v", i.Name, readyTimeout)
}

// ChangeSettings replaces the content of the settings file.
func (i *Instance) ChangeSettings(change func(text string) string) error {
	raw, err := os.ReadFile(i.settings)
	if err != nil {
		return err
	}
	return os.WriteFile(i.settings, []byte(change(string(raw))), 0o600)
}

// Signal sends a signal to the process.
func (i *Instance) Signal(s os.Signal) { _ = i.cmd.Process.Signal(s) }

// Ended reports whether the process has ended.
func (i *Instance) Ended() bool {
	select {
	case <-i.ended:
		return true
	default:
		return false
	}
}

// AwaitEnd waits until the process has ended.
func (i *Instance) AwaitEnd() { <-i.ended }

// MemoryKB returns the resident memory of the process in KB, or 0 if it has ended.
func (i *Instance) MemoryKB() int {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", i.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(raw)) {
		if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kb, _ := strconv.Atoi(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(rest), "kB")))
			return kb
		}
	}
	return 0
}

// Stop ends all processes of the fleet and removes its folder.
func (f *Fleet) Stop() {
	for _, i := range f.Instances {
		if i.cmd == nil || i.cmd.Process == nil {
			continue
		}
		_ = i.cmd.Process.Kill()
		<-i.ended
		_ = i.log.Close()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(f.Dir)
	}
}
