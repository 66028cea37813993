package reverseproxy

import (
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"bergamotpin.example/bergamotpin/edge/backendclient"
	"bergamotpin.example/bergamotpin/edge/balancer"
	"bergamotpin.example/bergamotpin/eventstream"
	"bergamotpin.example/bergamotpin/outcome"
	"bergamotpin.example/bergamotpin/platform"
)

// maxEventBytes limits the size of one event.
const maxEventBytes = 1 << 20

// errEventsSkipped reports that a server left out event numbers.
var errEventsSkipped = errors.New("event numbers were skipped")

// errNotContinued reports that a server that was asked to go on with a stream answered with
// something else.
var errNotContinued = errors.New("the response does not go on with the stream")

// streamState is the state of a stream over all the servers that contributed to
// it.
type streamState struct {
	// started is set once the response header was written to the caller.
	started    bool
	eventCount int
	// lastNumber is the number of the last event that was written to the caller and had one.
	// numbered is set if there was one.
	lastNumber int64
	numbered   bool
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
	// continues is set if another attempt began the stream. before is the number of its last
	// event when this attempt's response came.
	continues bool
	before    int64
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

// lastEventID returns the ID of the event after which a server must resume the
// stream, or "" if the server must start at the beginning.
func (s *streamState) lastEventID(req *request) string {
	if s.eventCount == 0 {
		return req.lastEventID
	}
	return strconv.FormatInt(s.lastNumber, 10)
}

// relayStream passes a stream on event by event. An event is written after the
// whole event has arrived.
func (f *forwarder) relayStream(s *sending) (bool, failure) {
	buffered := f.newReservation()
	defer buffered.release()
	reader := f.newReader(s.response, &buffered)
	progress := streamProgress{continues: f.stream.started, before: f.stream.lastNumber}
	for {
		buffered.release()
		f.others.watch(s, eventPatience, 0)
		event, err := readEvent(reader)
		ended := err == io.EOF
		switch {
		case ended && !f.stream.started:
			return false, failure{reason: outcome.StreamCut, mayHaveRun: true, err: errors.New("the stream ended without an event")}
		case err != nil && !ended:
			_, f.stream.brokeInside = reader.Cut()
			return false, failure{reason: readErrorReason(err), mayHaveRun: true, err: err}
		}
		if f.goesOn = f.others.spoke(); f.goesOn != nil {
			return false, failure{mayHaveRun: true}
		}
		if ended && !f.endsStream(s.response, &progress) {
			return false, failure{reason: outcome.ResponseMismatch, mayHaveRun: true, err: errNotContinued}
		}
		if ended {
			f.recordAnswered(&s.attempt, isDelimited(s.response.Response))
			f.recordCompleted(s.attempt.Server.ID, http.StatusOK)
			return true, failure{}
		}
		if progress.continues && isForeign(event) {
			return false, failure{reason: outcome.ResponseMismatch, mayHaveRun: true, err: errNotContinued}
		}
		if failed, ok := f.writeEvent(s.response, &s.attempt, event); !ok {
			return false, failed
		}
		if progress.isSound(f.stream.lastAt) {
			f.recordAnswered(&s.attempt, true)
		}
	}
}

// continuesStream reports whether a successful response may go on with the stream that another
// response began, as far as its head shows.
func (f *forwarder) continuesStream(response *backendclient.Response) bool {
	return response.StatusCode == http.StatusOK && mediaType(response.Header) == f.stream.mediaType
}

// endsStream reports whether the regular end of an attempt's response is the end of the stream. A
// response that brings no event ends a stream that another one began only if it states its own end,
// and nothing shows that there is one more event.
func (f *forwarder) endsStream(response *backendclient.Response, p *streamProgress) bool {
	if !p.continues || f.stream.lastNumber > p.before {
		return true
	}
	return isDelimited(response.Response) && !f.stream.brokeInside
}

// mediaType returns the media type that a header states, without its parameters.
func mediaType(h http.Header) string {
	text, _, _ := strings.Cut(h.Get("Content-Type"), ";")
	return strings.ToLower(strings.TrimSpace(text))
}

// isForeign reports whether an event can't be one of a stream that goes on: it has no number, and
// more than comments. A stream without numbers does not go on.
func isForeign(event eventstream.Block) bool {
	_, numbered := event.Number()
	return !numbered && event.HasFields
}

// readEvent reads one event, or what stands between two of them.
func readEvent(r *eventstream.Reader) (eventstream.Block, error) {
	event, err := r.Next()
	if err == nil && !event.Ends {
		err = errors.New("an event exceeds the size limit")
	}
	return event, err
}

// newReader returns a reader of a response's events, which reserves the memory for them.
func (f *forwarder) newReader(response *backendclient.Response, buffered *reservation) *eventstream.Reader {
	return eventstream.NewReader(response, eventstream.Options{
		MaxBlock: maxEventBytes, Continues: f.stream.started, EndIsStated: isDelimited(response.Response),
		Grow: buffered.growEvent,
	})
}

// writeEvent passes one event on to the caller. It returns false if the attempt
// is over.
func (f *forwarder) writeEvent(response *backendclient.Response, a *balancer.Attempt, event eventstream.Block) (failure, bool) {
	s := &f.stream
	number, numbered := event.Number()
	if numbered && s.eventCount > 0 {
		if number <= s.lastNumber {
			// The server resumed the stream at an earlier event than requested.
			// The caller already has this event.
			return failure{}, true
		}
		if number != s.lastNumber+1 {
			return failure{reason: outcome.ResponseMismatch, mayHaveRun: true, err: errEventsSkipped}, false
		}
	}
	if f.handler.Selector.RecordFirstEvent(a) {
		f.countUsage()
	}
	if s.started {
		f.handler.Selector.RecordEvent(a)
	} else {
		f.handler.recordOrigin(f.request, a)
	}
	if numbered {
		s.lastNumber, s.numbered = number, true
	}
	return f.passEvent(response, event.Raw)
}

// passEvent writes an event to the caller, with the response's header before the first one. It
// returns false if the caller has left.
func (f *forwarder) passEvent(response *backendclient.Response, event []byte) (failure, bool) {
	s := &f.stream
	if !s.started {
		s.started = true
		s.mediaType = mediaType(response.Header)
		s.firstAfter = time.Since(f.request.arrived)
		f.class.ObserveFirstToken(s.firstAfter)
		copyHeader(f.w, platform.ForwardedResponseHeader(response.Header))
		f.w.WriteHeader(response.StatusCode)
	} else {
		gap := time.Since(s.lastAt)
		s.longestGap = max(s.longestGap, gap)
		f.class.ObserveGap(gap)
	}
	s.lastAt = time.Now()
	s.eventCount++
	s.brokeInside = false
	if _, err := f.w.Write(event); err != nil {
		f.writeErr = err
		return failure{reason: outcome.CallerLeft, mayHaveRun: true, err: err}, false
	}
	if err := http.NewResponseController(f.w).Flush(); err != nil {
		f.writeErr = err
		return failure{reason: outcome.CallerLeft, mayHaveRun: true, err: err}, false
	}
	return failure{}, true
}
