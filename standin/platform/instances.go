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

// listing is an entry as of one moment.
type listing struct {
	instance api.ListedInstance
	removed  bool
}

// instances is the list of instances with its recent past. It is safe for
// concurrent use.
type instances struct {
	ttl time.Duration

	mu      sync.Mutex
	entries map[string]*lagged.History[listing]
}

func newInstances(ttl time.Duration) *instances {
	return &instances{ttl: ttl, entries: make(map[string]*lagged.History[listing])}
}

// set enters or renews an entry, or removes it.
func (l *instances) set(name string, entry listing) {
	l.mu.Lock()
	defer l.mu.Unlock()
	history, ok := l.entries[name]
	if !ok {
		history = lagged.New[listing](MaxInstanceLag)
		l.entries[name] = history
	}
	history.Add(time.Now(), entry)
}

// list returns the entries as of lag ago, by name, without those that were not
// renewed in time.
func (l *instances) list(lag time.Duration) []api.ListedInstance {
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
		fail(w, http.StatusBadRequest, api.CodeInvalid, err.Error())
		return
	}
	entry.Name = r.PathValue("name")
	if entry.State == "" {
		entry.State = api.InstanceLive
	}
	s.instances.set(entry.Name, listing{instance: entry})
	s.confirm(w, http.StatusOK, entry)
}

func (s *Server) handleUnregister(w http.ResponseWriter, r *http.Request) {
	s.instances.set(r.PathValue("name"), listing{removed: true})
	w.WriteHeader(http.StatusNoContent)
}
