package reverseproxy

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/tmaxmax/go-sse"

	"bergamotpin.example/bergamotpin/edge/catalog"
	"bergamotpin.example/bergamotpin/edge/streamorigin"
	"bergamotpin.example/bergamotpin/platform"
	"bergamotpin.example/bergamotpin/platform/platformtest"
	"bergamotpin.example/bergamotpin/standin/rawserver"
)

// headerCut is a header of requests to form servers: the number of bytes after which the stream of the
// first server that gets the request breaks off.
const headerCut = "Cut"

// streamForm is a form in which a sound server may send a stream: what it sends before its first
// event, and its events.
type streamForm struct {
	before string
	event  func(id int) string
}

// formIDs are the ids of the events of all forms. They increase, with gaps, from 0.
var formIDs = []int{0, 1, 4, 9}

// lineData is data whose line fills the read buffer of a stream.
var lineData = strings.Repeat("x", 2048-len("data: "))

// streamForms are the forms that the event-stream standard allows, each with one peculiarity.
var streamForms = map[string]streamForm{
	"plain":               {"", eventText("id: %d\ndata: event %[1]d\n\n")},
	"a comment before":    {": the prompt is being read\n\n", eventText("id: %d\ndata: event %[1]d\n\n")},
	"a comment line":      {": the prompt is being read\n", eventText("id: %d\ndata: event %[1]d\n\n")},
	"comments between":    {"", eventText(": c\n\n:\nid: %d\n: c\ndata: event %[1]d\n\n: c\n")},
	"retry":               {"retry: 20\n\n", eventText("retry: 20\nid: %d\ndata: event %[1]d\n\nretry: 20\n\n")},
	"byte order mark":     {"\xEF\xBB\xBF", eventText("id: %d\ndata: event %[1]d\n\n")},
	"id last":             {"", eventText("data: event %[1]d\nid: %[1]d\n\n")},
	"no space":            {"", eventText("id:%d\ndata:event %[1]d\n\n")},
	"two ids":             {"", eventText("id: 0\nid: %d\ndata: event %[1]d\n\n")},
	"other fields":        {"event: begin\nfield: 1\n\n", eventText("x-bergamotpin-weight-versions: 3\nevent: e\nid: %d\ndata: event %[1]d\nid_: 0\n\n")},
	"lines of data":       {"", eventText("id: %d\ndata: event\ndata\ndata: %[1]d\n\n")},
	"empty lines":         {"\n\n", eventText("id: %d\ndata: event %[1]d\n\n\n\n")},
	"carriage returns":    {": c\r\r", eventText("id: %d\rdata: event %[1]d\r\r")},
	"both line ends":      {": c\r\n\r\n", eventText("id: %d\r\ndata: event %[1]d\r\n\r\n")},
	"mixed line ends":     {": c\r\n\n", eventText("id: %d\ndata: event %[1]d\r\n\n")},
	"line of the buffer":  {"", eventText("id: %d\ndata: " + lineData + "\n\n")},
	"line of two buffers": {"", eventText("id: %d\ndata: " + strings.Repeat("x", 2048) + lineData + "\r\n\r\n")},
}

func eventText(format string) func(int) string {
	return func(id int) string { return fmt.Sprintf(format, id) }
}

// text returns what a server sends that goes on after the given event.
func (s streamForm) text(after string) string {
	var b strings.Builder
	b.WriteString(s.before)
	last, err := strconv.Atoi(after)
	for _, id := range formIDs {
		if err != nil || id > last {
			b.WriteString(s.event(id))
		}
	}
	return b.String()
}

// sentEvent is an event as its reader sees it.
type sentEvent struct{ ID, Data string }

// eventsOf returns the events of a stream's text as the library go-sse reads them.
func eventsOf(t *testing.T, text string) []sentEvent {
	t.Helper()
	var all []sentEvent
	for event, err := range sse.Read(strings.NewReader(text), &sse.ReadConfig{MaxEventSize: 1 << 24}) {
		if err != nil {
			t.Fatal(err)
		}
		if event.Data != "" {
			all = append(all, sentEvent{event.LastEventID, event.Data})
		}
	}
	return all
}

// formServers are servers that send their streams in one form. A request that names a cut is cut at
// the first one that gets it.
type formServers struct {
	form streamForm
	mu   sync.Mutex
	got  map[string]int
}

