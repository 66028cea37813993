package platform

import (
	"cmp"
	"net/http"
	"slices"
	"sync"
	"time"

	"bergamotpin.example/bergamotpin/api"
	"bergamotpin.example/bergamotpin/standin/jsonhttp"
	"bergamotpin.example/bergamotpin/standin/lagged"
)

// instanceEntry is an instance's entry in the list at one moment. If removed is
// true, the list had no entry of the instance.
type instanceEntry struct {
	instance api.ListedInstance
	removed  bool
}

// instanceList is the list of instances with its recent history. It is safe for
// concurrent use.
type instanceList struct {
	ttl time.Duration

	mu      sync.Mutex
	entries map[string]*lagged.History[instanceEntry]
}

func newInstanceList(ttl time.Duration) *instanceList {
	return &instanceList{ttl: ttl, entries: make(map[string]*lagged.History[instanceEntry])}
}

// set records that an instance's entry was added, renewed or removed.
func (l *instanceList) set(name string, entry instanceEntry) {
	l.mu.Lock()
	defer l.mu.Unlock()
	history, ok := l.entries[name]
	if !ok {
		history = lagged.New[instanceEntry](MaxInstanceLag)
		l.entries[name] = history
	}
	history.Add(time.Now(), entry)
}

// list returns the entries as they were at an earlier time, sorted by name. The
// parameter lag says how long ago that time is, limited to MaxInstanceLag. An
// entry is left out if its last renewal was then older than the TTL.
func (l *instanceList) list(lag time.Duration) []api.ListedInstance {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	at := now.Add(-min(lag, MaxInstanceLag))
	out := []api.ListedInstance{}
	for name, history := range l.entries {
		if _, latest, _ := history.At(now); now.Sub(latest) > l.ttl+MaxInstanceLag {
			delete(l.entries, name)
			continue
		}
		entry, since, ok := history.At(at)
		if ok && !entry.removed && at.Sub(since) <= l.ttl {
			out = append(out, entry.instance)
		}
	}
	slices.SortFunc(out, func(a, b api.ListedInstance) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

func (s *Server) handleInstances(w http.ResponseWriter, _ *http.Request) {
	lag := s.opts.InstanceLag + s.Faults().InstanceLag.Std()
	jsonhttp.WriteJSON(w, http.StatusOK, s.instances.list(lag))
}

func (s *Server) handleRegister(w http.ResponseWriter, r *http.Request) {
	var entry api.ListedInstance
	if err := jsonhttp.DecodeJSON(r, api.MaxObjectBytes, &entry); err != nil {
		writeError(w, http.StatusBadRequest, api.CodeInvalid, err.Error())
		return
	}
	entry.Name = r.PathValue("name")
	if entry.State == "" {
		entry.State = api.InstanceLive
	}
	s.instances.set(entry.Name, instanceEntry{instance: entry})
	s.sendConfirmation(w, http.StatusOK, entry)
}

func (s *Server) handleUnregister(w http.ResponseWriter, r *http.Request) {
	s.instances.set(r.PathValue("name"), instanceEntry{removed: true})
	w.WriteHeader(http.StatusNoContent)
}
