package main

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// store is a stand-in of the platform's metadata store: lists, watches and writes with conditions.
type store struct {
	address string
	server  *http.Server

	mu       sync.Mutex
	revision int64
	objects  map[string]map[string]storeObject
	events   []storeEvent
	changed  chan struct{}
	// polls are when the last watches ended without an event.
	polls []time.Time
}

type storeMeta struct {
	Name     string `json:"name"`
	Revision int64  `json:"revision"`
}

type storeObject struct {
	Metadata storeMeta       `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
}

type storeEvent struct {
	kind    string
	Object  storeObject `json:"object"`
	Deleted bool        `json:"deleted"`
	at      int64
}

func newStore(address string) (*store, error) {
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, err
	}
	s := &store{address: listener.Addr().String(), revision: 1, objects: map[string]map[string]storeObject{}, changed: make(chan struct{})}
	s.server = &http.Server{Handler: s, ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = s.server.Serve(listener) }()
	return s, nil
}

// put writes an object, as the operator and the servers do.
func (s *store) put(kind, name string, spec any) {
	raw, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(kind, name, raw)
}

// write replaces or creates an object. The lock must be held.
func (s *store) write(kind, name string, raw []byte) storeObject {
	s.revision++
	o := storeObject{storeMeta{name, s.revision}, raw}
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]storeObject{}
	}
	s.objects[kind][name] = o
	s.announce(storeEvent{kind: kind, Object: o, at: s.revision})
	return o
}

func (s *store) remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.objects[kind][name]
	if !ok {
		return
	}
	delete(s.objects[kind], name)
	s.revision++
	s.announce(storeEvent{kind: kind, Object: o, Deleted: true, at: s.revision})
}

func (s *store) announce(e storeEvent) {
	s.events = append(s.events, e)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(2 * time.Millisecond)
	kind, name, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/v1/objects/"), "/")
	query := r.URL.Query()
	switch {
	case r.Method == http.MethodGet && query.Has("watch"):
		s.watch(w, r, kind)
	case r.Method == http.MethodGet && name == "":
		s.list(w, kind, query.Get("after"))
	case r.Method == http.MethodGet:
		s.mu.Lock()
		o, ok := s.objects[kind][name]
		s.mu.Unlock()
		answer(w, ok, o)
	default:
		s.change(w, r, kind, name)
	}
}

func answer(w http.ResponseWriter, found bool, v any) {
	w.Header().Set("Content-Type", "application/json")
	if !found {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	_ = json.NewEncoder(w).Encode(v)
}

func (s *store) list(w http.ResponseWriter, kind, after string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var names []string
	for name := range s.objects[kind] {
		if name > after {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	items := []storeObject{}
	for _, name := range names {
		items = append(items, s.objects[kind][name])
	}
	answer(w, true, map[string]any{"items": items, "has_more": false, "store_revision": s.revision})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	after, _ := strconv.ParseInt(r.URL.Query().Get("watch"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	end := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		events := []storeEvent{}
		for _, e := range s.events {
			if e.kind == kind && e.at > after {
				events = append(events, e)
			}
		}
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		ended := len(events) > 0
		if !ended {
			select {
			case <-changed:
				continue
			case <-r.Context().Done():
				return
			case <-end:
				s.notePoll()
			}
		}
		answer(w, true, map[string]any{"events": events, "store_revision": revision})
		return
	}
}

// change serves the writes of the system itself.
func (s *store) change(w http.ResponseWriter, r *http.Request, kind, name string) {
	var body storeObject
	if r.Method != http.MethodDelete {
		if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
	}
	creates := name == ""
	if creates {
		name = body.Metadata.Name
	}
	if r.Method == http.MethodDelete {
		s.remove(kind, name)
		answer(w, true, map[string]any{})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	current, exists := s.objects[kind][name]
	switch {
	case !creates && !exists:
		w.WriteHeader(http.StatusNotFound)
	case creates && exists, body.Metadata.Revision != 0 && body.Metadata.Revision != current.Metadata.Revision:
		w.WriteHeader(http.StatusConflict)
		_ = json.NewEncoder(w).Encode(current)
	default:
		answer(w, true, s.write(kind, name, body.Spec))
	}
}

func (s *store) notePoll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.polls = append(s.polls, time.Now())
}

// awaitPolls waits until so many watches have just ended without an event, one shortly after the
// other.
func (s *store) awaitPolls(count int) {
	for range 10_000 {
		time.Sleep(time.Millisecond)
		s.mu.Lock()
		recent := 0
		for _, at := range s.polls {
			if time.Since(at) < 60*time.Millisecond {
				recent++
			}
		}
		s.mu.Unlock()
		if recent >= count {
			return
		}
	}
}