// addFormServers adds two of them to a fixture without servers.
func (f *fixture) addFormServers(form streamForm) *formServers {
	f.t.Helper()
	servers := &formServers{form: form, got: map[string]int{}}
	for n := range 2 {
		server := rawserver.Start(f.t, servers.answer)
		s := platformtest.BackendServer{ID: fmt.Sprint("i-", n), Service: "s", Address: server.Address.String()}
		f.putRecord(catalog.KindServer, s.ID, s.Entry("ready"))
	}
	return servers
}

func (s *formServers) answer(_ int, c *net.TCPConn, r *bufio.Reader) {
	for header := rawserver.ReadRequest(r); header != nil; header = rawserver.ReadRequest(r) {
		id := header.Get(platform.HeaderRequestID)
		s.mu.Lock()
		s.got[id]++
		first := s.got[id] == 1
		s.mu.Unlock()
		text := s.form.text(header.Get(platform.HeaderLastEvent))
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: stamp\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
			platform.HeaderRequestID, id, platform.HeaderServerStamp)
		if cut, err := strconv.Atoi(header.Get(headerCut)); err == nil && first {
			if cut > 0 {
				_, _ = fmt.Fprintf(c, "%x\r\n%s\r\n", cut, text[:cut])
			}
			return
		}
		if text != "" {
			_, _ = fmt.Fprintf(c, "%x\r\n%s\r\n", len(text), text)
		}
		_, _ = io.WriteString(c, "0\r\n\r\n")
	}
}

// newFormFixture returns an instance with form servers, or one that reaches none and hands its requests on to
// one with them.
func newFormFixture(t *testing.T, form streamForm, relayed bool) *fixture {
	t.Helper()
	f := newFixture(t, 0)
	f.addFormServers(form)
	if !relayed {
		return f
	}
	cut := newFixture(t, 0)
	cut.cutOff(f)
	return cut
}

// forEachForm runs a test with each form, at an instance that reaches servers and at one that doesn't.
func forEachForm(t *testing.T, test func(t *testing.T, form streamForm, relayed bool)) {
	for name, form := range streamForms {
		for _, relayed := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s/relayed=%v", name, relayed), func(t *testing.T) {
				t.Parallel()
				test(t, form, relayed)
			})
		}
	}
}

// TestEachStreamFormIsPassedOnUnchanged guards against an event, such as one with the id 0 after a comment, or
// a byte that a stream loses on its way.
func TestEachStreamFormIsPassedOnUnchanged(t *testing.T) {
	forEachForm(t, func(t *testing.T, form streamForm, relayed bool) {
		f := newFormFixture(t, form, relayed)
		for _, path := range []string{pathStream, pathResumable} {
			got := f.do(f.request(path))
			f.expectStatus(got, http.StatusOK)
			if want := form.text(""); got.body != want {
				t.Errorf("got %q, want %q", got.body, want)
			}
		}
	})
}

// cutsPerFixture is how many streams one fixture cuts, fewer than its retry budget allows.
const cutsPerFixture = 20

// TestEachStreamFormGoesOnAfterACut guards against events that are lost, doubled or joined where a stream
// breaks off at any byte and another server goes on with it, and against one that is then cut or never ends.
func TestEachStreamFormGoesOnAfterACut(t *testing.T) {
	forEachForm(t, func(t *testing.T, form streamForm, relayed bool) {
		text := form.text("")
		want := eventsOf(t, text)
		var f *fixture
		for n, cut := range cutsOf(text) {
			if n%cutsPerFixture == 0 {
				f = newFormFixture(t, form, relayed)
			}
			r := f.request(pathResumable)
			r.Header.Set(headerCut, strconv.Itoa(cut))
			got := f.do(r)
			if got.status != http.StatusOK || got.err != nil {
				t.Errorf("cut after %d bytes: got status %d and the error %v, want a complete stream", cut, got.status, got.err)
			}
			if diff := cmp.Diff(want, eventsOf(t, got.body)); diff != "" {
				t.Errorf("cut after %d bytes: events (-want +got):\n%s", cut, diff)
			}
		}
	})
}

// cutsOf returns where to cut a stream: after each byte, but inside long runs of one byte only
// at their ends.
func cutsOf(text string) []int {
	var cuts []int
	for n := range len(text) + 1 {
		if n < 2 || n >= len(text) || text[n-2] != text[n-1] || text[n-1] != text[n] || text[n] != 'x' {
			cuts = append(cuts, n)
		}
	}
	return cuts
}

