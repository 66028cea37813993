package eventstream

import (
	"bufio"
	"bytes"
	"io"
	"iter"
	"strconv"
	"strings"
)

const (
	// readBufferBytes is the size of the read buffer of one stream.
	readBufferBytes = 2 << 10
	// maxKeptBytes is the size up to which the buffer of a block is used again for the next one.
	maxKeptBytes = 4 << 10
)

// byteOrderMark may stand before a stream and is no part of its first line.
var byteOrderMark = []byte("\xEF\xBB\xBF")

// Options configure a Reader.
type Options struct {
	// MaxBlock is the number of bytes from which on a block is returned in parts. It must be
	// above 0.
	MaxBlock int
	// Grow, if set, is called when the buffer of a block gets larger, with the new size in
	// bytes. The reader stops with its error.
	Grow func(size int) error
	// Continues is set if the stream goes on with another one, whose reader sees both as one.
	// A byte order mark is then left out, which only may stand at the very beginning.
	Continues bool
	// EndIsStated is set if the stream's regular end can be told from the end of its connection.
	EndIsStated bool
}

// Block is what a Reader returns at once: an event with the empty line that ends it, a part of
// an event that is too large to be held, or lines between two events that belong to none.
type Block struct {
	// Raw are the bytes as the server sent them. They are valid until the next call of Next.
	Raw []byte
	// HasID is set if the block sets the id of the last event, which is ID then.
	HasID bool
	ID    string
	// HasData is set if the block has a data field. Only then does its reader see an event. HasFields
	// is set if it has any field.
	HasData, HasFields bool
	// onlyRetry is set if all its fields are retry, which says nothing about events.
	onlyRetry bool
	// Begins and Ends say whether the block holds the begin and the end of its event. Both are
	// set if it is whole, or no event.
	Begins, Ends bool
}

// IsEvent reports whether the block changes what the reader of a stream has of it. Others are
// comments, empty lines, and fields that say nothing about the events, such as retry.
func (b Block) IsEvent() bool { return b.HasID || b.HasData }

// Number returns the block's id, if it has one that is a number.
func (b Block) Number() (int64, bool) {
	if !b.HasID {
		return 0, false
	}
	return parseNumber(b.ID)
}

func parseNumber(id string) (int64, bool) {
	n, err := strconv.ParseInt(strings.TrimSpace(id), 10, 64)
	return n, err == nil
}

// Data returns the text of the block's data fields.
func (b Block) Data() string {
	var data []string
	for line := range lines(b.Raw) {
		if name, value := splitField(line); string(name) == "data" {
			data = append(data, string(value))
		}
	}
	return strings.Join(data, "\n")
}

// lines returns the lines of a block without their ends.
func lines(raw []byte) iter.Seq[[]byte] {
	return func(yield func([]byte) bool) {
		raw = bytes.TrimPrefix(raw, byteOrderMark)
		for len(raw) > 0 {
			end := bytes.IndexAny(raw, "\r\n")
			if end < 0 {
				yield(raw)
				return
			}
			if !yield(raw[:end]) {
				return
			}
			if raw = raw[end:]; len(raw) > 1 && raw[0] == '\r' && raw[1] == '\n' {
				raw = raw[1:]
			}
			raw = raw[1:]
		}
	}
}

// splitField splits a line into the name and the value of its field.
func splitField(line []byte) (name, value []byte) {
	name, value, _ = bytes.Cut(line, []byte(":"))
	return name, bytes.TrimPrefix(value, []byte(" "))
}

// Reader splits a stream into blocks. It is not safe for concurrent use.
type Reader struct {
	in      *bufio.Reader
	options Options

	// buffer holds what was read and not yet returned. returned is the number of its first bytes
	// that the last call of Next returned.
	buffer   []byte
	returned int
	// lineStart is where the current line begins in the buffer, and lineBytes how much of it
	// was read. lineBegun is set while its begin was returned already.
	lineStart, lineBytes int
	lineBegun            bool
	// afterCR is set if the last line ended with a carriage return, and a line feed may follow
	// that belongs to the same end. endsCRLF is set if the last line ended with both, and endedCRLF
	// if the one before did.
	afterCR, endsCRLF, endedCRLF bool
	// awaitsLF is set if an event ended with a carriage return, and its other lines ended with both:
	// its last byte is still missing.
	awaitsLF bool
	// first is set until the first line has ended.
	first bool
	// inEvent is set from an event's first field to its end. inComment is set from when a part of a
	// comment was returned to its end, and partly while a part of either was returned.
	inEvent, inComment, partly bool
	// block is what is known of the current block.
	block Block
}

