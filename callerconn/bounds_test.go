package callerconn

import (
	"io"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"strings"
	"testing"
	"time"

	"bergamotpin.example/bergamotpin/memoryaccount"
)

// TestHeadIsCountedToItsEnd guards against a head that is taken for ended too early, as after empty
// lines before it, or for longer than it is.
func TestHeadIsCountedToItsEnd(t *testing.T) {
	for text, want := range map[string]headCounter{
		"\r\n\r\nGET / HTTP/1.1\r\n":         {bytes: 20, lines: 1},
		"GET / HTTP/1.1\r\na: b\r\n\r\nbody": {bytes: 24, lines: 2, ended: true},
		"GET / HTTP/1.1\na: b\n\nbody":       {bytes: 21, lines: 2, ended: true},
		"GET / HTTP/1.1\r\na":                {bytes: 17, lines: 1, lineBytes: 1},
	} {
		for _, size := range []int{1, 3, len(text)} {
			var got headCounter
			for part := range slices.Chunk([]byte(text), size) {
				got.add(part)
			}
			if got != want {
				t.Errorf("%q in parts of %d: got %+v, want %+v", text, size, got, want)
			}
		}
	}
}

// TestWhoMakesRoom guards against a request that was read, or a caller that just came, being ended
// for others while there are connections on which nothing happens.
func TestWhoMakesRoom(t *testing.T) {
	many, few := netip.MustParseAddr("10.0.0.1"), netip.MustParseAddr("10.0.0.2")
	occupants := []occupant{
		{many, serving, time.Hour}, {few, idle, time.Hour}, {many, unused, unusedPatience / 2}, {many, readingHead, 2 * headPatience},
		{many, readingBody, 2 * bodyPatience}, {many, writing, writePatience / 2}, {many, idle, 0},
	}
	if got, want := makeRoom(occupants, 10), []int{4, 3, 6, 1}; !slices.Equal(got, want) {
		t.Errorf("got %v, want %v", got, want)
	}
	if got := makeRoom(occupants, 1); !slices.Equal(got, []int{4}) {
		t.Errorf("got %v, want only the first", got)
	}
}

// boundedServer serves on a loopback address with bounds.
func boundedServer(t *testing.T, b Bounds, handler http.HandlerFunc) (*Tracker, string) {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	tracker := NewBounded(b)
	server := &http.Server{Handler: handler, ConnState: tracker.TrackState, ConnContext: ConnContext}
	go func() { _ = server.Serve(tracker.Listen(l)) }()
	t.Cleanup(func() { _ = server.Close() })
	return tracker, l.Addr().String()
}

// exchange writes text to a new connection and returns what comes back until its end.
func exchange(t *testing.T, address, text string) string {
	t.Helper()
	conn, err := net.Dial("tcp4", address)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(5 * time.Second))
	if _, err := io.WriteString(conn, text); err != nil {
		t.Fatal(err)
	}
	answer, _ := io.ReadAll(conn)
	return string(answer)
}

// TestHeadsAreBounded guards against heads that are read on above the limit or without memory, and
// against memory that isn't given back.
func TestHeadsAreBounded(t *testing.T) {
	account := memoryaccount.New(1<<20, time.Second)
	b := Bounds{HeadBytes: func() int { return 16 << 10 }, Account: account}
	tracker, address := boundedServer(t, b, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) })
	const start = "GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n"
	for _, c := range []struct{ fields, want string }{
		{"a: b\r\n\r\n", "204"},
		{"a: " + strings.Repeat("b", 16<<10), "431"},
		{strings.Repeat("a:\r\n", 3000), "503"},
		{"a: b\r\n\r\n", "204"},
	} {
		if got := exchange(t, address, start+c.fields); !strings.HasPrefix(got, "HTTP/1.1 "+c.want) {
			t.Errorf("a head with %d more bytes: got %q, want status %s", len(c.fields), got, c.want)
		}
	}
	awaitCount(t, "open connections", 0, tracker.Count)
	if used := account.Usage().Used; used != 0 {
		t.Errorf("%d bytes are held after the last connection has ended", used)
	}
	if r := tracker.Refusals(); r.HeadTooLarge != 1 || r.HeadShort != 1 {
		t.Errorf("got %+v, want one head too large and one without memory", r)
	}
}

// TestBodyThatWasReadIsNotEnded guards against a request that is passed on and then ended for others.
func TestBodyThatWasReadIsNotEnded(t *testing.T) {
	read, goOn := make(chan bool, 2), make(chan struct{})
	tracker, address := boundedServer(t, Bounds{}, func(w http.ResponseWriter, r *http.Request) {
		OpenBody(r.Context())
		_, err := io.Copy(io.Discard, r.Body)
		read <- CloseBody(r.Context()) && err == nil
		<-goOn
		w.WriteHeader(http.StatusNoContent)
	})
	const start = "POST / HTTP/1.1\r\nHost: h\r\nConnection: close\r\nContent-Length: 2\r\n\r\n"
	answers := make(chan string, 2)
	go func() { answers <- exchange(t, address, start+"ab") }()
	if !<-read {
		t.Error("a body that came whole counts as ended")
	}
	go func() { answers <- exchange(t, address, start+"a") }()
	awaitCount(t, "open connections", 2, tracker.Count)
	time.Sleep(bodyPatience + 100*time.Millisecond)
	tracker.mu.Lock()
	tracker.endStill(time.Now())
	tracker.mu.Unlock()
	if <-read {
		t.Error("a body without its end counts as read")
	}
	close(goOn)
	if first := <-answers; !strings.HasPrefix(first, "HTTP/1.1 204") {
		t.Errorf("got %q, want status 204", first)
	}
	if r := tracker.Refusals(); r.MadeRoom != 1 {
		t.Errorf("%d connections made room, want 1", r.MadeRoom)
	}
}
