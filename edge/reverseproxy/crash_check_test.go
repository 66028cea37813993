package reverseproxy

import (
	"bufio"
	"bytes"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"bergamotpin.example/bergamotpin/edge/catalog"
	"bergamotpin.example/bergamotpin/platform"
	"bergamotpin.example/bergamotpin/platform/platformtest"
)

// promptRequest returns a request whose prompt has the given shared parts and one of its own.
func (f *fixture) promptRequest(path, shared string) *http.Request {
	r := f.request(path)
	r.Header.Set(platform.HeaderPrefixBlocks, fmt.Sprintf("%s,%x:7", shared, 0x10000+f.requestCount))
	return r
}

// partsOf returns the keys of the request's shared parts.
func partsOf(r *http.Request) []uint64 {
	return sharedBlocks(platform.ParsePrompt(r.Header).PrefixBlocks)
}

// accuse records the ends of three servers under the parts.
func (f *fixture) accuse(parts []uint64) {
	for server := range uint64(3) {
		f.handler.Crashes.RecordCrash(server, parts, time.Now())
	}
}

// finishChecks waits until no check of a server runs.
func (f *fixture) finishChecks() {
	f.handler.crashes.tasks.Wait()
}

func (f *fixture) isWithheld(parts []uint64) bool {
	_, withheld := f.handler.Crashes.Withheld(parts, time.Now())
	return withheld
}

// TestWithheldPromptIsRefusedAsNotRun guards against a withheld prompt that reaches a
// server, and against a refusal that callers can't tell from a failure.
func TestWithheldPromptIsRefusedAsNotRun(t *testing.T) {
	f := newFixture(t, 1)
	var log bytes.Buffer
	f.handler.Failures = slog.New(slog.NewJSONHandler(&log, nil))
	r := f.promptRequest(pathSafe, "a1:100,b2:50")
	f.accuse(partsOf(r)[1:])
	got := f.do(r)
	f.expectStatus(got, 503)
	if got.header.Get(platform.HeaderRetryAfter) == "" || len(f.serversThatRan()) > 0 {
		t.Errorf("got Retry-After %q, runs at %v; want a time and no run", got.header.Get(platform.HeaderRetryAfter), f.serversThatRan())
	}
	for _, want := range []string{`"reason":"prompt_withheld"`, fmt.Sprintf(`"suspects":"%x:3"`, partsOf(r)[1])} {
		if !strings.Contains(log.String(), want) {
			t.Errorf("the log lacks %s: %s", want, log.String())
		}
	}
	f.expectStatus(f.do(f.promptRequest(pathSafe, "a1:100")), 200)
}

// TestWithheldRetryIsNotCalledNotRun guards against the statement "not run" about a request
// whose first attempt may have run, if its prompt is withheld before the second one.
func TestWithheldRetryIsNotCalledNotRun(t *testing.T) {
	f := newFixture(t, 2)
	f.setBehaviour(platformtest.Behaviour{Hang: true})
	r := f.promptRequest(pathSafe, "a1:100")
	done := make(chan response)
	go func() { done <- f.do(r) }()
	for len(f.serversThatRan()) == 0 {
		time.Sleep(time.Millisecond)
	}
	f.accuse(partsOf(r))
	f.expectStatus(<-done, 504)
	if ran := f.serversThatRan(); len(ran) != 1 {
		t.Errorf("ran at %v, want one server", ran)
	}
}

// TestResetsByLivingServersDoNotWithhold guards against parts that are shut out because
// servers break off their answers.
func TestResetsByLivingServersDoNotWithhold(t *testing.T) {
	f := newFixture(t, 5)
	f.setBehaviour(platformtest.Behaviour{Events: 3, CutAfterEvents: 1})
	for range 30 {
		f.do(f.promptRequest(pathStream, "a1:100"))
	}
	f.finishChecks()
	f.setBehaviour(platformtest.Behaviour{Events: 3})
	f.expectStatus(f.do(f.promptRequest(pathStream, "a1:100")), 200)
}

// TestEndedServersWithholdThePart guards against ends of servers that are not noticed, and
// against parts that are accused although they were answered.
func TestEndedServersWithholdThePart(t *testing.T) {
	f := newFixture(t, 3)
	var log bytes.Buffer
	f.setBehaviour(platformtest.Behaviour{Events: 3, CrashOnBlock: "bad0:50"})
	f.expectStatus(f.do(f.promptRequest(pathStream, "a1:100")), 200)
	f.handler.Failures = slog.New(slog.NewJSONHandler(&log, nil))
	r := f.promptRequest(pathStream, "a1:100,bad0:50")
	for range 3 {
		f.expectStatus(f.do(f.promptRequest(pathStream, "a1:100,bad0:50")), 502)
	}
	f.finishChecks()
	if !f.isWithheld(partsOf(r)[1:]) || f.isWithheld(partsOf(r)[:1]) {
		t.Errorf("got withheld %v and %v, want only the part under which servers ended", f.isWithheld(partsOf(r)[1:]), f.isWithheld(partsOf(r)[:1]))
	}
	if want := fmt.Sprintf(`"suspects":"%x:3"`, partsOf(r)[1]); !strings.Contains(log.String(), want) {
		t.Errorf("the log lacks %s: %s", want, log.String())
	}
}

// TestAnswerWithoutLengthOfEndedServerIsNoProof guards against a bad part that counts as
// answered because the server's end looks like the end of its answer.
func TestAnswerWithoutLengthOfEndedServerIsNoProof(t *testing.T) {
	for _, ends := range []bool{true, false} {
		t.Run(fmt.Sprint("ends=", ends), func(t *testing.T) {
			f := newFixture(t, 0)
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer listener.Close()
			s := platformtest.BackendServer{ID: "i-0", Service: "s", Address: listener.Addr().String()}
			f.putRecord(catalog.KindServer, s.ID, s.Entry("ready"))
			go answerWithoutLength(listener, ends)
			r := f.promptRequest(pathStream, "a1:100")
			f.expectStatus(f.do(r), 200)
			f.finishChecks()
			if got := f.handler.Crashes.AllAnswered(partsOf(r), time.Now()); got == ends {
				t.Errorf("counts as answered: %v, want %v", got, !ends)
			}
		})
	}
}

// answerWithoutLength answers a request with an event and closes the connection. If ends is
// set, it closes the port too.
func answerWithoutLength(listener net.Listener, ends bool) {
	conn, err := listener.Accept()
	if err != nil {
		return
	}
	request, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: stamp\r\nConnection: close\r\n\r\nid: 1\ndata: x\n\n",
		platform.HeaderRequestID, request.Header.Get(platform.HeaderRequestID), platform.HeaderServerStamp)
	if ends {
		_ = listener.Close()
	}
	_ = conn.Close()
}

// TestPauseOfTheInstanceIsNoProofOfSoundness guards against a bad part that counts as
// answered because this instance stood still between two events that came together.
func TestPauseOfTheInstanceIsNoProofOfSoundness(t *testing.T) {
	begin := time.Now()
	var paused, sound streamProgress
	if paused.isSound(begin) || paused.isSound(begin.Add(5*time.Second)) || paused.isSound(begin.Add(5*time.Second)) {
		t.Error("events before and after one pause count as proof")
	}
	proofs := 0
	for n := range 200 {
		if sound.isSound(begin.Add(time.Duration(n) * 10 * time.Millisecond)) {
			proofs++
		}
	}
	if proofs != 1 {
		t.Errorf("a stream of 2 s was proof %d times, want once", proofs)
	}
}
