package reverseproxy

import (
	"context"
	"io"
	"time"

	"github.com/go-faster/errors"

	"bergamotpin.example/bergamotpin/memoryaccount"
)

const (
	// firstBufferBytes is the size of the first buffer of a response, which the flat cost of a
	// connection covers.
	firstBufferBytes = 4 << 10
	// maxFirstBytes is the announced length up to which a response gets one buffer at once.
	maxFirstBytes = 64 << 10
	// assuredEventBytes is the size up to which an event of a stream is always buffered. Nearly
	// all are smaller.
	assuredEventBytes = 64 << 10
)

// errBuffersFull reports that what is held for callers leaves no memory for more of a response.
var errBuffersFull = errors.New("the memory for responses is in use")

// reservation is the memory that one response or event uses.
type reservation struct {
	memory *memoryaccount.Reservation
	bytes  int64
	// ctx ends when the caller leaves. From deadline on the response is of no use.
	ctx      context.Context
	deadline time.Time
}

// newReservation returns a reservation for responses to the request.
func (f *forwarder) newReservation() reservation {
	return reservation{
		memory: f.handler.Memory.Reserve(memoryaccount.Responses, f.request.party()),
		ctx:    f.callerCtx, deadline: f.request.deadline,
	}
}

// grow reserves memory for a buffer of the given size. It fails if too little is free.
func (r *reservation) grow(size int) error {
	more := r.missing(size)
	if more > 0 && !r.memory.TryGrow(more) {
		return errBuffersFull
	}
	r.bytes += more
	return nil
}

// growPatiently is grow, but waits until there is memory.
func (r *reservation) growPatiently(size int) error {
	more := r.missing(size)
	if more == 0 {
		return nil
	}
	ctx, cancel := context.WithDeadline(r.ctx, r.deadline)
	defer cancel()
	if err := r.memory.GrowPatiently(ctx, more); err != nil {
		return err
	}
	r.bytes += more
	return nil
}

// growEvent is grow for an event of a stream. Up to assuredEventBytes it does not fail.
func (r *reservation) growEvent(size int) error {
	if size > assuredEventBytes {
		return r.growPatiently(size)
	}
	if more := r.missing(size); more > 0 {
		r.memory.Force(more)
		r.bytes += more
	}
	return nil
}

// missing returns how much memory a buffer of the given size needs beyond what is reserved.
func (r *reservation) missing(size int) int64 {
	return max(int64(size)-firstBufferBytes-r.bytes, 0)
}

// release gives the reserved memory back.
func (r *reservation) release() {
	if r.bytes > 0 {
		r.memory.Release()
		r.bytes = 0
	}
}

// readWhole reads a body to its end. length is its announced length, or -1. It fails if
// the body is larger than limit. If the memory is used up it waits, or if mayPass is set returns
// errBuffersFull and what it has read.
func (r *reservation) readWhole(body io.Reader, length int64, limit int, mayPass bool) ([]byte, error) {
	buffer := make([]byte, 0, r.firstBuffer(length))
	for {
		if len(buffer) > limit {
			return nil, errors.New("the response body exceeds the size limit")
		}
		if len(buffer) == cap(buffer) {
			next := nextBufferBytes(cap(buffer), length, limit)
			if err := r.growBuffer(next, mayPass); err != nil {
				return buffer, err
			}
			buffer = append(make([]byte, 0, next), buffer...)
		}
		n, err := body.Read(buffer[len(buffer):cap(buffer)])
		buffer = buffer[:len(buffer)+n]
		if err == io.EOF {
			return buffer, nil
		}
		if err != nil {
			return nil, err
		}
	}
}

// growBuffer reserves memory for the next buffer of a response. If there is none, it fails if the
// response may be passed on as it is read, and waits otherwise.
func (r *reservation) growBuffer(size int, mayPass bool) error {
	if mayPass {
		return r.grow(size)
	}
	return r.growPatiently(size)
}

// firstBuffer returns the size of the first buffer, for which memory is reserved. A response that
// announces a length of up to maxFirstBytes is read into one buffer, if there is memory.
func (r *reservation) firstBuffer(length int64) int {
	if length < 0 || length > maxFirstBytes {
		return firstBufferBytes
	}
	// One more byte, since the end is known only after another read.
	size := int(length) + 1
	if r.grow(size) != nil {
		return firstBufferBytes
	}
	return size
}

// nextBufferBytes returns the size of the buffer that follows one of the given size.
func nextBufferBytes(size int, length int64, limit int) int {
	next := min(max(2*size, firstBufferBytes), limit+1)
	if length >= int64(size) && length < int64(next) {
		return int(length) + 1
	}
	return next
}
