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

// store is a stand-in of the platform's metadata store: lists, watches, and writes with an
// optional revision, as the users' PROTOCOL.md describes them.
type store struct {
	address string

	mu       sync.Mutex
	revision int64
	objects  map[string]map[string]object
	events   []change
	changed  chan struct{}
}

type metadata struct {
	Name     string `json:"name"`
	Revision int64  `json:"revision"`
}

type object struct {
	Metadata metadata        `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
}

type change struct {
	kind     string
	revision int64
	Object   object `json:"object"`
	Deleted  bool   `json:"deleted"`
}

const pageItems = 500

// startStore starts a store on a free port of the address.
func startStore(ip string) (*store, error) {
	listener, err := net.Listen("tcp4", ip+":0")
	if err != nil {
		return nil, err
	}
	s := &store{address: listener.Addr().String(), revision: 1, objects: make(map[string]map[string]object), changed: make(chan struct{})}
	go func() { _ = http.Serve(listener, s) }()
	return s, nil
}

// put creates or replaces an object.
func (s *store) put(kind, name string, spec any) {
	raw, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(kind, name, raw)
}

// write writes an object. The lock must be held.
func (s *store) write(kind, name string, spec json.RawMessage) object {
	if s.objects[kind] == nil {
		s.objects[kind] = make(map[string]object)
	}
	s.revision++
	o := object{metadata{name, s.revision}, spec}
	s.objects[kind][name] = o
	s.record(change{kind: kind, revision: s.revision, Object: o})
	return o
}

// remove removes an object, if it is there.
func (s *store) remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.removeLocked(kind, name)
}

func (s *store) removeLocked(kind, name string) {
	o, ok := s.objects[kind][name]
	if !ok {
		return
	}
	delete(s.objects[kind], name)
	s.revision++
	s.record(change{kind: kind, revision: s.revision, Object: o, Deleted: true})
}

func (s *store) record(c change) {
	s.events = append(s.events, c)
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	path, ok := strings.CutPrefix(r.URL.Path, "/v1/objects/")
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	kind, name, named := strings.Cut(path, "/")
	switch {
	case r.Method != http.MethodGet:
		s.change(w, r, kind, name, named)
	case r.URL.Query().Has("watch"):
		s.watch(w, r, kind)
	case named:
		s.mu.Lock()
		o, exists := s.objects[kind][name]
		s.mu.Unlock()
		if !exists {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		reply(w, http.StatusOK, o)
	default:
		s.list(w, kind, r.URL.Query().Get("after"))
	}
}

func (s *store) change(w http.ResponseWriter, r *http.Request, kind, name string, named bool) {
	var body object
	if r.Method != http.MethodDelete {
		if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
	}
	if !named {
		name = body.Metadata.Name
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	current, exists := s.objects[kind][name]
	switch {
	case named && !exists:
		w.WriteHeader(http.StatusNotFound)
	case !named && exists, body.Metadata.Revision != 0 && body.Metadata.Revision != current.Metadata.Revision:
		reply(w, http.StatusConflict, current)
	case r.Method == http.MethodDelete:
		s.removeLocked(kind, name)
	default:
		reply(w, http.StatusOK, s.write(kind, name, body.Spec))
	}
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
	items := []object{}
	for _, name := range names[:min(pageItems, len(names))] {
		items = append(items, s.objects[kind][name])
	}
	reply(w, http.StatusOK, map[string]any{"items": items, "has_more": len(names) > pageItems, "store_revision": s.revision})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	after, _ := strconv.ParseInt(r.URL.Query().Get("watch"), 10, 64)
	waitMs, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	timeout := time.After(time.Duration(waitMs) * time.Millisecond)
	for over := false; ; {
		s.mu.Lock()
		events := []change{}
		for _, e := range s.events {
			if e.kind == kind && e.revision > after {
				events = append(events, e)
			}
		}
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 || over {
			reply(w, http.StatusOK, map[string]any{"events": events, "store_revision": revision})
			return
		}
		select {
		case <-changed:
		case <-timeout:
			over = true
		case <-r.Context().Done():
			return
		}
	}
}

func reply(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// The error is ignored: a failed write means that the caller left.
	_ = json.NewEncoder(w).Encode(v)
}
