// Command 1 kills four of seven instances, and takes a replica away while they start again.
package main

import (
	"bufio"
	"cmp"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"

	"bergamotpin.example/bergamotpin/review/stand"
)

const (
	// instances are those of the site. A share of 0.55 of them is killed: killed includes the two
	// that follow the store, which are those with the lowest hashes of their names.
	instances = 7
	killed    = 4
	replicas  = 4
	// usualTime is longer than contact_ms, so that the machines are in touch.
	usualTime = 5 * time.Second
	// restartDelay is the time from the kill until the platform starts the processes again, as at
	// the bench. removalDelay is that until the replica's entry is gone.
	restartDelay = 500 * time.Millisecond
	removalDelay = 250 * time.Millisecond
	// drainTime is drain_ms. The replica goes on serving for serveTime after its entry is gone, and
	// then ends.
	drainTime = 2000 * time.Millisecond
	serveTime = 10 * time.Second
	afterTime = 3 * time.Second
	// clients is the number at each instance. A replica works on an order for orderTime, and a
	// client pauses for pauseTime before its next one.
	clients   = 3
	orderTime = 60 * time.Millisecond
	pauseTime = 100 * time.Millisecond
)

const configuration = `{"version":1,"routes":[
{"name":"certificate","host":"h.example","path_prefix":"/certificate/","type":"unsafe","timeout_ms":800,"slo_ms":100,"priority":2,"service":"ledger","max_attempts":1,"public":true}],
"services":[{"name":"ledger","health_path":"/healthz","max_conns":100}],
"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}}`

// world is what clients and replicas share.
type world struct {
	record *stand.Record
	stop   chan struct{}

	mu     sync.Mutex
	number int
	// removed is when the store acknowledged that the replica's entry is gone, or zero.
	removed time.Time
	// via holds the instance that took each request from its client, sent when it was sent.
	via  map[string]*stand.Instance
	sent map[string]time.Time
	// calm are the instances that nothing was done to.
	calm     map[*stand.Instance]bool
	late     int
	latest   time.Duration
	statuses map[string]int
}

// note records that the replica that leaves got a request.
func (w *world) note(request string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.removed.IsZero() || !w.sent[request].After(w.removed.Add(drainTime)) {
		return
	}
	age := time.Since(w.removed)
	via := w.via[request]
	w.record.Linef("the replica that left got %s from %s %d ms after its entry was gone", request, via.Name, age.Milliseconds())
	if w.calm[via] {
		w.late++
		w.latest = max(w.latest, age)
	}
}

// replica is a sound replica. leaving is the one that leaves.
func (w *world) replica(id string, leaving bool) http.Handler {
	return http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		request := r.Header.Get("X-Bergamotpin-Request-Id")
		rw.Header().Set("X-Bergamotpin-Request-Id", request)
		if r.Header.Get("X-Bergamotpin-Expect-Instance") != id {
			rw.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		if leaving {
			w.note(request)
		}
		time.Sleep(orderTime)
		rw.Header().Set("X-Bergamotpin-Server-Stamp", "stamp-"+id)
		_, _ = fmt.Fprintf(rw, "certificate of %s", request)
	})
}

// client sends one request after the other on kept connections to an instance.
func (w *world) client(i *stand.Instance) {
	for !w.stopped() {
		conn, err := net.DialTimeout("tcp4", i.Callers, time.Second)
		if err != nil {
			time.Sleep(pauseTime)
			continue
		}
		reader := bufio.NewReader(conn)
		for !w.stopped() && w.send(i, conn, reader) {
			time.Sleep(pauseTime)
		}
		_ = conn.Close()
	}
}

