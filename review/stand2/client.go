package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"time"
)

const (
	host   = "site.example"
	apiKey = "key-of-one"
)

// request is one attempt of a client, on a connection of its own.
type request struct {
	kind, method, path string
	body               string
	deadline           time.Duration
	// pace is the pause after each piece of pieceBytes that a slow reader takes. 0 means that the
	// client reads as fast as it can. leaves is when the client leaves, or 0.
	pace   time.Duration
	leaves time.Duration
}

const pieceBytes = 16 << 10

// answer is what became of a request. status is 0 if there was no answer.
type answer struct {
	id       string
	status   int
	bytes    int
	complete bool
	stamped  bool
	left     bool
	text     string
	took     time.Duration
}

// served reports whether the answer is a success of a replica that came whole.
func (a answer) served() bool { return a.status/100 == 2 && a.complete && a.stamped }

// do sends the request to an entry instance, reads the answer and records both.
func (r request) do(rec *record, e *entry) answer {
	id := fmt.Sprintf("%016x", rand.Uint64())
	rec.line("sent", "request", id, "kind", r.kind, "path", r.path, "to", e.name)
	start := time.Now()
	a := r.attempt(e, id, start)
	a.id, a.took = id, time.Since(start)
	rec.line("answered", "request", id, "kind", r.kind, "status", a.status, "bytes", a.bytes, "complete", a.complete, "left", a.left, "ms", a.took.Milliseconds(), "text", a.text)
	return a
}

func (r request) attempt(e *entry, id string, start time.Time) (a answer) {
	conn, err := net.DialTimeout("tcp4", e.callers, time.Second)
	if err != nil {
		return a
	}
	defer func() { _ = conn.Close() }()
	end := start.Add(r.deadline)
	if r.leaves > 0 {
		end = start.Add(r.leaves)
	}
	_ = conn.SetDeadline(end)
	if r.pace > 0 {
		_ = conn.(*net.TCPConn).SetReadBuffer(4 * pieceBytes)
	}
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Bergamotpin-Request-Id: %s\r\nX-Bergamotpin-Deadline-Ms: %d\r\nX-Api-Key: %s\r\n",
		r.method, r.path, host, id, r.deadline.Milliseconds(), apiKey)
	if r.method != http.MethodGet {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(r.body))
	}
	b.WriteString("\r\n" + r.body)
	if _, err := io.WriteString(conn, b.String()); err != nil {
		a.left = !time.Now().Before(end)
		return a
	}
	resp, err := http.ReadResponse(bufio.NewReaderSize(conn, 4<<10), &http.Request{Method: r.method})
	if err != nil {
		a.left = !time.Now().Before(end)
		return a
	}
	a.status, a.stamped = resp.StatusCode, resp.Header.Get("X-Bergamotpin-Server-Stamp") != ""
	piece := make([]byte, pieceBytes)
	for {
		n, err := io.ReadFull(resp.Body, piece)
		if err == io.ErrUnexpectedEOF && (resp.ContentLength < 0 || a.bytes+n == int(resp.ContentLength)) {
			err = io.EOF
		}
		a.bytes += n
		if a.status != http.StatusOK && len(a.text) < 60 {
			a.text += strings.ReplaceAll(strings.TrimSpace(string(piece[:min(n, 60)])), " ", "_")
		}
		if err != nil {
			a.complete = err == io.EOF
			a.left = !a.complete && !time.Now().Before(end)
			return a
		}
		time.Sleep(r.pace)
	}
}
