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

	"bergamotpin.example/bergamotpin/edge/backendclient"
	"bergamotpin.example/bergamotpin/edge/catalog"
	"bergamotpin.example/bergamotpin/platform"
	"bergamotpin.example/bergamotpin/platform/platformtest"
)

// TestRequestThatJoinsACheckGetsAllItsLooks guards against a bad part that counts as
// answered: its server ends during another request's check, and its port closes a little
// after its connections, as the pauses between the looks allow for.
func TestRequestThatJoinsACheckGetsAllItsLooks(t *testing.T) {
	const (
		joinsAfter  = 200 * time.Millisecond
		closesAfter = 100 * time.Millisecond
	)
	f := newFixture(t, 0)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	server := catalog.BackendServer{ID: "i-0"}
	target := backendclient.Server{Key: "i-0/1", Address: listener.Addr().(*net.TCPAddr).AddrPort(), MaxConnections: 10}
	const sound, bad uint64 = 1, 2
	f.handler.crashes.begin(server, target, checkedRequest{id: "sound", keys: []uint64{sound}, answered: true})
	time.Sleep(joinsAfter)
	f.handler.Client.CloseIdle(func(string) bool { return false })
	f.handler.crashes.begin(server, target, checkedRequest{id: "bad", keys: []uint64{bad}, answered: true})
	time.Sleep(closesAfter)
	if err := listener.Close(); err != nil {
		t.Fatal(err)
	}
	f.finishChecks()
	if f.handler.Crashes.AllAnswered([]uint64{bad}, time.Now()) {
		t.Error("the part under which the server ended counts as answered")
	}
}

// TestTryThatReachesNoServerIsNoTry guards against a sound part that stays withheld although
// nothing was sent: the request whose turn it was found no server.
func TestTryThatReachesNoServerIsNoTry(t *testing.T) {
	f := newFixture(t, 0)
	r := f.promptRequest(pathSafe, "a1:100")
	// The part was withheld for long enough that it is this instance's turn.
	for server := range uint64(3) {
		f.handler.Crashes.RecordCrash(server, partsOf(r), time.Now().Add(-30*time.Second))
	}
	f.expectStatus(f.do(r), 503)
	s := platformtest.NewBackendServer("i-0", "s")
	defer s.Close()
	f.servers = append(f.servers, s)
	f.putRecord(catalog.KindServer, s.ID, s.Entry("ready"))
	f.expectStatus(f.do(f.promptRequest(pathSafe, "a1:100")), 200)
}

// TestRefusedConnectionIsNoTry guards against a sound part that stays withheld because the
// request whose turn it was met a server that had ended: its second attempt is refused.
func TestRefusedConnectionIsNoTry(t *testing.T) {
	f := newFixture(t, 1)
	for n := range 30 {
		f.addEndedServer(fmt.Sprint("i-9", n))
	}
	var log bytes.Buffer
	f.handler.Failures = slog.New(slog.NewJSONHandler(&log, nil))
	r := f.promptRequest(pathSafe, "a1:100")
	for server := range uint64(3) {
		f.handler.Crashes.RecordCrash(server, partsOf(r), time.Now().Add(-30*time.Second))
	}
	f.expectStatus(f.do(r), 200)
	if !strings.Contains(log.String(), "connection refused") {
		t.Fatalf("no attempt met a server that had ended: %s", log.String())
	}
}

// addEndedServer adds the entry of a server whose port is closed.
func (f *fixture) addEndedServer(id string) {
	f.t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		f.t.Fatal(err)
	}
	s := platformtest.BackendServer{ID: id, Service: "s", Address: listener.Addr().String()}
	if err := listener.Close(); err != nil {
		f.t.Fatal(err)
	}
	f.putRecord(catalog.KindServer, s.ID, s.Entry("ready"))
}

// TestLastAnswersOfLeavingServersWithholdNothing guards against a sound part that is shut out
// by a release: servers end after their last answers, which have neither a length nor chunks.
func TestLastAnswersOfLeavingServersWithholdNothing(t *testing.T) {
	f := newFixture(t, 0)
	r := f.promptRequest(pathStream, "a1:100")
	for n := range 3 {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		s := platformtest.BackendServer{ID: fmt.Sprint("i-", n), Service: "s", Address: listener.Addr().String()}
		f.putRecord(catalog.KindServer, s.ID, s.Entry("ready"))
		go answerWithoutLengthWhile(listener, func() { f.putRecord(catalog.KindServer, s.ID, s.Entry("draining")) })
		f.expectStatus(f.do(f.promptRequest(pathStream, "a1:100")), 200)
		f.finishChecks()
	}
	if f.isWithheld(partsOf(r)) {
		t.Error("a part is withheld whose three requests were answered in whole")
	}
}

// answerWithoutLengthWhile answers a request with two events, of which the second follows
// once leave has returned. Then it closes the port and the connection.
func answerWithoutLengthWhile(listener net.Listener, leave func()) {
	conn, err := listener.Accept()
	if err != nil {
		return
	}
	request, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	leave()
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: stamp\r\nConnection: close\r\n\r\nid: 1\ndata: x\n\nid: 2\ndata: y\n\n",
		platform.HeaderRequestID, request.Header.Get(platform.HeaderRequestID), platform.HeaderServerStamp)
	_ = listener.Close()
	_ = conn.Close()
}

// TestEndOfServerIsSeenWhileAnotherIsAsked guards against the end of a server that is looked
// for only once the further attempts are over, when it may have started again.
func TestEndOfServerIsSeenWhileAnotherIsAsked(t *testing.T) {
	for _, runs := range []int{1, 2} {
		t.Run(fmt.Sprint("servers_asked=", runs), func(t *testing.T) {
			f := newFixture(t, 2)
			f.setBehaviour(platformtest.Behaviour{Hang: true})
			if runs == 1 {
				f.spendRetryBudget()
			}
			r := f.promptRequest(pathResumable, "a1:100")
			done := make(chan response)
			go func() { done <- f.do(r) }()
			first := f.awaitRuns(1)
			f.awaitRuns(runs)
			for _, s := range f.servers {
				if s.ID == first {
					s.Crash()
				}
			}
			time.Sleep(500 * time.Millisecond)
			if f.suspectedServers(partsOf(r)) == 0 {
				t.Error("the end of the first server is not recorded after 500 ms")
			}
			<-done
		})
	}
}

// awaitRuns waits until n servers run a request and returns the ID of one of them.
func (f *fixture) awaitRuns(n int) string {
	f.t.Helper()
	for end := time.Now().Add(3 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if ran := f.serversThatRan(); len(ran) >= n {
			return ran[0]
		}
	}
	f.t.Fatalf("ran at %v, want %d servers", f.serversThatRan(), n)
	return ""
}

// suspectedServers returns the number of servers that are known to have ended under the
// first of the parts.
func (f *fixture) suspectedServers(parts []uint64) int {
	for _, report := range f.handler.Crashes.Reports(time.Now()) {
		if report.Key == parts[0] {
			return len(report.Servers)
		}
	}
	return 0
}