// NewReader returns a reader of the stream.
func NewReader(stream io.Reader, o Options) *Reader {
	if o.MaxBlock <= 0 {
		panic("eventstream: MaxBlock must be above 0")
	}
	return &Reader{in: bufio.NewReaderSize(stream, readBufferBytes), options: o, first: true}
}

// Cut returns what is known of the event inside which the bytes that were read end, or false if they
// end between two events. It is meant for after an error of Next.
func (r *Reader) Cut() (Block, bool) {
	if r.block.HasFields && !r.block.onlyRetry || r.awaitsLF {
		return r.block, true
	}
	if r.lineBegun {
		return r.block, r.inEvent
	}
	return r.block, mayBeginEvent(r.withoutMark(r.buffer[r.lineStart:r.lineStart+r.lineBytes]), r.first)
}

// mayBeginEvent reports whether a line that was cut may be the begin of an event. first is set if the
// line is the first one of its stream.
func mayBeginEvent(line []byte, first bool) bool {
	const retry = "retry"
	switch {
	case len(line) == 0, line[0] == ':':
		return false
	case first && bytes.HasPrefix(byteOrderMark, line):
		return false
	}
	return !strings.HasPrefix(retry, string(line)) && !bytes.HasPrefix(line, []byte(retry+":"))
}

// Next returns the next block as soon as it is there. The error is io.EOF at the end of the stream, or
// io.ErrUnexpectedEOF if it ends inside a line or an event, or that of reading or of Options.Grow.
func (r *Reader) Next() (Block, error) {
	r.drop()
	for {
		available, err := r.peek()
		if err != nil {
			return r.end(err)
		}
		skipped := r.skipLineFeed(available)
		switch {
		case r.awaitsLF:
			return r.endEvent(), nil
		case skipped && len(r.buffer) == 1 && !r.partly:
			return r.flush(1), nil
		case skipped:
			continue
		}
		ended, err := r.take(available)
		if err != nil {
			return Block{}, err
		}
		if ended && r.isBlock() {
			return r.flush(len(r.buffer)), nil
		}
		if len(r.buffer) > r.options.MaxBlock {
			return r.flushPart(), nil
		}
	}
}

// end returns what Next returns after an error of reading.
func (r *Reader) end(err error) (Block, error) {
	switch {
	case err == io.EOF && r.awaitsLF && r.options.EndIsStated:
		return r.endEvent(), nil
	case err == io.EOF && r.first && bytes.Equal(r.buffer, byteOrderMark):
		return r.endAfterMark()
	case err == io.EOF && (r.inEvent || r.lineBytes > 0):
		err = io.ErrUnexpectedEOF
	}
	return Block{}, err
}

// endAfterMark returns what Next returns at the end of a stream that consists of a byte order mark.
func (r *Reader) endAfterMark() (Block, error) {
	_ = r.endLine()
	if len(r.buffer) == 0 {
		return Block{}, io.EOF
	}
	return r.flush(len(r.buffer)), nil
}

// endEvent returns an event that has ended.
func (r *Reader) endEvent() Block {
	r.inEvent, r.awaitsLF = false, false
	return r.flush(len(r.buffer))
}

// drop removes what the last call of Next returned.
func (r *Reader) drop() {
	rest := r.buffer[r.returned:]
	if cap(r.buffer) > maxKeptBytes {
		r.buffer = bytes.Clone(rest)
	} else {
		r.buffer = r.buffer[:copy(r.buffer, rest)]
	}
	r.returned = 0
}

// peek waits for bytes, and returns all that have arrived.
func (r *Reader) peek() ([]byte, error) {
	if _, err := r.in.Peek(1); err != nil {
		return nil, err
	}
	return r.in.Peek(r.in.Buffered())
}

// skipLineFeed takes a line feed that belongs to the carriage return before it.
func (r *Reader) skipLineFeed(available []byte) bool {
	belongs := r.afterCR && available[0] == '\n'
	r.afterCR = false
	if belongs {
		r.append(available[:1])
		r.lineStart = len(r.buffer)
		r.endsCRLF = true
	}
	return belongs
}

// take takes the available bytes up to the next line end. It reports whether there was one.
func (r *Reader) take(available []byte) (bool, error) {
	end := bytes.IndexAny(available, "\r\n")
	if end < 0 {
		r.lineBytes += len(available)
		return false, r.grow(available)
	}
	r.lineBytes += end
	next := end + 1
	r.endedCRLF, r.endsCRLF = r.endsCRLF, false
	if available[end] == '\r' {
		r.endsCRLF = next < len(available) && available[next] == '\n'
		r.afterCR = !r.endsCRLF
	}
	if r.endsCRLF {
		next++
	}
	return true, r.grow(available[:next])
}

