package reverseproxy

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"bergamotpin.example/bergamotpin/platform"
	"bergamotpin.example/bergamotpin/platform/platformtest"
)

// answerHead is the head of an answer to the request ID, without the empty line that ends it.
const answerHead = "HTTP/1.1 200 OK\r\n" + platform.HeaderRequestID + ": ID\r\n" + platform.HeaderServerStamp + ": stamp\r\nContent-Length: 12\r\n"

// TestAnswerCutInItsHeadIsNoAnswer guards against a 200 with an empty or short body, framed as whole, that
// a caller gets from a server which stopped at any byte of its answer's head and closed.
func TestAnswerCutInItsHeadIsNoAnswer(t *testing.T) {
	withoutLength := strings.Replace(answerHead, "Content-Length: 12\r\n", "", 1)
	for kind, c := range map[string]struct{ path, head string }{
		"whole":                  {pathUnsafe, answerHead + "\r"},
		"whole, without length":  {pathUnsafe, withoutLength + "\r"},
		"stream":                 {pathStream, withoutLength + "Content-Type: text/event-stream\r\n\r"},
		"stream, bare lines":     {pathStream, strings.ReplaceAll(withoutLength, "\r\n", "\n") + "\r"},
		"interim response first": {pathUnsafe, "HTTP/1.1 100 Continue\r\n\r\n" + answerHead + "\r"},
	} {
		t.Run(kind, func(t *testing.T) {
			t.Parallel()
			for end := range len(c.head) + 1 {
				f := newFixture(t, 1)
				f.replyWith(0, c.head[:end])
				if got := f.do(f.request(c.path)); got.err != nil || got.status != http.StatusBadGateway || got.header.Get(platform.HeaderServerStamp) != "" {
					t.Errorf("cut after %q the caller got %+v, want 502", c.head[:end], got)
				}
			}
		})
	}
}

// TestShortBodyIsNoAnswer guards against the same for a server that stopped in the body, behind a length
// or in chunks.
func TestShortBodyIsNoAnswer(t *testing.T) {
	chunked := strings.Replace(answerHead, "Content-Length: 12", "Transfer-Encoding: chunked", 1) + "\r\nc\r\ndata: first\n\r\n0\r\n\r\n"
	for kind, whole := range map[string]string{"length": answerHead + "\r\ndata: first\n", "chunks": chunked} {
		t.Run(kind, func(t *testing.T) {
			for end := strings.Index(whole, "\r\n\r\n") + 4; end < len(whole); end++ {
				f := newFixture(t, 1)
				f.replyWith(0, whole[:end])
				if got := f.do(f.request(pathUnsafe)); got.err != nil || got.status != http.StatusBadGateway {
					t.Errorf("cut after %q the caller got %+v, want 502", whole[:end], got)
				}
			}
		})
	}
}

// TestHandedOnAnswerCutInItsHeadIsNoAnswer guards against the same when another instance stops.
func TestHandedOnAnswerCutInItsHeadIsNoAnswer(t *testing.T) {
	for _, path := range []string{pathUnsafe, pathStream} {
		for end := 0; end <= len(answerHead); end += 7 {
			cut := newFixture(t, 1)
			cut.handOnTo(answerHead[:end])
			if got := cut.do(cut.request(path)); got.err != nil || got.status != http.StatusBadGateway {
				t.Errorf("cut after %q the caller got %+v, want 502", answerHead[:end], got)
			}
		}
	}
}

// wire puts the names of headers into answers.
var wire = strings.NewReplacer("RID", platform.HeaderRequestID, "STAMP", platform.HeaderServerStamp, "NOTRUN", platform.HeaderNotExecuted)

