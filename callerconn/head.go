package callerconn

import "bytes"

// This file answers callers whose heads have no end, or more fields than they may have. It counts
// a head's bytes and lines as they arrive, before net/http makes a map of fields of them.

const (
	// headByteCost is the memory that a byte of a head takes, in bytes: its text is kept by
	// net/http, and copied into the header that goes to a server and into the message itself.
	headByteCost = 4
	// headLineCost is the memory that a field takes beside its text, in bytes: entries of the
	// maps in which the field is read, kept and sent.
	headLineCost = 512
	// freeHeadCost is the part of a head's cost that the flat cost of a connection covers. The
	// heads of nearly all requests are smaller.
	freeHeadCost = 16 << 10
)

// headCounter counts the bytes and the lines of one request's head. The zero value counts from the
// beginning of a head.
type headCounter struct {
	bytes, lines int
	// lineBytes is the length of the current line so far, without line ends.
	lineBytes int
	ended     bool
}

// add counts bytes that were read. Once the head has ended it counts nothing.
func (h *headCounter) add(p []byte) {
	for len(p) > 0 && !h.ended {
		at := bytes.IndexByte(p, '\n')
		line := p
		if at >= 0 {
			line = p[:at]
		}
		h.lineBytes += len(bytes.TrimSuffix(line, []byte{'\r'}))
		if at < 0 {
			h.bytes += len(p)
			return
		}
		h.bytes += at + 1
		h.endLine()
		p = p[at+1:]
	}
}

// endLine counts the current line. An empty line ends the head, unless it comes before the first
// line.
func (h *headCounter) endLine() {
	switch {
	case h.lineBytes > 0:
		h.lines++
	case h.lines > 0:
		h.ended = true
	}
	h.lineBytes = 0
}

// cost returns the memory that the head takes, in bytes.
func (h *headCounter) cost() int64 {
	return int64(h.bytes)*headByteCost + int64(h.lines)*headLineCost
}