// grow appends bytes to the buffer, and asks for memory if the buffer got larger.
func (r *Reader) grow(read []byte) error {
	before := cap(r.buffer)
	r.append(read)
	if size := cap(r.buffer); size > before && r.options.Grow != nil {
		return r.options.Grow(size)
	}
	return nil
}

func (r *Reader) append(read []byte) {
	r.buffer = append(r.buffer, read...)
	// Exactly these bytes are in the reader's buffer, so this can't fail.
	_, _ = r.in.Discard(len(read))
}

// isBlock takes in the line that has just ended, and reports whether a block ends with it.
func (r *Reader) isBlock() bool {
	line := r.endLine()
	isComment := len(line) > 0 && line[0] == ':'
	switch {
	case r.inComment:
		r.inComment = false
		return true
	case r.inEvent && len(line) == 0:
		r.awaitsLF = r.afterCR && r.endedCRLF
		r.inEvent = r.awaitsLF
		return !r.awaitsLF
	case r.inEvent, !isComment && len(line) > 0:
		r.inEvent = true
		r.block.addField(line)
		return false
	}
	return !r.moreIdle()
}

// endLine returns the line that has just ended, without its end, and makes the next one the current
// one. Of a line whose begin was returned already it returns one byte, which is the name of no field.
func (r *Reader) endLine() []byte {
	line := []byte{0}
	if !r.lineBegun {
		line = r.withoutMark(r.buffer[r.lineStart : r.lineStart+r.lineBytes])
	}
	r.first, r.lineBegun, r.lineBytes, r.lineStart = false, false, 0, len(r.buffer)
	return line
}

// withoutMark returns a line without the byte order mark that may stand before the first one. If
// the stream continues another one, the mark is taken out of the buffer too.
func (r *Reader) withoutMark(line []byte) []byte {
	if !r.first || !bytes.HasPrefix(line, byteOrderMark) {
		return line
	}
	rest := len(line) - len(byteOrderMark)
	if !r.options.Continues {
		return line[len(byteOrderMark):]
	}
	r.buffer = r.buffer[:copy(r.buffer, r.buffer[len(byteOrderMark):])]
	return r.buffer[:rest]
}

// moreIdle reports whether a further line has arrived that belongs to no event, so that both can be returned
// as one block.
func (r *Reader) moreIdle() bool {
	if r.in.Buffered() == 0 || len(r.buffer) > r.options.MaxBlock {
		return false
	}
	// One byte is in the buffer, so this can't fail.
	next, _ := r.in.Peek(1)
	return next[0] == ':' || next[0] == '\n' || next[0] == '\r'
}

// addField takes in one line of an event.
func (b *Block) addField(line []byte) {
	name, value := splitField(line)
	b.onlyRetry = string(name) == "retry" && (b.onlyRetry || !b.HasFields)
	b.HasFields = true
	switch string(name) {
	case "id":
		if bytes.IndexByte(value, 0) < 0 {
			b.HasID, b.ID = true, string(value)
		}
	case "data":
		b.HasData = true
	}
}

// flush returns the first n bytes of the buffer as the rest of the current block.
func (r *Reader) flush(n int) Block {
	b := r.block
	b.Raw, b.Begins, b.Ends = r.buffer[:n], !r.partly, !r.inEvent && !r.inComment
	r.returned = n
	r.lineStart -= n
	r.partly = !b.Ends
	if b.Ends {
		r.block = Block{}
	}
	return b
}

// flushPart returns what there is of a block that is too large to be held: its whole lines, or if
// it has none, a part of a line. A line that is cut so can't set an id.
func (r *Reader) flushPart() Block {
	if r.lineStart > 0 {
		return r.flush(r.lineStart)
	}
	if !r.lineBegun {
		r.beginLongLine()
	}
	b := r.flush(len(r.buffer))
	r.lineStart, r.lineBegun = 0, true
	return b
}

// beginLongLine takes in the begin of a line that is too large to be held.
func (r *Reader) beginLongLine() {
	line := r.withoutMark(r.buffer)
	if !r.inEvent && bytes.HasPrefix(line, []byte(":")) {
		r.inComment = true
		return
	}
	r.inEvent, r.block.HasFields, r.block.onlyRetry = true, true, false
	name, _ := splitField(line)
	r.block.HasData = r.block.HasData || string(name) == "data"
}
