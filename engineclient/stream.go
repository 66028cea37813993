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

// maxFrameBytes is the largest size of one frame of a stream.
const maxFrameBytes = 1 << 20

// doneData is the data of the last frame of a stream.
const doneData = "[DONE]"

// ErrStreamCut reports a stream that ended before its last frame.
var ErrStreamCut = errors.New("engineclient: the stream was cut")

// Frame is one frame of a streamed response.
type Frame struct {
	// Seq is the frame's number, counted from 1, or 0 if the server does not
	// number its frames.
	Seq  uint64
	Data string
}

// StreamRequest is one attempt at a streamed completion.
type StreamRequest struct {
	Address string
	// Attempt identifies the attempt. It is unique over all attempts of all
	// requests.
	Attempt  string
	Priority int
	// HoldTimeout is how long the server keeps the stream after its connection
	// breaks.
	HoldTimeout time.Duration
	Body        []byte
}

// Stream is a streamed response that is being read. It is not safe for
// concurrent use.
type Stream struct {
	resp    *http.Response
	lastSeq uint64
}

// Complete sends a request for a streamed completion and returns when the
// response's header has arrived. Errors are *SendError and *ResponseError.
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

// Resume reopens a stream whose connection broke. The server sends the frames
// after lastSeq and does not start the request again. Errors are those of
// Complete.
func (c *Client) Resume(ctx context.Context, address, attempt string, lastSeq uint64) (*Stream, error) {
	header := http.Header{
		"Accept":        {"text/event-stream"},
		"Last-Event-Id": {strconv.FormatUint(lastSeq, 10)},
	}
	return c.open(ctx, Request{
		Method: http.MethodGet, Address: address, Path: engineapi.PathStreams + attempt, Header: header,
	}, lastSeq)
}

// open sends the request and returns the stream that begins after frame
// lastSeq.
func (c *Client) open(ctx context.Context, r Request, lastSeq uint64) (*Stream, error) {
	resp, err := c.Do(ctx, r)
	if err != nil {
		return nil, err
	}
	if err := checkStatus(resp); err != nil {
		return nil, err
	}
	return &Stream{resp: resp, lastSeq: lastSeq}, nil
}

// Close closes the response. Unless the stream was read to its end, this closes
// the connection.
func (s *Stream) Close() error { return s.resp.Body.Close() }

// LastSeq returns the number of the last frame that Frames yielded. Before the
// first frame it is the number given to Resume, or 0.
func (s *Stream) LastSeq() uint64 { return s.lastSeq }

// Frames yields the frames in order, each of them once. Duplicate frames and
// frames with a lower number than the last one yielded are dropped. The
// iteration ends without an error after the last frame of the response, and
// with ErrStreamCut if the connection ends earlier or a frame is missing.
func (s *Stream) Frames() iter.Seq2[Frame, error] {
	return func(yield func(Frame, error) bool) {
		cfg := &sse.ReadConfig{MaxEventSize: maxFrameBytes}
		for event, err := range sse.Read(s.resp.Body, cfg) {
			if err != nil {
				yield(Frame{}, errors.Wrap(ErrStreamCut, err.Error()))
				return
			}
			if event.Data == doneData {
				return
			}
			frame, status := s.nextFrame(event)
			if status == frameMissing {
				yield(Frame{}, errors.Wrap(ErrStreamCut, "a frame is missing"))
				return
			}
			if status == frameNew && !yield(frame, nil) {
				return
			}
		}
		yield(Frame{}, ErrStreamCut)
	}
}

// frameStatus says how a frame's number relates to the number of the frame
// before it.
type frameStatus uint8

const (
	frameNew frameStatus = iota
	frameDuplicate
	frameMissing
)

// nextFrame reads the number of an event and returns the event as a frame. It
// records the number if the frame is new.
func (s *Stream) nextFrame(event sse.Event) (Frame, frameStatus) {
	seq, err := strconv.ParseUint(event.LastEventID, 10, 64)
	if err != nil {
		return Frame{Data: event.Data}, frameNew
	}
	if seq <= s.lastSeq {
		return Frame{}, frameDuplicate
	}
	if seq > s.lastSeq+1 {
		return Frame{}, frameMissing
	}
	s.lastSeq = seq
	return Frame{Seq: seq, Data: event.Data}, frameNew
}
