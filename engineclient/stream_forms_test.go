package engineclient

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"bergamotpin.example/bergamotpin/engineapi"
	"bergamotpin.example/bergamotpin/standin/rawserver"
)

// frameForms are forms in which an engine may send a numbered frame, by the event-stream standard.
var frameForms = map[string]string{
	"plain":              "id: %d\ndata: frame %[1]d\n\n",
	"comments":           ": c\n\n:\nid: %d\n: c\ndata: frame %[1]d\n\n",
	"retry":              "retry: 10\n\nid: %d\nretry: 10\ndata: frame %[1]d\n\n",
	"id last":            "data: frame %[1]d\nid: %[1]d\n\n",
	"no space":           "id:%d\ndata:frame %[1]d\n\n",
	"other fields":       "event: e\nid: %d\nfield: 0\ndata: frame %[1]d\n\n",
	"lines of data":      "id: %d\ndata: frame\ndata\ndata: %[1]d\n\n",
	"carriage returns":   "id: %d\rdata: frame %[1]d\r\r",
	"both line ends":     "id: %d\r\ndata: frame %[1]d\r\n\r\n",
	"line of the buffer": "id: %d\ndata: " + strings.Repeat("x", 2048-len("data: ")) + "\n\n",
}

const formFrames = 3

// framesText returns the frames after the given one, and the end of the stream.
func framesText(form string, after int) string {
	var b strings.Builder
	for n := after + 1; n <= formFrames; n++ {
		fmt.Fprintf(&b, form, n)
	}
	return b.String() + "data: [DONE]\n\n"
}

// startFormEngine starts an engine that sends its frames in a form. Its first connection breaks off after
// the given number of bytes.
func startFormEngine(t *testing.T, form string, cut int) string {
	t.Helper()
	server := rawserver.Start(t, func(n int, c *net.TCPConn, r *bufio.Reader) {
		header := rawserver.ReadRequest(r)
		after, _ := strconv.Atoi(header.Get("Last-Event-Id"))
		text := framesText(form, after)
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nContent-Length: %d\r\n\r\n", len(text))
		if n == 1 {
			text = text[:cut]
		}
		_, _ = io.WriteString(c, text)
	})
	return server.Address.String()
}

// readResumed reads a stream and resumes it once if it is cut.
func readResumed(t *testing.T, address string) (data []string, err error) {
	t.Helper()
	client := NewClient(nil)
	defer client.Close()
	stream, err := client.Complete(t.Context(), StreamRequest{Address: address, Attempt: "a"})
	for range 2 {
		if err != nil {
			return data, err
		}
		for frame, failed := range stream.Frames() {
			if err = failed; err == nil {
				data = append(data, frame.Data)
			}
		}
		_ = stream.Close()
		if !errors.Is(err, ErrStreamCut) {
			return data, err
		}
		stream, err = client.Resume(t.Context(), address, "a", stream.Position())
	}
	return data, ErrStreamCut
}

// TestEachFrameFormIsResumed guards against frames that are lost or doubled because of the form in which an
// engine sends them, whole and cut at any byte.
func TestEachFrameFormIsResumed(t *testing.T) {
	for name, form := range frameForms {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			text := framesText(form, 0)
			whole, err := readResumed(t, startFormEngine(t, form, len(text)))
			if err != nil || len(whole) != formFrames {
				t.Fatalf("got the frames %q and the error %v, want %d frames", whole, err, formFrames)
			}
			for cut := range text {
				if cut > 2 && text[cut-2:cut+1] == "xxx" {
					continue
				}
				got, err := readResumed(t, startFormEngine(t, form, cut))
				if diff := cmp.Diff(whole, got); diff != "" || err != nil {
					t.Errorf("cut after %d bytes: error %v, frames (-want +got):\n%s", cut, err, diff)
				}
			}
		})
	}
}

// TestFrameWithoutNumberIsYielded guards against a frame without a number, such as an error, that is dropped
// because it is taken for a copy of the numbered one before it.
func TestFrameWithoutNumberIsYielded(t *testing.T) {
	const text = "id: 1\ndata: a\n\ndata: error\n\nid: 2\ndata: b\n\ndata: [DONE]\n\n"
	address := rawserver.Start(t, func(_ int, c *net.TCPConn, r *bufio.Reader) {
		if readAttempt(r) != "" {
			_, _ = io.WriteString(c, responseText(200, "Content-Type: text/event-stream\r\n", text))
		}
	}).Address.String()
	got, err := readResumed(t, address)
	if diff := cmp.Diff([]string{"a", "error", "b"}, got); diff != "" || err != nil {
		t.Errorf("error %v, frames (-want +got):\n%s", err, diff)
	}
}

// TestStreamWithoutNumbersIsNotResumed guards against frames without numbers that come twice, because the
// stream is resumed at its begin.
func TestStreamWithoutNumbersIsNotResumed(t *testing.T) {
	const text = "data: a\n\ndata: b\n\ndata: [DONE]\n\n"
	address := rawserver.Start(t, func(n int, c *net.TCPConn, r *bufio.Reader) {
		rawserver.ReadRequest(r)
		response := responseText(200, "Content-Type: text/event-stream\r\n", text)
		if n == 1 {
			response = strings.TrimSuffix(response, "data: [DONE]\n\n")
		}
		_, _ = io.WriteString(c, response)
	}).Address.String()
	got, err := readResumed(t, address)
	if diff := cmp.Diff([]string{"a", "b"}, got); diff != "" || !errors.Is(err, ErrNoPosition) {
		t.Errorf("error %v, want ErrNoPosition, frames (-want +got):\n%s", err, diff)
	}
}

// TestMissingFrameIsACut guards against a frame that an engine left out, and that nobody misses.
func TestMissingFrameIsACut(t *testing.T) {
	for name, text := range map[string]string{
		"the first one": "id: 2\ndata: b\n\ndata: [DONE]\n\n",
		"a later one":   "id: 1\ndata: a\n\nid: 3\ndata: c\n\ndata: [DONE]\n\n",
	} {
		t.Run(name, func(t *testing.T) {
			address := rawserver.Start(t, func(_ int, c *net.TCPConn, r *bufio.Reader) {
				rawserver.ReadRequest(r)
				_, _ = io.WriteString(c, responseText(200, "Content-Type: text/event-stream\r\n", text))
			}).Address.String()
			if got, err := readResumed(t, address); !errors.Is(err, ErrStreamCut) {
				t.Errorf("got the frames %q and the error %v, want ErrStreamCut", got, err)
			}
		})
	}
}

// TestTooLargeFrameIsTold guards against a frame that is too large to be held, and is asked for again and
// again as if the stream were cut.
func TestTooLargeFrameIsTold(t *testing.T) {
	text := "id: 1\ndata: " + strings.Repeat("x", maxFrameBytes+1) + "\n\ndata: [DONE]\n\n"
	address := rawserver.Start(t, func(_ int, c *net.TCPConn, r *bufio.Reader) {
		rawserver.ReadRequest(r)
		_, _ = io.WriteString(c, responseText(200, engineapi.HeaderAttempt+": a\r\n", text))
	}).Address.String()
	if _, err := readResumed(t, address); !errors.Is(err, ErrFrameTooLarge) {
		t.Errorf("got the error %v, want ErrFrameTooLarge", err)
	}
}
