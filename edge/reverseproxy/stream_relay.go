package reverseproxy

import (
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"bergamotpin.example/bergamotpin/edge/backendclient"
	"bergamotpin.example/bergamotpin/edge/balancer"
	"bergamotpin.example/bergamotpin/eventstream"
	"bergamotpin.example/bergamotpin/outcome"
	"bergamotpin.example/bergamotpin/platform"
)

// maxEventBytes is the size of an event from which on it is passed on in parts. A stream that breaks
// off inside such an event can't go on.
const maxEventBytes = 1 << 20

var (
	// errNotContinued reports that a server that was asked to go on with a stream answered with
	// something else.
	errNotContinued = errors.New("the response does not go on with the stream")
	// errEventsSkipped reports that a server left out an event.
	errEventsSkipped = errors.New("an event was skipped")
	// errNoEvent reports a stream that ended before its first event.
	errNoEvent = errors.New("the stream ended without an event")
)

// streamState is the state of a stream over all the servers that contributed to
// it.
type streamState struct {
	// started is set once the response header was written to the caller.
	started bool
	// position is what the caller has of the stream, with what it had before the request.
	position eventstream.Position
	// mediaType is that of the response that began the stream.
	mediaType string
	// brokeInside is set if the stream broke off inside the event after the last one, which
	// shows that there is one more.
	brokeInside bool
	// firstAfter is the time from the request's arrival to the first event,
	// lastAt is when the last event arrived, and longestGap is the longest time
	// between two events.
	firstAfter time.Duration
	lastAt     time.Time
	longestGap time.Duration
}

const (
	// A stream shows that its prompt does not crash servers once its events have arrived
	// for soundSteps times soundStep. A crash comes within a fraction of that. With one
	// step, a pause of this instance would look the same.
	soundStep  = 250 * time.Millisecond
	soundSteps = 2
)

// streamProgress is the progress of one attempt's stream.
type streamProgress struct {
	// steps counts the steps that were completed, and stepBegan is when the current one
	// began.
	steps     int
	stepBegan time.Time
}

// isSound takes in the arrival of an event. It returns true once, when the stream has
// shown that its prompt does not crash servers.
func (p *streamProgress) isSound(arrived time.Time) bool {
	switch {
	case p.steps == soundSteps:
		return false
	case p.stepBegan.IsZero():
		p.stepBegan = arrived
		return false
	case arrived.Sub(p.stepBegan) < soundStep:
		return false
	}
	p.steps++
	p.stepBegan = arrived
	return p.steps == soundSteps
}

// streamReading is one response that is read as a stream.
type streamReading struct {
	response *backendclient.Response
	reader   *eventstream.Reader
	follower *eventstream.Follower
	// buffered is the memory of the block that is being read.
	buffered reservation
}

// readStream begins to read a response as a stream. It must be released.
func (f *forwarder) readStream(response *backendclient.Response) *streamReading {
	in := &streamReading{response: response, follower: f.stream.position.Follow(), buffered: f.newReservation()}
	in.reader = eventstream.NewReader(response, eventstream.Options{
		MaxBlock: maxEventBytes, Continues: f.stream.started, EndIsStated: isDelimited(response.Response),
		Grow: func(size int) error { return in.buffered.growEvent(size) },
	})
	return in
}

// nextBlock returns the next block of a stream. At the end of the response it returns ended, if that is
// the end of the stream, and a failure otherwise.
func (f *forwarder) nextBlock(in *streamReading) (block eventstream.Block, ended bool, failed *failure) {
	in.buffered.release()
	block, err := in.reader.Next()
	switch {
	case err == io.EOF && f.endsStream(in):
		return block, true, nil
	case err == io.EOF && f.stream.position.IsBegin():
		return block, false, &failure{reason: outcome.StreamCut, mayHaveRun: true, err: errNoEvent}
	case err == io.EOF:
		return block, false, &failure{reason: outcome.ResponseMismatch, mayHaveRun: true, err: errNotContinued}
	case err != nil:
		f.brokeOff(in)
		return block, false, &failure{reason: readErrorReason(err), mayHaveRun: true, err: err}
	}
	return block, false, nil
}

// brokeOff takes in where a response broke off. Further attempts may still begin, which read nothing of
// what this changes.
func (f *forwarder) brokeOff(in *streamReading) {
	cut, inside := in.reader.Cut()
	f.stream.brokeInside = f.stream.brokeInside || inside
	f.stream.position.BrokeOff(cut)
}

