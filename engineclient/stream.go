package engineclient

import (
	"context"
	"iter"
	"net/http"
	"strconv"
	"time"

	"github.com/go-faster/errors"
	"github.com/tmaxmax/go-sse"

	"bergamotpin.example/bergamotpin/engineapi"
)

// maxFrameBytes bounds one frame of a stream.
const maxFrameBytes = 1 << 20

// doneData is the data of the frame that ends a stream.
const doneData = "[DONE]"

// ErrStreamCut reports a stream that broke off before its end.
var ErrStreamCut = errors.New("engineclient: the stream was cut")

// Frame is one frame of a streamed answer.
type Frame struct {
	// Seq is the frame's number from 1, or 0 if the server gives none.
	Seq  uint64
	Data string
}

// StreamRequest is one attempt at a streamed completion.
type StreamRequest struct {
	Address string
	// Attempt is unique over all attempts of all requests.
	Attempt  string
	Priority int
	// HoldTimeout is how long the server keeps the stream if the connection breaks.
	HoldTimeout time.Duration
	Body        []byte
}

// Stream is an open answer. It is not safe for concurrent use.
type Stream struct {
	resp *http.Response
	last uint64
}

// Complete sends a streamed completion and returns after the answer's head
// came. Errors are *SendError and *ResponseError.
func (c *Client) Complete(ctx context.Context, r StreamRequest) (*Stream, error) {
	header := http.Header{
		"Content-Type":          {"application/json"},
		"Accept":                {"text/event-stream"},
		engineapi.HeaderAttempt: {r.Attempt},
	}
	header.Set(engineapi.HeaderPriority, strconv.Itoa(r.Priority))
	if r.HoldTimeout > 0 {
		header.Set(engineapi.HeaderHold, strconv.FormatInt(r.HoldTimeout.Milliseconds(), 10))
	}
	return c.open(ctx, Request{
		Method: http.MethodPost, Address: r.Address, Path: engineapi.PathCompletions, Header: header, Body: r.Body,
	}, 0)
}

// Resume opens a cut stream again after frame last. It runs nothing anew.
func (c *Client) Resume(ctx context.Context, address, attempt string, last uint64) (*Stream, error) {
	header := http.Header{
		"Accept":        {"text/event-stream"},
		"Last-Event-Id": {strconv.FormatUint(last, 10)},
	}
	return c.open(ctx, Request{
		Method: http.MethodGet, Address: address, Path: engineapi.PathStreams + attempt, Header: header,
	}, last)
}

func (c *Client) open(ctx context.Context, r Request, last uint64) (*Stream, error) {
	resp, err := c.Do(ctx, r)
	if err != nil {
		return nil, err
	}
	if err := checkStatus(resp); err != nil {
		return nil, err
	}
	return &Stream{resp: resp, last: last}, nil
}

// Close ends the connection's use of the stream.
func (s *Stream) Close() error { return s.resp.Body.Close() }

// LastSeq returns the number of the last frame that Frames yielded.
func (s *Stream) LastSeq() uint64 { return s.last }

// Frames yields the frames in order, each once: doubled frames and frames of
// an older position are dropped. It ends without an error after the frame that
// ends the answer, and with ErrStreamCut if the connection ends before it or a frame
// is missing.
func (s *Stream) Frames() iter.Seq2[Frame, error] {
	return func(yield func(Frame, error) bool) {
		cfg := &sse.ReadConfig{MaxEventSize: maxFrameBytes}
		for ev, err := range sse.Read(s.resp.Body, cfg) {
			if err != nil {
				yield(Frame{}, errors.Wrap(ErrStreamCut, err.Error()))
				return
			}
			if ev.Data == doneData {
				return
			}
			frame, order := s.next(ev)
			if order == frameLost {
				yield(Frame{}, errors.Wrap(ErrStreamCut, "a frame is missing"))
				return
			}
			if order == frameFresh && !yield(frame, nil) {
				return
			}
		}
		yield(Frame{}, ErrStreamCut)
	}
}

// frameOrder says how a frame follows the last one.
type frameOrder uint8

const (
	frameFresh frameOrder = iota
	frameRepeated
	frameLost
)

// next numbers an event and says how it follows the last one.
func (s *Stream) next(ev sse.Event) (Frame, frameOrder) {
	seq, err := strconv.ParseUint(ev.LastEventID, 10, 64)
	if err != nil {
		return Frame{Data: ev.Data}, frameFresh
	}
	if seq <= s.last {
		return Frame{}, frameRepeated
	}
	if seq > s.last+1 {
		return Frame{}, frameLost
	}
	s.last = seq
	return Frame{Seq: seq, Data: ev.Data}, frameFresh
}
