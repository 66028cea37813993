package eventstream

import (
	"bytes"
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/google/go-cmp/cmp"
	"github.com/tmaxmax/go-sse"
)

const testMaxBlock = 1 << 20

// readBlocks reads a stream to its end. The blocks own their bytes.
func readBlocks(r *Reader) ([]Block, error) {
	var blocks []Block
	for {
		b, err := r.Next()
		if err != nil {
			return blocks, err
		}
		b.Raw = bytes.Clone(b.Raw)
		blocks = append(blocks, b)
	}
}

// rawOf returns the bytes of all blocks.
func rawOf(blocks []Block) string {
	var all []byte
	for _, b := range blocks {
		all = append(all, b.Raw...)
	}
	return string(all)
}

// splitReader gives the text in two reads, which meet at the given byte.
func splitReader(text string, at int) io.Reader {
	return io.MultiReader(strings.NewReader(text[:at]), strings.NewReader(text[at:]))
}

// seen is what the reader of a stream sees of an event.
type seen struct{ ID, Data string }

// seenBy returns what the reader of a stream sees, by the standard: the id of an event is the last one
// that any event had.
func seenBy(blocks []Block) []seen {
	var all []seen
	id := ""
	for _, b := range blocks {
		if b.HasID {
			id = b.ID
		}
		if b.HasData {
			all = append(all, seen{id, b.Data()})
		}
	}
	return all
}

// TestEachFormIsRead guards against forms of the standard's grammar of which an event, its id or a byte
// is lost, wherever the stream is split on its way.
func TestEachFormIsRead(t *testing.T) {
	long := strings.Repeat("x", readBufferBytes-len("data: "))
	for name, c := range map[string]struct {
		text string
		want []seen
	}{
		"id first":           {"id: 1\ndata: a\n\nid: 2\ndata: b\n\n", []seen{{"1", "a"}, {"2", "b"}}},
		"id last":            {"data: a\nid: 1\n\n", []seen{{"1", "a"}}},
		"id 0":               {"id: 0\ndata: a\n\n", []seen{{"0", "a"}}},
		"carriage returns":   {"id: 1\rdata: a\r\rid: 2\rdata: b\r\r", []seen{{"1", "a"}, {"2", "b"}}},
		"both":               {"id: 1\r\ndata: a\r\n\r\nid: 2\r\ndata: b\r\n\r\n", []seen{{"1", "a"}, {"2", "b"}}},
		"mixed ends":         {"id: 1\rdata: a\n\r\nid: 2\r\ndata: b\r\r\n", []seen{{"1", "a"}, {"2", "b"}}},
		"byte order mark":    {"\xEF\xBB\xBFid: 1\ndata: a\n\n", []seen{{"1", "a"}}},
		"no space":           {"id:1\ndata:a\n\n", []seen{{"1", "a"}}},
		"two spaces":         {"id: 1\ndata:  a\n\n", []seen{{"1", " a"}}},
		"no colon":           {"id: 1\ndata\n\n", []seen{{"1", ""}}},
		"lines of data":      {"id: 1\ndata: a\ndata\ndata: b\n\n", []seen{{"1", "a\n\nb"}}},
		"comments":           {": c\n\n:\nid: 1\n: c\ndata: a\n\n: c\n", []seen{{"1", "a"}}},
		"retry and others":   {"retry: 10\n\nevent: e\nid: 1\nother: x\ndata: a\n\n", []seen{{"1", "a"}}},
		"empty lines":        {"\n\nid: 1\ndata: a\n\n\n\n", []seen{{"1", "a"}}},
		"two ids":            {"id: 1\nid: 2\ndata: a\n\n", []seen{{"2", "a"}}},
		"id with a zero":     {"id: 1\ndata: a\n\nid: 2\x00\ndata: b\n\n", []seen{{"1", "a"}, {"1", "b"}}},
		"id without data":    {"id: 1\n\ndata: a\n\n", []seen{{"1", "a"}}},
		"line of the buffer": {"id: 1\ndata: " + long + "\n\nid: 2\ndata: b\n\n", []seen{{"1", long}, {"2", "b"}}},
		"two of them":        {"id: 1\ndata: " + long + "\n" + "data: " + long + "\n\n", []seen{{"1", long + "\n" + long}}},
		"line of two":        {"id: 1\ndata: " + long + strings.Repeat("y", readBufferBytes) + "\r\n\r\n", []seen{{"1", long + strings.Repeat("y", readBufferBytes)}}},
	} {
		t.Run(name, func(t *testing.T) {
			for at := range len(c.text) + 1 {
				blocks, err := readBlocks(NewReader(splitReader(c.text, at), Options{MaxBlock: testMaxBlock}))
				if err != io.EOF || rawOf(blocks) != c.text {
					t.Fatalf("split at %d: got %q and the error %v, want all bytes and io.EOF", at, rawOf(blocks), err)
				}
				if diff := cmp.Diff(c.want, seenBy(blocks)); diff != "" {
					t.Fatalf("split at %d: events (-want +got):\n%s", at, diff)
				}
			}
		})
	}
}