// relayStream passes a stream on event by event. An event is written after the
// whole event has arrived, unless it is very large.
func (f *forwarder) relayStream(s *sending) (bool, failure) {
	in := f.readStream(s.response)
	defer in.buffered.release()
	var progress streamProgress
	for {
		f.others.watch(s, eventPatience, 0)
		block, ended, failed := f.nextBlock(in)
		if failed != nil {
			return false, *failed
		}
		if f.goesOn = f.others.spoke(); f.goesOn != nil {
			return false, failure{mayHaveRun: true}
		}
		if ended {
			return f.endStream(in, &s.attempt)
		}
		pass, isEvent, failed := f.judge(in, block)
		if failed != nil {
			return false, *failed
		}
		if isEvent {
			f.recordEvent(&s.attempt)
		}
		if !pass {
			continue
		}
		if failed := f.passBlock(in.response, block); failed != nil {
			return false, *failed
		}
		if isEvent && progress.isSound(f.stream.lastAt) {
			f.recordAnswered(&s.attempt, true)
		}
	}
}

// endStream ends the caller's response, as a server has ended the stream.
func (f *forwarder) endStream(in *streamReading, a *balancer.Attempt) (bool, failure) {
	f.beginResponse(in.response)
	f.recordAnswered(a, isDelimited(in.response.Response))
	f.recordCompleted(a.Server.ID, http.StatusOK)
	return true, failure{}
}

// continuesStream reports whether a successful response may go on with the stream that another
// response began, as far as its head shows.
func (f *forwarder) continuesStream(response *backendclient.Response) bool {
	return response.StatusCode == http.StatusOK && mediaType(response.Header) == f.stream.mediaType
}

// endsStream reports whether the regular end of a response is the end of the stream. A response
// that brings no event ends a stream of which the caller has events only if it states its own end, and
// nothing shows that there is one more event.
func (f *forwarder) endsStream(in *streamReading) bool {
	if in.follower.Took() {
		return true
	}
	return !f.stream.position.IsBegin() && isDelimited(in.response.Response) && !f.stream.brokeInside
}

// mediaType returns the media type that a header states, without its parameters.
func mediaType(h http.Header) string {
	text, _, _ := strings.Cut(h.Get("Content-Type"), ";")
	return strings.ToLower(strings.TrimSpace(text))
}

// recordEvent records an event before it is passed on: once the caller has it, it may take the stream up
// at another instance.
func (f *forwarder) recordEvent(a *balancer.Attempt) {
	if f.handler.Selector.RecordFirstEvent(a) {
		f.countUsage()
	}
	if f.stream.position.Events() > 1 {
		f.handler.Selector.RecordEvent(a)
	} else {
		f.handler.recordOrigin(f.request, a)
	}
}

// judge reports whether a block must be passed on, and whether an event is complete with it that the
// caller did not have. It fails if the block can't be one of the stream.
func (f *forwarder) judge(in *streamReading, block eventstream.Block) (pass, isEvent bool, failed *failure) {
	verdict := in.follower.Take(block)
	switch verdict {
	case eventstream.Unneeded:
		return false, false, nil
	case eventstream.Skips:
		return false, false, &failure{reason: outcome.ResponseMismatch, mayHaveRun: true, err: errEventsSkipped}
	case eventstream.Foreign:
		return false, false, &failure{reason: outcome.ResponseMismatch, mayHaveRun: true, err: errNotContinued}
	}
	isEvent = verdict == eventstream.New && block.Ends && block.IsEvent()
	if isEvent {
		f.observeEvent()
	}
	return true, isEvent, nil
}

// passBlock passes a block on, with the response's header before the first one. It fails if the caller
// has left.
func (f *forwarder) passBlock(response *backendclient.Response, block eventstream.Block) *failure {
	f.beginResponse(response)
	return f.writeToCaller(block.Raw)
}

// observeEvent measures the time of an event that has just arrived.
func (f *forwarder) observeEvent() {
	s := &f.stream
	now := time.Now()
	if s.lastAt.IsZero() {
		s.firstAfter = now.Sub(f.request.arrived)
		f.class.ObserveFirstToken(s.firstAfter)
	} else {
		gap := now.Sub(s.lastAt)
		s.longestGap = max(s.longestGap, gap)
		f.class.ObserveGap(gap)
	}
	s.lastAt = now
	s.brokeInside = false
}

// beginResponse writes the header of a stream's response, unless that was done before.
func (f *forwarder) beginResponse(response *backendclient.Response) {
	s := &f.stream
	if s.started {
		return
	}
	s.started = true
	s.mediaType = mediaType(response.Header)
	copyHeader(f.w, platform.ForwardedResponseHeader(response.Header))
	f.w.WriteHeader(response.StatusCode)
}

// writeToCaller sends bytes to the caller at once. It fails if the caller has left.
func (f *forwarder) writeToCaller(text []byte) *failure {
	if _, f.writeErr = f.w.Write(text); f.writeErr == nil {
		f.writeErr = http.NewResponseController(f.w).Flush()
	}
	if f.writeErr != nil {
		return &failure{reason: outcome.CallerLeft, mayHaveRun: true, err: f.writeErr}
	}
	return nil
}
