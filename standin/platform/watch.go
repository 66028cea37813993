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

// watcher serves one open watch.
type watcher struct {
	server *Server
	w      http.ResponseWriter
	r      *http.Request
	kinds  []api.Kind
	// lastVersion is the version up to which all events were sent.
	lastVersion int64
}

func (s *Server) handleWatch(w http.ResponseWriter, r *http.Request) {
	s.updateCounters(func(c *Counters) { c.Watches++ })
	if !s.admit(w, r, s.readLimiter) {
		return
	}
	watch, ok := s.newWatcher(w, r)
	if !ok {
		return
	}
	s.updateCounters(func(c *Counters) { c.OpenWatches++ })
	defer s.updateCounters(func(c *Counters) { c.OpenWatches-- })
	watch.run()
}

// newWatcher parses the parameters of a watch call. If a parameter is invalid, or
// the history does not reach back to the start version, newWatcher writes an
// error response and returns false.
func (s *Server) newWatcher(w http.ResponseWriter, r *http.Request) (*watcher, bool) {
	query := r.URL.Query()
	from, err := strconv.ParseInt(query.Get("from"), 10, 64)
	if err != nil {
		writeError(w, http.StatusBadRequest, api.CodeInvalid, "from: a number is needed")
		return nil, false
	}
	if _, _, _, err := s.store.eventsAfter(from, nil); err != nil {
		writeStoreError(w, api.Object{}, err)
		return nil, false
	}
	return &watcher{server: s, w: w, r: r, kinds: parseKinds(query.Get("kinds")), lastVersion: from}, true
}

// parseKinds parses a comma-separated list of kinds. An empty list means all
// kinds.
func parseKinds(text string) []api.Kind {
	var kinds []api.Kind
	for name := range strings.SplitSeq(text, ",") {
		if name != "" {
			kinds = append(kinds, api.Kind(name))
		}
	}
	return kinds
}

// run sends events until the watch is over. A watch is over if the caller leaves,
// the history drops events that are not sent yet, the server is closed, or an
// outage closes the watch.
func (o *watcher) run() {
	o.w.Header().Set("Content-Type", "application/x-ndjson")
	o.w.WriteHeader(http.StatusOK)
	if !o.flush() {
		return
	}
	bookmarkTicker := time.NewTicker(o.server.opts.BookmarkEvery)
	defer bookmarkTicker.Stop()
	chargeTicker := time.NewTicker(watchChargeInterval)
	defer chargeTicker.Stop()
	for o.passOutage() {
		changed, ok := o.sendEvents()
		if !ok || !o.awaitActivity(changed, bookmarkTicker.C, chargeTicker.C) {
			return
		}
	}
}

// passOutage returns true if there is no outage. During a refusing outage it
// returns false, and the watch is over. During a hanging outage it waits for the
// end of the outage, and returns false only if the watch is over earlier.
func (o *watcher) passOutage() bool {
	for {
		faults, faultsChanged := o.server.currentFaults()
		switch faults.Outage {
		case OutageNone:
			return true
		case OutageHang:
			if !o.server.awaitFaultsChange(o.r, faultsChanged) {
				return false
			}
		default:
			return false
		}
	}
}

// sendEvents sends the events after lastVersion. It returns a channel that is
// closed at the next write, and false if the watch is over.
func (o *watcher) sendEvents() (<-chan struct{}, bool) {
	s := o.server
	events, reached, changed, err := s.store.eventsAfter(o.lastVersion, o.kinds)
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
	o.lastVersion = reached
	return changed, o.flush()
}

// awaitActivity waits for a write, a change of the faults, or one of the two
// tickers. A tick of bookmarks makes it send a bookmark, and a tick of charges
// makes it charge one read. It returns false if the watch is over.
func (o *watcher) awaitActivity(changed <-chan struct{}, bookmarks, charges <-chan time.Time) bool {
	s := o.server
	_, faultsChanged := s.currentFaults()
	select {
	case <-changed:
		return true
	case <-faultsChanged:
		return true
	case <-bookmarks:
		return o.sendBookmark()
	case <-charges:
		s.readLimiter.Reserve()
		s.updateCounters(func(c *Counters) { c.WatchSeconds++ })
		return true
	case <-o.r.Context().Done():
		return false
	case <-s.closed:
		return false
	}
}

// sendBookmark sends a bookmark. It contains the version up to which the caller
// has received all events. sendBookmark returns false if the watch is over.
func (o *watcher) sendBookmark() bool {
	event := api.WatchEvent{Type: api.EventBookmark, Object: api.Object{Version: o.lastVersion}}
	return o.send(event) && o.flush()
}

func (o *watcher) send(event api.WatchEvent) bool {
	return json.NewEncoder(o.w).Encode(event) == nil
}

func (o *watcher) flush() bool {
	return http.NewResponseController(o.w).Flush() == nil
}
