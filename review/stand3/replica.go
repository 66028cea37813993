package main

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Names of the headers, as the users' pages give them.
const (
	headerID       = "X-Bergamotpin-Request-Id"
	headerStamp    = "X-Bergamotpin-Server-Stamp"
	headerExpect   = "X-Bergamotpin-Expect-Instance"
	headerNotRun   = "X-Bergamotpin-Not-Executed"
	headerDeadline = "X-Bergamotpin-Deadline-Ms"
	headerKey      = "X-Api-Key"
	headerTenant   = "X-Bergamotpin-Tenant"
	headerLast     = "Last-Event-Id"
)

// run is one request that a replica began to work on.
type run struct {
	id, replica, target, body, tenant, key string
	at                                     time.Time
}

// troubles are the chances of what a replica does wrong, as the pages allow it.
type troubles struct {
	shed, shedNoID, resetBefore, loseAnswer, truncate, extra, extraLate, extraNoID, unframed, fail, hang, early, closeAfter, own503 float64
}

// replica is a stand-in of a backend server. It speaks over raw connections.
type replica struct {
	id, service, version, address, zone string
	slots                               int
	listener                            net.Listener
	// firstEvent is the id of the first event of all streams.
	record     func(run)
	firstEvent int
	work       func() time.Duration
	// beforeFirst, if set, returns how long the first event of a stream takes. It may send a
	// comment before.
	beforeFirst func(comment func()) time.Duration
	// beforeResumed is the same for a stream that is resumed.
	beforeResumed func(comment func()) time.Duration
	// eventText, if set, returns the text of the event n of a stream whose last one is last.
	eventText func(thing string, n, last int) string

	mu       sync.Mutex
	troubles troubles
	// conns are the open connections. It is nil once the replica has crashed.
	conns map[net.Conn]bool
}

func newReplica(id, service, zone string, record func(run)) (*replica, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &replica{id: id, service: service, version: "v1", zone: zone, slots: 64, listener: l, address: l.Addr().String(), record: record, firstEvent: 1, conns: map[net.Conn]bool{}}
	r.work = func() time.Duration { return time.Duration(2+rand.IntN(20)) * time.Millisecond }
	go r.accept()
	return r, nil
}

func (r *replica) entry(state string) map[string]any {
	return map[string]any{"service": r.service, "address": r.address, "zone": r.zone, "version": r.version, "slots": r.slots,
		"state": state, "warmup_left_ms": 0, "seq": 1, "born": 1}
}

func (r *replica) accept() {
	for {
		c, err := r.listener.Accept()
		if err != nil {
			return
		}
		if r.track(c) {
			go r.serve(c)
		}
	}
}

// track notes an open connection. It returns false if the replica has crashed.
func (r *replica) track(c net.Conn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.conns == nil {
		reset(c)
		return false
	}
	r.conns[c] = true
	return true
}

// crash ends the replica: its connections are reset, and it accepts no more.
func (r *replica) crash() {
	_ = r.listener.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.conns {
		reset(c)
	}
	r.conns = nil
}

// forget takes a connection off the open ones.
func (r *replica) forget(c net.Conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.conns, c)
}

func (r *replica) setTroubles(t troubles) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.troubles = t
}

func chance(p float64) bool { return p > 0 && rand.Float64() < p }

// reset closes a connection with a reset.
func reset(c net.Conn) {
	_ = c.(*net.TCPConn).SetLinger(0)
	_ = c.Close()
}

// serve answers the requests of one connection, one at a time.
func (r *replica) serve(c net.Conn) {
	defer c.Close()
	defer r.forget(c)
	in := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		r.mu.Lock()
		t := r.troubles
		r.mu.Unlock()
		id := req.Header.Get(headerID)
		early := chance(t.early) && req.ContentLength > 8<<10
		if early {
			fmt.Fprintf(c, "HTTP/1.1 503 Service Unavailable\r\n%s: %s\r\n%s: 1\r\nContent-Length: 0\r\n\r\n", headerID, id, headerNotRun)
			time.Sleep(20 * time.Millisecond)
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		if early {
			continue
		}
		if !r.answer(c, in, req, body, t) {
			return
		}
	}
}

