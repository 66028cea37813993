package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// edge is one entry instance, a process of the deploy file's command.
type edge struct {
	name, zone, ip string
	dir            string
	ports          ports
	seeds          []string
	storeAddress   string
	cmd            *exec.Cmd
	exited         chan struct{}
	first          bool
}

// ports are the same on all machines.
type ports struct{ frontend, ready, control, peers, metrics int }

// freePorts returns ports that are free on all loopback addresses that are used.
func freePorts(ips []string) (ports, error) {
	for base := 21000; base < 32000; base += 10 {
		if portsAreFree(ips, base) {
			return ports{base, base + 1, base + 2, base + 3, base + 4}, nil
		}
	}
	return ports{}, fmt.Errorf("no free ports")
}

func portsAreFree(ips []string, base int) bool {
	for _, ip := range ips {
		for n := range 5 {
			l, err := net.Listen("tcp4", fmt.Sprintf("%s:%d", ip, base+n))
			if err != nil {
				return false
			}
			_ = l.Close()
		}
	}
	return true
}

func (e *edge) frontend() string { return fmt.Sprintf("%s:%d", e.ip, e.ports.frontend) }

// writeSettings writes the settings file of a small deployment.
func (e *edge) writeSettings() error {
	lines := []string{
		"node_name=" + e.name, "role=router", "machine_class=edge", "serves=edge,control", "ip=" + e.ip,
		"zone=" + e.zone, "region=r", "zones.z1=r", "zones.z2=r", "zones.z3=r",
		"listen.frontend=" + e.frontend(), fmt.Sprintf("listen.ready=%s:%d", e.ip, e.ports.ready), fmt.Sprintf("listen.control=%s:%d", e.ip, e.ports.control),
		fmt.Sprintf("port_range=%d,%d", e.ports.peers, e.ports.peers+1), "seeds=" + strings.Join(e.seeds, ","),
		fmt.Sprintf("bootstrap=%v", e.first), "in_tolerance=false", "limits.cpu_quota=0.4", "limits.cores=1", "limits.memory_mb=284", "limits.max_fds=4100",
		"limits.link_mbps=1000.0", "limits.disk_mb=0", "discovery=platform", "entry=vip", "heartbeat_ms=1200",
		"contracts=base,drain,config,cost,retry,recover,engine,stream,tenants,platform",
		"fault_tolerance.machines=2", "fault_tolerance.zones=1", "fault_tolerance.regions=0",
		"bounds.seed_lag_s=3", "bounds.reuse_after_s=2", "bounds.contact_ms=3000", "bounds.ack_ms=4000", "bounds.catch_up_s=4", "bounds.drain_ms=2000",
		"bounds.grace_s=8", "bounds.loss_slack_ms=200", "bounds.config_apply_ms=2000", "bounds.rollback_slack_ms=250", "bounds.partition_max_ms=5000",
		"bounds.strict_revoke=false", "bounds.revoke_ms=5000", "bounds.retry_ratio=0.2", "bounds.retry_window_s=10", "bounds.retry_slack=54",
		"bounds.recover_s=12", "bounds.event_lag_ms=120", "bounds.retry_after_s=10",
		"platform.address=" + e.storeAddress, "platform.form=objects", "platform.writes_per_s=400", "platform.reads_per_s=2000", "platform.history_s=20",
		"platform.value_bytes=1048576", "platform.ttl_min_ms=1000", "",
	}
	return os.WriteFile(e.settingsPath(), []byte(strings.Join(lines, "\n")), 0o600)
}

func (e *edge) settingsPath() string { return filepath.Join(e.dir, e.name+".conf") }

// start starts the process with the command of the deploy file.
func (e *edge) start() error {
	if err := e.writeSettings(); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(e.dir, e.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	e.cmd = exec.Command("target/bergamotpin", "edge", "--metrics-port", fmt.Sprint(e.ports.metrics))
	e.cmd.Env = append(os.Environ(), "BERGAMOTPIN_NODE_FILE="+e.settingsPath())
	e.cmd.Stdout, e.cmd.Stderr = log, log
	if err := e.cmd.Start(); err != nil {
		return err
	}
	e.exited = make(chan struct{})
	go func(cmd *exec.Cmd, exited chan struct{}) {
		_ = cmd.Wait()
		close(exited)
	}(e.cmd, e.exited)
	return nil
}

func (e *edge) signal(s syscall.Signal) { _ = e.cmd.Process.Signal(s) }

// kill ends the process if it still runs, and waits for its end.
func (e *edge) kill() {
	if e.cmd == nil {
		return
	}
	_ = e.cmd.Process.Kill()
	<-e.exited
}

func (e *edge) isReady() bool {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get(fmt.Sprintf("http://%s:%d/v1/readyz", e.ip, e.ports.ready))
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func awaitReady(edges []*edge) error {
	for _, e := range edges {
		for n := 0; !e.isReady(); n++ {
			if n == 200 {
				return fmt.Errorf("%s is not ready", e.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}
