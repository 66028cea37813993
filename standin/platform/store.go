package platform

import (
	"bytes"
	"cmp"
	"encoding/json"
	"slices"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"bergamotpin.example/bergamotpin/api"
)

// Errors of the store.
var (
	errNotFound  = errors.New("platform: no such object")
	errConflict  = errors.New("platform: another version is current")
	errCompacted = errors.New("platform: the history does not reach back so far")
)

// objectKey identifies an object.
type objectKey struct {
	kind api.Kind
	name string
}

// change is one entry of the history.
type change struct {
	at    time.Time
	event api.WatchEvent
	// before is the object as it was, nil if there was none.
	before *api.Object
}

// store holds the objects and the bounded history of their changes. It is safe
// for concurrent use.
type store struct {
	limit int

	mu       sync.Mutex
	revision int64
	objects  map[objectKey]api.Object
	history  []change // ascending versions
	// compacted is the highest version that left the history.
	compacted int64
	// changed is closed and replaced at each write.
	changed chan struct{}
}

func newStore(limit int) *store {
	return &store{
		limit:   limit,
		objects: make(map[objectKey]api.Object),
		changed: make(chan struct{}),
	}
}

// create stores obj if its key is free. On a conflict it returns the current
// object.
func (s *store) create(obj api.Object) (api.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	key := objectKey{obj.Kind, obj.Name}
	if current, ok := s.objects[key]; ok {
		return current, errConflict
	}
	return s.put(key, nil, obj), nil
}

// update stores obj if the current version is the given one. On a conflict it
// returns the current object.
func (s *store) update(obj api.Object, version int64) (api.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	key := objectKey{obj.Kind, obj.Name}
	current, ok := s.objects[key]
	if !ok {
		return api.Object{}, errNotFound
	}
	if current.Version != version {
		return current, errConflict
	}
	return s.put(key, &current, obj), nil
}

// put writes obj under the next revision. The caller holds the lock.
func (s *store) put(key objectKey, before *api.Object, obj api.Object) api.Object {
	s.revision++
	obj.Version = s.revision
	obj.SpecVersion = s.revision
	if before != nil && sameJSON(before.Spec, obj.Spec) {
		obj.SpecVersion = before.SpecVersion
	}
	s.objects[key] = obj
	s.record(api.WatchEvent{Type: api.EventPut, Object: obj}, before)
	return obj
}

// remove deletes the object if its current version is the given one. It
// returns the object of the delete event, or the current one on a conflict.
func (s *store) remove(key objectKey, version int64) (api.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	current, ok := s.objects[key]
	if !ok {
		return api.Object{}, errNotFound
	}
	if current.Version != version {
		return current, errConflict
	}
	s.revision++
	delete(s.objects, key)
	gone := api.Object{Kind: key.kind, Name: key.name, Version: s.revision, SpecVersion: s.revision}
	s.record(api.WatchEvent{Type: api.EventDelete, Object: gone}, &current)
	return gone, nil
}

// record appends to the history, drops what is over its limit and wakes the
// watchers. The caller holds the lock.
func (s *store) record(event api.WatchEvent, before *api.Object) {
	s.history = append(s.history, change{at: time.Now(), event: event, before: before})
	if over := len(s.history) - s.limit; over > 0 {
		s.compacted = s.history[over-1].event.Object.Version
		s.history = append(s.history[:0], s.history[over:]...)
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// get returns the object as of age ago.
func (s *store) get(key objectKey, age time.Duration) (api.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	past := s.undone(age)
	if before, ok := past.objects[key]; ok {
		if before == nil {
			return api.Object{}, errNotFound
		}
		return *before, nil
	}
	if obj, ok := s.objects[key]; ok {
		return obj, nil
	}
	return api.Object{}, errNotFound
}

// list returns the objects of the kind as of age ago, by name.
func (s *store) list(kind api.Kind, age time.Duration) api.List {
	s.mu.Lock()
	defer s.mu.Unlock()
	past := s.undone(age)
	out := api.List{Version: past.revision, Items: []api.Object{}}
	for key, obj := range s.objects {
		if _, undone := past.objects[key]; key.kind == kind && !undone {
			out.Items = append(out.Items, obj)
		}
	}
	for key, before := range past.objects {
		if key.kind == kind && before != nil {
			out.Items = append(out.Items, *before)
		}
	}
	slices.SortFunc(out.Items, func(a, b api.Object) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

// pastState is what differs from the present: the objects as they were, nil
// for those that did not exist.
type pastState struct {
	revision int64
	objects  map[objectKey]*api.Object
}

// undone walks the history back by age. The caller holds the lock.
func (s *store) undone(age time.Duration) pastState {
	past := pastState{revision: s.revision}
	if age <= 0 {
		return past
	}
	past.objects = make(map[objectKey]*api.Object)
	until := time.Now().Add(-age)
	for i := len(s.history) - 1; i >= 0 && s.history[i].at.After(until); i-- {
		obj := s.history[i].event.Object
		past.objects[objectKey{obj.Kind, obj.Name}] = s.history[i].before
		past.revision = obj.Version - 1
	}
	return past
}

// since returns the events of the kinds after the version, the revision that
// they reach, and a channel that closes at the next write. It fails with
// errCompacted if events are missing.
func (s *store) since(version int64, kinds []api.Kind) (events []api.WatchEvent, reached int64, changed <-chan struct{}, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if version < s.compacted {
		return nil, 0, nil, errCompacted
	}
	first, _ := slices.BinarySearchFunc(s.history, version+1, func(c change, v int64) int {
		return cmp.Compare(c.event.Object.Version, v)
	})
	for _, c := range s.history[first:] {
		if len(kinds) == 0 || slices.Contains(kinds, c.event.Object.Kind) {
			events = append(events, c.event)
		}
	}
	return events, max(version, s.revision), s.changed, nil
}

// sameJSON reports whether two raw values are equal but for white space.
func sameJSON(a, b json.RawMessage) bool {
	if bytes.Equal(a, b) {
		return true
	}
	return bytes.Equal(compact(a), compact(b))
}

func compact(raw json.RawMessage) []byte {
	var buf bytes.Buffer
	if err := json.Compact(&buf, raw); err != nil {
		return raw
	}
	return buf.Bytes()
}
