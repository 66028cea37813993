package reverseproxy

import (
	"io"
	"sync/atomic"

	"github.com/go-faster/errors"
)

const (
	// unreservedBytes is the size up to which a response or an event of a stream is
	// always buffered. Nearly all are smaller.
	unreservedBytes = 64 << 10
	// firstBufferBytes is the size of the first buffer of a response without a length.
	firstBufferBytes = 4 << 10
)

// errBuffersFull reports that the larger responses that are being read leave no memory
// for more of this one.
var errBuffersFull = errors.New("the memory for responses is in use")

// bufferBudget bounds the memory in which the larger responses of all servers are held,
// so that servers that send without end can't use up the instance's memory. It is safe
// for concurrent use.
type bufferBudget struct{ free atomic.Int64 }

func newBufferBudget(bytes int64) *bufferBudget {
	b := &bufferBudget{}
	b.free.Store(bytes)
	return b
}

// reservation is the part of a budget that one response or event uses. The zero value
// reserves nothing and must get a budget before use.
type reservation struct {
	budget *bufferBudget
	bytes  int64
}

// grow reserves memory for a buffer of the given size. It fails if too little is free.
func (r *reservation) grow(size int) error {
	more := max(int64(size)-unreservedBytes, 0) - r.bytes
	if more <= 0 {
		return nil
	}
	if r.budget.free.Add(-more) < 0 {
		r.budget.free.Add(more)
		return errBuffersFull
	}
	r.bytes += more
	return nil
}

// release gives the reserved memory back.
func (r *reservation) release() {
	r.budget.free.Add(r.bytes)
	r.bytes = 0
}

// readWhole reads a body to its end. length is its announced length, or -1. It fails if
// the body is larger than limit or the budget's memory is used up.
func (r *reservation) readWhole(body io.Reader, length int64, limit int) ([]byte, error) {
	size := firstBufferBytes
	if length >= 0 && length <= int64(limit) {
		// One more byte, since the end is known only after another read.
		size = int(length) + 1
	}
	buffer := make([]byte, 0, min(size, unreservedBytes))
	for {
		if len(buffer) > limit {
			return nil, errors.New("the response body exceeds the size limit")
		}
		if len(buffer) == cap(buffer) {
			next := min(max(2*cap(buffer), firstBufferBytes), limit+1)
			if err := r.grow(next); err != nil {
				return nil, err
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
