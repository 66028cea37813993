package reverseproxy

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/go-faster/errors"

	"bergamotpin.example/bergamotpin/edge/backendclient"
	"bergamotpin.example/bergamotpin/edge/balancer"
	"bergamotpin.example/bergamotpin/outcome"
	"bergamotpin.example/bergamotpin/platform"
)

const (
	// eventBufferBytes is the reader's buffer for one stream.
	eventBufferBytes = 2 << 10
	// maxEventBytes bounds one event.
	maxEventBytes = 1 << 20
)

// errOrder reports events that are not those that had to come next.
var errOrder = errors.New("the events are not in order")

// relay is the state of a stream over all its servers.
type relay struct {
	// begun is set once the head of the answer went to the caller.
	begun  bool
	events int
	// last is the number of the last event that the caller has.
	last    int64
	first   time.Duration
	lastAt  time.Time
	longest time.Duration
}

// lastID returns after which event a server has to go on, or "".
func (s *relay) lastID(c *call) string {
	if s.events == 0 {
		return c.lastSeen
	}
	return strconv.FormatInt(s.last, 10)
}

// relay passes a stream on, event by event. Each goes on only when it is whole.
func (x *exchange) relay(answer *backendclient.Response, a *balancer.Attempt) (bool, failure) {
	events := bufio.NewReaderSize(answer, eventBufferBytes)
	for {
		if err := answer.SetReadDeadline(x.call.nextEventBy(time.Now())); err != nil {
			return false, failure{reason: cutReason(err), ran: true, err: err}
		}
		event, err := readEvent(events)
		if err == io.EOF && len(event) == 0 {
			return x.endStream(a)
		}
		if err != nil {
			return false, failure{reason: cutReason(err), ran: true, err: err}
		}
		if failed, ok := x.passEvent(answer, a, event); !ok {
			return false, failed
		}
	}
}

// passEvent passes one event on. It reports false if the attempt is over.
func (x *exchange) passEvent(answer *backendclient.Response, a *balancer.Attempt, event []byte) (failure, bool) {
	s := &x.stream
	number, numbered := eventNumber(event)
	if numbered && s.events > 0 {
		if number <= s.last {
			// The server went on before the event that was asked for.
			return failure{}, true
		}
		if number != s.last+1 {
			return failure{reason: outcome.Garbled, ran: true, err: errOrder}, false
		}
	}
	x.front.Selector.RecordFirstEvent(a)
	if !s.begun {
		s.begun = true
		s.first = time.Since(x.call.arrived)
		x.class.ObserveFirstToken(s.first)
		copyHeader(x.w, platform.ForwardedResponseHeader(answer.Header))
		x.w.WriteHeader(answer.StatusCode)
	} else {
		x.front.Selector.RecordEvent(a)
		gap := time.Since(s.lastAt)
		s.longest = max(s.longest, gap)
		x.class.ObserveGap(gap)
	}
	s.lastAt = time.Now()
	if numbered {
		s.last = number
	}
	s.events++
	if _, err := x.w.Write(event); err != nil {
		return failure{reason: outcome.CallerLeft, ran: true, err: err}, false
	}
	if err := http.NewResponseController(x.w).Flush(); err != nil {
		return failure{reason: outcome.CallerLeft, ran: true, err: err}, false
	}
	return failure{}, true
}

// endStream completes the answer.
func (x *exchange) endStream(a *balancer.Attempt) (bool, failure) {
	if !x.stream.begun {
		return false, failure{reason: outcome.StreamCut, ran: true, err: errors.New("a stream without events")}
	}
	x.logAnswered(a.Server.ID, http.StatusOK)
	return true, failure{}
}

// readEvent reads the bytes of one event with the empty line behind it. An end
// inside an event is io.ErrUnexpectedEOF.
func readEvent(r *bufio.Reader) ([]byte, error) {
	var event []byte
	for {
		line, err := r.ReadSlice('\n')
		event = append(event, line...)
		switch {
		case err == io.EOF && len(event) > 0:
			return event, io.ErrUnexpectedEOF
		case err == bufio.ErrBufferFull:
		case err != nil:
			return event, err
		case len(bytes.TrimRight(line, "\r\n")) == 0 && len(event) > len(line):
			return event, nil
		}
		if len(event) > maxEventBytes {
			return nil, errors.New("an event is above the limit")
		}
	}
}

var idField = []byte("id:")

// eventNumber returns the event's id, if it is a number.
func eventNumber(event []byte) (int64, bool) {
	for line := range bytes.Lines(event) {
		if !bytes.HasPrefix(line, idField) {
			continue
		}
		n, err := strconv.ParseInt(string(bytes.TrimSpace(line[len(idField):])), 10, 64)
		return n, err == nil
	}
	return 0, false
}