// TestEachStreamFormIsTakenUp guards against a stream that its caller takes up and that is cut, or goes on at
// another event, in particular after a comment, and against one that never ends because its caller has
// all events.
func TestEachStreamFormIsTakenUp(t *testing.T) {
	forEachForm(t, func(t *testing.T, form streamForm, relayed bool) {
		f := newFormFixture(t, form, relayed)
		first := f.request(pathResumable)
		f.expectStatus(f.do(first), http.StatusOK)
		for n, id := range formIDs {
			r := f.request(pathResumable)
			r.Header.Set(platform.HeaderLastEvent, strconv.Itoa(id))
			r.Header.Set(platform.HeaderResumes, first.Header.Get(platform.HeaderRequestID))
			got := f.do(r)
			f.expectStatus(got, http.StatusOK)
			want := eventsOf(t, streamForm{event: form.event}.text(strconv.Itoa(id)))
			if diff := cmp.Diff(want, eventsOf(t, got.body)); diff != "" || len(want) < len(formIDs)-n-1 {
				t.Errorf("taken up after %d: events (-want +got):\n%s", id, diff)
			}
		}
	})
}

// TestLargeEventsArePassedOn guards against events that are refused because of their size, and against
// streams of them that can't go on between two events.
func TestLargeEventsArePassedOn(t *testing.T) {
	large := strings.Repeat("x", maxEventBytes+5000)
	for name, form := range map[string]streamForm{
		"id first": {": c\n\n", eventText("id: %d\ndata: " + large + "\n\n")},
		"id last":  {": c\n\n", eventText("data: " + large + "\nid: %d\n\n")},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFormFixture(t, form, false)
			text := form.text("")
			ends := slices.Clone(formIDs)
			for n := range ends {
				ends[n] = strings.Index(text, form.event(formIDs[n])) + len(form.event(formIDs[n]))
			}
			for n, cut := range ends {
				r := f.request(pathResumable)
				r.Header.Set(headerCut, strconv.Itoa(cut))
				got := f.do(r)
				if got.status != http.StatusOK || got.err != nil {
					t.Errorf("cut after event %d: got status %d and the error %v, want a complete stream", n, got.status, got.err)
				}
				if diff := cmp.Diff(eventsOf(t, text), eventsOf(t, got.body)); diff != "" {
					t.Errorf("cut after event %d: the events are not those of the server", n)
				}
			}
			r := f.request(pathResumable)
			r.Header.Set(headerCut, strconv.Itoa(len(text)-5000))
			if got := f.do(r); got.err == nil {
				t.Error("a stream that broke off in a large event looks complete, or went on inside it")
			}
		})
	}
}

// TestCommentIsNoEvent guards against a comment that counts as the first token of a request: for the
// usage of its organisation, and as the answer of a server that then sent nothing.
func TestCommentIsNoEvent(t *testing.T) {
	form := streamForms["a comment before"]
	f := newFormFixture(t, form, false)
	counted := 0
	f.handler.CountUsage = func(string) { counted++ }
	r := f.request(pathStream)
	r.Header.Set(headerCut, strconv.Itoa(len(form.before)))
	if got := f.do(r); got.err == nil || got.body != form.before || counted != 0 {
		t.Errorf("got %+v and %d requests counted, want the comment, a visible cut and none counted", got, counted)
	}
	f.expectStatus(f.do(f.request(pathStream)), http.StatusOK)
	if counted != 1 {
		t.Errorf("%d requests counted, want the one with events", counted)
	}
}

// writeWatcher is a response writer that calls a function before the first bytes of a body.
type writeWatcher struct {
	*httptest.ResponseRecorder
	before func()
}

func (w *writeWatcher) Write(b []byte) (int, error) {
	w.before()
	return w.ResponseRecorder.Write(b)
}

// TestEventIsRecordedBeforeItIsPassedOn guards against a caller that has a stream's first event and takes the stream
// up at another instance before this one has recorded where it began.
func TestEventIsRecordedBeforeItIsPassedOn(t *testing.T) {
	f := newFormFixture(t, streamForms["plain"], false)
	counted, written := 0, 0
	f.handler.CountUsage = func(string) { counted++ }
	r := f.request(pathResumable)
	r.RequestURI = pathResumable
	f.handler.ServeHTTP(&writeWatcher{httptest.NewRecorder(), func() {
		written++
		found := f.handler.Origins.Find(t.Context(), "s", r.Header.Get(platform.HeaderRequestID))
		if counted != 1 || found.Source != streamorigin.OwnMemory {
			t.Errorf("before write %d: %d requests counted, origin known by %v; want both recorded", written, counted, found.Source)
		}
	}}, r)
	if written == 0 {
		t.Error("nothing was written")
	}
}
