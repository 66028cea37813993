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
	// previous is the object before the change, or nil if it did not exist.
	previous *api.Object
}

// store holds the objects and a bounded history of their changes. It is safe
// for concurrent use.
type store struct {
	maxHistory int

	mu       sync.Mutex
	revision int64 // version of the last write
	objects  map[objectKey]api.Object
	history  []change // in ascending order of versions
	// compacted is the highest version that was dropped from the history.
	compacted int64
	// changed is closed and replaced at each write.
	changed chan struct{}
}

func newStore(maxHistory int) *store {
	return &store{
		maxHistory: maxHistory,
		objects:    make(map[objectKey]api.Object),
		changed:    make(chan struct{}),
	}
}

// create stores an object if no object of its kind and name exists. Otherwise it
// returns the existing object and errConflict.
func (s *store) create(obj api.Object) (api.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	key := objectKey{obj.Kind, obj.Name}
	if current, ok := s.objects[key]; ok {
		return current, errConflict
	}
	return s.put(key, nil, obj), nil
}

// update replaces an object if the given version is the current one. If another
// version is current, it returns the current object and errConflict.
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

// put stores obj and gives it the next revision as its version. previous is the
// object that obj replaces, or nil. The caller holds the lock.
func (s *store) put(key objectKey, previous *api.Object, obj api.Object) api.Object {
	s.revision++
	obj.Version = s.revision
	obj.SpecVersion = s.revision
	if previous != nil && sameJSON(previous.Spec, obj.Spec) {
		obj.SpecVersion = previous.SpecVersion
	}
	s.objects[key] = obj
	s.record(api.WatchEvent{Type: api.EventPut, Object: obj}, previous)
	return obj
}

// remove deletes an object if the given version is the current one, and returns
// the object of the delete event. If another version is current, it returns the
// current object and errConflict.
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
	deleted := api.Object{Kind: key.kind, Name: key.name, Version: s.revision, SpecVersion: s.revision}
	s.record(api.WatchEvent{Type: api.EventDelete, Object: deleted}, &current)
	return deleted, nil
}

// record appends an event to the history and wakes the watches. If the history
// is longer than maxHistory, record drops the oldest entries. The caller holds
// the lock.
func (s *store) record(event api.WatchEvent, previous *api.Object) {
	s.history = append(s.history, change{at: time.Now(), event: event, previous: previous})
	if over := len(s.history) - s.maxHistory; over > 0 {
		s.compacted = s.history[over-1].event.Object.Version
		s.history = append(s.history[:0], s.history[over:]...)
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// get returns an object in a past state. age is how long ago that state was. Age 0
// is the current state.
func (s *store) get(key objectKey, age time.Duration) (api.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	past := s.pastStateAt(age)
	if previous, ok := past.objects[key]; ok {
		if previous == nil {
			return api.Object{}, errNotFound
		}
		return *previous, nil
	}
	if obj, ok := s.objects[key]; ok {
		return obj, nil
	}
	return api.Object{}, errNotFound
}

// list returns the objects of a kind in a past state, sorted by name. age is how
// long ago that state was. Age 0 is the current state.
func (s *store) list(kind api.Kind, age time.Duration) api.List {
	s.mu.Lock()
	defer s.mu.Unlock()
	past := s.pastStateAt(age)
	out := api.List{Version: past.revision, Items: []api.Object{}}
	for key, obj := range s.objects {
		if _, changedSince := past.objects[key]; key.kind == kind && !changedSince {
			out.Items = append(out.Items, obj)
		}
	}
	for key, previous := range past.objects {
		if key.kind == kind && previous != nil {
			out.Items = append(out.Items, *previous)
		}
	}
	slices.SortFunc(out.Items, func(a, b api.Object) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

// pastState is the difference between a past state and the current state.
type pastState struct {
	revision int64
	// objects contains the objects that changed after the past state, with their
	// past content. The value is nil if the object did not exist.
	objects map[objectKey]*api.Object
}

// pastStateAt derives a past state from the history. age is how long ago that
// state was. The caller holds the lock.
func (s *store) pastStateAt(age time.Duration) pastState {
	past := pastState{revision: s.revision}
	if age <= 0 {
		return past
	}
	past.objects = make(map[objectKey]*api.Object)
	cutoff := time.Now().Add(-age)
	for i := len(s.history) - 1; i >= 0 && s.history[i].at.After(cutoff); i-- {
		obj := s.history[i].event.Object
		past.objects[objectKey{obj.Kind, obj.Name}] = s.history[i].previous
		past.revision = obj.Version - 1
	}
	return past
}

// eventsAfter returns the events of the given kinds after a version. No kinds
// means all kinds. reached is the revision up to which the events are complete.
// changed is closed at the next write. If the history has dropped an event after
// the version, eventsAfter returns errCompacted.
func (s *store) eventsAfter(version int64, kinds []api.Kind) (events []api.WatchEvent, reached int64, changed <-chan struct{}, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if version < s.compacted {
		return nil, 0, nil, errCompacted
	}
	firstIndex, _ := slices.BinarySearchFunc(s.history, version+1, func(c change, v int64) int {
		return cmp.Compare(c.event.Object.Version, v)
	})
	for _, c := range s.history[firstIndex:] {
		if len(kinds) == 0 || slices.Contains(kinds, c.event.Object.Kind) {
			events = append(events, c.event)
		}
	}
	return events, max(version, s.revision), s.changed, nil
}

// sameJSON reports whether two JSON values are equal except for white space.
func sameJSON(a, b json.RawMessage) bool {
	if bytes.Equal(a, b) {
		return true
	}
	return bytes.Equal(compactJSON(a), compactJSON(b))
}

// compactJSON removes white space from JSON. Invalid JSON is returned unchanged.
func compactJSON(raw json.RawMessage) []byte {
	var buf bytes.Buffer
	if err := json.Compact(&buf, raw); err != nil {
		return raw
	}
	return buf.Bytes()
}
