package engineclient

import (
	"cmp"
	"context"
	"io"
	"iter"
	"net/http"
	"strconv"
	"time"

	"github.com/go-faster/errors"

	"bergamotpin.example/bergamotpin/engineapi"
	"bergamotpin.example/bergamotpin/eventstream"
)

// maxFrameBytes is the largest size of one frame of a stream. A frame is decoded, so that it must be
// held whole.
const maxFrameBytes = 1 << 20

// beforeFirstFrame is the id after which a stream is resumed of which no frame has come.
const beforeFirstFrame = "0"

// doneData is the data of the frame that ends a stream.
const doneData = "[DONE]"

// ErrStreamCut reports a stream that ended before its last frame or in which a
// frame is missing.
var ErrStreamCut = errors.New("engineclient: the stream was cut")

// ErrFrameTooLarge reports a frame that is too large to be held.
var ErrFrameTooLarge = errors.New("engineclient: a frame exceeds the size limit")

// ErrNoPosition reports a stream that can't be resumed, because its last frame has no number.
var ErrNoPosition = errors.New("engineclient: the last frame has no number")

// Frame is one frame of a streamed response.
type Frame struct {
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
	resp *http.Response
	// position is what was received, also over earlier connections.
	position eventstream.Position
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
	}, eventstream.Position{})
}

// Resume reopens a stream whose connection broke. The server sends the frames
// after the given position, which is that of the broken stream. It does not start the request again.
// Errors are *SendError, *ResponseError and ErrNoPosition.
func (c *Client) Resume(ctx context.Context, address, attempt string, after eventstream.Position) (*Stream, error) {
	last, known := after.LastEventID()
	if !known {
		return nil, ErrNoPosition
	}
	header := http.Header{
		"Accept":        {"text/event-stream"},
		"Last-Event-Id": {cmp.Or(last, beforeFirstFrame)},
	}
	// The same attempt goes on, so that its frames need no number to be told from another one's.
	return c.open(ctx, Request{
		Method: http.MethodGet, Address: address, Path: engineapi.PathStreams + attempt, Header: header,
	}, eventstream.After(last))
}

// open sends the request and returns the stream in the response. after is what was received over
// earlier connections.
func (c *Client) open(ctx context.Context, r Request, after eventstream.Position) (*Stream, error) {
	resp, err := c.Do(ctx, r)
	if err != nil {
		return nil, err
	}
	if err := checkStatus(resp); err != nil {
		return nil, err
	}
	return &Stream{resp: resp, position: after}, nil
}

// Close closes the response. If the stream was not read to its end, Close also
// closes the connection.
func (s *Stream) Close() error { return s.resp.Body.Close() }

// Position returns what Frames has yielded, together with what was received over earlier
// connections.
func (s *Stream) Position() eventstream.Position { return s.position }

// Frames yields the frames in order. It yields each frame once and drops
// duplicate and late frames. The iteration ends without an error after the last
// frame of the response. If the connection ends earlier or a frame is missing,
// the iteration ends with ErrStreamCut.
func (s *Stream) Frames() iter.Seq2[Frame, error] {
	return func(yield func(Frame, error) bool) {
		reader := eventstream.NewReader(s.resp.Body, eventstream.Options{MaxBlock: maxFrameBytes})
		follower := s.position.Follow()
		for {
			block, err := reader.Next()
			switch {
			case err == io.EOF:
				yield(Frame{}, ErrStreamCut)
				return
			case err != nil:
				yield(Frame{}, errors.Wrap(ErrStreamCut, err.Error()))
				return
			case !block.Begins || !block.Ends:
				yield(Frame{}, ErrFrameTooLarge)
				return
			}
			data := block.Data()
			if data == doneData {
				return
			}
			if err := s.checkNext(block); err != nil {
				yield(Frame{}, err)
				return
			}
			if follower.Take(block) == eventstream.New && block.HasData && !yield(Frame{Data: data}, nil) {
				return
			}
		}
	}
}

// checkNext returns an error if a frame before the given one is missing. Engines number their frames
// without gaps, from 1 (package engineapi).
func (s *Stream) checkNext(block eventstream.Block) error {
	number, numbered := block.Number()
	last, _ := s.position.Number()
	if numbered && number > last+1 {
		return errors.Wrap(ErrStreamCut, "a frame is missing")
	}
	return nil
}