// TestBlocksComeAsSoonAsTheyEnd guards against an event, or a sign of life, that waits for the bytes
// after it.
func TestBlocksComeAsSoonAsTheyEnd(t *testing.T) {
	for _, text := range []string{
		"id: 1\ndata: a\n\n", "id: 1\rdata: a\r\r", "id: 1\r\ndata: a\r\n\r\n", "id: 1\ndata: a\n\r", ": comment\n", ": comment\r", "\n",
	} {
		errLate := errors.New("read on")
		r := NewReader(io.MultiReader(strings.NewReader(text), iotest.ErrReader(errLate)), Options{MaxBlock: testMaxBlock})
		if b, err := r.Next(); err != nil || string(b.Raw) != text {
			t.Errorf("got %q and the error %v, want %q before the next read", b.Raw, err, text)
		}
	}
}

// TestCutStreamIsTold guards against a stream that breaks off and counts as ended, and against a comment
// that counts as the begin of an event.
func TestCutStreamIsTold(t *testing.T) {
	for text, want := range map[string]struct {
		err    error
		inside bool
	}{
		"id: 1\ndata: a\n\n":          {io.EOF, false},
		"id: 1\rdata: a\r\r":          {io.EOF, false},
		"id: 1\ndata: a\n\n:":         {io.ErrUnexpectedEOF, false},
		"id: 1\ndata: a\n\n: c\n":     {io.EOF, false},
		"id: 1\ndata: a\n\ni":         {io.ErrUnexpectedEOF, true},
		"id: 1\ndata: a\n\nid: 2\n":   {io.ErrUnexpectedEOF, true},
		"id: 1\rdata: a\r\r\n":        {io.EOF, false},
		"id: 1\r\ndata: a\r\n\r":      {io.ErrUnexpectedEOF, true},
		"id: 1\r\ndata: a\r\n\r\n":    {io.EOF, false},
		"id: 1\r\ndata: a\r\n\r: c\n": {io.EOF, false},
		"retry: 1\n\nre":              {io.ErrUnexpectedEOF, false},
		"retry: 1\n\nretry: 1\n":      {io.ErrUnexpectedEOF, false},
		"retry: 1\nid: 1\n":           {io.ErrUnexpectedEOF, true},
		"event: e\n":                  {io.ErrUnexpectedEOF, true},
		"retryx":                      {io.ErrUnexpectedEOF, true},
		"\xEF\xBB":                    {io.ErrUnexpectedEOF, false},
		"\xEF\xBB\xBF":                {io.EOF, false},
		"\xEF\xBB\xBFi":               {io.ErrUnexpectedEOF, true},
	} {
		r := NewReader(strings.NewReader(text), Options{MaxBlock: testMaxBlock})
		_, err := readBlocks(r)
		if _, inside := r.Cut(); err != want.err || inside != want.inside {
			t.Errorf("%q: got the error %v and inside %v, want %v and %v", text, err, inside, want.err, want.inside)
		}
	}
}

// TestStatedEndAfterCarriageReturn guards against a last event that is lost because its lines end in
// different ways, where the end of the stream is stated.
func TestStatedEndAfterCarriageReturn(t *testing.T) {
	const text = "id: 1\r\ndata: a\r\n\r"
	blocks, err := readBlocks(NewReader(strings.NewReader(text), Options{MaxBlock: testMaxBlock, EndIsStated: true}))
	if err != io.EOF || rawOf(blocks) != text {
		t.Errorf("got %q and the error %v, want all of it", rawOf(blocks), err)
	}
}

