package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// archiveBytes and recordBytes are the sizes of the answers of the two services.
const (
	archiveBytes = 2 << 20
	recordBytes  = 3 << 20
)

const leakConfiguration = `{"version":3,"routes":[
{"name":"r-archive","host":"site.example","path_prefix":"/archive/","type":"safe","timeout_ms":12000,"slo_ms":1000,"priority":2,"service":"archive","max_attempts":2},
{"name":"r-record","host":"site.example","path_prefix":"/record/","type":"safe","timeout_ms":12000,"slo_ms":1000,"priority":1,"service":"records","max_attempts":2},
{"name":"r-order","host":"site.example","path_prefix":"/order/","type":"unsafe","timeout_ms":1500,"slo_ms":100,"priority":1,"service":"orders","max_attempts":1}],
"services":[{"name":"archive","health_path":"/healthz","max_conns":360},{"name":"records","health_path":"/healthz","max_conns":100},{"name":"orders","health_path":"/healthz","max_conns":100}],
"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},
"tenants":[{"name":"one","api_keys":["key-of-one"],"priority":1}]}`

// bytesOf returns an answer of the given length.
func bytesOf(length int) func(http.ResponseWriter, *http.Request) {
	body := strings.Repeat("0123456789abcdef", length/16)
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", strconv.Itoa(len(body)))
		// The error is ignored: the caller may leave.
		_, _ = w.Write([]byte(body))
	}
}

// tally counts the owed requests of a kind and those that were served.
type tally struct {
	mu           sync.Mutex
	owed, served map[string]int
	failures     map[string]int
}

func newTally() *tally {
	return &tally{owed: map[string]int{}, served: map[string]int{}, failures: map[string]int{}}
}

func (t *tally) add(kind string, a answer) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.owed[kind]++
	if a.served() {
		t.served[kind]++
		return
	}
	t.failures[kind+" "+strconv.Itoa(a.status)+" "+a.text]++
}

func (t *tally) share(kind string) float64 {
	if t.owed[kind] == 0 {
		return 0
	}
	return float64(t.served[kind]) / float64(t.owed[kind])
}

// Times of the case, counted from its begin.
const (
	leakReadersFrom  = 2 * time.Second
	leakReadersUntil = 22 * time.Second
	leakAfterFrom    = 37 * time.Second
	leakEnd          = 105 * time.Second
)

// leakWindows are when a share of the clients leave before their deadline.
var leakWindows = [][2]time.Duration{{10 * time.Second, 15 * time.Second}, {16 * time.Second, 21 * time.Second}}

const (
	// leakShare is the share of the clients that leave, and leakWithin within what time.
	leakShare  = 0.3
	leakWithin = 1200 * time.Millisecond
	// leakReaders is the number of slow readers of the archive at each instance.
	leakReaders = 140
	// leakEntries is the number of entry instances.
	leakEntries = 7
)

func inWindow(t time.Duration) bool {
	for _, w := range leakWindows {
		if t >= w[0] && t < w[1] {
			return true
		}
	}
	return false
}

// leakCase: slow readers hold the memory for answers. Meanwhile some clients of another service
// leave before their deadline, in the middle of an answer. Afterwards all clients are sound again,
// and nobody reads slowly.
func leakCase(rec *record, trouble bool) (broken bool, err error) {
	f, err := newFleet(rec, leakEntries)
	if err != nil {
		return false, err
	}
	defer f.end()
	f.store.put("config", "main", rawSpec(leakConfiguration))
	for _, s := range []struct {
		service             string
		count, slots, bytes int
	}{{"archive", 9, 64, archiveBytes}, {"records", 3, 64, recordBytes}, {"orders", 4, 6, 800}} {
		for n := range s.count {
			if _, err := f.addReplica(fmt.Sprintf("i-%s-%d", s.service, n), s.service, s.slots, bytesOf(s.bytes)); err != nil {
				return false, err
			}
		}
	}
	if err := f.start(); err != nil {
		return false, err
	}
	time.Sleep(time.Second)
	all, after := newTally(), newTally()
	l := &leakDay{fleet: f, trouble: trouble, begin: time.Now(), all: all, after: after}
	for _, e := range f.entries {
		l.clients.Go(func() { l.sendRecords(e) })
		l.clients.Go(func() { l.sendOrders(e) })
		for range leakReaders {
			l.clients.Go(func() { l.readArchive(e) })
		}
	}
	l.clients.Wait()
	owed, served := 0, 0
	for kind, n := range all.owed {
		owed, served = owed+n, served+all.served[kind]
		rec.say("all day: %s: %d of %d served, %.3f", kind, all.served[kind], n, all.share(kind))
	}
	total := float64(served) / float64(owed)
	rec.say("all day: %d of %d requests served, %.3f; a quarter of that is %.3f", served, owed, total, total/4)
	for kind, n := range after.owed {
		rec.say("from second %.0f on: %s: %d of %d served", leakAfterFrom.Seconds(), kind, after.served[kind], n)
	}
	for what, n := range after.failures {
		rec.say("from second %.0f on, not served: %s: %d", leakAfterFrom.Seconds(), what, n)
	}
	for kind := range all.owed {
		broken = broken || all.share(kind) < total/4
	}
	return broken, nil
}

// leakDay is one play of the case.
type leakDay struct {
	fleet      *fleet
	trouble    bool
	begin      time.Time
	all, after *tally
	clients    sync.WaitGroup
}

func (l *leakDay) now() time.Duration { return time.Since(l.begin) }

// play sends a request and counts it, unless its client left early: such requests aren't owed.
func (l *leakDay) play(r request, e *entry) {
	sent := l.now()
	a := r.do(l.fleet.record, e)
	if a.left && r.leaves > 0 {
		return
	}
	l.all.add(r.kind, a)
	if sent >= leakAfterFrom {
		l.after.add(r.kind, a)
	}
}

// sendRecords sends requests of the kind record, more while there are slow readers. In the windows,
// a share of their clients read slowly and leave.
func (l *leakDay) sendRecords(e *entry) {
	for n := 0; l.now() < leakEnd; n++ {
		r := request{kind: "record", method: http.MethodGet, path: "/record/2f", deadline: 10 * time.Second}
		if inWindow(l.now()) && float64(n%10) < 10*leakShare {
			r.pace = 100 * time.Millisecond
			if l.trouble {
				r.leaves = leakWithin
			}
		}
		l.clients.Go(func() { l.play(r, e) })
		switch t := l.now(); {
		case inWindow(t):
			time.Sleep(27 * time.Millisecond)
		case t < leakReadersUntil:
			time.Sleep(300 * time.Millisecond)
		default:
			time.Sleep(100 * time.Millisecond)
		}
	}
}

func (l *leakDay) sendOrders(e *entry) {
	r := request{kind: "order", method: http.MethodPost, path: "/order/2f", body: "order", deadline: 1500 * time.Millisecond}
	for l.now() < leakEnd {
		l.clients.Go(func() { l.play(r, e) })
		time.Sleep(70 * time.Millisecond)
	}
}

// readArchive reads answers of the archive slowly, each in about 8 s.
func (l *leakDay) readArchive(e *entry) {
	r := request{kind: "archive", method: http.MethodGet, path: "/archive/2f", deadline: 12 * time.Second, pace: 60 * time.Millisecond}
	time.Sleep(leakReadersFrom + rand.N(7*time.Second))
	for l.now() < leakReadersUntil {
		l.play(r, e)
	}
}
