package platform

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"time"

	"bergamotpin.example/bergamotpin/api"
	"bergamotpin.example/bergamotpin/standin/jsonhttp"
)

// watcher is one open watch.
type watcher struct {
	server *Server
	w      http.ResponseWriter
	r      *http.Request
	kinds  []api.Kind
	seen   int64
}

func (s *Server) handleWatch(w http.ResponseWriter, r *http.Request) {
	s.count(func(c *Counters) { c.Watches++ })
	if !s.pass(w, r, s.reads) {
		return
	}
	watch, ok := s.newWatcher(w, r)
	if !ok {
		return
	}
	s.count(func(c *Counters) { c.OpenWatches++ })
	defer s.count(func(c *Counters) { c.OpenWatches-- })
	watch.run()
}

// newWatcher reads the call's parameters and checks that the history reaches
// back to its start. Otherwise it answers and reports false.
func (s *Server) newWatcher(w http.ResponseWriter, r *http.Request) (*watcher, bool) {
	query := r.URL.Query()
	from, err := strconv.ParseInt(query.Get("from"), 10, 64)
	if err != nil {
		fail(w, http.StatusBadRequest, api.CodeInvalid, "from: a number is needed")
		return nil, false
	}
	if _, _, _, err := s.store.since(from, nil); err != nil {
		failStore(w, api.Object{}, err)
		return nil, false
	}
	return &watcher{server: s, w: w, r: r, kinds: parseKinds(query.Get("kinds")), seen: from}, true
}

// parseKinds reads a comma-separated list. Empty means all kinds.
func parseKinds(text string) []api.Kind {
	var kinds []api.Kind
	for name := range strings.SplitSeq(text, ",") {
		if name != "" {
			kinds = append(kinds, api.Kind(name))
		}
	}
	return kinds
}

// run sends events until the caller leaves, the history overtakes the watch,
// the server closes or an outage cuts it.
func (o *watcher) run() {
	o.w.Header().Set("Content-Type", "application/x-ndjson")
	o.w.WriteHeader(http.StatusOK)
	if !o.flush() {
		return
	}
	bookmarks := time.NewTicker(o.server.opts.BookmarkEvery)
	defer bookmarks.Stop()
	charge := time.NewTicker(watchCharge)
	defer charge.Stop()
	for o.available() {
		changed, ok := o.catchUp()
		if !ok || !o.wait(changed, bookmarks.C, charge.C) {
			return
		}
	}
}

// available applies an outage: it cuts the watch, or keeps it silent until the
// outage ends. It reports false when the watch is over.
func (o *watcher) available() bool {
	for {
		faults, switched := o.server.faultsAndSwitch()
		switch faults.Outage {
		case OutageNone:
			return true
		case OutageHang:
			if !o.server.hang(o.r, switched) {
				return false
			}
		default:
			return false
		}
	}
}

// catchUp sends the events since the last one seen.
func (o *watcher) catchUp() (<-chan struct{}, bool) {
	s := o.server
	events, reached, changed, err := s.store.since(o.seen, o.kinds)
	if err != nil {
		return nil, false
	}
	if len(events) > 0 && !jsonhttp.Wait(s.Faults().Latency.Std(), o.r.Context().Done(), s.closed) {
		return nil, false
	}
	for _, event := range events {
		if !o.send(event) {
			return nil, false
		}
	}
	o.seen = reached
	return changed, o.flush()
}

// wait blocks until there may be something to do. It reports false when the
// watch is over.
func (o *watcher) wait(changed <-chan struct{}, bookmarks, charge <-chan time.Time) bool {
	s := o.server
	_, switched := s.faultsAndSwitch()
	select {
	case <-changed:
		return true
	case <-switched:
		return true
	case <-bookmarks:
		return o.bookmark()
	case <-charge:
		s.reads.Reserve()
		s.count(func(c *Counters) { c.WatchSeconds++ })
		return true
	case <-o.r.Context().Done():
		return false
	case <-s.closed:
		return false
	}
}

// bookmark sends the version up to which the watcher has seen everything.
func (o *watcher) bookmark() bool {
	event := api.WatchEvent{Type: api.EventBookmark, Object: api.Object{Version: o.seen}}
	return o.send(event) && o.flush()
}

func (o *watcher) send(event api.WatchEvent) bool {
	return json.NewEncoder(o.w).Encode(event) == nil
}

func (o *watcher) flush() bool {
	return http.NewResponseController(o.w).Flush() == nil
}
