package stand

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

// Store is a stand-in for the platform's metadata store. It serves lists, watches and
// unconditional or conditional writes, and loses nothing.
type Store struct {
	Address string

	server   *http.Server
	mu       sync.Mutex
	revision int64
	objects  map[string]map[string]storedObject
	history  []change
	changed  chan struct{}
}

type objectMetadata struct {
	Name     string `json:"name"`
	Revision int64  `json:"revision"`
}

type storedObject struct {
	Metadata objectMetadata  `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
}

type change struct {
	kind    string
	object  storedObject
	deleted bool
}

type listedEvent struct {
	Object  storedObject `json:"object"`
	Deleted bool         `json:"deleted"`
}

// StartStore starts a store at a free port of the loopback address.
func StartStore() (*Store, error) {
	s := &Store{revision: 1, objects: make(map[string]map[string]storedObject), changed: make(chan struct{})}
	return s, s.listen()
}

// Move has the store served at another free port, and no longer at the one before. It keeps what
// it holds.
func (s *Store) Move() error {
	old := s.server
	if err := s.listen(); err != nil {
		return err
	}
	return old.Close()
}

func (s *Store) listen() error {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return err
	}
	s.Address = l.Addr().String()
	s.server = &http.Server{Handler: http.HandlerFunc(s.serve)}
	go func(server *http.Server) { _ = server.Serve(l) }(s.server)
	return nil
}

// Put writes an object and returns the store's revision, as the operator or a replica does.
func (s *Store) Put(kind, name, spec string) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.put(kind, name, json.RawMessage(spec)).Metadata.Revision
}

// Delete removes an object.
func (s *Store) Delete(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.remove(kind, name)
}

func (s *Store) put(kind, name string, spec json.RawMessage) storedObject {
	if s.objects[kind] == nil {
		s.objects[kind] = make(map[string]storedObject)
	}
	s.revision++
	o := storedObject{Metadata: objectMetadata{name, s.revision}, Spec: spec}
	s.objects[kind][name] = o
	s.note(change{kind: kind, object: o})
	return o
}

func (s *Store) remove(kind, name string) {
	o, ok := s.objects[kind][name]
	if !ok {
		return
	}
	delete(s.objects[kind], name)
	s.revision++
	o.Metadata.Revision = s.revision
	s.note(change{kind: kind, object: o, deleted: true})
}

func (s *Store) note(c change) {
	s.history = append(s.history, c)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Store) serve(w http.ResponseWriter, r *http.Request) {
	path, ok := strings.CutPrefix(r.URL.Path, "/v1/objects/")
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	kind, name, _ := strings.Cut(path, "/")
	switch {
	case r.Method != http.MethodGet:
		s.write(w, r, kind, name)
	case r.URL.Query().Has("watch"):
		s.watch(w, r, kind)
	case name != "":
		s.get(w, kind, name)
	default:
		s.list(w, kind, r.URL.Query().Get("after"))
	}
}

func (s *Store) get(w http.ResponseWriter, kind, name string) {
	s.mu.Lock()
	o, ok := s.objects[kind][name]
	s.mu.Unlock()
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	writeJSON(w, http.StatusOK, o)
}

func (s *Store) write(w http.ResponseWriter, r *http.Request, kind, name string) {
	var body storedObject
	if r.Method != http.MethodDelete {
		if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	creates := name == ""
	if creates {
		name = body.Metadata.Name
	}
	current, exists := s.objects[kind][name]
	switch {
	case creates && exists, exists && body.Metadata.Revision != 0 && body.Metadata.Revision != current.Metadata.Revision:
		writeJSON(w, http.StatusConflict, current)
	case !creates && !exists:
		w.WriteHeader(http.StatusNotFound)
	case r.Method == http.MethodDelete:
		s.remove(kind, name)
		writeJSON(w, http.StatusOK, current)
	default:
		writeJSON(w, http.StatusOK, s.put(kind, name, body.Spec))
	}
}

const pageItems = 500

func (s *Store) list(w http.ResponseWriter, kind, after string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var names []string
	for name := range s.objects[kind] {
		if name > after {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	page := names[:min(pageItems, len(names))]
	items := make([]storedObject, 0, len(page))
	for _, name := range page {
		items = append(items, s.objects[kind][name])
	}
	writeJSON(w, http.StatusOK, map[string]any{"items": items, "has_more": len(page) < len(names), "store_revision": s.revision})
}

func (s *Store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	after, _ := strconv.ParseInt(r.URL.Query().Get("watch"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	end := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		events := []listedEvent{}
		for _, c := range s.history {
			if c.kind == kind && c.object.Metadata.Revision > after {
				events = append(events, listedEvent{c.object, c.deleted})
			}
		}
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		answer := map[string]any{"events": events, "store_revision": revision}
		if len(events) > 0 {
			writeJSON(w, http.StatusOK, answer)
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-end:
			writeJSON(w, http.StatusOK, answer)
			return
		}
	}
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
