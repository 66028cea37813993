package reverseproxy

import (
	"io"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"bergamotpin.example/bergamotpin/callerconn"
	"bergamotpin.example/bergamotpin/memoryaccount"
	"bergamotpin.example/bergamotpin/outcome"
)

const (
	// firstPartBytes is the size of the first part of a body. It is covered by the flat cost of
	// the connection, so that small requests take nothing from the account.
	firstPartBytes = 4 << 10
	// maxPartBytes is the size of the largest parts.
	maxPartBytes = 64 << 10
	// maxReadOnBytes is the largest announced body that net/http may read on after a refusal, so
	// that the connection can be used again.
	maxReadOnBytes = 16 << 10
	// retryWhenRead is when a caller may return that was refused for want of memory: bodies of
	// others have been sent on by then.
	retryWhenRead = time.Second
)

// errBodyEnded reports that the connection of a body was ended so that others found room.
var errBodyEnded = errors.New("the connection was ended for others")

// body is a request's body in parts. It is held once: each part is read into its place and sent
// from there, and none is copied when the body grows.
type body struct {
	parts  [][]byte
	bytes  int
	memory *memoryaccount.Reservation
}

// release gives the memory of the body back. The request must have ended.
func (b *body) release() {
	if b.memory != nil {
		b.memory.Release()
	}
}

// readBody reads the whole body into memory, so that it can be sent again to
// another server.
func (h *Handler) readBody(req *request, w http.ResponseWriter, r *http.Request, limit int64) *refusal {
	if r.ContentLength == 0 {
		return nil
	}
	tooLarge := refuse(http.StatusRequestEntityTooLarge, outcome.BodyTooLarge, "the body is above the limit")
	if limit > 0 {
		if r.ContentLength > limit {
			return tooLarge
		}
		r.Body = http.MaxBytesReader(w, r.Body, limit)
	}
	control := http.NewResponseController(w)
	// The error is ignored: only response writers in tests don't support deadlines.
	_ = control.SetReadDeadline(req.deadline)
	callerconn.OpenBody(r.Context())
	err := req.body.read(r, limit, req.deadline, func() *memoryaccount.Reservation { return h.Memory.Reserve(memoryaccount.Bodies, req.party()) })
	if !callerconn.CloseBody(r.Context()) && err == nil {
		err = errBodyEnded
	}
	if err == nil {
		_ = control.SetReadDeadline(time.Time{})
		return nil
	}
	// The rest of the body is of no use, so the connection can't carry another request. net/http
	// reads on for a while, so that the caller can read the response.
	if end := time.Now().Add(unreadBodyTimeout); end.Before(req.deadline) {
		_ = control.SetReadDeadline(end)
	}
	w.Header().Set("Connection", "close")
	var sizeError *http.MaxBytesError
	switch {
	case errors.As(err, &sizeError):
		return tooLarge
	case errors.Is(err, memoryaccount.ErrShort):
		return refuseNotRun(outcome.MemoryShort, retryWhenRead)
	}
	return refuse(http.StatusRequestTimeout, outcome.BodyTimeout, "the body did not come whole")
}

// party is for whom the request's memory is held.
func (req *request) party() memoryaccount.Party {
	return memoryaccount.Party{Address: req.callerAddress, Organisation: req.org.Name}
}

// read reads a body to its end. It takes memory for each part before the part is read, and waits for
// it to the deadline at most; reserve is called before the first part that needs any.
func (b *body) read(r *http.Request, limit int64, deadline time.Time, reserve func() *memoryaccount.Reservation) error {
	for {
		size := b.nextPart(r.ContentLength, limit)
		if size == 0 {
			return nil
		}
		if b.bytes > 0 {
			if b.memory == nil {
				b.memory = reserve()
			}
			if err := b.memory.Grow(int64(size), deadline); err != nil {
				return err
			}
		}
		ended, err := b.readPart(r.Body, size)
		if err != nil {
			return err
		}
		if ended {
			return b.checkLength(r.ContentLength)
		}
	}
}

// readPart reads one part of the given size. ended is set if the body has ended within it.
func (b *body) readPart(from io.Reader, size int) (ended bool, err error) {
	part := make([]byte, size)
	read := 0
	for read < size && err == nil {
		var n int
		n, err = from.Read(part[read:])
		read += n
	}
	if read > 0 {
		b.parts = append(b.parts, part[:read])
		b.bytes += read
	}
	if err == io.EOF {
		return true, nil
	}
	return false, err
}

// checkLength returns an error if a body that has ended is shorter than announced.
func (b *body) checkLength(announced int64) error {
	if announced >= 0 && int64(b.bytes) < announced {
		return io.ErrUnexpectedEOF
	}
	return nil
}

// nextPart returns the size of the part to read next, or 0 if an announced body is complete. Parts
// grow with what has come, so that an announced length alone takes no memory. The byte after the
// limit is read too: only then the http.MaxBytesReader says that the body is too large.
func (b *body) nextPart(announced, limit int64) int {
	size := int64(min(max(b.bytes, firstPartBytes), maxPartBytes))
	if announced >= 0 {
		return int(min(size, announced-int64(b.bytes)))
	}
	if limit > 0 {
		size = min(size, limit-int64(b.bytes)+1)
	}
	return int(size)
}

// closeIfUnread has net/http close the connection after a refusal if more of the request's body
// may be unread than it should read on.
func closeIfUnread(w http.ResponseWriter, r *http.Request) {
	if r.ContentLength < 0 || r.ContentLength > maxReadOnBytes {
		w.Header().Set("Connection", "close")
	}
}
