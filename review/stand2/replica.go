package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// heartbeat is how often a replica writes its entry, and silentBeats after how many missing
	// ones the store drops it.
	heartbeat   = 1200 * time.Millisecond
	silentBeats = 3
)

// replica is a stand-in of a model server or an application server.
type replica struct {
	id, service, address string
	slots                int
	// answer writes the answer of a request that runs.
	answer func(w http.ResponseWriter, r *http.Request)

	store    *store
	record   *record
	listener net.Listener
	server   *http.Server
	stop     chan struct{}

	mu      sync.Mutex
	born    int64
	seq     int
	running int
}

// startReplica starts a replica on a free port of the address and enters it in the store.
func startReplica(st *store, rec *record, ip, id, service string, slots int, answer func(http.ResponseWriter, *http.Request)) (*replica, error) {
	listener, err := net.Listen("tcp4", ip+":0")
	if err != nil {
		return nil, err
	}
	r := &replica{
		stop: make(chan struct{}), born: time.Now().UnixMilli(), listener: listener,
		id: id, service: service, address: listener.Addr().String(), slots: slots, answer: answer, store: st, record: rec,
	}
	r.server = &http.Server{Handler: http.HandlerFunc(r.serve)}
	go func() { _ = r.server.Serve(listener) }()
	r.enter()
	go r.beat()
	return r, nil
}

// enter writes the replica's entry.
func (r *replica) enter() {
	r.mu.Lock()
	r.seq++
	entry := map[string]any{
		"service": r.service, "address": r.address, "zone": "zone-a", "version": "v1", "slots": r.slots, "state": "ready",
		"warmup_left_ms": 0, "seq": r.seq, "born": r.born,
	}
	r.mu.Unlock()
	r.store.put("servers", r.id, entry)
}

func (r *replica) beat() {
	ticker := time.NewTicker(heartbeat)
	defer ticker.Stop()
	for {
		select {
		case <-r.stop:
			return
		case <-ticker.C:
			r.enter()
		}
	}
}

// crash ends the replica: its port and all its connections close at once, and its entry is
// dropped after three missing heartbeats.
func (r *replica) crash() {
	close(r.stop)
	_ = r.server.Close()
	time.AfterFunc(silentBeats*heartbeat, func() { r.store.remove("servers", r.id) })
}

func (r *replica) serve(w http.ResponseWriter, req *http.Request) {
	id := req.Header.Get("X-Bergamotpin-Request-Id")
	h := w.Header()
	h.Set("X-Bergamotpin-Request-Id", id)
	h.Set("Keep-Alive", "timeout=10")
	if expected := req.Header.Get("X-Bergamotpin-Expect-Instance"); expected != "" && expected != r.id {
		h.Set("X-Bergamotpin-Instance-Id", r.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if _, err := io.Copy(io.Discard, req.Body); err != nil {
		return
	}
	if !r.begin() {
		h.Set("X-Bergamotpin-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer r.end()
	r.record.line("ran", "request", id, "replica", r.id, "service", r.service, "path", req.URL.Path)
	h.Set("X-Bergamotpin-Server-Stamp", fmt.Sprintf("stamp.%s.%s", r.id, id))
	r.answer(w, req)
}

// begin takes a slot, or a place in a short queue for one.
func (r *replica) begin() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.running >= 2*r.slots {
		return false
	}
	r.running++
	return true
}

func (r *replica) end() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.running--
}
