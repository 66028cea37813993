package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// fleet is a small deployment: a store, replicas and entry instances.
type fleet struct {
	dir      string
	store    *store
	replicas []*replica
	edges    []*edge
	ledger   *ledger
}

type route struct {
	name, prefix, kind, service string
	attempts                    int
	resumable                   bool
	sloMs, timeoutMs            int
}

func configuration(version int, routes []route, keys []string) map[string]any {
	var list []map[string]any
	for _, r := range routes {
		list = append(list, map[string]any{"name": r.name, "host": "h.example", "path_prefix": r.prefix, "type": r.kind, "timeout_ms": r.timeoutMs,
			"slo_ms": r.sloMs, "priority": 1, "service": r.service, "max_attempts": r.attempts, "public": false, "sticky": false, "resumable": r.resumable, "gap_target_ms": 800})
	}
	return map[string]any{"version": version, "routes": list,
		"services": []map[string]any{{"name": "app", "health_path": "/healthz", "max_conns": 360, "protocol": "h1", "tls": false}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants":  []map[string]any{{"name": "t1", "api_keys": keys, "priority": 1}}}
}

func usualRoutes() []route {
	return []route{
		{"safe", "/safe/", "safe", "app", 3, false, 100, 5000},
		{"unsafe", "/unsafe/", "unsafe", "app", 3, false, 100, 5000},
		{"again", "/stream-again/", "stream", "app", 3, true, 300, 10000},
		{"once", "/stream-once/", "stream", "app", 3, false, 300, 10000},
	}
}

// newFleet starts a store, replicas and instances, and waits until all are ready.
func newFleet(replicas, edges int) (*fleet, error) {
	dir, err := os.MkdirTemp("", "stand3-")
	if err != nil {
		return nil, err
	}
	f := &fleet{dir: dir, ledger: &ledger{runs: map[string][]run{}}}
	if f.store, err = newStore("127.0.0.1:0"); err != nil {
		return f, err
	}
	f.store.put("config", "main", configuration(5, usualRoutes(), []string{"key1"}))
	for n := range replicas {
		r, err := newReplica(fmt.Sprintf("i-%04d", n+1), "app", fmt.Sprintf("z%d", n%3+1), f.ledger.record)
		if err != nil {
			return f, err
		}
		f.replicas = append(f.replicas, r)
		f.store.put("servers", r.id, r.entry("ready"))
	}
	var ips, seeds []string
	for n := range edges {
		ips = append(ips, fmt.Sprintf("127.0.0.%d", 11+n))
	}
	p, err := freePorts(ips)
	if err != nil {
		return f, err
	}
	for _, ip := range ips[:min(3, len(ips))] {
		seeds = append(seeds, fmt.Sprintf("%s:%d", ip, p.control))
	}
	for n, ip := range ips {
		e := &edge{name: fmt.Sprintf("edge-z%d-%d", n%3+1, n/3+1), zone: fmt.Sprintf("z%d", n%3+1), ip: ip, dir: dir, ports: p, seeds: seeds, storeAddress: f.store.address, first: true}
		f.edges = append(f.edges, e)
		if err := e.start(); err != nil {
			return f, err
		}
		e.first = false
	}
	return f, awaitReady(f.edges)
}

func (f *fleet) close() {
	for _, e := range f.edges {
		e.kill()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(f.dir)
	} else {
		fmt.Println("logs in", f.dir)
	}
}

func (f *fleet) fronts() []string {
	var fronts []string
	for _, e := range f.edges {
		fronts = append(fronts, e.frontend())
	}
	return fronts
}

// stress sends many requests while replicas misbehave as the pages allow.
func stress(folder string, trouble bool) (int, error) {
	f, err := newFleet(6, 3)
	if f != nil {
		defer f.close()
	}
	if err != nil {
		return invalid, err
	}
	t := troubles{shed: .02, shedNoID: .02, resetBefore: .01, loseAnswer: .03, truncate: .03, extra: .03, extraLate: .05, extraNoID: .02, unframed: .05, fail: .02, hang: .01, early: .2, closeAfter: .03}
	if trouble && os.Getenv("SOUND") == "" {
		for _, r := range f.replicas {
			r.setTroubles(t)
		}
	}
	ctx, cancel := context.WithTimeout(context.Background(), stressSeconds()*time.Second)
	defer cancel()
	switch os.Getenv("ROLL") {
	case "":
	case "freeze":
		go f.freeze(ctx)
	default:
		go f.roll(ctx)
	}
	f.ledger.load(ctx, f.fronts(), "key1", 60, 0.1)
	time.Sleep(4 * time.Second)
	return f.report(folder, 1)
}

// report writes the record and returns the exit code.
func (f *fleet) report(folder string, firstEvent int) (int, error) {
	broke := f.ledger.check(firstEvent)
	out, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		return invalid, err
	}
	defer out.Close()
	statuses := map[string]int{}
	if os.Getenv("ROLL") == "term" {
		for _, s := range f.ledger.sent {
			if !s.gaveUp && !s.complete && !strings.Contains(s.why, "refused") {
				fmt.Fprintln(out, "CUT", s.id, s.kind, s.status, s.at.Format("05.000"), s.why, replicasOf(f.ledger.runs[s.id]))
			}
		}
	}
	for _, s := range f.ledger.sent {
		statuses[fmt.Sprintf("%s %d complete=%v gaveup=%v", s.kind, s.status, s.complete, s.gaveUp)]++
	}
	fmt.Fprintln(out, len(f.ledger.sent), "sent,", len(f.ledger.runs), "ran", statuses)
	for _, b := range broke {
		fmt.Fprintln(out, b)
	}
	if os.Getenv("SECONDS_OF_LOAD") == "" {
		f.ledger.write(out)
	}
	if len(broke) > 0 {
		return broken, nil
	}
	return held, nil
}

func stressSeconds() time.Duration {
	n := 40
	_, _ = fmt.Sscan(os.Getenv("SECONDS_OF_LOAD"), &n)
	return time.Duration(n)
}

// roll stops and starts instances in turn, and replaces replicas' entries.
func (f *fleet) roll(ctx context.Context) {
	version := 6
	for n := 0; ctx.Err() == nil; n++ {
		e := f.edges[n%len(f.edges)]
		if n%2 == 0 || os.Getenv("ROLL") == "term" {
			e.signal(syscall.SIGTERM)
			select {
			case <-e.exited:
			case <-time.After(9 * time.Second):
				fmt.Println("did not end in time", e.name)
			}
		}
		e.kill()
		time.Sleep(200 * time.Millisecond)
		if err := e.start(); err != nil {
			return
		}
		version++
		f.store.put("config", "main", configuration(version, usualRoutes(), []string{"key1", fmt.Sprint("key", version)}))
		r := f.replicas[n%len(f.replicas)]
		f.store.put("servers", r.id, r.entry("draining"))
		time.Sleep(time.Second)
		f.store.remove("servers", r.id)
		time.Sleep(500 * time.Millisecond)
		f.store.put("servers", r.id, r.entry("ready"))
		_ = awaitReady(f.edges)
	}
}

// freeze stops instances in turn and has them go on.
func (f *fleet) freeze(ctx context.Context) {
	for n := 0; ctx.Err() == nil; n++ {
		e := f.edges[n%len(f.edges)]
		e.signal(syscall.SIGSTOP)
		time.Sleep(time.Duration(200+rand.IntN(2500)) * time.Millisecond)
		e.signal(syscall.SIGCONT)
		time.Sleep(time.Duration(100+rand.IntN(900)) * time.Millisecond)
	}
}
