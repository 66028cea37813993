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

// doneData is the data of the frame that ends a stream.
const doneData = "[DONE]"

// ErrStreamCut reports a stream that ended before its last frame or in which a
// frame is missing.
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
	// Address is the server's IP address and port.
	Address string
	// Attempt identifies the attempt. It is unique over all attempts of all
	// requests.
	Attempt string
	// Priority is the urgency. 0 is the most urgent.
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

// Complete sends a request for a streamed completion. It returns the stream when
// the response's header has arrived. Errors are *SendError and *ResponseError.
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
// with numbers above lastSeq. It does not start the request again. Errors are
// *SendError and *ResponseError.
func (c *Client) Resume(ctx context.Context, address, attempt string, lastSeq uint64) (*Stream, error) {
	header := http.Header{
		"Accept":        {"text/event-stream"},
		"Last-Event-Id": {strconv.FormatUint(lastSeq, 10)},
	}
	return c.open(ctx, Request{
		Method: http.MethodGet, Address: address, Path: engineapi.PathStreams + attempt, Header: header,
	}, lastSeq)
}

// open sends the request and returns the stream in the response. lastSeq is the
// number of the last frame received over an earlier connection, or 0.
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

// Close closes the response. If the stream was not read to its end, Close also
// closes the connection.
func (s *Stream) Close() error { return s.resp.Body.Close() }

// LastSeq returns the number of the last frame that Frames yielded. If Frames has
// not yielded a frame yet, LastSeq returns the number given to Resume, or 0.
func (s *Stream) LastSeq() uint64 { return s.lastSeq }

// Frames yields the frames in order. It yields each frame once and drops
// duplicate and late frames. The iteration ends without an error after the last
// frame of the response. If the connection ends earlier or a frame is missing,
// the iteration ends with ErrStreamCut.
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

// frameStatus says whether a received frame is the next one in order.
type frameStatus uint8

const (
	frameNew       frameStatus = iota // the next frame, or a frame without a number
	frameDuplicate                    // the frame was received before
	frameMissing                      // at least one frame before it is missing
)

// nextFrame converts an event to a frame. If the frame is new, nextFrame records
// its number.
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
