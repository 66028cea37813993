package engine

import (
	"net/http"
	"strconv"
	"time"

	"bergamotpin.example/bergamotpin/engineapi"
	"bergamotpin.example/bergamotpin/standin/jsonhttp"
)

// connection sends one stream's response to one caller.
type connection struct {
	engine *Server
	stream *stream
	w      http.ResponseWriter
	r      *http.Request
	// lastSent is the number of the last frame that was sent to the caller, over
	// this connection or an earlier one.
	lastSent int
}

// streamSnapshot is a copy of a stream's state and of the faults at one moment.
type streamSnapshot struct {
	state          state
	started        bool
	computedTokens int
	lastAvailable  int             // number of the last frame that can be sent
	changed        <-chan struct{} // closed at the next change of the stream
	faults         engineapi.EngineFaults
	// cutPending is true if the fault CutAfterTokens is set and has not yet cut
	// a connection of the stream.
	cutPending bool
}

func (c *connection) snapshot() streamSnapshot {
	c.engine.mu.Lock()
	defer c.engine.mu.Unlock()
	s := c.stream
	return streamSnapshot{
		state:          s.state,
		started:        s.started,
		computedTokens: s.computedTokens,
		lastAvailable:  s.lastAvailable(),
		changed:        s.changed,
		faults:         c.engine.faults,
		cutPending:     c.engine.faults.CutAfterTokens > 0 && !s.wasCut,
	}
}

// streamFrames sends the frames after lastSent as they become available.
func (c *connection) streamFrames() {
	c.engine.attach(c.stream)
	defer c.engine.detach(c.stream)
	for {
		v := c.snapshot()
		if !c.sendAvailable(v) {
			return
		}
		if v.state == stateDone {
			return
		}
		if v.state != stateWaiting && v.state != stateRunning {
			c.abortResponse(v)
			return
		}
		if !c.awaitChange(v.changed) {
			return
		}
	}
}

// awaitChange waits until the stream changes. If the caller leaves earlier, it
// returns false.
func (c *connection) awaitChange(changed <-chan struct{}) bool {
	select {
	case <-changed:
		return true
	case <-c.r.Context().Done():
		return false
	}
}

// abortResponse ends the response of a stream that was cancelled or crashed. If
// the stream had not started, nothing was sent yet, and the response becomes a
// refusal with engineapi.HeaderNotStarted. Otherwise abortResponse drops the
// connection.
func (c *connection) abortResponse(v streamSnapshot) {
	if c.lastSent > 0 || v.started {
		jsonhttp.DropConnection()
	}
	refuse(c.w, http.StatusServiceUnavailable, "cancelled")
}

// sendAvailable sends the available frames after lastSent. If the connection is
// broken, it returns false.
func (c *connection) sendAvailable(v streamSnapshot) bool {
	if v.lastAvailable <= c.lastSent {
		return true
	}
	c.w.Header().Set("Content-Type", "text/event-stream")
	for c.lastSent < v.lastAvailable {
		if !c.send(c.lastSent+1, v.faults) {
			return false
		}
		c.lastSent++
		if v.cutPending && c.lastSent >= v.faults.CutAfterTokens {
			c.cutConnection()
		}
	}
	c.engine.recordDelivered(c.stream, c.lastSent)
	return c.flush()
}

// send writes one frame. It also writes the duplicate and the late frame that the
// faults DuplicateFrames and LateFrames cause. If the connection is broken, it
// returns false.
func (c *connection) send(id int, faults engineapi.EngineFaults) bool {
	data := c.stream.frameData(id)
	if writeFrame(c.w, id, data) != nil {
		return false
	}
	if faults.DuplicateFrames && writeFrame(c.w, id, data) != nil {
		return false
	}
	if faults.LateFrames && id > 1 {
		return writeFrame(c.w, id-1, c.stream.frameData(id-1)) == nil
	}
	return true
}

func (c *connection) flush() bool {
	return http.NewResponseController(c.w).Flush() == nil
}