// answer answers one request. It returns false if the connection is not used any more.
func (r *replica) answer(c net.Conn, in *bufio.Reader, req *http.Request, body []byte, t troubles) bool {
	id := req.Header.Get(headerID)
	idLine := headerID + ": " + id + "\r\n"
	switch {
	case req.Header.Get(headerExpect) != r.id:
		fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\n%sContent-Length: 0\r\n\r\n", idLine)
		return true
	case chance(t.resetBefore):
		reset(c)
		return false
	case chance(t.shed):
		fmt.Fprintf(c, "HTTP/1.1 503 Service Unavailable\r\n%s%s: 1\r\nContent-Length: 4\r\n\r\nfull", idLine, headerNotRun)
		return true
	case chance(t.shedNoID):
		fmt.Fprintf(c, "HTTP/1.1 503 Service Unavailable\r\n%s: 1\r\nContent-Length: 0\r\n\r\n", headerNotRun)
		return true
	}
	r.record(run{id: id, replica: r.id, target: req.Method + " " + req.RequestURI, body: string(body), tenant: req.Header.Get(headerTenant), key: req.Header.Get(headerKey), at: time.Now()})
	ctx, cancel := context.WithTimeout(context.Background(), deadlineOf(req))
	defer cancel()
	gone := r.watchEnd(c, in, cancel)
	defer gone()
	if strings.HasPrefix(req.URL.Path, "/stream") {
		return r.stream(ctx, c, req, t)
	}
	select {
	case <-ctx.Done():
		return false
	case <-time.After(r.work()):
	}
	return r.whole(ctx, c, req, t)
}

func deadlineOf(req *http.Request) time.Duration {
	ms, err := strconv.ParseFloat(req.Header.Get(headerDeadline), 64)
	if err != nil {
		return 30 * time.Second
	}
	return time.Duration(ms * float64(time.Millisecond))
}

// watchEnd calls cancel if the connection ends. The returned function ends the watch.
func (r *replica) watchEnd(c net.Conn, in *bufio.Reader, cancel func()) func() {
	done := make(chan struct{})
	go func() {
		defer close(done)
		if _, err := in.Peek(1); err != nil {
			if e, ok := err.(net.Error); !ok || !e.Timeout() {
				cancel()
			}
		}
	}()
	return func() {
		_ = c.SetReadDeadline(time.Now())
		<-done
		_ = c.SetReadDeadline(time.Time{})
	}
}

// wholeBody is what a replica answers to a request that is no stream.
func wholeBody(id, replica string) string {
	return "answer to " + id + " by " + replica + strings.Repeat(".", len(id)*20)
}

func (r *replica) whole(ctx context.Context, c net.Conn, req *http.Request, t troubles) bool {
	id := req.Header.Get(headerID)
	body := wholeBody(id, r.id)
	stamp := fmt.Sprintf("%s: stamp-%s-%s\r\n", headerStamp, r.id, id)
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s", headerID, id, stamp)
	framed := head + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body)
	switch {
	case chance(t.hang):
		<-ctx.Done()
		return false
	case chance(t.loseAnswer):
		reset(c)
		return false
	case chance(t.own503):
		fmt.Fprintf(c, "HTTP/1.1 503 Service Unavailable\r\n%s: %s\r\n%sContent-Length: 8\r\n\r\nno store", headerID, id, stamp)
		return true
	case chance(t.fail):
		fmt.Fprintf(c, "HTTP/1.1 500 Internal Server Error\r\n%s: %s\r\n%sContent-Length: 5\r\n\r\nerror", headerID, id, stamp)
		return true
	case chance(t.truncate):
		_, _ = io.WriteString(c, framed[:len(framed)-1-rand.IntN(len(framed)-1)])
		if chance(0.5) {
			reset(c)
		}
		return false
	case chance(t.unframed):
		_, _ = io.WriteString(c, head+"\r\n"+body)
		return false
	case chance(t.closeAfter):
		_, _ = io.WriteString(c, head+fmt.Sprintf("Connection: close\r\nContent-Length: %d\r\n\r\n%s", len(body), body))
		return false
	}
	_, _ = io.WriteString(c, framed)
	return r.extra(c, id, framed, t)
}

