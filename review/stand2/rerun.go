package main

import (
	"net/http"
	"strings"
	"sync"
	"time"
)

const rerunConfiguration = `{"version":VERSION,"routes":[
{"name":"r-desk","host":"site.example","path_prefix":"/desk/","type":"safe","timeout_ms":9000,"slo_ms":2500,"priority":2,"service":"desk","max_attempts":3}NEW],
"services":[{"name":"desk","health_path":"/healthz","max_conns":100},{"name":"till","health_path":"/healthz","max_conns":100}],
"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},
"tenants":[{"name":"one","api_keys":["key-of-one"],"priority":1}]}`

// newRoute is what the second version adds: a longer path with a service of its own, on which a
// request may run once.
const newRoute = `,
{"name":"r-pay","host":"site.example","path_prefix":"/desk/pay/","type":"unsafe","timeout_ms":9000,"slo_ms":2500,"priority":2,"service":"till","max_attempts":1}`

func rerunVersion(version, route string) string {
	return strings.NewReplacer("VERSION", version, "NEW", route).Replace(rerunConfiguration)
}

// rerunCase: the configuration makes a path unsafe; then the replica that still works on requests
// from before crashes.
func rerunCase(rec *record, trouble bool) (broken bool, err error) {
	f, err := newFleet(rec, 2)
	if err != nil {
		return false, err
	}
	defer f.end()
	f.store.put("config", "main", rawSpec(rerunVersion("3", "")))
	runs := &runTable{runs: make(map[string][]string)}
	var desk []*replica
	for _, id := range []string{"i-desk-0", "i-desk-1", "i-desk-2", "i-desk-3"} {
		r, err := f.addReplica(id, "desk", 64, runs.after(4*time.Second, id))
		if err != nil {
			return false, err
		}
		desk = append(desk, r)
	}
	for _, id := range []string{"i-till-0", "i-till-1"} {
		if _, err := f.addReplica(id, "till", 64, runs.after(30*time.Millisecond, id)); err != nil {
			return false, err
		}
	}
	if err := f.start(); err != nil {
		return false, err
	}
	time.Sleep(time.Second)
	begin := time.Now()
	var clients sync.WaitGroup
	pay := request{kind: "pay", method: http.MethodPost, path: "/desk/pay/2f", body: "amount=1", deadline: 9 * time.Second}
	for n := range f.entries {
		clients.Go(func() {
			for ticker := time.NewTicker(50 * time.Millisecond); time.Since(begin) < 9*time.Second; <-ticker.C {
				clients.Go(func() { pay.do(rec, f.entries[n]) })
			}
		})
	}
	time.Sleep(5 * time.Second)
	f.store.put("config", "main", rawSpec(rerunVersion("5", newRoute)))
	acknowledged := time.Now()
	rec.say("version 5 is acknowledged: /desk/pay/ is unsafe and goes to the service till")
	time.Sleep(2300 * time.Millisecond)
	if trouble {
		rec.say("the replica i-desk-0 crashes, %d ms after that", time.Since(acknowledged).Milliseconds())
		desk[0].crash()
	}
	clients.Wait()
	return runs.judge(rec), nil
}

// runTable holds the services at which each request ran.
type runTable struct {
	mu   sync.Mutex
	runs map[string][]string
}

// after returns an answer that takes the given time.
func (t *runTable) after(work time.Duration, id string) func(http.ResponseWriter, *http.Request) {
	return func(w http.ResponseWriter, r *http.Request) {
		request := r.Header.Get("X-Bergamotpin-Request-Id")
		t.mu.Lock()
		t.runs[request] = append(t.runs[request], id)
		t.mu.Unlock()
		select {
		case <-time.After(work):
		case <-r.Context().Done():
			return
		}
		bytesOf(800)(w, r)
	}
}

// judge reports whether a request ran at the service to which only version 5 sends it, after it
// had run elsewhere: version 5 lets it run once.
func (t *runTable) judge(rec *record) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	twice := 0
	for request, runs := range t.runs {
		if len(runs) > 1 && strings.Contains(strings.Join(runs[1:], " "), "till") {
			twice++
			rec.line("ran twice", "request", request, "at", strings.Join(runs, ","))
		}
	}
	rec.say("%d requests ran, %d of them a second time on the unsafe route", len(t.runs), twice)
	return twice > 0
}
