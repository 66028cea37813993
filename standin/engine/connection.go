package engine

import (
	"net/http"
	"strconv"
	"time"

	"bergamotpin.example/bergamotpin/engineapi"
	"bergamotpin.example/bergamotpin/standin/jsonhttp"
)

// connection sends one stream to one caller.
type connection struct {
	engine *Server
	stream *stream
	w      http.ResponseWriter
	r      *http.Request
	// sent is the highest frame that the caller has.
	sent int
}

// view is what a connection sees of its stream at one moment.
type view struct {
	state     state
	started   bool
	computed  int
	available int
	changed   <-chan struct{}
	faults    engineapi.EngineFaults
	// cut says that the fault CutAfterTokens has yet to strike.
	cut bool
}

func (c *connection) look() view {
	c.engine.mu.Lock()
	defer c.engine.mu.Unlock()
	s := c.stream
	return view{
		state:     s.state,
		started:   s.started,
		computed:  s.computed,
		available: s.available(),
		changed:   s.changed,
		faults:    c.engine.faults,
		cut:       c.engine.faults.CutAfterTokens > 0 && !s.wasCut,
	}
}

// serve sends the stream's frames after the given one as they come.
func (c *connection) serve() {
	c.engine.attach(c.stream)
	defer c.engine.detach(c.stream)
	for {
		v := c.look()
		if !c.catchUp(v) {
			return
		}
		if v.state == stateDone {
			return
		}
		if v.state != stateWaiting && v.state != stateRunning {
			c.abort(v)
			return
		}
		if !c.wait(v.changed) {
			return
		}
	}
}

// wait blocks until the stream has something new. It reports false if the
// caller left.
func (c *connection) wait(changed <-chan struct{}) bool {
	select {
	case <-changed:
		return true
	case <-c.r.Context().Done():
		return false
	}
}

// abort ends the connection of a stream that was cancelled or crashed. Before
// the first frame the engine can still say that it did not start.
func (c *connection) abort(v view) {
	if c.sent > 0 || v.started {
		jsonhttp.DropConnection()
	}
	refuse(c.w, http.StatusServiceUnavailable, "cancelled")
}

// catchUp sends the frames that the caller lacks. It reports false if the
// connection broke.
func (c *connection) catchUp(v view) bool {
	if v.available <= c.sent {
		return true
	}
	c.w.Header().Set("Content-Type", "text/event-stream")
	for c.sent < v.available {
		if !c.send(c.sent+1, v.faults) {
			return false
		}
		c.sent++
		if v.cut && c.sent >= v.faults.CutAfterTokens {
			c.cut()
		}
	}
	c.engine.delivered(c.stream, c.sent)
	return c.flush()
}

// send writes one frame and what the faults add to it.
func (c *connection) send(id int, faults engineapi.EngineFaults) bool {
	data := c.stream.frame(id)
	if writeFrame(c.w, id, data) != nil {
		return false
	}
	if faults.DoubleFrames && writeFrame(c.w, id, data) != nil {
		return false
	}
	if faults.LateFrames && id > 1 {
		return writeFrame(c.w, id-1, c.stream.frame(id-1)) == nil
	}
	return true
}

func (c *connection) flush() bool {
	return http.NewResponseController(c.w).Flush() == nil
}

// cut drops the connection after what was sent and keeps the stream.
func (c *connection) cut() {
	c.engine.delivered(c.stream, c.sent)
	c.engine.markCut(c.stream)
	c.flush()
	jsonhttp.DropConnection()
}

// answerWhole waits for the end and answers without streaming.
func (c *connection) answerWhole() {
	c.engine.attach(c.stream)
	defer c.engine.detach(c.stream)
	for {
		v := c.look()
		if v.cut && v.computed >= v.faults.CutAfterTokens {
			c.engine.markCut(c.stream)
			jsonhttp.DropConnection()
		}
		switch v.state {
		case stateDone:
			jsonhttp.WriteJSON(c.w, http.StatusOK, c.stream.completion())
			c.engine.delivered(c.stream, c.stream.frames())
			return
		case stateCancelled, stateCrashed:
			c.abort(v)
			return
		}
		if !c.wait(v.changed) {
			return
		}
	}
}

// attach counts a connection to the stream.
func (e *Server) attach(s *stream) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s.connections++
	if s.expiry != nil {
		s.expiry.Stop()
		s.expiry = nil
	}
}

// detach takes a connection off the stream.
func (e *Server) detach(s *stream) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s.connections--
	e.settle(s)
}

// settle decides what becomes of a stream that nobody reads: it is held for
// its time, or cancelled and forgotten. The caller holds the lock.
func (e *Server) settle(s *stream) {
	if s.connections > 0 || s.expiry != nil || e.streams[s.job.attempt] != s {
		return
	}
	if s.job.hold <= 0 || s.state == stateCancelled || s.state == stateCrashed {
		e.drop(s)
		return
	}
	s.expiry = time.AfterFunc(s.job.hold, func() { e.expire(s) })
}

// expire ends a stream whose time to be held is over.
func (e *Server) expire(s *stream) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if s.connections == 0 {
		e.drop(s)
	}
}

// drop cancels a stream unless it is over, and forgets it. The caller holds
// the lock.
func (e *Server) drop(s *stream) {
	e.forget(s)
	e.end(s, stateCancelled)
}

// forget makes the stream unknown. The caller holds the lock.
func (e *Server) forget(s *stream) {
	if s.expiry != nil {
		s.expiry.Stop()
		s.expiry = nil
	}
	if e.streams[s.job.attempt] == s {
		delete(e.streams, s.job.attempt)
	}
}

// delivered records that the frames up to sent were written.
func (e *Server) delivered(s *stream, sent int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if sent <= s.sent {
		return
	}
	tokens := s.job.end - s.job.first
	e.counters.DeliveredTokens += int64(min(sent, tokens) - min(s.sent, tokens))
	s.sent = sent
}

func (e *Server) markCut(s *stream) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s.wasCut = true
	e.counters.Cut++
}

// lastEventID reads the header with which a caller resumes, absent for 0.
func lastEventID(r *http.Request) (int, bool) {
	text := r.Header.Get("Last-Event-ID")
	if text == "" {
		return 0, true
	}
	id, err := strconv.Atoi(text)
	return id, err == nil && id >= 0
}