// TestLargeEventComesInParts guards against events that are refused, or held without bound, because of
// their size, and against an id that is lost with them.
func TestLargeEventComesInParts(t *testing.T) {
	large := strings.Repeat("x", 100)
	for _, text := range []string{
		"id: 1\ndata: " + large + "\n\nid: 2\ndata: b\n\n",
		"data: " + large + "\nid: 1\n\nid: 2\ndata: b\n\n",
		"id: 1\ndata: a\ndata: " + large + "\ndata: c\r\n\r\n: " + large + "\n\nid: 2\ndata: b\n\n",
		strings.Repeat("data: 0123456789\n", 20) + "id: 1\n\nid: 2\ndata: b\n\n",
		strings.Repeat(": 0123456789\n", 20) + "id: 1\ndata: " + large + "\n\nid: 2\ndata: b\n\n",
	} {
		for at := range len(text) + 1 {
			const max = 40
			blocks, err := readBlocks(NewReader(splitReader(text, at), Options{MaxBlock: max}))
			if err != io.EOF || rawOf(blocks) != text {
				t.Fatalf("%q split at %d: got %q and the error %v, want all bytes", text, at, rawOf(blocks), err)
			}
			var ids []string
			for _, b := range blocks {
				if b.Ends && b.HasID {
					ids = append(ids, b.ID)
				}
			}
			if diff := cmp.Diff([]string{"1", "2"}, ids); diff != "" {
				t.Fatalf("%q split at %d: ids (-want +got):\n%s", text, at, diff)
			}
		}
	}
}

// TestMarkOfContinuedStreamIsLeftOut guards against a byte order mark in the middle of what a caller
// gets, which takes the id from the event after it.
func TestMarkOfContinuedStreamIsLeftOut(t *testing.T) {
	const text = "id: 2\ndata: b\n\n"
	for _, max := range []int{2, testMaxBlock} {
		blocks, err := readBlocks(NewReader(strings.NewReader("\xEF\xBB\xBF"+text), Options{MaxBlock: max, Continues: true}))
		if err != io.EOF || rawOf(blocks) != text {
			t.Errorf("with blocks of up to %d bytes: got %q and the error %v, want %q", max, rawOf(blocks), err, text)
		}
	}
}

// TestMemoryIsAskedFor guards against buffers that grow although there is no memory for them.
func TestMemoryIsAskedFor(t *testing.T) {
	errFull := errors.New("full")
	grow := func(size int) error {
		if size > 10_000 {
			return errFull
		}
		return nil
	}
	r := NewReader(strings.NewReader("data: "+strings.Repeat("x", 100_000)+"\n\n"), Options{MaxBlock: testMaxBlock, Grow: grow})
	if _, err := r.Next(); err != errFull {
		t.Errorf("got the error %v, want the one of Grow", err)
	}
}

// FuzzReader compares the events of the reader with those of the library go-sse, and guards against
// bytes that are lost, and against results that depend on where the stream is split.
func FuzzReader(f *testing.F) {
	for _, text := range []string{
		"id: 1\ndata: a\n\n", "\xEF\xBB\xBFid: 0\r\ndata: a\r\n\r\n: c\r\rretry: 1\n\nid\ndata\n\n", "data: a\rid: 1\r\rid: 2\x00\ndata: b\n\n",
	} {
		f.Add(text, 3)
	}
	f.Fuzz(func(t *testing.T, text string, at int) {
		at = max(0, min(at, len(text)))
		blocks, err := readBlocks(NewReader(splitReader(text, at), Options{MaxBlock: testMaxBlock}))
		if raw := rawOf(blocks); !strings.HasPrefix(text, raw) || err == io.EOF && raw != text {
			t.Fatalf("got the bytes %q and the error %v", raw, err)
		}
		var want []seen
		for event, err := range sse.Read(strings.NewReader(rawOf(blocks)), &sse.ReadConfig{MaxEventSize: testMaxBlock}) {
			if err != nil {
				t.Fatal(err)
			}
			want = append(want, seen{event.LastEventID, event.Data})
		}
		// The library also returns blocks without data, which the reader of a stream does not see.
		got := seenBy(blocks)
		if diff := cmp.Diff(withoutEmpty(want), withoutEmpty(got)); diff != "" {
			t.Fatalf("events (-library +got):\n%s", diff)
		}
		whole, _ := readBlocks(NewReader(strings.NewReader(text), Options{MaxBlock: testMaxBlock}))
		if diff := cmp.Diff(seenBy(whole), got); diff != "" {
			t.Fatalf("events (-unsplit +split at %d):\n%s", at, diff)
		}
		parts, _ := readBlocks(NewReader(splitReader(text, at), Options{MaxBlock: 16}))
		if raw := rawOf(parts); !strings.HasPrefix(text, raw) || len(raw) < len(rawOf(blocks)) {
			t.Fatalf("in parts: got the bytes %q, want at least those of the blocks", raw)
		}
	})
}

// withoutEmpty leaves out events with empty data.
func withoutEmpty(all []seen) []seen {
	var rest []seen
	for _, s := range all {
		if s.Data != "" {
			rest = append(rest, s)
		}
	}
	return rest
}