// extra sends further bytes after a complete answer.
func (r *replica) extra(c net.Conn, id, framed string, t troubles) bool {
	switch {
	case chance(t.extra):
		_, _ = io.WriteString(c, framed)
	case chance(t.extraLate):
		time.Sleep(time.Duration(rand.IntN(30)) * time.Millisecond)
		_, _ = io.WriteString(c, framed)
	case chance(t.extraNoID):
		time.Sleep(time.Duration(rand.IntN(30)) * time.Millisecond)
		fmt.Fprintf(c, "HTTP/1.1 503 Service Unavailable\r\n%s: 1\r\nContent-Length: 0\r\n\r\n", headerNotRun)
	}
	return true
}

// streamLength is the number of events of a stream, which its request states.
func streamLength(req *http.Request) int {
	n, _ := strconv.Atoi(req.URL.Query().Get("events"))
	return max(n, 1)
}

func (r *replica) stream(ctx context.Context, c net.Conn, req *http.Request, t troubles) bool {
	id := req.Header.Get(headerID)
	count, from := streamLength(req), r.firstEvent
	if last := req.Header.Get(headerLast); last != "" {
		n, _ := strconv.Atoi(last)
		from = n + 1
	}
	thing := req.URL.Query().Get("thing")
	unframed := chance(t.unframed)
	framing := "Transfer-Encoding: chunked\r\n"
	if unframed {
		framing = ""
	}
	breakOff := func() bool {
		if unframed {
			reset(c)
		}
		return false
	}
	pause := func() bool {
		select {
		case <-ctx.Done():
			return breakOff()
		case <-time.After(r.work()):
			return true
		}
	}
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: stamp-%s-%s\r\nContent-Type: text/event-stream\r\n%s\r\n", headerID, id, headerStamp, r.id, id, framing)
	write := func(text string) {
		if !unframed {
			text = fmt.Sprintf("%x\r\n%s\r\n", len(text), text)
		}
		_, _ = io.WriteString(c, head+text)
		head = ""
	}
	before := r.beforeFirst
	if from > r.firstEvent && r.beforeResumed != nil {
		before = r.beforeResumed
	}
	if before != nil {
		time.Sleep(before(func() { write(": the prompt is being read\n\n") }))
	}
	for n := from; n < r.firstEvent+count; n++ {
		if !pause() {
			return false
		}
		event := fmt.Sprintf("id: %d\ndata: %s event %d of %d to %d\n\n", n, thing, n, r.firstEvent, r.firstEvent+count-1)
		if r.eventText != nil {
			event = r.eventText(thing, n, r.firstEvent+count-1)
		}
		switch {
		case chance(t.hang / 5):
			<-ctx.Done()
			return breakOff()
		case chance(t.truncate / 5):
			write(event[:1+rand.IntN(len(event)-1)])
			if unframed || chance(0.5) {
				reset(c)
			}
			return false
		case chance(t.loseAnswer / 5):
			reset(c)
			return false
		}
		write(event)
	}
	if unframed {
		return false
	}
	if head != "" {
		_, _ = io.WriteString(c, head)
	}
	_, _ = io.WriteString(c, "0\r\n\r\n")
	return r.extra(c, id, fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: stamp-x\r\nContent-Length: 3\r\n\r\nabc", headerID, id, headerStamp), t)
}

// eventsOf returns the ids of the events in a stream's text, and its other lines.
func eventsOf(text []byte) (ids []int, rest [][]byte) {
	for line := range bytes.Lines(text) {
		line = bytes.TrimSpace(line)
		if after, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			n, _ := strconv.Atoi(string(bytes.TrimSpace(after)))
			ids = append(ids, n)
		} else if len(line) > 0 && line[0] != ':' {
			rest = append(rest, line)
		}
	}
	return ids, rest
}