// errorAnswers are answers of a server that can't go on with a stream.
var errorAnswers = map[string]string{
	"error":                       "HTTP/1.1 500 No\r\nRID: ID\r\nSTAMP: stamp\r\nContent-Length: 16\r\n\r\nerror: no room\n\n",
	"error without stamp":         "HTTP/1.1 502 No\r\nRID: ID\r\nContent-Length: 16\r\n\r\nerror: no room\n\n",
	"error without ID":            "HTTP/1.1 500 No\r\nContent-Length: 16\r\n\r\nerror: no room\n\n",
	"error without length":        "HTTP/1.1 500 No\r\nRID: ID\r\nSTAMP: stamp\r\n\r\nerror: no room\n\n",
	"error as events":             "HTTP/1.1 500 No\r\nRID: ID\r\nSTAMP: stamp\r\nContent-Type: text/event-stream\r\n\r\nid: 3\ndata: error\n\n",
	"error in chunks":             "HTTP/1.1 503 No\r\nRID: ID\r\nSTAMP: stamp\r\nTransfer-Encoding: chunked\r\n\r\n10\r\nerror: no room\n\n\r\n0\r\n\r\n",
	"not found":                   "HTTP/1.1 404 No\r\nRID: ID\r\nSTAMP: stamp\r\nContent-Length: 16\r\n\r\nerror: no room\n\n",
	"not run":                     "HTTP/1.1 503 No\r\nRID: ID\r\nNOTRUN: 1\r\nContent-Length: 16\r\n\r\nerror: no room\n\n",
	"no status":                   "HTTP/1.1 000 No\r\nRID: ID\r\nSTAMP: stamp\r\nContent-Length: 16\r\n\r\nerror: no room\n\n",
	"error under 200":             "HTTP/1.1 200 OK\r\nRID: ID\r\nSTAMP: stamp\r\nContent-Type: text/plain\r\nContent-Length: 16\r\n\r\nerror: no room\n\n",
	"error under 200, as events":  "HTTP/1.1 200 OK\r\nRID: ID\r\nSTAMP: stamp\r\nContent-Type: text/event-stream\r\n\r\ndata: error\n\n",
	"error as JSON under 200":     "HTTP/1.1 200 OK\r\nRID: ID\r\nSTAMP: stamp\r\nContent-Type: application/json\r\n\r\n{\"error\":\"no room\"}\n\n",
	"empty":                       "HTTP/1.1 200 OK\r\nRID: ID\r\nSTAMP: stamp\r\nContent-Type: text/event-stream\r\nContent-Length: 0\r\n\r\n",
	"empty, without length":       "HTTP/1.1 200 OK\r\nRID: ID\r\nSTAMP: stamp\r\nContent-Type: text/event-stream\r\n\r\n",
	"no content":                  "HTTP/1.1 204 No\r\nRID: ID\r\nSTAMP: stamp\r\n\r\n",
	"a whole head in the stream":  "HTTP/1.1 200 OK\r\nRID: ID\r\nSTAMP: stamp\r\nContent-Type: text/event-stream\r\n\r\nHTTP/1.1 500 No\r\nContent-Length: 5\r\n\r\nerror",
	"head only":                   "HTTP/1.1 500 No\r\nRID: ID\r\n",
	"two answers":                 "HTTP/1.1 500 No\r\nRID: other\r\nContent-Length: 16\r\n\r\nerror: no room\n\nHTTP/1.1 500 No\r\nRID: ID\r\nContent-Length: 16\r\n\r\nerror: no room\n\n",
	"text that is no answer":      "error: no room\n\n",
	"an earlier event only":       "HTTP/1.1 200 OK\r\nRID: ID\r\nSTAMP: stamp\r\nContent-Type: text/event-stream\r\n\r\nid: 1\ndata: again\n\n",
	"an event that is too far on": "HTTP/1.1 200 OK\r\nRID: ID\r\nSTAMP: stamp\r\nContent-Type: text/event-stream\r\n\r\nid: 4\ndata: far\n\n",
}

// TestErrorOfNextServerStaysOutOfStream guards against a stream that broke off and in whose middle a caller
// finds the next server's error, or its head, and against one that then ends as if it were complete.
func TestErrorOfNextServerStaysOutOfStream(t *testing.T) {
	for name, answer := range errorAnswers {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFixture(t, 2)
			f.setBehaviour(platformtest.Behaviour{Events: 5, CutAfterEvents: 2, EventPause: 50 * time.Millisecond})
			got, first := f.doMeanwhile(f.request(pathResumable), func(first int) {
				f.replyWith(1-first, wire.Replace(answer))
			})
			id := f.servers[first].ID
			if got.status != http.StatusOK || got.err == nil || got.body != streamBody(id, id) {
				t.Errorf("the caller got %+v, want the two events of the first server, and an end that shows that the stream broke off", got)
			}
		})
	}
}

// TestNextServerMayStateThatNothingIsLeft guards against a stream that broke off after its last event and that
// its caller takes for incomplete although the next server states the end, and against an end that is not stated.
func TestNextServerMayStateThatNothingIsLeft(t *testing.T) {
	head := "HTTP/1.1 200 OK\r\nRID: ID\r\nSTAMP: stamp\r\nContent-Type: text/event-stream\r\n"
	for name, c := range map[string]struct {
		answer   string
		complete bool
	}{
		"in chunks":     {head + "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n", true},
		"with a length": {head + "Content-Length: 0\r\n\r\n", true},
		"comment only":  {head + "\r\n: error\n\n", false},
		"a comment":     {head + "Transfer-Encoding: chunked\r\n\r\n6\r\n: end\n\r\n1\r\n\n\r\n0\r\n\r\n", true},
		"not stated":    {head + "\r\n", false},
		"cut":           {head + "Transfer-Encoding: chunked\r\n\r\n", false},
		"cut at once":   {head + "Content-Length: 3\r\n\r\n", false},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, 2)
			f.setBehaviour(platformtest.Behaviour{Events: 50, EventPause: 150 * time.Millisecond})
			got, first := f.doMeanwhile(f.request(pathResumable), func(first int) {
				f.replyWith(1-first, wire.Replace(c.answer))
				time.Sleep(75 * time.Millisecond)
				f.servers[first].Crash()
			})
			if complete := got.err == nil; complete != c.complete || !strings.HasPrefix(got.body, streamBody(f.servers[first].ID)) {
				t.Errorf("the caller got %+v, want the first event and a stream that is complete: %v", got, c.complete)
			}
		})
	}
}

// TestStreamWithoutNumbersIsNotTakenUp guards against a stream whose events come twice, because they have no
// numbers and the next server begins anew.
func TestStreamWithoutNumbersIsNotTakenUp(t *testing.T) {
	f := newFixture(t, 2)
	for n := range f.servers {
		f.replyWith(n, wire.Replace("HTTP/1.1 200 OK\r\nRID: ID\r\nSTAMP: stamp\r\n"+
			"Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n9\r\ndata: a\n\n\r\n9\r\ndata: b\n\n\r\n"))
	}
	if got := f.do(f.request(pathResumable)); got.err == nil || got.body != "data: a\n\ndata: b\n\n" {
		t.Errorf("the caller got %+v, want both events once, and an end that shows that the stream broke off", got)
	}
}