// send sends one request and returns whether the connection can be used again.
func (w *world) send(i *stand.Instance, conn net.Conn, reader *bufio.Reader) bool {
	w.mu.Lock()
	w.number++
	id := fmt.Sprint("certificate-", w.number)
	w.via[id], w.sent[id] = i, time.Now()
	w.mu.Unlock()
	body := "about " + id
	_ = conn.SetDeadline(time.Now().Add(2 * time.Second))
	_, err := fmt.Fprintf(conn, "POST /certificate/1 HTTP/1.1\r\nHost: h.example\r\nX-Bergamotpin-Request-Id: %s\r\nX-Bergamotpin-Deadline-Ms: 1500\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
	var response *http.Response
	if err == nil {
		response, err = http.ReadResponse(reader, nil)
	}
	status := "no answer"
	if err == nil {
		status = fmt.Sprint(response.StatusCode)
		_, err = io.Copy(io.Discard, response.Body)
	}
	w.record.Linef("%s sent to %s: %s, error %v", id, i.Name, status, err)
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.calm[i] {
		w.statuses[status]++
	}
	return err == nil && !response.Close
}

func (w *world) stopped() bool {
	select {
	case <-w.stop:
		return true
	default:
		return false
	}
}

func run() int {
	w := &world{
		record: stand.NewRecord("1"), stop: make(chan struct{}), via: make(map[string]*stand.Instance), sent: make(map[string]time.Time),
		calm: make(map[*stand.Instance]bool), statuses: make(map[string]int),
	}
	store, err := stand.StartStore()
	if err != nil {
		return stand.ExitNotRun
	}
	var leaving *stand.Replica
	for n := range replicas {
		id := fmt.Sprint("ledger-", n)
		replica, err := stand.StartReplica(store, id, "ledger", 6, w.replica(id, n == 0))
		if err != nil {
			return stand.ExitNotRun
		}
		if n == 0 {
			leaving = replica
		}
	}
	store.Put("config", "main", configuration)
	fleet, err := stand.StartFleet(store.Address, instances)
	if fleet != nil {
		defer fleet.Stop()
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return stand.ExitNotRun
	}
	ordered := slices.SortedFunc(slices.Values(fleet.Instances), func(a, b *stand.Instance) int {
		return cmp.Compare(xxhash.Sum64String(a.Name), xxhash.Sum64String(b.Name))
	})
	for _, i := range ordered[killed:] {
		w.calm[i] = true
	}
	var running sync.WaitGroup
	for _, i := range fleet.Instances {
		for range clients {
			running.Go(func() { w.client(i) })
		}
	}
	time.Sleep(usualTime)
	began := time.Now()
	if stand.WithTrouble() {
		w.record.Resultf("%d of %d instances are killed", killed, instances)
		for _, i := range ordered[:killed] {
			i.Signal(syscall.SIGKILL)
		}
	}
	time.Sleep(removalDelay)
	store.Delete("servers", leaving.ID)
	removed := time.Now()
	w.mu.Lock()
	w.removed = removed
	w.mu.Unlock()
	w.record.Resultf("the entry of %s is gone, %v later; it goes on serving for %v", leaving.ID, removalDelay, serveTime)
	time.Sleep(time.Until(began.Add(restartDelay)))
	if stand.WithTrouble() {
		for _, i := range ordered[:killed] {
			i.AwaitEnd()
			if i.Start() != nil {
				return stand.ExitNotRun
			}
		}
		w.record.Resultf("they start again, %v after the kill", restartDelay)
	}
	time.Sleep(time.Until(removed.Add(serveTime)))
	leaving.End()
	w.record.Resultf("%s has ended", leaving.ID)
	time.Sleep(afterTime)
	close(w.stop)
	running.Wait()
	w.record.Resultf("the %d instances that nothing was done to answered %v", instances-killed, w.statuses)
	w.record.Resultf("%d requests, taken by these instances later than %v after the entry was gone, reached the replica, the last one %v after it", w.late, drainTime, w.latest.Round(time.Millisecond))
	if w.late > 0 {
		w.record.Resultf("DRAIN is broken")
		return stand.ExitBroken
	}
	return stand.ExitHeld
}

func main() { os.Exit(run()) }