// cutConnection delivers the frames written so far and drops the connection. The
// stream continues.
func (c *connection) cutConnection() {
	c.engine.recordDelivered(c.stream, c.lastSent)
	c.engine.recordCut(c.stream)
	c.flush()
	jsonhttp.DropConnection()
}

// respondWhole waits until the stream has ended and sends the whole answer in
// one response.
func (c *connection) respondWhole() {
	c.engine.attach(c.stream)
	defer c.engine.detach(c.stream)
	for {
		v := c.snapshot()
		if v.cutPending && v.computedTokens >= v.faults.CutAfterTokens {
			c.engine.recordCut(c.stream)
			jsonhttp.DropConnection()
		}
		switch v.state {
		case stateDone:
			jsonhttp.WriteJSON(c.w, http.StatusOK, c.stream.completion())
			c.engine.recordDelivered(c.stream, c.stream.frameCount())
			return
		case stateCancelled, stateCrashed:
			c.abortResponse(v)
			return
		}
		if !c.awaitChange(v.changed) {
			return
		}
	}
}

// attach adds a connection to the stream and stops its hold timer.
func (e *Server) attach(s *stream) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s.connections++
	if s.holdTimer != nil {
		s.holdTimer.Stop()
		s.holdTimer = nil
	}
}

// detach removes a connection from the stream.
func (e *Server) detach(s *stream) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s.connections--
	e.holdOrDrop(s)
}

// holdOrDrop starts the hold timer of a stream without connections. If the stream
// has no hold time, was cancelled or has crashed, holdOrDrop drops the stream
// instead. It does nothing if the stream has a connection or a hold timer, or
// was already dropped. The caller holds the lock.
func (e *Server) holdOrDrop(s *stream) {
	if s.connections > 0 || s.holdTimer != nil || e.streams[s.job.attempt] != s {
		return
	}
	if s.job.holdTimeout <= 0 || s.state == stateCancelled || s.state == stateCrashed {
		e.dropStream(s)
		return
	}
	s.holdTimer = time.AfterFunc(s.job.holdTimeout, func() { e.expireHold(s) })
}

// expireHold drops a stream after its hold time, unless the stream has a
// connection again.
func (e *Server) expireHold(s *stream) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if s.connections == 0 {
		e.dropStream(s)
	}
}

// dropStream removes a stream from the engine's map of streams, so that callers
// can't resume it. If the stream has not ended, dropStream cancels it. The caller
// holds the lock.
func (e *Server) dropStream(s *stream) {
	e.forgetStream(s)
	e.endStream(s, stateCancelled)
}

// forgetStream stops a stream's hold timer and removes the stream from the
// engine's map of streams. The caller holds the lock.
func (e *Server) forgetStream(s *stream) {
	if s.holdTimer != nil {
		s.holdTimer.Stop()
		s.holdTimer = nil
	}
	if e.streams[s.job.attempt] == s {
		delete(e.streams, s.job.attempt)
	}
}

// recordDelivered records the number of the last frame that was written to a
// connection. It counts the tokens that were not delivered before.
func (e *Server) recordDelivered(s *stream, lastFrame int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if lastFrame <= s.lastDelivered {
		return
	}
	tokens := s.job.endToken - s.job.firstToken
	e.counters.DeliveredTokens += int64(min(lastFrame, tokens) - min(s.lastDelivered, tokens))
	s.lastDelivered = lastFrame
}

// recordCut records and counts a cut of a stream's connection.
func (e *Server) recordCut(s *stream) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s.wasCut = true
	e.counters.Cut++
}

// lastEventID parses the header Last-Event-ID of a resume request. Without the
// header it returns 0. If the header is invalid, it returns false.
func lastEventID(r *http.Request) (int, bool) {
	text := r.Header.Get("Last-Event-ID")
	if text == "" {
		return 0, true
	}
	id, err := strconv.Atoi(text)
	return id, err == nil && id >= 0
}
